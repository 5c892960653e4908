"""Snapshots of the notes in force, for joining instances and the object API."""

from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.notes._folded_notes import FoldedNotes, PublishedNote


class NotesSnapshot(NamedTuple):
    """The notes in force at one revision."""

    # Last revision that the snapshot includes.
    revision: int

    # Chain digest of that revision.
    chain: str

    # Digest of all records at that revision.
    digest: str

    # Notes in force, in the order of their first publication.
    notes: tuple[PublishedNote, ...]


def take_snapshot(folded: FoldedNotes) -> NotesSnapshot:
    """Take a snapshot of the notes in force."""
    notes = sorted(
        folded.notes.values(), key=lambda published: published.first_revision
    )
    return NotesSnapshot(
        folded.revision, folded.chain, folded.digest.hexdigest(), tuple(notes)
    )


def restore_snapshot(snapshot: NotesSnapshot) -> Result[FoldedNotes, Failure]:
    """Fold the notes of a snapshot.

    Errors: ``ACCOUNT_GAP`` if the digest of the records does not match.
    """
    folded = FoldedNotes()
    for published in snapshot.notes:
        folded.replace_note(
            published.content.name, published.content, published.first_revision
        )
    folded.revision = snapshot.revision
    folded.chain = snapshot.chain
    if folded.digest.hexdigest() != snapshot.digest:
        detail = (
            f'digest mismatch in the snapshot of revision {snapshot.revision}'
        )
        return Err(fail(ResultCode.ACCOUNT_GAP, detail))
    return Ok(folded)


def encode_snapshot(snapshot: NotesSnapshot) -> bytes:
    """Encode a snapshot for the object API and for peers."""
    return msgspec.json.encode(snapshot)


def decode_snapshot(body: bytes) -> Result[NotesSnapshot, Failure]:
    """Decode a snapshot.

    Errors: ``FRAME_MALFORMED`` if the body is not a snapshot.
    """
    try:
        return Ok(msgspec.json.decode(body, type=NotesSnapshot))
    except msgspec.MsgspecError as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))
