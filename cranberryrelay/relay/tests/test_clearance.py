"""When a request with suspect segments may run as a trial."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import ModelRequest, RequestKind, Role, Upstream
from cranberryrelay.relay._admission_queue import RECHECK_SECONDS
from cranberryrelay.relay._clearance import CONFIRMATION_SECONDS, ClearanceGate
from cranberryrelay.relay._connection_probe import ConnectionProbe
from cranberryrelay.relay._context import AdmittedRequest, RelayContext
from cranberryrelay.relay._crash_suspects import Clearance
from cranberryrelay.relay._fleet import MAX_BACKOFF_SECONDS
from cranberryrelay.relay._peer_update import make_peer_update
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_route,
    make_settings,
    make_table,
)
from cranberryrelay.timing import open_timer_service

SUSPECTS = frozenset(('deadly',))
ENGINE = Upstream('d1', 1, 's', 'd1:1', 'a', 64, False, Role.DECODE)


class TrialTest(TestCase):
    """A trial must leave engines that serve the other requests."""

    # Guards against a trial that crashes the last decode engine, since the
    # backoff of a crashed engine ends long before the engine is back.
    @params(('nobody', False), ('this instance', True), ('a peer', True))
    def test_crashed_engine_counts_once_it_answers(
        self, answered: str, expected: bool
    ) -> None:
        allowed = trio.run(
            ask_for_trial, answered, clock=MockClock(autojump_threshold=0)
        )
        self.assertEqual(allowed, expected)


class ProbeTest(TestCase):
    """A connection tells a crashed engine from a lost connection."""

    # Guards against sending a request on before the crash of its engine is
    # known, and against delaying one whose connection alone was lost.
    @params(
        (False, Clearance.TRIAL_ONLY, 0),
        (True, Clearance.GRANTED, 0),
        (None, Clearance.GRANTED, CONFIRMATION_SECONDS),
    )
    def test_probe_after_interruption(
        self, accepted: bool | None, expected: Clearance, delay: float
    ) -> None:
        clearance, waited = trio.run(
            interrupt, accepted, clock=MockClock(autojump_threshold=0)
        )
        self.assertIs(clearance, expected)
        if expected is Clearance.GRANTED:
            self.assertAlmostEqual(waited, delay, delta=2 * RECHECK_SECONDS)


async def interrupt(accepted: bool | None) -> tuple[Clearance, float]:
    """Break a run off; return its clearance then and how long it waited."""

    async def probe(address: str) -> bool | None:
        return accepted

    async with open_gate(probe) as gate:
        started_at = gate.context.timers.now()
        gate.record_interrupted(ENGINE, started_at)
        await gate.wait()
        now = gate.context.timers.now()
        return gate.suspects.judge(gate.digests, now), now - started_at


async def ask_for_trial(answered: str) -> bool:
    """Return whether a trial may begin after one of two engines crashed."""
    async with open_gate() as gate:
        state = gate.context.state
        timers = gate.context.timers
        failure = fail(ResultCode.UPSTREAM_UNREACHABLE, 'refused')
        state.record_failure('d1', failure, timers.now())
        await timers.pause(MAX_BACKOFF_SECONDS + 1)
        if answered == 'this instance':
            state.record_success('d1', timers.now())
        if answered == 'a peer':
            update = make_peer_update()._replace(recovered=['d1'])
            state.apply_peer_update(update, timers.now())
        return gate.may_begin_trial(SUSPECTS, timers.now())


@asynccontextmanager
async def open_gate(
    probe: ConnectionProbe | None = None,
) -> AsyncIterator[ClearanceGate]:
    """Make the gate of a request at an instance that knows two engines."""
    state = RelayState(make_settings())
    route = make_route(RequestKind.STREAM)
    state.apply_table(make_table(1, route), 'test')
    state.apply_upstream(ENGINE, 'test')
    state.apply_upstream(ENGINE._replace(name='d2', address='d2:1'), 'test')
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient() as client,
        AsyncExitStack() as stack,
    ):
        context = RelayContext(state, client, TargetDialect(), timers, probe)
        admitted = AdmittedRequest(
            request=make_arrival('r1', ModelRequest('m', 1, 1, ())),
            route=route,
            service='s',
            revision=1,
            deadline=timers.now() + 8,
            stack=stack,
        )
        yield ClearanceGate(context, admitted, Role.DECODE)
