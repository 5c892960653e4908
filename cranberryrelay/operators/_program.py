"""The operators' command line: the only way to drive the system."""

import getpass
import os
import sys
import time
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final, NamedTuple, TypeVar

import fire
import msgspec
import trio
from result import Err, Ok, Result

from cranberryrelay.agreement import (
    load_notes,
    publish,
    read_revision,
)
from cranberryrelay.codes import CODE_TABLE, Failure, ResultCode, fail
from cranberryrelay.notes import (
    NoteAction,
    NoteCommand,
    NoteContent,
    NoteFault,
    RecordChange,
    draft_revision,
    parse_release_note,
)
from cranberryrelay.operators._explain import explain_request, verify_account
from cranberryrelay.operators._status import read_status
from cranberryrelay.platform import HttpObjectApi, open_object_api
from cranberryrelay.timing import TimerService, open_timer_service

PLATFORM_VARIABLE: Final = 'CRANBERRYRELAY_PLATFORM'
DOMAINS_VARIABLE: Final = 'CRANBERRYRELAY_DOMAINS'
DEFAULT_PLATFORM: Final = 'http://127.0.0.1:7100'
DEFAULT_DOMAINS: Final = 4
ACCEPT_SECONDS: Final = 10.0
DIGEST_DIGITS: Final = 12
STORE_TIMEOUT_SECONDS: Final = 3.0
Answered = TypeVar('Answered')


class ChangeLine(NamedTuple):
    """A change that a release note makes, for people."""

    # '+' added, '-' taken away, '~' changed.
    sign: str

    # Record key.
    key: str

    # Fields before and after.
    before: Any
    after: Any


class NotesCommands:
    """Commands of cranberryrelay-notes.

    ``--platform`` and ``--domains`` default to the environment variables
    CRANBERRYRELAY_PLATFORM and CRANBERRYRELAY_DOMAINS; ``--json`` prints
    for programs.
    """

    def __init__(
        self,
        platform: str = '',
        domains: int = 0,
        operator: str = '',
        json: bool = False,
    ) -> None:
        environment = os.environ
        self.platform = platform or environment.get(
            PLATFORM_VARIABLE, DEFAULT_PLATFORM
        )
        self.domains = domains or int(
            environment.get(DOMAINS_VARIABLE, DEFAULT_DOMAINS)
        )
        self.operator = operator or getpass.getuser()
        self.json = json

    def check(self, path: str) -> None:
        """Check a release note and say what is wrong, by line and key."""
        content = self._read_note(path)
        self._write(
            {'note': content.name, 'faults': []},
            f'{content.name}: no fault',
        )

    def diff(self, path: str) -> None:
        """Say what a release note would change, and change nothing."""
        content = self._read_note(path)
        changes = self._run(lambda api, _: _draft(api, content))
        self._write_changes(changes)

    def publish(self, path: str, operation_id: str = '') -> None:
        """Publish a release note; a later one goes before earlier ones."""
        content = self._read_note(path)
        self._command(NoteAction.PUBLISH, content.name, content, operation_id)

    def amend(self, path: str, operation_id: str = '') -> None:
        """Replace the published release note of the same name."""
        content = self._read_note(path)
        self._command(NoteAction.AMEND, content.name, content, operation_id)

    def withdraw(self, note: str, operation_id: str = '') -> None:
        """Withdraw a release note; what it changed is given back."""
        self._command(NoteAction.WITHDRAW, note, None, operation_id)

    def status(self) -> None:
        """Print the revisions, the voices and the cells."""
        found = self._run(lambda api, _: read_status(api, self.domains))
        lines = [
            f'recorded {found.recorded}, accepted {found.accepted}',
            f'notes in force: {", ".join(found.notes) or "none"}',
        ]
        lines.extend(
            f'voice of {one.domain}: {one.holder or "nobody"}, '
            f'confirmed {one.confirmed}'
            for one in found.voices
        )
        for cell in found.cells:
            lines.append(
                f'cell {cell.cell}: {cell.holder or "nobody"}, '
                f'token {cell.token}'
            )
            lines.extend(f'  {upstream}' for upstream in cell.upstreams)
        self._write(_as_plain(found), '\n'.join(lines))

    def history(self, last: int = 20) -> None:
        """Print who published, amended and withdrew what, and when."""
        records = self._run(lambda api, _: _read_history(api, last))
        lines = [
            f'{one.revision} {one.action} {one.note} by {one.operator} '
            f'at {one.written_at:.3f} digest {one.digest[:DIGEST_DIGITS]}'
            for one in records
        ]
        self._write(_as_plain(records), '\n'.join(lines))

    def explain(self, request_id: str) -> None:
        """Say which revision was in force when a request ran."""
        found = self._run(lambda api, _: explain_request(api, request_id))
        if found.record is None:
            text = (
                f'between revisions {found.lowest} and {found.highest}: '
                'the request is in the loss window of a crash'
            )
        else:
            text = (
                f'revision {found.lowest}: {found.record.action} '
                f'{found.record.note} by {found.record.operator} '
                f'(account {found.segment})'
            )
        self._write(_as_plain(found), text)

    def verify(self, domain: str) -> None:
        """Check the seals of a failure domain's account."""
        segments = self._run(lambda api, _: verify_account(api, domain))
        text = f'{domain}: {segments} segments, no gap'
        self._write({'domain': domain, 'segments': segments}, text)

    def _command(
        self,
        action: NoteAction,
        note: str,
        content: NoteContent | None,
        operation_id: str,
    ) -> None:
        command = NoteCommand(
            action,
            note,
            content,
            operation_id or uuid.uuid4().hex,
            self.operator,
            time.time(),
        )
        published = self._run(
            lambda api, timers: publish(
                api, command, self.domains, timers, ACCEPT_SECONDS
            )
        )
        record = published.record
        state = 'accepted' if published.accepted else 'recorded'
        self._write(
            {
                'revision': record.revision,
                'state': state,
                'digest': record.digest,
                'operation_id': record.operation_id,
            },
            f'revision {record.revision} {state}: {action} {note}',
        )
        if not published.accepted:
            recorded = ResultCode.NOTE_RECORDED_ONLY
            failure = fail(recorded, 'it may take effect; see status')
            self._exit(failure, told=True)

    def _read_note(self, path: str) -> NoteContent:
        try:
            text = Path(path).read_text()
        except OSError as error:
            self._exit(fail(ResultCode.NOTE_SYNTAX, str(error)))
        parsed = parse_release_note(text)
        if parsed.is_err():
            self._write_faults(path, parsed.unwrap_err())
        return parsed.unwrap()

    def _write_faults(self, path: str, faults: list[NoteFault]) -> None:
        lines = [
            f'{path}:{fault.line}: {fault.code.value} {fault.key}: '
            f'{fault.detail}'
            for fault in faults
        ]
        self._write({'faults': _as_plain(faults)}, '\n'.join(lines))
        sys.exit(1)

    def _write_changes(self, changes: list[RecordChange]) -> None:
        lines = [_describe_change(change) for change in changes]
        texts = [
            f'{line.sign} {line.key}: {line.before} -> {line.after}'
            for line in lines
        ]
        plain = [line._asdict() for line in lines]
        self._write({'changes': plain}, '\n'.join(texts) or 'no change')

    def _run(
        self,
        work: Callable[
            [HttpObjectApi, TimerService],
            Awaitable[Result[Answered, Failure]],
        ],
    ) -> Answered:
        outcome = trio.run(_with_platform, self.platform, work)
        if outcome.is_err():
            self._exit(outcome.unwrap_err())
        answered: Answered = outcome.unwrap()
        return answered

    def _write(self, plain: Any, text: str) -> None:
        if self.json:
            text = msgspec.json.encode(plain).decode()
        sys.stdout.write(f'{text}\n')

    def _exit(self, failure: Failure, *, told: bool = False) -> None:
        """Exit with a failure; ``told`` if JSON was written already."""
        title = CODE_TABLE[failure.code].title
        if self.json and not told:
            plain = {'code': failure.code.value, 'detail': failure.detail}
            sys.stdout.write(f'{msgspec.json.encode(plain).decode()}\n')
        sys.stderr.write(f'{failure.code.value} {title}: {failure.detail}\n')
        sys.exit(1)


