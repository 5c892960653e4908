"""All release notes in force, folded into one set of records.

If several release notes set a record, the most recently published note takes
precedence.  Amending a note keeps the precedence of its first publication.
Withdrawing a note reverts its changes to what the remaining notes set.
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
    compute_chain_digest,
)

_WITHDRAWN: Final = None


class PublishedNote(NamedTuple):
    """A release note in force and its precedence."""

    # Revision that first published the note; the higher one takes precedence.
    first_revision: int

    # Content in force.
    content: NoteContent


class RecordChange(NamedTuple):
    """A record that a revision changes."""

    # Record key, such as 'models.digest'.
    key: str

    # Fields before the revision; None if the record did not exist.
    before: RecordFields | None

    # Fields after the revision; None if the record is removed.
    after: RecordFields | None


class FoldedNotes:
    """The notes in force, the resulting records and the digest of these.

    Not synchronized: each object is used by a single task.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.chain = GENESIS_CHAIN
        self.notes: dict[str, PublishedNote] = {}
        self.records: dict[str, RecordFields] = {}
        self.contributions: dict[str, dict[int, RecordFields | None]] = {}
        self.digest = RecordDigest()

    def apply(
        self, record: RevisionRecord
    ) -> Result[list[RecordChange], Failure]:
        """Apply the next revision and return the records that it changes.

        Errors: ``NOTE_CONFLICT`` if the revision is not the next one,
        ``ACCOUNT_GAP`` if its chain digest or record digest does not match.
        """
        if record.revision != self.revision + 1:
            detail = (
                f'expected the successor of revision {self.revision}, '
                f'got revision {record.revision}'
            )
            return Err(fail(ResultCode.NOTE_CONFLICT, detail))
        if compute_chain_digest(self.chain, record) != record.chain:
            detail = f'chain digest mismatch at revision {record.revision}'
            return Err(fail(ResultCode.ACCOUNT_GAP, detail))
        changes = self.replace_note(
            record.note, record.content, record.revision
        )
        self.revision = record.revision
        self.chain = record.chain
        if self.digest.hexdigest() != record.digest:
            detail = f'record digest mismatch at revision {record.revision}'
            return Err(fail(ResultCode.ACCOUNT_GAP, detail))
        return Ok(changes)

    def replace_note(
        self, name: str, content: NoteContent | None, revision: int
    ) -> list[RecordChange]:
        """Replace the content of a note and return the changed records.

        A new note is added at ``revision``; ``None`` as the content
        withdraws the note.
        """
        previous = self.notes.pop(name, None)
        first_revision = previous.first_revision if previous else revision
        affected: set[str] = set()
        if previous:
            affected.update(self._remove_contributions(previous))
        if content is not None:
            published = PublishedNote(first_revision, content)
            self.notes[name] = published
            affected.update(self._add_contributions(published))
        changes = [
            change
            for key in sorted(affected)
            if (change := self._recompute_record(key)) is not None
        ]
        self.digest.update((change.key, change.after) for change in changes)
        return changes

    def _remove_contributions(self, published: PublishedNote) -> Iterable[str]:
        keys = [*published.content.added, *published.content.withdrawn]
        for key in keys:
            self.contributions[key].pop(published.first_revision, None)
        return keys

    def _add_contributions(self, published: PublishedNote) -> Iterable[str]:
        content = published.content
        for key, fields in content.added.items():
            self.contributions.setdefault(key, {})[published.first_revision] = (
                fields
            )
        for withdrawn in content.withdrawn:
            self.contributions.setdefault(withdrawn, {})[
                published.first_revision
            ] = _WITHDRAWN
        return [*content.added, *content.withdrawn]

    def _recompute_record(self, key: str) -> RecordChange | None:
        contributions = self.contributions[key]
        after = (
            contributions[max(contributions)] if contributions else _WITHDRAWN
        )
        before = self.records.pop(key, None)
        if after is not None:
            self.records[key] = after
        if not contributions:
            self.contributions.pop(key)
        return None if before == after else RecordChange(key, before, after)


def copy_folded_notes(source: FoldedNotes) -> FoldedNotes:
    """Fold the notes of ``source`` into an independent object."""
    copied = FoldedNotes()
    ordered = sorted(
        source.notes.items(), key=lambda pair: pair[1].first_revision
    )
    for name, published in ordered:
        copied.replace_note(name, published.content, published.first_revision)
    copied.revision = source.revision
    copied.chain = source.chain
    return copied
