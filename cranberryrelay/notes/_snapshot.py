"""A snapshot of the notes in force, for joins and for the object API."""

from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.notes._folded_notes import FoldedNotes, PlacedNote


class NotesSnapshot(NamedTuple):
    """The notes in force at one revision."""

    # Revision that the snapshot stands for.
    revision: int

    # Chain digest of that revision.
    chain: str

    # Digest of all records.
    digest: str

    # The notes in force.
    notes: tuple[PlacedNote, ...]


def take_snapshot(folded: FoldedNotes) -> NotesSnapshot:
    """Take a snapshot of the notes in force."""
    notes = sorted(folded.notes.values(), key=lambda placed: placed.place)
    return NotesSnapshot(
        folded.revision, folded.chain, folded.digest.value(), tuple(notes)
    )


def restore_snapshot(snapshot: NotesSnapshot) -> Result[FoldedNotes, Failure]:
    """Fold a snapshot again; ``ACCOUNT_GAP`` if its digest is another."""
    folded = FoldedNotes()
    for placed in snapshot.notes:
        folded.replace_note(placed.content.name, placed.content, placed.place)
    folded.revision = snapshot.revision
    folded.chain = snapshot.chain
    if folded.digest.value() != snapshot.digest:
        detail = f'snapshot {snapshot.revision} has another digest'
        return Err(fail(ResultCode.ACCOUNT_GAP, detail))
    return Ok(folded)


def encode_snapshot(snapshot: NotesSnapshot) -> bytes:
    """Encode a snapshot for the object API and for peers."""
    return msgspec.json.encode(snapshot)


def decode_snapshot(body: bytes) -> Result[NotesSnapshot, Failure]:
    """Decode a snapshot; ``FRAME_MALFORMED`` if it is none."""
    try:
        return Ok(msgspec.json.decode(body, type=NotesSnapshot))
    except msgspec.MsgspecError as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))
