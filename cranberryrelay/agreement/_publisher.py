"""Publishes a revision by one conditional update of the head object.

If the outcome of the update is unknown, the store is read to find out.
A revision is recorded if the head object holds or held it.  It is accepted
once a majority of failure domains confirmed it; after that, no instance
admits work under an older revision for longer than the evidence bound.
"""

from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.agreement._archive import (
    LoadedNotes,
    archive_head,
    load_notes,
    read_accepted_revision,
    read_revision,
)
from cranberryrelay.agreement._spread import HEAD_KEY
from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.notes import (
    NoteCommand,
    RecordChange,
    RevisionRecord,
    draft_revision,
    encode_revision,
)
from cranberryrelay.platform import VALUE_BYTES_LIMIT, ObjectApi
from cranberryrelay.timing import TimerService

RESOLVE_ATTEMPTS: Final = 5
RESOLVE_INTERVAL_SECONDS: Final = 0.5
ACCEPTANCE_POLL_SECONDS: Final = 0.25
HISTORY_SEARCH_LIMIT: Final = 64


class PublishOutcome(NamedTuple):
    """The outcome of an operator's command."""

    # The recorded revision.
    record: RevisionRecord

    # Whether a majority of failure domains confirmed the revision.
    accepted: bool

    # Changes of the revision; empty if an earlier attempt recorded it.
    changes: tuple[RecordChange, ...]


async def publish(
    api: ObjectApi,
    command: NoteCommand,
    domain_count: int,
    timers: TimerService,
    accept_timeout_seconds: float,
) -> Result[PublishOutcome, Failure]:
    """Record a revision and wait until it is accepted.

    Errors: those of drafting and of the object API, ``NOTE_CONFLICT`` with
    the name of the operator whose revision was recorded first,
    ``NOTE_OUTCOME_UNKNOWN`` if the outcome could not be determined.
    """
    recorded = await record_revision(api, command, timers)
    if recorded.is_err():
        return recorded
    published = recorded.unwrap()
    accepted = await wait_until_accepted(
        api,
        published.record.revision,
        domain_count,
        timers,
        accept_timeout_seconds,
    )
    return Ok(published._replace(accepted=accepted))


async def record_revision(
    api: ObjectApi, command: NoteCommand, timers: TimerService
) -> Result[PublishOutcome, Failure]:
    """Write the next revision by a conditional update of the head object.

    Idempotent: if the operation id of ``command`` is already recorded, that
    revision is returned.
    """
    loaded = await load_notes(api)
    if loaded.is_err():
        return Err(loaded.unwrap_err())
    notes = loaded.unwrap()
    earlier = await find_operation(api, notes, command.operation_id)
    if earlier is not None:
        return Ok(PublishOutcome(earlier, accepted=False, changes=()))
    draft = draft_revision(notes.folded, command)
    if draft.is_err():
        return Err(draft.unwrap_err())
    failure = await archive_head(api, notes)
    if failure is not None:
        return Err(failure)
    record = draft.unwrap().record
    body = encode_revision(record)
    if len(body) > VALUE_BYTES_LIMIT:
        return Err(
            fail(
                ResultCode.NOTE_TOO_LARGE,
                'the revision exceeds the size of a store object; '
                'split the release note',
            )
        )
    written = await api.write(HEAD_KEY, body, notes.head_version)
    if written.is_err():
        resolved = await _resolve_write(
            api, command, written.unwrap_err(), timers
        )
        if resolved.is_err():
            return Err(resolved.unwrap_err())
        record = resolved.unwrap()
    changes = tuple(draft.unwrap().changes)
    return Ok(PublishOutcome(record, accepted=False, changes=changes))


async def find_operation(
    api: ObjectApi, loaded: LoadedNotes, operation_id: str
) -> RevisionRecord | None:
    """Return the revision that an earlier attempt of an operation wrote.

    Searches the loaded revisions and the ``HISTORY_SEARCH_LIMIT`` revisions
    before them; None if there is no such revision.
    """
    for record in reversed(loaded.tail):
        if record.operation_id == operation_id:
            return record
    first_known = loaded.tail[0].revision if loaded.tail else 1
    lowest = max(first_known - HISTORY_SEARCH_LIMIT, 1)
    if loaded.head is not None and not loaded.tail:
        first_known = loaded.head.revision + 1
        lowest = max(first_known - HISTORY_SEARCH_LIMIT, 1)
    for revision in range(first_known - 1, lowest - 1, -1):
        found = await read_revision(api, revision)
        if found.is_ok() and found.unwrap().operation_id == operation_id:
            return found.unwrap()
    return None


async def wait_until_accepted(
    api: ObjectApi,
    revision: int,
    domain_count: int,
    timers: TimerService,
    accept_timeout_seconds: float,
) -> bool:
    """Wait until a revision is accepted; return False on timeout."""
    deadline = timers.now() + accept_timeout_seconds
    while timers.now() < deadline:
        accepted = await read_accepted_revision(api, domain_count)
        if accepted.is_ok() and accepted.unwrap() >= revision:
            return True
        await timers.pause(ACCEPTANCE_POLL_SECONDS)
    return False


async def _resolve_write(
    api: ObjectApi,
    command: NoteCommand,
    failure: Failure,
    timers: TimerService,
) -> Result[RevisionRecord, Failure]:
    """Determine whether a write that was not acknowledged took effect."""
    if failure.code is ResultCode.STORE_UNAVAILABLE:
        return Err(failure)
    for _ in range(RESOLVE_ATTEMPTS):
        loaded = await load_notes(api)
        if loaded.is_ok():
            notes = loaded.unwrap()
            own_record = await find_operation(api, notes, command.operation_id)
            if own_record is not None:
                return Ok(own_record)
            if failure.code is ResultCode.STORE_CONFLICT:
                return Err(_conflict_failure(notes))
        await timers.pause(RESOLVE_INTERVAL_SECONDS)
    detail = (
        'the store did not confirm the write; run the command again with '
        f'--operation-id {command.operation_id}'
    )
    return Err(fail(ResultCode.NOTE_OUTCOME_UNKNOWN, detail))


def _conflict_failure(notes: LoadedNotes) -> Failure:
    head = notes.head
    if head is None:
        return fail(
            ResultCode.NOTE_CONFLICT,
            'the head object changed during the write; run the command again',
        )
    detail = (
        f'{head.operator} wrote revision {head.revision} '
        f'({head.action} {head.note}) first; run the command again'
    )
    return fail(ResultCode.NOTE_CONFLICT, detail)
