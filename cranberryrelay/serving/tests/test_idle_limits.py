"""Idle limits that change while connections are idle.

Guards against connections that are closed by the limit of an earlier release
note while their callers go by a longer one.
"""

from typing import Final, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.serving.tests.callers import (
    Caller,
    make_request,
    serve_app,
)

# Without any event for so long, in real seconds, the clock of a test moves on.
STALLED_SECONDS: Final = 0.02
LATENESS_SECONDS: Final = 0.1


class LimitChange(NamedTuple):
    """A limit that comes into force."""

    # When it does, in seconds after the connection became idle.
    at: float

    # The limit in seconds.
    seconds: float


class Course(NamedTuple):
    """Changes of the limit while a connection is idle."""

    # What is tested.
    name: str

    # The changes; the first limit is 10 s.
    changes: tuple[LimitChange, ...]

    # When the connection is closed, in seconds after it became idle.
    closed_at: float


COURSES: Final = (
    Course('unchanged', (), 10),
    Course('raised', (LimitChange(5, 20),), 20),
    Course('lowered', (LimitChange(5, 7),), 10),
    Course('lowered below its age', (LimitChange(5, 2),), 10),
    Course('raised twice', (LimitChange(5, 20), LimitChange(15, 30)), 30),
    Course('raised, then lowered', (LimitChange(3, 20), LimitChange(6, 5)), 20),
    Course('lowered, then raised', (LimitChange(3, 5), LimitChange(6, 15)), 15),
)


class ChangedLimitTest(TestCase):
    """A connection that is idle while the limit changes."""

    # Guards against a connection that is closed by a limit of a note before
    # while its caller may still use it.
    @params(*((course,) for course in COURSES))
    def test_longest_limit_counts(self, course: Course) -> None:
        clock = MockClock(autojump_threshold=STALLED_SECONDS)
        closed_at = trio.run(measure_idle, course, clock=clock)
        self.assertGreaterEqual(closed_at, course.closed_at)
        self.assertLess(closed_at, course.closed_at + LATENESS_SECONDS)


async def measure_idle(course: Course) -> float:
    """Return how long a connection is idle before the server closes it."""
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, MockClock)
    limits = [10.0]
    async with (
        serve_app(clock, lambda: limits[-1]) as served,
        trio.open_nursery() as nursery,
    ):
        caller = Caller('a', served.port)
        await caller.exchange(make_request('/first'))
        idle_since = trio.current_time()
        for change in course.changes:
            nursery.start_soon(
                apply_change, change, idle_since, limits, served.port
            )
        await caller.read()
        closed_at = trio.current_time() - idle_since
        nursery.cancel_scope.cancel()
    return closed_at


async def apply_change(
    change: LimitChange, idle_since: float, limits: list[float], port: int
) -> None:
    """Put a limit in force, and use another connection under it."""
    await trio.sleep_until(idle_since + change.at)
    limits.append(change.seconds)
    other = Caller('other', port)
    await other.exchange(make_request('/other'))
    await other.stream.aclose()
