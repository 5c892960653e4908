"""Connections that an upstream or a peer closes as a request is sent on them.

Guards against failing a request that was never sent, and against sending one
that may have run a second time.
"""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from itertools import product
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from result import Result
from trio.testing import MockClock, wait_all_tasks_blocked

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import ClientLimits, RequestKind, Role, Upstream
from cranberryrelay.relay._context import (
    BufferedReply,
    RelayContext,
    StreamReply,
)
from cranberryrelay.relay._forward_targets import ForwardTarget
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._requests import RawHeaders
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._upstream_call import make_upstream_client
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_plain_table,
    make_route,
    make_settings,
    make_table,
)
from cranberryrelay.relay.tests.test_faulty_answers import (
    HEAD_END,
    ID_HEADER,
)
from cranberryrelay.timing import open_timer_service

LOOPBACK = '127.0.0.1'
EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 5))
PREFILLED = b'{"transfer_handle": "h", "tokens": 800}'
NO_LINGER = b'\x01\x00\x00\x00\x00\x00\x00\x00'
REQUEST_SECONDS = 10.0
SEGMENT_BYTES = 30
CHUNKED = (
    f'HTTP/1.1 200 OK\r\n{ID_HEADER}: r1\r\n'
    'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
).encode()

# Steps of the HTTP client at which an upstream acts.
CONNECTED = 'connection.connect_tcp.complete'
BEFORE_REQUEST = 'http11.send_request_headers.started'


class Received(NamedTuple):
    """A request that an upstream has read whole."""

    # Its id.
    request_id: str

    # Its head, in lower case.
    head: str


class ClosingUpstream:
    """Answers requests on loopback; acts on the last connection when told."""

    def __init__(self) -> None:
        self.received: list[Received] = []
        self.streams: list[trio.SocketStream] = []
        self.accepted = trio.Event()

        # Acts on a connection once a request with this id has been read.
        self.acts_on = ''
        self.act: Callable[[trio.SocketStream], Awaitable[None]] | None = None
        self.address = ''

        # Header line that answers have in addition; '' for none.
        self.line = ''

    async def serve(self, task_status: Any) -> None:
        """Listen until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'
        await trio.serve_listeners(
            self.answer, listeners, task_status=task_status
        )

    async def answer(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection."""
        self.streams.append(stream)
        self.accepted.set()
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                received = await read_request(stream)
                self.received.append(received)
                if received.request_id == self.acts_on and self.act:
                    await self.act(stream)
                    return
                await stream.send_all(make_answer(received, self.line))

    async def act_on_last(
        self, act: Callable[[trio.SocketStream], Awaitable[None]]
    ) -> None:
        """Act on the connection that was accepted last."""
        await self.accepted.wait()
        await act(self.streams[-1])

    def ids(self) -> list[str]:
        """Return the ids of the requests that were read whole."""
        return [one.request_id for one in self.received]


async def read_request(stream: trio.SocketStream) -> Received:
    """Read one request; raises an error at the end of the connection."""
    received = b''
    while HEAD_END not in received:
        chunk = await stream.receive_some()
        if not chunk:
            raise trio.ClosedResourceError
        received += chunk
    head, _, body = received.partition(HEAD_END)
    fields = dict(
        line.lower().split(': ', 1) for line in head.decode().split('\r\n')[1:]
    )
    length = int(fields.get('content-length', '0'))
    while len(body) < length:
        body += await stream.receive_some()
    return Received(fields[ID_HEADER.lower()], head.decode().lower())


def make_answer(received: Received, line: str = '') -> bytes:
    """Make the answer to a request: of a plain service or of an engine."""
    body = b'ok'
    if 'cranberryrelay-stage: prefill' in received.head:
        body = PREFILLED
    elif 'cranberryrelay-kv-source' in received.head:
        body = EVENTS
    lines = (
        'HTTP/1.1 200 OK',
        f'{ID_HEADER}: {received.request_id}',
        f'Content-Length: {len(body)}',
        *((line,) if line else ()),
    )
    return '\r\n'.join((*lines, '', '')).encode() + body


