"""A steward's subscription to the plans of all cells, for its entry."""

from functools import singledispatch
from typing import Any, Final, NamedTuple

from cranberryrelay.agreement._cell_messages import (
    PlanAck,
    PlanRedirect,
    PlanSubscribe,
    PlanView,
)
from cranberryrelay.agreement._effects import Effect, SendPeer
from cranberryrelay.agreement._membership import MembershipIndex

CANDIDATES_PER_CELL: Final = 3
SUBSCRIBE_PLAN_SECONDS: Final = 1.0
HOLDER_SILENCE_SECONDS: Final = 2.5
ENTRY_SUFFIX: Final = '/entry'
_NEVER: Final = float('-inf')
_NONCES_KEPT: Final = 4


class Followed(NamedTuple):
    """What a steward knows of a cell's plan."""

    # The newest view; None before the first.
    view: PlanView | None = None

    # Instance that sent it.
    holder: str = ''

    # When it came; own clock.
    heard_at: float = _NEVER


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
        self.nonce = 0
        self.attempt = 0
        self.subscribed_at = _NEVER

    def on_tick(
        self, now: float, members: MembershipIndex, quiet: frozenset[str]
    ) -> list[Effect]:
        """Subscribe again; ``quiet`` names cells without own orders out."""
        if now - self.subscribed_at < SUBSCRIBE_PLAN_SECONDS:
            return []
        self.subscribed_at = now
        self.nonce += 1
        self.attempt += 1
        return [
            SendPeer(
                self._target(cell, followed, now, members),
                PlanSubscribe(cell, self.nonce, cell in quiet),
            )
            for cell, followed in self.followed.items()
        ]

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
        silent = now - followed.heard_at > HOLDER_SILENCE_SECONDS
        if followed.holder and not silent:
            return followed.holder
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
    fresh = message.nonce > relay.nonce - _NONCES_KEPT
    if followed is None or not fresh:
        return []
    if not is_newer_view(message, followed.view):
        return []
    relay.followed[message.cell] = Followed(message, sender, now)
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


@relay_plan.register
def _(
    message: PlanAck, relay: PlanRelay, sender: str, now: float
) -> list[Effect]:
    followed = relay.followed.get(message.cell)
    if followed is None or not followed.holder:
        return []
    return [SendPeer(followed.holder, message, sender)]


def is_newer_view(view: PlanView, known: PlanView | None) -> bool:
    """Tell if a view is newer than the one known."""
    if known is None:
        return True
    return (view.token, view.version, view.sequence) > (
        known.token,
        known.version,
        known.sequence,
    )
