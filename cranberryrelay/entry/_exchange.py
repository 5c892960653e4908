"""The filters that get a slot and run a request on engines.

Every attempt has a fresh exchange id; tokens that carry another id or come
out of order end the attempt.  An attempt that fails is resumed on another
engine after the tokens that the caller already has.
"""

import uuid
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from http import HTTPStatus
from typing import Final, NamedTuple

import httpx
import trio

from cranberryrelay.codes import Failure, Ran, ResultCode, fail
from cranberryrelay.entry._actor import EntryLink
from cranberryrelay.entry._context import Ranked
from cranberryrelay.entry._messages import (
    AskSlot,
    Assigned,
    EndSlot,
    HandOn,
    Reassign,
    SlotGiven,
)
from cranberryrelay.notes import digest_text
from cranberryrelay.policy import BLOCK_CHARACTERS
from cranberryrelay.records import decode_record, encode_record
from cranberryrelay.timing import TimerService, limit_time

CHARACTERS_PER_TOKEN: Final = 4
TOKEN_TIMEOUT_SECONDS: Final = 5.0
MILLISECONDS: Final = 1000
WAIT_FACTOR: Final = 10
NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.NOT_FOUND,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class TokenText(NamedTuple):
    """A token of the answer."""

    # Its text.
    text: str


class WholeAnswer(NamedTuple):
    """The answer is whole."""

    # Its tokens.
    tokens: int


class BrokenAnswer(NamedTuple):
    """The answer can not be made whole."""

    # Why, and whether any of it ran.
    failure: Failure


class AttemptFailed(NamedTuple):
    """One attempt on one engine has failed."""

    # Why.
    failure: Failure

    # True if the engine died while it ran the request.
    crashed: bool


Piece = TokenText | WholeAnswer | BrokenAnswer


class GenerateBody(NamedTuple):
    """What an engine is asked for; docs/INTERFACES.md gives the meaning."""

    exchange: str
    model: str
    prompt: str
    start: int
    end: int
    priority: int
    cache_scope: str
    kv_from: str


class TokenLine(NamedTuple):
    """What an engine answers, line by line."""

    exchange: str
    position: int
    text: str
    done: bool


def make_ask(ranked: Ranked, now: float) -> AskSlot:
    """Build the question for a slot."""
    pinned = ranked.identified.pinned
    caller = ranked.identified.caller
    scope = f'{caller.name}/{ranked.kind.name}/'
    wait_ms = min(
        ranked.kind.first_token_ms * _patience(ranked.rank.level),
        pinned.notes.request_ms,
    )
    return AskSlot(
        notes=pinned.notes,
        caller=caller.name,
        weight=caller.weight,
        rank=ranked.rank.name,
        kind=ranked.kind,
        prefix=digest_text(scope + ranked.prompt[:BLOCK_CHARACTERS]),
        prompt_tokens=len(ranked.prompt) // CHARACTERS_PER_TOKEN + 1,
        output_tokens=ranked.tokens,
        fingerprint=digest_text(scope + ranked.prompt),
        start_by=now + wait_ms / MILLISECONDS,
    )


async def exchange(
    ranked: Ranked,
    link: EntryLink,
    client: httpx.AsyncClient,
    timers: TimerService,
) -> AsyncGenerator[Piece, None]:
    """Yield the tokens of an answer, then whether it is whole."""
    asked = make_ask(ranked, timers.now())
    granted = await link.ask(asked)
    if granted.is_err():
        yield BrokenAnswer(granted.unwrap_err())
        return
    given: SlotGiven = granted.unwrap()
    whole = False
    try:
        async with aclosing(
            _run_attempts(ranked, given, link, client, timers)
        ) as pieces:
            async for piece in pieces:
                whole = isinstance(piece, WholeAnswer)
                yield piece
    finally:
        await link.tell(EndSlot(given.slot, whole))


async def _run_attempts(
    ranked: Ranked,
    given: SlotGiven,
    link: EntryLink,
    client: httpx.AsyncClient,
    timers: TimerService,
) -> AsyncGenerator[Piece, None]:
    request_ms = ranked.identified.pinned.notes.request_ms
    deadline = timers.now() + request_ms / MILLISECONDS
    received = 0
    ran = Ran.NOT_RUN
    while True:
        body = _make_body(ranked, given.assigned, received)
        ended: AttemptFailed | None = None
        attempt = run_attempt(client, given.assigned, body)
        async with aclosing(_limit(attempt, deadline, timers)) as pieces:
            async for piece in pieces:
                if isinstance(piece, AttemptFailed):
                    ended = piece
                else:
                    received += 1
                    yield piece
        if ended is None and not must_hand_on(given.assigned, body, received):
            yield WholeAnswer(received)
            return
        ran = ran_after_attempt(ran, ended)
        again = await _go_on(link, given, ended, body.exchange)
        if isinstance(again, BrokenAnswer):
            yield BrokenAnswer(again.failure._replace(ran=ran))
            return
        given = again


async def _limit(
    attempt: AsyncGenerator[TokenText | AttemptFailed, None],
    deadline: float,
    timers: TimerService,
) -> AsyncGenerator[TokenText | AttemptFailed, None]:
    """Pass an attempt's pieces on, up to its failure or the deadline."""
    async with aclosing(attempt) as pieces:
        async for piece in pieces:
            yield piece
            if timers.now() > deadline:
                yield AttemptFailed(_late(), crashed=False)
                return


