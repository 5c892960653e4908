"""What an instance believes after it was suspended, or heard nothing one way.

Load pattern, in virtual time: an instance is frozen for some seconds, or what
its peers send it is lost while they hear it. Guards against taking its own
absence for that of the others.
"""

from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay._crash_suspects import (
    CONFIRMATION_WINDOW_SECONDS,
    Clearance,
)
from cranberryrelay.relay._membership import LIVENESS_TIMEOUT_SECONDS
from cranberryrelay.relay._peer_protocol import HEARTBEAT_SECONDS
from cranberryrelay.relay.tests.test_news_exchange import (
    CUT_SECONDS,
    DEADLY,
    LEARN_SECONDS,
    crash_upstreams,
    start_fleet,
)
from cranberryrelay.relay.tests.test_out_of_step import LossyNetwork
from cranberryrelay.timing import open_timer_service

DEAF = 'front-b-01'
ENGINES = ('e1', 'e2')
FREEZE_SECONDS = 5.0

# Longer than several heartbeats after the thaw.
THAW_SECONDS = 0.5
SAMPLE_SECONDS = 0.005


async def lose_news_one_way(instances: int) -> Clearance:
    """Return how an instance judges a request after it heard nothing."""
    network = LossyNetwork()
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        fleet = await start_fleet(instances, network, nursery, timers)
        network.lost = {(name, DEAF) for name in fleet.protocols}
        await trio.sleep(CUT_SECONDS)
        crash_upstreams(fleet, timers.now())
        await trio.sleep(CUT_SECONDS)
        network.lost.clear()
        await trio.sleep(LEARN_SECONDS)
        suspects = fleet.protocols[DEAF].state.crash_suspects
        clearance = suspects.judge((DEADLY,), timers.now())
        nursery.cancel_scope.cancel()
    return clearance


async def count_after_freeze(instances: int, clock: MockClock) -> set[int]:
    """Return the numbers of live instances that are assumed after a freeze.

    All instances stand still, so that none hears the others meanwhile.
    """
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        network = LossyNetwork()
        fleet = await start_fleet(instances, network, nursery, timers)
        clock.jump(FREEZE_SECONDS)
        counts: set[int] = set()
        end = timers.now() + THAW_SECONDS
        while timers.now() < end:
            counts.update(
                protocol.state.live_instances
                for protocol in fleet.protocols.values()
            )
            await trio.sleep(SAMPLE_SECONDS)
        nursery.cancel_scope.cancel()
    return counts


async def count_after_death(instances: int, clock: MockClock) -> int:
    """Return the live instances after one died and others were suspended."""
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        network = LossyNetwork()
        fleet = await start_fleet(instances, network, nursery, timers)
        fleet.kill(DEAF)
        clock.jump(FREEZE_SECONDS)
        await trio.sleep(LIVENESS_TIMEOUT_SECONDS + THAW_SECONDS)
        live = fleet.protocols['front-a-00'].state.live_instances
        nursery.cancel_scope.cancel()
    return live


async def freeze_before_confirmation(clock: MockClock) -> Clearance:
    """Return how an instance judges a request that crashed two upstreams.

    It saw them break off, was suspended, and then learned that they had ended.
    """
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        fleet = await start_fleet(3, LossyNetwork(), nursery, timers)
        suspects = fleet.protocols[DEAF].state.crash_suspects
        for engine in ENGINES:
            suspects.record_interrupted(engine, (DEADLY,), timers.now())
        clock.jump(2 * CONFIRMATION_WINDOW_SECONDS)
        await trio.sleep(2 * HEARTBEAT_SECONDS)
        for engine in ENGINES:
            suspects.record_gone(engine)
        clearance = suspects.judge((DEADLY,), timers.now())
        nursery.cancel_scope.cancel()
    return clearance


class OneWayLossTest(TestCase):
    """An instance hears nothing for a while, but is heard."""

    # Guards against an instance that passes a refused request on, as its peers
    # do not know that it lost what they sent.
    @params(7, 21)
    def test_instance_learns_what_it_did_not_hear(self, instances: int) -> None:
        clock = MockClock(autojump_threshold=0)
        clearance = trio.run(lose_news_one_way, instances, clock=clock)
        self.assertIs(clearance, Clearance.REFUSED)


class FreezeTest(TestCase):
    """An instance was suspended."""

    # Guards against using the budgets of all instances after a freeze, as none
    # was heard meanwhile.
    @params(7, 21)
    def test_peers_still_count_after_a_freeze(self, instances: int) -> None:
        clock = MockClock(autojump_threshold=0)
        counts = trio.run(count_after_freeze, instances, clock, clock=clock)
        self.assertEqual(counts, {instances})

    # Guards against forgetting a crash whose engine was found gone only after
    # the freeze, and so against sending the request to more engines.
    def test_crash_is_confirmed_after_a_freeze(self) -> None:
        clock = MockClock(autojump_threshold=0)
        clearance = trio.run(freeze_before_confirmation, clock, clock=clock)
        self.assertIs(clearance, Clearance.REFUSED)

    # Guards against counting a peer that has ended for as long as the freeze.
    def test_peer_that_ended_is_noticed_after_a_freeze(self) -> None:
        clock = MockClock(autojump_threshold=0)
        self.assertEqual(trio.run(count_after_death, 7, clock, clock=clock), 6)
