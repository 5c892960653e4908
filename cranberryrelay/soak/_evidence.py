"""Records of what callers, upstreams and the soak observed in a run."""

from enum import StrEnum
from typing import Final, NamedTuple

from cranberryrelay.soak._child import ProcessExit
from cranberryrelay.standins import StartedRun

# Time before a request in which the parts must be undisturbed as well.
UNDISTURBED_SECONDS: Final = 4.0

# Subject of disturbances by stalls of the machine that runs all processes.
MACHINE: Final = 'machine'


class RequestKind(StrEnum):
    """Kinds of requests; the value begins the path."""

    CHARGE = 'charge'
    READ = 'read'
    DRAFT = 'draft'
    TAG = 'tag'
    PROBE = 'note'


AT_MOST_ONCE_KINDS: Final = frozenset((RequestKind.CHARGE, RequestKind.DRAFT))
STREAM_KINDS: Final = frozenset((RequestKind.DRAFT, RequestKind.TAG))


class Outcome(NamedTuple):
    """A request and its response; times are times of day in seconds."""

    # Request id.
    request_id: str

    # Kind of the request.
    kind: RequestKind

    # Name of the instance, and how often it had been started by then.
    instance: str
    start_count: int

    # Version of the note whose route is requested; 0 for none.
    version: int

    # When the request was sent, and when the response or the attempt ended.
    sent_at: float
    ended_at: float

    # HTTP status; None if no response began.
    status: int | None

    # Bytes of the body that were received.
    body: bytes

    # True if the response ended without an error.
    complete: bool

    # Error of the connection; '' for none.
    error: str

    # True if no connection could be opened, so that nothing was sent.
    connect_failed: bool

    # When the last byte of the request had been written; infinite if it was
    # not written or is not known.
    written_at: float = float('inf')

    def is_unanswered(self) -> bool:
        """Return whether the connection ended without a complete answer."""
        return not self.complete and not self.connect_failed


class Disturbance(NamedTuple):
    """A period in which a part was disturbed; times of day in seconds."""

    # Name of an instance or upstream, or 'store', 'note' or 'machine'.
    subject: str

    # Start and end of the disturbance; the end is infinite until it is over.
    begun_at: float
    ended_at: float

    # True for what excuses nothing: planned work, such as a stop with SIGTERM,
    # and silences.
    planned: bool

    # True if a sound upstream was silent for about a second.
    silence: bool = False


class NoteSent(NamedTuple):
    """A version of the note that was written to the store."""

    # Version number.
    version: int

    # Times of day of the write and of its acknowledgement, in seconds.
    sent_at: float
    acked_at: float


class LeavingPeriod(NamedTuple):
    """A period in which an upstream was marked as leaving."""

    # Name of the upstream.
    upstream: str

    # Times of day, in seconds, at which the store had acknowledged the mark
    # and at which its removal began.
    acked_at: float
    ended_at: float


class Explanation(NamedTuple):
    """The revision that the account names for a request."""

    # Request id.
    request_id: str

    # Revision in force for the request; None if the account has no entry.
    revision: int | None


class Evidence(NamedTuple):
    """All observations of a run: the input of the checks."""

    # Requests sent during the faults and the recovery.
    outcomes: tuple[Outcome, ...]

    # Requests sent after the recovery.
    recovery_outcomes: tuple[Outcome, ...]

    # Runs of requests that upstreams started.
    runs: tuple[StartedRun, ...]

    # Periods in which parts were disturbed.
    disturbances: tuple[Disturbance, ...]

    # Versions of the note in the order of their writes.
    notes: tuple[NoteSent, ...]

    # Periods in which upstreams were leaving.
    leaving_periods: tuple[LeavingPeriod, ...]

    # Exits of the instances.
    exits: tuple[ProcessExit, ...]

    # Revisions that the account names for some of the recovery requests.
    explanations: tuple[Explanation, ...]

    def is_undisturbed(
        self, subjects: frozenset[str], outcome: Outcome
    ) -> bool:
        """Return whether subjects were undisturbed before and during a request.

        Planned work does not count; a stall of the machine disturbs all.
        """
        return self.is_calm(subjects | {MACHINE}, outcome)

    def is_calm(self, subjects: frozenset[str], outcome: Outcome) -> bool:
        """Return the same, with stalls only if the machine is a subject."""
        first = outcome.sent_at - UNDISTURBED_SECONDS
        return not any(
            one.subject in subjects
            and not one.planned
            and one.begun_at <= outcome.ended_at
            and one.ended_at >= first
            for one in self.disturbances
        )

    def disturbed_upstreams(self) -> frozenset[str]:
        """Return the names of the upstreams that were disturbed."""
        instances = {one.instance for one in self.outcomes}
        return frozenset(
            one.subject
            for one in self.disturbances
            if one.subject not in instances
        ) - {'store', 'note', MACHINE}
