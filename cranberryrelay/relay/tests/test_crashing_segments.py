"""A prompt segment that crashes each decode engine that generates from it.

Load pattern: requests with the segment arrive at all instances of a fleet,
among sound ones that share their other segments. A crashed engine is back after
some seconds.
"""

from collections.abc import Callable
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay import ModelRequest, PromptSegment
from cranberryrelay.relay.tests.fixtures import BOUNDS
from cranberryrelay.relay.tests.fleet_play import (
    EVENT_SECONDS,
    EVENTS,
    ID_HEADER,
    PREFILL_RESPONSE,
    STAGE_HEADER,
    EventBody,
    FleetPlay,
    FleetSize,
    Load,
)

DEADLY = 'deadly'
SOUND = 'sound'
DOWN_SECONDS = 3.0
PLAY_SECONDS = 25.0

# Bounds that the operators state for such requests.
CRASHES_TO_LEARN_FROM = 5
REQUESTS_ALLOWED = 3
SOUND_SHARE = 0.5

# Time after which the entry of a crashed engine is removed: three heartbeats.
ENTRY_SECONDS = 3.6


class CrashingEngines:
    """Engines that crash, with all their streams, on the deadly segment."""

    def __init__(self) -> None:
        self.down_until: dict[str, float] = {}
        self.starts: dict[str, int] = {}
        self.crashed_at: list[float] = []
        self.deadly_reached_at: list[float] = []

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Respond as the engine at the host of the request."""
        host = request.url.host
        now = trio.current_time()
        if self.down_until.get(host, 0) > now:
            raise httpx.ConnectError('refused')
        request_id = request.headers[ID_HEADER]
        deadly = request_id.startswith(DEADLY)
        if deadly:
            self.deadly_reached_at.append(now)
        headers = {ID_HEADER: request_id}
        if request.headers.get(STAGE_HEADER):
            prefill = EventBody((PREFILL_RESPONSE,))
            return httpx.Response(200, headers=headers, stream=prefill)
        start = self.starts.get(host, 0)
        if deadly:
            self.crashed_at.append(now)
            self.down_until[host] = now + DOWN_SECONDS
            self.starts[host] = start + 1
        first = int(request.headers.get('Last-Event-Id', 0))
        stream = EventBody(
            EVENTS[first:], lambda: self.starts.get(host, 0) != start
        )
        return httpx.Response(200, headers=headers, stream=stream)


def make_repeated_work(request_id: str) -> ModelRequest:
    """Make a prompt of sound segments that is the same each time."""
    work = make_work(f'{SOUND}-0')
    own = PromptSegment('own', 200)
    return work._replace(segments=(*work.shared_segments(), own))


def make_work(request_id: str) -> ModelRequest:
    """Make a prompt; the deadly segment follows segments of sound ones."""
    topic = f'topic-{int(request_id.rpartition("-")[2]) % 5}'
    digests = ['system', topic, request_id]
    if request_id.startswith(DEADLY):
        digests.insert(2, DEADLY)
    segments = tuple(PromptSegment(digest, 200) for digest in digests)
    return ModelRequest('m', 200 * len(segments), 32, segments)


class Case(NamedTuple):
    """A row: the size of the fleet, the rates and the deadly prompt."""

    name: str
    size: FleetSize
    deadly_per_second: float
    sound_per_second: float
    make_deadly: Callable[[str], ModelRequest] = make_work


CASES = (
    Case('full mesh, two decode engines', FleetSize(6, 2, 2), 0.4, 10),
    Case('full mesh, frequent', FleetSize(6, 2, 4), 2.0, 10),
    Case('hubs, frequent', FleetSize(21, 2, 6), 4.0, 20),
    Case('whole request', FleetSize(6, 2, 4), 2.0, 10, make_repeated_work),
    Case(
        'whole request, hubs', FleetSize(21, 2, 6), 4.0, 20, make_repeated_work
    ),
)


async def play_without_other_traffic(
    size: FleetSize, engines: CrashingEngines, per_second: float
) -> None:
    """Send only requests with the segment; the store lists new starts."""
    play = FleetPlay(size, engines)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(update_entries, play, engines)
        load = Load(DEADLY, per_second, make_work)
        await play.run((load,), PLAY_SECONDS)
        nursery.cancel_scope.cancel()


async def update_entries(play: FleetPlay, engines: CrashingEngines) -> None:
    """Replace the entry of each engine some time after its crash."""
    listed: dict[str, int] = {}
    while True:
        await trio.sleep(EVENT_SECONDS)
        for host, back_at in engines.down_until.items():
            entry_due = back_at - DOWN_SECONDS + ENTRY_SECONDS
            start = engines.starts[host]
            if trio.current_time() >= entry_due and listed.get(host) != start:
                listed[host] = start
                play.restart_engine(host)


class CrashingSegmentTest(TestCase):
    """Engines must not be crashed on and on by new requests."""

    # Guards against passing a prompt on after it has crashed five engines,
    # and against refusing sound requests that share its other segments.
    @params(*((case,) for case in CASES))
    def test_segment_that_crashes_engines_is_held_back(
        self, case: Case
    ) -> None:
        engines = CrashingEngines()
        play = FleetPlay(case.size, engines)
        loads = (
            Load(SOUND, case.sound_per_second, make_work),
            Load(DEADLY, case.deadly_per_second, case.make_deadly),
        )
        clock = MockClock(autojump_threshold=0)
        trio.run(play.run, loads, PLAY_SECONDS, clock=clock)
        crashes = engines.crashed_at
        learned_at = crashes[:CRASHES_TO_LEARN_FROM][-1]
        late = [
            reached_at
            for reached_at in engines.deadly_reached_at
            if reached_at > learned_at + BOUNDS.stable_seconds
        ]
        self.assertLessEqual(len(late), REQUESTS_ALLOWED, crashes)
        begin = learned_at + 2 * BOUNDS.stable_seconds
        self.assertGreaterEqual(play.share_served(SOUND, begin), SOUND_SHARE)

    # Guards against learning of a crash only from other requests that find the
    # engine unreachable.
    @params(
        (FleetSize(6, 2, 2), 0.2),
        (FleetSize(6, 2, 4), 0.2),
        (FleetSize(21, 2, 6), 0.5),
    )
    def test_fleet_without_other_traffic_learns(
        self, size: FleetSize, per_second: float
    ) -> None:
        engines = CrashingEngines()
        clock = MockClock(autojump_threshold=0)
        trio.run(
            play_without_other_traffic, size, engines, per_second, clock=clock
        )
        crashes = engines.crashed_at
        self.assertLessEqual(len(crashes), CRASHES_TO_LEARN_FROM)
        last_reached_at = max(engines.deadly_reached_at)
        self.assertLess(last_reached_at, crashes[-1] + BOUNDS.stable_seconds)
