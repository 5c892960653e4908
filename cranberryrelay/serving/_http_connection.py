"""A connection of a caller, which is closed by the task that reads from it.

A task of its own that closes an idle connection would lose the answer to a
request that has been read at that moment. Here the wait for bytes is itself
limited in time: it ends with bytes, and the connection goes on, or without any,
and nothing is read any more.
"""

from collections.abc import Awaitable, Callable
from enum import Enum, auto
from http import HTTPStatus
from math import inf
from typing import Any, Final, NamedTuple, Protocol

import h11
import trio

from cranberryrelay.serving._exchange import Exchange
from cranberryrelay.serving._unanswered import (
    EndReason,
    UnansweredObserver,
    UnansweredRequest,
)
from cranberryrelay.wire import ByteStream

# Largest head of a request, in bytes; release notes set lower limits.
HEAD_BYTES_LIMIT: Final = 65_536

# Before a connection is closed, the bytes are read that have arrived while
# other tasks ran.
LAST_LOOK_SECONDS: Final = 0.001

_SOCKET_ERRORS: Final = (trio.BrokenResourceError, trio.ClosedResourceError)
_MAY_ANSWER: Final = frozenset((h11.IDLE, h11.SEND_RESPONSE))

# An ASGI app.
App = Callable[[Any, Any, Any], Awaitable[None]]


class Awaited(Enum):
    """What a connection waits for."""

    # The first byte of a request.
    REQUEST = auto()

    # The rest of the head of a request.
    HEAD = auto()

    # The answer to a request, and the rest of its body.
    ANSWER = auto()


class Waiting(NamedTuple):
    """What a connection waits for, and since when."""

    # What it waits for.
    awaited: Awaited

    # Start of the wait, in seconds on the local clock.
    since: float


class ConnectionLimits(Protocol):
    """Time limits of connections, which may change at any time."""

    # Whether the server has stopped: idle connections are closed.
    stopped: bool

    def find_idle_seconds(self, idle_since: float) -> float:
        """Return how long a connection may be idle that is since a time."""

    def read_head_seconds(self) -> float:
        """Return how long the head of a request may take."""


class HttpServices(NamedTuple):
    """What all connections of a server share."""

    # App that handles the requests.
    app: App

    # State that the app has prepared at the start of the server.
    lifespan_state: dict[str, Any]

    # Time limits.
    limits: ConnectionLimits

    # Receives the requests that are not answered.
    observe_unanswered: UnansweredObserver


