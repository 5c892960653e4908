"""Subscribes a steward to the plans of all cells, on behalf of its entry.

Views and load reports are forwarded to the entry of this instance; the
entry's messages are forwarded to the holder of their cell.
"""

from functools import singledispatch
from typing import Any, Final, NamedTuple

from cranberryrelay.agreement._cell_messages import (
    DemandReport,
    PlanAck,
    PlanAlive,
    PlanLoads,
    PlanRedirect,
    PlanSubscribe,
    PlanView,
)
from cranberryrelay.agreement._effects import Effect, SendPeer
from cranberryrelay.agreement._membership import MembershipIndex

CANDIDATES_PER_CELL: Final = 3
_INITIAL_INTERVAL_SECONDS: Final = 1.0

# Subscription intervals without a reply after which a holder is assumed lost.
HOLDER_TIMEOUT_INTERVALS: Final = 2.5
ENTRY_SUFFIX: Final = '/entry'
_NEVER: Final = float('-inf')

# Number of latest nonces whose views are accepted.
_NONCE_WINDOW: Final = 4


class FollowedPlan(NamedTuple):
    """State of the subscription to one cell's plan."""

    # Newest plan, complete; None before the first one.
    view: PlanView | None = None

    # Instance that is known to hold the cell; empty if none is.
    holder: str = ''

    # Time of the latest message from or about the holder; own clock.
    holder_seen_at: float = _NEVER

    # Time at which the last subscription was sent; own clock.
    subscribed_at: float = _NEVER

    # Time between subscriptions, as requested by the holder.
    interval_seconds: float = _INITIAL_INTERVAL_SECONDS

    # Nonce of the last subscription.
    nonce: int = 0


def find_holder_candidates(members: MembershipIndex, cell: str) -> list[str]:
    """Return the instances that may hold a cell, in order of preference."""
    return members.active_order(cell)[:CANDIDATES_PER_CELL]


def entry_peer_name(instance: str) -> str:
    """Return the peer name of an instance's entry."""
    return f'{instance}{ENTRY_SUFFIX}'


def instance_of_peer(peer: str) -> str:
    """Return the instance that a peer belongs to."""
    return peer.removesuffix(ENTRY_SUFFIX)


class PlanRelay:
    """Follows the plans of all cells; owned by a single task."""

    def __init__(self, me: str, cells: tuple[str, ...]) -> None:
        self.me = me
        self.followed = {cell: FollowedPlan() for cell in cells}
        self.attempt = 0

    def on_tick(
        self,
        now: float,
        members: MembershipIndex,
        quiescent_cells: frozenset[str],
    ) -> list[Effect]:
        """Renew due subscriptions.

        ``quiescent_cells`` holds the cells for which no order of this instance
        can still be in flight.
        """
        effects: list[Effect] = []
        for cell, followed in self.followed.items():
            if now - followed.subscribed_at < followed.interval_seconds:
                continue
            target = self._choose_target(cell, followed, now, members)
            renewed = followed._replace(
                subscribed_at=now, nonce=followed.nonce + 1
            )
            self.followed[cell] = renewed
            view = followed.view
            message = PlanSubscribe(
                cell=cell,
                nonce=renewed.nonce,
                quiescent=cell in quiescent_cells,
                token=view.token if view else 0,
                version=view.version if view else 0,
            )
            effects.append(SendPeer(target, message))
        return effects

    def receive(self, sender: str, message: Any, now: float) -> list[Effect]:
        """Handle a message from a holder, a former holder or an entry."""
        return handle_plan_message(message, self, sender, now)

    def views_for_entry(self, entry: str) -> list[Effect]:
        """Return the effects that send all known plans to an entry."""
        return [
            SendPeer(entry, followed.view)
            for followed in self.followed.values()
            if followed.view is not None
        ]

    def _choose_target(
        self,
        cell: str,
        followed: FollowedPlan,
        now: float,
        members: MembershipIndex,
    ) -> str:
        holder_timeout = followed.interval_seconds * HOLDER_TIMEOUT_INTERVALS
        if followed.holder and now - followed.holder_seen_at <= holder_timeout:
            return followed.holder
        self.attempt += 1
        candidates = find_holder_candidates(members, cell) or [self.me]
        return candidates[self.attempt % len(candidates)]


@singledispatch
def handle_plan_message(
    message: Any, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    """Handle a message; types that are not registered are ignored."""
    return []


@handle_plan_message.register
def _(
    message: PlanView, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is None or message.nonce <= followed.nonce - _NONCE_WINDOW:
        return []
    if not is_newer_view(message, followed.view):
        return []
    merged = merge_view(message, followed.view)
    if merged is None:
        return []
    relay.followed[message.cell] = followed._replace(
        view=merged, holder=sender, holder_seen_at=now
    )
    return [SendPeer(entry_peer_name(relay.me), merged)]


@handle_plan_message.register
def _(
    message: PlanAlive, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is not None and message.nonce == followed.nonce:
        relay.followed[message.cell] = followed._replace(
            holder=sender,
            holder_seen_at=now,
            interval_seconds=message.next_seconds,
        )
    return []


@handle_plan_message.register
def _(
    message: PlanLoads, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is None or followed.view is None:
        return []
    if message.token != followed.view.token:
        return []
    return [SendPeer(entry_peer_name(relay.me), message)]


@handle_plan_message.register
def _(
    message: PlanRedirect, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is not None:
        relay.followed[message.cell] = followed._replace(
            holder=message.holder, holder_seen_at=now
        )
    return []


@handle_plan_message.register(DemandReport)
@handle_plan_message.register(PlanAck)
def _(
    message: DemandReport | PlanAck,
    relay: PlanRelay,
    sender: str,
    now: float,
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is None or not followed.holder:
        return []
    return [SendPeer(followed.holder, message, sender)]


def is_newer_view(view: PlanView, known: PlanView | None) -> bool:
    """Return whether a view is newer than the known one."""
    if known is None:
        return True
    return (view.token, view.version) > (known.token, known.version)


def merge_view(view: PlanView, known: PlanView | None) -> PlanView | None:
    """Merge a view into the known plan; None if it doesn't apply to it."""
    if view.since == 0:
        return view
    if known is None or (known.token, known.version) != (
        view.token,
        view.since,
    ):
        return None
    merged = {upstream.name: upstream for upstream in known.upstreams}
    merged.update({upstream.name: upstream for upstream in view.upstreams})
    return view._replace(since=0, upstreams=tuple(merged.values()))
