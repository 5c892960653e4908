"""Sound upstreams that fall silent for a second or so and go on.

Load pattern: some requests run while one, several or all upstreams send no
byte for up to 1.5 s, though they accept connections. Guards against answers
that are cut, sent for again or refused because of it, and against upstreams
that are avoided afterwards.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from itertools import product
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from result import Err
from trio.testing import MockClock

from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import ClientLimits, RequestKind, Role, Upstream
from cranberryrelay.relay._context import (
    BrokenStreamError,
    BufferedReply,
    RelayContext,
)
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._serving import monitor_reach
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_plain_table,
    make_route,
    make_settings,
    make_table,
)
from cranberryrelay.relay.tests.fleet_play import ID_HEADER
from cranberryrelay.timing import open_timer_service

SILENCES_SECONDS = (1.0, 1.2, 1.5)
REQUESTS = 6
LONG_SECONDS = 8.0
MILLISECONDS = 1000
NAMES = ('u0', 'u1', 'u2', 'u3')
ALL = frozenset(NAMES)

# Time that an upstream takes for the head of an answer and for each part of it.
STEP_SECONDS = 0.1
EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 5))
PARTS = (b'who', b'le')
WHOLE = {
    RequestKind.AT_MOST_ONCE: PARTS,
    RequestKind.IDEMPOTENT: PARTS,
    RequestKind.STREAM: EVENTS,
}
PREFILLED = (b'{"transfer_handle": "h", ', b'"tokens": 800}')


class Case(NamedTuple):
    """A row: a kind of call, who falls silent, and when."""

    kind: RequestKind
    silent: frozenset[str]

    # Start of the silence, in steps of the answers.
    begins: float
    silence_seconds: float


CASES = tuple(
    Case(*columns)
    for columns in product(
        (RequestKind.AT_MOST_ONCE, RequestKind.IDEMPOTENT, RequestKind.STREAM),
        (frozenset(('u0',)), frozenset(('u1',)), frozenset(('u0', 'u1')), ALL),
        (0.5, 1.5, 2.5, 3.5, 4.5, 5.5, 6.5, 7.5),
        SILENCES_SECONDS,
    )
)


class SilentUpstreams(httpx.AsyncBaseTransport):
    """Upstreams by host, some of which are silent for a while."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.begins_at = case.begins * STEP_SECONDS
        self.ends_at = self.begins_at + case.silence_seconds
        self.sent: list[tuple[str, str]] = []

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Answer as the upstream at the address of a request."""
        headers = request.headers
        stage = headers.get('X-Cranberryrelay-Stage')
        parts = WHOLE[self.case.kind][int(headers.get('Last-Event-Id', '0')) :]
        self.sent.append((headers[ID_HEADER], stage or ''))
        await self.take_step(request.url.host)
        body = self.send_parts(request.url.host, PREFILLED if stage else parts)
        return httpx.Response(
            200,
            headers={ID_HEADER: headers[ID_HEADER]},
            stream=SilentBody(body),
        )

    async def send_parts(
        self, name: str, parts: tuple[bytes, ...]
    ) -> AsyncIterator[bytes]:
        """Yield the parts of an answer."""
        for part in parts:
            await self.take_step(name)
            yield part

    async def take_step(self, name: str) -> None:
        """Wait until an upstream sends something."""
        await trio.sleep(STEP_SECONDS)
        now = trio.current_time()
        if name in self.case.silent and self.begins_at <= now < self.ends_at:
            await trio.sleep(self.ends_at - now)

    async def probe(self, address: str) -> bool:
        """Accept a connection, as the kernel of a silent process does."""
        return True


class SilentBody(httpx.AsyncByteStream):
    """Body whose parts come from an iterator."""

    def __init__(self, parts: AsyncIterator[bytes]) -> None:
        self.parts = parts

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for part in self.parts:
            yield part


def make_state(case: Case) -> RelayState:
    """Make an instance with four upstreams."""
    route = make_route(case.kind)._replace(attempts_limit=3)
    state = RelayState(make_settings())
    is_stream = case.kind is RequestKind.STREAM
    state.apply_table(
        make_table(1, route)
        if is_stream
        else make_plain_table(1, route, ClientLimits()),
        'test',
    )
    for idx, name in enumerate(NAMES):
        engine_role = Role.DECODE if idx % 2 else Role.PREFILL
        role = engine_role if is_stream else Role.PLAIN
        state.apply_upstream(
            Upstream(name, 1, 's', f'{name}:1', 'a', 64, False, role), 'test'
        )
    return state


async def request(
    pipeline: RelayPipeline, name: str, timeout_seconds: float
) -> bytes:
    """Send a request of a caller; return the body, or the failure's code."""
    headers = (
        (ID_HEADER.encode(), name.encode()),
        (b'Host', b'a.example'),
        (b'X-Cranberryrelay-Model', b'm'),
        (b'X-Cranberryrelay-Token-Count', b'800,32'),
        (
            b'X-Cranberryrelay-Deadline-Ms',
            str(int(timeout_seconds * MILLISECONDS)).encode(),
        ),
    )
    arrival = make_arrival('')._replace(
        headers=headers, arrived_at=pipeline.context.timers.now()
    )
    async with AsyncExitStack() as stack:
        outcome = await pipeline.serve(arrival, stack)
        if isinstance(outcome, Err):
            return outcome.unwrap_err().code.name.encode()
        reply = outcome.unwrap()
        if isinstance(reply, BufferedReply):
            return reply.body
        try:
            return b''.join([event async for event in reply.events])
        except BrokenStreamError:
            return b'broken'


