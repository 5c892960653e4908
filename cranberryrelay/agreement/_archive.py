"""Stores release notes in the object API: head, history and snapshots.

The object ``notes/head`` determines the order of revisions: it holds the
complete last revision and is changed only by conditional update.  Before the
next revision replaces it, its revision is copied to ``notes/history``.
Every ``SNAPSHOT_INTERVAL_REVISIONS`` revisions, a snapshot is written in
chunks, so that loading all notes takes few calls.
"""

from typing import Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.agreement._evidence import find_accepted_revision
from cranberryrelay.agreement._spread import HEAD_KEY
from cranberryrelay.agreement._voice import decode_vote
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

SNAPSHOT_INTERVAL_REVISIONS: Final = 32
SNAPSHOT_CHUNK_BYTES: Final = 500_000
CREATE_ATTEMPTS: Final = 3
SNAPSHOT_POINTER_KEY: Final = 'notes/base'
_REVISION_DIGITS: Final = 10


class SnapshotPointer(NamedTuple):
    """Locates the chunks of the last snapshot; stored as an array."""

    # Revision of the snapshot.
    revision: int

    # Number of chunks of the snapshot.
    chunks: int


class LoadedNotes(NamedTuple):
    """All notes that the object API holds."""

    # The result of applying all revisions up to the head.
    folded: FoldedNotes

    # The revisions after the last snapshot, in ascending order.
    tail: tuple[RevisionRecord, ...]

    # Version of the head object; 0 if it does not exist.
    head_version: int

    # The last revision; None if there is none.
    head: RevisionRecord | None


def history_key(revision: int) -> str:
    """Return the store key of a revision in the history."""
    return f'notes/history/{revision:0{_REVISION_DIGITS}}'


def chunk_key(revision: int, chunk: int) -> str:
    """Return the store key of a chunk of a revision's snapshot."""
    return f'notes/snapshot/{revision:0{_REVISION_DIGITS}}/{chunk}'


async def load_notes(api: ObjectApi) -> Result[LoadedNotes, Failure]:
    """Load the last snapshot and apply the revisions after it.

    Errors: those of the object API and of decoding.
    """
    head = await api.read(HEAD_KEY)
    if head.is_err():
        if head.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
            return Ok(LoadedNotes(FoldedNotes(), (), 0, None))
        return Err(head.unwrap_err())
    decoded = decode_revision(head.unwrap().body)
    if decoded.is_err():
        return Err(decoded.unwrap_err())
    last = decoded.unwrap()
    snapshot = await _load_snapshot(api, last.revision)
    if snapshot.is_err():
        return Err(snapshot.unwrap_err())
    folded = snapshot.unwrap()
    tail = await _replay(api, folded, last)
    return tail.map(
        lambda records: LoadedNotes(
            folded, records, head.unwrap().version, last
        )
    )


async def read_revision(
    api: ObjectApi, revision: int
) -> Result[RevisionRecord, Failure]:
    """Read one revision from the history, or from the head object.

    Errors: those of the object API and of decoding, ``STORE_NOT_FOUND`` if
    neither holds the revision.
    """
    found = await api.read(history_key(revision))
    if found.is_err():
        found = await api.read(HEAD_KEY)
    record = found.and_then(lambda stored: decode_revision(stored.body))
    if record.is_ok() and record.unwrap().revision != revision:
        detail = f'revision {revision} is neither in the history nor the head'
        return Err(fail(ResultCode.STORE_NOT_FOUND, detail))
    return record


async def read_accepted_revision(
    api: ObjectApi, domain_count: int
) -> Result[int, Failure]:
    """Read the votes; return the highest revision that is accepted."""
    listed = await api.list_objects('voices/')
    return listed.map(
        lambda votes: find_accepted_revision(
            (decode_vote(vote.body).confirmed for vote in votes),
            domain_count,
        )
    )


async def archive_head(api: ObjectApi, loaded: LoadedNotes) -> Failure | None:
    """Copy the head to the history and write a snapshot if one is due.

    Returns the failure, or None on success.
    """
    if loaded.head is None:
        return None
    key = history_key(loaded.head.revision)
    failure = await create_immutable(api, key, encode_revision(loaded.head))
    if failure is not None:
        return failure
    if loaded.folded.revision % SNAPSHOT_INTERVAL_REVISIONS == 0:
        return await _write_snapshot(api, loaded.folded)
    return None


async def create_immutable(
    api: ObjectApi, key: str, body: bytes
) -> Failure | None:
    """Create an object that never changes, with retries.

    Every process that creates it writes the same value.  A conflict
    therefore counts as success, and a write whose answer was lost can be
    repeated.  Returns the failure, or None on success.
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


async def _write_snapshot(
    api: ObjectApi, folded: FoldedNotes
) -> Failure | None:
    body = encode_snapshot(take_snapshot(folded))
    starts = range(0, len(body), SNAPSHOT_CHUNK_BYTES)
    for chunk, start in enumerate(starts):
        piece = body[start : start + SNAPSHOT_CHUNK_BYTES]
        key = chunk_key(folded.revision, chunk)
        failure = await create_immutable(api, key, piece)
        if failure is not None:
            return failure
    pointer = SnapshotPointer(folded.revision, len(starts))
    return await _update_pointer(api, pointer)


async def _update_pointer(
    api: ObjectApi, pointer: SnapshotPointer
) -> Failure | None:
    found = await api.read(SNAPSHOT_POINTER_KEY)
    version = found.map(lambda stored: stored.version).unwrap_or(0)
    body = msgspec.json.encode(pointer)
    written = await api.write(SNAPSHOT_POINTER_KEY, body, version)
    if written.is_ok():
        return None
    failure = written.unwrap_err()
    return None if failure.code is ResultCode.STORE_CONFLICT else failure


async def _load_snapshot(
    api: ObjectApi, revision: int
) -> Result[FoldedNotes, Failure]:
    found = await api.read(SNAPSHOT_POINTER_KEY)
    if found.is_err():
        failure = found.unwrap_err()
        if failure.code is ResultCode.STORE_NOT_FOUND:
            return Ok(FoldedNotes())
        return Err(failure)
    pointer = msgspec.json.decode(found.unwrap().body, type=SnapshotPointer)
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
