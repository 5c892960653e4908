"""Streams go on only at engines of the software version that began them.

Guards against events of two versions in one stream, whether the relay goes on
itself or the caller takes the stream up at another instance.
"""

from contextlib import AsyncExitStack, suppress
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import RequestKind, Role, ServiceShare, Upstream
from cranberryrelay.relay._context import (
    AdmittedRequest,
    BrokenStreamError,
    RelayContext,
    StreamReply,
)
from cranberryrelay.relay._model_path import ModelRun
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._role_controller import RoleController
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_route,
    make_settings,
    make_table,
    open_mock_context,
)
from cranberryrelay.relay.tests.test_model_path import EVENTS, WORK, Engines
from cranberryrelay.timing import open_timer_service

LATER_SECONDS = 1.0
STREAMS = 40
DEPARTED_SECONDS = 61.0
NEVER_DROPPED = float('inf')


def make_engine(name: str, version: str, role: Role = Role.DECODE) -> Upstream:
    """Make an engine of a software version."""
    return Upstream(
        name=name,
        started_at_ms=1,
        service='s',
        address=f'{name}:1',
        domain='a',
        slots=64,
        leaving=False,
        role=role,
        software_version=version,
    )


def make_state(*decode_engines: tuple[str, str]) -> RelayState:
    """Make an instance with a prefill engine and decode engines by version."""
    state = RelayState(make_settings())
    route = make_route(RequestKind.STREAM)
    state.apply_table(make_table(1, route), 'test')
    state.apply_upstream(make_engine('p1', 'old', Role.PREFILL), 'test')
    for name, version in decode_engines:
        state.apply_upstream(make_engine(name, version), 'test')
    return state


class CrashingEngines(Engines):
    """Mock engines of which d1 breaks one stream, then recovers or not."""

    def __init__(self, recovers: bool) -> None:
        super().__init__('broken')
        self.recovers = recovers

    def fail(self) -> httpx.Response:
        """Break the stream; from then on, answer or be unreachable."""
        response = super().fail()
        self.fault = ''
        if not self.recovers:
            self.unreachable.add('d1')
        return response


class Outcome(NamedTuple):
    """What the caller received of one attempt."""

    # Number of the last event; 0 for none.
    last_event: int

    # Why the attempt was refused; None if it was not.
    failure: Failure | None = None


class Attempt(NamedTuple):
    """One attempt of a caller."""

    # Request id of the attempt that began the stream; '' for a new stream.
    resumed_id: str = ''

    # Last event that the caller received.
    last_event: int | None = None

    # Whether the route allows a second run.
    resumable: bool = True


async def run_attempt(
    state: RelayState, engines: Engines, attempt: Attempt
) -> Outcome:
    """Run one attempt of the request 'r1' and return what is received."""
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(
            transport=httpx.MockTransport(engines.respond)
        ) as client,
        AsyncExitStack() as stack,
    ):
        now = timers.now()
        state.stream_versions.observe(state.fleet.upstreams.values(), now)
        route = make_route(RequestKind.STREAM)
        arrival = make_arrival('r1', WORK)
        headers = arrival.headers
        if attempt.last_event is not None:
            last_event = str(attempt.last_event).encode()
            headers = (*headers, (b'Last-Event-Id', last_event))
        admitted = AdmittedRequest(
            request=arrival._replace(
                arrived_at=now,
                headers=headers,
                last_event_number=attempt.last_event,
                resumed_request_id=attempt.resumed_id,
            ),
            route=route._replace(resumable=attempt.resumable, attempts_limit=2),
            service='s',
            revision=1,
            deadline=now + 5,
            stack=stack,
        )
        context = RelayContext(state, client, TargetDialect(), timers)
        outcome = await ModelRun(context, admitted).run()
        if outcome.is_err():
            return Outcome(0, outcome.unwrap_err())
        reply = outcome.unwrap()
        assert isinstance(reply, StreamReply)
        last = b''
        with suppress(BrokenStreamError):
            async for event in reply.events:
                last = event
        return Outcome(EVENTS.index(last) + 1)


def decode_hosts(engines: Engines) -> list[str]:
    """Return the decode engines that were called, in order."""
    return [
        call.partition(' ')[0]
        for call in engines.calls
        if not call.endswith('prefill')
    ]


