"""A store and an engine that send bytes without end.

Guards against an instance that keeps all of them until its memory is used up,
and ends with the requests of all its callers.
"""

import tracemalloc
import zlib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from typing import Any, Final, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params

from cranberryrelay.platform import open_target_store
from cranberryrelay.platform.tests.test_slow_answers import CALLS, SlowCall
from cranberryrelay.standins import LOOPBACK

# Memory that a call may take: several at once leave the smallest instances,
# which have 200 MB, running.
CALL_BYTES: Final = 32_000_000

# Time within which bytes that are no answer end a call, in seconds.
ENDED_SECONDS: Final = 10.0
OK_LINE: Final = b'HTTP/1.1 200 OK\r\n'
CHUNKED: Final = b'%bTransfer-Encoding: chunked\r\n\r\n' % OK_LINE
PART: Final = bytes(65_536)
UNPACKED_BYTES: Final = 100_000_000


def compress(length: int) -> bytes:
    """Return so many bytes as a gzip stream."""
    gzip = zlib.compressobj(wbits=31)
    return gzip.compress(bytes(length)) + gzip.flush()


PACKED: Final = compress(UNPACKED_BYTES)


class Answer(NamedTuple):
    """A row: how an answer begins, and what follows without end."""

    name: str
    begin: bytes
    repeated: bytes


ANSWERS: Final = (
    Answer('noise', b'', b'\xff\x01noise' * 8000),
    Answer('one header', b'%ba: ' % OK_LINE, PART),
    Answer('headers', OK_LINE, b'a: b\r\n' * 8000),
    Answer(
        'body with a length',
        b'%bContent-Length: 10000000000000\r\n\r\n' % OK_LINE,
        PART,
    ),
    Answer('body that ends with the connection', b'%b\r\n' % OK_LINE, PART),
    Answer('chunks', CHUNKED, b'10000\r\n%b\r\n' % PART),
    Answer('one chunk', b'%bfffffffffff\r\n' % CHUNKED, PART),
    Answer('trailers', b'%b0\r\n' % CHUNKED, b'a: b\r\n' * 8000),
    Answer(
        'body that is unpacked',
        b'%bContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%b'
        % (OK_LINE, len(PACKED), PACKED),
        b'',
    ),
)


async def list_records(address: str) -> Any:
    """List a kind of records."""
    async with open_target_store(f'http://{address}') as store:
        return await store.list_kind('kind')


ALL_CALLS: Final = (*CALLS, SlowCall('list', list_records, 4))


class Outcome(NamedTuple):
    """What became of a call."""

    # Whether it failed.
    failed: bool

    # Most memory taken meanwhile, in bytes.
    peak_bytes: int


async def send_without_end(answer: Answer, stream: trio.SocketStream) -> None:
    """Answer until the caller closes the connection."""
    with suppress(trio.BrokenResourceError):
        await stream.receive_some()
        await stream.send_all(answer.begin)
        while answer.repeated:
            await stream.send_all(answer.repeated)
        await stream.receive_some()


async def measure(
    make_call: Callable[[str], Awaitable[Any]], answer: Answer
) -> Outcome:
    """Make a call that is answered without end."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        send = partial(send_without_end, answer)
        nursery.start_soon(partial(trio.serve_listeners, send, listeners))
        tracemalloc.start()
        with trio.fail_after(ENDED_SECONDS):
            result = await make_call(f'{LOOPBACK}:{port}')
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        nursery.cancel_scope.cancel()
    return Outcome(result.is_err(), peak_bytes)


class EndlessAnswerTest(TestCase):
    """Calls to the store and to engines take limited memory."""

    # The instance that had called ran out of memory and ended.
    @params(*((call, answer) for call in ALL_CALLS for answer in ANSWERS))
    def test_memory_is_limited(self, call: SlowCall, answer: Answer) -> None:
        outcome = trio.run(measure, call.make, answer)
        self.assertTrue(outcome.failed)
        self.assertLessEqual(outcome.peak_bytes, CALL_BYTES)
