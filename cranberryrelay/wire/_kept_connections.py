"""HTTP connections that are used for one request after another.

A server may close an idle connection, or write to it, at any time.  A request
that meets this on its way may have run for all that its sender knows.  So a
connection is looked at once more right before the first byte of a request: if
the server has closed it or written to it by then, the request has certainly
not been sent and goes out on another connection.  A connection is used again
only for less than the time that the server announces in ``Keep-Alive``, and
only if nothing follows the last answer on it.

The parser is h11 and the errors are those of httpx.
"""

import re
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Iterable
from types import MappingProxyType
from typing import Any, Final, TypeVar

import h11
import httpx
import trio

from cranberryrelay.timing import read_clock
from cranberryrelay.wire._byte_stream import ByteStream, connect
from cranberryrelay.wire._keep_alive import KEEP_ALIVE_OPTIONS

# The server's idle time begins while the end of its answer is on its way, and
# the next request has to arrive before it ends.
KEEP_ALIVE_MARGIN_SECONDS: Final = 0.25

# Largest head of an answer, in bytes.
HEAD_BYTES_LIMIT: Final = 102_400

# Most informational answers (1xx) before an answer.
INFORMATIONAL_LIMIT: Final = 32

# Most parts of a body that are taken apart before other tasks run.
PARTS_LIMIT: Final = 256

# Port of a URL that names none.
HTTP_PORT: Final = 80

# Steps of which the extension 'trace' of a request is told.
CONNECTED: Final = 'connection.connect_tcp.complete'
BEFORE_REQUEST: Final = 'http11.send_request_headers.started'

_KEEP_ALIVE: Final = b'keep-alive'
_TIMEOUT_PARAMETER: Final = re.compile(
    rb'\s*timeout\s*=\s*(\d{1,9})\s*', re.IGNORECASE
)
_SOCKET_ERRORS: Final = (trio.BrokenResourceError, trio.ClosedResourceError)
_CONNECT_ERRORS: Final = (OSError, OverflowError, *_SOCKET_ERRORS)
_Found = TypeVar('_Found')


class UnsentRequestError(httpx.ConnectError):
    """The server ended a new connection before a request was sent on it."""


class KeptConnection:
    """A connection on which requests and answers alternate."""

    def __init__(self, address: tuple[str, int], stream: ByteStream) -> None:
        self.address = address
        self.stream = stream
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_BYTES_LIMIT
        )

        # Whether a request could not be sent whole.
        self.send_failed = False

        # When the last answer ended, and how long the connection may then be
        # idle by what the server says; both in seconds.
        self.idle_since = float('inf')
        self.announced_seconds = float('inf')

    async def send(self, request: httpx.Request, content: bytes) -> None:
        """Send a request in one piece.

        A server may answer and close before it has read all of it, so that a
        failed send is told by what is read.
        """
        try:
            message = self.make_message(request, content)
        except h11.LocalProtocolError as error:
            raise httpx.LocalProtocolError(str(error)) from error
        try:
            await limit(
                self.stream.send_all(message), request, httpx.WriteTimeout
            )
        except _SOCKET_ERRORS:
            self.send_failed = True

    def make_message(self, request: httpx.Request, content: bytes) -> bytes:
        """Return the bytes of a request."""
        target = request.extensions.get('target') or request.url.raw_path
        events = [
            h11.Request(
                method=request.method,
                target=target,
                headers=request.headers.raw,
            ),
            *((h11.Data(data=content),) if content else ()),
            h11.EndOfMessage(),
        ]
        return b''.join(self.protocol.send(event) or b'' for event in events)

    async def read_head(self, request: httpx.Request) -> h11.Response:
        """Read the head of the answer."""
        for _ in range(INFORMATIONAL_LIMIT + 1):
            event = await self.read_event(request)
            if isinstance(event, h11.Response):
                self.announced_seconds = find_idle_seconds(event.headers)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise httpx.RemoteProtocolError(
                    'the connection ended before an answer'
                )
        raise httpx.RemoteProtocolError(
            f'more than {INFORMATIONAL_LIMIT} informational answers'
        )

    async def read_event(self, request: httpx.Request) -> Any:
        """Return the next event of the answer."""
        while True:
            event = self.next_present_event()
            if event is not None:
                return event
            try:
                received = await limit(
                    self.stream.receive(), request, httpx.ReadTimeout
                )
            except _SOCKET_ERRORS as error:
                raise httpx.ReadError(repr(error)) from error
            self.protocol.receive_data(received)

    def next_present_event(self) -> Any:
        """Return the next event that needs no more bytes; None if all do."""
        try:
            event = self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise httpx.RemoteProtocolError(str(error)) from error
        return None if event is h11.NEED_DATA else event

    def end_exchange(self) -> bool:
        """Return whether the connection may be used again; close it if not."""
        is_complete = (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )
        following, _ = self.protocol.trailing_data
        if not is_complete or following or self.send_failed:
            self.stream.close()
            return False
        self.protocol.start_next_cycle()
        self.idle_since = read_clock()
        return True

    def is_usable(self, idle_limit_seconds: float) -> bool:
        """Return whether a request may be sent now."""
        idle_seconds = min(idle_limit_seconds, self.announced_seconds)
        is_expired = read_clock() - self.idle_since > idle_seconds
        return not is_expired and not self.stream.is_readable()


