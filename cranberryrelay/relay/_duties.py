"""Decides which instances watch the store and which do fleet-wide tasks."""

from typing import Final

from cranberryrelay.relay._peer_protocol import PeerProtocol

# A member that has lacked records of its hub for this long watches the store
# itself.
MEMBER_LAG_SECONDS: Final = 1.0

# Time from the start of an instance in which it does not watch the store, as
# its hub answers it meanwhile: each watch is a call, and a fleet that starts as
# a whole would make two for each instance.
HUB_ANSWER_SECONDS: Final = 1.0

# Number of delegates: the first names of a failure domain, which watch the
# store while no hub can reach it.
DELEGATE_LIMIT: Final = 3

# Changes of upstreams are batched for this long in a fleet with hubs, as each
# answer to a watch costs a call. It is a small part of the time within which a
# change must be in force.
WATCH_BATCH_SECONDS: Final = 0.3

# Index of a member in a fleet with hubs, as only hubs do fleet-wide tasks.
NOT_ELIGIBLE: Final = 1_000_000


class Duties:
    """Derives the duties of this instance from the membership."""

    def __init__(self, protocol: PeerProtocol) -> None:
        self.protocol = protocol
        self.membership = protocol.membership
        self.lagging_since: float | None = None
        self.started_at = protocol.timers.now()

    def needs_watch(self) -> bool:
        """Return whether this instance must watch the store itself.

        Members rely on their hub. If no hub can reach the store, the delegates
        of each failure domain try.
        """
        now = self.protocol.timers.now()
        if self.awaits_hub(now):
            return False
        if not self.membership.uses_hubs or self.membership.is_hub(now):
            return True
        heartbeat = self.protocol.hub_heartbeat
        if heartbeat is None or self.membership.leaving or self.is_lagging(now):
            return True
        return (
            not heartbeat.store_reachable
            and self.membership.predecessor_count() < DELEGATE_LIMIT
        )

    def awaits_hub(self, now: float) -> bool:
        """Return whether this instance has just started and its hub may answer.

        Whether it has one is known once the instances have been listed. The
        first name of a failure domain has none.
        """
        if self.protocol.hub_heartbeat is not None:
            return False
        if now - self.started_at >= HUB_ANSWER_SECONDS:
            return False
        if self.protocol.state.start_check.named_peers is None:
            return True
        return self.membership.uses_hubs and bool(
            self.membership.predecessor_count()
        )

    def batch_seconds(self) -> float:
        """Return how long to batch changes in the store, in seconds."""
        return WATCH_BATCH_SECONDS if self.membership.uses_hubs else 0

    def is_lagging(self, now: float) -> bool:
        """Return whether this instance has lagged its hub for too long."""
        if not self.is_hub_ahead():
            self.lagging_since = None
        elif self.lagging_since is None:
            self.lagging_since = now
        since = self.lagging_since
        return since is not None and now - since > MEMBER_LAG_SECONDS

    def is_hub_ahead(self) -> bool:
        """Return whether the hub has newer records than this instance."""
        heartbeat = self.protocol.hub_heartbeat
        if heartbeat is None:
            return False
        store_replica = self.protocol.store_replica
        if heartbeat.revision > store_replica.state.revision():
            return True
        return heartbeat.upstream_position > store_replica.upstream_position

    def standby_index(self) -> int:
        """Return how many live instances precede this one for such tasks.

        The instance with index 0 does a fleet-wide task; a task may have the
        next ones as standbys.
        """
        now = self.protocol.timers.now()
        name = self.membership.name
        if not self.membership.uses_hubs:
            return sum(peer < name for peer in self.membership.live_names(now))
        if not self.membership.is_hub(now):
            return NOT_ELIGIBLE
        return sum(
            peer < name and self.membership.is_responsive(peer, now)
            for peer in self.membership.other_hub_candidates(now)
        )
