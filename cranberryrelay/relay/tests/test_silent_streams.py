"""Streams whose engine falls silent for about a second and goes on.

Guards against cutting such a stream off because the switch to the engine that
keeps its backup does not succeed.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from io import BytesIO
from typing import NamedTuple, TypeVar
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay._context import (
    AdmittedRequest,
    BrokenStreamError,
    RelayContext,
    StreamReply,
)
from cranberryrelay.relay._model_path import ModelRun
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import open_mock_context
from cranberryrelay.relay.tests.test_model_path import (
    EVENTS,
    ID_HEADER,
    NOT_RUN_HEADER,
    PREFILL_RESPONSE,
    SOURCE_HEADER,
    WHOLE,
    make_state,
    respond_with,
)
from cranberryrelay.relay.tests.test_resumed_streams import admit

Result = TypeVar('Result')

# Longer than any silence of a sound engine, shorter than a caller's patience.
LONG_SILENCE_SECONDS = 1.9
SHORT_SILENCE_SECONDS = 1.2

# Moment at which a switch to the backup is on its way, and the time until a
# reset after that.
DURING_SWITCH_SECONDS = 1.8
LATE_SECONDS = 0.5

# More retries than the budget has.
RETRIES = 100

# Streams of one engine that fall silent together.
STREAM_COUNT = 64


class SilentBody(httpx.AsyncByteStream):
    """Events of a stream with a pause after the first.

    ``ending`` is what follows: 'whole' for the other events, 'reset', 'cut'
    for half an event and an end, or 'late reset' for an event and a reset.
    """

    def __init__(self, silence_seconds: float, ending: str = 'whole') -> None:
        self.silence_seconds = silence_seconds
        self.ending = ending
        self.closed_at = float('inf')

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield EVENTS[0]
        await trio.sleep(self.silence_seconds)
        if self.ending == 'whole':
            for event in EVENTS[1:]:
                yield event
        elif self.ending == 'cut':
            yield EVENTS[1][:4]
        elif self.ending == 'late reset':
            yield EVENTS[1]
            await trio.sleep(LATE_SECONDS)
        if self.ending.endswith('reset'):
            raise httpx.ReadError('reset')

    async def aclose(self) -> None:
        """Record when the relay closes the stream."""
        self.closed_at = min(self.closed_at, trio.current_time())


class Case(NamedTuple):
    """A row: how the engine with the backup answers the switch."""

    name: str

    # 'no copy', 'unreachable', 'reset', 'error', 'silent', or '' for a rest of
    # the stream.
    fault: str = ''
    silence_seconds: float = LONG_SILENCE_SECONDS
    budget_spent: bool = False
    backup_rests: bool = False
    ending: str = 'whole'

    # Time that the backup takes to accept.
    accept_seconds: float = 0


CASES = (
    Case('the backup goes on'),
    Case('no copy at the backup', 'no copy'),
    Case('backup unreachable', 'unreachable'),
    Case('backup ends the connection', 'reset'),
    Case('backup answers with an error', 'error'),
    Case('backup silent as well', 'silent'),
    Case('retry budget spent', budget_spent=True),
    Case('backup has asked for rest', backup_rests=True),
    Case('a short silence', 'no copy', SHORT_SILENCE_SECONDS),
    *(
        Case(
            f'{ending} while the backup is asked',
            '',
            DURING_SWITCH_SECONDS,
            ending=ending,
            accept_seconds=0.1,
        )
        for ending in ('whole', 'reset', 'cut', 'late reset')
    ),
    Case('backup accepts late', accept_seconds=0.6),
)


class Engines:
    """Engines of which d1 generates and falls silent."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.body = SilentBody(case.silence_seconds)
        self.switched_at: list[float] = []

        # When the relay gave up calls that go on from the backup.
        self.given_up_at: list[float] = []

    async def respond(self, request: httpx.Request) -> httpx.Response:
        """Respond as the engine at the address of the request."""
        if request.headers.get('X-Cranberryrelay-Stage'):
            return respond_with(PREFILL_RESPONSE)
        source = request.headers[SOURCE_HEADER].partition('/')[2]
        if source == 'h':
            self.body = SilentBody(self.case.silence_seconds, self.case.ending)
            headers = {ID_HEADER: 'r1'}
            return httpx.Response(200, headers=headers, stream=self.body)
        self.switched_at.append(trio.current_time())
        last = int(request.headers['Last-Event-Id'])
        try:
            return await self.answer_switch(EVENTS[last:])
        except trio.Cancelled:
            self.given_up_at.append(trio.current_time())
            raise

    async def answer_switch(self, rest: tuple[bytes, ...]) -> httpx.Response:
        """Answer the call that goes on from the backup."""
        headers = {ID_HEADER: 'r1'}
        fault = self.case.fault
        await trio.sleep(self.case.accept_seconds)
        if fault == 'unreachable':
            raise httpx.ConnectError('refused')
        if fault == 'reset':
            raise httpx.ReadError('reset')
        if fault == 'silent':
            await trio.sleep_forever()
        if fault == 'no copy':
            refusal = {**headers, NOT_RUN_HEADER: '1'}
            return httpx.Response(503, headers=refusal)
        if fault == 'error':
            return httpx.Response(500, headers=headers)
        return respond_with(rest)


