"""Drafting the next revision from the notes in force."""

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
    chain_revision,
)
from cranberryrelay.notes._schema import REFERENCES


class NoteCommand(NamedTuple):
    """What an operator asks for."""

    # Publish, amend or withdraw.
    action: NoteAction

    # Name of the release note.
    note: str

    # New content; None to withdraw.
    content: NoteContent | None

    # Same for every try of one operation.
    operation_id: str

    # Who asks.
    operator: str

    # Seconds of UTC.
    written_at: float


class Draft(NamedTuple):
    """The next revision and the records that it changes."""

    # The revision to write.
    record: RevisionRecord

    # What it changes, for people.
    changes: list[RecordChange]


def draft_revision(
    folded: FoldedNotes, command: NoteCommand
) -> Result[Draft, Failure]:
    """Draft the revision after the ones folded.

    Errors: ``NOTE_EXISTS``, ``NOTE_NOT_FOUND``, ``NOTE_BAD_REFERENCE``.
    """
    refusal = _refuse_command(folded, command)
    if refusal is not None:
        return Err(refusal)
    after = copy_folded_notes(folded)
    revision = folded.revision + 1
    changes = after.replace_note(command.note, command.content, revision)
    dangling = find_dangling_reference(after.records)
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
        digest=after.digest.value(),
        chain='',
    )
    chained = record._replace(chain=chain_revision(folded.chain, record))
    return Ok(Draft(chained, changes))


def find_dangling_reference(
    records: dict[str, RecordFields],
) -> str | None:
    """Describe a record that names one that does not exist, if any."""
    for key, fields in records.items():
        section = key.partition('.')[0]
        for (home, field), target in REFERENCES.items():
            if home != section:
                continue
            for name in _as_names(fields.get(field)):
                if f'{target}.{name}' not in records:
                    return f'{key}.{field} names {target}.{name}: add it'
    return None


def _as_names(field: str | list[str] | None) -> list[str]:
    if field is None:
        return []
    return [field] if isinstance(field, str) else field


def _refuse_command(
    folded: FoldedNotes, command: NoteCommand
) -> Failure | None:
    published = command.note in folded.notes
    if command.action is NoteAction.PUBLISH and published:
        return fail(ResultCode.NOTE_EXISTS, f'amend {command.note} instead')
    if command.action is not NoteAction.PUBLISH and not published:
        return fail(ResultCode.NOTE_NOT_FOUND, f'publish {command.note} first')
    return None
