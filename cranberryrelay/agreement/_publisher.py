"""Publishing a revision: one conditional update, settled when in doubt.

Recorded means that the head object holds or held the revision.  Accepted
means that a majority of failure domains confirmed it; from then on no
instance admits work under an older one for longer than the evidence bound.
"""

from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.agreement._archive import (
    LoadedNotes,
    keep_history,
    load_notes,
    read_accepted,
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

SETTLE_ATTEMPTS: Final = 5
SETTLE_SECONDS: Final = 0.5
ACCEPT_POLL_SECONDS: Final = 0.25
HISTORY_SEARCH_LIMIT: Final = 64


class Published(NamedTuple):
    """What became of an operator's command."""

    # The revision.
    record: RevisionRecord

    # True once a majority of failure domains confirmed it.
    accepted: bool

    # What it changed; empty when an earlier try had written it.
    changes: tuple[RecordChange, ...]


async def publish(
    api: ObjectApi,
    command: NoteCommand,
    domain_count: int,
    timers: TimerService,
    accept_seconds: float,
) -> Result[Published, Failure]:
    """Record a revision and wait until it is accepted.

    Errors: those of drafting and of the object API, ``NOTE_CONFLICT`` with
    the winner's name, ``NOTE_OUTCOME_UNKNOWN`` when the store stays silent.
    """
    recorded = await record_revision(api, command, timers)
    if recorded.is_err():
        return recorded
    published = recorded.unwrap()
    accepted = await wait_accepted(
        api, published.record.revision, domain_count, timers, accept_seconds
    )
    return Ok(published._replace(accepted=accepted))


async def record_revision(
    api: ObjectApi, command: NoteCommand, timers: TimerService
) -> Result[Published, Failure]:
    """Write the next revision by conditional update of the head."""
    loaded = await load_notes(api)
    if loaded.is_err():
        return Err(loaded.unwrap_err())
    notes = loaded.unwrap()
    earlier = await find_operation(api, notes, command.operation_id)
    if earlier is not None:
        return Ok(Published(earlier, accepted=False, changes=()))
    draft = draft_revision(notes.folded, command)
    if draft.is_err():
        return Err(draft.unwrap_err())
    failure = await keep_history(api, notes)
    if failure is not None:
        return Err(failure)
    record = draft.unwrap().record
    body = encode_revision(record)
    if len(body) > VALUE_BYTES_LIMIT:
        return Err(fail(ResultCode.NOTE_TOO_LARGE, 'split the note'))
    written = await api.write(HEAD_KEY, body, notes.head_version)
    if written.is_err():
        settled = await _settle(api, command, written.unwrap_err(), timers)
        if settled.is_err():
            return Err(settled.unwrap_err())
        record = settled.unwrap()
    changes = tuple(draft.unwrap().changes)
    return Ok(Published(record, accepted=False, changes=changes))


async def find_operation(
    api: ObjectApi, loaded: LoadedNotes, operation_id: str
) -> RevisionRecord | None:
    """Find the revision that an earlier try of an operation wrote."""
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


async def wait_accepted(
    api: ObjectApi,
    revision: int,
    domain_count: int,
    timers: TimerService,
    accept_seconds: float,
) -> bool:
    """Wait until a revision is accepted; False if it is not in time."""
    give_up_at = timers.now() + accept_seconds
    while timers.now() < give_up_at:
        accepted = await read_accepted(api, domain_count)
        if accepted.is_ok() and accepted.unwrap() >= revision:
            return True
        await timers.pause(ACCEPT_POLL_SECONDS)
    return False


async def _settle(
    api: ObjectApi,
    command: NoteCommand,
    failure: Failure,
    timers: TimerService,
) -> Result[RevisionRecord, Failure]:
    """Find out whether a write that was not confirmed took effect."""
    if failure.code is ResultCode.STORE_UNAVAILABLE:
        return Err(failure)
    for _ in range(SETTLE_ATTEMPTS):
        loaded = await load_notes(api)
        if loaded.is_ok():
            notes = loaded.unwrap()
            mine = await find_operation(api, notes, command.operation_id)
            if mine is not None:
                return Ok(mine)
            if failure.code is ResultCode.STORE_CONFLICT:
                return Err(_name_winner(notes))
        await timers.pause(SETTLE_SECONDS)
    detail = f'run it again with --operation-id {command.operation_id}'
    return Err(fail(ResultCode.NOTE_OUTCOME_UNKNOWN, detail))


def _name_winner(notes: LoadedNotes) -> Failure:
    head = notes.head
    if head is None:
        return fail(ResultCode.NOTE_CONFLICT, 'run it again')
    detail = (
        f'{head.operator} wrote revision {head.revision} '
        f'({head.action} {head.note}) first; run it again'
    )
    return fail(ResultCode.NOTE_CONFLICT, detail)
