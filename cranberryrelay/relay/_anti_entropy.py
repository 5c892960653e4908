"""Anti-entropy: sends peers the release note and upstreams that they lack."""

from collections.abc import Callable
from typing import Any, Final

from cranberryrelay.relay._membership import Membership
from cranberryrelay.relay._peer_messages import GroupBeat, LoadBeat
from cranberryrelay.relay._store_replica import StoreReplica

# Shortest interval between repairs of one peer.
REPAIR_INTERVAL_SECONDS: Final = 0.5

# Time that a peer has to catch up from the store before it is repaired.
REPAIR_DELAY_SECONDS: Final = 0.25


class AntiEntropy:
    """Compares the positions in heartbeats with the local ones."""

    def __init__(
        self,
        store_replica: StoreReplica,
        membership: Membership,
        send: Callable[[str, Any], None],
    ) -> None:
        self.store_replica = store_replica
        self.membership = membership
        self.send = send

    def repair_peer(
        self, sender: str, heartbeat: LoadBeat | GroupBeat, delay: float
    ) -> None:
        """Send a peer the records that it has lacked for ``delay`` seconds.

        Called when a message of the peer has just arrived: the time of its
        last message is used as the current time.
        """
        note_lags = self.store_replica.state.revision() > heartbeat.revision
        upstreams_lag = (
            self.store_replica.upstream_position > heartbeat.upstream_position
        )
        peer = self.membership.peers[sender]
        if not (note_lags or upstreams_lag):
            self.membership.peers[sender] = peer._replace(lagging_since=None)
            return
        now = peer.last_message_at
        since = now if peer.lagging_since is None else peer.lagging_since
        peer = peer._replace(lagging_since=since)
        self.membership.peers[sender] = peer
        if (
            now - since < delay
            or now - peer.last_repair_at < REPAIR_INTERVAL_SECONDS
        ):
            return
        self.membership.peers[sender] = peer._replace(last_repair_at=now)
        note = self.store_replica.make_note_share() if note_lags else None
        if note is not None:
            self.send(sender, note)
        if upstreams_lag:
            after = heartbeat.upstream_position
            self.send(sender, self.store_replica.make_upstream_repair(after))