async def play(
    upstreams: SilentUpstreams,
    state: RelayState,
    timeout_seconds: float = LONG_SECONDS,
) -> list[bytes]:
    """Send requests while upstreams are silent; return the answers."""
    answers: list[bytes] = []

    async def send(pipeline: RelayPipeline, name: str) -> None:
        answers.append(await request(pipeline, name, timeout_seconds))

    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(transport=upstreams) as client,
        trio.open_nursery() as nursery,
    ):
        context = RelayContext(
            state, client, TargetDialect(), timers, upstreams.probe
        )
        pipeline = RelayPipeline(context)
        nursery.start_soon(monitor_reach, state, timers, upstreams.probe)
        async with trio.open_nursery() as callers:
            for idx in range(REQUESTS):
                callers.start_soon(send, pipeline, f'r{idx}')
        nursery.cancel_scope.cancel()
    return answers


class SilenceTest(TestCase):
    """Nothing is concluded from a silence that sound upstreams have."""

    # Guards against cutting an answer, sending a request a second time, or
    # avoiding an upstream, because it was silent for a second or so.
    @params(*((case,) for case in CASES))
    def test_answers_are_whole(self, case: Case) -> None:
        upstreams = SilentUpstreams(case)
        state = make_state(case)
        clock = MockClock(autojump_threshold=0)
        answers = trio.run(play, upstreams, state, clock=clock)
        self.assertEqual(set(answers), {b''.join(WHOLE[case.kind])})
        self.assertEqual(len(answers), REQUESTS)
        self.assertEqual(len(upstreams.sent), len(set(upstreams.sent)))
        self.assertFalse(state.reach.cut_off)
        self.assertFalse([one for one in NAMES if state.fleet.has_failed(one)])
        self.assertFalse(state.crash_suspects.registry.records)


class DeadlineCase(NamedTuple):
    """A row: a kind of call, and its time, which ends while all are silent."""

    kind: RequestKind

    # Time of the callers, in seconds.
    timeout_seconds: float

    # Start of the silence, in steps of the answers.
    begins: float


DEADLINE_CASES = tuple(
    DeadlineCase(*columns)
    for columns in product(
        (RequestKind.AT_MOST_ONCE, RequestKind.IDEMPOTENT, RequestKind.STREAM),
        (0.9, 1.2, 1.4),
        (0.5, 1.5, 3.5, 4.5),
    )
)


class DeadlineTest(TestCase):
    """A deadline that ends within a sound silence says nothing of upstreams."""

    # Guards against avoiding an upstream because callers had less time than it
    # was silent.
    @params(*((case,) for case in DEADLINE_CASES))
    def test_upstream_is_not_blamed(self, case: DeadlineCase) -> None:
        silence = Case(case.kind, ALL, case.begins, 1.5)
        upstreams = SilentUpstreams(silence)
        state = make_state(silence)
        clock = MockClock(autojump_threshold=0)
        trio.run(play, upstreams, state, case.timeout_seconds, clock=clock)
        self.assertEqual(len(upstreams.sent), len(set(upstreams.sent)))
        self.assertFalse([one for one in NAMES if state.fleet.has_failed(one)])
        self.assertFalse(state.peer_update.failed)
