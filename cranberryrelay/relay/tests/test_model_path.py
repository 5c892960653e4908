"""Streaming requests whose engine fails, on mock engines without a network.

Guards against a second run of a request that may run only once, against lost
or repeated events, and against needless prefills and retries.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

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
    make_arrival,
    make_route,
    make_settings,
    make_table,
)
from cranberryrelay.timing import open_timer_service

EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 5))
WHOLE = b''.join(EVENTS)
WORK = ModelRequest(
    'm', 800, 32, (PromptSegment('a', 200), PromptSegment('b', 600))
)
ID_HEADER = 'X-Cranberryrelay-Request-Id'
NOT_RUN_HEADER = 'X-Cranberryrelay-Not-Executed'
SOURCE_HEADER = 'X-Cranberryrelay-Kv-Source'
PREFILL_RESPONSE = (b'{"transfer_handle": "h", "tokens": 800}',)


class Body(httpx.AsyncByteStream):
    """A body that is sent in chunks and optionally breaks after the last."""

    def __init__(self, chunks: tuple[bytes, ...], breaks: bool) -> None:
        self.chunks = chunks
        self.breaks = breaks

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for chunk in self.chunks:
            yield chunk
        if self.breaks:
            raise httpx.ReadError('reset')


class Engines:
    """Mock engines by host: p1 prefills, d1 and d2 decode; d1 has a fault."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.unreachable: set[str] = set()
        self.calls: list[str] = []

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Respond as the engine at the address of the request."""
        host = request.url.host
        if host in self.unreachable:
            raise httpx.ConnectError('refused')
        if request.headers.get('X-Cranberryrelay-Stage'):
            self.calls.append(f'{host} prefill')
            return respond_with(PREFILL_RESPONSE)
        source = request.headers[SOURCE_HEADER].partition('/')[2]
        last = request.headers.get('Last-Event-Id')
        self.calls.append(f'{host} from {source} after {last}')
        if host == 'd1' and self.fault:
            return self.fail()
        return respond_with(EVENTS[int(last or 0) :])

    def fail(self) -> httpx.Response:
        """Respond as the faulty engine."""
        if self.fault == 'unreachable':
            raise httpx.ConnectError('refused')
        if self.fault == 'lost response':
            raise httpx.ReadError('reset')
        if self.fault == 'refused':
            headers = {ID_HEADER: 'r1', NOT_RUN_HEADER: '1'}
            return httpx.Response(503, headers=headers)
        event_count = 0 if self.fault == 'broken at once' else 2
        return respond_with(EVENTS[:event_count], breaks=True)


def respond_with(
    chunks: tuple[bytes, ...], breaks: bool = False
) -> httpx.Response:
    """Make a response to the only request of the test."""
    headers = {ID_HEADER: 'r1'}
    return httpx.Response(200, headers=headers, stream=Body(chunks, breaks))


class Case(NamedTuple):
    """A row: a fault of d1, and the body and calls that are expected."""

    name: str
    fault: str
    resumable: bool
    engines: tuple[str, ...]
    content: bytes | None
    calls: tuple[str, ...]


PREFILL = 'p1 prefill'
DECODE = 'd1 from h after None'
CASES = (
    Case('no fault', '', False, ('d1', 'd2'), WHOLE, (PREFILL, DECODE)),
    Case(
        'at most one run: resumed from the backup',
        'broken',
        False,
        ('d1', 'd2'),
        WHOLE,
        (PREFILL, DECODE, 'd2 from r1 after 2'),
    ),
    Case(
        'response lost before its first event: backup may be missing',
        'lost response',
        False,
        ('d1', 'd2'),
        None,
        (PREFILL, DECODE),
    ),
    Case(
        'broken before its first event: backup may be missing',
        'broken at once',
        False,
        ('d1', 'd2'),
        None,
        (PREFILL, DECODE),
    ),
    Case(
        'at most one run: no engine for a backup',
        'broken',
        False,
        ('d1',),
        None,
        (PREFILL, DECODE),
    ),
    Case(
        'resumable: second run on another engine',
        'broken',
        True,
        ('d1', 'd2'),
        WHOLE,
        (PREFILL, DECODE, PREFILL, 'd2 from h after 2'),
    ),
    Case(
        'engine unreachable: KV cache used by another engine',
        'unreachable',
        False,
        ('d1', 'd2'),
        WHOLE,
        (PREFILL, DECODE, 'd2 from h after None'),
    ),
    Case(
        'refused: KV cache used by another engine',
        'refused',
        False,
        ('d1', 'd2'),
        WHOLE,
        (PREFILL, DECODE, 'd2 from h after None'),
    ),
)


def make_state(decode_engines: tuple[str, ...]) -> RelayState:
    """Make the state of an instance with p1 and some decode engines."""
    state = RelayState(make_settings())
    route = make_route(RequestKind.STREAM)
    state.apply_table(make_table(1, route), 'test')
    roles = {'p1': Role.PREFILL} | dict.fromkeys(decode_engines, Role.DECODE)
    for name, role in roles.items():
        engine = Upstream(name, 1, 's', f'{name}:1', 'a', 64, False, role)
        state.apply_upstream(engine, 'test')
    return state


class ModelRunTest(TestCase):
    """Runs one request against mock engines with a fault."""

    @params(*((case,) for case in CASES))
    def test_faults(self, case: Case) -> None:
        engines = Engines(case.fault)
        content = trio.run(run_request, case, engines)
        self.assertEqual(content, case.content)
        self.assertEqual(tuple(engines.calls), case.calls)

    def test_unreachable_engines_use_no_retry_budget(self) -> None:
        engines = Engines('')
        state = make_state(('d1',))
        prefill_engine = state.fleet.upstreams['p1']
        state.apply_upstream(prefill_engine._replace(domain='far'), 'test')
        for idx in range(8):
            name = f'dark-{idx}'
            engine = prefill_engine._replace(name=name, address=f'{name}:1')
            state.apply_upstream(engine, 'test')
            engines.unreachable.add(name)
        content = trio.run(run_request, CASES[0], engines, state)
        self.assertEqual(content, WHOLE)
        self.assertEqual(len(state.retry_budget('s').retries), 0)


async def run_request(
    case: Case, engines: Engines, known_state: RelayState | None = None
) -> bytes | None:
    """Return the body that the caller receives; None if it is incomplete."""
    transport = httpx.MockTransport(engines.respond)
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(transport=transport) as client,
        AsyncExitStack() as stack,
    ):
        state = known_state or make_state(case.engines)
        context = RelayContext(state, client, TargetDialect(), timers)
        route = make_route(RequestKind.STREAM)
        admitted = AdmittedRequest(
            request=make_arrival('r1', WORK)._replace(arrived_at=timers.now()),
            route=route._replace(resumable=case.resumable, attempts_limit=2),
            service='s',
            revision=1,
            deadline=timers.now() + 5,
            stack=stack,
        )
        outcome = await ModelRun(context, admitted).run()
        reply = outcome.ok()
        if reply is None:
            return None
        assert isinstance(reply, StreamReply)
        try:
            return b''.join([chunk async for chunk in reply.events])
        except BrokenStreamError:
            return None