def must_hand_on(assigned: Assigned, body: GenerateBody, received: int) -> bool:
    """Tell if an attempt without a failure was only the answer's start.

    An engine that decodes may end an answer before the last token wanted.
    """
    return assigned.prefill_only and received >= body.end


def ran_after_attempt(before: Ran, ended: AttemptFailed | None) -> Ran:
    """Say what is true of a request after one more attempt.

    An attempt without a failure has run; one that failed says so itself.
    """
    if ended is None or Ran.MAY_HAVE_RUN in {before, ended.failure.ran}:
        return Ran.MAY_HAVE_RUN
    return Ran.NOT_RUN


async def _go_on(
    link: EntryLink,
    given: SlotGiven,
    ended: AttemptFailed | None,
    attempt: str,
) -> SlotGiven | BrokenAnswer:
    if ended is None:
        return await _ask_again(link, HandOn(given.slot))
    if ended.failure.code is ResultCode.DEADLINE_PASSED:
        return BrokenAnswer(ended.failure)
    return await _ask_again(link, Reassign(given.slot, ended.crashed, attempt))


async def _ask_again(
    link: EntryLink, question: Reassign | HandOn
) -> SlotGiven | BrokenAnswer:
    again = await link.ask(question)
    if again.is_err():
        return BrokenAnswer(again.unwrap_err())
    assigned: SlotGiven = again.unwrap()
    return assigned


async def run_attempt(
    client: httpx.AsyncClient, assigned: Assigned, body: GenerateBody
) -> AsyncGenerator[TokenText | AttemptFailed, None]:
    """Run a request on one engine; ends early with the failure, if any."""
    url = f'http://{assigned.address}/generate'
    started = False
    try:
        async with client.stream(
            'POST', url, content=encode_record(body)
        ) as response:
            if not response.is_success:
                detail = f'{assigned.engine} gave {response.status_code}'
                failure = fail(ResultCode.UPSTREAM_FAILED, detail, Ran.NOT_RUN)
                yield AttemptFailed(failure, crashed=False)
                return
            started = True
            async with aclosing(_read_tokens(response, body)) as tokens:
                async for token in tokens:
                    yield token
    except httpx.HTTPError as error:
        detail = f'{assigned.engine}: {error!r}'
        ran = _ran_after(error, started=started)
        failed = fail(ResultCode.UPSTREAM_FAILED, detail, ran)
        yield AttemptFailed(failed, crashed=started)


def ran_after_status(status: int) -> Ran:
    """Say what an engine's refusal proves: two of them that it did not run."""
    return Ran.NOT_RUN if status in NOT_RUN_STATUSES else Ran.MAY_HAVE_RUN


async def _read_tokens(
    response: httpx.Response, body: GenerateBody
) -> AsyncGenerator[TokenText | AttemptFailed, None]:
    lines = response.aiter_lines()
    position = body.start
    while True:
        line = await _next_line(lines)
        if isinstance(line, AttemptFailed):
            yield line
            return
        fits = line.exchange == body.exchange and line.position == position
        if not fits:
            detail = f'got {line.exchange}, {line.position}'
            failure = fail(ResultCode.ANSWER_MISMATCH, detail)
            yield AttemptFailed(failure, crashed=False)
            return
        if line.done:
            return
        position += 1
        yield TokenText(line.text)


async def _next_line(
    lines: AsyncIterator[str],
) -> TokenLine | AttemptFailed:
    text = ''
    with limit_time(TOKEN_TIMEOUT_SECONDS) as scope:
        text = await anext(lines, '')
    if scope.cancelled_caught:
        late = fail(ResultCode.UPSTREAM_TIMEOUT, 'no token in time')
        return AttemptFailed(late, crashed=False)
    if not text:
        ended = fail(ResultCode.UPSTREAM_FAILED, 'the stream ended early')
        return AttemptFailed(ended, crashed=True)
    decoded = decode_record(text, TokenLine)
    if decoded.is_err():
        detail = decoded.unwrap_err().detail
        broken = fail(ResultCode.ANSWER_MISMATCH, detail)
        return AttemptFailed(broken, crashed=False)
    return decoded.unwrap()


def _ran_after(error: httpx.HTTPError, *, started: bool) -> Ran:
    unsent = isinstance(error, (httpx.ConnectError, httpx.ConnectTimeout))
    return Ran.NOT_RUN if unsent and not started else Ran.MAY_HAVE_RUN


def _make_body(
    ranked: Ranked, assigned: Assigned, received: int
) -> GenerateBody:
    return GenerateBody(
        exchange=uuid.uuid4().hex,
        model=ranked.kind.model,
        prompt=ranked.prompt,
        start=received,
        end=received + 1 if assigned.prefill_only else ranked.tokens,
        priority=assigned.priority,
        cache_scope=ranked.identified.caller.name,
        kv_from=assigned.kv_from,
    )


def _late() -> Failure:
    return fail(ResultCode.DEADLINE_PASSED, 'ask for fewer tokens')


def _patience(level: int) -> int:
    return 1 if level == 1 else WAIT_FACTOR


async def collect_answer(
    pieces: AsyncIterator[Piece],
) -> tuple[str, WholeAnswer | BrokenAnswer]:
    """Collect a whole answer, or what is wrong with it."""
    texts: list[str] = []
    async for piece in pieces:
        if isinstance(piece, TokenText):
            texts.append(piece.text)
        else:
            return ''.join(texts), piece
        await trio.lowlevel.checkpoint()
    ended = fail(ResultCode.UPSTREAM_FAILED, 'the answer has no end')
    return '', BrokenAnswer(ended)