async def close(stream: trio.SocketStream) -> None:
    """Close a connection."""
    await stream.aclose()


async def reset(stream: trio.SocketStream) -> None:
    """Reset a connection."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    await stream.aclose()


async def write_extra(stream: trio.SocketStream) -> None:
    """Write one more answer to the request before."""
    await stream.send_all(make_answer(Received('r0', '')))


async def cut_head(stream: trio.SocketStream) -> None:
    """Write a part of an answer's head and close."""
    await stream.send_all(b'HTTP/1.1 200 OK\r\nX-Cran')
    await stream.aclose()


async def cut_body(stream: trio.SocketStream) -> None:
    """Write a part of an answer's body and close."""
    answer = make_answer(Received('r1', ''))
    await stream.send_all(answer[:-1])
    await stream.aclose()


async def answer_and_more(stream: trio.SocketStream) -> None:
    """Answer r1 and write one more answer in the same segment."""
    answer = make_answer(Received('r1', ''))
    await stream.send_all(answer + make_answer(Received('r0', '')))
    await trio.sleep_forever()


async def answer_in_chunks(stream: trio.SocketStream) -> None:
    """Answer r1 in chunks, and write one more answer in the same segment."""
    await stream.send_all(CHUNKED + make_answer(Received('r0', '')))
    await trio.sleep_forever()


async def answer_head_first(stream: trio.SocketStream) -> None:
    """Answer r1 in two segments, the second with one more answer."""
    answer = make_answer(Received('r1', '')) + make_answer(Received('r0', ''))
    await stream.send_all(answer[:SEGMENT_BYTES])
    await wait_all_tasks_blocked()
    await stream.send_all(answer[SEGMENT_BYTES:])
    await trio.sleep_forever()


class Site(NamedTuple):
    """An instance and the upstreams or peers that it calls."""

    # Upstreams or peers; the instance calls the first one first.
    upstreams: tuple[ClosingUpstream, ...]

    # State of the instance.
    state: RelayState

    # Pipeline of the instance.
    pipeline: RelayPipeline

    async def send(
        self,
        request_id: str,
        target: str = '/a/1',
        headers: RawHeaders = (),
    ) -> str:
        """Send a request of a caller; return its body, or its code."""
        headers = (
            *headers,
            (b'Host', b'a.example'),
            (ID_HEADER.encode(), request_id.encode()),
            (b'X-Cranberryrelay-Model', b'm'),
            (b'X-Cranberryrelay-Token-Count', b'800,32'),
        )
        arrival = make_arrival('', path=target.partition('?')[0])._replace(
            target=target,
            headers=headers,
            arrived_at=self.pipeline.context.timers.now(),
            body=b'order',
        )
        async with AsyncExitStack() as stack:
            reply = await self.pipeline.serve(arrival, stack)
            return await read_reply(reply)

    def act_at(
        self,
        step: str,
        upstream: ClosingUpstream,
        act: Callable[[trio.SocketStream], Awaitable[None]],
    ) -> None:
        """Let an upstream act at the next step of that kind of a call to it."""
        acts = [act]

        async def observe(event: str, info: dict[str, Any]) -> None:
            if event == step and acts:
                await upstream.act_on_last(acts.pop())

        async def add_observer(request: httpx.Request) -> None:
            if f'{request.url.host}:{request.url.port}' == upstream.address:
                request.extensions['trace'] = observe

        client = self.pipeline.context.client
        client.event_hooks = {'request': [add_observer]}


async def read_reply(
    reply: Result[BufferedReply | StreamReply, Failure],
) -> str:
    """Return the body of a reply, or the name of its code."""
    failure = reply.err()
    if failure is not None:
        return f'{failure.code.name} {failure.ran}'
    answer = reply.unwrap()
    if isinstance(answer, StreamReply):
        events = b''.join([event async for event in answer.events])
        return 'whole' if events == EVENTS else 'not whole'
    return answer.body.decode()