class HttpConnection:
    """Serves one connection; only its reader decides to close it when idle."""

    def __init__(self, services: HttpServices, stream: ByteStream) -> None:
        self.services = services
        self.limits = services.limits
        self.stream = stream
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=HEAD_BYTES_LIMIT
        )
        self.waiting = Waiting(Awaited.REQUEST, trio.current_time())

        # Request in progress.
        self.exchange: Exchange | None = None

        # Set when the answer in progress has been sent.
        self.answered = trio.Event()

        # Why the connection has ended; None while it is open.
        self.end_reason: EndReason | None = None

        # Whether a part of an answer could not be sent.
        self.send_failed = False

        # Whether a part of an answer waits for room in the buffer.
        self.is_sending = False
        self.send_lock = trio.Lock()

        # Limits the present wait for bytes.
        self.read_scope = trio.CancelScope()

        # Ends the reader once the connection is closed.
        self.reader_scope = trio.CancelScope()

    @property
    def closes_after_answer(self) -> bool:
        """Return whether the server has stopped."""
        return self.limits.stopped

    async def run(self) -> None:
        """Serve requests until the connection is closed."""
        try:
            peers = (
                self.stream.socket.getpeername(),
                self.stream.socket.getsockname(),
            )
        except OSError:
            # The caller has reset the connection.
            self.stream.close()
            return
        try:
            async with trio.open_nursery() as requests:
                with self.reader_scope:
                    await self.read_requests(requests, peers)
                if self.exchange is not None:
                    self.exchange.disconnect()
        finally:
            self.stream.end()

    async def read_requests(
        self, requests: trio.Nursery, peers: tuple[Any, Any]
    ) -> None:
        """Read requests until the connection ends; the app may go on."""
        while self.end_reason is None:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                await self.refuse_malformed(error)
                return
            if event is h11.NEED_DATA:
                await self.read_data()
            elif event is h11.PAUSED:
                # Another request has arrived before this one is answered.
                await self.answered.wait()
            elif isinstance(event, h11.ConnectionClosed):
                self.record_end(EndReason.CALLER_CLOSED)
            else:
                await self.handle_event(event, requests, peers)

    async def handle_event(
        self, event: Any, requests: trio.Nursery, peers: tuple[Any, Any]
    ) -> None:
        """Handle an event of the parser."""
        if isinstance(event, h11.Request):
            await self.begin_request(event, requests, peers)
        elif self.exchange is None:
            return
        elif isinstance(event, h11.Data):
            self.exchange.add_body(bytes(event.data))
            await self.exchange.wait_for_room()
        elif isinstance(event, h11.EndOfMessage):
            self.exchange.complete_body()

    async def begin_request(
        self,
        request: h11.Request,
        requests: trio.Nursery,
        peers: tuple[Any, Any],
    ) -> None:
        """Let the app handle a request."""
        self.wait_for(Awaited.ANSWER)
        self.answered = trio.Event()
        self.exchange = Exchange(self, request)
        if self.protocol.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self.send_bytes(self.protocol.send(go_on) or b'')
        requests.start_soon(self.run_app, self.exchange, peers)

    async def run_app(self, exchange: Exchange, peers: tuple[Any, Any]) -> None:
        """Let the app handle a request; report one that is not answered."""
        answer = exchange.answer
        scope = exchange.make_scope(peers, dict(self.services.lifespan_state))
        try:
            await self.services.app(scope, exchange.receive, exchange.send)
        except Exception as error:
            # One request does not end the others.
            answer.detail = repr(error)
        finally:
            if not answer.complete:
                self.report(exchange, scope)
        if not answer.complete:
            await self.break_off(exchange)

    def report(self, exchange: Exchange, scope: dict[str, Any]) -> None:
        """Report a request that is not answered."""
        detail = exchange.answer.detail
        self.services.observe_unanswered(
            UnansweredRequest(
                scope,
                trio.current_time() - exchange.started_at,
                self.end_reason or self.find_reason(detail),
                detail,
            )
        )

    async def break_off(self, exchange: Exchange) -> None:
        """End a connection whose request the app has not answered.

        An answer that has begun ends such that its caller can tell.
        """
        self.record_end(self.find_reason(exchange.answer.detail))
        if not exchange.answer.begun:
            await self.send_status(HTTPStatus.INTERNAL_SERVER_ERROR)
        elif not exchange.is_end_visible():
            self.stream.reset()
        self.reader_scope.cancel()

    def find_reason(self, detail: str) -> EndReason:
        """Return why the app ended a request; ``detail`` has its error."""
        if self.limits.stopped and not detail:
            return EndReason.PLANNED_STOP
        return EndReason.INTERNAL_ERROR

    def record_end(self, reason: EndReason) -> None:
        """Record why the connection ends; the first reason counts."""
        self.end_reason = self.end_reason or reason

    def end_answer(self) -> None:
        """Go on with the next request, or end the connection.

        The rest of a request that the app has not waited for is not read.
        """
        self.answered.set()
        is_reusable = (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )
        if not is_reusable or self.limits.stopped:
            self.reader_scope.cancel()
            return
        self.exchange = None
        self.protocol.start_next_cycle()
        self.wait_for(Awaited.REQUEST)

    async def refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        """Refuse what is no request, and end the connection."""
        is_answered = self.exchange is not None and self.exchange.answer.begun
        if not is_answered:
            await self.send_status(error.error_status_hint)
        self.record_end(EndReason.MALFORMED)

    async def send_status(self, status: int) -> None:
        """Send an answer without a body, after which the connection closes."""
        if self.protocol.our_state not in _MAY_ANSWER:
            return
        headers = [(b'content-length', b'0'), (b'connection', b'close')]
        events = (
            h11.Response(status_code=status, headers=headers),
            h11.EndOfMessage(),
        )
        await self.send_bytes(
            b''.join(self.protocol.send(event) or b'' for event in events)
        )

    async def send_bytes(self, content: bytes) -> None:
        """Send bytes whole, also if the app is cancelled in the meantime."""
        try:
            if not self.is_sending:
                content = bytes(self.stream.send_now(content))
            if content:
                await self.send_rest(content)
        except _SOCKET_ERRORS:
            self.send_failed = True
            self.record_end(EndReason.CALLER_CLOSED)
            self.reader_scope.cancel()

    async def send_rest(self, content: bytes) -> None:
        """Send what did not fit into the buffer of the connection."""
        with trio.CancelScope(shield=True):
            async with self.send_lock:
                self.is_sending = True
                try:
                    await self.stream.send_all(content)
                finally:
                    self.is_sending = False

    def wait_for(self, awaited: Awaited) -> None:
        """Begin a wait and limit its time."""
        self.waiting = Waiting(awaited, trio.current_time())
        self.read_scope.deadline = self.find_deadline()

    def find_deadline(self) -> float:
        """Return when the present wait ends, on the local clock."""
        awaited, since = self.waiting
        if awaited is Awaited.ANSWER:
            return inf
        if awaited is Awaited.HEAD:
            return since + self.limits.read_head_seconds()
        if self.limits.stopped:
            return -inf
        return since + self.limits.find_idle_seconds(since)

    def apply_stop(self) -> None:
        """Close the connection if it is idle, as the server has stopped."""
        self.read_scope.deadline = self.find_deadline()

    def abort(self) -> None:
        """Close the socket at once; a blocked send ends with an error."""
        self.record_end(
            EndReason.PLANNED_STOP
            if self.limits.stopped
            else EndReason.INTERNAL_ERROR
        )
        self.reader_scope.cancel()
        if self.exchange is not None and not self.exchange.is_end_visible():
            self.stream.reset()
        self.stream.close()

    async def read_data(self) -> None:
        """Read bytes for the parser, or end the connection."""
        self.record_partial_head()
        try:
            received = await self.receive()
        except _SOCKET_ERRORS:
            received = b''
        if received:
            self.protocol.receive_data(received)
        else:
            self.record_end(EndReason.CALLER_CLOSED)

    async def receive(self) -> bytes:
        """Return the next bytes; none if the connection ends."""
        while True:
            self.read_scope = trio.CancelScope(deadline=self.find_deadline())
            with self.read_scope:
                return await self.stream.receive()
            with trio.move_on_after(LAST_LOOK_SECONDS):
                return await self.stream.receive()
            if self.find_deadline() <= trio.current_time():
                await self.end_wait()
                return b''

    async def end_wait(self) -> None:
        """End the connection, as its wait is over."""
        if self.waiting.awaited is Awaited.HEAD:
            # Nothing of the request has run.
            await self.send_status(HTTPStatus.REQUEST_TIMEOUT)
            self.record_end(EndReason.HEAD_LIMIT)
        elif self.limits.stopped:
            self.record_end(EndReason.PLANNED_STOP)
        else:
            self.record_end(EndReason.IDLE_LIMIT)

    def record_partial_head(self) -> None:
        """Begin the time of a head of which only a part has arrived."""
        if self.waiting.awaited is Awaited.REQUEST:
            unread, _ = self.protocol.trailing_data
            if unread:
                self.wait_for(Awaited.HEAD)
