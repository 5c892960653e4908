"""When a request with suspect segments may run as a trial."""

from contextlib import AsyncExitStack
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import ModelRequest, RequestKind, Role, Upstream
from cranberryrelay.relay._clearance import ClearanceGate
from cranberryrelay.relay._context import AdmittedRequest, RelayContext
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


async def ask_for_trial(answered: str) -> bool:
    """Return whether a trial may begin after one of two engines crashed."""
    state = RelayState(make_settings())
    route = make_route(RequestKind.STREAM)
    state.apply_table(make_table(1, route), 'test')
    for name in ('d1', 'd2'):
        engine = Upstream(
            name, 1, 's', f'{name}:1', 'a', 64, False, Role.DECODE
        )
        state.apply_upstream(engine, 'test')
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient() as client,
        AsyncExitStack() as stack,
    ):
        context = RelayContext(state, client, TargetDialect(), timers)
        admitted = AdmittedRequest(
            request=make_arrival('r1', ModelRequest('m', 1, 1, ())),
            route=route,
            service='s',
            revision=1,
            deadline=timers.now() + 8,
            stack=stack,
        )
        gate = ClearanceGate(context, admitted)
        failure = fail(ResultCode.UPSTREAM_UNREACHABLE, 'refused')
        state.record_failure('d1', failure, timers.now())
        await timers.pause(MAX_BACKOFF_SECONDS + 1)
        if answered == 'this instance':
            state.record_success('d1', timers.now())
        if answered == 'a peer':
            update = make_peer_update()._replace(recovered=['d1'])
            state.apply_peer_update(update, timers.now())
        return gate.may_begin_trial(SUSPECTS, timers.now())