class SilentStreamTest(TestCase):
    """A stream is passed on whole though its engine falls silent."""

    # Guards against a stream that is cut off because its engine was silent for
    # a second and the backup could not take over.
    @params(*((case,) for case in CASES))
    def test_stream_is_complete(self, case: Case) -> None:
        content = run_in_virtual_time(serve_stream, Engines(case))
        self.assertEqual(content, WHOLE)

    # Guards against two engines that generate the same stream for longer than
    # it takes to hand it over.
    def test_silent_engine_is_released_by_the_switch(self) -> None:
        engines = Engines(CASES[0])
        run_in_virtual_time(serve_stream, engines)
        self.assertEqual(engines.switched_at, [engines.body.closed_at])

    # Guards against a silent engine and one with the backup that both work on
    # a request, which counts as a second run after 0.4 s.
    @params(0.2, 0.35, 0.6, 5.0)
    def test_two_engines_have_the_request_only_shortly(
        self, accept_seconds: float
    ) -> None:
        case = Case('', silence_seconds=4, accept_seconds=accept_seconds)
        engines = Engines(case)
        content = run_in_virtual_time(serve_stream, engines)
        self.assertEqual(content, WHOLE)
        ended_at = min((engines.body.closed_at, *engines.given_up_at))
        self.assertLess(ended_at - engines.switched_at[0], 0.4)

    # Guards against a retry and a backup that are spent on events which arrived
    # while this process was suspended.
    def test_events_that_waited_are_read_first(self) -> None:
        engines = Engines(Case('', silence_seconds=SHORT_SILENCE_SECONDS))
        clock = MockClock(autojump_threshold=0)
        trio.run(serve_over_suspension, engines, clock, clock=clock)
        self.assertEqual(engines.switched_at, [])

    # Guards against switching for a silence that a sound engine may have.
    def test_short_silence_is_waited_for(self) -> None:
        engines = Engines(Case('', silence_seconds=SHORT_SILENCE_SECONDS))
        run_in_virtual_time(serve_stream, engines)
        self.assertEqual(engines.switched_at, [])

    # Guards against streams of a busy engine that share one retry budget: all
    # but the first were cut off.
    def test_all_streams_of_a_silent_engine_are_complete(self) -> None:
        engines = Engines(Case('', silence_seconds=LONG_SILENCE_SECONDS))
        complete = run_in_virtual_time(serve_streams, engines)
        self.assertEqual(complete, STREAM_COUNT)

    # Guards against taking a silence for the crash of an engine.
    def test_silence_is_no_failure_of_the_engine(self) -> None:
        state = make_state(('d1', 'd2'))
        engines = Engines(CASES[1])
        run_in_virtual_time(serve_stream, engines, state)
        self.assertFalse(state.fleet.has_failed('d1'))
        self.assertFalse(state.crash_suspects.has_news())


def run_in_virtual_time(
    function: Callable[..., Awaitable[Result]], *arguments: object
) -> Result:
    """Run an async function under a clock that skips the waits."""
    clock = MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


async def serve_stream(
    engines: Engines, known_state: RelayState | None = None
) -> bytes | None:
    """Return the body that the caller receives; None if it is incomplete."""
    state = known_state or make_state(('d1', 'd2'))
    async with open_mock_context(state, engines.respond) as context:
        prepare(engines.case, context)
        return await pass_on(context)


async def serve_over_suspension(engines: Engines, clock: MockClock) -> None:
    """Serve one request in a process that stands still in the silence."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_stream, engines)
        await trio.sleep(1)
        clock.jump(LONG_SILENCE_SECONDS)


async def serve_streams(engines: Engines) -> int:
    """Return how many of the streams of one engine were complete."""
    bodies: list[bytes | None] = []

    async def serve_one() -> None:
        bodies.append(await pass_on(context))

    state = make_state(('d1', 'd2'))
    async with (
        open_mock_context(state, engines.respond) as context,
        trio.open_nursery() as nursery,
    ):
        for _ in range(STREAM_COUNT):
            nursery.start_soon(serve_one)
    return bodies.count(WHOLE)


def prepare(case: Case, context: RelayContext) -> None:
    """Set up what a row says of the state."""
    state, now = context.state, context.timers.now()
    if case.budget_spent:
        for _ in range(RETRIES):
            state.take_retry('s', now)
    if case.backup_rests:
        resting = state.fleet.upstreams['d2'].incarnation_id()
        state.fleet.rests.record(resting, 60, now)


async def pass_on(context: RelayContext) -> bytes | None:
    """Serve one request; return its body, None if it is incomplete."""
    async with AsyncExitStack() as stack:
        admitted: AdmittedRequest = admit(
            context.timers.now(), stack, resumable=False
        )
        outcome = await ModelRun(context, admitted).run()
        reply = outcome.unwrap()
        assert isinstance(reply, StreamReply)
        passed = BytesIO()
        try:
            async for event in reply.events:
                passed.write(event)
        except BrokenStreamError:
            return None
    return passed.getvalue()
