"""Drafts the next revision from the notes in force and a command."""

from typing import NamedTuple

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.notes._folded_notes import (
    FoldedNotes,
    RecordChange,
    copy_folded_notes,
)
from cranberryrelay.notes._release_note import NoteContent, RecordFields
from cranberryrelay.notes._revision import (
    NoteAction,
    RevisionRecord,
    compute_chain_digest,
)
from cranberryrelay.notes._schema import REFERENCES


class NoteCommand(NamedTuple):
    """An operator's request to publish, amend or withdraw a release note."""

    # The operation to perform.
    action: NoteAction

    # Name of the release note.
    note: str

    # New content; None when the note is withdrawn.
    content: NoteContent | None

    # Idempotency key: the same for every attempt of one operation.
    operation_id: str

    # Name of the operator.
    operator: str

    # Time of the command by the operator's clock, in seconds of UTC.
    written_at: float


class Draft(NamedTuple):
    """The next revision and the records that it changes."""

    # The revision to record.
    record: RevisionRecord

    # The changed records, shown to operators.
    changes: list[RecordChange]


def draft_revision(
    folded: FoldedNotes, command: NoteCommand
) -> Result[Draft, Failure]:
    """Draft the revision that follows the last one folded.

    Errors: ``NOTE_EXISTS``, ``NOTE_NOT_FOUND``, ``NOTE_BAD_REFERENCE``.
    """
    failure = _check_command(folded, command)
    if failure is not None:
        return Err(failure)
    updated = copy_folded_notes(folded)
    revision = folded.revision + 1
    changes = updated.replace_note(command.note, command.content, revision)
    dangling = find_dangling_reference(updated.records)
    if dangling is not None:
        return Err(fail(ResultCode.NOTE_BAD_REFERENCE, dangling))
    record = RevisionRecord(
        revision=revision,
        action=command.action,
        note=command.note,
        content=command.content,
        operation_id=command.operation_id,
        operator=command.operator,
        written_at=float(command.written_at),
        digest=updated.digest.hexdigest(),
        chain='',
    )
    chained = record._replace(chain=compute_chain_digest(folded.chain, record))
    return Ok(Draft(chained, changes))


def find_dangling_reference(
    records: dict[str, RecordFields],
) -> str | None:
    """Describe the first reference to a record that does not exist, if any."""
    for key, fields in records.items():
        section = key.partition('.')[0]
        for (source_section, field), target_section in REFERENCES.items():
            if source_section != section:
                continue
            for name in _list_names(fields.get(field)):
                if f'{target_section}.{name}' not in records:
                    return (
                        f'{key}.{field} refers to {target_section}.{name}, '
                        'which does not exist: add it'
                    )
    return None


def _list_names(reference: str | list[str] | None) -> list[str]:
    if reference is None:
        return []
    return [reference] if isinstance(reference, str) else reference


def _check_command(folded: FoldedNotes, command: NoteCommand) -> Failure | None:
    published = command.note in folded.notes
    if command.action is NoteAction.PUBLISH and published:
        return fail(
            ResultCode.NOTE_EXISTS, f'{command.note} is published: amend it'
        )
    if command.action is not NoteAction.PUBLISH and not published:
        return fail(
            ResultCode.NOTE_NOT_FOUND,
            f'{command.note} is not published: publish it first',
        )
    return None
