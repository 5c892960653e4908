"""Ticks of a timer service with several subscribers, in virtual time.

Guards against a process that wakes up for each subscriber by itself, and
against subscribers that get too few or too many ticks.
"""

from itertools import pairwise
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.timing import TimerService, open_timer_service

SECONDS = 3.0


async def collect(
    timers: TimerService, period_seconds: float, ticks: list[float]
) -> None:
    """Record the ticks of a subscription, in seconds from now."""
    started_at = timers.now()
    async for now in timers.subscribe(period_seconds):
        ticks.append(now - started_at)  # noqa: PERF401


async def collect_all(
    periods: tuple[float, ...], delay_seconds: float
) -> list[list[float]]:
    """Subscribe one after another; return the ticks of each subscriber."""
    collected: list[list[float]] = [[] for _ in periods]
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        for period, ticks in zip(periods, collected, strict=True):
            nursery.start_soon(collect, timers, period, ticks)
            await trio.sleep(delay_seconds)
        await trio.sleep(SECONDS)
        nursery.cancel_scope.cancel()
    return collected


def run(
    periods: tuple[float, ...], delay_seconds: float = 0
) -> list[list[float]]:
    """Collect ticks in virtual time."""
    clock = MockClock(autojump_threshold=0)
    return trio.run(collect_all, periods, delay_seconds, clock=clock)


class TickTest(TestCase):
    """Subscribers of one service."""

    # Guards against ticks that drift, or that are sent twice.
    @params(0.075, 0.1, 0.5, 2.0)
    def test_ticks_keep_their_period(self, period: float) -> None:
        ticks = run((period,))[0]
        self.assertEqual(ticks[0], 0)
        self.assertLessEqual(abs(len(ticks) - 1 - SECONDS / period), 1)
        gaps = [after - now for now, after in pairwise(ticks)]
        for gap in gaps:
            self.assertAlmostEqual(gap, period)

    # Guards against wakeups that could be one.
    def test_ticks_fall_together(self) -> None:
        collected = run((0.1, 0.2, 0.5), delay_seconds=0.03)
        moments = {
            round(one + 0.03 * idx, 6)
            for idx, ticks in enumerate(collected)
            for one in ticks[1:]
        }
        self.assertLessEqual(len(moments), SECONDS / 0.1 + 2)

    # Guards against a second tick right after the first.
    def test_late_subscriber_waits_for_half_a_period_at_least(self) -> None:
        ticks = run((0.1, 0.5, 0.5), delay_seconds=0.24)[2]
        self.assertEqual(ticks[0], 0)
        self.assertGreaterEqual(ticks[1], 0.25 - 1e-6)
        self.assertLessEqual(ticks[1], 0.75 + 1e-6)

    # Guards against a service that goes on for a subscriber that has left, and
    # against one that does not begin again.
    def test_service_rests_without_subscribers(self) -> None:
        async def scenario() -> tuple[bool, float]:
            async with open_timer_service() as timers:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(collect, timers, 0.1, [])
                    await trio.sleep(0.25)
                    nursery.cancel_scope.cancel()
                await trio.sleep(1)
                rests = not timers.is_ticking
                return rests, await timers.subscribe(0.1).receive()

        clock = MockClock(autojump_threshold=0)
        rests, ticked_at = trio.run(scenario, clock=clock)
        self.assertTrue(rests)
        self.assertGreaterEqual(ticked_at, 1.25)
