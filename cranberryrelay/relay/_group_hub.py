"""Collects the loads and peer updates that a hub forwards.

Each member is sent all loads except its own, which it knows more precisely;
the hubs of other failure domains are sent the sum of this domain's loads. The
size of a message therefore grows with the number of engines, not of instances.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from cranberryrelay.relay._backlog import Backlog, EngineLoad
from cranberryrelay.relay._membership import LIVENESS_TIMEOUT_SECONDS
from cranberryrelay.relay._peer_update import PeerUpdate, make_peer_update

# Longest interval between heartbeats in a fleet with hubs, so that a missing
# instance is detected.
HUB_IDLE_HEARTBEAT_SECONDS: Final = 0.4


class HubReport(NamedTuple):
    """Last report of the hub of another failure domain."""

    # Number of live instances in its failure domain.
    instances: int

    # Whether the store answers it.
    store_reachable: bool

    # When it arrived, on the local clock.
    received_at: float


class GroupHub:
    """Collects reports of members and other hubs; owned by one task."""

    def __init__(self, backlog: Backlog) -> None:
        self.backlog = backlog
        self.members: dict[str, float] = {}
        self.hub_reports: dict[str, HubReport] = {}
        self.member_update = make_peer_update()
        self.hub_update = make_peer_update()

    def record_member(self, name: str, update: PeerUpdate, now: float) -> None:
        """Record a heartbeat of a member of this failure domain."""
        self.members[name] = now
        self.queue_update(update)

    def queue_update(self, update: PeerUpdate) -> None:
        """Queue a peer update for members and other hubs."""
        self.member_update.merge(update)
        self.hub_update.merge(update)

    def record_hub_report(
        self, name: str, report: HubReport, update: PeerUpdate
    ) -> None:
        """Record a heartbeat of the hub of another failure domain."""
        self.hub_reports[name] = report
        self.member_update.merge(update)

    def record_absence(self, seconds: float, now: float) -> None:
        """Leave out of each silence a time in which nothing was heard."""
        for name, last_message_at in self.members.items():
            self.members[name] = min(last_message_at + seconds, now)
        for name, report in self.hub_reports.items():
            received_at = min(report.received_at + seconds, now)
            self.hub_reports[name] = report._replace(received_at=received_at)

    def remove_expired(self, now: float) -> None:
        """Remove members and other hubs whose liveness timeout has passed."""
        oldest = now - LIVENESS_TIMEOUT_SECONDS
        for name, last_message_at in list(self.members.items()):
            if last_message_at < oldest:
                self.members.pop(name)
        for name, report in list(self.hub_reports.items()):
            if report.received_at < oldest:
                self.hub_reports.pop(name)

    def domain_instances(self) -> int:
        """Return the number of live instances in this failure domain."""
        return len(self.members) + 1

    def fleet_instances(self) -> int:
        """Return the number of live instances in the fleet.

        It is too high for a moment after a change of hub, so that budgets are
        not exceeded.
        """
        other_instances = sum(
            report.instances for report in self.hub_reports.values()
        )
        return self.domain_instances() + other_instances

    def is_store_reachable_elsewhere(self) -> bool:
        """Return whether the store answers in any other failure domain."""
        return any(
            report.store_reachable for report in self.hub_reports.values()
        )

    def domain_loads(self, now: float) -> dict[str, EngineLoad]:
        """Return the load by engine that this failure domain placed."""
        return self.backlog.combined_loads(now, self.members)

    def loads_for_members(
        self, names: Iterable[str], now: float
    ) -> dict[str, dict[str, EngineLoad]]:
        """Return for each member the load by engine that all others placed."""
        return self.backlog.loads_excluding_each(names, now)

    def take_member_update(self) -> PeerUpdate:
        """Return the queued peer update for members and clear it."""
        update = self.member_update
        self.member_update = make_peer_update()
        return update

    def take_hub_update(self) -> PeerUpdate:
        """Return the queued peer update for other hubs and clear it."""
        update = self.hub_update
        self.hub_update = make_peer_update()
        return update
