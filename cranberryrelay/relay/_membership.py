"""Tracks the instances of the fleet and the hub of each failure domain.

A small fleet exchanges heartbeats in a full mesh. In a larger one the first
live instance of each failure domain, in name order, is its hub: the members
send it their load reports, and it forwards what it collects to them and to the
hubs of the other failure domains. There is no election. Each instance contacts
the first names in order until one responds, so that the next name replaces a
failed hub within a second. Two instances that both act as hub cost only
additional messages.
"""

from bisect import bisect_left, insort
from typing import Final, NamedTuple

from cranberryrelay.relay._lost_peers import LostPeers

# Largest fleet that uses a full mesh: at 16 instances it costs each instance
# as many messages as a hub of 100 instances handles.
FULL_MESH_LIMIT: Final = 16

# A peer that has been silent for longer is not counted as live.
LIVENESS_TIMEOUT_SECONDS: Final = 3.0

# A peer is responsive if a message of it arrived within this time. Hubs send
# at least two heartbeats in it.
RESPONSIVE_SECONDS: Final = 1.0

# Interval between attempts to reach a peer that does not answer.
RETRY_PERIOD_SECONDS: Final = 5.0

# A peer that has not answered for longer is removed.
REMOVE_AFTER_SECONDS: Final = 60.0

# A peer that was removed for that reason may be cut off and serve on; longer
# than regions lose each other.
LOST_RETAINED_SECONDS: Final = 7200.0

# Most instances of a failure domain that are contacted while none of them is
# responsive.
HUB_CANDIDATES_LIMIT: Final = 3


class InstanceLocation(NamedTuple):
    """Address and failure domain of an instance."""

    # 'IP:port' for messages between instances.
    address: str

    # Failure domain.
    domain: str


class Peer(NamedTuple):
    """Another instance of the fleet."""

    # Its address and failure domain.
    location: InstanceLocation

    # When it became known at this location, on the local clock.
    learned_at: float

    # When its last message arrived, on the local clock.
    last_message_at: float = float('-inf')

    # When the first message that it has not answered was sent, on the local
    # clock; None if there is none.
    unanswered_since: float | None = None

    # When a message that it should answer was last sent, on the local clock.
    asked_at: float = float('-inf')

    # When missing records were last sent to it, on the local clock.
    last_repair_at: float = float('-inf')

    # Since when it has lacked records that this instance has; None if it lacks
    # none.
    lagging_since: float | None = None


