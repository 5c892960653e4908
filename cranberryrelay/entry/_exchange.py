"""Acquires a slot for a request and runs it on engines.

Every attempt has a unique exchange id; a token line with another id or out of
order fails the attempt.  After a failed attempt the request resumes on another
engine, after the tokens that were already sent to the caller.
"""

import uuid
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from http import HTTPStatus
from typing import Final, NamedTuple

import httpx
import trio

from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail
from cranberryrelay.entry._actor import CoreActor
from cranberryrelay.entry._context import RankedRequest
from cranberryrelay.entry._messages import (
    EngineAssignment,
    HandOffToDecode,
    ReassignSlot,
    ReleaseSlot,
    SlotGrant,
    SlotRequest,
)
from cranberryrelay.notes import digest_text
from cranberryrelay.policy import PREFIX_KEY_CHARACTERS
from cranberryrelay.records import decode_record, encode_record
from cranberryrelay.timing import TimerService, limit_time

CHARACTERS_PER_TOKEN: Final = 4
TOKEN_TIMEOUT_SECONDS: Final = 5.0

# Largest line of an engine's answer, in bytes.
LINE_BYTES_LIMIT: Final = 1_000_000
MILLISECONDS_PER_SECOND: Final = 1000
LOWER_RANK_WAIT_FACTOR: Final = 10
NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.NOT_FOUND,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class TokenText(NamedTuple):
    """One token of the answer."""

    # Text of the token.
    text: str


class CompletedAnswer(NamedTuple):
    """Ends the events of an answer that was completed."""

    # Number of tokens in the answer.
    token_count: int


class FailedAnswer(NamedTuple):
    """Ends the events of an answer that can not be completed."""

    # Reason, and whether any part of the request may have run.
    failure: Failure


class AttemptFailed(NamedTuple):
    """Ends the events of a failed attempt on one engine."""

    # Reason, and whether any part of the attempt may have run.
    failure: Failure

    # True if the engine crashed while it ran the request.
    crashed: bool


AnswerEvent = TokenText | CompletedAnswer | FailedAnswer


class GenerateBody(NamedTuple):
    """Body of a request to an engine; see docs/INTERFACES.md."""

    exchange: str
    model: str
    prompt: str
    start: int
    end: int
    priority: int
    cache_scope: str
    kv_from: str


class TokenLine(NamedTuple):
    """One line of an engine's response."""

    exchange: str
    position: int
    text: str
    done: bool


def make_slot_request(ranked: RankedRequest, now: float) -> SlotRequest:
    """Build the request for a slot.

    The wait for a slot is limited by the target for the first token (times a
    factor below the top rank) and by the limit for the whole request.
    """
    admitted = ranked.identified.admitted
    caller = ranked.identified.caller
    scope = f'{caller.name}/{ranked.kind.name}/'
    wait_ms = min(
        ranked.kind.first_token_ms * _wait_factor(ranked.rank.level),
        admitted.notes.request_ms,
    )
    return SlotRequest(
        notes=admitted.notes,
        caller=caller.name,
        weight=caller.weight,
        rank=ranked.rank.name,
        kind=ranked.kind,
        prefix=digest_text(scope + ranked.prompt[:PREFIX_KEY_CHARACTERS]),
        prompt_tokens=len(ranked.prompt) // CHARACTERS_PER_TOKEN + 1,
        output_tokens=ranked.max_tokens,
        fingerprint=digest_text(scope + ranked.prompt),
        start_by=now + wait_ms / MILLISECONDS_PER_SECOND,
    )


async def generate_answer(
    ranked: RankedRequest,
    actor: CoreActor,
    client: httpx.AsyncClient,
    timers: TimerService,
) -> AsyncGenerator[AnswerEvent, None]:
    """Yield the tokens of an answer, then its completion or failure."""
    slot_request = make_slot_request(ranked, timers.now())
    grant_result = await actor.ask(slot_request)
    if grant_result.is_err():
        yield FailedAnswer(grant_result.unwrap_err())
        return
    grant: SlotGrant = grant_result.unwrap()
    completed = False
    try:
        async with aclosing(
            _run_attempts(ranked, grant, actor, client, timers)
        ) as events:
            async for event in events:
                completed = isinstance(event, CompletedAnswer)
                yield event
    finally:
        await actor.tell(ReleaseSlot(grant.slot_id, completed))


