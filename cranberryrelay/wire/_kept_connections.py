"""HTTP connections that are used for one request after another.

A server may close an idle connection, or write to it, at any time.  A request
that meets this on its way may have run for all that its sender knows.  So a
connection is looked at once more right before the first byte of a request: if
the server has closed it or written to it by then, the request has certainly
not been sent and goes out on another connection.  A connection is used again
only for less than the time that the server announces in ``Keep-Alive``.
"""

import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final

import httpcore
import httpx

from cranberryrelay.timing import read_clock
from cranberryrelay.wire._keep_alive import KEEP_ALIVE_OPTIONS

# The server's idle time begins while the end of its answer is on its way, and
# the next request has to arrive before it ends.
KEEP_ALIVE_MARGIN_SECONDS: Final = 0.25
_HEAD_END: Final = b'\r\n\r\n'
_LAST_CHUNK: Final = b'\r\n0\r\n\r\n'
_NO_BODY: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_IS_READABLE: Final = 'is_readable'
_TIMEOUT_PARAMETER: Final = re.compile(
    r'\s*timeout\s*=\s*(\d{1,9})\s*', re.ASCII | re.IGNORECASE
)


class UnsentRequestError(httpx.ConnectError):
    """The server ended a new connection before a request was sent on it."""


class AnswerBytes:
    """Counts the bytes read of one answer, to find bytes that follow it.

    The parser of the next answer would begin with such bytes.
    """

    def __init__(self) -> None:
        self.start = b''
        self.head_count = 0
        self.count = 0
        self.last = b''

        # Length of the body by the head; None if the answer is in chunks or
        # ends with its connection.
        self.body_count: int | None = None
        self.is_chunked = False

    def add(self, received: bytes) -> None:
        """Add bytes that were read."""
        self.count += len(received)
        self.last = (self.last + received)[-len(_LAST_CHUNK) :]
        if self.head_count:
            return
        self.start += received
        end = self.start.find(_HEAD_END)
        if end >= 0:
            self.head_count = end + len(_HEAD_END)
            self.start = b''

    def record_head(self, response: httpx.Response, method: str) -> None:
        """Record how the answer is framed."""
        self.is_chunked = 'Transfer-Encoding' in response.headers
        if method == 'HEAD' or response.status_code in _NO_BODY:
            self.is_chunked = False
            self.body_count = 0
        elif not self.is_chunked and 'Content-Length' in response.headers:
            self.body_count = int(response.headers['Content-Length'])

    def is_followed(self) -> bool:
        """Return whether more than the answer has been read, once it ended.

        An answer in chunks that ends with fields counts as followed too.
        """
        if self.is_chunked:
            return self.last != _LAST_CHUNK
        if self.body_count is None:
            return False
        return self.count > self.head_count + self.body_count


class KeptStream(httpcore.AsyncNetworkStream):
    """Byte stream of a connection on which requests and answers alternate."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self.stream = stream

        # Whether a request has been sent of whose answer nothing was read.
        self.is_sending = False

        # Bytes of the last answer, and whether there is one.
        self.answer = AnswerBytes()
        self.is_reused = False

        # Time of the last read, in seconds, and how long the connection may
        # then be idle.
        self.last_read_at = float('inf')
        self.idle_seconds = float('inf')

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes of an answer."""
        received = await self.stream.read(max_bytes, timeout)
        if self.is_sending:
            self.answer = AnswerBytes()
        self.answer.add(received)
        self.is_sending = False
        self.is_reused = True
        self.last_read_at = read_clock()
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write some bytes of a request.

        Raises ``httpcore.ConnectionNotAvailable``, after which the pool uses
        another connection, or ``UnsentRequestError`` if this one is new.
        """
        if not self.is_sending:
            self.check_idle()
            self.is_sending = True
        await self.stream.write(buffer, timeout)

    def check_idle(self) -> None:
        """Raise if the connection must not be used for a request."""
        if not self.get_extra_info(_IS_READABLE):
            return
        if self.is_reused:
            raise httpcore.ConnectionNotAvailable
        raise UnsentRequestError('closed before the request was sent')

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what is known of the connection, see ``httpcore``.

        The pool closes idle connections that are readable, as the server has
        closed them. Those that it is about to close, and those of which more
        than the last answer has been read, count as readable too.
        """
        if info == _IS_READABLE and not self.is_reusable():
            return True
        return self.stream.get_extra_info(info)

    def is_reusable(self) -> bool:
        """Return whether what was read allows to use the connection again."""
        is_expired = read_clock() - self.last_read_at > self.idle_seconds
        return not (is_expired or self.answer.is_followed())


class _Backend(httpcore.AsyncNetworkBackend):
    def __init__(self) -> None:
        self.backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self.backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return KeptStream(stream)


class KeptConnectionTransport(httpx.AsyncHTTPTransport):
    """HTTP transport for requests that may have to run only once."""

    def __init__(self, limits: httpx.Limits) -> None:
        super().__init__(limits=limits, trust_env=False)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            socket_options=KEEP_ALIVE_OPTIONS,
            network_backend=_Backend(),
        )
        idle_seconds = limits.keepalive_expiry
        self.idle_seconds = (
            float('inf') if idle_seconds is None else idle_seconds
        )

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request; limits the idle time of its connection."""
        response = await super().handle_async_request(request)
        stream = response.extensions.get('network_stream')
        if isinstance(stream, KeptStream):
            announced = find_idle_seconds(response.headers)
            stream.idle_seconds = min(self.idle_seconds, announced)
            stream.answer.record_head(response, request.method)
        return response


def find_idle_seconds(headers: httpx.Headers) -> float:
    """Return how long a connection may be idle by the server's headers.

    Infinite if they do not say.
    """
    for parameter in headers.get('Keep-Alive', '').split(','):
        found = _TIMEOUT_PARAMETER.fullmatch(parameter)
        if found:
            return int(found.group(1)) - KEEP_ALIVE_MARGIN_SECONDS
    return float('inf')
