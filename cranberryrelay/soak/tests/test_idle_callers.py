"""Callers that reuse connections at the idle limit, in virtual time.

Guards against a soak whose requests don't meet the moment at which an instance
closes an idle connection.
"""

from collections.abc import Callable
from pathlib import Path
from unittest import TestCase, mock

import httpx
import trio
from trio.testing import MockClock

from cranberryrelay.soak._callers import BODY_PART, CallerPool, Target
from cranberryrelay.soak._idle_callers import (
    REUSE_OFFSETS_SECONDS,
    IdleLimitCallers,
    call_in_stops,
)
from cranberryrelay.soak._layout import find_idle_seconds, make_layout
from cranberryrelay.timing import open_timer_service

OPEN_CALLER = 'cranberryrelay.soak._idle_callers.open_direct_caller'
MEASURE = 'cranberryrelay.soak._idle_callers._measure_idle_seconds'
VERSION = 3
SURPLUS_SECONDS = 0.5
INSTANCE = make_layout(Path(), 1, 0, iter(range(99))).instances[0]

# Times of the requests, the lengths of their bodies, and their connections.
Seen = list[tuple[float, int, int]]


def record_requests(seen: Seen) -> Callable[[object], httpx.AsyncClient]:
    """Make a function whose connections answer and record requests."""

    def open_client(instance: object) -> httpx.AsyncClient:
        async def answer(request: httpx.Request) -> httpx.Response:
            body = await request.aread()
            seen.append((trio.current_time(), len(body), id(answer)))
            return httpx.Response(200)

        transport = httpx.MockTransport(answer)
        return httpx.AsyncClient(transport=transport, base_url='http://test')

    return open_client


async def measure(instance: object) -> float:
    """Return the idle time after which an instance closes connections."""
    return find_idle_seconds(VERSION) + SURPLUS_SECONDS


class IdleLimitCallersTest(TestCase):
    """Requests of callers that reuse connections."""

    # Guards against reuses at another time than the limit or the close.
    def test_reuses_at_limit_and_close(self) -> None:
        seen: Seen = []
        with (
            mock.patch(OPEN_CALLER, record_requests(seen)),
            mock.patch(MEASURE, measure),
        ):
            trio.run(reuse_twice, clock=MockClock(autojump_threshold=0))
        first_uses: dict[int, float] = {}
        idle = []
        for at, _, connection in seen:
            idle.append(at - first_uses.setdefault(connection, at))
        limit = find_idle_seconds(VERSION)
        spread = max(REUSE_OFFSETS_SECONDS) + 0.003
        near_limit = [one for one in idle if abs(one - limit) < spread]
        near_close = [
            one for one in idle if abs(one - limit - SURPLUS_SECONDS) < spread
        ]
        self.assertGreater(len(near_limit), 3)
        self.assertGreater(len(near_close), 3)
        self.assertEqual(
            len(near_limit) + len(near_close) + len(first_uses), len(idle)
        )
        self.assertEqual({size for _, size, _ in seen}, {0, 2 * len(BODY_PART)})

    # Guards against a soak without requests that end late in a planned stop.
    def test_calls_until_end_of_stop(self) -> None:
        seen: Seen = []
        with mock.patch(OPEN_CALLER, record_requests(seen)):
            trio.run(call_in_one_stop, clock=MockClock(autojump_threshold=0))
        started_at = 1.0
        lateness = [at - started_at for at, _, _ in seen]
        for at in (0, 2, 4, 5, 6, 7, 7.5):
            with self.subTest(at):
                self.assertTrue(any(at <= one <= at + 1 for one in lateness))


async def reuse_twice() -> None:
    """Run two rounds of reuses."""
    async with open_timer_service() as timers:
        pool = CallerPool(5, timers)
        callers = IdleLimitCallers(pool, 12)
        target = Target(INSTANCE, 1, VERSION)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.call, INSTANCE, lambda: target)
            await timers.pause(find_idle_seconds(VERSION) + 1)
            pool.stopped = True


async def call_in_one_stop() -> None:
    """Let an instance run for a second and stop for nine."""
    async with open_timer_service() as timers:
        pool = CallerPool(5, timers)
        begun_at = timers.now()

        def find_target() -> Target:
            stopping = timers.now() - begun_at >= 1
            return Target(INSTANCE, 1, VERSION, stopping)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_in_stops, pool, find_target)
            await timers.pause(10)
            pool.stopped = True