class AnswerBody(httpx.AsyncByteStream):
    """The body of an answer; closed, it gives the connection back."""

    def __init__(
        self,
        pool: 'KeptConnectionTransport',
        connection: KeptConnection,
        request: httpx.Request,
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.request = request
        self.is_open = True

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield what arrives at a time; raises ``httpx.HTTPError``."""
        event = await self.connection.read_event(self.request)
        while isinstance(event, h11.Data):
            parts = [bytes(event.data)]
            event = self.connection.next_present_event()
            while isinstance(event, h11.Data) and len(parts) < PARTS_LIMIT:
                parts.append(bytes(event.data))
                event = self.connection.next_present_event()
            if isinstance(event, h11.Data):
                await trio.lowlevel.checkpoint()
            yield b''.join(parts)
            if event is None:
                event = await self.connection.read_event(self.request)

    async def aclose(self) -> None:
        """Give the connection back, or close it if the answer is not read."""
        if self.is_open:
            self.is_open = False
            self.pool.give_back(self.connection)


class KeptConnectionTransport(httpx.AsyncBaseTransport):
    """HTTP transport for requests that may have to run only once."""

    def __init__(self, limits: httpx.Limits) -> None:
        most = limits.max_connections
        self.slots = trio.Semaphore(most) if most else None
        self.idle_limit_seconds = (
            float('inf')
            if limits.keepalive_expiry is None
            else limits.keepalive_expiry
        )

        self.keeps_connections = limits.max_keepalive_connections != 0

        # Idle connections by address, the one that was used last at the end,
        # and all of them, the one that was used last at the end.
        self.idle: dict[tuple[str, int], list[KeptConnection]] = {}
        self.by_age: OrderedDict[KeptConnection, None] = OrderedDict()

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request; the answer's stream gives its connection back."""
        content = await request.aread()
        await self.take_slot(request)
        connection: KeptConnection | None = None
        try:
            connection = await self.find_connection(request)
            await connection.send(request, content)
            head = await connection.read_head(request)
        except BaseException:
            if connection is not None:
                connection.stream.close()
            self.free_slot()
            raise
        return httpx.Response(
            head.status_code,
            headers=head.headers.raw_items(),
            stream=AnswerBody(self, connection, request),
        )

    async def find_connection(self, request: httpx.Request) -> KeptConnection:
        """Return a connection on which a request may be sent at once.

        Raises ``httpx.ConnectError``, ``httpx.ConnectTimeout`` or
        ``UnsentRequestError``; then nothing was sent.
        """
        host = request.url.host
        address = (host, request.url.port or HTTP_PORT)
        self.close_expired()
        while True:
            kept = self.take_idle(address)
            if kept is None:
                break
            await trace(request, BEFORE_REQUEST)
            if kept.is_usable(self.idle_limit_seconds):
                return kept
            kept.stream.close()
        opened = await open_connection(address, request)
        await trace(request, CONNECTED)
        if opened.stream.is_readable():
            opened.stream.close()
            raise UnsentRequestError('closed before the request was sent')
        return opened

    def take_idle(self, address: tuple[str, int]) -> KeptConnection | None:
        """Return the idle connection that was used last."""
        idle = self.idle.get(address)
        if not idle:
            return None
        connection = idle.pop()
        if not idle:
            self.idle.pop(address)
        self.by_age.pop(connection)
        return connection

    def give_back(self, connection: KeptConnection) -> None:
        """Keep a connection whose answer has been read, or close it."""
        if not self.keeps_connections:
            connection.stream.close()
        elif connection.end_exchange():
            self.idle.setdefault(connection.address, []).append(connection)
            self.by_age[connection] = None
        self.free_slot()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        oldest = read_clock() - self.idle_limit_seconds
        while self.by_age:
            connection = next(iter(self.by_age))
            if connection.idle_since >= oldest:
                return
            self.close_idle(connection)

    def close_idle(self, connection: KeptConnection) -> None:
        """Close one idle connection."""
        self.by_age.pop(connection)
        idle = self.idle[connection.address]
        idle.remove(connection)
        if not idle:
            self.idle.pop(connection.address)
        connection.stream.close()

    async def take_slot(self, request: httpx.Request) -> None:
        """Wait until one more request may be sent."""
        if self.slots is not None:
            await limit(self.slots.acquire(), request, httpx.PoolTimeout)

    def free_slot(self) -> None:
        """Let another request be sent."""
        if self.slots is not None:
            self.slots.release()

    async def aclose(self) -> None:
        """Close the idle connections."""
        for connection in list(self.by_age):
            self.close_idle(connection)


async def open_connection(
    address: tuple[str, int], request: httpx.Request
) -> KeptConnection:
    """Open a connection; raises ``httpx.ConnectError`` or a timeout."""
    try:
        stream = await limit(
            connect(*address, KEEP_ALIVE_OPTIONS),
            request,
            httpx.ConnectTimeout,
        )
    except _CONNECT_ERRORS as error:
        raise httpx.ConnectError(repr(error)) from error
    return KeptConnection(address, stream)


async def trace(request: httpx.Request, step: str) -> None:
    """Tell the extension 'trace' of a request of a step."""
    observe = request.extensions.get('trace')
    if observe is not None:
        await observe(step, {})


_TIMEOUT_NAMES: Final = MappingProxyType(
    {
        httpx.ReadTimeout: 'read',
        httpx.WriteTimeout: 'write',
        httpx.ConnectTimeout: 'connect',
        httpx.PoolTimeout: 'pool',
    }
)


async def limit(
    action: Awaitable[_Found],
    request: httpx.Request,
    error: type[httpx.TimeoutException],
) -> _Found:
    """Await an action within the request's timeout for it, if it has one."""
    seconds = request.extensions.get('timeout', {}).get(_TIMEOUT_NAMES[error])
    if seconds is None:
        return await action
    with trio.move_on_after(seconds):
        return await action
    raise error(f'no progress within {seconds} s')


def find_idle_seconds(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Return how long a connection may be idle by the server's headers.

    Infinite if they do not say.
    """
    for name, content in headers:
        if name != _KEEP_ALIVE:
            continue
        for parameter in content.split(b','):
            found = _TIMEOUT_PARAMETER.fullmatch(parameter)
            if found:
                return int(found.group(1)) - KEEP_ALIVE_MARGIN_SECONDS
    return float('inf')