@asynccontextmanager
async def open_site(kind: RequestKind, *roles: Role) -> AsyncIterator[Site]:
    """Run an instance and upstreams of these roles."""
    route = make_route(kind)._replace(attempts_limit=2)
    state = RelayState(make_settings())
    plain = Role.PLAIN in roles
    state.apply_table(
        make_plain_table(1, route, ClientLimits())
        if plain
        else make_table(1, route),
        'test',
    )
    async with (
        open_timer_service() as timers,
        make_upstream_client() as client,
        trio.open_nursery() as nursery,
    ):
        upstreams = tuple(ClosingUpstream() for _ in roles)
        for idx, upstream in enumerate(upstreams):
            await nursery.start(upstream.serve)
            state.apply_upstream(
                Upstream(
                    f'u{idx}',
                    1,
                    's',
                    upstream.address,
                    'a',
                    64,
                    False,
                    roles[idx],
                ),
                'test',
            )
        context = RelayContext(state, client, TargetDialect(), timers)
        with trio.fail_after(REQUEST_SECONDS):
            yield Site(upstreams, state, RelayPipeline(context))
        nursery.cancel_scope.cancel()


class Call(NamedTuple):
    """A row: a kind of call, and the upstream that closes its connection."""

    name: str
    kind: RequestKind
    roles: tuple[Role, ...]

    # Index of the upstream.
    closes: int

    # Body that the caller gets.
    body: str


CALLS = (
    Call('at most once', RequestKind.AT_MOST_ONCE, (Role.PLAIN,) * 2, 0, 'ok'),
    Call('idempotent', RequestKind.IDEMPOTENT, (Role.PLAIN,) * 2, 0, 'ok'),
    Call(
        'prefill',
        RequestKind.STREAM,
        (Role.PREFILL, Role.PREFILL, Role.DECODE),
        0,
        'whole',
    ),
    Call(
        'generation',
        RequestKind.STREAM,
        (Role.DECODE, Role.DECODE, Role.PREFILL),
        0,
        'whole',
    ),
)


async def send_on_kept(
    call: Call, act: Callable[[trio.SocketStream], Awaitable[None]]
) -> tuple[str, Site]:
    """Send r0, then r1 on the same connection, on which its upstream acts."""
    async with open_site(call.kind, *call.roles) as site:
        assert await site.send('r0') == call.body
        site.act_at(BEFORE_REQUEST, site.upstreams[call.closes], act)
        return await site.send('r1'), site


async def send_on_new(
    call: Call, act: Callable[[trio.SocketStream], Awaitable[None]]
) -> tuple[str, Site]:
    """Send r1 on a new connection, on which its upstream acts at once."""
    async with open_site(call.kind, *call.roles) as site:
        site.act_at(CONNECTED, site.upstreams[call.closes], act)
        return await site.send('r1'), site


class NotSentTest(TestCase):
    """A request that was certainly not sent costs its caller nothing."""

    # Guards against answering 502 for a request whose kept connection was
    # closed, reset or written to before the first byte was sent.
    @params(*product(CALLS, (close, reset, write_extra)))
    def test_kept_connection_is_replaced(self, call: Call, act: Any) -> None:
        body, site = trio.run(send_on_kept, call, act)
        self.assertEqual(body, call.body)
        self.assertEqual(site.upstreams[call.closes].ids(), ['r0', 'r1'])
        self.assertFalse(site.state.fleet.has_failed(f'u{call.closes}'))

    # Guards against answering 502 for a request whose new connection was
    # closed or reset before the first byte was sent, as upstreams do that have
    # too many.
    @params(*product(CALLS, (close, reset, write_extra)))
    def test_new_connection_is_replaced(self, call: Call, act: Any) -> None:
        body, site = trio.run(send_on_new, call, act)
        self.assertEqual(body, call.body)
        self.assertEqual(site.upstreams[call.closes].ids(), [])
        known = site.state.fleet.upstreams[f'u{call.closes}']
        self.assertFalse(
            site.state.crash_suspects.is_gone(known.incarnation_id())
        )


