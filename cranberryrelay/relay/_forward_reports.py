"""Tells instances that are cut off from upstreams which peers take requests.

In a full mesh each instance reports itself. With hubs a member knows few of the
others, so its hub reports some to it; hubs ask those of other failure domains
by saying that they have instances which are cut off. Nothing is reported while
there are none.
"""

from cranberryrelay.relay._forward_targets import ForwardTarget
from cranberryrelay.relay._membership import (
    LIVENESS_TIMEOUT_SECONDS,
    Membership,
)
from cranberryrelay.relay._peer_messages import GroupBeat, LoadBeat
from cranberryrelay.relay._state import RelayState


def forward_address(state: RelayState) -> str:
    """Return where peers may forward requests to; '' for nowhere."""
    if state.reach.cut_off or not state.is_ready():
        return ''
    return f'{state.settings.ip}:{state.settings.forward_port}'


class ForwardReports:
    """Applies and makes the reports of one instance."""

    def __init__(self, state: RelayState, membership: Membership) -> None:
        self.state = state
        self.membership = membership

        # When peers last said that they, or an instance of their failure
        # domain, were cut off.
        self.cut_off_at: dict[str, float] = {}

    def record_load_beat(
        self, sender: str, heartbeat: LoadBeat, now: float
    ) -> None:
        """Record whether a peer is cut off or takes requests."""
        domain = self.membership.peers[sender].location.domain
        targets: list[ForwardTarget] = []
        if heartbeat.forward_address:
            targets.append(ForwardTarget(heartbeat.forward_address, domain))
        self.state.forward_targets.record_report(sender, targets, now)
        self.record_cut_off(sender, cut_off=heartbeat.cut_off, now=now)

    def record_group_beat(
        self, sender: str, heartbeat: GroupBeat, now: float
    ) -> None:
        """Record what a hub reports about others."""
        self.state.forward_targets.record_report(
            sender, heartbeat.forward_targets, now
        )
        if not self.membership.in_own_domain(sender):
            self.record_cut_off(sender, cut_off=heartbeat.cut_off, now=now)

    def record_cut_off(self, sender: str, *, cut_off: bool, now: float) -> None:
        """Record whether instances that a peer reports on are cut off."""
        if cut_off:
            self.cut_off_at[sender] = now
        else:
            self.cut_off_at.pop(sender, None)

    def remove_peer(self, name: str) -> None:
        """Forget a peer that is leaving."""
        self.cut_off_at.pop(name, None)
        self.state.forward_targets.remove_peer(name)

    def is_domain_cut_off(self, now: float) -> bool:
        """Return whether an instance of this failure domain is cut off."""
        return self.state.reach.cut_off or any(
            self.membership.in_own_domain(name)
            for name in self.recently_cut_off(now)
        )

    def recently_cut_off(self, now: float) -> list[str]:
        """Return the peers that report an instance that is cut off."""
        oldest = now - LIVENESS_TIMEOUT_SECONDS
        return [name for name, at in self.cut_off_at.items() if at > oldest]

    def for_members(self, now: float) -> list[ForwardTarget]:
        """Return targets in the whole fleet, if a member needs them."""
        if not self.is_domain_cut_off(now):
            return []
        return self.state.forward_targets.sample(now, self.own_target())

    def for_hubs(self, now: float) -> list[ForwardTarget]:
        """Return targets in this failure domain, if another one needs them."""
        others_need = any(
            not self.membership.in_own_domain(name)
            for name in self.recently_cut_off(now)
        )
        if not others_need:
            return []
        return self.state.forward_targets.sample(
            now, self.own_target(), self.state.settings.domain
        )

    def own_target(self) -> frozenset[ForwardTarget]:
        """Return this instance, if it takes requests."""
        address = forward_address(self.state)
        if not address:
            return frozenset()
        target = ForwardTarget(address, self.state.settings.domain)
        return frozenset((target,))