async def _with_platform(
    platform: str,
    work: Callable[
        [HttpObjectApi, TimerService], Awaitable[Result[Answered, Failure]]
    ],
) -> Result[Answered, Failure]:
    async with (
        open_timer_service() as timers,
        open_object_api(platform, STORE_TIMEOUT_SECONDS) as api,
    ):
        return await work(api, timers)


async def _draft(
    api: HttpObjectApi, content: NoteContent
) -> Result[list[RecordChange], Failure]:
    loaded = await load_notes(api)
    if loaded.is_err():
        return Err(loaded.unwrap_err())
    folded = loaded.unwrap().folded
    published = content.name in folded.notes
    action = NoteAction.AMEND if published else NoteAction.PUBLISH
    command = NoteCommand(action, content.name, content, '', '', 0)
    return draft_revision(folded, command).map(lambda draft: draft.changes)


async def _read_history(
    api: HttpObjectApi, last: int
) -> Result[list[Any], Failure]:
    loaded = await load_notes(api)
    if loaded.is_err():
        return Err(loaded.unwrap_err())
    newest = loaded.unwrap().folded.revision
    records = []
    for revision in range(max(newest - last, 0) + 1, newest + 1):
        found = await read_revision(api, revision)
        if found.is_err():
            return Err(found.unwrap_err())
        records.append(found.unwrap())
    return Ok(records)


def _describe_change(change: RecordChange) -> ChangeLine:
    if change.before is None:
        sign = '+'
    elif change.after is None:
        sign = '-'
    else:
        sign = '~'
    return ChangeLine(sign, change.key, change.before, change.after)


def _as_plain(record: Any) -> Any:
    """Turn named tuples into tables, for programs."""
    if hasattr(record, '_asdict'):
        fields = record._asdict()
        return {name: _as_plain(field) for name, field in fields.items()}
    if isinstance(record, (list, tuple)):
        return [_as_plain(one) for one in record]
    return record


def main() -> None:
    """Run the command line."""
    fire.Fire(NotesCommands)