class SentCase(NamedTuple):
    """A row: how an upstream ends a call that it has read, and the outcome."""

    name: str
    act: Callable[[trio.SocketStream], Awaitable[None]]
    kind: RequestKind
    outcome: str


BROKEN = f'{ResultCode.STREAM_BROKEN.name} may_have_run'
FAILED = f'{ResultCode.UPSTREAM_FAILED.name} may_have_run'
MISMATCH = f'{ResultCode.ANSWER_MISMATCH.name} may_have_run'
ONCE = RequestKind.AT_MOST_ONCE
SENT_CASES = (
    SentCase('closed', close, ONCE, FAILED),
    SentCase('reset', reset, ONCE, FAILED),
    SentCase('head cut', cut_head, ONCE, FAILED),
    SentCase('body cut', cut_body, ONCE, BROKEN),
    SentCase('answer of r0', write_extra, ONCE, MISMATCH),
    SentCase('closed, idempotent', close, RequestKind.IDEMPOTENT, 'ok'),
    SentCase('reset, idempotent', reset, RequestKind.IDEMPOTENT, 'ok'),
    SentCase('head cut, idempotent', cut_head, RequestKind.IDEMPOTENT, 'ok'),
    SentCase('body cut, idempotent', cut_body, RequestKind.IDEMPOTENT, 'ok'),
    SentCase(
        'answer of r0, idempotent', write_extra, RequestKind.IDEMPOTENT, 'ok'
    ),
)


async def send_read_call(case: SentCase) -> tuple[str, Site]:
    """Send r0, then r1, which its upstream reads and ends as a row says."""
    async with open_site(case.kind, Role.PLAIN, Role.PLAIN) as site:
        assert await site.send('r0') == 'ok'
        site.upstreams[0].acts_on = 'r1'
        site.upstreams[0].act = case.act
        return await site.send('r1'), site


class SentTest(TestCase):
    """A request that was sent may have run."""

    # Guards against a second run of a call that may run only once, after its
    # kept connection has ended without an answer.
    @params(*((case,) for case in SENT_CASES))
    def test_sent_call_is_repeated_only_if_allowed(
        self, case: SentCase
    ) -> None:
        outcome, site = trio.run(send_read_call, case)
        self.assertEqual(outcome, case.outcome)
        runs = [one.ids().count('r1') for one in site.upstreams]
        self.assertEqual(runs, [1, int(case.kind is not ONCE)])


async def send_after_extra(act: Any) -> tuple[list[str], int]:
    """Send r1, which is answered twice, and r2; return all bodies."""
    async with open_site(ONCE, Role.PLAIN) as site:
        upstream = site.upstreams[0]
        upstream.acts_on = 'r1'
        upstream.act = act
        bodies = [await site.send(name) for name in ('r0', 'r1', 'r2')]
        return bodies, upstream.ids().count('r2')


class ExtraBytesTest(TestCase):
    """Bytes after an answer belong to no request."""

    # Guards against sending a request on a connection of which bytes after the
    # last answer have been read; they would be taken for its answer.
    @params(answer_and_more, answer_in_chunks, answer_head_first)
    def test_connection_is_not_used_again(self, act: Any) -> None:
        outcome = trio.run(send_after_extra, act)
        self.assertEqual(outcome, (['ok', 'ok', 'ok'], 1))


async def leave(sent: bytes) -> tuple[str, int]:
    """Leave r1 once a part of its answer was sent; return what r2 meets."""
    is_sent = trio.Event()

    async def act(stream: trio.SocketStream) -> None:
        if sent:
            await stream.send_all(sent)
        is_sent.set()
        await trio.sleep_forever()

    async with open_site(ONCE, Role.PLAIN) as site:
        upstream = site.upstreams[0]
        assert await site.send('r0') == 'ok'
        upstream.acts_on = 'r1'
        upstream.act = act
        async with trio.open_nursery() as caller:
            caller.start_soon(site.send, 'r1')
            await is_sent.wait()
            await wait_all_tasks_blocked()
            caller.cancel_scope.cancel()
        return await site.send('r2'), len(upstream.streams)