class Membership:
    """Members of the fleet as one instance knows them; owned by one task."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.peers: dict[str, Peer] = {}

        # Names of the peers of each failure domain, in order.
        self.ordered_names: dict[str, list[str]] = {}

        # Number of live instances of the fleet, as last reported by the hub.
        self.reported_fleet_size = 0

        # Peers that were removed for not answering, or that are stopping, by
        # name.
        self.lost = LostPeers()

        # Set once this instance is about to stop and no longer acts as hub.
        self.leaving = False

    @property
    def uses_hubs(self) -> bool:
        """Return whether the fleet is too large for a full mesh."""
        return (
            max(len(self.peers) + 1, self.reported_fleet_size) > FULL_MESH_LIMIT
        )

    def add_peer(
        self, name: str, location: InstanceLocation, now: float
    ) -> bool:
        """Add a peer; return False if it was known at this location."""
        known = self.peers.get(name)
        if known is not None and known.location == location:
            return False
        self.remove(name)
        self.peers[name] = Peer(location, now)
        insort(self.ordered_names.setdefault(location.domain, []), name)
        self.lost.discard(name)
        return True

    def record_message(self, name: str, now: float) -> bool:
        """Record a message of a peer; return False if the peer is unknown."""
        known = self.peers.get(name)
        if known is None:
            return False
        self.peers[name] = known._replace(
            last_message_at=now, unanswered_since=None
        )
        return True

    def has_returned(self, name: str, now: float) -> bool:
        """Return whether a message ends a long silence of a known peer."""
        known = self.peers.get(name)
        if known is None or known.unanswered_since is None:
            return False
        return now - known.unanswered_since > LIVENESS_TIMEOUT_SECONDS

    def record_unanswered(self, name: str, now: float) -> None:
        """Record that a peer was sent a message that it answers.

        One that was not asked for longer than the retry period is asked anew:
        it may have had no reason to answer then.
        """
        known = self.peers[name]
        since = known.unanswered_since
        if since is None or self.was_asked_long_ago(known, now):
            since = now
        self.peers[name] = known._replace(unanswered_since=since, asked_at=now)

    def was_asked_long_ago(self, peer: Peer, now: float) -> bool:
        """Return whether the last message to answer is older than a retry."""
        return now - peer.asked_at > RETRY_PERIOD_SECONDS

    def record_load_beat(self, name: str) -> None:
        """Record a load report, which goes to a hub or through a full mesh.

        A preceding instance of the same failure domain that sends one does not
        act as its hub and has no view of the fleet, so the fleet size that a
        hub reported no longer holds.
        """
        location = self.peers[name].location
        if location.domain == self.domain and name < self.name:
            self.reported_fleet_size = 0

    def remove(self, name: str) -> None:
        """Remove a peer."""
        removed = self.peers.pop(name, None)
        if removed is not None:
            self.ordered_names[removed.location.domain].remove(name)

    def remove_unresponsive(self, now: float) -> list[str]:
        """Remove the peers that have not answered for long; return them."""
        unresponsive = [
            name
            for name, peer in self.peers.items()
            if peer.unanswered_since is not None
            and now - peer.unanswered_since > REMOVE_AFTER_SECONDS
        ]
        for name in unresponsive:
            domain = self.peers[name].location.domain
            self.lost.add(name, domain, now + LOST_RETAINED_SECONDS)
            self.remove(name)
        return unresponsive

    def is_responsive(self, name: str, now: float) -> bool:
        """Return whether a message of a peer arrived recently."""
        return now - self.peers[name].last_message_at < RESPONSIVE_SECONDS

    def is_in_backoff(self, name: str, now: float) -> bool:
        """Return whether an unresponsive peer is skipped for now.

        It is tried again for ``RESPONSIVE_SECONDS`` in each
        ``RETRY_PERIOD_SECONDS``.
        """
        peer = self.peers[name]
        unanswered_since = peer.unanswered_since
        if unanswered_since is None or self.was_asked_long_ago(peer, now):
            return False
        unanswered_seconds = now - unanswered_since
        if unanswered_seconds < RESPONSIVE_SECONDS:
            return False
        return unanswered_seconds % RETRY_PERIOD_SECONDS >= RESPONSIVE_SECONDS

    def live_names(self, now: float) -> list[str]:
        """Return the peers that sent a message or became known recently."""
        oldest = now - LIVENESS_TIMEOUT_SECONDS
        return [
            name
            for name, peer in self.peers.items()
            if max(peer.last_message_at, peer.learned_at) > oldest
        ]

    def in_own_domain(self, name: str) -> bool:
        """Return whether a peer is in the same failure domain."""
        peer = self.peers.get(name)
        return peer is not None and peer.location.domain == self.domain

    def successor_names(self) -> list[str]:
        """Return the names in the same failure domain that follow this one."""
        names = self.ordered_names.get(self.domain, [])
        return names[bisect_left(names, self.name) :]

    def predecessor_count(self) -> int:
        """Return how many names in the same failure domain precede this one."""
        return bisect_left(self.ordered_names.get(self.domain, []), self.name)

    def hub_candidates(self, domain: str, now: float) -> list[str]:
        """Return the instances to contact to reach a failure domain's hub.

        Empty for this instance's failure domain if it is the hub itself.
        """
        candidates: list[str] = []
        for name in self._hub_order(domain):
            if self.is_in_backoff(name, now):
                continue
            candidates.append(name)
            if (
                self.is_responsive(name, now)
                or len(candidates) == HUB_CANDIDATES_LIMIT
            ):
                break
        return candidates

    def own_hub(self, now: float) -> str | None:
        """Return the hub of this instance; None if it is the hub itself."""
        for name in self.hub_candidates(self.domain, now):
            if self.is_responsive(name, now):
                return name
        return None

    def is_looking_for_hub(self, now: float) -> bool:
        """Return whether names that precede this one have not answered yet."""
        if not self.uses_hubs or self.leaving:
            return False
        return self.own_hub(now) is None and bool(
            self.hub_candidates(self.domain, now)
        )

    def is_hub(self, now: float) -> bool:
        """Return whether this instance is the hub of its failure domain."""
        return not self.leaving and self.own_hub(now) is None

    def other_domains(self) -> list[str]:
        """Return the other failure domains that have instances."""
        return sorted(
            domain
            for domain, names in self.ordered_names.items()
            if names and domain != self.domain
        )

    def other_hub_candidates(self, now: float) -> list[str]:
        """Return the instances to contact to reach the other hubs."""
        return [
            name
            for domain in self.other_domains()
            for name in self.hub_candidates(domain, now)
        ]

    def peers_for_newcomer(self, now: float) -> dict[str, InstanceLocation]:
        """Return the peers that a new instance is told of.

        In a large fleet, these are the hub candidates of each failure domain.
        """
        if not self.uses_hubs:
            return {name: peer.location for name, peer in self.peers.items()}
        domains = (*self.other_domains(), self.domain)
        return {
            name: self.peers[name].location
            for domain in domains
            for name in self.hub_candidates(domain, now)
        }

    def _hub_order(self, domain: str) -> list[str]:
        names = self.ordered_names.get(domain, [])
        if domain == self.domain and not self.leaving:
            return names[: bisect_left(names, self.name)]
        return names


def record_absence(membership: Membership, seconds: float, now: float) -> None:
    """Leave out of each peer's silence a time in which nothing was heard.

    This instance was suspended, so the silence was its own. A message may have
    arrived since.
    """
    for name, peer in membership.peers.items():
        since = peer.unanswered_since
        membership.peers[name] = peer._replace(
            learned_at=min(peer.learned_at + seconds, now),
            last_message_at=min(peer.last_message_at + seconds, now),
            unanswered_since=None
            if since is None
            else min(since + seconds, now),
            asked_at=min(peer.asked_at + seconds, now),
        )
