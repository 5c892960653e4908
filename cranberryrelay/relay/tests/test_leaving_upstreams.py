"""Upstreams that say in their answers that they are leaving.

Load pattern: an upstream leaves while no instance can learn it from the store.
"""

from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay import (
    ClientLimits,
    KindRecord,
    ModelRequest,
    PromptSegment,
    RecordChange,
    RequestKind,
    Role,
    Upstream,
)
from cranberryrelay.relay._context import AdmittedRequest
from cranberryrelay.relay._plain_path import PlainRun
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._store_replica import StoreReplica
from cranberryrelay.relay.tests.fixtures import (
    BOUNDS,
    at,
    make_arrival,
    make_plain_table,
    make_route,
    make_settings,
    open_mock_context,
)
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
from cranberryrelay.relay.tests.test_store_replica import (
    make_replica,
    make_upstream_record,
)

PLAY_SECONDS = 20.0
LEAVES_AT = 10.0
LOAD = 'sound'
CALLS = 10
LEAVING = {'Server-Leaving': '1'}
NOT_RUN = {'X-Cranberryrelay-Not-Executed': '1'}


class LeavingEngines:
    """Engines of which one says, from some moment on, that it is leaving."""

    def __init__(self, leaving: str, status: int) -> None:
        self.leaving = leaving
        self.status = status
        self.reached_at: list[float] = []

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Respond as the engine at the host of the request."""
        headers = {ID_HEADER: request.headers[ID_HEADER]}
        now = trio.current_time()
        if request.url.host == self.leaving and now >= LEAVES_AT:
            self.reached_at.append(now)
            headers |= LEAVING
            if self.status != httpx.codes.OK:
                refused = self.status == httpx.codes.SERVICE_UNAVAILABLE
                headers |= NOT_RUN if refused else {}
                return httpx.Response(self.status, headers=headers)
        prefills = request.headers.get(STAGE_HEADER)
        events = (PREFILL_RESPONSE,) if prefills else EVENTS
        return httpx.Response(200, headers=headers, stream=EventBody(events))


class Case(NamedTuple):
    """A row: the size of the fleet, which engine leaves, and its answers."""

    name: str
    instances: int
    leaving: str
    status: int


CASES = (
    Case('prefills', 7, 'p0', 200),
    Case('heads of streams', 7, 'd0', 200),
    Case('refusals', 7, 'p0', 503),
    Case('refusals to generate', 7, 'd0', 503),
    Case('errors', 7, 'p0', 500),
    Case('with hubs', 21, 'd0', 200),
)


def make_work(request_id: str) -> ModelRequest:
    """Make a short prompt without shared segments."""
    return ModelRequest('m', 400, 32, (PromptSegment(request_id, 400),))


class LeavingEngineTest(TestCase):
    """The word of an engine holds for all instances."""

    # Guards against requests to an engine that has said that it is leaving,
    # while the store can't say so.
    @params(*((case,) for case in CASES))
    def test_leaving_engine_gets_no_requests(self, case: Case) -> None:
        engines = LeavingEngines(case.leaving, case.status)
        play = FleetPlay(FleetSize(case.instances, 2, 2), engines)
        clock = MockClock(autojump_threshold=0)
        loads = (Load(LOAD, 20, make_work),)
        trio.run(play.run, loads, PLAY_SECONDS, clock=clock)
        told_at = engines.reached_at[0]
        self.assertLessEqual(
            engines.reached_at[-1], told_at + BOUNDS.drain_seconds
        )
        self.assertEqual(play.share_served(LOAD, 0), 1)

    # Guards against the same on a plain service.
    def test_leaving_process_gets_no_calls(self) -> None:
        reached: list[str] = []
        clock = MockClock(autojump_threshold=0)
        trio.run(call_plain_service, reached, clock=clock)
        self.assertEqual(reached.count('s1'), 1)
        self.assertEqual(len(reached), CALLS)


async def call_plain_service(reached: list[str]) -> None:
    """Call a service of two processes, of which the first is leaving."""

    def respond(request: httpx.Request) -> httpx.Response:
        host = request.url.host
        reached.append(host)
        leaving = LEAVING if host == 's1' else {}
        headers = {ID_HEADER: request.headers[ID_HEADER], **leaving}
        return httpx.Response(200, headers=headers, stream=EventBody((b'x',)))

    route = make_route(RequestKind.AT_MOST_ONCE)
    state = RelayState(make_settings())
    state.apply_table(make_plain_table(1, route, ClientLimits()), 'test')
    for name, slots in (('s1', 60), ('s2', 6)):
        state.apply_upstream(
            Upstream(name, 1, 's', f'{name}:1', 'a', slots, False, Role.PLAIN),
            'test',
        )
    async with open_mock_context(state, respond) as context:
        for number in range(CALLS):
            async with AsyncExitStack() as stack:
                request_id = f'r{number}'
                request = make_arrival(request_id)._replace(
                    headers=((ID_HEADER.encode(), request_id.encode()),)
                )
                admitted = AdmittedRequest(
                    request, route, 's', 1, context.timers.now() + 4, stack
                )
                await PlainRun(context, admitted).run()


def older_entry(replica: StoreReplica) -> None:
    write(replica, make_upstream_record('s1', 8))


def unreadable_entry(replica: StoreReplica) -> None:
    write(replica, KindRecord('s1', at(8), {'service': 5}))
    write(replica, make_upstream_record('s1', 9))


def lapsed_entry(replica: StoreReplica) -> None:
    replica.apply_upstream_changes(RecordChange((), ('s1',), at(8)))
    write(replica, make_upstream_record('s1', 9))


def replaced_address(replica: StoreReplica) -> None:
    replica.state.remove_upstream('s1', 'its address')
    write(replica, make_upstream_record('s1', 9))


def write(replica: StoreReplica, record: KindRecord) -> None:
    """Let the store report a record."""
    change = RecordChange((record,), (), record.position)
    replica.apply_upstream_changes(change)


ENTRIES = (older_entry, unreadable_entry, lapsed_entry, replaced_address)


class LeavingEntryTest(TestCase):
    """What an upstream has said goes before its entry in the store."""

    # Guards against an entry that puts a leaving upstream back.
    @params(*ENTRIES)
    def test_entry_does_not_bring_it_back(
        self, change: Callable[[StoreReplica], None]
    ) -> None:
        replica = make_told_replica()
        change(replica)
        self.assertEqual(usable_names(replica), [])

    # Guards against avoiding the next incarnation under the same name.
    @params(*ENTRIES)
    def test_next_incarnation_is_used(
        self, change: Callable[[StoreReplica], None]
    ) -> None:
        replica = make_told_replica()
        change(replica)
        restarted = make_upstream_record('s1', 20)
        value: dict[str, Any] = restarted.value
        write(replica, restarted._replace(value={**value, 'born': 99}))
        self.assertEqual(usable_names(replica), ['s1'])


def make_told_replica() -> StoreReplica:
    """Make a replica that knows one upstream, which says that it leaves."""
    replica = make_replica()
    write(replica, make_upstream_record('s1', 7))
    fleet = replica.state.fleet
    fleet.record_leaving(fleet.upstreams['s1'], 0)
    return replica


def usable_names(replica: StoreReplica) -> list[str]:
    """Return the names of the upstreams that requests may be sent to."""
    fleet = replica.state.fleet
    return [one.name for one in fleet.candidates('s', Role.PLAIN, 0)]
