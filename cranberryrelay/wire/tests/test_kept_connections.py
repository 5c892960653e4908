"""Bytes that follow an answer on a kept connection, over loopback.

Guards against taking such bytes for the next answer, and against closing
connections on which nothing follows.
"""

from contextlib import suppress
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import wait_all_tasks_blocked

from cranberryrelay.wire import KeptConnectionTransport

LOOPBACK = '127.0.0.1'
LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
NO_BODY = b'HTTP/1.1 204 Empty\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
WHOLE = b'%bok' % LENGTH
CHUNKS = b'2\r\nok\r\n0\r\n\r\n'
REFUSAL = b'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n'

# Answer to the second request of each row.
NEXT = b'HTTP/1.1 201 Next\r\nContent-Length: 4\r\n\r\nnext'


class Case(NamedTuple):
    """A row: an answer as it is sent, and what becomes of its connection."""

    name: str
    segments: tuple[bytes, ...]

    # Whether the next request is sent on the same connection.
    is_reused: bool
    method: str = 'POST'
    body: bytes = b'ok'


CASES = (
    Case('length', (LENGTH, b'ok'), True),
    Case('length, one segment', (WHOLE,), True),
    Case('length, split head', (WHOLE[:18], WHOLE[18:]), True),
    Case('length, followed', (WHOLE, REFUSAL), False),
    Case('length, followed at once', (WHOLE + REFUSAL,), False),
    Case('length, one byte follows', (LENGTH, b'ok\n'), False),
    Case('chunks', (CHUNKED, CHUNKS), True),
    Case('chunks, split end', (CHUNKED, CHUNKS[:-2], b'\r\n'), True),
    Case('no chunk', (CHUNKED, b'0\r\n\r\n'), True, body=b''),
    Case('chunks, followed', (CHUNKED, CHUNKS, REFUSAL), False),
    Case('chunks, followed at once', (CHUNKED, CHUNKS + REFUSAL), False),
    Case('no body', (NO_BODY,), True, body=b''),
    Case('no body, followed', (NO_BODY, REFUSAL), False, body=b''),
    Case('no body, at once', (NO_BODY + REFUSAL,), False, body=b''),
    Case('head only', (LENGTH,), True, 'HEAD', b''),
    Case('head only, chunked', (CHUNKED,), True, 'HEAD', b''),
    Case('head only, with a body', (WHOLE,), False, 'HEAD', b''),
)


class Server:
    """Answers the first request as a row says, and each other one by NEXT."""

    def __init__(self, segments: tuple[bytes, ...]) -> None:
        self.segments = segments
        self.connections = 0
        self.requests = 0

        # Set once all bytes of the first answer have been sent.
        self.sent = trio.Event()

    async def answer(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        with suppress(trio.BrokenResourceError):
            await self.answer_all(stream)

    async def answer_all(self, stream: trio.SocketStream) -> None:
        """Answer requests until the connection ends."""
        received = b''
        async for chunk in stream:
            received += chunk
            if not received.endswith(b'\r\n\r\n'):
                continue
            received = b''
            self.requests += 1
            if self.requests > 1:
                await stream.send_all(NEXT)
                continue
            for segment in self.segments:
                await stream.send_all(segment)
                await wait_all_tasks_blocked()
            self.sent.set()


async def send_two(case: Case) -> tuple[bytes, bytes, int]:
    """Return the bodies of both answers, and the number of connections."""
    server = Server(case.segments)
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
    port = listeners[0].socket.getsockname()[1]
    transport = KeptConnectionTransport(httpx.Limits())
    async with trio.open_nursery() as nursery, transport:
        nursery.start_soon(trio.serve_listeners, server.answer, listeners)
        bodies = []
        for method in (case.method, 'POST'):
            request = httpx.Request(method, f'http://{LOOPBACK}:{port}/')
            with trio.fail_after(5):
                response = await transport.handle_async_request(request)
                bodies.append(await response.aread())
                await response.aclose()
                await server.sent.wait()
        nursery.cancel_scope.cancel()
    return bodies[0], bodies[1], server.connections


class FollowingBytesTest(TestCase):
    """What follows an answer is found by how the answer is framed."""

    # Guards against both, see above.
    @params(*((case,) for case in CASES))
    def test_connection_is_used_again_or_not(self, case: Case) -> None:
        first, second, connections = trio.run(send_two, case)
        self.assertEqual(first, case.body)
        self.assertEqual(second, b'next')
        self.assertEqual(connections, 1 if case.is_reused else 2)
