"""The release notes in the object API: head, history and bases.

``notes/head`` is the one object that decides the order: it holds the last
revision whole and is changed by conditional update only.  Before it moves
on, its revision is copied to ``notes/history``.  Every ``BASE_INTERVAL``
revisions a snapshot is kept, in chunks, so that a reader needs few calls.
"""

from typing import Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.agreement._evidence import find_accepted
from cranberryrelay.agreement._spread import HEAD_KEY
from cranberryrelay.agreement._voice import decode_voice
from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.notes import (
    FoldedNotes,
    RevisionRecord,
    decode_revision,
    decode_snapshot,
    encode_revision,
    encode_snapshot,
    restore_snapshot,
    take_snapshot,
)
from cranberryrelay.platform import ObjectApi

BASE_INTERVAL: Final = 32
CHUNK_BYTES: Final = 500_000
CREATE_ATTEMPTS: Final = 3
BASE_KEY: Final = 'notes/base'
_PLACE_DIGITS: Final = 10


class BasePointer(NamedTuple):
    """Where the last snapshot is kept."""

    # Revision of the snapshot.
    revision: int

    # Number of its chunks.
    chunks: int


class LoadedNotes(NamedTuple):
    """All notes as the object API has them."""

    # The notes folded up to the head.
    folded: FoldedNotes

    # The last revisions in rising order.
    tail: tuple[RevisionRecord, ...]

    # Version of the head object; 0 when there is none.
    head_version: int

    # The last revision; None when there is none.
    head: RevisionRecord | None


def history_key(revision: int) -> str:
    """Return the key of a revision in the history."""
    return f'notes/history/{revision:0{_PLACE_DIGITS}}'


def chunk_key(revision: int, chunk: int) -> str:
    """Return the key of a chunk of the snapshot at a revision."""
    return f'notes/snapshot/{revision:0{_PLACE_DIGITS}}/{chunk}'


async def load_notes(api: ObjectApi) -> Result[LoadedNotes, Failure]:
    """Load and fold all notes; errors of the object API pass through."""
    head = await api.read(HEAD_KEY)
    if head.is_err():
        if head.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
            return Ok(LoadedNotes(FoldedNotes(), (), 0, None))
        return Err(head.unwrap_err())
    decoded = decode_revision(head.unwrap().body)
    if decoded.is_err():
        return Err(decoded.unwrap_err())
    last = decoded.unwrap()
    base = await _load_base(api, last.revision)
    if base.is_err():
        return Err(base.unwrap_err())
    folded = base.unwrap()
    tail = await _replay(api, folded, last)
    return tail.map(
        lambda records: LoadedNotes(
            folded, records, head.unwrap().version, last
        )
    )


async def read_revision(
    api: ObjectApi, revision: int
) -> Result[RevisionRecord, Failure]:
    """Read one revision of the history, or the head."""
    found = await api.read(history_key(revision))
    if found.is_err():
        found = await api.read(HEAD_KEY)
    record = found.and_then(lambda stored: decode_revision(stored.body))
    if record.is_ok() and record.unwrap().revision != revision:
        detail = f'revision {revision} is not in the history'
        return Err(fail(ResultCode.STORE_NOT_FOUND, detail))
    return record


async def read_accepted(
    api: ObjectApi, domain_count: int
) -> Result[int, Failure]:
    """Read which revision a majority of failure domains confirmed."""
    voices = await api.list_objects('voices/')
    return voices.map(
        lambda stored: find_accepted(
            (decode_voice(one.body).confirmed for one in stored),
            domain_count,
        )
    )


async def keep_history(api: ObjectApi, loaded: LoadedNotes) -> Failure | None:
    """Copy the head to the history and keep a snapshot when one is due."""
    if loaded.head is None:
        return None
    key = history_key(loaded.head.revision)
    failure = await create_once(api, key, encode_revision(loaded.head))
    if failure is not None:
        return failure
    if loaded.folded.revision % BASE_INTERVAL == 0:
        return await _keep_base(api, loaded.folded)
    return None


async def create_once(api: ObjectApi, key: str, body: bytes) -> Failure | None:
    """Create an object that never changes; settles lost answers.

    Whoever creates it writes the same value, so a conflict is success and
    a write whose answer was lost is simply made again.
    """
    failure: Failure | None = None
    for _ in range(CREATE_ATTEMPTS):
        written = await api.write(key, body, 0)
        if written.is_ok():
            return None
        failure = written.unwrap_err()
        if failure.code is ResultCode.STORE_CONFLICT:
            return None
        if failure.code is not ResultCode.STORE_OUTCOME_UNKNOWN:
            return failure
    return failure


async def _keep_base(api: ObjectApi, folded: FoldedNotes) -> Failure | None:
    body = encode_snapshot(take_snapshot(folded))
    starts = range(0, len(body), CHUNK_BYTES)
    for chunk, start in enumerate(starts):
        piece = body[start : start + CHUNK_BYTES]
        key = chunk_key(folded.revision, chunk)
        failure = await create_once(api, key, piece)
        if failure is not None:
            return failure
    pointer = BasePointer(folded.revision, len(starts))
    return await _move_pointer(api, pointer)


async def _move_pointer(api: ObjectApi, pointer: BasePointer) -> Failure | None:
    found = await api.read(BASE_KEY)
    version = found.map(lambda stored: stored.version).unwrap_or(0)
    body = msgspec.json.encode(pointer)
    moved = await api.write(BASE_KEY, body, version)
    if moved.is_ok():
        return None
    failure = moved.unwrap_err()
    return None if failure.code is ResultCode.STORE_CONFLICT else failure


async def _load_base(
    api: ObjectApi, revision: int
) -> Result[FoldedNotes, Failure]:
    found = await api.read(BASE_KEY)
    if found.is_err():
        failure = found.unwrap_err()
        if failure.code is ResultCode.STORE_NOT_FOUND:
            return Ok(FoldedNotes())
        return Err(failure)
    pointer = msgspec.json.decode(found.unwrap().body, type=BasePointer)
    if pointer.revision > revision:
        return Ok(FoldedNotes())
    pieces: list[bytes] = []
    for chunk in range(pointer.chunks):
        piece = await api.read(chunk_key(pointer.revision, chunk))
        if piece.is_err():
            return Err(piece.unwrap_err())
        pieces.append(piece.unwrap().body)
    snapshot = decode_snapshot(b''.join(pieces))
    return snapshot.and_then(restore_snapshot)


async def _replay(
    api: ObjectApi, folded: FoldedNotes, last: RevisionRecord
) -> Result[tuple[RevisionRecord, ...], Failure]:
    records: list[RevisionRecord] = []
    for revision in range(folded.revision + 1, last.revision):
        found = await read_revision(api, revision)
        if found.is_err():
            return Err(found.unwrap_err())
        records.append(found.unwrap())
    if folded.revision < last.revision:
        records.append(last)
    for record in records:
        applied = folded.apply(record)
        if applied.is_err():
            return Err(applied.unwrap_err())
    return Ok(tuple(records))
