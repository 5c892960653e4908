"""Peers that take the requests of an instance that is cut off."""

import random
from collections import Counter
from collections.abc import Container, Iterable, Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from cranberryrelay.relay._membership import LIVENESS_TIMEOUT_SECONDS

# Most targets that a hub reports to an instance.
REPORTED_LIMIT: Final = 8


class ForwardTarget(NamedTuple):
    """An instance that reaches upstreams and takes requests of its peers."""

    # 'IP:port' for forwarded requests.
    address: str

    # Failure domain.
    domain: str


class _TargetReport(NamedTuple):
    # Targets by the report of one peer, the peer itself or others.
    targets: tuple[ForwardTarget, ...]

    # Time of receipt, in seconds on the local clock.
    received_at: float


class ActiveCount:
    """Number of requests of peers in progress; owned by the event loop."""

    def __init__(self) -> None:
        self.active = 0

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request until the context ends."""
        self.active += 1
        try:
            yield
        finally:
            self.active -= 1


class ForwardTargets:
    """Targets known to one instance; owned by the event loop."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.reports: dict[str, _TargetReport] = {}
        self.active: Counter[str] = Counter()

    def record_report(
        self, peer: str, targets: Iterable[ForwardTarget], now: float
    ) -> None:
        """Replace the targets that a peer reports."""
        self.reports[peer] = _TargetReport(tuple(targets), now)

    def remove_peer(self, peer: str) -> None:
        """Drop the report of a peer that is leaving."""
        self.reports.pop(peer, None)

    def available(self, now: float) -> frozenset[ForwardTarget]:
        """Return the targets of all peers that have reported recently."""
        oldest = now - LIVENESS_TIMEOUT_SECONDS
        return frozenset(
            target
            for report in self.reports.values()
            if report.received_at > oldest
            for target in report.targets
        )

    def choose(
        self, domain: str, excluded: Container[str], now: float
    ) -> ForwardTarget | None:
        """Choose a target; None if there is none.

        Those in the given failure domain go first, as traffic to another is
        charged, then those with the fewest requests of this instance.
        """
        candidates = [
            target
            for target in self.available(now)
            if target.address not in excluded
        ]
        return min(
            candidates,
            key=lambda target: (
                target.domain != domain,
                self.active[target.address],
                self.rng.random(),
            ),
            default=None,
        )

    def sample(
        self,
        now: float,
        own: frozenset[ForwardTarget],
        domain: str | None = None,
    ) -> list[ForwardTarget]:
        """Return some targets at random, of one failure domain if given.

        ``own`` is this instance, if it takes requests.
        """
        candidates = sorted(
            target
            for target in self.available(now) | own
            if domain in {None, target.domain}
        )
        count = min(len(candidates), REPORTED_LIMIT)
        return self.rng.sample(candidates, count)

    @contextmanager
    def track(self, target: ForwardTarget) -> Iterator[None]:
        """Count a request as forwarded to a target until the context ends."""
        self.active[target.address] += 1
        try:
            yield
        finally:
            self.active[target.address] -= 1
            if not self.active[target.address]:
                self.active.pop(target.address)
