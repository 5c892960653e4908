"""Callers that send a byte of their request now and then.

Guards against a request that holds its connection, and what has been read of
it, without end.
"""

from contextlib import suppress
from typing import Final, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay.tests.test_bad_input import Process, run_front

STALLED_SECONDS: Final = 0.05

# Limit of the route of the tests, in seconds.
ROUTE_SECONDS: Final = 8.0
LATENESS_SECONDS: Final = 0.5
LINES: Final = (
    b'POST /a/1 HTTP/1.1',
    b'Host: a.example',
    b'X-Cranberryrelay-Request-Id: r1',
)


class SlowCase(NamedTuple):
    """A row: the body of a request, and when and how it is answered."""

    # What is tested.
    name: str

    # Pause after each byte of the body, in seconds.
    pause_seconds: float

    # Bytes of the body that are sent; it has ten.
    sent_bytes: int

    status: bytes

    # When the answer arrives, in seconds.
    answered_at: float


CASES: Final = (
    SlowCase('at once', 0, 10, b'200', 0),
    SlowCase('slow, but in time', 0.5, 10, b'200', 4.5),
    SlowCase('a byte now and then', 2.5, 10, b'408', ROUTE_SECONDS),
    SlowCase('a part, and no more', 0, 4, b'408', ROUTE_SECONDS),
)


async def send_slowly(
    stream: trio.SocketStream, case: SlowCase, head: bytes
) -> None:
    """Send a request; its body comes byte by byte."""
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.send_all(head)
        for _ in range(case.sent_bytes):
            await stream.send_all(b'x')
            await trio.sleep(case.pause_seconds)


async def call(case: SlowCase) -> tuple[bytes, float, int]:
    """Return the status, when it arrived, and the number of calls made."""
    process = Process()
    head = b'\r\n'.join((*LINES, b'Content-Length: 10', b'', b''))
    async with run_front(process) as (host, port):
        stream = await trio.open_tcp_stream(host, port)
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_slowly, stream, case, head)
            answer = bytes(await stream.receive_some())
            seconds = trio.current_time() - began_at
            nursery.cancel_scope.cancel()
        await stream.aclose()
    return answer.split(b' ')[1], seconds, len(process.bodies)


class SlowBodyTest(TestCase):
    """A body has the time that its route gives the whole request."""

    @params(*((case,) for case in CASES))
    def test_request_is_answered(self, case: SlowCase) -> None:
        clock = MockClock(autojump_threshold=STALLED_SECONDS)
        status, seconds, calls = trio.run(call, case, clock=clock)
        self.assertEqual(status, case.status)
        self.assertGreaterEqual(seconds, case.answered_at)
        self.assertLess(seconds, case.answered_at + LATENESS_SECONDS)
        self.assertEqual(calls, int(status == b'200'))
