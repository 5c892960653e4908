"""Which peers take the requests of an instance that is cut off."""

import random
from collections import Counter
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.relay._forward_targets import (
    REPORTED_LIMIT,
    ForwardTarget,
    ForwardTargets,
)
from cranberryrelay.relay._membership import LIVENESS_TIMEOUT_SECONDS

NOW = 100.0
DRAWS = 200
HUB = ForwardTarget('hub:1', 'a')


def make_targets(*domains: str) -> ForwardTargets:
    """Make the targets of an instance, each reported by itself."""
    targets = ForwardTargets(random.Random(1))
    for idx, domain in enumerate(domains):
        target = ForwardTarget(f'{domain}{idx}:1', domain)
        targets.record_report(f'front-{idx}', [target], NOW)
    return targets


class ForwardTargetsTest(TestCase):
    """Choice of a target, and of those that a hub names."""

    @params(
        (('b', 'a', 'b'), (), 'a1:1'),
        (('b', 'a', 'b'), ('a1:1', 'b0:1'), 'b2:1'),
        (('b',), ('b0:1',), None),
        ((), (), None),
    )
    def test_own_failure_domain_goes_first(
        self,
        domains: tuple[str, ...],
        excluded: tuple[str, ...],
        expected: str | None,
    ) -> None:
        chosen = make_targets(*domains).choose('a', excluded, NOW)
        self.assertEqual(chosen and chosen.address, expected)

    def test_requests_are_spread(self) -> None:
        targets = make_targets('a', 'a')
        first = targets.choose('a', (), NOW)
        assert first is not None
        with targets.track(first):
            second = targets.choose('a', (), NOW)
        self.assertNotEqual(first, second)

    def test_silent_peer_is_not_chosen(self) -> None:
        later = NOW + LIVENESS_TIMEOUT_SECONDS + 1
        self.assertIsNone(make_targets('a').choose('a', (), later))

    # Guards against hubs that name themselves to all their members and so get
    # most of the forwarded requests.
    def test_hub_is_named_no_more_often_than_members(self) -> None:
        targets = make_targets(*('a' * 23))
        counts = Counter(
            target
            for _ in range(DRAWS)
            for target in targets.sample(NOW, frozenset((HUB,)), 'a')
        )
        self.assertEqual(sum(counts.values()), DRAWS * REPORTED_LIMIT)
        self.assertLess(counts[HUB], DRAWS / 2)
