"""Metrics of the relay."""

from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay._catalogue import Rank

_FIRST_EVENT_BUCKETS: Final = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0)


class RelayTelemetry:
    """Holds the metrics of one instance."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            'cranberryrelay_relay_requests',
            'Requests by rank and result code',
            registry=self.registry,
        )
        self.failures = Counter(
            'cranberryrelay_relay_upstream_failures',
            'Failures of upstreams by result code',
            registry=self.registry,
        )
        self.invalid_records = Counter(
            'cranberryrelay_relay_invalid_records',
            'Records from the store or a peer that could not be used, by kind',
            registry=self.registry,
        )
        self.task_failures = Counter(
            'cranberryrelay_relay_task_failures',
            'Unexpected errors of tasks that were started again, by task',
            registry=self.registry,
        )
        self.unanswered = Counter(
            'cranberryrelay_relay_unanswered',
            'Requests taken and not answered whole, by reason and passed_on',
            registry=self.registry,
        )
        self.first_event = Histogram(
            'cranberryrelay_relay_first_event_seconds',
            'Time to the first event by rank',
            buckets=list(_FIRST_EVENT_BUCKETS),
            registry=self.registry,
        )
        self.revision = Gauge(
            'cranberryrelay_relay_revision',
            'Revision of the release note in force',
            registry=self.registry,
        )

    def count_request(self, rank: Rank | None, code: ResultCode) -> None:
        """Count an ended request by rank and result code."""
        name = '' if rank is None else rank.name.lower()
        self.requests.inc({'rank': name, 'code': str(code.value)})

    def count_failure(self, code: ResultCode) -> None:
        """Count a failure of an upstream by result code."""
        self.failures.inc({'code': str(code.value)})

    def count_invalid_record(self, kind: str) -> None:
        """Count a record that could not be used: 'upstream' or 'note'."""
        self.invalid_records.inc({'kind': kind})

    def count_task_failure(self, name: str) -> None:
        """Count an unexpected error that ended a run of a task."""
        self.task_failures.inc({'task': name})

    def count_unanswered(self, reason: str, *, passed_on: bool) -> None:
        """Count a request that was taken and not answered whole."""
        self.unanswered.inc(
            {'reason': reason, 'passed_on': str(passed_on).lower()}
        )

    def observe_first_event(self, rank: Rank, seconds: float) -> None:
        """Observe the time to the first event of a request, in seconds."""
        self.first_event.observe({'rank': rank.name.lower()}, seconds)

    def update_revision(self, revision: int) -> None:
        """Set the revision of the release note in force."""
        self.revision.set({}, revision)

    def render_metrics(
        self, accepts: list[str]
    ) -> tuple[bytes, dict[str, str]]:
        """Return the rendered metrics and their HTTP headers.

        ``accepts`` has the values of the request's ``Accept`` header.
        """
        return render(self.registry, accepts)
