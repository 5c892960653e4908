"""HTTP server for ASGI apps, configured the same way for every program.

The parser is h11, which hypercorn builds on as well; the tasks, sockets and
limits of a connection are those of ``_http_connection``.
"""

import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import trio

from cranberryrelay.serving._http_connection import (
    App,
    HttpConnection,
    HttpServices,
)
from cranberryrelay.serving._idle_limits import IdleLimits
from cranberryrelay.serving._lifespan import open_lifespan
from cranberryrelay.serving._unanswered import (
    LINES_PER_SECOND_LIMIT,
    LineLimit,
    UnansweredLog,
    UnansweredObserver,
)
from cranberryrelay.wire import ByteStream

# Connections that wait to be accepted.
BACKLOG: Final = 1024

# Time for the head of a request where no release note limits it.
DEFAULT_HEAD_SECONDS: Final = 10.0

# Pause after the descriptors of the process have run out.
DESCRIPTOR_PAUSE_SECONDS: Final = 0.1

_LOG: Final = logging.getLogger('cranberryrelay.serving')


def read_default_head_seconds() -> float:
    """Return the time for the head of a request, in seconds."""
    return DEFAULT_HEAD_SECONDS


class HttpServerOptions(NamedTuple):
    """Listening address and timeouts of an HTTP server."""

    # 'IP:port' to listen on.
    address: str

    # Time that running requests get to finish after the shutdown trigger.
    grace_seconds: float

    # Returns the seconds after which an idle connection is closed. A changed
    # limit applies to idle connections if it is longer than the one before.
    read_idle_seconds: Callable[[], float]

    # Returns the seconds that the head of a request may take from its first
    # byte to its last.
    read_head_seconds: Callable[[], float] = read_default_head_seconds

    # Receives the requests that were taken and not answered; None to log them.
    observe_unanswered: UnansweredObserver | None = None


async def serve_http(
    app: App,
    options: HttpServerOptions,
    shutdown_trigger: Callable[[], Awaitable[None]],
) -> None:
    """Serve an app until ``shutdown_trigger`` returns.

    Running requests then get the grace period of the options to finish.
    """
    async with open_lifespan(app) as state:
        server = HttpServer(app, options, state)
        await server.run(shutdown_trigger)


def open_listener(address: str) -> socket.socket:
    """Listen on an 'IP:port'."""
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return listener


class HttpServer:
    """Accepts connections, and closes all of them in a planned stop."""

    def __init__(
        self, app: App, options: HttpServerOptions, state: dict[str, object]
    ) -> None:
        self.options = options
        self.idle_limits = IdleLimits(options.read_idle_seconds)
        self.stopped = False
        self.failure_lines = LineLimit(LINES_PER_SECOND_LIMIT)
        self.connections: set[HttpConnection] = set()
        self.all_closed = trio.Event()
        self.services = HttpServices(
            app,
            state,
            self,
            options.observe_unanswered or UnansweredLog().write,
        )

    def find_idle_seconds(self, idle_since: float) -> float:
        """Return how long a connection may be idle that is since a time."""
        return self.idle_limits.find_longest(idle_since, trio.current_time())

    def read_head_seconds(self) -> float:
        """Return how long the head of a request may take."""
        return self.options.read_head_seconds()

    async def run(
        self, shutdown_trigger: Callable[[], Awaitable[None]]
    ) -> None:
        """Serve until the trigger returns and the requests have ended."""
        async with trio.open_nursery() as handlers:
            try:
                await self.accept(handlers, shutdown_trigger)
                await self.stop()
            finally:
                self.abort()
            handlers.cancel_scope.cancel()

    async def accept(
        self,
        handlers: trio.Nursery,
        shutdown_trigger: Callable[[], Awaitable[None]],
    ) -> None:
        """Accept connections until the trigger returns."""
        with open_listener(self.options.address) as listener:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(self.accept_from, listener, handlers)
                await shutdown_trigger()
                accepting.cancel_scope.cancel()

    async def accept_from(
        self, listener: socket.socket, handlers: trio.Nursery
    ) -> None:
        """Accept connections of a listener."""
        while True:
            await trio.lowlevel.wait_readable(listener)
            try:
                accepted, _ = listener.accept()
            except (BlockingIOError, ConnectionError):
                # The caller has left.
                continue
            except OSError as error:
                _LOG.error(
                    'no connection accepted', extra={'detail': repr(error)}
                )
                await trio.sleep(DESCRIPTOR_PAUSE_SECONDS)
                continue
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handlers.start_soon(self.handle_stream, ByteStream(accepted))

    async def handle_stream(self, stream: ByteStream) -> None:
        """Serve an accepted connection to its end."""
        connection = HttpConnection(self.services, stream)
        self.connections.add(connection)
        try:
            await connection.run()
        except Exception as error:
            # One connection does not end the others.
            if self.failure_lines.take(trio.current_time()):
                _LOG.exception(
                    'connection failed', extra={'detail': repr(error)}
                )
        finally:
            self.connections.discard(connection)
            if not self.connections:
                self.all_closed.set()

    async def stop(self) -> None:
        """Close idle connections and wait until the others have ended."""
        self.stopped = True
        self.all_closed = trio.Event()
        if not self.connections:
            return
        for connection in self.connections:
            connection.apply_stop()
        with trio.move_on_after(self.options.grace_seconds):
            await self.all_closed.wait()

    def abort(self) -> None:
        """Close all connections at once.

        A caller that does not read would hold up the end of the server.
        """
        for connection in self.connections:
            connection.abort()
