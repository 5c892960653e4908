"""Tracks the load of upstreams and forecasts the waiting time at engines.

The load is computed from the calls that this instance and its peers have
sent, as these are more recent than the load reports of the engines.  An
engine processes prompts in order of arrival, so a new prompt waits for all
prompts that were sent earlier and are still unfinished.
"""

from collections.abc import Container, Iterable
from functools import reduce
from typing import Final, NamedTuple

# A load report of a peer is ignored from this age on.
PEER_TTL_SECONDS: Final = 1.5
_MILLISECONDS: Final = 1000


class EngineLoad(NamedTuple):
    """Load of one upstream by the calls of one or more instances.

    Sent to peers as an array, so the order of the fields is fixed.
    """

    # Predicted prefill time of the prompts not yet prefilled, in ms.
    prefill_ms: int

    # Time since the oldest of these prompts was sent, in ms.
    oldest_age_ms: int

    # Number of calls in flight.
    running: int

    # Largest share of ``prefill_ms`` that a single instance has sent, in ms.
    largest_prefill_ms: int


# Load of an upstream without calls.
NO_LOAD: Final = EngineLoad(0, 0, 0, 0)

# Key of this instance's own share of a load; no instance has this name.
OWN_SHARE: Final = ''


class InFlightCall(NamedTuple):
    """A call to an upstream that has not ended."""

    # Predicted time to prefill its prompt, in seconds; 0 if it is already
    # prefilled.
    prefill_seconds: float

    # Time at which it was sent, in seconds on the local clock.
    sent_at: float


class _PeerReport(NamedTuple):
    # Loads by upstream, as of the time of receipt.
    loads: dict[str, EngineLoad]

    # Time of receipt, in seconds on the local clock.
    received_at: float


class Backlog:
    """Loads by upstream; owned by a single task."""

    def __init__(self) -> None:
        self.own_calls: dict[str, list[InFlightCall]] = {}
        self.peer_reports: dict[str, _PeerReport] = {}

        # Reports of instances that act as this one's hub, which sum up many.
        # They are never reported on: two instances may take each other for
        # hub and member, and would add each other's sums to their own.
        self.fleet_reports: dict[str, _PeerReport] = {}
        self.change_count = 0
        self.report_count = 0

    def add(self, upstream: str, call: InFlightCall) -> None:
        """Add a call that was sent to an upstream."""
        self.own_calls.setdefault(upstream, []).append(call)
        self.change_count += 1

    def remove(self, upstream: str, call: InFlightCall) -> None:
        """Remove a call that has ended; a no-op if it was removed before."""
        calls = self.own_calls.get(upstream, [])
        if call in calls:
            calls.remove(call)
            self.change_count += 1
        if not calls:
            self.own_calls.pop(upstream, None)

    def own_loads(self, now: float) -> dict[str, EngineLoad]:
        """Return the load that this instance causes, by upstream."""
        return {
            upstream: _summarize(calls, now)
            for upstream, calls in self.own_calls.items()
        }

    def apply_report(
        self, peer: str, loads: dict[str, EngineLoad], now: float
    ) -> None:
        """Replace the load report of a peer."""
        self.peer_reports[peer] = _PeerReport(loads, now)
        self.report_count += 1

    def apply_fleet_report(
        self, peer: str, loads: dict[str, EngineLoad], now: float
    ) -> None:
        """Replace the report of a hub on the loads of all other instances."""
        self.fleet_reports[peer] = _PeerReport(loads, now)

    def remove_peer(self, peer: str) -> None:
        """Drop the load reports of a peer that has left."""
        self.peer_reports.pop(peer, None)
        self.fleet_reports.pop(peer, None)

    def running_requests(self, upstream: str, now: float) -> int:
        """Return the number of calls in flight at an upstream."""
        return sum(load.running for load in self._loads(upstream, now))

    def forecast_wait_seconds(self, upstream: str, now: float) -> float:
        """Forecast how long a new prompt waits until its prefill starts.

        The oldest prompt is already being prefilled, so its age, up to the
        largest share of one instance, counts as progress.
        """
        loads = self._loads(upstream, now)
        total = sum(load.prefill_ms for load in loads)
        progress = max((load.oldest_age_ms for load in loads), default=0)
        longest = max((load.largest_prefill_ms for load in loads), default=0)
        return max(total - min(progress, longest), 0) / _MILLISECONDS

    def combined_loads(
        self, now: float, peers: Container[str]
    ) -> dict[str, EngineLoad]:
        """Return the total load by this instance and the given peers."""
        return _combine_shares(self._shares(now, peers))

    def loads_excluding_each(
        self, peers: Iterable[str], now: float
    ) -> dict[str, dict[str, EngineLoad]]:
        """Return for each peer the load that all other instances cause."""
        shares = self._shares(now, self.peer_reports)
        total = _combine_shares(shares)
        excluding: dict[str, dict[str, EngineLoad]] = {}
        for peer in peers:
            report = self.peer_reports.get(peer)
            loads = total.copy()
            for upstream in report.loads if report else ():
                by_instance = shares.get(upstream, {})
                others = (
                    load for name, load in by_instance.items() if name != peer
                )
                loads[upstream] = reduce(_combine, others, NO_LOAD)
            excluding[peer] = loads
        return excluding

    def _shares(
        self, now: float, peers: Container[str]
    ) -> dict[str, dict[str, EngineLoad]]:
        """Return the loads by this instance and the given peers.

        They are ordered by upstream and instance.
        """
        shares: dict[str, dict[str, EngineLoad]] = {
            upstream: {OWN_SHARE: load}
            for upstream, load in self.own_loads(now).items()
        }
        for name, peer in self.peer_reports.items():
            age = now - peer.received_at
            if name not in peers or age >= PEER_TTL_SECONDS:
                continue
            for upstream, load in peer.loads.items():
                share = shares.setdefault(upstream, {})
                share[name] = _advance(load, age)
        return shares

    def _loads(self, upstream: str, now: float) -> list[EngineLoad]:
        return [
            *_current_loads(self.peer_reports, upstream, now),
            *self._own_load(upstream, now),
            *_current_loads(self.fleet_reports, upstream, now),
        ]

    def _own_load(self, upstream: str, now: float) -> tuple[EngineLoad, ...]:
        own = self.own_calls.get(upstream)
        return (_summarize(own, now),) if own else ()