async def _run_attempts(
    ranked: RankedRequest,
    grant: SlotGrant,
    actor: CoreActor,
    client: httpx.AsyncClient,
    timers: TimerService,
) -> AsyncGenerator[AnswerEvent, None]:
    request_ms = ranked.identified.admitted.notes.request_ms
    deadline = timers.now() + request_ms / MILLISECONDS_PER_SECOND
    received_tokens = 0
    ran = ExecutionState.NOT_RUN
    while True:
        body = _make_body(ranked, grant.assignment, received_tokens)
        failed_attempt: AttemptFailed | None = None
        attempt = run_attempt(client, grant.assignment, body)
        async with aclosing(
            _stop_at_deadline(attempt, deadline, timers)
        ) as events:
            async for event in events:
                if isinstance(event, AttemptFailed):
                    failed_attempt = event
                else:
                    received_tokens += 1
                    yield event
        if failed_attempt is None and not needs_decode_handoff(
            grant.assignment, body, received_tokens
        ):
            yield CompletedAnswer(received_tokens)
            return
        ran = execution_state_after_attempt(ran, failed_attempt)
        next_grant = await request_next_engine(
            actor, grant, failed_attempt, body.exchange
        )
        if isinstance(next_grant, FailedAnswer):
            yield FailedAnswer(next_grant.failure._replace(ran=ran))
            return
        grant = next_grant


async def _stop_at_deadline(
    attempt: AsyncGenerator[TokenText | AttemptFailed, None],
    deadline: float,
    timers: TimerService,
) -> AsyncGenerator[TokenText | AttemptFailed, None]:
    """Yield the events of an attempt until it ends or the deadline passes."""
    async with aclosing(attempt) as events:
        async for event in events:
            yield event
            if timers.now() > deadline:
                yield AttemptFailed(_make_deadline_failure(), crashed=False)
                return


def needs_decode_handoff(
    assignment: EngineAssignment, body: GenerateBody, received_tokens: int
) -> bool:
    """Return whether a successful attempt was only the prefill.

    A decode engine may end an answer before the requested number of tokens.
    """
    return assignment.prefill_only and received_tokens >= body.end


def execution_state_after_attempt(
    state_before: ExecutionState, failed_attempt: AttemptFailed | None
) -> ExecutionState:
    """Return the execution state of a request after one more attempt.

    A successful attempt has run; a failed one carries its own state.
    """
    if failed_attempt is None or ExecutionState.MAY_HAVE_RUN in {
        state_before,
        failed_attempt.failure.ran,
    }:
        return ExecutionState.MAY_HAVE_RUN
    return ExecutionState.NOT_RUN


async def request_next_engine(
    actor: CoreActor,
    grant: SlotGrant,
    failed_attempt: AttemptFailed | None,
    attempt_id: str,
) -> SlotGrant | FailedAnswer:
    """Request the next engine after an attempt; None for one that succeeded."""
    if failed_attempt is None:
        return await _request_engine(actor, HandOffToDecode(grant.slot_id))
    failure = failed_attempt.failure
    if failure.code is ResultCode.DEADLINE_PASSED:
        return FailedAnswer(failure)
    reassign = ReassignSlot(
        grant.slot_id,
        failed_attempt.crashed,
        attempt_id,
        not_run=failure.ran is ExecutionState.NOT_RUN,
    )
    return await _request_engine(actor, reassign)


async def _request_engine(
    actor: CoreActor, command: ReassignSlot | HandOffToDecode
) -> SlotGrant | FailedAnswer:
    grant_result = await actor.ask(command)
    if grant_result.is_err():
        return FailedAnswer(grant_result.unwrap_err())
    grant: SlotGrant = grant_result.unwrap()
    return grant


async def run_attempt(
    client: httpx.AsyncClient, assignment: EngineAssignment, body: GenerateBody
) -> AsyncGenerator[TokenText | AttemptFailed, None]:
    """Run an attempt on one engine; a failure is the last event."""
    url = f'http://{assignment.address}/generate'
    started = False
    try:
        async with client.stream(
            'POST',
            url,
            content=encode_record(body),
            headers={'Accept-Encoding': 'identity'},
        ) as response:
            if not response.is_success:
                status = response.status_code
                detail = f'{assignment.engine}: status {status}'
                ran = execution_state_after_status(status)
                failure = fail(ResultCode.UPSTREAM_FAILED, detail, ran)
                yield AttemptFailed(failure, crashed=False)
                return
            started = True
            async with aclosing(_read_tokens(response, body)) as tokens:
                async for token in tokens:
                    yield token
    except httpx.HTTPError as error:
        detail = f'{assignment.engine}: {error!r}'
        ran = _execution_state_after_error(error, started=started)
        failure = fail(ResultCode.UPSTREAM_FAILED, detail, ran)
        yield AttemptFailed(failure, crashed=started)