class RelayCase(NamedTuple):
    """A stream that breaks at d1, and the engines that may be called."""

    name: str
    resumable: bool
    engines: tuple[tuple[str, str], ...]
    last_event: int
    hosts: tuple[str, ...]
    recovers: bool = False


RELAY_CASES = (
    RelayCase(
        'second run at the same version',
        True,
        (('d1', 'old'), ('d2', 'other'), ('d3', 'old')),
        4,
        ('d1', 'd3'),
    ),
    RelayCase(
        'no other engine of the version',
        True,
        (('d1', 'old'), ('d2', 'other')),
        2,
        ('d1',),
    ),
    RelayCase(
        'the only engine of the version recovers',
        True,
        (('d1', 'old'), ('d2', 'other')),
        4,
        ('d1', 'd1'),
        True,
    ),
    RelayCase(
        'backup at the same version',
        False,
        (('d1', 'old'), ('d2', 'other'), ('d3', 'old')),
        4,
        ('d1', 'd3'),
    ),
    RelayCase(
        'no backup at another version',
        False,
        (('d1', 'old'), ('d2', 'other')),
        2,
        ('d1',),
    ),
)


class BrokenStreamTest(TestCase):
    """The relay goes on with a broken stream."""

    # Events of two software versions in one answer.
    @params(*((case,) for case in RELAY_CASES))
    def test_relay_goes_on_at_the_same_version(self, case: RelayCase) -> None:
        engines = CrashingEngines(case.recovers)
        outcome = trio.run(
            run_attempt,
            make_state(*case.engines),
            engines,
            Attempt(resumable=case.resumable),
        )
        self.assertEqual(outcome.last_event, case.last_event)
        self.assertEqual(tuple(decode_hosts(engines)), case.hosts)


class TakenUpStreamTest(TestCase):
    """A caller takes its stream up at another instance."""

    # Events of two software versions over a caller's attempts.
    def test_announced_stream_goes_on_at_its_version(self) -> None:
        first = make_state(('d1', 'old'), ('d2', 'other'))
        trio.run(run_attempt, first, Engines('broken'), Attempt())
        second = make_state(('d1', 'old'), ('d2', 'other'))
        sent_at = first.stream_versions.observed_at
        announced = first.stream_versions.take_announcements(7, sent_at)
        second.stream_versions.apply_announced(announced, NEVER_DROPPED)
        engines = Engines('')
        outcome = trio.run(run_attempt, second, engines, Attempt('r1', 2))
        self.assertEqual(outcome.last_event, len(EVENTS))
        self.assertEqual(decode_hosts(engines), ['d1'])

    # A guess at the version of a stream that no instance knows any more.
    def test_unknown_stream_is_refused_while_versions_differ(self) -> None:
        state = make_state(('d1', 'old'), ('d2', 'other'))
        engines = Engines('')
        outcome = trio.run(run_attempt, state, engines, Attempt('r0', 2))
        assert outcome.failure is not None
        self.assertEqual(
            outcome.failure.code, ResultCode.STREAM_VERSION_UNKNOWN
        )
        self.assertEqual(engines.calls, [])

    # Refusals although no other version can have begun the stream.
    def test_unknown_stream_goes_on_while_all_versions_are_equal(self) -> None:
        state = make_state(('d1', 'old'), ('d2', 'old'))
        outcome = trio.run(run_attempt, state, Engines(''), Attempt('r0', 2))
        self.assertEqual(outcome.last_event, len(EVENTS))

    # A version that serves, but was not there when versions were recorded.
    def test_unknown_stream_is_refused_once_another_version_serves(
        self,
    ) -> None:
        versions = make_state().stream_versions
        versions.observe([make_engine('d1', 'old')], 0)
        arrival = make_arrival('r1', WORK)._replace(last_event_number=2)
        serving = [make_engine('d2', 'other')]
        found = versions.find_version(arrival, 's', serving, complete=True)
        self.assertEqual(
            found.unwrap_err().code, ResultCode.STREAM_VERSION_UNKNOWN
        )

    # A prefill in vain for a stream that cannot go on anywhere.
    def test_stream_of_a_version_without_decode_engine_is_refused(self) -> None:
        state = make_state(('d2', 'other'))
        engine = make_engine('d1', 'old')
        state.stream_versions.record_begun('r0', engine, NEVER_DROPPED)
        engines = Engines('')
        outcome = trio.run(run_attempt, state, engines, Attempt('r0', 2))
        assert outcome.failure is not None
        self.assertEqual(outcome.failure.code, ResultCode.NO_ENGINE)
        self.assertEqual(engines.calls, [])


