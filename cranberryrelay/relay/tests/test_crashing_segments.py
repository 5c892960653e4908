"""A prompt segment that crashes each decode engine that generates from it.

Load pattern, in virtual time and without a network: requests with the segment
arrive at all instances of a fleet, among sound ones that share their other
segments. A crashed engine is back after some seconds.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import (
    ModelRequest,
    PromptSegment,
    RequestKind,
    Role,
    Upstream,
)
from cranberryrelay.relay._context import (
    AdmittedRequest,
    BrokenStreamError,
    RelayContext,
    StreamReply,
)
from cranberryrelay.relay._model_path import ModelRun
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    BOUNDS,
    make_arrival,
    make_route,
    make_table,
)
from cranberryrelay.relay.tests.test_group_talk import FakeNetwork, Fleet
from cranberryrelay.timing import open_timer_service

DEADLY = 'deadly'
DOMAINS = ('a', 'b', 'c')
PREFILL_ENGINES = ('p1', 'p2')
EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 5))
PREFILL_RESPONSE = b'{"transfer_handle": "h", "tokens": 800}'
EVENT_SECONDS = 0.03
DOWN_SECONDS = 3.0
PLAY_SECONDS = 25.0
DEADLINE_SECONDS = 8.0
ID_HEADER = 'X-Cranberryrelay-Request-Id'

# Bounds that the operators state for such requests.
CRASHES_TO_LEARN_FROM = 5
REQUESTS_ALLOWED = 3
SOUND_SHARE = 0.5


class CrashingEngines:
    """Engines that crash, with all their streams, on the deadly segment."""

    def __init__(self) -> None:
        self.down_until: dict[str, float] = {}
        self.starts: dict[str, int] = {}
        self.crashed_at: list[float] = []
        self.deadly_reached_at: list[float] = []

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Respond as the engine at the host of the request."""
        host = request.url.host
        now = trio.current_time()
        if self.down_until.get(host, 0) > now:
            raise httpx.ConnectError('refused')
        request_id = request.headers[ID_HEADER]
        deadly = request_id.startswith(DEADLY)
        if deadly:
            self.deadly_reached_at.append(now)
        headers = {ID_HEADER: request_id}
        if request.headers.get('X-Cranberryrelay-Stage'):
            prefill = EventBody(self, host, 0, (PREFILL_RESPONSE,))
            return httpx.Response(200, headers=headers, stream=prefill)
        if deadly:
            self.crashed_at.append(now)
            self.down_until[host] = now + DOWN_SECONDS
            self.starts[host] = self.starts.get(host, 0) + 1
        first = int(request.headers.get('Last-Event-Id', 0))
        start = self.starts.get(host, 0) - deadly
        stream = EventBody(self, host, start, EVENTS[first:])
        return httpx.Response(200, headers=headers, stream=stream)


class EventBody(httpx.AsyncByteStream):
    """A stream of events that breaks when its engine crashes."""

    def __init__(
        self,
        engines: CrashingEngines,
        host: str,
        start: int,
        events: tuple[bytes, ...],
    ) -> None:
        self.engines = engines
        self.host = host
        self.start = start
        self.events = events

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for event in self.events:
            await trio.sleep(EVENT_SECONDS)
            if self.engines.starts.get(self.host, 0) != self.start:
                raise httpx.ReadError('reset')
            yield event


class Case(NamedTuple):
    """A row: the size of the fleet and the rates of requests."""

    name: str
    instances: int
    decode_engines: int
    deadly_per_second: float
    sound_per_second: float


CASES = (
    Case('full mesh, two decode engines', 6, 2, 0.4, 10),
    Case('full mesh, frequent', 6, 4, 2.0, 10),
    Case('hubs, frequent', 21, 6, 4.0, 20),
)


