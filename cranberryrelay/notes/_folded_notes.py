"""All release notes in force, folded into one set of records.

Later release notes go before earlier ones.  An amended note keeps the
place of its first publication; a withdrawn one gives back what it changed.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.notes._digest import RecordDigest
from cranberryrelay.notes._release_note import NoteContent, RecordFields
from cranberryrelay.notes._revision import (
    GENESIS_CHAIN,
    RevisionRecord,
    chain_revision,
)

_WITHDRAWN: Final = None


class PlacedNote(NamedTuple):
    """A release note in force and its place among the others."""

    # Revision that first published the release note.
    place: int

    # The content in force.
    content: NoteContent


class RecordChange(NamedTuple):
    """A record that a revision changes."""

    # Record key, such as 'models.digest'.
    key: str

    # Fields before; None when the record did not exist.
    before: RecordFields | None

    # Fields after; None when the record is taken away.
    after: RecordFields | None


class FoldedNotes:
    """The notes in force, the records they give and the digest of these.

    One task owns an object of this class.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.chain = GENESIS_CHAIN
        self.notes: dict[str, PlacedNote] = {}
        self.records: dict[str, RecordFields] = {}
        self.mentions: dict[str, dict[int, RecordFields | None]] = {}
        self.digest = RecordDigest()

    def apply(
        self, record: RevisionRecord
    ) -> Result[list[RecordChange], Failure]:
        """Apply the next revision and return the records it changes.

        Errors: ``NOTE_CONFLICT`` when it is not the next one,
        ``ACCOUNT_GAP`` when its chain or digest does not match.
        """
        if record.revision != self.revision + 1:
            detail = f'have {self.revision}, got {record.revision}'
            return Err(fail(ResultCode.NOTE_CONFLICT, detail))
        if chain_revision(self.chain, record) != record.chain:
            detail = f'revision {record.revision} does not chain'
            return Err(fail(ResultCode.ACCOUNT_GAP, detail))
        changes = self.replace_note(
            record.note, record.content, record.revision
        )
        self.revision = record.revision
        self.chain = record.chain
        if self.digest.value() != record.digest:
            detail = f'revision {record.revision} has another digest'
            return Err(fail(ResultCode.ACCOUNT_GAP, detail))
        return Ok(changes)

    def replace_note(
        self, name: str, content: NoteContent | None, revision: int
    ) -> list[RecordChange]:
        """Put a note's new content in its place; return what changes."""
        placed = self.notes.pop(name, None)
        place = placed.place if placed else revision
        touched: set[str] = set()
        if placed:
            touched.update(self._forget(placed))
        if content is not None:
            kept = PlacedNote(place, content)
            self.notes[name] = kept
            touched.update(self._mention(kept))
        changes = [
            change
            for key in sorted(touched)
            if (change := self._refold(key)) is not None
        ]
        self.digest.update((change.key, change.after) for change in changes)
        return changes

    def _forget(self, placed: PlacedNote) -> Iterable[str]:
        keys = [*placed.content.added, *placed.content.withdrawn]
        for key in keys:
            self.mentions[key].pop(placed.place, None)
        return keys

    def _mention(self, placed: PlacedNote) -> Iterable[str]:
        content = placed.content
        for key, fields in content.added.items():
            self.mentions.setdefault(key, {})[placed.place] = fields
        for withdrawn in content.withdrawn:
            self.mentions.setdefault(withdrawn, {})[placed.place] = _WITHDRAWN
        return [*content.added, *content.withdrawn]

    def _refold(self, key: str) -> RecordChange | None:
        mentions = self.mentions[key]
        after = mentions[max(mentions)] if mentions else _WITHDRAWN
        before = self.records.pop(key, None)
        if after is not None:
            self.records[key] = after
        if not mentions:
            self.mentions.pop(key)
        return None if before == after else RecordChange(key, before, after)


def copy_folded_notes(source: FoldedNotes) -> FoldedNotes:
    """Fold the notes of ``source`` again into an object of its own."""
    copied = FoldedNotes()
    ordered = sorted(source.notes.items(), key=lambda pair: pair[1].place)
    for name, placed in ordered:
        copied.replace_note(name, placed.content, placed.place)
    copied.revision = source.revision
    copied.chain = source.chain
    return copied
