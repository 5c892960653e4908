"""Serves an app over HTTP, the same way in every program."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, NamedTuple

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

# Longest head of a request, in bytes; the notes' own limits are below it.
HEAD_BYTES_LIMIT: Final = 65_536

# Requests on one connection; not limited in effect.
REQUESTS_LIMIT: Final = 1_000_000

# Sends a message of the app to the server.
Send = Callable[[Any], Awaitable[None]]


class HttpPlace(NamedTuple):
    """Where and how an app is served."""

    # 'IP:port'.
    address: str

    # Time for running requests to end after the trigger, in seconds.
    grace_seconds: float

    # Returns the time after which an idle connection is closed, in seconds; it
    # is asked whenever a connection becomes idle.
    idle_seconds: Callable[[], float]


class LiveConfig(Config):
    """The server's settings, with an idle limit that may change."""

    def __init__(self, idle_seconds: Callable[[], float]) -> None:
        super().__init__()
        self.idle_seconds = idle_seconds

    @property
    def keep_alive_timeout(self) -> float:  # type: ignore[override]
        """Return the idle limit that holds now, in seconds."""
        return self.idle_seconds()


async def serve_http(
    app: QuartTrio,
    place: HttpPlace,
    trigger: Callable[[], Awaitable[None]],
) -> None:
    """Serve an app until the trigger returns and the grace is over."""
    config = LiveConfig(place.idle_seconds)
    config.bind = [place.address]
    config.graceful_timeout = place.grace_seconds
    config.h11_max_incomplete_size = HEAD_BYTES_LIMIT
    config.keep_alive_max_requests = REQUESTS_LIMIT
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = None
    await serve(app, config, shutdown_trigger=trigger)


async def send_to_end(send: Send, message: Any) -> None:
    """Let the server handle the last message of a response to its end.

    The server tells the app of the end of the request while it handles that
    message, upon which the app cancels its tasks; the server would be cut
    short before it watches the connection for idleness.
    """
    with trio.CancelScope(shield=not message.get('more_body', False)):
        await send(message)


class CarefulApp(QuartTrio):
    """Has the server handle the last message of each response to its end."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope."""
        await super().__call__(scope, receive, partial(send_to_end, send))
