"""The operators' command line, which is the only way to operate the system."""

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
DEFAULT_PLATFORM_URL: Final = 'http://127.0.0.1:7100'
DEFAULT_DOMAIN_COUNT: Final = 4
ACCEPT_TIMEOUT_SECONDS: Final = 10.0
SHORT_DIGEST_DIGITS: Final = 12
STORE_TIMEOUT_SECONDS: Final = 3.0
ResultValue = TypeVar('ResultValue')


class ChangeLine(NamedTuple):
    """A record changed by a release note, as printed for operators."""

    # '+' for an added record, '-' for a removed and '~' for a changed one.
    sign: str

    # Record key, such as 'models.digest'.
    key: str

    # Fields before and after the change; None if the record does not exist.
    before: Any
    after: Any


class NotesCommands:
    """Commands of cranberryrelay-notes.

    ``--platform`` is the URL of the object API and ``--domains`` the number
    of failure domains; they default to the environment variables
    CRANBERRYRELAY_PLATFORM and CRANBERRYRELAY_DOMAINS.  ``--operator`` is
    the name that is recorded with each revision and defaults to the login
    name.  ``--json`` prints JSON instead of text.
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
            PLATFORM_VARIABLE, DEFAULT_PLATFORM_URL
        )
        self.domains = domains or int(
            environment.get(DOMAINS_VARIABLE, DEFAULT_DOMAIN_COUNT)
        )
        self.operator = operator or getpass.getuser()
        self.json = json

    def check(self, path: str) -> None:
        """Check a release note and print its errors with line and key."""
        content = self._read_note(path)
        self._write(
            {'note': content.name, 'faults': []},
            f'{content.name}: no fault',
        )

    def diff(self, path: str) -> None:
        """Print what a release note would change, without changing it."""
        content = self._read_note(path)
        changes = self._run(lambda api, _: _preview_changes(api, content))
        self._write_changes(changes)

    def publish(self, path: str, operation_id: str = '') -> None:
        """Publish a release note, which takes precedence over earlier ones."""
        content = self._read_note(path)
        self._submit_command(
            NoteAction.PUBLISH, content.name, content, operation_id
        )

    def amend(self, path: str, operation_id: str = '') -> None:
        """Replace the published release note that has the same name."""
        content = self._read_note(path)
        self._submit_command(
            NoteAction.AMEND, content.name, content, operation_id
        )

    def withdraw(self, note: str, operation_id: str = '') -> None:
        """Withdraw a release note and revert the changes that it made."""
        self._submit_command(NoteAction.WITHDRAW, note, None, operation_id)

    def status(self) -> None:
        """Print the last revisions, the notes, the voices and the cells."""
        status = self._run(lambda api, _: read_status(api, self.domains))
        lines = [
            f'recorded {status.recorded}, accepted {status.accepted}',
            f'notes in force: {", ".join(status.notes) or "none"}',
        ]
        lines.extend(
            f'voice of {voice.domain}: {voice.holder or "nobody"}, '
            f'confirmed {voice.confirmed}'
            for voice in status.voices
        )
        for cell in status.cells:
            lines.append(
                f'cell {cell.cell}: {cell.holder or "nobody"}, '
                f'token {cell.token}'
            )
            lines.extend(f'  {upstream}' for upstream in cell.upstreams)
        self._write(_to_builtins(status), '\n'.join(lines))

    def history(self, last: int = 20) -> None:
        """Print the last operations with note, operator, time and digest."""
        records = self._run(lambda api, _: _read_history(api, last))
        lines = [
            f'{record.revision} {record.action} {record.note} '
            f'by {record.operator} at {record.written_at:.3f} '
            f'digest {record.digest[:SHORT_DIGEST_DIGITS]}'
            for record in records
        ]
        self._write(_to_builtins(records), '\n'.join(lines))

    def explain(self, request_id: str) -> None:
        """Print which revision was in force when a request ran."""
        explanation = self._run(lambda api, _: explain_request(api, request_id))
        if explanation.record is None:
            text = (
                f'between revisions {explanation.lowest} '
                f'and {explanation.highest}: '
                'the request is in the loss window of a crash'
            )
        else:
            text = (
                f'revision {explanation.lowest}: {explanation.record.action} '
                f'{explanation.record.note} by {explanation.record.operator} '
                f'(account {explanation.segment})'
            )
        self._write(_to_builtins(explanation), text)

    def verify(self, domain: str) -> None:
        """Check the hash chain of a failure domain's account."""
        segments = self._run(lambda api, _: verify_account(api, domain))
        text = f'{domain}: {segments} segments, no gap'
        self._write({'domain': domain, 'segments': segments}, text)

    def _submit_command(
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
                api, command, self.domains, timers, ACCEPT_TIMEOUT_SECONDS
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
            code = ResultCode.NOTE_RECORDED_ONLY
            failure = fail(code, 'it may still take effect: check status')
            self._exit(failure, json_written=True)

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
        self._write({'faults': _to_builtins(faults)}, '\n'.join(lines))
        sys.exit(1)

    def _write_changes(self, changes: list[RecordChange]) -> None:
        lines = [_describe_change(change) for change in changes]
        texts = [
            f'{line.sign} {line.key}: {line.before} -> {line.after}'
            for line in lines
        ]
        json_changes = [line._asdict() for line in lines]
        self._write({'changes': json_changes}, '\n'.join(texts) or 'no change')

    def _run(
        self,
        operation: Callable[
            [HttpObjectApi, TimerService],
            Awaitable[Result[ResultValue, Failure]],
        ],
    ) -> ResultValue:
        outcome = trio.run(_run_with_platform, self.platform, operation)
        if outcome.is_err():
            self._exit(outcome.unwrap_err())
        returned: ResultValue = outcome.unwrap()
        return returned

    def _write(self, json_value: Any, text: str) -> None:
        if self.json:
            text = msgspec.json.encode(json_value).decode()
        sys.stdout.write(f'{text}\n')

    def _exit(self, failure: Failure, *, json_written: bool = False) -> None:
        """Write a failure to stderr and exit with status 1.

        With ``--json`` the failure is written to stdout as well, unless the
        command has already written its JSON.
        """
        title = CODE_TABLE[failure.code].title
        if self.json and not json_written:
            json_value = {'code': failure.code.value, 'detail': failure.detail}
            sys.stdout.write(f'{msgspec.json.encode(json_value).decode()}\n')
        sys.stderr.write(f'{failure.code.value} {title}: {failure.detail}\n')
        sys.exit(1)


async def _run_with_platform(
    platform: str,
    operation: Callable[
        [HttpObjectApi, TimerService], Awaitable[Result[ResultValue, Failure]]
    ],
) -> Result[ResultValue, Failure]:
    async with (
        open_timer_service() as timers,
        open_object_api(platform, STORE_TIMEOUT_SECONDS) as api,
    ):
        return await operation(api, timers)


async def _preview_changes(
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
        outcome = await read_revision(api, revision)
        if outcome.is_err():
            return Err(outcome.unwrap_err())
        records.append(outcome.unwrap())
    return Ok(records)


def _describe_change(change: RecordChange) -> ChangeLine:
    if change.before is None:
        sign = '+'
    elif change.after is None:
        sign = '-'
    else:
        sign = '~'
    return ChangeLine(sign, change.key, change.before, change.after)


def _to_builtins(value: Any) -> Any:
    """Convert named tuples to dictionaries and tuples to lists for JSON."""
    if hasattr(value, '_asdict'):
        fields = value._asdict()
        return {name: _to_builtins(field) for name, field in fields.items()}
    if isinstance(value, (list, tuple)):
        return [_to_builtins(element) for element in value]
    return value


def main() -> None:
    """Run the command line of cranberryrelay-notes."""
    fire.Fire(NotesCommands)
