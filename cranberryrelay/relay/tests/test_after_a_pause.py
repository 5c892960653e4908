"""What an instance believes after it heard nothing for a while.

Load pattern, in virtual time: what its peers send an instance is lost while
they hear it.
"""

from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay._crash_suspects import Clearance
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


class OneWayLossTest(TestCase):
    """An instance hears nothing for a while, but is heard."""

    # Guards against an instance that passes a refused request on, as its peers
    # do not know that it lost what they sent.
    @params(7, 21)
    def test_instance_learns_what_it_did_not_hear(self, instances: int) -> None:
        clock = MockClock(autojump_threshold=0)
        clearance = trio.run(lose_news_one_way, instances, clock=clock)
        self.assertIs(clearance, Clearance.REFUSED)
