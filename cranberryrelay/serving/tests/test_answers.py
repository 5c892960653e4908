"""Requests and answers as an app and a caller see them, over loopback.

Guards against an answer that is broken off and seems complete, a body where
none belongs, and a request whose caller has left and that runs on.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params

from cranberryrelay.relay.tests.fixtures import pick_port
from cranberryrelay.serving import (
    ON_DISCONNECT,
    HttpServerOptions,
    serve_http,
)
from cranberryrelay.serving._exchange import BODY_BUFFER_BYTES
from cranberryrelay.serving.tests.callers import (
    GRACE_SECONDS,
    read_idle_limit,
    wait_until_listening,
)
from cranberryrelay.standins import LOOPBACK

TEST_SECONDS: Final = 10.0
LARGE_BYTES: Final = 8 * BODY_BUFFER_BYTES
HEAD: Final = b'Host: a\r\n\r\n'

# ASGI app of a test.
TestApp = Callable[[Any, Any, Any], Awaitable[None]]


class Received(NamedTuple):
    """What a caller has read until its connection ended."""

    content: bytes

    # Whether the connection was reset.
    is_reset: bool


def make_start(*headers: tuple[bytes, bytes], status: int = 200) -> Any:
    """Make the first message of an answer."""
    return {
        'type': 'http.response.start',
        'status': status,
        'headers': list(headers),
    }


def make_body(content: bytes, *, more_body: bool = False) -> Any:
    """Make a message with a part of the body of an answer."""
    return {
        'type': 'http.response.body',
        'body': content,
        'more_body': more_body,
    }


async def receive_all(receive: Any) -> bytes:
    """Read the body of a request."""
    content = b''
    while True:
        message = await receive()
        content += bytes(message['body'])
        if not message['more_body']:
            return content


async def exchange(app: TestApp, sent: bytes, answers: int = 1) -> Received:
    """Serve an app; send bytes, read some answers, and end the connection."""

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        if scope['type'] == 'http':
            await app(scope, receive, send)

    port = pick_port()
    options = HttpServerOptions(
        f'{LOOPBACK}:{port}', GRACE_SECONDS, read_idle_limit
    )
    with trio.fail_after(TEST_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_http, serve, options, trio.sleep_forever)
            await wait_until_listening(port)
            stream = await trio.open_tcp_stream(LOOPBACK, port)
            nursery.start_soon(stream.send_all, sent)
            received = await read_answers(stream, answers)
            await stream.aclose()
            nursery.cancel_scope.cancel()
    return received


async def read_answers(stream: trio.SocketStream, answers: int) -> Received:
    """Read until some answers have their end, or the connection ends."""
    content = b''
    while content.count(b'END') < answers:
        try:
            chunk = await stream.receive_some()
        except trio.BrokenResourceError:
            return Received(content, is_reset=True)
        if not chunk:
            return Received(content, is_reset=False)
        content += chunk
    return Received(content, is_reset=False)


async def break_off(scope: Any, receive: Any, send: Any) -> None:
    """Begin an answer without a length, and fail."""
    await send(make_start())
    await send(make_body(b'begun', more_body=True))
    raise ValueError('broken off')


async def break_off_counted(scope: Any, receive: Any, send: Any) -> None:
    """Begin an answer with a length, and fail."""
    await send(make_start((b'Content-Length', b'9')))
    await send(make_body(b'begun', more_body=True))
    raise ValueError('broken off')


async def send_too_little(scope: Any, receive: Any, send: Any) -> None:
    """Send less than the stated length, and end the answer."""
    await send(make_start((b'Content-Length', b'9')))
    await send(make_body(b'begun'))


class BrokenAnswerTest(TestCase):
    """An answer that is broken off does not seem complete."""

    # Guards against the last chunk after an answer that failed.
    def test_chunks_have_no_end(self) -> None:
        sent = b'GET / HTTP/1.1\r\n%b' % HEAD
        received = trio.run(exchange, break_off, sent)
        self.assertIn(b'begun', received.content)
        self.assertFalse(received.content.endswith(b'0\r\n\r\n'))

    # Guards against an answer that ends with its connection, and so seems
    # complete wherever it ends.
    def test_answer_without_framing_is_reset(self) -> None:
        sent = b'GET / HTTP/1.0\r\n%b' % HEAD
        self.assertTrue(trio.run(exchange, break_off, sent).is_reset)

    # Guards against an answer that is filled up to its length.
    @params(break_off_counted, send_too_little)
    def test_counted_answer_is_short(self, app: TestApp) -> None:
        sent = b'GET / HTTP/1.1\r\n%b' % HEAD
        received = trio.run(exchange, app, sent)
        _, _, body = received.content.partition(b'\r\n\r\n')
        self.assertIn(body, (b'begun', b''))

    # Guards against a caller that reads nothing, though nothing was sent yet.
    def test_failure_before_the_answer_has_a_status(self) -> None:
        async def fail(scope: Any, receive: Any, send: Any) -> None:
            raise ValueError('nothing sent')

        sent = b'GET / HTTP/1.1\r\n%b' % HEAD
        received = trio.run(exchange, fail, sent)
        self.assertTrue(received.content.startswith(b'HTTP/1.1 500'))


class FramingTest(TestCase):
    """Answers without a body, and requests one after another."""

    # Guards against bytes that the caller takes for the next answer.
    @params((b'HEAD', 200), (b'GET', 204), (b'GET', 304))
    def test_answer_has_no_body(self, method: bytes, status: int) -> None:
        async def answer(scope: Any, receive: Any, send: Any) -> None:
            if scope['path'] == '/last':
                await send(make_start())
                await send(make_body(b'END'))
                return
            await send(make_start(status=status))
            await send(make_body(b'no body'))

        requests = (method, b'/ HTTP/1.1'), (b'GET', b'/last HTTP/1.1')
        sent = b''.join(
            b'%b %b\r\n%b' % (verb, target, HEAD) for verb, target in requests
        )
        received = trio.run(exchange, answer, sent)
        self.assertNotIn(b'no body', received.content)
        self.assertEqual(received.content.count(b'HTTP/1.1'), 2)

    # Guards against answers that overtake each other, or get lost.
    def test_requests_sent_at_once_are_answered_in_order(self) -> None:
        async def answer(scope: Any, receive: Any, send: Any) -> None:
            body = await receive_all(receive)
            await send(make_start())
            await send(make_body(b'%b END' % body))

        sent = b''.join(
            b'POST / HTTP/1.1\r\nContent-Length: 1\r\n%b%d' % (HEAD, number)
            for number in range(3)
        )
        received = trio.run(exchange, answer, sent, 3)
        found = [
            received.content.find(b'%d END' % number) for number in (0, 1, 2)
        ]
        self.assertEqual(found, sorted(found))
        self.assertNotIn(-1, found)

    # Guards against a caller that waits before it sends its body.
    def test_caller_is_told_to_go_on(self) -> None:
        async def answer(scope: Any, receive: Any, send: Any) -> None:
            await send(make_start())
            await send(make_body(b'END'))

        sent = (
            b'POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n'
        )
        received = trio.run(exchange, answer, sent + HEAD)
        self.assertTrue(received.content.startswith(b'HTTP/1.1 100'))


class BodyTest(TestCase):
    """Bodies that are larger than what is kept of them."""

    # Guards against a body that fills the memory before the app wants it, and
    # against one that is not read to its end.
    def test_large_body_arrives_whole(self) -> None:
        lengths: list[int] = []

        async def answer(scope: Any, receive: Any, send: Any) -> None:
            await trio.sleep(0.2)
            first = await receive()
            lengths.append(len(first['body']))
            lengths.append(len(first['body'] + await receive_all(receive)))
            await send(make_start())
            await send(make_body(b'END'))

        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n' % LARGE_BYTES
        trio.run(exchange, answer, head + HEAD + bytes(LARGE_BYTES))
        self.assertLess(lengths[0], 2 * BODY_BUFFER_BYTES)
        self.assertEqual(lengths[1], LARGE_BYTES)


class LeaveTest(TestCase):
    """Callers that leave before they are answered, or after."""

    # Guards against work for a caller that has left, and against an end of a
    # request that has been answered.
    @params((False, ['left']), (True, []))
    def test_app_is_told(self, answers: bool, expected: list[str]) -> None:
        told: list[str] = []
        done = trio.Event()

        async def answer(scope: Any, receive: Any, send: Any) -> None:
            scope['extensions'][ON_DISCONNECT](lambda: told.append('left'))
            if answers:
                await send(make_start())
                await send(make_body(b'END'))
            while (await receive())['type'] != 'http.disconnect':
                await trio.lowlevel.checkpoint()
            done.set()

        async def leave() -> None:
            port = pick_port()
            options = HttpServerOptions(
                f'{LOOPBACK}:{port}', GRACE_SECONDS, read_idle_limit
            )

            async def serve(scope: Any, receive: Any, send: Any) -> None:
                if scope['type'] == 'http':
                    await answer(scope, receive, send)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    serve_http, serve, options, trio.sleep_forever
                )
                await wait_until_listening(port)
                stream = await trio.open_tcp_stream(LOOPBACK, port)
                await stream.send_all(b'GET / HTTP/1.1\r\n%b' % HEAD)
                if answers:
                    await read_answers(stream, 1)
                else:
                    await trio.testing.wait_all_tasks_blocked(0.05)
                await stream.aclose()
                with trio.fail_after(TEST_SECONDS):
                    await done.wait()
                nursery.cancel_scope.cancel()

        trio.run(leave)
        self.assertEqual(told, expected)
