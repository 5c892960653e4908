"""A connection of a caller, which is closed by the task that reads from it.

Hypercorn lets a task of its own close an idle connection. A request that has
been read at that moment is still handled, and its answer is lost. Here the wait
for bytes is itself limited in time: it ends with bytes, and the connection goes
on, or without any, and nothing is read any more.
"""

from enum import Enum, auto
from math import inf
from typing import Any, Final, NamedTuple, Protocol

import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import parse_socket_addr

from cranberryrelay.serving._unanswered import (
    AnswerWatch,
    EndReason,
    UnansweredObserver,
    UnansweredRequest,
    note_errors,
)

# Bytes that are read from the socket at a time.
READ_BYTES: Final = 65_536

# Before a connection is closed, the bytes are read that have arrived while
# other tasks ran.
LAST_LOOK_SECONDS: Final = 0.001

# Sent when the head of a request takes too long; nothing of it has run.
HEAD_TIMEOUT_ANSWER: Final = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


# Errors of a send on a connection that has ended, or is being closed.
_SEND_ERRORS: Final = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.BusyResourceError,
)


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
    app: AppWrapper

    # Configuration of hypercorn.
    config: Config

    # State of the server as hypercorn's protocols know it.
    context: WorkerContext

    # State that the app has prepared at the start of the server.
    lifespan_state: ConnectionState

    # Time limits.
    limits: ConnectionLimits

    # Receives the requests that are not answered.
    observe_unanswered: UnansweredObserver


class HttpConnection(TCPServer):
    """Serves one connection; only its reader decides to close it when idle."""

    def __init__(
        self, services: HttpServices, stream: trio.SocketStream
    ) -> None:
        super().__init__(
            services.app,
            services.config,
            services.context,
            services.lifespan_state,
            stream,  # type: ignore[arg-type]
        )
        self.socket = stream.socket
        self.services = services
        self.limits = services.limits
        self.waiting = Waiting(Awaited.REQUEST, trio.current_time())

        # Why the connection has ended; None while it is open.
        self.end_reason: EndReason | None = None

        # Whether a part of an answer could not be sent.
        self.send_failed = False

        # Limits the present wait for bytes.
        self.read_scope = trio.CancelScope()

        # Ends the reader once the connection is closed.
        self.reader_scope = trio.CancelScope()

    async def run(self) -> None:
        """Serve requests until the connection is closed."""
        try:
            peer_name = self.socket.getpeername()
        except OSError:
            # The caller has reset the connection.
            return
        async with TaskGroup() as task_group:
            self.protocol = ProtocolWrapper(
                self.handle_scope,
                self.config,
                self.context,
                task_group,
                self.services.lifespan_state,
                ssl=False,
                client=parse_socket_addr(self.socket.family, peer_name),
                server=parse_socket_addr(
                    self.socket.family, self.socket.getsockname()
                ),
                send=self.protocol_send,
            )
            try:
                await self.serve_requests()
            finally:
                await self._close()

    async def serve_requests(self) -> None:
        """Read requests until the connection ends; the app may go on."""
        await self.protocol.initiate()
        with self.reader_scope:
            await self._read_data()
        await self.protocol.handle(Closed())

    async def handle_scope(
        self,
        scope: Any,
        receive: Any,
        send: Any,
        sync_spawn: Any,
        call_soon: Any,
    ) -> None:
        """Let the app handle a request; report one that is not answered."""
        started_at = trio.current_time()
        watch = AnswerWatch(self.is_broken, send)
        try:
            with note_errors(watch):
                await self.app(
                    scope, receive, watch.send, sync_spawn, call_soon
                )
        finally:
            if scope['type'] == 'http' and not watch.complete:
                self.services.observe_unanswered(
                    UnansweredRequest(
                        scope,
                        trio.current_time() - started_at,
                        self.end_reason or self.find_reason(watch.detail),
                        watch.detail,
                    )
                )

    def find_reason(self, detail: str) -> EndReason:
        """Return why the app ended a request; ``detail`` has its error."""
        if self.limits.stopped and not detail:
            return EndReason.PLANNED_STOP
        return EndReason.INTERNAL_ERROR

    def is_broken(self) -> bool:
        """Return whether a part of an answer could not be sent."""
        return self.send_failed

    def record_end(self, reason: EndReason) -> None:
        """Record why the connection ends; the first reason counts."""
        self.end_reason = self.end_reason or reason

    async def protocol_send(self, event: Event) -> None:
        """Carry out what the protocol wants of the connection."""
        if isinstance(event, RawData):
            await self.send_bytes(event.data)
            return
        if isinstance(event, Updated):
            awaited = Awaited.REQUEST if event.idle else Awaited.ANSWER
            self.wait_for(awaited)
            return
        await super().protocol_send(event)
        if isinstance(event, Closed):
            self.reader_scope.cancel()

    async def send_bytes(self, content: bytes) -> None:
        """Send bytes whole, also if the app is cancelled in the meantime."""
        async with self.send_lock:
            with trio.CancelScope(shield=True):
                try:
                    await self.stream.send_all(content)
                except _SEND_ERRORS:
                    self.send_failed = True
                    self.record_end(EndReason.CALLER_CLOSED)
                else:
                    return
        await self.protocol.handle(Closed())

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
        self.socket.close()

    async def _read_data(self) -> None:
        while True:
            try:
                received = await self.receive()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                received = b''
            if not received:
                self.record_end(EndReason.CALLER_CLOSED)
                return
            await self.protocol.handle(RawData(received))
            self.record_partial_head()

    async def receive(self) -> bytes:
        """Return the next bytes; none if the connection ends."""
        while True:
            self.read_scope = trio.CancelScope(deadline=self.find_deadline())
            with self.read_scope:
                return bytes(await self.stream.receive_some(READ_BYTES))
            with trio.move_on_after(LAST_LOOK_SECONDS):
                return bytes(await self.stream.receive_some(READ_BYTES))
            if self.find_deadline() <= trio.current_time():
                await self.end_wait()
                return b''

    async def end_wait(self) -> None:
        """End the connection, as its wait is over."""
        if self.waiting.awaited is Awaited.HEAD:
            # Nothing of the request has run.
            await self.send_bytes(HEAD_TIMEOUT_ANSWER)
            self.record_end(EndReason.HEAD_LIMIT)
        elif self.limits.stopped:
            self.record_end(EndReason.PLANNED_STOP)
        else:
            self.record_end(EndReason.IDLE_LIMIT)

    def record_partial_head(self) -> None:
        """Begin the time of a head of which only a part has arrived."""
        protocol = self.protocol.protocol
        if self.waiting.awaited is not Awaited.REQUEST:
            return
        if isinstance(protocol, H11Protocol):
            unread, _ = protocol.connection.trailing_data
            if unread:
                self.wait_for(Awaited.HEAD)

    async def _close(self) -> None:
        with trio.CancelScope(shield=True):
            await super()._close()