def _current_loads(
    reports: dict[str, _PeerReport], upstream: str, now: float
) -> list[EngineLoad]:
    loads: list[EngineLoad] = []
    for peer in reports.values():
        age = now - peer.received_at
        load = peer.loads.get(upstream)
        if load and age < PEER_TTL_SECONDS:
            loads.append(_advance(load, age))
    return loads


def _combine_shares(
    shares: dict[str, dict[str, EngineLoad]],
) -> dict[str, EngineLoad]:
    return {
        upstream: reduce(_combine, by_instance.values())
        for upstream, by_instance in shares.items()
    }


def _to_ms(seconds: float) -> int:
    return round(seconds * _MILLISECONDS)


def _advance(load: EngineLoad, age: float) -> EngineLoad:
    """Return a reported load as of ``age`` seconds after its receipt."""
    if not load.prefill_ms:
        return load
    prefill_ms, oldest_age_ms, running, largest_prefill_ms = load
    oldest_age_ms += _to_ms(age)
    return EngineLoad(prefill_ms, oldest_age_ms, running, largest_prefill_ms)


def _combine(first: EngineLoad, second: EngineLoad) -> EngineLoad:
    prefill_ms, oldest_age_ms, running, largest_prefill_ms = first
    other_prefill_ms, other_age_ms, other_running, other_largest_ms = second
    return EngineLoad(
        prefill_ms + other_prefill_ms,
        max(oldest_age_ms, other_age_ms),
        running + other_running,
        max(largest_prefill_ms, other_largest_ms),
    )


def _summarize(calls: list[InFlightCall], now: float) -> EngineLoad:
    prefilling = [call for call in calls if call.prefill_seconds]
    prefill_ms = _to_ms(sum(call.prefill_seconds for call in prefilling))
    return EngineLoad(
        prefill_ms=prefill_ms,
        oldest_age_ms=_to_ms(
            max((now - call.sent_at for call in prefilling), default=0)
        ),
        running=len(calls),
        largest_prefill_ms=prefill_ms,
    )
