"""HTTP server on hypercorn, configured the same way for every program."""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any, Final, NamedTuple

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from quart_trio import QuartTrio

from cranberryrelay.serving._http_connection import (
    HttpConnection,
    HttpServices,
)
from cranberryrelay.serving._idle_limits import IdleLimits
from cranberryrelay.serving._unanswered import (
    LINES_PER_SECOND_LIMIT,
    LineLimit,
    Send,
    UnansweredLog,
    UnansweredObserver,
)

# Upper bound for a request head; release notes set lower limits.
HEAD_BYTES_LIMIT: Final = 65_536

# Requests per connection, high enough to be no limit in practice.
REQUESTS_LIMIT: Final = 1_000_000

# Time for the head of a request where no release note limits it.
DEFAULT_HEAD_SECONDS: Final = 10.0

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
    app: QuartTrio,
    options: HttpServerOptions,
    shutdown_trigger: Callable[[], Awaitable[None]],
) -> None:
    """Serve an app until ``shutdown_trigger`` returns.

    Running requests then get the grace period of the options to finish.
    """
    config = make_config(options)
    wrapped = ASGIWrapper(app)
    async with open_lifespan(wrapped, config) as state:
        server = HttpServer(wrapped, config, options, state)
        await server.run(shutdown_trigger)


def make_config(options: HttpServerOptions) -> Config:
    """Make the configuration of hypercorn."""
    config = Config()
    config.bind = [options.address]
    config.h11_max_incomplete_size = HEAD_BYTES_LIMIT
    config.keep_alive_max_requests = REQUESTS_LIMIT
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = None
    return config


@asynccontextmanager
async def open_lifespan(
    app: AppWrapper, config: Config
) -> AsyncIterator[ConnectionState]:
    """Start the app, and end it when the context ends."""
    state = ConnectionState({})
    lifespan = Lifespan(app, config, state)
    async with trio.open_nursery() as nursery:
        await nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        yield state
        await lifespan.wait_for_shutdown()
        nursery.cancel_scope.cancel()


class HttpServer:
    """Accepts connections, and closes all of them in a planned stop."""

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        options: HttpServerOptions,
        state: ConnectionState,
    ) -> None:
        self.config = config
        self.options = options
        self.idle_limits = IdleLimits(options.read_idle_seconds)
        self.stopped = False
        self.failure_lines = LineLimit(LINES_PER_SECOND_LIMIT)
        self.connections: set[HttpConnection] = set()
        self.all_closed = trio.Event()
        self.services = HttpServices(
            app,
            config,
            WorkerContext(None),
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
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    self.handle_stream,
                    self.open_listeners(),
                    handler_nursery=handlers,
                )
            )
            await shutdown_trigger()
            accepting.cancel_scope.cancel()

    def open_listeners(self) -> list[trio.SocketListener]:
        """Open the sockets on which connections are accepted."""
        sockets = self.config.create_sockets().insecure_sockets
        for socket in sockets:
            socket.listen(self.config.backlog)
        return [
            trio.SocketListener(trio.socket.from_stdlib_socket(socket))
            for socket in sockets
        ]

    async def handle_stream(self, stream: trio.SocketStream) -> None:
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
        await self.services.context.terminated.set()
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


async def send_shielded(send: Send, message: Any) -> None:
    """Send an ASGI message; shield the last one from cancellation.

    While the server handles the last message of a response, it notifies the
    app that the request has ended, and the app cancels its tasks.  Without the
    shield the server would be cancelled before it starts the idle timeout of
    the connection.
    """
    with trio.CancelScope(shield=not message.get('more_body', False)):
        await send(message)


class ShieldedSendApp(QuartTrio):
    """Shields the last message of each response from cancellation."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle an ASGI scope."""
        await super().__call__(scope, receive, partial(send_shielded, send))
