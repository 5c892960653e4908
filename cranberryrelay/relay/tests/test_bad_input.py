"""Malformed requests: the status of each, and no call to an upstream.

Guards against request smuggling and against bytes of a bad request that
disturb the next one.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import ClientLimits, RequestKind, Role, Upstream
from cranberryrelay.relay._context import RelayContext
from cranberryrelay.relay._front_app import make_front_app
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_plain_table,
    make_route,
    make_settings,
    pick_port,
)
from cranberryrelay.serving import HttpServerOptions, serve_http
from cranberryrelay.standins import LOOPBACK
from cranberryrelay.timing import open_timer_service

RESPONSE_TIMEOUT_SECONDS = 2.0
START_SECONDS = 0.3
IDLE_SECONDS = 5.0
ID_HEADER = 'X-Cranberryrelay-Request-Id'
HEAD = (
    b'POST /a/1 HTTP/1.1',
    b'Host: a.example',
    b'X-Cranberryrelay-Request-Id: r1',
)
BODY_LIMIT = 1000
LARGE_HEADER = 2100
LIMITS = ClientLimits(header_bytes=2000, body_bytes=BODY_LIMIT)


def make_request(*lines: bytes, body: bytes = b'') -> bytes:
    """Make a request from the common header lines, more lines and a body."""
    return b'\r\n'.join((*HEAD, *lines, b'', body))


class Case(NamedTuple):
    """A row: bytes sent, expected status, and bodies sent to the upstream."""

    name: str
    sent: bytes
    status: bytes
    forwarded: tuple[bytes, ...] = ()


CASES = (
    Case(
        'valid',
        make_request(b'Content-Length: 2', body=b'hi'),
        b'200',
        (b'hi',),
    ),
    Case(
        'valid, chunked',
        make_request(
            b'Transfer-Encoding: chunked', body=b'2\r\nhi\r\n0\r\n\r\n'
        ),
        b'200',
        (b'hi',),
    ),
    Case(
        'malformed chunk',
        make_request(b'Transfer-Encoding: chunked', body=b'zz\r\nhi\r\n'),
        b'400',
    ),
    Case(
        'two content lengths',
        make_request(b'Content-Length: 2', b'Content-Length: 7', body=b'hi'),
        b'400',
    ),
    Case('control byte in a header', make_request(b'X-Odd: a\x00b'), b'400'),
    Case('no host', b'GET /a/1 HTTP/1.1\r\n\r\n', b'400'),
    Case(
        'unknown host',
        make_request().replace(b'a.example', b'b.example'),
        b'404',
    ),
    Case(
        'no request id',
        b'GET /a/1 HTTP/1.1\r\nHost: a.example\r\n\r\n',
        b'400',
    ),
    Case(
        'headers too large',
        make_request(b'X-Big: %b' % bytes(LARGE_HEADER).replace(b'\0', b'x')),
        b'431',
    ),
    Case(
        'body too large',
        make_request(b'Content-Length: 1001', body=bytes(BODY_LIMIT + 1)),
        b'413',
    ),
    Case(
        'request inside the body of another',
        make_request(b'Content-Length: 22', body=b'GET /a/2 HTTP/1.1\r\nA:b'),
        b'200',
        (b'GET /a/2 HTTP/1.1\r\nA:b',),
    ),
)


class Process:
    """Mock process of a plain service that records the bodies it receives."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Record the body and respond with 200."""
        self.bodies.append(request.content)
        stream = httpx.ByteStream(b'ok')
        headers = {ID_HEADER: request.headers[ID_HEADER]}
        return httpx.Response(200, headers=headers, stream=stream)


@asynccontextmanager
async def run_front(process: Process) -> AsyncIterator[tuple[str, int]]:
    """Serve callers on a free loopback port; yield host and port."""
    port = pick_port()
    options = HttpServerOptions(f'{LOOPBACK}:{port}', 0, lambda: IDLE_SECONDS)
    transport = httpx.MockTransport(process.respond)
    stop = trio.Event()
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(transport=transport) as client,
        trio.open_nursery() as nursery,
    ):
        context = RelayContext(make_state(), client, TargetDialect(), timers)
        app = make_front_app(context)
        nursery.start_soon(serve_http, app, options, stop.wait)
        await trio.sleep(START_SECONDS)
        yield LOOPBACK, port
        stop.set()


def make_state() -> RelayState:
    """Make the state of an instance with one plain service."""
    state = RelayState(make_settings())
    route = make_route(RequestKind.AT_MOST_ONCE)
    state.apply_table(make_plain_table(1, route, LIMITS), 'test')
    upstream = Upstream('u1', 1, 's', '10.0.0.1:1', 'a', 6, False, Role.PLAIN)
    state.apply_upstream(upstream, 'test')
    return state


async def send_raw(sent: bytes, process: Process) -> tuple[bytes, bytes]:
    """Return the status of a request and of a valid one sent after it."""
    async with run_front(process) as (host, port):
        first = await _exchange(host, port, sent)
        forwarded = tuple(process.bodies)
        second = await _exchange(host, port, CASES[0].sent)
        process.bodies = list(forwarded)
        return first, second


async def _exchange(host: str, port: int, sent: bytes) -> bytes:
    stream = await trio.open_tcp_stream(host, port)
    async with stream:
        await stream.send_all(sent)
        with trio.move_on_after(RESPONSE_TIMEOUT_SECONDS):
            response = await stream.receive_some()
            return bytes(response[9:12])
    return b'none'


class BadInputTest(TestCase):
    """Sends raw bytes to the HTTP server on the loopback interface."""

    @params(*((case,) for case in CASES))
    def test_status(self, case: Case) -> None:
        process = Process()
        first, second = trio.run(send_raw, case.sent, process)
        self.assertEqual(first, case.status)
        self.assertEqual(tuple(process.bodies), case.forwarded)
        self.assertEqual(second, b'200')
