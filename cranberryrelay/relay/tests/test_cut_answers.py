"""Answers that an upstream breaks off at each byte, as a caller reads them.

The upstream, the instance, a peer in between and the caller are connected over
loopback. Guards against an answer that seems complete to the caller though its
upstream has not sent all of it, also where a second instance passes it on.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from itertools import product
from typing import Final, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import RequestKind, Role, Upstream
from cranberryrelay.relay._context import RelayContext
from cranberryrelay.relay._forward_targets import ForwardTarget
from cranberryrelay.relay._front_app import make_forward_app, make_front_app
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._upstream_call import make_upstream_client
from cranberryrelay.relay.tests.fixtures import (
    make_plain_table,
    make_route,
    make_settings,
    make_table,
    pick_port,
)
from cranberryrelay.relay.tests.test_bad_input import LIMITS
from cranberryrelay.relay.tests.test_faulty_answers import HEAD_END, ID_HEADER
from cranberryrelay.relay.tests.test_kept_connections import (
    EVENTS,
    PREFILLED,
    reset,
)
from cranberryrelay.serving import HttpServerOptions, serve_http
from cranberryrelay.serving.tests.callers import (
    read_idle_limit,
    wait_until_listening,
)
from cranberryrelay.standins import LOOPBACK
from cranberryrelay.timing import open_timer_service

GRACE_SECONDS: Final = 1.0
BODY: Final = b'whole answer'
OK: Final = 200


class Framing(NamedTuple):
    """How an upstream tells the end of its answer."""

    # What is tested.
    name: str

    # Header line; '' for none.
    line: str

    # Whether the body is sent in chunks.
    chunked: bool = False

    def make_answer(self, request_id: str, body: bytes) -> bytes:
        """Return a whole answer."""
        lines = (
            'HTTP/1.1 200 OK',
            f'{ID_HEADER}: {request_id}',
            *((self.line,) if self.line else ()),
        )
        head = '\r\n'.join((*lines, '', '')).encode()
        if not self.chunked:
            return head + body
        half = len(body) // 2
        chunks = (body[:half], body[half:], b'')
        return head + b''.join(
            b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks
        )


COUNTED: Final = Framing('counted', f'Content-Length: {len(BODY)}')
COUNTED_EVENTS: Final = Framing('counted', f'Content-Length: {len(EVENTS)}')
CHUNKED: Final = Framing('chunked', 'Transfer-Encoding: chunked', chunked=True)
UNFRAMED: Final = Framing('ends with its connection', '')


class CuttingUpstream:
    """Sends a part of its answer and resets the connection."""

    def __init__(self, framing: Framing, body: bytes, cut_at: int) -> None:
        self.framing = framing
        self.body = body
        self.cut_at = cut_at

    async def answer(self, stream: trio.SocketStream) -> None:
        """Answer the only request of a connection."""
        received = b''
        while HEAD_END not in received:
            received += await stream.receive_some()
        if b'Cranberryrelay-Stage: prefill' in received:
            counted = Framing('prefill', f'Content-Length: {len(PREFILLED)}')
            await stream.send_all(counted.make_answer('r1', PREFILLED))
            await stream.aclose()
            return
        whole = self.framing.make_answer('r1', self.body)
        sent = whole[: self.cut_at]
        if sent:
            await stream.send_all(sent)
            await trio.testing.wait_all_tasks_blocked(0.001)
        await reset(stream)


def make_states(kind: RequestKind, ports: dict[Role, int]) -> list[RelayState]:
    """Make the states of an instance that is cut off and of its peer."""
    route = make_route(kind)
    table = make_table(1, route)
    if Role.PLAIN in ports:
        table = make_plain_table(1, route, LIMITS)
    states = []
    for name in ('front-a-1', 'front-a-2'):
        state = RelayState(make_settings(name))
        state.apply_table(table, 'test')
        state.upstreams_listed = True
        for role, port in ports.items():
            address = f'{LOOPBACK}:{port}'
            upstream = Upstream(
                role.value, 1, 's', address, 'a', 6, False, role
            )
            state.apply_upstream(upstream, 'test')
        states.append(state)
    return states


@asynccontextmanager
async def serve_instances(
    states: list[RelayState], *, forwards: bool
) -> AsyncIterator[str]:
    """Serve the instances; yield the address of the one that callers call."""
    first, second = states
    async with (
        open_timer_service() as timers,
        make_upstream_client() as client,
        trio.open_nursery() as nursery,
    ):
        served = (
            (first, make_front_app, pick_port()),
            (second, make_forward_app, pick_port()),
        )
        for state, make_app, port in served:
            context = RelayContext(state, client, TargetDialect(), timers)
            options = HttpServerOptions(
                f'{LOOPBACK}:{port}', GRACE_SECONDS, read_idle_limit
            )
            nursery.start_soon(
                partial(serve_http, make_app(context), options),
                trio.sleep_forever,
            )
            await wait_until_listening(port)
        if forwards:
            first.reach.cut_off = True
            target = ForwardTarget(f'{LOOPBACK}:{served[1][2]}', 'a')
            first.forward_targets.record_report('peer', [target], timers.now())
        yield f'{LOOPBACK}:{served[0][2]}'
        nursery.cancel_scope.cancel()


class Read(NamedTuple):
    """What a caller reads."""

    # HTTP status; 0 if there is none.
    status: int

    # Body, as far as it has arrived.
    body: bytes

    # Whether the answer has the end that its head promises.
    is_complete: bool


async def call(address: str) -> Read:
    """Send a request and read its answer."""
    headers = {
        'Host': 'a.example',
        ID_HEADER: 'r1',
        'X-Cranberryrelay-Model': 'm',
        'X-Cranberryrelay-Token-Count': '800,32',
    }
    chunks: list[bytes] = []
    status = 0
    async with httpx.AsyncClient(trust_env=False) as client:
        try:
            async with client.stream(
                'POST', f'http://{address}/a/1', headers=headers
            ) as response:
                status = response.status_code
                async for chunk in response.aiter_raw():
                    chunks.append(chunk)  # noqa: PERF401
        except httpx.HTTPError:
            return Read(status, b''.join(chunks), is_complete=False)
    return Read(status, b''.join(chunks), is_complete=True)


async def call_cut(
    kind: RequestKind, upstream: CuttingUpstream, *, forwards: bool
) -> Read:
    """Call an upstream through an instance, and a peer if it forwards."""
    roles: tuple[Role, ...] = (Role.PREFILL, Role.DECODE)
    if kind is not RequestKind.STREAM:
        roles = (Role.PLAIN,)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, upstream.answer, listeners)
        states = make_states(kind, dict.fromkeys(roles, port))
        async with serve_instances(states, forwards=forwards) as address:
            read = await call(address)
        nursery.cancel_scope.cancel()
    return read


def read_through(
    kind: RequestKind, upstream: CuttingUpstream, *, forwards: bool
) -> Read:
    """Return what a caller reads through an instance, or through two."""
    return trio.run(partial(call_cut, kind, upstream, forwards=forwards))


class CutAnswerTest(TestCase):
    """Callers of an instance, and of one that forwards to a peer."""

    @params(*product((COUNTED, CHUNKED, UNFRAMED), (False, True)))
    def test_call(self, framing: Framing, forwards: bool) -> None:
        whole = framing.make_answer('r1', BODY)
        start = whole.index(HEAD_END)
        for cut_at in range(start, len(whole) + (framing is UNFRAMED)):
            upstream = CuttingUpstream(framing, BODY, cut_at)
            read = read_through(
                RequestKind.AT_MOST_ONCE, upstream, forwards=forwards
            )
            self.assertNotEqual(read.status, OK, (framing.name, cut_at))

    @params(*product((COUNTED_EVENTS, CHUNKED, UNFRAMED), (False, True)))
    def test_stream(self, framing: Framing, forwards: bool) -> None:
        whole = framing.make_answer('r1', EVENTS)
        start = whole.index(HEAD_END)
        for cut_at in range(start, len(whole) + (framing is UNFRAMED), 7):
            upstream = CuttingUpstream(framing, EVENTS, cut_at)
            read = read_through(RequestKind.STREAM, upstream, forwards=forwards)
            seems_complete = read.status == OK and read.is_complete
            self.assertFalse(seems_complete, (framing.name, cut_at))
            self.assertTrue(read.status != OK or EVENTS.startswith(read.body))

    # Guards against the rows above passing as nothing arrives at all.
    @params(*product((COUNTED_EVENTS, CHUNKED), (False, True)))
    def test_whole_stream_arrives(
        self, framing: Framing, forwards: bool
    ) -> None:
        upstream = CuttingUpstream(framing, EVENTS, 10_000)
        read = read_through(RequestKind.STREAM, upstream, forwards=forwards)
        self.assertEqual(read, Read(OK, EVENTS, is_complete=True))

    @params(*product((COUNTED, CHUNKED), (False, True)))
    def test_whole_answer_arrives(
        self, framing: Framing, forwards: bool
    ) -> None:
        upstream = CuttingUpstream(framing, BODY, 10_000)
        read = read_through(
            RequestKind.AT_MOST_ONCE, upstream, forwards=forwards
        )
        self.assertEqual(read, Read(OK, BODY, is_complete=True))
