"""Streams whose engines fail on the way, without a network."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import (
    ModelWork,
    PromptPart,
    RequestKind,
    Role,
    Upstream,
)
from cranberryrelay.relay._context import (
    Admitted,
    BrokenStreamError,
    StreamReply,
    Tools,
)
from cranberryrelay.relay._model_path import ModelRun
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_route,
    make_settings,
    make_table,
)
from cranberryrelay.timing import open_timer_service

EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 5))
WHOLE = b''.join(EVENTS)
WORK = ModelWork('m', 800, 32, (PromptPart('a', 200), PromptPart('b', 600)))
ID_HEADER = 'X-Cranberryrelay-Request-Id'
NOT_RUN_HEADER = 'X-Cranberryrelay-Not-Executed'
SOURCE_HEADER = 'X-Cranberryrelay-Kv-Source'
READ_ANSWER = (b'{"transfer_handle": "h", "tokens": 800}',)


class Body(httpx.AsyncByteStream):
    """A body that is sent in pieces and may break off after them."""

    def __init__(self, pieces: tuple[bytes, ...], breaks: bool) -> None:
        self.pieces = pieces
        self.breaks = breaks

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for piece in self.pieces:
            yield piece
        if self.breaks:
            raise httpx.ReadError('reset')


class Engines:
    """Engines by host: p1 reads, d1 and d2 generate; d1 has a fault."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.dark: set[str] = set()
        self.calls: list[str] = []

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Answer as the engine of the request's address would."""
        host = request.url.host
        if host in self.dark:
            raise httpx.ConnectError('refused')
        if request.headers.get('X-Cranberryrelay-Stage'):
            self.calls.append(f'{host} reads')
            return respond_with(READ_ANSWER)
        source = request.headers[SOURCE_HEADER].partition('/')[2]
        last = request.headers.get('Last-Event-Id')
        self.calls.append(f'{host} from {source} after {last}')
        if host == 'd1' and self.fault:
            return self.fail()
        return respond_with(EVENTS[int(last or 0) :])

    def fail(self) -> httpx.Response:
        """Answer as the faulty engine."""
        if self.fault == 'unreachable':
            raise httpx.ConnectError('refused')
        if self.fault == 'lost answer':
            raise httpx.ReadError('reset')
        if self.fault == 'refused':
            headers = {ID_HEADER: 'r1', NOT_RUN_HEADER: '1'}
            return httpx.Response(503, headers=headers)
        passed = 0 if self.fault == 'broken at once' else 2
        return respond_with(EVENTS[:passed], breaks=True)


def respond_with(
    pieces: tuple[bytes, ...], breaks: bool = False
) -> httpx.Response:
    """Answer the one request of the test."""
    headers = {ID_HEADER: 'r1'}
    return httpx.Response(200, headers=headers, stream=Body(pieces, breaks))


class Case(NamedTuple):
    """A row: a fault of the first engine, and what the caller gets."""

    name: str
    fault: str
    resumable: bool
    engines: tuple[str, ...]
    content: bytes | None
    calls: tuple[str, ...]


READ = 'p1 reads'
FIRST = 'd1 from h after None'
CASES = (
    Case('no fault', '', False, ('d1', 'd2'), WHOLE, (READ, FIRST)),
    Case(
        'may not run again, a copy was kept',
        'broken',
        False,
        ('d1', 'd2'),
        WHOLE,
        (READ, FIRST, 'd2 from r1 after 2'),
    ),
    Case(
        'answer lost before its first event: there may be no copy',
        'lost answer',
        False,
        ('d1', 'd2'),
        None,
        (READ, FIRST),
    ),
    Case(
        'broken off before its first event: there may be no copy',
        'broken at once',
        False,
        ('d1', 'd2'),
        None,
        (READ, FIRST),
    ),
    Case(
        'may not run again, no engine for a copy',
        'broken',
        False,
        ('d1',),
        None,
        (READ, FIRST),
    ),
    Case(
        'may be resumed',
        'broken',
        True,
        ('d1', 'd2'),
        WHOLE,
        (READ, FIRST, READ, 'd2 from h after 2'),
    ),
    Case(
        'prompt is kept when an engine is out of reach',
        'unreachable',
        False,
        ('d1', 'd2'),
        WHOLE,
        (READ, FIRST, 'd2 from h after None'),
    ),
    Case(
        'refused: another engine with the same prompt',
        'refused',
        False,
        ('d1', 'd2'),
        WHOLE,
        (READ, FIRST, 'd2 from h after None'),
    ),
)


def make_state(generating: tuple[str, ...]) -> RelayState:
    """Make the state of an instance that knows some engines."""
    state = RelayState(make_settings())
    route = make_route(RequestKind.STREAM)
    state.apply_table(make_table(1, route), 'test')
    roles = {'p1': Role.PREFILL} | dict.fromkeys(generating, Role.DECODE)
    for name, role in roles.items():
        engine = Upstream(name, 1, 's', f'{name}:1', 'a', 64, False, role)
        state.apply_upstream(engine, 'test')
    return state


class ModelRunTest(TestCase):
    """Runs one request against engines with a fault."""

    @params(*((case,) for case in CASES))
    def test_faults(self, case: Case) -> None:
        engines = Engines(case.fault)
        content = trio.run(run_request, case, engines)
        self.assertEqual(content, case.content)
        self.assertEqual(tuple(engines.calls), case.calls)

    def test_engines_out_of_reach_draw_on_no_budget(self) -> None:
        engines = Engines('')
        state = make_state(('d1',))
        reader = state.fleet.upstreams['p1']
        state.apply_upstream(reader._replace(domain='far'), 'test')
        for idx in range(8):
            name = f'dark-{idx}'
            dark = reader._replace(name=name, address=f'{name}:1')
            state.apply_upstream(dark, 'test')
            engines.dark.add(name)
        content = trio.run(run_request, CASES[0], engines, state)
        self.assertEqual(content, WHOLE)
        self.assertEqual(len(state.budget('s').repeats), 0)


async def run_request(
    case: Case, engines: Engines, known: RelayState | None = None
) -> bytes | None:
    """Return the body that the caller gets; None if it breaks off."""
    transport = httpx.MockTransport(engines.respond)
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(transport=transport) as client,
        AsyncExitStack() as stack,
    ):
        state = known or make_state(case.engines)
        tools = Tools(state, client, TargetDialect(), timers)
        route = make_route(RequestKind.STREAM)
        admitted = Admitted(
            arrival=make_arrival('r1', WORK)._replace(arrived_at=timers.now()),
            route=route._replace(resumable=case.resumable, attempts_limit=2),
            service='s',
            revision=1,
            ends_at=timers.now() + 5,
            stack=stack,
        )
        ended = await ModelRun(tools, admitted).run()
        reply = ended.ok()
        if reply is None:
            return None
        assert isinstance(reply, StreamReply)
        try:
            return b''.join([piece async for piece in reply.events])
        except BrokenStreamError:
            return None
