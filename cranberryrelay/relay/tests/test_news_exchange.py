"""News that reaches instances whose links to others were cut for a while."""

from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay._crash_suspects import Clearance
from cranberryrelay.relay.tests.test_group_talk import FakeNetwork, Fleet
from cranberryrelay.timing import open_timer_service

DOMAINS = ('a', 'b', 'c')
CUT_OFF = 'front-b-01'
CUT_SECONDS = 6.0

# Time within which all instances hold a request back.
LEARN_SECONDS = 1.0
DEADLY = 'deadly'


class ReturningInstanceTest(TestCase):
    """An instance learns what it missed once its links are back."""

    # Guards against an instance that passes a refused request on because the
    # news came while its links were cut; with full mesh and with hubs.
    @params(7, 21)
    def test_instance_learns_suspects_after_a_cut(self, instances: int) -> None:
        clearance = trio.run(
            cut_during_news, instances, clock=MockClock(autojump_threshold=0)
        )
        self.assertIs(clearance, Clearance.REFUSED)


class RestartedInstanceTest(TestCase):
    """An instance that starts learns what the others know."""

    # Guards against a new process that passes a refused request on, with full
    # mesh and, for a member and for a hub, in a fleet with hubs.
    @params((7, 'front-b-01'), (21, 'front-b-04'), (21, 'front-b-01'))
    def test_instance_learns_suspects_at_its_start(
        self, instances: int, name: str
    ) -> None:
        clearance = trio.run(
            restart_after_news,
            instances,
            name,
            clock=MockClock(autojump_threshold=0),
        )
        self.assertIs(clearance, Clearance.REFUSED)


async def start_fleet(
    instances: int, network: FakeNetwork, nursery: trio.Nursery, timers: Any
) -> Fleet:
    """Start a fleet and let its instances discover each other."""
    fleet = Fleet(network, nursery)
    for idx in range(instances):
        domain = DOMAINS[idx % len(DOMAINS)]
        await fleet.start(f'front-{domain}-{idx:02d}', timers)
    await trio.sleep(CUT_SECONDS)
    return fleet


def crash_upstreams(fleet: Fleet, now: float) -> None:
    """Let one instance see a request crash two upstreams."""
    suspects = fleet.protocols['front-a-00'].state.crash_suspects
    for engine in ('e1', 'e2'):
        suspects.record_interrupted(engine, (DEADLY,), now)
        suspects.record_gone(engine)


async def restart_after_news(instances: int, name: str) -> Clearance:
    """Return how a restarted instance judges a request that others refuse."""
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        fleet = await start_fleet(instances, FakeNetwork(), nursery, timers)
        crash_upstreams(fleet, timers.now())
        await trio.sleep(CUT_SECONDS)
        fleet.kill(name)
        await fleet.start(name, timers)
        await trio.sleep(LEARN_SECONDS)
        judging = fleet.protocols[name].state.crash_suspects
        clearance = judging.judge((DEADLY,), timers.now())
        nursery.cancel_scope.cancel()
    return clearance


async def cut_during_news(instances: int) -> Clearance:
    """Return how the instance judges a request that others refuse."""
    network = FakeNetwork()
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        fleet = await start_fleet(instances, network, nursery, timers)
        network.partitioned.add(CUT_OFF)
        await trio.sleep(CUT_SECONDS)
        crash_upstreams(fleet, timers.now())
        await trio.sleep(CUT_SECONDS)
        network.partitioned.clear()
        await trio.sleep(LEARN_SECONDS)
        judging = fleet.protocols[CUT_OFF].state.crash_suspects
        clearance = judging.judge((DEADLY,), timers.now())
        nursery.cancel_scope.cancel()
    return clearance
