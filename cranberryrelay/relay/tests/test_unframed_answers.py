"""Answers without a length, or without an end, over loopback connections.

Guards against taking a broken answer for a complete one, and against an
upstream whose bytes never end filling the memory of an instance.
"""

from collections.abc import Iterator
from contextlib import AsyncExitStack
from itertools import chain, repeat
from typing import NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from result import Err

from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import UpstreamCall
from cranberryrelay.relay._body_budget import ANSWER_LIMITS, BodyBudget
from cranberryrelay.relay._events import EVENT_BYTES_LIMIT, EventSplitter
from cranberryrelay.relay._upstream_call import (
    make_upstream_client,
    open_response,
    read_body,
)
from cranberryrelay.relay.tests.fixtures import make_arrival

HEAD = b'HTTP/1.1 200 OK\r\nX-Cranberryrelay-Request-Id: r1\r\n'
FILLER = b'x' * 65_536
CALL_SECONDS = 5.0

# Bytes that an endless upstream may get rid of, socket buffers included.
SENT_LIMIT = 3 * ANSWER_LIMITS.body_bytes


def answer_without_length() -> Iterator[bytes]:
    yield b'%b\r\nwhole' % HEAD


def answer_cut_short() -> Iterator[bytes]:
    yield b'%bContent-Length: 9\r\n\r\nhalf' % HEAD


def endless_body() -> Iterator[bytes]:
    return chain((b'%b\r\n' % HEAD,), repeat(FILLER))


def endless_chunks() -> Iterator[bytes]:
    chunk = b'%x\r\n%b\r\n' % (len(FILLER), FILLER)
    head = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD
    return chain((head,), repeat(chunk))


def endless_head() -> Iterator[bytes]:
    return chain((HEAD,), repeat(b'X-Filler: x\r\n' * 1000))


class Case(NamedTuple):
    """A row: what the upstream sends, and the body or code to expect."""

    name: str
    sent: Iterator[bytes]
    expected: bytes | ResultCode


CASES = (
    Case('no length, ends', answer_without_length(), b'whole'),
    Case('cut short', answer_cut_short(), ResultCode.STREAM_BROKEN),
    Case('endless body', endless_body(), ResultCode.ANSWER_TOO_LARGE),
    Case('endless chunks', endless_chunks(), ResultCode.ANSWER_TOO_LARGE),
    Case('endless head', endless_head(), ResultCode.UPSTREAM_FAILED),
)


class Upstream:
    """Sends bytes to its only caller until they end or the caller closes."""

    def __init__(self, content: Iterator[bytes]) -> None:
        self.content = content
        self.sent_bytes = 0
        self.closed = trio.Event()

    async def answer(self, stream: trio.SocketStream) -> None:
        """Answer one request."""
        await stream.receive_some()
        try:
            for part in self.content:
                await stream.send_all(part)
                self.sent_bytes += len(part)
        except trio.BrokenResourceError:
            self.closed.set()
        await stream.aclose()


class UnframedAnswerTest(TestCase):
    """Bodies are complete, broken or too large."""

    # Guards against buffering an endless answer until the deadline.
    @params(*((case,) for case in CASES))
    def test_answer(self, case: Case) -> None:
        upstream = Upstream(case.sent)
        received = trio.run(call, upstream)
        self.assertEqual(received, case.expected)
        self.assertLess(upstream.sent_bytes, SENT_LIMIT)

    def test_event_without_end_is_too_large(self) -> None:
        splitter = EventSplitter()
        while len(splitter.incomplete) <= EVENT_BYTES_LIMIT:
            self.assertFalse(splitter.too_large)
            splitter.feed(FILLER)
        self.assertTrue(splitter.too_large)


async def call(upstream: Upstream) -> bytes | ResultCode:
    """Return the body of the upstream's answer, or the failure's code.

    An upstream that sends on must see its connection closed at once.
    """
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    async with (
        trio.open_nursery() as nursery,
        make_upstream_client() as client,
        AsyncExitStack() as stack,
    ):
        nursery.start_soon(trio.serve_listeners, upstream.answer, listeners)
        request = UpstreamCall(
            make_arrival('r1'), 'u1', f'127.0.0.1:{port}', CALL_SECONDS
        )
        opened = await open_response(client, TargetDialect(), request, stack)
        if isinstance(opened, Err):
            nursery.cancel_scope.cancel()
            return opened.unwrap_err().code
        buffer = stack.enter_context(BodyBudget(ANSWER_LIMITS).open_buffer())
        body = await read_body(opened.unwrap(), CALL_SECONDS, buffer)
        if body.err() and body.unwrap_err().code is ResultCode.ANSWER_TOO_LARGE:
            with trio.fail_after(1):
                await upstream.closed.wait()
        nursery.cancel_scope.cancel()
    return body.unwrap() if body.is_ok() else body.unwrap_err().code


class EventOrderTest(TestCase):
    """Which events continue a stream."""

    # Guards against dropping a sound stream whose numbers begin with zero, and
    # against passing on events that do not follow.
    @params(
        (b'id: 0', None, True),
        (b'id: 7', None, True),
        (b'id: 1', 0, True),
        (b'id: 0', 0, False),
        (b'id: 3', 3, False),
        (b': comment', 3, True),
        (b'data: x', None, False),
        (b'HTTP/1.1 500 Error', None, False),
    )
    def test_event_follows(
        self, line: bytes, last: int | None, follows: bool
    ) -> None:
        events = EventSplitter().feed(b'%b\n\n' % line)
        found = [event.follows(last) for event in events]
        self.assertEqual(found, [follows])
