"""Removals of upstreams that the instance which repairs others has not seen.

A fleet in virtual time. Guards against an instance that has read a listing, or
was repaired itself, and tells its peers that nothing was removed before.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay import KindListing, KindRecord, RecordChange
from cranberryrelay.relay._peer_messages import UpstreamSnapshot
from cranberryrelay.relay._store_replica import StoreReplica
from cranberryrelay.relay._watchers import POLL_SECONDS
from cranberryrelay.relay.tests.fixtures import at
from cranberryrelay.relay.tests.test_group_talk import (
    FakeNetwork,
    FakePeerNetwork,
    Fleet,
)
from cranberryrelay.relay.tests.test_store_replica import make_upstream_record
from cranberryrelay.timing import open_timer_service

DOMAINS = ('a', 'b', 'c')
DISCOVERY_SECONDS = 6.0
FIRST = 'front-a-00'

# Time within which a leaving upstream must be known everywhere: ``drain_ms``.
DRAIN_SECONDS = 2.0
STAYING = make_upstream_record('i-1', 3)
LEAVING = make_upstream_record('i-2', 4)
ADDED = make_upstream_record('i-3', 20)


class Case(NamedTuple):
    """A row: a fleet, and how its first instance gets to the last state."""

    name: str

    # Number of instances; above 16 there are hubs.
    instances: int

    # Makes the first instance know the state at revision 30.
    catch_up: Callable[[Fleet], Awaitable[None]]


def list_upstreams(
    replica: StoreReplica, revision: int, *records: KindRecord
) -> None:
    """Make an instance read a listing."""
    replica.apply_upstream_listing(KindListing(records, at(revision)))


async def restart(fleet: Fleet) -> None:
    """Restart the first instance, which then lists the upstreams."""
    timers = fleet.protocols[FIRST].timers
    fleet.kill(FIRST)
    await fleet.start(FIRST, timers)
    replica = fleet.protocols[FIRST].store_replica
    list_upstreams(replica, 30, STAYING)


async def list_again(fleet: Fleet) -> None:
    """Let the others alone see an upstream that comes and goes."""
    for name, protocol in fleet.protocols.items():
        if name != FIRST:
            added = RecordChange((ADDED,), (), at(20))
            protocol.store_replica.apply_upstream_changes(added)
    list_upstreams(fleet.protocols[FIRST].store_replica, 30, STAYING)


async def repaired_by_another(fleet: Fleet) -> None:
    """Let another instance that has listed again repair the first one."""
    last = list(fleet.protocols)[-1]
    for name, protocol in fleet.protocols.items():
        if name not in {FIRST, last}:
            added = RecordChange((ADDED,), (), at(20))
            protocol.store_replica.apply_upstream_changes(added)
    replica = fleet.protocols[last].store_replica
    list_upstreams(replica, 30, STAYING)
    repair = replica.make_upstream_repair(at(10))
    fleet.network.inboxes[FIRST].send_nowait((last, repair))
    fleet.network.partitioned.add(last)


CASES = tuple(
    Case(f'{catch_up.__name__}, {instances} instances', instances, catch_up)
    for catch_up in (restart, list_again, repaired_by_another)
    for instances in (3, 21)
)


@asynccontextmanager
async def open_fleet(
    network: FakeNetwork, instances: int
) -> AsyncIterator[Fleet]:
    """Run a fleet whose instances have listed two upstreams."""
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        fleet = Fleet(network, nursery)
        for idx in range(instances):
            domain = DOMAINS[idx % len(DOMAINS)]
            await fleet.start(f'front-{domain}-{idx:02d}', timers)
        for protocol in fleet.protocols.values():
            list_upstreams(protocol.store_replica, 10, STAYING, LEAVING)
        await trio.sleep(DISCOVERY_SECONDS)
        yield fleet
        nursery.cancel_scope.cancel()


async def run_case(case: Case) -> dict[str, tuple[str, ...]]:
    """Return the upstreams that the instances know in the end."""
    async with open_fleet(FakeNetwork(), case.instances) as fleet:
        await case.catch_up(fleet)
        await trio.sleep(DRAIN_SECONDS)
        return {
            name: tuple(protocol.state.fleet.upstreams)
            for name, protocol in fleet.protocols.items()
        }


class EarlierBuildNetwork(FakeNetwork):
    """Carries messages to instances that do not know snapshots."""

    def connect(self, name: str) -> FakePeerNetwork:
        """Return the peer network of one instance."""
        plain = super().connect(name)
        return EarlierBuildPeerNetwork(self, plain.inbox)


class EarlierBuildPeerNetwork(FakePeerNetwork):
    """Peer network of one instance."""

    def send(self, peer: str, address: str, sender: str, message: Any) -> bool:
        """Deliver a message, unless an earlier build would drop it."""
        if isinstance(message, UpstreamSnapshot):
            return True
        return super().send(peer, address, sender, message)


async def find_watchers() -> list[str]:
    """Return who watches the store three seconds after a hub's restart."""
    async with open_fleet(EarlierBuildNetwork(), 21) as fleet:
        await restart(fleet)
        for _ in range(6):
            fleet.watchers()
            await trio.sleep(POLL_SECONDS)
        return fleet.watchers()


class MissedRemovalTest(TestCase):
    """All instances stop using an upstream that was removed."""

    # Requests reached an upstream that had left, and were lost as it ended.
    @params(*((case,) for case in CASES))
    def test_removed_upstream_is_unknown(self, case: Case) -> None:
        clock = MockClock(autojump_threshold=0)
        known = trio.run(run_case, case, clock=clock)
        self.assertEqual(known, dict.fromkeys(known, (STAYING.name,)))

    # Members of a build before snapshots must not count as up to date.
    def test_members_of_an_earlier_build_watch_the_store(self) -> None:
        clock = MockClock(autojump_threshold=0)
        watchers = trio.run(find_watchers, clock=clock)
        domain = FIRST.rpartition('-')[0]
        members = [name for name in watchers if name.startswith(domain)]
        self.assertEqual(len(members), 7)
