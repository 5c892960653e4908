"""Types shared by the steps of the request pipeline."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Final, NamedTuple

import httpx

from cranberryrelay.codes import ExecutionState, Failure
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


class RequestProgress:
    """How far a request has got, for what is said of it if it ends early."""

    def __init__(self) -> None:
        # Whether anything of it was sent to an upstream or a peer.
        self.passed_on = False

        # Whether an upstream may have begun to run it.
        self.may_have_run = False

    def begin_send(self, *, prefill_only: bool = False) -> bool:
        """Record a send; return whether an earlier one may have run.

        A call for the prefill alone does not run the request.
        """
        may_have_run_before = self.may_have_run
        self.passed_on = True
        self.may_have_run |= not prefill_only
        return may_have_run_before

    def end_send(
        self, failure: Failure | None, *, may_have_run_before: bool
    ) -> None:
        """Record the outcome of a send; None stands for an answer."""
        if failure is not None and failure.ran is ExecutionState.NOT_RUN:
            self.may_have_run = may_have_run_before


# Of requests whose progress is not read by anybody.
UNREAD_PROGRESS: Final = RequestProgress()


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

    # How far the request has got.
    progress: RequestProgress = UNREAD_PROGRESS

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
