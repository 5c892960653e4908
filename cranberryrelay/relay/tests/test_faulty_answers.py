"""Answers of faulty upstreams, over loopback connections and mock engines.

Guards against telling a caller "not run" of a request that has run, and against
bytes of an error, of a head or of another run in a caller's answer.
"""

from contextlib import AsyncExitStack, suppress
from itertools import product
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from result import Err, Result
from trio.testing import MockClock

from cranberryrelay.codes import ExecutionState, Failure, ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import (
    ClientLimits,
    RequestKind,
    Role,
    Route,
    Upstream,
    UpstreamCall,
)
from cranberryrelay.relay._body_budget import ANSWER_LIMITS, BodyBudget
from cranberryrelay.relay._context import (
    AdmittedRequest,
    BufferedReply,
    StreamReply,
)
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._plain_path import PlainRun
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._upstream_call import (
    make_upstream_client,
    open_response,
    read_body,
)
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_plain_table,
    make_route,
    make_settings,
    open_mock_context,
)

ID_HEADER = 'X-Cranberryrelay-Request-Id'
HEAD_END = b'\r\n\r\n'
CALL_SECONDS = 2.0

# Pause between two requests, in which bytes of the upstream may arrive.
IDLE_SECONDS = 0.1


class RefusalCase(NamedTuple):
    """A row: the refusal that is written once more, and when."""

    # Status line and headers of the refusal.
    lines: tuple[str, ...]

    # Whether the refusal echoes the id of its request.
    echoes: bool

    # When the copy is written: 'with an answer' to a request before, 'while
    # idle', or 'before the next answer'.
    when: str


REFUSAL_CASES = tuple(
    RefusalCase(*columns)
    for columns in product(
        (
            (
                'HTTP/1.1 503 Service Unavailable',
                'X-Cranberryrelay-Not-Executed: 1',
                'Retry-After: 1',
            ),
            (
                'HTTP/1.1 429 Too Many Requests',
                'X-Cranberryrelay-Not-Executed: 1',
            ),
            ('HTTP/1.1 421 Misdirected Request',),
        ),
        (True, False),
        ('with an answer', 'while idle', 'before the next answer'),
    )
)