class Play:
    """A fleet that serves sound and deadly requests for some seconds."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.engines = CrashingEngines()
        self.network = FakeNetwork()
        self.sound_served: list[tuple[float, bool]] = []

    async def run(self) -> None:
        """Start the fleet, let it discover itself, and send the requests."""
        transport = httpx.MockTransport(self.engines.respond)
        async with (
            open_timer_service() as timers,
            httpx.AsyncClient(transport=transport) as client,
            trio.open_nursery() as nursery,
        ):
            fleet = Fleet(self.network, nursery)
            for idx in range(self.case.instances):
                name = f'front-{DOMAINS[idx % len(DOMAINS)]}-{idx:02d}'
                await fleet.start(name, timers)
                list_engines(fleet.protocols[name].state, self.case)
            await trio.sleep(5)
            contexts = [
                RelayContext(one.state, client, TargetDialect(), timers)
                for one in fleet.protocols.values()
            ]
            async with trio.open_nursery() as load:
                load.start_soon(
                    self.send, contexts, 'sound', self.case.sound_per_second
                )
                load.start_soon(
                    self.send, contexts, DEADLY, self.case.deadly_per_second
                )
            nursery.cancel_scope.cancel()

    async def send(
        self, contexts: list[RelayContext], kind: str, per_second: float
    ) -> None:
        """Send requests of a kind to the instances in turn."""
        async with trio.open_nursery() as requests:
            for number in range(int(PLAY_SECONDS * per_second)):
                context = contexts[number * 5 % len(contexts)]
                requests.start_soon(self.request, context, f'{kind}-{number}')
                await trio.sleep(1 / per_second)

    async def request(self, context: RelayContext, request_id: str) -> None:
        """Send one request and record whether it was served whole."""
        started_at = trio.current_time()
        content = await run_request(context, request_id)
        if not request_id.startswith(DEADLY):
            whole = content == b''.join(EVENTS)
            self.sound_served.append((started_at, whole))

    def share_served(self, begin: float, end: float) -> float:
        """Return the share of sound requests served whole in a period."""
        served = [
            whole
            for started_at, whole in self.sound_served
            if begin <= started_at < end
        ]
        return sum(served) / max(len(served), 1)


def list_engines(state: RelayState, case: Case) -> None:
    """Give an instance its routing table and engines."""
    state.apply_table(make_table(1, make_route(RequestKind.STREAM)), 'test')
    decode_names = [f'd{idx}' for idx in range(case.decode_engines)]
    roles = dict.fromkeys(PREFILL_ENGINES, Role.PREFILL)
    roles |= dict.fromkeys(decode_names, Role.DECODE)
    for name, role in roles.items():
        engine = Upstream(name, 1, 's', f'{name}:1', 'a', 64, False, role)
        state.apply_upstream(engine, 'test')


def make_work(request_id: str) -> ModelRequest:
    """Make a prompt; the deadly segment follows segments of sound ones."""
    topic = f'topic-{int(request_id.rpartition("-")[2]) % 5}'
    digests = ['system', topic, request_id]
    if request_id.startswith(DEADLY):
        digests.insert(2, DEADLY)
    segments = tuple(PromptSegment(digest, 200) for digest in digests)
    return ModelRequest('m', 200 * len(segments), 32, segments)


async def run_request(context: RelayContext, request_id: str) -> bytes | None:
    """Return the body that the caller receives; None if it is incomplete."""
    now = context.timers.now()
    arrival = make_arrival(request_id, make_work(request_id))
    route = make_route(RequestKind.STREAM)
    async with AsyncExitStack() as stack:
        admitted = AdmittedRequest(
            request=arrival._replace(
                arrived_at=now,
                headers=((ID_HEADER.encode(), request_id.encode()),),
            ),
            route=route._replace(resumable=True, attempts_limit=2),
            service='s',
            revision=1,
            deadline=now + DEADLINE_SECONDS,
            stack=stack,
        )
        outcome = await ModelRun(context, admitted).run()
        reply = outcome.ok()
        if not isinstance(reply, StreamReply):
            return None
        try:
            return b''.join([chunk async for chunk in reply.events])
        except BrokenStreamError:
            return None


class CrashingSegmentTest(TestCase):
    """Engines must not be crashed on and on by new requests."""

    # Guards against passing a segment on after it has crashed five engines,
    # and against refusing sound requests that share its other segments.
    @params(*((case,) for case in CASES))
    def test_segment_that_crashes_engines_is_held_back(
        self, case: Case
    ) -> None:
        play = Play(case)
        trio.run(play.run, clock=MockClock(autojump_threshold=0))
        crashes = play.engines.crashed_at
        learned_at = crashes[:CRASHES_TO_LEARN_FROM][-1]
        late = [
            reached_at
            for reached_at in play.engines.deadly_reached_at
            if reached_at > learned_at + BOUNDS.stable_seconds
        ]
        self.assertLessEqual(len(late), REQUESTS_ALLOWED, crashes)
        begin = learned_at + 2 * BOUNDS.stable_seconds
        share = play.share_served(begin, float('inf'))
        self.assertGreaterEqual(share, SOUND_SHARE)
