"""Engines that name the rate of requests that they accept from the fleet.

Load pattern: from some moment on, some engines name limits below the rate at
which they get requests; the others could serve the rest.
"""

from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay import ModelRequest, PromptSegment
from cranberryrelay.relay.tests.fixtures import BOUNDS
from cranberryrelay.relay.tests.fleet_play import (
    EVENTS,
    ID_HEADER,
    PREFILL_RESPONSE,
    STAGE_HEADER,
    EventBody,
    FleetPlay,
    FleetSize,
    Load,
)

PLAY_SECONDS = 25.0
LOAD = 'sound'
NAMED_FROM = 10.0

# Bounds that the operators state: in any window, an engine gets at most this
# factor of what its limit allows, plus some requests.
WINDOW_SECONDS = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


class LimitedEngines:
    """Engines of which some name a limit in each answer."""

    def __init__(self, limits: dict[str, float]) -> None:
        self.limits = limits
        self.reached_at: dict[str, list[float]] = {}
        self.named_at: dict[str, float] = {}

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Respond as the engine at the host of the request."""
        host = request.url.host
        now = trio.current_time()
        self.reached_at.setdefault(host, []).append(now)
        headers = {ID_HEADER: request.headers[ID_HEADER]}
        if host in self.limits and now >= NAMED_FROM:
            headers['Server-Limit'] = str(self.limits[host])
            self.named_at.setdefault(host, now)
        prefills = request.headers.get(STAGE_HEADER)
        events = (PREFILL_RESPONSE,) if prefills else EVENTS
        return httpx.Response(200, headers=headers, stream=EventBody(events))

    def most_in_window(self, host: str) -> int:
        """Return the most requests in a window once the limit must hold."""
        begin = self.named_at[host] + BOUNDS.stable_seconds
        times = [at for at in self.reached_at[host] if at >= begin]
        return max(
            sum(start <= at < start + WINDOW_SECONDS for at in times)
            for start in (*times, begin)
        )


class Case(NamedTuple):
    """A row: a fleet, its load, and the limits that engines name."""

    name: str
    size: FleetSize
    per_second: float
    limits: dict[str, float]


CASES = (
    Case(
        'one engine of each role',
        FleetSize(7, 2, 2),
        20,
        {'p0': 5.0, 'd0': 5.0},
    ),
    Case('low limit', FleetSize(7, 2, 2), 20, {'p1': 0.5, 'd1': 1.9}),
    Case(
        'more instances than requests',
        FleetSize(40, 3, 3),
        50,
        {'p0': 8.0, 'd0': 8.0, 'd1': 3.3},
    ),
)


def make_work(request_id: str) -> ModelRequest:
    """Make a short prompt without shared segments."""
    return ModelRequest('m', 400, 32, (PromptSegment(request_id, 400),))


class NamedLimitTest(TestCase):
    """The limit is a sum over all instances."""

    # Guards against sending an engine more than its named limit allows, and
    # against refusing what the other engines could serve.
    @params(*((case,) for case in CASES))
    def test_named_limit_is_kept(self, case: Case) -> None:
        engines = LimitedEngines(case.limits)
        play = FleetPlay(case.size, engines)
        loads = (Load(LOAD, case.per_second, make_work),)
        clock = MockClock(autojump_threshold=0)
        trio.run(play.run, loads, PLAY_SECONDS, clock=clock)
        for host, limit in case.limits.items():
            allowed = limit * WINDOW_SECONDS * EXCESS_FACTOR + EXCESS_REQUESTS
            self.assertLessEqual(engines.most_in_window(host), allowed, host)
        self.assertEqual(play.share_served(LOAD, 0), 1)
