"""Which instances a member of a large fleet contacts to reach its hub."""

from typing import NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.relay._membership import (
    REMOVE_AFTER_SECONDS,
    RESPONSIVE_SECONDS,
    RETRY_PERIOD_SECONDS,
    InstanceLocation,
    Membership,
)

PEER = 'front-b-01'
TICK_SECONDS = 0.075


class Case(NamedTuple):
    """A row: when a silent peer was asked, and whether it is skipped."""

    name: str
    asked_from: float
    asked_until: float
    now: float
    skipped: bool


CASES = (
    Case('asked just now', 0, 0.5, 0.6, skipped=False),
    Case('asked in vain for a while', 0, 1.5, 1.6, skipped=True),
    Case('next attempt is due', 0, 1.5, RETRY_PERIOD_SECONDS, skipped=False),
    Case('asked once, long ago', 0.09, 0.1, 6.6, skipped=False),
    Case('asked once, longer ago', 0.09, 0.1, 8.9, skipped=False),
)


class BackoffTest(TestCase):
    """A peer that had no reason to answer is not skipped."""

    # Guards against members that pass over the next hub because it was asked
    # once, long before it had to act as one.
    @params(*((case,) for case in CASES))
    def test_silent_peer(self, case: Case) -> None:
        membership = make_membership()
        ask(membership, case.asked_from, case.asked_until)
        skipped = membership.is_in_backoff(PEER, case.now)
        self.assertEqual(skipped, case.skipped)

    # Guards against removing a peer that is asked anew after a long time.
    def test_peer_is_removed_only_after_asking_for_long(self) -> None:
        membership = make_membership()
        ask(membership, 0, TICK_SECONDS)
        ask(membership, REMOVE_AFTER_SECONDS, REMOVE_AFTER_SECONDS + 1)
        now = REMOVE_AFTER_SECONDS + RESPONSIVE_SECONDS
        self.assertEqual(membership.remove_unresponsive(now), [])
        ask(membership, now, 2 * REMOVE_AFTER_SECONDS + 2)
        removed = membership.remove_unresponsive(2 * REMOVE_AFTER_SECONDS + 2)
        self.assertEqual(removed, [PEER])


def make_membership() -> Membership:
    """Make the membership of an instance that knows one peer."""
    membership = Membership('front-b-02', 'b')
    membership.add_peer(PEER, InstanceLocation('10.0.0.1:1', 'b'), 0)
    return membership


def ask(membership: Membership, begin: float, end: float) -> None:
    """Send the peer messages that it should answer, unless it is skipped."""
    now = begin
    while now < end:
        if not membership.is_in_backoff(PEER, now):
            membership.record_unanswered(PEER, now)
        now += TICK_SECONDS
