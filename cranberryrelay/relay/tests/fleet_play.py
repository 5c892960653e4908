"""Plays a fleet in virtual time, without a network, on mock engines."""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from typing import Final, NamedTuple, Protocol

import httpx
import trio

from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import ModelRequest, RequestKind, Role, Upstream
from cranberryrelay.relay._context import (
    AdmittedRequest,
    BrokenStreamError,
    RelayContext,
    StreamReply,
)
from cranberryrelay.relay._model_path import ModelRun
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_route,
    make_table,
)
from cranberryrelay.relay.tests.test_group_talk import FakeNetwork, Fleet
from cranberryrelay.timing import open_timer_service

DOMAINS: Final = ('a', 'b', 'c')
EVENTS: Final = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 5))
PREFILL_RESPONSE: Final = b'{"transfer_handle": "h", "tokens": 800}'
ID_HEADER: Final = 'X-Cranberryrelay-Request-Id'
STAGE_HEADER: Final = 'X-Cranberryrelay-Stage'
EVENT_SECONDS: Final = 0.03
DEADLINE_SECONDS: Final = 8.0
DISCOVERY_SECONDS: Final = 5.0


class MockEngines(Protocol):
    """Engines by host."""

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Respond as the engine at the host of the request."""


class EventBody(httpx.AsyncByteStream):
    """A stream of events that breaks when its engine has ended."""

    def __init__(
        self,
        events: tuple[bytes, ...],
        has_ended: Callable[[], bool] | None = None,
    ) -> None:
        self.events = events
        self.has_ended = has_ended

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for event in self.events:
            await trio.sleep(EVENT_SECONDS)
            if self.has_ended is not None and self.has_ended():
                raise httpx.ReadError('reset')
            yield event


class Load(NamedTuple):
    """Requests of one kind; their ids begin with its name."""

    # Name of the kind.
    name: str

    # Requests a second, sent to the instances in turn.
    per_second: float

    # Makes the prompt of a request from its id.
    make_work: Callable[[str], ModelRequest]


class FleetSize(NamedTuple):
    """Numbers of instances and engines."""

    instances: int
    prefill_engines: int
    decode_engines: int


class FleetPlay:
    """A fleet that serves some loads for a while."""

    def __init__(self, size: FleetSize, engines: MockEngines) -> None:
        self.size = size
        self.engines = engines
        self.served: dict[str, list[tuple[float, bool]]] = {}
        self.states: list[RelayState] = []

    async def run(self, loads: tuple[Load, ...], seconds: float) -> None:
        """Start the fleet, let it discover itself, and send the requests."""
        transport = httpx.MockTransport(self.engines.respond)
        async with (
            open_timer_service() as timers,
            httpx.AsyncClient(transport=transport) as client,
            trio.open_nursery() as nursery,
        ):
            fleet = Fleet(FakeNetwork(), nursery)
            for idx in range(self.size.instances):
                name = f'front-{DOMAINS[idx % len(DOMAINS)]}-{idx:02d}'
                await fleet.start(name, timers)
                self.states.append(fleet.protocols[name].state)
                self.list_engines(self.states[-1])
            await trio.sleep(DISCOVERY_SECONDS)
            contexts = [
                RelayContext(one.state, client, TargetDialect(), timers)
                for one in fleet.protocols.values()
            ]
            async with trio.open_nursery() as running:
                for load in loads:
                    running.start_soon(self.send, contexts, load, seconds)
            nursery.cancel_scope.cancel()

    async def send(
        self, contexts: list[RelayContext], load: Load, seconds: float
    ) -> None:
        """Send the requests of a load."""
        async with trio.open_nursery() as requests:
            for number in range(int(seconds * load.per_second)):
                context = contexts[number * 5 % len(contexts)]
                requests.start_soon(self.request, context, load, number)
                await trio.sleep(1 / load.per_second)

    async def request(
        self, context: RelayContext, load: Load, number: int
    ) -> None:
        """Send one request and record whether it was served whole."""
        started_at = trio.current_time()
        request_id = f'{load.name}-{number}'
        content = await run_request(
            context, request_id, load.make_work(request_id)
        )
        whole = content == b''.join(EVENTS)
        self.served.setdefault(load.name, []).append((started_at, whole))

    def share_served(self, name: str, begin: float) -> float:
        """Return the share of a load, from a time on, that was served whole."""
        served = [
            whole
            for started_at, whole in self.served[name]
            if started_at >= begin
        ]
        return sum(served) / max(len(served), 1)

    def restart_engine(self, name: str) -> None:
        """Replace an engine's entry by that of a new start, everywhere."""
        for state in self.states:
            ended = state.fleet.upstreams[name]
            started = ended._replace(started_at_ms=ended.started_at_ms + 1)
            state.remove_upstream(name, 'test')
            state.apply_upstream(started, 'test')

    def list_engines(self, state: RelayState) -> None:
        """Give an instance its routing table and engines."""
        state.apply_table(make_table(1, make_route(RequestKind.STREAM)), 'test')
        counts = {
            Role.PREFILL: self.size.prefill_engines,
            Role.DECODE: self.size.decode_engines,
        }
        for role, count in counts.items():
            for idx in range(count):
                name = f'{role.value[0]}{idx}'
                engine = Upstream(
                    name, 1, 's', f'{name}:1', 'a', 64, False, role
                )
                state.apply_upstream(engine, 'test')


async def run_request(
    context: RelayContext, request_id: str, work: ModelRequest
) -> bytes | None:
    """Return the body that the caller receives; None if it is incomplete."""
    now = context.timers.now()
    arrival = make_arrival(request_id, work)
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
