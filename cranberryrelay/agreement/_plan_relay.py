"""A steward's subscription to the plans of all cells, for its entry."""

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
_FIRST_SECONDS: Final = 1.0
HOLDER_SILENCES: Final = 2.5
ENTRY_SUFFIX: Final = '/entry'
_NEVER: Final = float('-inf')
_NONCES_KEPT: Final = 4


class Followed(NamedTuple):
    """What a steward knows of a cell's plan."""

    # The newest plan, whole; None before the first.
    view: PlanView | None = None

    # Instance that sent it.
    holder: str = ''

    # When the holder was last heard; own clock.
    heard_at: float = _NEVER

    # When the last subscription was sent; own clock.
    subscribed_at: float = _NEVER

    # Seconds between subscriptions.
    every_seconds: float = _FIRST_SECONDS

    # Nonce of the last subscription.
    nonce: int = 0


def find_candidates(members: MembershipIndex, cell: str) -> list[str]:
    """Name the instances that may hold a cell, the preferred one first."""
    return members.rank_staying(cell)[:CANDIDATES_PER_CELL]


def entry_of(instance: str) -> str:
    """Return the name of an instance's entry among the peers."""
    return f'{instance}{ENTRY_SUFFIX}'


def instance_of(peer: str) -> str:
    """Return the instance that a peer belongs to."""
    return peer.removesuffix(ENTRY_SUFFIX)


class PlanRelay:
    """Follows the plans of all cells; one task owns it."""

    def __init__(self, me: str, cells: tuple[str, ...]) -> None:
        self.me = me
        self.followed = {cell: Followed() for cell in cells}
        self.attempt = 0

    def on_tick(
        self, now: float, members: MembershipIndex, quiet: frozenset[str]
    ) -> list[Effect]:
        """Subscribe again; ``quiet`` names cells without own orders out."""
        effects: list[Effect] = []
        for cell, followed in self.followed.items():
            if now - followed.subscribed_at < followed.every_seconds:
                continue
            target = self._target(cell, followed, now, members)
            renewed = followed._replace(
                subscribed_at=now, nonce=followed.nonce + 1
            )
            self.followed[cell] = renewed
            view = followed.view
            message = PlanSubscribe(
                cell=cell,
                nonce=renewed.nonce,
                quiet=cell in quiet,
                token=view.token if view else 0,
                version=view.version if view else 0,
            )
            effects.append(SendPeer(target, message))
        return effects

    def receive(self, sender: str, message: Any, now: float) -> list[Effect]:
        """Take in a view, a redirect or an entry's acknowledgement."""
        return relay_plan(message, self, sender, now)

    def views_for_entry(self, entry: str) -> list[Effect]:
        """Send all known views to an entry."""
        return [
            SendPeer(entry, followed.view)
            for followed in self.followed.values()
            if followed.view is not None
        ]

    def _target(
        self,
        cell: str,
        followed: Followed,
        now: float,
        members: MembershipIndex,
    ) -> str:
        patience = followed.every_seconds * HOLDER_SILENCES
        if followed.holder and now - followed.heard_at <= patience:
            return followed.holder
        self.attempt += 1
        candidates = find_candidates(members, cell) or [self.me]
        return candidates[self.attempt % len(candidates)]


@singledispatch
def relay_plan(
    message: Any, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    """Take in a message that is not for this part."""
    return []


@relay_plan.register
def _(
    message: PlanView, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is None or message.nonce <= followed.nonce - _NONCES_KEPT:
        return []
    if not is_newer_view(message, followed.view):
        return []
    merged = merge_view(message, followed.view)
    if merged is None:
        return []
    relay.followed[message.cell] = followed._replace(
        view=merged, holder=sender, heard_at=now
    )
    return [SendPeer(entry_of(relay.me), merged)]


@relay_plan.register
def _(
    message: PlanAlive, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is not None and message.nonce == followed.nonce:
        relay.followed[message.cell] = followed._replace(
            holder=sender,
            heard_at=now,
            every_seconds=message.next_seconds,
        )
    return []


@relay_plan.register
def _(
    message: PlanLoads, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is None or followed.view is None:
        return []
    if message.token != followed.view.token:
        return []
    return [SendPeer(entry_of(relay.me), message)]


@relay_plan.register
def _(
    message: PlanRedirect, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is not None:
        relay.followed[message.cell] = followed._replace(
            holder=message.holder, heard_at=now
        )
    return []


@relay_plan.register(DemandReport)
@relay_plan.register(PlanAck)
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
    """Tell if a view is newer than the one known."""
    if known is None:
        return True
    return (view.token, view.version) > (known.token, known.version)


def merge_view(view: PlanView, known: PlanView | None) -> PlanView | None:
    """Merge changes into the plan known; None if they do not build on it."""
    if view.since == 0:
        return view
    if known is None or (known.token, known.version) != (
        view.token,
        view.since,
    ):
        return None
    merged = {one.name: one for one in known.upstreams}
    merged.update({one.name: one for one in view.upstreams})
    return view._replace(since=0, upstreams=tuple(merged.values()))
