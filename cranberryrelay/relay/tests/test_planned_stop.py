"""Planned stop of the HTTP server.

Guards against idle keep-alive connections that delay a planned stop until the
end of its grace period, and against requests that its end cuts.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any, Final, NamedTuple
from unittest import TestCase, mock

import httpx
import trio
from nose2.tools import params
from result import Ok
from trio.testing import MockClock

from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay._caller_servers import serve_callers
from cranberryrelay.relay._context import RelayContext, StreamReply
from cranberryrelay.relay._front_app import make_readiness_app
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    BOUNDS,
    make_settings,
    pick_port,
)
from cranberryrelay.serving import HttpServerOptions, serve_http
from cranberryrelay.standins import LOOPBACK
from cranberryrelay.timing import open_timer_service

STOP_SECONDS = 5.0
IDLE_SECONDS = 60.0
GRACE_SECONDS: Final = BOUNDS.grace_seconds

# Answers end before the last seventh of the grace, in seconds after SIGTERM.
ANSWERS_END: Final = GRACE_SECONDS - 1.2

# Time for an answer to reach the caller.
READ_SECONDS: Final = 0.05

# Without any event for so long, in real seconds, the clock of a test moves on.
STALLED_SECONDS: Final = 0.02
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


@asynccontextmanager
async def run_server(stop: trio.Event) -> AsyncIterator[str]:
    """Serve the readiness app on a free loopback port; yield the address."""
    address = f'{LOOPBACK}:{pick_port()}'
    options = HttpServerOptions(address, STOP_SECONDS, lambda: IDLE_SECONDS)
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient() as client,
        trio.open_nursery() as nursery,
    ):
        dialect: Any = None
        context = RelayContext(
            RelayState(make_settings()), client, dialect, timers
        )
        app = make_readiness_app(context)
        nursery.start_soon(serve_http, app, options, stop.wait)
        await trio.sleep(0.3)
        yield address


class PlannedStopTest(TestCase):
    """Runs the HTTP server on the loopback interface."""

    def test_idle_connections_are_closed(self) -> None:
        self.assertLess(trio.run(measure_close_seconds), 1)


class Unfinished(NamedTuple):
    """A request that the upstreams do not end before the stop."""

    # Path; tells what has become of the request.
    path: str

    # When the last byte of the request is sent, in seconds after SIGTERM.
    sent_at: float

    # Status that the caller reads.
    status: bytes

    # When the caller has read the end, in seconds after SIGTERM, at most.
    ended_at: float

    # Whether the answer is complete.
    complete: bool = True


UNFINISHED: Final = (
    Unfinished('/sent', -1, b'502', ANSWERS_END),
    Unfinished('/sent', 2, b'502', ANSWERS_END),
    Unfinished('/queued', -1, b'503', ANSWERS_END),
    Unfinished('/queued', 2, b'503', ANSWERS_END),
    Unfinished('/prefill', 1, b'503', ANSWERS_END),
    Unfinished('/admit', 3.6, b'503', 3.6),
    Unfinished('/admit', 6, b'503', 6),
    Unfinished('/admit', 30, b'503', ANSWERS_END),
    Unfinished('/stream', -1, b'200', ANSWERS_END + 0.2, complete=False),
)


class LateRequestsTest(TestCase):
    """Requests that are not done as the grace of a stop ends."""

    # Guards against requests that are taken late in a planned stop, or still
    # run at its end, and are cut without an answer.
    @params(*((one,) for one in UNFINISHED))
    def test_request_is_answered_before_the_end(self, one: Unfinished) -> None:
        clock = MockClock(autojump_threshold=STALLED_SECONDS)
        with mock.patch.object(RelayPipeline, 'serve', serve_unfinished):
            read = trio.run(stop_beside, one, clock=clock)
        self.assertEqual(read.status(), one.status)
        self.assertEqual(read.is_complete(), one.complete)
        self.assertLessEqual(read.ended_at, one.ended_at + READ_SECONDS)
        self.assertLess(read.stopped_at, GRACE_SECONDS)
        if one.status == b'503':
            self.assertIn(b'retry-after', read.content.lower())


class Read(NamedTuple):
    """What a caller has read, and when."""

    # All bytes until the end of the connection.
    content: bytes

    # When the connection ended, in seconds after SIGTERM.
    ended_at: float

    # When the servers ended, in seconds after SIGTERM.
    stopped_at: float

    def status(self) -> bytes:
        """Return the status of the answer; empty if there is none."""
        return self.content.partition(b' ')[2].partition(b' ')[0]

    def is_complete(self) -> bool:
        """Return whether the answer has the end that its head promises."""
        head, _, body = self.content.partition(b'\r\n\r\n')
        if b'chunked' in head.lower():
            return body.endswith(b'0\r\n\r\n')
        return bool(body)


async def serve_unfinished(
    pipeline: RelayPipeline, raw: Any, stack: Any, *progress: Any, **_: Any
) -> Any:
    """Stand in for a pipeline whose upstreams do not answer."""
    if raw.path == '/admit':
        refused = pipeline.admit(raw, stack)
        if refused.unwrap_err().code is ResultCode.DRAINING:
            return refused
    for one in progress:
        if raw.path != '/queued':
            one.begin_send(prefill_only=raw.path == '/prefill')
    if raw.path == '/stream':
        return Ok(StreamReply(200, (), yield_one_event()))
    return await trio.sleep_forever()


async def yield_one_event() -> AsyncIterator[bytes]:
    """Yield the first event of a stream that goes on."""
    yield b'id: 1\n\n'
    await trio.sleep_forever()


async def stop_beside(one: Unfinished) -> Read:
    """Stop an instance beside a request."""
    dialect: Any = TargetDialect()
    peers: Any = mock.Mock()
    stop = trio.Event()
    settings = make_settings()._replace(
        front_address=f'{LOOPBACK}:{pick_port()}',
        ready_address=f'{LOOPBACK}:{pick_port()}',
        forward_port=pick_port(),
    )
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient() as client,
        trio.open_nursery() as nursery,
    ):
        context = RelayContext(RelayState(settings), client, dialect, timers)
        ended = trio.Event()

        async def serve_to_the_end() -> None:
            await serve_callers(context, peers, stop)
            ended.set()

        nursery.start_soon(serve_to_the_end)
        await trio.sleep(1)
        host, _, port = settings.front_address.partition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        stop_at = trio.current_time() + 2
        nursery.start_soon(set_at, stop, stop_at)
        lines = (f'POST {one.path} HTTP/1.1', 'Host: a', 'Content-Length: 1')
        await stream.send_all('\r\n'.join((*lines, '', '')).encode())
        nursery.start_soon(send_at, stream, stop_at + one.sent_at)
        content = await read_all(stream)
        ended_at = trio.current_time() - stop_at
        await ended.wait()
        stopped_at = trio.current_time() - stop_at
        nursery.cancel_scope.cancel()
    return Read(content, ended_at, stopped_at)


async def set_at(event: trio.Event, time: float) -> None:
    """Set an event at a time."""
    await trio.sleep_until(time)
    event.set()


async def send_at(stream: trio.SocketStream, time: float) -> None:
    """Send the body of the request at a time."""
    await trio.sleep_until(time)
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.send_all(b'x')


async def read_all(stream: trio.SocketStream) -> bytes:
    """Read until the server closes the connection."""
    chunks: list[bytes | bytearray] = []
    with suppress(trio.BrokenResourceError):
        async for chunk in stream:
            chunks.append(chunk)  # noqa: PERF401
    return b''.join(chunks)


async def measure_close_seconds() -> float:
    """Return the seconds from a planned stop until an idle connection ends."""
    stop = trio.Event()
    async with run_server(stop) as address:
        host, _, port = address.partition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(REQUEST)
            await trio.sleep(0.3)
            await stream.receive_some()
            stop.set()
            stopped_at = trio.current_time()
            await stream.receive_some()
            return trio.current_time() - stopped_at
