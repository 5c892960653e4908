"""One request on a connection and its answer, as an ASGI app sees them."""

from collections.abc import Callable
from typing import Any, Final, Protocol
from urllib.parse import unquote

import h11
import trio

from cranberryrelay.serving._unanswered import AnswerState

# Bytes of a body that are kept for an app that does not take them.
BODY_BUFFER_BYTES: Final = 1_048_576

# Extension of the ASGI scope: a call that takes what to do once the caller has
# left. It spares an app a task that waits for the message of it.
ON_DISCONNECT: Final = 'cranberryrelay.on_disconnect'

_START: Final = 'http.response.start'
_BODY: Final = 'http.response.body'
_NO_BODY_STATUSES: Final = frozenset((204, 304))


class AnswerWriter(Protocol):
    """What an exchange needs of its connection."""

    # Parser and writer of the connection.
    protocol: h11.Connection

    # Whether a part of an answer could not be sent.
    send_failed: bool

    @property
    def closes_after_answer(self) -> bool:
        """Return whether the connection closes after the answer."""

    async def send_bytes(self, content: bytes) -> None:
        """Send bytes whole, also if the app is cancelled meanwhile."""

    def end_answer(self) -> None:
        """Go on with the next request, or end the connection."""


class Exchange:
    """A request, as far as it has been read, and the state of its answer."""

    def __init__(self, writer: AnswerWriter, request: h11.Request) -> None:
        self.writer = writer
        self.request = request
        self.started_at = trio.current_time()

        # Parts of the body that the app has not taken yet.
        self.parts: list[bytes] = []
        self.buffered_bytes = 0
        self.is_body_complete = False
        self.is_body_taken = False

        # Whether the caller has left, or the connection has ended.
        self.is_disconnected = False
        self.leave: Callable[[], None] | None = None
        self.changed = trio.Event()

        # First message of the answer, until its body begins.
        self.head: h11.Response | None = None
        self.answer = AnswerState()

    def make_scope(
        self, peers: tuple[Any, Any], state: dict[str, Any]
    ) -> dict[str, Any]:
        """Make the ASGI scope; ``peers`` are the caller and the server."""
        path, _, query = self.request.target.partition(b'?')
        return {
            'type': 'http',
            'asgi': {'spec_version': '2.3', 'version': '3.0'},
            'http_version': self.request.http_version.decode(),
            'method': self.request.method.decode('latin-1').upper(),
            'scheme': 'http',
            'path': unquote(path.decode('latin-1')),
            'raw_path': path,
            'query_string': query,
            'root_path': '',
            'headers': list(self.request.headers),
            'client': peers[0],
            'server': peers[1],
            'state': state,
            'extensions': {ON_DISCONNECT: self.register_leave},
        }

    def register_leave(self, leave: Callable[[], None]) -> None:
        """Call ``leave`` once the caller has left."""
        self.leave = leave
        if self.is_disconnected:
            leave()

    def add_body(self, part: bytes) -> None:
        """Add a part of the body that has arrived."""
        self.parts.append(part)
        self.buffered_bytes += len(part)
        self.notify()

    def complete_body(self) -> None:
        """Record that the whole body has arrived."""
        self.is_body_complete = True
        self.notify()

    def disconnect(self) -> None:
        """Tell the app that its caller has left."""
        self.is_disconnected = True
        self.notify()
        if self.leave is not None and not self.answer.complete:
            self.leave()

    def notify(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    async def wait_for_room(self) -> None:
        """Wait until the app has taken the body that has arrived."""
        while self.buffered_bytes > BODY_BUFFER_BYTES:
            if self.is_disconnected or self.answer.complete:
                return
            await self.changed.wait()

    async def receive(self) -> dict[str, Any]:
        """Return the next ASGI message of the caller."""
        while True:
            if self.is_disconnected or self.answer.complete:
                return {'type': 'http.disconnect'}
            if not self.is_body_taken and (self.parts or self.is_body_complete):
                return self.take_body()
            await self.changed.wait()

    def take_body(self) -> dict[str, Any]:
        """Return the body that has arrived as an ASGI message."""
        content = b''.join(self.parts)
        self.parts = []
        self.buffered_bytes = 0
        self.is_body_taken = self.is_body_complete
        if not self.is_body_complete:
            self.notify()
        return {
            'type': 'http.request',
            'body': content,
            'more_body': not self.is_body_complete,
        }

    async def send(self, message: dict[str, Any]) -> None:
        """Send an ASGI message of the app; dropped once the caller has left.

        The head goes out with the first part of the body.
        """
        if message['type'] == _START:
            self.head = h11.Response(
                status_code=message['status'],
                headers=self.make_headers(message),
            )
            return
        if message['type'] != _BODY or self.is_disconnected:
            return
        is_last = not message.get('more_body', False)
        content = self.encode(message.get('body', b''), is_last=is_last)
        if content:
            await self.writer.send_bytes(content)
        if is_last:
            self.answer.complete = not self.writer.send_failed
            self.notify()
            self.writer.end_answer()

    def make_headers(
        self, message: dict[str, Any]
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer."""
        headers = list(message.get('headers', ()))
        if self.writer.closes_after_answer:
            headers.append((b'connection', b'close'))
        return headers

    def encode(self, body: bytes, *, is_last: bool) -> bytes:
        """Return the bytes of the next part of the answer."""
        protocol = self.writer.protocol
        parts: list[bytes | None] = []
        if self.head is not None and not self.answer.begun:
            self.answer.begun = True
            parts.append(protocol.send(self.head))
        if body and self.has_body():
            parts.append(protocol.send(h11.Data(data=body)))
        if is_last:
            parts.append(protocol.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    def has_body(self) -> bool:
        """Return whether the answer has a body."""
        assert self.head is not None
        is_head = self.request.method == b'HEAD'
        return not (is_head or self.head.status_code in _NO_BODY_STATUSES)

    def is_end_visible(self) -> bool:
        """Return whether a caller can tell that the answer is broken off.

        One that ends with its connection seems complete at any end.
        """
        if not self.answer.begun or self.head is None:
            return True
        names = {name for name, _ in self.head.headers}
        is_chunked = self.request.http_version >= b'1.1'
        return b'content-length' in names or is_chunked