class LeftCallTest(TestCase):
    """The connection of a call whose caller has left isn't used again."""

    # Guards against the rest of an answer in the answer to the next request.
    @params(0, 1, 30, len(make_answer(Received('r1', ''))) - 1)
    def test_connection_is_closed(self, sent_bytes: int) -> None:
        sent = make_answer(Received('r1', ''))[:sent_bytes]
        self.assertEqual(trio.run(leave, sent), ('ok', 2))


class IdleCase(NamedTuple):
    """A row: what an upstream says, and whether a connection is used again."""

    name: str

    # Header line of its answers.
    line: str

    # Time for which the connection is idle, in seconds.
    idle_seconds: float
    is_reused: bool


IDLE_CASES = (
    IdleCase('nothing said', '', 3.9, True),
    IdleCase('nothing said, long idle', '', 4.1, False),
    IdleCase('within the time', 'Keep-Alive: timeout=1', 0.7, True),
    IdleCase('near its end', 'Keep-Alive: timeout=1', 0.8, False),
    IdleCase('after its end', 'Keep-Alive: timeout=2', 2.1, False),
    IdleCase('within a longer time', 'Keep-Alive: timeout=3', 2.7, True),
    IdleCase('near the end of it', 'Keep-Alive: timeout=3', 2.8, False),
    IdleCase('a long time', 'Keep-Alive: timeout=60', 3.9, True),
    IdleCase('a long time, long idle', 'Keep-Alive: timeout=60', 4.1, False),
    IdleCase('no time', 'Keep-Alive: timeout=0', 0, False),
    IdleCase('second of two', 'keep-alive: max=5, Timeout=1', 0.8, False),
    IdleCase('not a number', 'Keep-Alive: timeout=1e9', 0.7, True),
    IdleCase('not a time', 'Keep-Alive: max=1', 3.9, True),
    IdleCase('close', 'Connection: close', 0, False),
)


async def send_after(case: IdleCase, clock: MockClock) -> int:
    """Send r0 and, later, r1; return the number of connections."""
    async with open_site(ONCE, Role.PLAIN) as site:
        site.upstreams[0].line = case.line
        assert await site.send('r0') == 'ok'
        clock.jump(case.idle_seconds)
        assert await site.send('r1') == 'ok'
        return len(site.upstreams[0].streams)


class AnnouncedTimeTest(TestCase):
    """A connection is used again only before its upstream closes it."""

    # Guards against requests that are on their way while their upstream closes
    # the connection after the time that it has announced.
    @params(*((case,) for case in IDLE_CASES))
    def test_announced_time_is_kept(self, case: IdleCase) -> None:
        clock = MockClock()
        connections = trio.run(send_after, case, clock, clock=clock)
        self.assertEqual(connections, 1 if case.is_reused else 2)


async def forward(
    act: Callable[[trio.SocketStream], Awaitable[None]],
) -> tuple[str, Site]:
    """Forward r1 to a peer that acts on the new connection, then to another."""
    async with open_site(ONCE, Role.PLAIN, Role.PLAIN) as site:
        state = site.state
        state.reach.cut_off = True
        state.forward_targets.record_report(
            'peer',
            [
                ForwardTarget(one.address, domain)
                for one, domain in zip(site.upstreams, 'ab', strict=True)
            ],
            site.pipeline.context.timers.now(),
        )
        site.act_at(CONNECTED, site.upstreams[0], act)
        return await site.send('r1'), site


class ForwardedTest(TestCase):
    """A forwarded request that was certainly not sent goes to another peer."""

    # Guards against answering 502 for a request whose connection to a peer was
    # closed before the first byte was sent, as by a peer that stops.
    @params(close, reset)
    def test_next_peer_takes_it(self, act: Any) -> None:
        body, site = trio.run(forward, act)
        self.assertEqual(body, 'ok')
        self.assertEqual([one.ids() for one in site.upstreams], [[], ['r1']])
