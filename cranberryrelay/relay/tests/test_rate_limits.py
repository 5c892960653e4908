"""Rates that upstreams name, as one instance keeps its part of them.

Guards against instances that save up requests and send them together, and
against a limit that outlasts what the upstream says.
"""

from unittest import TestCase

from nose2.tools import params

from cranberryrelay.relay._backlog import Backlog
from cranberryrelay.relay._catalogue import Role, Upstream
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._placement import (
    PlacementContext,
    choose_prefill_engine,
)
from cranberryrelay.relay._prefix_index import PrefixIndex
from cranberryrelay.relay._rate_limits import SLOT_VALID_SECONDS, RateLimits
from cranberryrelay.relay._requests import ModelRequest, PromptSegment

NOW = 100.0
STEP_SECONDS = 0.01
RATE = 4.0


def make_limits(rate: float = RATE) -> RateLimits:
    """Make the limits of an instance to which an upstream named a rate."""
    limits = RateLimits('front-a-1')
    limits.record_answer('e', rate, NOW, NOW)
    return limits


def send_all(
    limits: RateLimits, instances: int, begin: float, end: float
) -> int:
    """Send whenever the limit allows it; return the number of requests."""
    sent = 0
    for step in range(int((end - begin) / STEP_SECONDS)):
        now = begin + step * STEP_SECONDS
        while limits.may_send('e', instances, now):
            limits.record_sent('e', instances, now)
            sent += 1
    return sent


class SlotTest(TestCase):
    """The rate is divided among the instances and not saved up."""

    @params((1, 40), (4, 10), (40, 1))
    def test_rate_is_divided(self, instances: int, expected: int) -> None:
        sent = send_all(make_limits(), instances, NOW, NOW + 10)
        self.assertAlmostEqual(sent, expected, delta=1)

    def test_unused_slots_are_lost(self) -> None:
        later = NOW + 1000
        sent = send_all(make_limits(), 1, later, later + STEP_SECONDS)
        self.assertLessEqual(sent, RATE * SLOT_VALID_SECONDS + 1)

    def test_more_instances_leave_smaller_parts(self) -> None:
        limits = make_limits()
        send_all(limits, 1, NOW, NOW + 1)
        sent = send_all(limits, 8, NOW + 1, NOW + 11)
        self.assertAlmostEqual(sent, RATE / 8 * 10, delta=1)

    def test_zero_stops_requests(self) -> None:
        self.assertEqual(send_all(make_limits(0), 1, NOW, NOW + 10), 0)


class LimitChangeTest(TestCase):
    """A limit holds for as long as the upstream names it."""

    @params((NOW - 1, True), (NOW + 1, False))
    def test_answer_without_limit(self, sent_at: float, kept: bool) -> None:
        limits = make_limits(0)
        limits.record_answer('e', None, sent_at, NOW + 2)
        self.assertEqual(not limits.may_send('e', 1, NOW + 2), kept)

    def test_peer_learns_of_limit_and_of_its_end(self) -> None:
        limits, peer = make_limits(0), RateLimits('front-a-2')
        peer.apply_news(limits.take_news(), NOW)
        self.assertFalse(peer.may_send('e', 1, NOW + 9))
        limits.record_answer('e', None, NOW + 1, NOW + 2)
        peer.apply_news(limits.take_news(), NOW + 2)
        self.assertTrue(peer.may_send('e', 1, NOW + 2))

    def test_restarted_instance_learns_limits(self) -> None:
        restarted = RateLimits('front-a-2')
        restarted.apply_news(make_limits(0).summarize(), NOW)
        self.assertFalse(restarted.may_send('e', 1, NOW + 9))


class PlacementTest(TestCase):
    """A limit counts requests, so long prompts use it best.

    Guards against short prompts that use up the slots of limited engines, so
    that the others have to read all long prompts.
    """

    @params((12_000, 'limited'), (500, 'free'))
    def test_prompt_length_decides(self, tokens: int, expected: str) -> None:
        fleet = Fleet()
        for name in ('free', 'limited'):
            fleet.put(
                Upstream(name, 1, 's', 'e:1', 'a', 64, False, Role.PREFILL)
            )
        context = PlacementContext(fleet, Backlog(), PrefixIndex(), 'a')
        chosen = choose_prefill_engine(
            context._replace(limited=('limited',)),
            's',
            ModelRequest('m', tokens, 30, (PromptSegment('own', tokens),)),
            frozenset(),
            NOW,
        )
        self.assertEqual(chosen and chosen.engine.name, expected)