def execution_state_after_status(status: int) -> ExecutionState:
    """Return the execution state after an engine refused a request.

    Only the statuses in ``NOT_RUN_STATUSES`` prove that it did not run.
    """
    return (
        ExecutionState.NOT_RUN
        if status in NOT_RUN_STATUSES
        else ExecutionState.MAY_HAVE_RUN
    )


async def _read_tokens(
    response: httpx.Response, body: GenerateBody
) -> AsyncGenerator[TokenText | AttemptFailed, None]:
    lines = _read_lines(response)
    position = body.start
    while True:
        line = await _next_line(lines)
        if isinstance(line, AttemptFailed):
            yield line
            return
        matches = line.exchange == body.exchange and line.position == position
        if not matches:
            detail = f'unexpected line {line.exchange}, {line.position}'
            failure = fail(ResultCode.ANSWER_MISMATCH, detail)
            yield AttemptFailed(failure, crashed=False)
            return
        if line.done:
            return
        position += 1
        yield TokenText(line.text)


async def _read_lines(response: httpx.Response) -> AsyncIterator[str]:
    """Yield the lines of an answer; raises ``httpx.HTTPError``."""
    incomplete = b''
    async for part in response.aiter_raw():
        *lines, incomplete = (incomplete + part).split(b'\n')
        for line in lines:
            yield line.decode(errors='replace')
        if len(incomplete) > LINE_BYTES_LIMIT:
            detail = f'a line exceeds {LINE_BYTES_LIMIT} bytes'
            raise httpx.RemoteProtocolError(detail)
    if incomplete:
        yield incomplete.decode(errors='replace')


async def _next_line(
    lines: AsyncIterator[str],
) -> TokenLine | AttemptFailed:
    text = ''
    with limit_time(TOKEN_TIMEOUT_SECONDS) as scope:
        text = await anext(lines, '')
    if scope.cancelled_caught:
        timed_out = fail(
            ResultCode.UPSTREAM_TIMEOUT, 'no token before the timeout'
        )
        return AttemptFailed(timed_out, crashed=False)
    if not text:
        cut_off = fail(
            ResultCode.UPSTREAM_FAILED, 'the stream ended before its last line'
        )
        return AttemptFailed(cut_off, crashed=True)
    decoded = decode_record(text, TokenLine)
    if decoded.is_err():
        detail = decoded.unwrap_err().detail
        malformed = fail(ResultCode.ANSWER_MISMATCH, detail)
        return AttemptFailed(malformed, crashed=False)
    return decoded.unwrap()


def _execution_state_after_error(
    error: httpx.HTTPError, *, started: bool
) -> ExecutionState:
    unsent = isinstance(error, (httpx.ConnectError, httpx.ConnectTimeout))
    return (
        ExecutionState.NOT_RUN
        if unsent and not started
        else ExecutionState.MAY_HAVE_RUN
    )


def _make_body(
    ranked: RankedRequest, assignment: EngineAssignment, received_tokens: int
) -> GenerateBody:
    return GenerateBody(
        exchange=uuid.uuid4().hex,
        model=ranked.kind.model,
        prompt=ranked.prompt,
        start=received_tokens,
        end=received_tokens + 1
        if assignment.prefill_only
        else ranked.max_tokens,
        priority=assignment.priority,
        cache_scope=ranked.identified.caller.name,
        kv_from=assignment.kv_from,
    )


def _make_deadline_failure() -> Failure:
    return fail(
        ResultCode.DEADLINE_PASSED,
        'request time limit exceeded; ask for fewer tokens',
    )


def _wait_factor(level: int) -> int:
    return 1 if level == 1 else LOWER_RANK_WAIT_FACTOR


async def collect_answer(
    events: AsyncIterator[AnswerEvent],
) -> tuple[str, CompletedAnswer | FailedAnswer]:
    """Return the text of an answer, and its completion or failure."""
    texts: list[str] = []
    async for event in events:
        if isinstance(event, TokenText):
            texts.append(event.text)
        else:
            return ''.join(texts), event
        await trio.lowlevel.checkpoint()
    failure = fail(
        ResultCode.UPSTREAM_FAILED, 'the answer ended without completion'
    )
    return '', FailedAnswer(failure)
