"""Tracks the known upstreams and their health.

Health is derived from the outcome of requests, since the health check of an
upstream may pass while its requests fail.  An upstream that is unreachable is
avoided for a backoff, after which a single request probes it.  An upstream
that fails part of its requests, or is slower than predicted, is chosen less
often; error rate and slowness decay with time.
"""

import random
from collections.abc import Iterable
from typing import Final, NamedTuple

from cranberryrelay.relay._catalogue import (
    Role,
    Upstream,
    name_of_incarnation,
)
from cranberryrelay.relay._departures import DepartureNews, Departures
from cranberryrelay.relay._requests import ResponseMetadata
from cranberryrelay.relay._rest_periods import RestPeriods

# Backoff of an unreachable upstream; doubles with each failure.
INITIAL_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 4.0

# A backoff that starts on the report of a peer is longer by a random factor
# of up to 1 plus this, so that instances do not probe all at once.
PEER_BACKOFF_JITTER: Final = 3.0

# An upstream with this many consecutive failures is treated as unreachable.
FAILURES_BEFORE_BACKOFF: Final = 3

# Weight of the latest outcome in the moving averages.
SMOOTHING_FACTOR: Final = 0.15

# Half-life of the error rate and of the slowness.
HALF_LIFE_SECONDS: Final = 4.0

# Upper bound of the slowness of a single request; the lower bound is 1.
MAX_SLOWNESS: Final = 8.0

# An engine that takes up to this factor of the predicted time, plus this
# many seconds, is not slow.
TOLERANCE_FACTOR: Final = 1.5
TOLERANCE_SECONDS: Final = 0.04


class UpstreamHealth(NamedTuple):
    """Health of an upstream, by the outcome of requests."""

    # Number of failures since the last answer.
    failures: int = 0

    # End of its backoff, in seconds on the local clock.
    backoff_until: float = float('-inf')

    # Moving average of the share of requests that it failed.
    error_rate: float = 0

    # Moving average of its time relative to the tolerated time, at least 1.
    slowness: float = 1

    # Time as of which the averages hold, in seconds on the local clock.
    updated_at: float = 0


class PendingRoleChange(NamedTuple):
    """An engine that was ordered to change its role."""

    # It gets no requests until then, in seconds on the local clock.
    until: float

    # Role that it then has; None if the outcome of the order is unknown.
    role: Role | None


