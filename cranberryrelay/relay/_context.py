"""Types shared by the steps of the request pipeline."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import NamedTuple

import httpx

from cranberryrelay.relay._catalogue import Route
from cranberryrelay.relay._connection_probe import ConnectionProbe
from cranberryrelay.relay._requests import Dialect, IncomingRequest, RawHeaders
from cranberryrelay.relay._state import RelayState
from cranberryrelay.timing import TimerService


class RelayContext(NamedTuple):
    """Services of the instance that every step of the pipeline may use."""

    # State of the instance.
    state: RelayState

    # HTTP client for calls to upstreams.
    client: httpx.AsyncClient

    # Translation between headers and types.
    dialect: Dialect

    # Clock and timers.
    timers: TimerService

    # Tells a process that has ended from a connection that has; None to learn
    # it only from other requests.
    probe: ConnectionProbe | None = None


class AdmittedRequest(NamedTuple):
    """A request with its route, pinned to a revision of the release note."""

    # The request as received.
    request: IncomingRequest

    # Route that matches the request.
    route: Route

    # Service that was picked by the weights of the route.
    service: str

    # Revision in force when the request was admitted.
    revision: int

    # Time after which no response is sent, on the clock of this instance, in
    # seconds.
    deadline: float

    # Closes everything that was opened for the request.
    stack: AsyncExitStack

    def remaining_seconds(self, now: float) -> float:
        """Return the time left until the deadline, in seconds."""
        return self.deadline - now


class BufferedReply(NamedTuple):
    """A complete response of an upstream."""

    # HTTP status.
    status: int

    # Headers.
    headers: RawHeaders

    # Complete body.
    body: bytes


class StreamReply(NamedTuple):
    """A response that streams the events of an upstream."""

    # HTTP status.
    status: int

    # Headers.
    headers: RawHeaders

    # Whole events, encoded; raises ``BrokenStreamError`` if the stream breaks.
    events: AsyncIterator[bytes]


class BrokenStreamError(Exception):
    """A stream that has been started cannot be completed."""
