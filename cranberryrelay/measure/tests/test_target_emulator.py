"""Tests of the emulated target.

They fail if the stages of a request do not add up to its latency, a cached
part is prefilled again, a run depends on more than its seed, or outdated
views cost no time.
"""

import random
from unittest import TestCase

from cranberryrelay.measure._target_emulator import (
    ENGINE_CALL_LATENCY_SECONDS,
    EVENT_GENERATION_SECONDS,
    KV_TRANSFER_BASE_SECONDS,
    Policy,
    RequestResult,
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
from cranberryrelay.relay import ModelRequest, PromptSegment, Rank
from cranberryrelay.relay._placement import (
    choose_prefill_engine,
    predict_prefill_seconds,
)

KIND = KindSettings(0, 150, 600, 1.0, [(100, 5), (200, 50)], 20, 0.3)
SCENARIO = TargetScenario(
    {'teaser': KIND},
    {'site': SiteSettings(20, 6, 64, 1.0)},
    {'steady': PatternSettings(1.0, {}), 'swing': PatternSettings(1.8, {})},
)
SITE = SCENARIO.sites['site']
PARTS = (PromptSegment('a', 4000), PromptSegment('own', 1000))


def make_request(number: int, arrives_at: float) -> EmulatedRequest:
    """Make a request that shares its first part with the others."""
    parts = (PARTS[0], PromptSegment(f'own-{number}', 1000))
    work = ModelRequest('m', 5000, 2, parts)
    return EmulatedRequest('teaser', work, Rank.URGENT, arrives_at, 0, 2)


def serve(
    exchange_interval_seconds: float, requests: list[EmulatedRequest]
) -> list[RequestResult]:
    """Serve requests with the routing of the relay."""
    policy = Policy('test', exchange_interval_seconds, choose_prefill_engine)
    return TargetEmulator(SITE, policy).run(requests)


class TargetEmulatorTest(TestCase):
    """Emulated runs of a few seconds."""

    def test_single_request_latency_is_the_sum_of_its_stages(self) -> None:
        served = serve(0, [make_request(0, 1.0)])
        expected = (
            predict_prefill_seconds(5000, 0)
            + 3 * ENGINE_CALL_LATENCY_SECONDS
            + KV_TRANSFER_BASE_SECONDS
            + EVENT_GENERATION_SECONDS
        )
        self.assertAlmostEqual(
            served[0].first_event_seconds, expected, delta=0.01
        )

    def test_shared_part_is_prefilled_once_with_one_view(self) -> None:
        served = serve(
            0, [make_request(number, float(number)) for number in range(5)]
        )
        self.assertEqual(sum(result.recomputed_tokens for result in served), 0)
        self.assertLess(
            served[1].first_event_seconds, served[0].first_event_seconds
        )

    def test_same_seed_gives_the_same_results(self) -> None:
        runs = []
        for _ in range(2):
            rng = random.Random(4)
            pattern = SCENARIO.patterns['swing']
            requests = draw_requests(SCENARIO, SITE, pattern, 4, rng)
            runs.append(
                [result.first_event_seconds for result in serve(0.1, requests)]
            )
            self.assertEqual(len(runs[-1]), len(requests))
        self.assertEqual(runs[0], runs[1])

    def test_latency_grows_with_the_exchange_interval(self) -> None:
        rng = random.Random(4)
        pattern = SCENARIO.patterns['steady']
        requests = draw_requests(SCENARIO, SITE, pattern, 6, rng)
        means = [
            sum(
                result.first_event_seconds
                for result in serve(interval, requests)
            )
            for interval in (0, 0.1, 1.0)
        ]
        self.assertEqual(means, sorted(means))
