"""What the server reports of requests that it took and did not answer.

Guards against connections that end with a request in progress and leave no
trace from which the reason can be told.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.serving import EndReason, UnansweredRequest
from cranberryrelay.serving._unanswered import LineLimit
from cranberryrelay.serving.tests.callers import (
    ANSWER,
    BROKEN_PATH,
    GRACE_SECONDS,
    HELD_PATH,
    Caller,
    ServedApp,
    make_request,
    serve_app,
)

STALLED_SECONDS: Final = 0.2

# Upgrades that can't be carried out.
BAD_SETTINGS: Final = (
    b'GET / HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nHTTP2-Settings: AAAA\r\n\r\n'
)
BAD_WEBSOCKET: Final = (
    b'GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n'
    b'Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: x\r\n\r\n\xff\xff'
)
BAD_SUBPROTOCOL: Final = (
    b'GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n'
    b'Upgrade: websocket\r\nSec-WebSocket-Protocol: \xff\r\n\r\n'
)


class Ending(NamedTuple):
    """How a connection ends while its request is in progress."""

    # Path of the request.
    path: str

    # Ends the connection.
    end: Callable[[ServedApp, Caller], Awaitable[None]]

    # Reason that is reported; None if the request is answered.
    reason: EndReason | None

    # Part of the detail.
    detail: str

    # Age of the request when its connection ends, in seconds.
    age_seconds: float


async def close_connection(served: ServedApp, caller: Caller) -> None:
    """Let the caller give up."""
    await caller.stream.aclose()


async def stop_server(served: ServedApp, caller: Caller) -> None:
    """Stop the server, and let its grace pass."""
    served.stop.set()
    served.clock.autojump_threshold = STALLED_SECONDS
    await served.ended.wait()


async def read_to_end(served: ServedApp, caller: Caller) -> None:
    """Let the server end the connection by itself."""
    served.release.set()
    await caller.read()


async def read_and_close(served: ServedApp, caller: Caller) -> None:
    """Let the caller close its connection once it has read the answer."""
    served.release.set()
    await caller.read()
    await caller.stream.aclose()


class UnansweredTest(TestCase):
    """Requests whose connections end early."""

    # Guards against a request that ends without an answer and without a trace.
    @params(
        (Ending(HELD_PATH, close_connection, EndReason.CALLER_CLOSED, '', 0),),
        (
            Ending(
                HELD_PATH,
                stop_server,
                EndReason.PLANNED_STOP,
                '',
                GRACE_SECONDS,
            ),
        ),
        (
            Ending(
                BROKEN_PATH,
                read_to_end,
                EndReason.INTERNAL_ERROR,
                'broken off',
                0,
            ),
        ),
        (Ending(HELD_PATH, read_to_end, None, '', 0),),
        # Reports of answered requests whose callers close at once.
        (Ending(HELD_PATH, read_and_close, None, '', 0),),
    )
    def test_reason_is_reported(self, ending: Ending) -> None:
        reported = trio.run(end_early, ending, clock=MockClock())
        expected = [] if ending.reason is None else [ending.reason]
        self.assertEqual([one.reason for one in reported], expected)
        for unanswered in reported:
            self.assertEqual(unanswered.scope['path'], ending.path)
            self.assertIn(ending.detail, unanswered.detail)
            self.assertEqual(unanswered.age_seconds, ending.age_seconds)


class FailedConnectionTest(TestCase):
    """A connection that the server can't go on with."""

    # Guards against a server that ends, with all its requests, as one of its
    # connections raises an error.
    @params((BAD_SETTINGS,), (BAD_WEBSOCKET,), (BAD_SUBPROTOCOL,))
    def test_other_connections_go_on(self, content: bytes) -> None:
        answer = trio.run(request_beside_failure, content, clock=MockClock())
        self.assertTrue(answer.endswith(ANSWER))


class LineLimitTest(TestCase):
    """The number of log lines in a second."""

    # Guards against a log that grows with the number of callers that give up.
    def test_lines_of_a_second_are_limited(self) -> None:
        lines = LineLimit(2)
        times = (1, 1.5, 1.9, 2, 2.1, 2.2)
        taken = [lines.take(now) for now in times]
        self.assertEqual(taken, [True, True, False, True, True, False])
        self.assertEqual(lines.left_out, 2)


async def end_early(ending: Ending) -> list[UnansweredRequest]:
    """Return what is reported of a request whose connection ends."""
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, MockClock)
    async with serve_app(clock) as served:
        caller = Caller('a', served.port)
        caller.send(make_request(ending.path))
        while ending.path not in served.handled:
            await trio.lowlevel.checkpoint()
        await ending.end(served, caller)
        await trio.testing.wait_all_tasks_blocked(STALLED_SECONDS)
        return list(served.unanswered)


async def request_beside_failure(content: bytes) -> bytes:
    """Return the answer to a request that is sent after a failure."""
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, MockClock)
    async with serve_app(clock) as served:
        other = Caller('other', served.port)
        await other.exchange(make_request('/first'))
        failing = Caller('failing', served.port)
        failing.send(content)
        await trio.testing.wait_all_tasks_blocked(STALLED_SECONDS)
        return await other.exchange(make_request('/second'))
