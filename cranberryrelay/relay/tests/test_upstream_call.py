"""Validation of upstream responses, including ones for other requests.

Guards against passing a response to the wrong caller, and against retrying a
request that may have run.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from functools import partial
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.codes import ExecutionState, ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import UpstreamCall
from cranberryrelay.relay._body_budget import ANSWER_LIMITS, BodyBudget
from cranberryrelay.relay._upstream_call import (
    UpstreamResponse,
    make_upstream_client,
    open_response,
    read_body,
    send_call,
)
from cranberryrelay.relay.tests.fixtures import make_arrival
from cranberryrelay.standins import LOOPBACK

ID_HEADER = 'X-Cranberryrelay-Request-Id'
NOT_RUN = {'X-Cranberryrelay-Not-Executed': '1'}


class Case(NamedTuple):
    """A row: a response, and the expected failure; None for a success."""

    name: str
    status: int
    headers: dict[str, str]
    code: ResultCode | None
    ran: ExecutionState | None = None


CASES = (
    Case('response to this request', 200, {ID_HEADER: 'r1'}, None),
    Case(
        'response to another request',
        200,
        {ID_HEADER: 'r2'},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case(
        'response without a request id',
        200,
        {},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case(
        'another request, not run',
        503,
        {ID_HEADER: 'r2', **NOT_RUN},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case(
        'not run',
        503,
        {ID_HEADER: 'r1', **NOT_RUN},
        ResultCode.UPSTREAM_REFUSED,
        ExecutionState.NOT_RUN,
    ),
    Case(
        'another incarnation',
        421,
        {ID_HEADER: 'r1'},
        ResultCode.UPSTREAM_REPLACED,
        ExecutionState.NOT_RUN,
    ),
    Case(
        'another incarnation, to another request',
        421,
        {ID_HEADER: 'r2', **NOT_RUN},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case(
        'another incarnation, without a request id',
        421,
        {},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case('error response of the upstream', 500, {ID_HEADER: 'r1'}, None),
)


class OpenResponseTest(TestCase):
    """Calls a mock upstream without a network."""

    @params(*((case,) for case in CASES))
    def test_response_is_classified(self, case: Case) -> None:
        def respond(request: httpx.Request) -> httpx.Response:
            return httpx.Response(case.status, headers=case.headers)

        async def scenario() -> tuple[ResultCode | None, ExecutionState | None]:
            transport = httpx.MockTransport(respond)
            call = UpstreamCall(make_arrival('r1'), 'u1', '10.0.0.1:1', 1.0)
            async with (
                httpx.AsyncClient(transport=transport) as client,
                AsyncExitStack() as stack,
            ):
                result = await open_response(
                    client, TargetDialect(), call, stack
                )
            failure = result.err()
            return (failure.code, failure.ran) if failure else (None, None)

        self.assertEqual(trio.run(scenario), (case.code, case.ran))


class ReadBodyTest(TestCase):
    """Bodies that are incomplete when the timeout expires."""

    @params(0.05, 0, -0.05)
    def test_timeout(self, limit_seconds: float) -> None:
        async def read() -> None:
            response = httpx.Response(200, content=stream_endlessly())
            metadata = TargetDialect().parse_response(200, [])
            opened = UpstreamResponse(200, metadata, response)
            with BodyBudget(ANSWER_LIMITS).open_buffer() as buffer:
                body = await read_body(opened, limit_seconds, buffer)
            code = body.unwrap_err().code
            self.assertEqual(code, ResultCode.UPSTREAM_TIMEOUT)

        trio.run(read)


class TargetTest(TestCase):
    """Targets of requests as an upstream receives them."""

    # Guards against a request that runs with another path or query than the
    # caller's, and against one that ends by an exception.
    @params(
        '/a/1',
        '/a/1?',
        '/a/x/../1',
        '/a/./1?b=/../c',
        '/a/%7e/%2e%2e/{x}|y?q=<z>&r=%zz',
        '/a/1#part',
        '/a/1?b#part',
        '//a/1',
    )
    def test_target_is_sent_unchanged(self, target: str) -> None:
        self.assertEqual(trio.run(send_target, target), target)

    # Guards against an exception for an address that a peer has stated.
    def test_address_that_makes_no_url_is_unreachable(self) -> None:
        async def send() -> ResultCode:
            call = UpstreamCall(make_arrival('r1'), 'u1', '10.0.0.1:\xb2', 1)
            async with make_upstream_client() as client, AsyncExitStack() as st:
                sent = await send_call(client, TargetDialect(), call, st)
            return sent.unwrap_err().code

        self.assertIs(trio.run(send), ResultCode.UPSTREAM_UNREACHABLE)


class CookieTest(TestCase):
    """Cookies that an upstream sets for one caller."""

    # Guards against a caller's cookie in the requests of other callers.
    def test_cookie_is_not_sent_with_another_request(self) -> None:
        cookies: list[str | None] = []

        def respond(request: httpx.Request) -> httpx.Response:
            cookies.append(request.headers.get('Cookie'))
            return httpx.Response(200, headers={'Set-Cookie': 'a=secret'})

        async def scenario() -> None:
            call = UpstreamCall(make_arrival('r1'), 'u1', '10.0.0.1:1', 1)
            async with make_upstream_client() as client, AsyncExitStack() as st:
                client.transport = httpx.MockTransport(respond)
                for _ in range(2):
                    await send_call(client, TargetDialect(), call, st)

        trio.run(scenario)
        self.assertEqual(cookies, [None, None])


async def send_target(target: str) -> str:
    """Send a request to a server on the loopback; return its target there."""
    received: list[bytes] = []

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            received.append(bytes(await stream.receive_some()))
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
            )

    async with (
        trio.open_nursery() as nursery,
        make_upstream_client() as client,
        AsyncExitStack() as stack,
    ):
        listeners = await nursery.start(
            partial(trio.serve_tcp, serve, 0, host=LOOPBACK)
        )
        port = listeners[0].socket.getsockname()[1]
        call = UpstreamCall(
            make_arrival('r1', path=target), 'u1', f'{LOOPBACK}:{port}', 1
        )
        await send_call(client, TargetDialect(), call, stack)
        nursery.cancel_scope.cancel()
    return received[0].split()[1].decode('latin-1')


async def stream_endlessly() -> AsyncIterator[bytes]:
    """Yield the start of a body and never complete it."""
    yield b'start'
    await trio.sleep_forever()
