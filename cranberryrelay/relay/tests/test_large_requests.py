"""Many callers at once that send large bodies, and stall.

Guards against an instance that keeps all of them until its memory is used up,
and ends with the requests of its other callers.
"""

import tracemalloc
from contextlib import suppress
from typing import Final
from unittest import TestCase

import trio

from cranberryrelay.relay.tests.test_bad_input import Process, run_front

CALLERS: Final = 12
PART: Final = bytes(1_000_000)

# Parts that each caller sends, of the sixteen that it names and that a body
# may have.
PARTS: Final = 15
NAMED_BYTES: Final = 16_000_000

# Memory for all bodies together: half of that of the smallest instances less
# what an instance takes at rest, in bytes.
MEMORY_BYTES: Final = 70_000_000

# Time for all callers to send, in seconds.
SENT_SECONDS: Final = 10.0
HEAD: Final = (
    b'POST /a/1 HTTP/1.1\r\n'
    b'Host: a.example\r\n'
    b'X-Cranberryrelay-Request-Id: r%d\r\n'
    b'Content-Length: %d\r\n\r\n'
)


async def send_and_stall(
    address: tuple[str, int], number: int, sent: trio.Event
) -> None:
    """Send most of a large body."""
    stream = await trio.open_tcp_stream(*address)
    with suppress(trio.BrokenResourceError):
        await stream.send_all(HEAD % (number, NAMED_BYTES))
        for _ in range(PARTS):
            await stream.send_all(PART)
    sent.set()
    await trio.sleep_forever()


async def call(address: tuple[str, int]) -> bytes:
    """Return the status of a small request."""
    stream = await trio.open_tcp_stream(*address)
    async with stream:
        await stream.send_all(HEAD % (CALLERS, 4))
        await stream.send_all(b'body')
        answer = bytes(await stream.receive_some())
    return answer.split(b' ')[1]


async def play() -> bytes:
    """Return the status of a small request beside the large ones."""
    all_sent = [trio.Event() for _ in range(CALLERS)]
    async with run_front(Process()) as address, trio.open_nursery() as nursery:
        for number, sent in enumerate(all_sent):
            nursery.start_soon(send_and_stall, address, number, sent)
        with trio.fail_after(SENT_SECONDS):
            for sent in all_sent:
                await sent.wait()
        status = await call(address)
        nursery.cancel_scope.cancel()
    return status


class LargeRequestTest(TestCase):
    """Bodies of requests take limited memory together."""

    # An instance ran out of memory with many bodies, none of them too large.
    def test_memory_is_limited(self) -> None:
        tracemalloc.start()
        status = trio.run(play)
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertLessEqual(peak_bytes, MEMORY_BYTES)
        self.assertEqual(status, b'200')
