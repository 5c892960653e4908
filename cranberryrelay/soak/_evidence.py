"""What callers, upstreams and the soak itself saw: the checks' input."""

from enum import StrEnum
from typing import Final, NamedTuple

from cranberryrelay.soak._child import Ending
from cranberryrelay.standins import BegunRun

# Everything must be undisturbed for this long to count as calm, in seconds.
CALM_SECONDS: Final = 4.0

# Subject of stalls of the machine that all processes run on.
MACHINE: Final = 'machine'


class RequestKind(StrEnum):
    """What is asked; the first part of the path."""

    CHARGE = 'charge'
    READ = 'read'
    DRAFT = 'draft'
    TAG = 'tag'
    PROBE = 'note'


ONCE: Final = frozenset((RequestKind.CHARGE, RequestKind.DRAFT))
STREAMS: Final = frozenset((RequestKind.DRAFT, RequestKind.TAG))


class Outcome(NamedTuple):
    """A request and what the caller got; times of day in seconds."""

    # Its id.
    request_id: str

    # What was asked.
    kind: RequestKind

    # Instance that it was sent to, and how often that had been started.
    instance: str
    starts: int

    # Version of the note that it asks for; 0 for none.
    version: int

    # When it was sent, and when the answer had ended.
    sent_at: float
    ended_at: float

    # Status; None if there was none.
    status: int | None

    # What came of the body.
    body: bytes

    # True if the answer ended as complete.
    complete: bool

    # What went wrong on the connection; '' for nothing.
    error: str

    # True if the connection could not be made.
    unsent: bool


class Disturbance(NamedTuple):
    """A time in which something was done to a part; times of day."""

    # Name of the part: an instance, an upstream, 'store', 'note', 'machine'.
    subject: str

    # When it began, and when it ended.
    begun_at: float
    ended_at: float

    # True for planned work.
    planned: bool


class NoteSent(NamedTuple):
    """A version of the note."""

    # The version.
    version: int

    # When it was sent, and when the store had acknowledged it.
    sent_at: float
    acked_at: float


class Leaving(NamedTuple):
    """An upstream that was marked as leaving."""

    # Name of the upstream.
    upstream: str

    # When the store had acknowledged that, and when the mark was taken off.
    acked_at: float
    ended_at: float


class Explained(NamedTuple):
    """What the account says of a request."""

    # Id of the request.
    request_id: str

    # Revision in force; None if the account has no entry.
    revision: int | None


class Evidence(NamedTuple):
    """All that was seen in a run."""

    # Requests and their answers.
    outcomes: tuple[Outcome, ...]

    # Requests sent after everything was sound again.
    last_outcomes: tuple[Outcome, ...]

    # What upstreams began.
    runs: tuple[BegunRun, ...]

    # What was done to the parts.
    disturbances: tuple[Disturbance, ...]

    # Notes in order.
    notes: tuple[NoteSent, ...]

    # Upstreams that were leaving.
    leavings: tuple[Leaving, ...]

    # How instances ended.
    endings: tuple[Ending, ...]

    # What the account says of some requests.
    explained: tuple[Explained, ...]

    def is_calm(self, subjects: frozenset[str], outcome: Outcome) -> bool:
        """Tell if the subjects were undisturbed before and in a request.

        Nothing is calm while the machine itself stalls.
        """
        first = outcome.sent_at - CALM_SECONDS
        concerned = subjects | {MACHINE}
        return not any(
            one.subject in concerned
            and not one.planned
            and one.begun_at <= outcome.ended_at
            and one.ended_at >= first
            for one in self.disturbances
        )

    def upstream_names(self) -> frozenset[str]:
        """Return the names of the upstreams that were disturbed."""
        instances = {one.instance for one in self.outcomes}
        return frozenset(
            one.subject
            for one in self.disturbances
            if one.subject not in instances
        ) - {'store', 'note', MACHINE}