class Fleet:
    """Upstreams by name; owned by a single task."""

    def __init__(self) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.health: dict[str, UpstreamHealth] = {}
        self.departures = Departures()
        self.rests = RestPeriods()
        self.rng = random.Random()
        self.pending_role_changes: dict[str, PendingRoleChange] = {}

    def put(self, upstream: Upstream) -> Upstream:
        """Add or update an upstream; return it as it now counts.

        A restart resets its health; a restart or a change of the role in its
        entry ends a pending role change. What it has said itself of its leaving
        goes before its entry.
        """
        if self.departures.is_leaving(upstream.incarnation_id()):
            upstream = upstream._replace(leaving=True)
        known = self.upstreams.get(upstream.name)
        if known and known.started_at_ms != upstream.started_at_ms:
            self.health.pop(upstream.name, None)
            self.pending_role_changes.pop(upstream.name, None)
        if known and known.role is not upstream.role:
            self.pending_role_changes.pop(upstream.name, None)
        self.upstreams[upstream.name] = upstream
        return upstream

    def record_statements(
        self, upstream: Upstream, metadata: ResponseMetadata, now: float
    ) -> None:
        """Record whether an upstream says that it leaves, or asks for rest.

        Another incarnation speaks for itself, not for the one expected.
        """
        if metadata.misdirected:
            return
        if metadata.leaving:
            self.record_leaving(upstream, now)
        if metadata.rest_seconds is not None:
            incarnation = upstream.incarnation_id()
            self.rests.record(incarnation, metadata.rest_seconds, now)

    def record_leaving(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream has said in an answer that it is leaving."""
        self.departures.record(upstream.incarnation_id(), now)
        self.mark_leaving(upstream.incarnation_id())

    def apply_departure_news(
        self, news: DepartureNews, now: float
    ) -> DepartureNews:
        """Apply what a peer was told; return the part that was new here."""
        new = self.departures.apply_news(news, now)
        for incarnation in new.incarnations:
            self.mark_leaving(incarnation)
        return new

    def mark_leaving(self, incarnation: str) -> None:
        """Mark an incarnation as leaving, if it is the one known."""
        known = self.upstreams.get(name_of_incarnation(incarnation))
        if known and known.incarnation_id() == incarnation:
            self.put(known)

    def remove(self, name: str) -> None:
        """Remove an upstream that has left."""
        self.upstreams.pop(name, None)
        self.health.pop(name, None)
        self.pending_role_changes.pop(name, None)

    def begin_role_change(
        self, name: str, until: float, role: Role | None
    ) -> None:
        """Exclude an engine until its role change ends.

        From then on it counts as having the new role, as the update of its
        entry may be delayed while the store is unavailable.
        """
        self.pending_role_changes[name] = PendingRoleChange(until, role)

    def accepts_role(self, upstream: Upstream, role: Role, now: float) -> bool:
        """Return whether an upstream currently serves a role."""
        pending = self.pending_role_changes.get(upstream.name)
        if pending is None:
            return upstream.role is role
        if pending.until > now:
            return False
        return (pending.role or upstream.role) is role

    def candidates(
        self, service: str, role: Role, now: float
    ) -> list[Upstream]:
        """Return the upstreams that requests may be sent to.

        Upstreams in backoff are excluded unless all of them are in backoff,
        those that asked for rest always.
        """
        willing = self.eligible(service, role, now)
        if self.rests.ends_at:
            willing = [one for one in willing if not self.is_resting(one, now)]
        available = [
            one for one in willing if not self.is_in_backoff(one.name, now)
        ]
        return available or willing

    def accepts_requests(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream neither leaves nor asked for rest.

        ``upstream`` may have been read before it said so.
        """
        leaving = self.departures.is_leaving(upstream.incarnation_id())
        resting = self.is_resting(upstream, now)
        return not (upstream.leaving or leaving or resting)

    def is_resting(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream has asked this instance for rest."""
        return self.rests.is_resting(upstream.incarnation_id(), now)

    def earliest_rest_end(
        self, upstreams: Iterable[Upstream], now: float
    ) -> float | None:
        """Return when the first rest ends; None if one of them doesn't rest.

        In seconds on the local clock.
        """
        ends = [
            self.rests.end_of(upstream.incarnation_id())
            for upstream in upstreams
        ]
        earliest = min(ends, default=float('-inf'))
        return earliest if earliest > now else None

    def eligible(self, service: str, role: Role, now: float) -> list[Upstream]:
        """Return the upstreams that serve a role, reachable or not."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
            and not upstream.leaving
            and self.accepts_role(upstream, role, now)
        ]

    def is_in_backoff(self, name: str, now: float) -> bool:
        """Return whether an upstream is in backoff."""
        known = self.health.get(name)
        return known is not None and known.backoff_until > now

    def decayed_health(self, name: str, now: float) -> UpstreamHealth:
        """Return the health of an upstream, its averages decayed until now."""
        known = self.health.get(name)
        if known is None:
            return UpstreamHealth(updated_at=now)
        weight = 0.5 ** ((now - known.updated_at) / HALF_LIFE_SECONDS)
        return known._replace(
            error_rate=known.error_rate * weight,
            slowness=1 + (known.slowness - 1) * weight,
            updated_at=now,
        )

    def record_attempt(self, name: str, now: float) -> None:
        """Record that a request was sent to an upstream.

        An upstream whose backoff has ended is avoided again, so that this
        request is the only probe.
        """
        known = self.health.get(name)
        if known and known.failures:
            until = now + INITIAL_BACKOFF_SECONDS
            if known.backoff_until > float('-inf'):
                self.health[name] = known._replace(backoff_until=until)

    def record_unreachable(
        self, name: str, now: float, *, reported_by_peer: bool = False
    ) -> None:
        """Start or extend the backoff of an unreachable upstream.

        If a peer reported it, the backoff is longer and random, since the
        first instance that reaches the upstream reports its recovery.
        """
        known = self.decayed_health(name, now)
        backoff = INITIAL_BACKOFF_SECONDS * 2 ** min(known.failures, 5)
        backoff = min(backoff, MAX_BACKOFF_SECONDS)
        if reported_by_peer:
            backoff *= 1 + self.rng.random() * PEER_BACKOFF_JITTER
        self.health[name] = known._replace(
            failures=known.failures + 1, backoff_until=now + backoff
        )

    def has_failed(self, name: str) -> bool:
        """Return whether an upstream has failed since its last answer."""
        known = self.health.get(name)
        return known is not None and known.failures > 0

    def record_recovery(self, name: str) -> None:
        """End the backoff of an upstream that answers a peer again."""
        known = self.health.get(name)
        if known:
            self.health[name] = known._replace(
                failures=0, backoff_until=float('-inf')
            )

    def end_backoffs(self) -> None:
        """End all backoffs, as failures so far were not the upstreams'."""
        for name in self.health:
            self.record_recovery(name)

    def record_failure(
        self, name: str, now: float, *, counts_toward_backoff: bool = True
    ) -> None:
        """Record a request that an upstream failed or refused.

        ``counts_toward_backoff`` is false for refusals and for reports of
        peers, as the upstream may have answered others in between.
        """
        known = self.decayed_health(name, now)
        rate = known.error_rate * (1 - SMOOTHING_FACTOR) + SMOOTHING_FACTOR
        known = known._replace(error_rate=rate)
        if not counts_toward_backoff:
            self.health[name] = known
            return
        if known.failures + 1 >= FAILURES_BEFORE_BACKOFF:
            self.health[name] = known
            self.record_unreachable(name, now)
            return
        self.health[name] = known._replace(failures=known.failures + 1)

    def record_success(self, name: str, now: float) -> None:
        """Record an answer of an upstream; ends its backoff."""
        known = self.health.get(name)
        if known is None:
            return
        current = self.decayed_health(name, now)
        self.health[name] = current._replace(
            failures=0,
            backoff_until=float('-inf'),
            error_rate=current.error_rate * (1 - SMOOTHING_FACTOR),
        )

    def record_duration(
        self, name: str, predicted: float, actual: float, now: float
    ) -> None:
        """Update the slowness; the times are in seconds."""
        tolerated = predicted * TOLERANCE_FACTOR + TOLERANCE_SECONDS
        ratio = min(max(actual / tolerated, 1), MAX_SLOWNESS)
        known = self.decayed_health(name, now)
        slowness = (
            known.slowness * (1 - SMOOTHING_FACTOR) + ratio * SMOOTHING_FACTOR
        )
        self.health[name] = known._replace(slowness=slowness)
