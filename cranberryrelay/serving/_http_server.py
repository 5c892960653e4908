"""HTTP server on hypercorn, configured the same way for every program."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, NamedTuple

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

# Upper bound for a request head; release notes set lower limits.
HEAD_BYTES_LIMIT: Final = 65_536

# Requests per connection, high enough to be no limit in practice.
REQUESTS_LIMIT: Final = 1_000_000

# ASGI send callable: passes a message from the app to the server.
Send = Callable[[Any], Awaitable[None]]


class HttpServerOptions(NamedTuple):
    """Listening address and timeouts of an HTTP server."""

    # 'IP:port' to listen on.
    address: str

    # Time that running requests get to finish after the shutdown trigger.
    grace_seconds: float

    # Returns the seconds after which an idle connection is closed; called each
    # time a connection becomes idle.
    read_idle_seconds: Callable[[], float]


class DynamicTimeoutConfig(Config):
    """Hypercorn config whose idle timeout may change at runtime."""

    def __init__(self, read_idle_seconds: Callable[[], float]) -> None:
        super().__init__()
        self.read_idle_seconds = read_idle_seconds

    @property
    def keep_alive_timeout(self) -> float:  # type: ignore[override]
        """Return the current idle timeout in seconds."""
        return self.read_idle_seconds()


async def serve_http(
    app: QuartTrio,
    options: HttpServerOptions,
    shutdown_trigger: Callable[[], Awaitable[None]],
) -> None:
    """Serve an app until ``shutdown_trigger`` returns.

    Running requests then get the grace period of the options to finish.
    """
    config = DynamicTimeoutConfig(options.read_idle_seconds)
    config.bind = [options.address]
    config.graceful_timeout = options.grace_seconds
    config.h11_max_incomplete_size = HEAD_BYTES_LIMIT
    config.keep_alive_max_requests = REQUESTS_LIMIT
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = None
    await serve(app, config, shutdown_trigger=shutdown_trigger)


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
