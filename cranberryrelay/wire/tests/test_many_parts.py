"""Answers that consist of very many parts.

Guards against a faulty server that keeps a process at work: the other requests
of the process wait meanwhile.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial
from typing import Final
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.wire import KeptConnectionTransport
from cranberryrelay.wire._kept_connections import (
    INFORMATIONAL_LIMIT,
    PARTS_LIMIT,
)

LOOPBACK: Final = '127.0.0.1'
EARLY: Final = b'HTTP/1.1 103 Early Hints\r\n\r\n'
ANSWER: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKS: Final = 20 * PARTS_LIMIT
CHUNKED: Final = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n'
    % (b'1\r\nx\r\n' * CHUNKS)
)

# Time within which a call ends whose answer does not begin, in seconds.
ENDED_SECONDS: Final = 5.0


async def answer(
    begin: bytes, repeated: bytes, stream: trio.SocketStream
) -> None:
    """Answer a request until the caller closes the connection."""
    with suppress(trio.BrokenResourceError):
        await stream.receive_some()
        await stream.send_all(begin)
        while repeated:
            await stream.send_all(repeated)
        await stream.receive_some()


@asynccontextmanager
async def open_server(begin: bytes, repeated: bytes) -> AsyncIterator[str]:
    """Run a server; yields its URL."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(
            partial(
                trio.serve_listeners,
                partial(answer, begin, repeated),
                listeners,
            )
        )
        yield f'http://{LOOPBACK}:{port}'
        nursery.cancel_scope.cancel()


async def call(begin: bytes, repeated: bytes) -> str:
    """Return the status of an answer, or the name of the error."""
    transport = KeptConnectionTransport(httpx.Limits())
    async with (
        open_server(begin, repeated) as url,
        httpx.AsyncClient(transport=transport, timeout=None) as client,
    ):
        with trio.fail_after(ENDED_SECONDS):
            try:
                response = await client.get(url)
            except httpx.RemoteProtocolError as error:
                return type(error).__name__
    return str(response.status_code)


async def take_turns(turns: list[bool]) -> None:
    """Run whenever other tasks let this one."""
    while True:
        turns.append(True)
        await trio.lowlevel.checkpoint()


async def read_parts() -> list[tuple[int, int]]:
    """Return the bytes of each part, and the turns of another task by then."""
    turns: list[bool] = []
    transport = KeptConnectionTransport(httpx.Limits())
    async with (
        open_server(CHUNKED, b'') as url,
        httpx.AsyncClient(transport=transport) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(take_turns, turns)
        async with client.stream('GET', url) as response:
            parts = [
                (len(part), len(turns)) async for part in response.aiter_raw()
            ]
        nursery.cancel_scope.cancel()
    return parts


class ManyPartsTest(TestCase):
    """One answer does not occupy the process."""

    # A call was held until its time limit, and the process at work for it.
    @params(EARLY, EARLY * 1000)
    def test_informational_answers_end(self, repeated: bytes) -> None:
        self.assertEqual(trio.run(call, b'', repeated), 'RemoteProtocolError')

    @params(0, 1, INFORMATIONAL_LIMIT)
    def test_answer_after_informational_ones(self, count: int) -> None:
        self.assertEqual(trio.run(call, EARLY * count + ANSWER, b''), '200')

    # Other tasks waited while all chunks that had arrived were taken apart.
    def test_other_tasks_run_between_parts(self) -> None:
        parts = trio.run(read_parts)
        self.assertEqual(sum(length for length, _ in parts), CHUNKS)
        self.assertLessEqual(max(length for length, _ in parts), PARTS_LIMIT)
        turns = [turn for _, turn in parts]
        # The last part of a read needs no turn, and in two turns of one task
        # the other has one.
        for earlier, later in zip(turns, turns[3:], strict=False):
            self.assertLess(earlier, later)