class RepeatingUpstream:
    """Refuses r0, answers r1, and writes the refusal once more after that."""

    def __init__(self, case: RefusalCase) -> None:
        self.case = case
        self.run_log: list[str] = []
        self.refusal = b''

    async def answer(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection."""
        while True:
            request_id = await read_request_id(stream)
            if request_id is None:
                return
            if request_id == 'r0':
                self.refusal = self.make_refusal(request_id)
                await stream.send_all(self.refusal)
                continue
            self.run_log.append(request_id)
            with suppress(trio.BrokenResourceError):
                await self.run(stream, request_id)

    async def run(self, stream: trio.SocketStream, request_id: str) -> None:
        """Answer a request, and write the copy if it is due."""
        answer = make_answer(request_id)
        if request_id == 'r1':
            if self.case.when == 'with an answer':
                answer += self.refusal
            await stream.send_all(answer)
            if self.case.when == 'while idle':
                await trio.sleep(IDLE_SECONDS / 2)
                await stream.send_all(self.refusal)
            return
        if self.case.when == 'before the next answer':
            answer = self.refusal + answer
        await stream.send_all(answer)

    def make_refusal(self, request_id: str) -> bytes:
        """Make the refusal of a request."""
        echoed = (f'{ID_HEADER}: {request_id}',) if self.case.echoes else ()
        lines = (*self.case.lines, *echoed, 'Content-Length: 0')
        return '\r\n'.join((*lines, '', '')).encode()


def make_answer(request_id: str) -> bytes:
    """Make the answer to a request that has run."""
    head = f'HTTP/1.1 200 OK\r\n{ID_HEADER}: {request_id}\r\nContent-Length: 2'
    return b'%b\r\n\r\nok' % head.encode()


async def read_request_id(stream: trio.SocketStream) -> str | None:
    """Read a request without a body; None at the end of the connection."""
    received = b''
    while HEAD_END not in received:
        try:
            chunk = await stream.receive_some()
        except trio.BrokenResourceError:
            return None
        if not chunk:
            return None
        received += chunk
    for line in received.decode().split('\r\n'):
        name, _, content = line.partition(': ')
        if name.lower() == ID_HEADER.lower():
            return content
    return None


class RepeatedRefusalTest(TestCase):
    """A refusal says "not run" only of the request that it belongs to."""

    # Guards against believing an earlier refusal that an upstream writes once
    # more on a kept connection: the request may be running.
    @params(*((case,) for case in REFUSAL_CASES))
    def test_repeated_refusal_is_not_believed(self, case: RefusalCase) -> None:
        upstream = RepeatingUpstream(case)
        failures = trio.run(call_in_turn, upstream)
        self.assertIsNotNone(failures['r0'])
        self.assertIsNone(failures['r1'])
        self.assertIn('r2', upstream.run_log)
        failure = failures['r2']
        if failure is not None:
            self.assertIs(failure.ran, ExecutionState.MAY_HAVE_RUN)


async def call_in_turn(
    upstream: RepeatingUpstream,
) -> dict[str, Failure | None]:
    """Send three requests; return their failures by id, None for an answer."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    failures: dict[str, Failure | None] = {}
    async with trio.open_nursery() as nursery, make_upstream_client() as client:
        nursery.start_soon(trio.serve_listeners, upstream.answer, listeners)
        for request_id in ('r0', 'r1', 'r2'):
            failures[request_id] = await call(
                client, f'127.0.0.1:{port}', request_id
            )
            await trio.sleep(IDLE_SECONDS)
        nursery.cancel_scope.cancel()
    return failures


async def call(
    client: httpx.AsyncClient, address: str, request_id: str
) -> Failure | None:
    """Send one request and read its answer; return the failure, if any."""
    request = make_arrival(request_id)._replace(
        method='GET', headers=((ID_HEADER.encode(), request_id.encode()),)
    )
    upstream_call = UpstreamCall(request, 'u1', address, CALL_SECONDS)
    async with AsyncExitStack() as stack:
        opened = await open_response(
            client, TargetDialect(), upstream_call, stack
        )
        if isinstance(opened, Err):
            return opened.unwrap_err()
        buffer = stack.enter_context(BodyBudget(ANSWER_LIMITS).open_buffer())
        body = await read_body(opened.unwrap(), CALL_SECONDS, buffer)
        return body.err()


ANSWERS = (
    make_answer('r1'),
    make_answer('r1').replace(b'Content-Length: 2', b'Connection: close'),
    make_answer('r1').replace(b'Content-Length: 2', b'X-A: b'),
    make_answer('r1')
    .replace(b'Content-Length: 2', b'Transfer-Encoding: chunked')
    .replace(b'\r\n\r\nok', b'\r\n\r\n2\r\nok\r\n0\r\n\r\n'),
)


class CutHeadTest(TestCase):
    """An answer whose head is cut is no answer."""

    # Guards against a success with an empty or short body made of the part of
    # a head that arrived before its upstream closed the connection.
    @params(*((answer,) for answer in ANSWERS))
    def test_cut_head_is_a_failure(self, answer: bytes) -> None:
        head_bytes = answer.index(HEAD_END) + len(HEAD_END)
        for sent_bytes in range(head_bytes):
            code = trio.run(call_cut_upstream, answer[:sent_bytes])
            self.assertIs(code, ResultCode.UPSTREAM_FAILED, sent_bytes)
        self.assertIsNone(trio.run(call_cut_upstream, answer))


async def call_cut_upstream(sent: bytes) -> ResultCode | None:
    """Call an upstream that sends some bytes and closes."""

    async def answer(stream: trio.SocketStream) -> None:
        await read_request_id(stream)
        if sent:
            await stream.send_all(sent)
        await stream.aclose()

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery, make_upstream_client() as client:
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        failure = await call(client, f'127.0.0.1:{port}', 'r1')
        nursery.cancel_scope.cancel()
    return failure.code if failure else None


STATEMENTS = {
    'Retry-After': '100',
    'Server-Leaving': '1',
    ID_HEADER: 'r0',
}


class ForeignStatementTest(TestCase):
    """What an upstream says in an answer to another request is out of date."""

    # Guards against a rest, or the end of a rate limit, that an upstream did
    # not state in answer to this request. That it leaves is never out of date.
    def test_only_leaving_is_believed(self) -> None:
        route = make_route(RequestKind.AT_MOST_ONCE)
        state = make_plain_state(route)
        upstream = state.fleet.upstreams['u1']
        state.rate_limits.record_answer('u1', 1000.0, -2, -1)
        trio.run(run_call, state, route, clock=MockClock())
        self.assertFalse(state.fleet.is_resting(upstream, 0.1))
        self.assertIn('u1', state.rate_limits.limits)
        self.assertTrue(state.fleet.upstreams['u1'].leaving)


async def run_call(state: RelayState, route: Route) -> None:
    """Run a call at an upstream that answers another request."""

    def respond(request: httpx.Request) -> httpx.Response:
        return httpx.Response(503, headers=STATEMENTS)

    async with (
        open_mock_context(state, respond) as context,
        AsyncExitStack() as stack,
    ):
        deadline = context.timers.now() + 4
        admitted = AdmittedRequest(
            make_arrival('r1'), route, 's', 1, deadline, stack
        )
        await PlainRun(context, admitted).run()


class UnstatedRefusalTest(TestCase):
    """A status that promises "not run" needs an upstream that stated it."""

    # Guards against passing on a promise that the upstream did not make; the
    # caller would send again what may have run.
    @params(408, 429, 503)
    def test_unstated_refusal_is_not_passed_on(self, status: int) -> None:
        outcome = trio.run(serve_with_status, status)
        self.assertIs(outcome.unwrap_err().ran, ExecutionState.MAY_HAVE_RUN)

    # Guards against hiding the other errors of an upstream.
    @params(404, 500, 504)
    def test_other_errors_are_passed_on(self, status: int) -> None:
        outcome = trio.run(serve_with_status, status)
        reply = outcome.unwrap()
        assert isinstance(reply, BufferedReply)
        self.assertEqual((reply.status, reply.body), (status, b'x'))


async def serve_with_status(
    status: int,
) -> Result[BufferedReply | StreamReply, Failure]:
    """Serve a call that may run once at an upstream with such an answer."""

    def respond(request: httpx.Request) -> httpx.Response:
        headers = {ID_HEADER: 'r1'}
        body = httpx.ByteStream(b'x')
        return httpx.Response(status, headers=headers, stream=body)

    route = make_route(RequestKind.AT_MOST_ONCE)
    state = make_plain_state(route)
    request = make_arrival('r1')._replace(
        headers=((b'Host', b'a.example'), (ID_HEADER.encode(), b'r1'))
    )
    async with (
        open_mock_context(state, respond) as context,
        AsyncExitStack() as stack,
    ):
        arrived = request._replace(arrived_at=context.timers.now())
        return await RelayPipeline(context).serve(arrived, stack)


def make_plain_state(route: Route) -> RelayState:
    """Make the state of an instance with one process of a plain service."""
    state = RelayState(make_settings())
    state.apply_table(make_plain_table(1, route, ClientLimits()), 'test')
    upstream = Upstream('u1', 1, 's', 'u1:1', 'a', 6, False, Role.PLAIN)
    state.apply_upstream(upstream, 'test')
    return state