async def pick_services(stream_id: str) -> tuple[str, str]:
    """Return the services of a stream's first attempt and of a later one."""
    state = RelayState(make_settings())
    shares = (ServiceShare('s', 1), ServiceShare('t', 1))
    route = make_route(RequestKind.STREAM)._replace(shares=shares)
    state.apply_table(make_table(1, route), 'test')
    began = make_arrival(stream_id, WORK)
    resumed = make_arrival(f'{stream_id} again', WORK)._replace(
        last_event_number=2, resumed_request_id=stream_id
    )
    async with (
        open_mock_context(state, Engines('').respond) as context,
        AsyncExitStack() as stack,
    ):
        pipeline = RelayPipeline(context)
        admitted = [
            pipeline.admit(arrival, stack).unwrap()
            for arrival in (began, resumed)
        ]
    return admitted[0].service, admitted[1].service


class SplitRouteTest(TestCase):
    """A route that is split between two services."""

    # A stream that goes on at another service, of which no engine may have the
    # version that began it.
    def test_stream_stays_at_its_service(self) -> None:
        picked = [
            trio.run(pick_services, f'r{number}') for number in range(STREAMS)
        ]
        moved = [pair for pair in picked if pair[0] != pair[1]]
        self.assertEqual(moved, [])
        self.assertEqual({began for began, _ in picked}, {'s', 't'})


class RolePlanTest(TestCase):
    """Roles while several versions serve."""

    # A version without a decode engine, at which none of its streams can go on.
    def test_each_version_has_decode_engines(self) -> None:
        state = RelayState(make_settings())
        for idx, role in enumerate((Role.DECODE, Role.DECODE, Role.PREFILL)):
            state.apply_upstream(make_engine(f'o{idx}', 'old', role), 'test')
        for idx in range(3):
            engine = make_engine(f'n{idx}', 'other', Role.PREFILL)
            state.apply_upstream(engine, 'test')
        unused: Any = SimpleNamespace(protocol=None)
        controller = RoleController(state, unused, unused, unused, unused)
        changes = controller.plan_changes(0)
        self.assertEqual(
            sorted((change.engine[0], change.role) for change in changes),
            [('n', Role.DECODE), ('o', Role.PREFILL)],
        )


class AnnouncementTest(TestCase):
    """Which streams the instances tell each other of."""

    # Control traffic for nothing, and streams begun before a second version
    # appeared that nobody knows afterwards.
    def test_streams_are_announced_once_a_second_version_serves(self) -> None:
        versions = make_state().stream_versions
        old = make_engine('d1', 'old')
        versions.observe([old], 0)
        versions.record_begun('r1', old, 0)
        self.assertEqual(versions.take_announcements(7, LATER_SECONDS), [])
        other = make_engine('d2', 'other')
        versions.observe([old, other], LATER_SECONDS)
        announced = versions.take_announcements(7, LATER_SECONDS)
        self.assertEqual(
            [(one.version, len(one.digests)) for one in announced],
            [('old', 1)],
        )
        self.assertEqual(versions.take_announcements(7, LATER_SECONDS), [])
        versions.observe([other], DEPARTED_SECONDS)
        versions.observe([other], DEPARTED_SECONDS + LATER_SECONDS)
        self.assertFalse(versions.is_mixed('s'))

    # Control traffic that grows with the rate of requests.
    def test_announcements_keep_the_rate_and_prefer_new_streams(self) -> None:
        versions = make_state().stream_versions
        engines = [make_engine('d1', 'old'), make_engine('d2', 'other')]
        versions.observe(engines, 0)
        for idx in range(100):
            versions.record_begun(f'r{idx}', engines[0], 0)
        newest = versions.unannounced[-1]
        announced = versions.take_announcements(60, LATER_SECONDS)
        self.assertEqual([len(one.digests) for one in announced], [10])
        self.assertIn(newest, announced[0].digests)
