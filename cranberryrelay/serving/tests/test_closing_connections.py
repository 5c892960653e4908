"""Connections that the server closes as a request arrives.

Guards against requests that are handled on a connection that is being closed:
their callers get neither an answer nor a refusal, though they have run.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.serving.tests.callers import (
    ANSWER,
    GRACE_SECONDS,
    HELD_PATH,
    IDLE_SECONDS,
    LARGE_PATH,
    Caller,
    ServedApp,
    make_request,
    serve_app,
)

# Each round is scheduled in an order of its own.
ROUNDS: Final = 8
CALLERS: Final = 4
FIRST_PATH: Final = '/first'

# Longest way, in steps of the scheduler, from the end of the idle limit to the
# closed connection.
STEPS: Final = 5

# After this time without any event, in real seconds, the time limits of the
# server end what it still waits for.
STALLED_SECONDS: Final = 0.2


class Crossing(NamedTuple):
    """How the bytes of a request cross the close of its connection."""

    # What is tested.
    name: str

    # Whether the connection has served a request before.
    kept: bool

    # Closes idle connections, without leaving the task.
    close: Callable[[ServedApp], None]

    # Length of the part that is sent before the close; negative to count from
    # the end of the request.
    sent_before: int | None

    # Whether every request is answered, as its caller sent it in time.
    always_answered: bool


class Count(NamedTuple):
    """What became of the requests of a test."""

    # Requests that the app has handled.
    handled: frozenset[str]

    # Requests that were answered.
    answered: frozenset[str]

    # Number of requests that were sent.
    sent: int


def reach_idle_limit(served: ServedApp) -> None:
    """Move the clock to the end of the idle limit."""
    served.clock.jump(IDLE_SECONDS)


def begin_stop(served: ServedApp) -> None:
    """Tell the server to stop."""
    served.stop.set()


CROSSINGS: Final = (
    Crossing('request, idle limit', True, reach_idle_limit, None, True),
    Crossing('head, idle limit, body', True, reach_idle_limit, -3, True),
    Crossing('half a head, idle limit', True, reach_idle_limit, 9, True),
    Crossing('idle limit, request', True, reach_idle_limit, 0, False),
    Crossing('fresh, request, limit', False, reach_idle_limit, None, True),
    Crossing('fresh, half a head', False, reach_idle_limit, 9, True),
    Crossing('fresh, limit, request', False, reach_idle_limit, 0, False),
    Crossing('request, stop', True, begin_stop, None, True),
    Crossing('head, stop, body', True, begin_stop, -3, True),
    Crossing('half a head, stop', True, begin_stop, 9, True),
    Crossing('stop, request', True, begin_stop, 0, False),
    Crossing('fresh, request, stop', False, begin_stop, None, False),
    Crossing('fresh, stop, request', False, begin_stop, 0, False),
)


class CrossingTest(TestCase):
    """Requests that arrive as their connection is closed."""

    # Guards against requests that are taken from a connection, passed on, and
    # not answered, as another task closes it in the meantime.
    @params(*((row,) for row in CROSSINGS))
    def test_request_taken_is_answered(self, crossing: Crossing) -> None:
        for steps in range(STEPS):
            count = run_rounds(crossing, steps)
            unanswered = count.handled - count.answered
            self.assertEqual(len(unanswered), 0, (crossing.name, steps))
            if crossing.always_answered:
                self.assertEqual(len(count.answered), count.sent)


class StopTest(TestCase):
    """The end of a server with connections that are in use."""

    # Guards against a server whose end is held up until the end of its grace
    # by a request that was sent behind another one.
    def test_pipelined_request_does_not_delay_the_stop(self) -> None:
        seconds = trio.run(measure_pipelined_stop, clock=MockClock())
        self.assertLess(seconds, GRACE_SECONDS / 2)

    # Guards against a server that never ends, as a caller does not read.
    def test_caller_that_does_not_read(self) -> None:
        seconds = trio.run(measure_unread_stop, clock=MockClock())
        self.assertLess(seconds, GRACE_SECONDS + 1)


class HeadLimitTest(TestCase):
    """Requests whose head takes too long."""

    # Guards against a request that is closed as idle though a part of it has
    # arrived, and against heads that are waited for without end.
    def test_late_head_is_refused_as_not_run(self) -> None:
        outcome = trio.run(send_half_a_head, clock=MockClock())
        self.assertEqual(outcome.split(b' ')[1], b'408')


def run_rounds(crossing: Crossing, steps: int) -> Count:
    """Run a crossing often; ``steps`` lie between the close and the rest."""
    handled: set[str] = set()
    answered: set[str] = set()
    for number in range(ROUNDS):
        clock = MockClock()
        count = trio.run(run_round, crossing, steps, number, clock=clock)
        handled |= count.handled
        answered |= count.answered
    return Count(frozenset(handled), frozenset(answered), ROUNDS * CALLERS)


async def run_round(crossing: Crossing, steps: int, number: int) -> Count:
    """Let the requests of several callers cross one close."""
    answered: set[str] = set()
    async with serve_virtual() as served:
        callers = [
            Caller(f'/{number}-{idx}', served.port) for idx in range(CALLERS)
        ]
        for caller in callers:
            if crossing.kept:
                await caller.exchange(make_request(FIRST_PATH))
        await trio.testing.wait_all_tasks_blocked()
        await cross(crossing, steps, served, callers)
        served.clock.autojump_threshold = STALLED_SECONDS
        for caller in callers:
            if (await caller.read()).endswith(ANSWER):
                answered.add(caller.name)
    handled = frozenset(served.handled) - {FIRST_PATH}
    return Count(handled, frozenset(answered), len(callers))


async def cross(
    crossing: Crossing, steps: int, served: ServedApp, callers: list[Caller]
) -> None:
    """Send a part of each request, close, and send the rest."""
    for caller in callers:
        caller.send(make_request(caller.name, b'body')[: crossing.sent_before])
    crossing.close(served)
    for _ in range(steps):
        await trio.lowlevel.checkpoint()
    if crossing.sent_before is not None:
        for sender in callers:
            request = make_request(sender.name, b'body')
            sender.send(request[crossing.sent_before :])


async def measure_pipelined_stop() -> float:
    """Return how long a server takes to end behind a pipelined request."""
    async with serve_virtual() as served:
        caller = Caller('a', served.port)
        caller.send(make_request(HELD_PATH))
        await wait_until_handled(served)
        caller.send(make_request('/behind'))
        await trio.testing.wait_all_tasks_blocked(STALLED_SECONDS)
        served.stop.set()
        served.release.set()
        return await measure_end(served)


async def measure_unread_stop() -> float:
    """Return how long a server takes to end if a caller does not read."""
    async with serve_virtual() as served:
        caller = Caller('a', served.port)
        caller.send(make_request(LARGE_PATH))
        await wait_until_handled(served)
        served.stop.set()
        return await measure_end(served)


async def send_half_a_head() -> bytes:
    """Return what a caller reads that never ends the head of its request."""
    async with serve_virtual() as served:
        caller = Caller('a', served.port)
        caller.send(make_request('/half')[:9])
        served.clock.autojump_threshold = STALLED_SECONDS
        return await caller.read()


@asynccontextmanager
async def serve_virtual() -> AsyncIterator[ServedApp]:
    """Serve the app with the clock of the run."""
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, MockClock)
    async with serve_app(clock) as served:
        yield served


async def wait_until_handled(served: ServedApp) -> None:
    """Return once the app has begun to handle a request."""
    while not served.handled:
        await trio.lowlevel.checkpoint()


async def measure_end(served: ServedApp) -> float:
    """Return the seconds until the server has ended."""
    began_at = trio.current_time()
    served.clock.autojump_threshold = STALLED_SECONDS
    await served.ended.wait()
    return trio.current_time() - began_at
