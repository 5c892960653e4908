"""Callers on loopback whose sends have a fixed order against other events."""

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final, NamedTuple

import trio
from quart import request
from quart_trio import QuartTrio
from trio.testing import MockClock

from cranberryrelay.relay.tests.fixtures import pick_port
from cranberryrelay.serving import (
    HttpServerOptions,
    UnansweredRequest,
    serve_http,
)
from cranberryrelay.standins import LOOPBACK

GRACE_SECONDS: Final = 5.0
IDLE_SECONDS: Final = 10.0
ANSWER: Final = b'answered'

# Path of requests that are answered only when the test wants it.
HELD_PATH: Final = '/held'

# Path of an answer that fails in the middle.
BROKEN_PATH: Final = '/broken'

# Path of an answer that does not fit into the buffers of a connection.
LARGE_PATH: Final = '/large'
LARGE_BYTES: Final = 50_000_000
_READ_BYTES: Final = 4096


class ServedApp(NamedTuple):
    """A running server and what its app has seen."""

    # Address to connect to.
    port: int

    # Virtual time of the server.
    clock: MockClock

    # Tells the server to stop.
    stop: trio.Event

    # Lets the app answer requests of HELD_PATH.
    release: trio.Event

    # Paths of the requests that the app has handled, in order.
    handled: list[str]

    # Set once the server has ended.
    ended: trio.Event

    # Requests that the server reported as not answered.
    unanswered: list[UnansweredRequest]


class Caller:
    """A caller that keeps its connection open."""

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.plain = socket.create_connection((LOOPBACK, port))
        self.plain.setblocking(False)
        self.stream = trio.SocketStream(
            trio.socket.from_stdlib_socket(self.plain)
        )

    def send(self, content: bytes) -> None:
        """Send without leaving the task, so that nothing runs in between."""
        try:
            self.plain.send(content)
        except (BrokenPipeError, ConnectionResetError):
            return

    async def read(self) -> bytes:
        """Read an answer; what arrived before the end if there is none."""
        received = b''
        while not received.endswith(ANSWER):
            try:
                chunk = await self.stream.receive_some(_READ_BYTES)
            except trio.BrokenResourceError:
                return received
            if not chunk:
                return received
            received += chunk
        return received

    async def exchange(self, content: bytes) -> bytes:
        """Send a request and read its answer."""
        self.send(content)
        return await self.read()


def make_request(path: str, body: bytes = b'') -> bytes:
    """Make a request with a body of a stated length."""
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: a',
        f'Content-Length: {len(body)}',
        '',
        body.decode(),
    )
    return '\r\n'.join(lines).encode()


async def break_off() -> AsyncIterator[bytes]:
    """Begin an answer and fail."""
    yield b'begun'
    raise ValueError('broken off')


class AnsweringRoutes(NamedTuple):
    """Answers every request once its body is whole."""

    # What the requests are recorded in and wait for.
    served: ServedApp

    async def answer(self) -> bytes | AsyncIterator[bytes]:
        """Answer a request."""
        self.served.handled.append(request.path)
        if request.path == BROKEN_PATH:
            return break_off()
        await request.get_data()
        if request.path == HELD_PATH:
            await self.served.release.wait()
        if request.path == LARGE_PATH:
            return bytes(LARGE_BYTES)
        return ANSWER


def read_idle_limit() -> float:
    """Return the idle limit of the tests, in seconds."""
    return IDLE_SECONDS


@asynccontextmanager
async def serve_app(
    clock: MockClock,
    read_idle_seconds: Callable[[], float] = read_idle_limit,
) -> AsyncIterator[ServedApp]:
    """Serve the app on a loopback port until the context ends."""
    served = ServedApp(
        pick_port(), clock, trio.Event(), trio.Event(), [], trio.Event(), []
    )
    options = HttpServerOptions(
        f'{LOOPBACK}:{served.port}',
        GRACE_SECONDS,
        read_idle_seconds,
        observe_unanswered=served.unanswered.append,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_server, served, options)
        await wait_until_listening(served.port)
        yield served
        nursery.cancel_scope.cancel()


async def run_server(served: ServedApp, options: HttpServerOptions) -> None:
    """Serve until the test ends or stops the server."""
    app = QuartTrio('cranberryrelay.serving.tests')
    app.before_request(AnsweringRoutes(served).answer)
    await serve_http(app, options, served.stop.wait)
    served.ended.set()


async def wait_until_listening(port: int) -> None:
    """Return once the server accepts connections."""
    while True:
        try:
            stream = await trio.open_tcp_stream(LOOPBACK, port)
        except OSError:
            await trio.lowlevel.checkpoint()
        else:
            await stream.aclose()
            return
