"""A call that crashes each process of a plain service that runs it.

Load pattern: the caller sends the same call again and again, at any instance; a
crashed process is back after some seconds.
"""

from contextlib import AsyncExitStack
from unittest import TestCase

import httpx
import trio
from trio.testing import MockClock

from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import ClientLimits, RequestKind, Role, Upstream
from cranberryrelay.relay._connection_probe import ConnectionProbe
from cranberryrelay.relay._context import AdmittedRequest, RelayContext
from cranberryrelay.relay._plain_path import PlainRun
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    BOUNDS,
    make_arrival,
    make_plain_table,
    make_route,
    make_settings,
)
from cranberryrelay.timing import open_timer_service

PROCESSES = ('s1', 's2', 's3', 's4')
DOWN_SECONDS = 3.0
REPEAT_SECONDS = 1.0
REPEATS = 25

# Bounds that the operators state for such requests.
CRASHES_TO_LEARN_FROM = 3
RETRIES_ALLOWED = 3


class CrashingProcesses:
    """Processes of a plain service that crash on each call."""

    def __init__(self) -> None:
        self.down_until: dict[str, float] = {}
        self.crashed_at: list[float] = []

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Crash, unless the process is down already."""
        now = trio.current_time()
        if self.down_until.get(request.url.host, 0) > now:
            raise httpx.ConnectError('refused')
        self.down_until[request.url.host] = now + DOWN_SECONDS
        self.crashed_at.append(now)
        raise httpx.ReadError('reset')

    async def probe(self, address: str) -> bool | None:
        """Return whether the process at an address accepts connections."""
        host = address.partition(':')[0]
        return self.down_until.get(host, 0) <= trio.current_time()


class CrashingRequestTest(TestCase):
    """Processes must not be crashed on and on by one call."""

    # Guards against passing a call on after it has crashed three processes.
    def test_call_that_crashes_processes_is_held_back(self) -> None:
        self.play(RequestKind.IDEMPOTENT, probes=False)

    # Guards against the same where only the next caller can be held back.
    def test_call_that_may_run_once_is_held_back(self) -> None:
        self.play(RequestKind.AT_MOST_ONCE, probes=True)

    def play(self, kind: RequestKind, *, probes: bool) -> None:
        """Repeat a deadly call and count the late crashes."""
        processes = CrashingProcesses()
        clock = MockClock(autojump_threshold=0)
        probe = processes.probe if probes else None
        trio.run(repeat_call, processes, kind, probe, clock=clock)
        learned_at = processes.crashed_at[:CRASHES_TO_LEARN_FROM][-1]
        late = [
            crashed_at
            for crashed_at in processes.crashed_at
            if crashed_at > learned_at + BOUNDS.stable_seconds
        ]
        self.assertLessEqual(len(late), RETRIES_ALLOWED)


async def repeat_call(
    processes: CrashingProcesses,
    kind: RequestKind,
    probe: ConnectionProbe | None,
) -> None:
    """Send the same call again and again, under a new id each time."""
    route = make_route(kind)._replace(attempts_limit=2)
    state = RelayState(make_settings())
    state.apply_table(make_plain_table(1, route, ClientLimits()), 'test')
    for name in PROCESSES:
        process = Upstream(name, 1, 's', f'{name}:1', 'a', 6, False, Role.PLAIN)
        state.apply_upstream(process, 'test')
    transport = httpx.MockTransport(processes.respond)
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(transport=transport) as client,
    ):
        context = RelayContext(state, client, TargetDialect(), timers, probe)
        for number in range(REPEATS):
            async with AsyncExitStack() as stack:
                admitted = AdmittedRequest(
                    request=make_arrival(f'r{number}'),
                    route=route,
                    service='s',
                    revision=1,
                    deadline=timers.now() + 4,
                    stack=stack,
                )
                await PlainRun(context, admitted).run()
            await trio.sleep(REPEAT_SECONDS)
