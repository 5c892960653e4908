"""The emulated target: work is conserved, views age, policies differ."""

import random
from unittest import TestCase

from cranberryrelay.measure._target_emulator import (
    CALL_SECONDS,
    EVENT_SECONDS,
    MOVE_SECONDS,
    Policy,
    Served,
    TargetEmulator,
)
from cranberryrelay.measure._target_load import (
    EmulatedRequest,
    KindSettings,
    PatternSettings,
    SiteSettings,
    TargetScenario,
    draw_requests,
)
from cranberryrelay.relay import ModelWork, PromptPart, Rank
from cranberryrelay.relay._placement import (
    choose_prefill,
    predict_read_seconds,
)

KIND = KindSettings(0, 150, 600, 1.0, [(100, 5), (200, 50)], 20, 0.3)
SCENARIO = TargetScenario(
    {'teaser': KIND},
    {'site': SiteSettings(20, 6, 64, 1.0)},
    {'steady': PatternSettings(1.0, {}), 'swing': PatternSettings(1.8, {})},
)
SITE = SCENARIO.sites['site']
PARTS = (PromptPart('a', 4000), PromptPart('own', 1000))


def make_request(number: int, arrives_at: float) -> EmulatedRequest:
    """Make a request that shares its first part with the others."""
    parts = (PARTS[0], PromptPart(f'own-{number}', 1000))
    work = ModelWork('m', 5000, 2, parts)
    return EmulatedRequest('teaser', work, Rank.URGENT, arrives_at, 0, 2)


def serve(beat_seconds: float, requests: list[EmulatedRequest]) -> list[Served]:
    """Serve requests with the relay's choice."""
    policy = Policy('test', beat_seconds, choose_prefill)
    return TargetEmulator(SITE, policy).run(requests)


class TargetEmulatorTest(TestCase):
    """Runs of a few seconds."""

    def test_lone_request_takes_what_its_parts_take(self) -> None:
        served = serve(0, [make_request(0, 1.0)])
        least = (
            predict_read_seconds(5000, 0)
            + 3 * CALL_SECONDS
            + MOVE_SECONDS
            + EVENT_SECONDS
        )
        self.assertAlmostEqual(served[0].first_seconds, least, delta=0.01)

    def test_shared_part_is_read_once_by_one_instance(self) -> None:
        served = serve(
            0, [make_request(number, float(number)) for number in range(5)]
        )
        self.assertEqual(sum(one.read_again for one in served), 0)
        self.assertLess(served[1].first_seconds, served[0].first_seconds)

    def test_same_seed_gives_the_same_run(self) -> None:
        runs = []
        for _ in range(2):
            rng = random.Random(4)
            pattern = SCENARIO.patterns['swing']
            requests = draw_requests(SCENARIO, SITE, pattern, 4, rng)
            runs.append([one.first_seconds for one in serve(0.1, requests)])
            self.assertEqual(len(runs[-1]), len(requests))
        self.assertEqual(runs[0], runs[1])

    def test_older_views_cost_time(self) -> None:
        rng = random.Random(4)
        pattern = SCENARIO.patterns['steady']
        requests = draw_requests(SCENARIO, SITE, pattern, 6, rng)
        means = [
            sum(one.first_seconds for one in serve(beat, requests))
            for beat in (0, 0.1, 1.0)
        ]
        self.assertEqual(means, sorted(means))
