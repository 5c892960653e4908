"""A store that comes back from an older copy of its records.

Guards against taking a lower revision for an older state: after a restore,
revisions are given out again.
"""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.platform import UPSTREAM_KIND, TargetStore
from cranberryrelay.relay import explain_request, read_archived_note
from cranberryrelay.relay._account_writer import AccountWriter
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._note_archive import NoteArchive
from cranberryrelay.relay._peer_messages import NoteShare, UpstreamShare
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay._registration import INSTANCE_KIND, keep_registered
from cranberryrelay.relay._store_replica import StoreReplica
from cranberryrelay.relay._watchers import KindWatcher, WatchCallbacks
from cranberryrelay.relay.tests.test_store_replica import (
    make_note,
    make_replica,
)
from cranberryrelay.standins import TargetStoreStandIn, make_target_store_app
from cranberryrelay.timing import TimerService, open_timer_service

SETTLE_SECONDS = 3.0


class Scene(NamedTuple):
    """A store and one instance that watches it."""

    store: TargetStoreStandIn
    client: TargetStore
    replica: StoreReplica
    timers: TimerService
    nursery: trio.Nursery


def put_engine(
    store: TargetStoreStandIn,
    name: str,
    state: str = 'ready',
    report_number: int = 1,
) -> None:
    """Write the entry of an engine."""
    value = {
        'service': 's',
        'address': '10.0.0.9:8080',
        'zone': 'a',
        'slots': 6,
        'state': state,
        'born': 17,
        'sequence': report_number,
    }
    store.put(UPSTREAM_KIND, name, value)


def put_other_records(store: TargetStoreStandIn, count: int) -> None:
    """Advance the store's revision."""
    for idx in range(count):
        store.put('other', str(idx), {})


@asynccontextmanager
async def open_scene() -> AsyncIterator[Scene]:
    """Open a store with an instance that watches the upstreams."""
    store = TargetStoreStandIn()
    app: Any = make_target_store_app(store)
    transport = httpx.ASGITransport(app)
    async with (
        httpx.AsyncClient(transport=transport, base_url='http://s') as http,
        open_timer_service() as timers,
        trio.open_nursery() as nursery,
    ):
        scene = Scene(store, TargetStore(http), make_replica(), timers, nursery)
        yield scene
        nursery.cancel_scope.cancel()


def start_watcher(
    scene: Scene, replica: StoreReplica, needs_watch: Callable[[], bool]
) -> None:
    """Let an instance list the upstreams, then watch while it needs to."""
    callbacks = WatchCallbacks(
        UPSTREAM_KIND,
        replica.apply_upstream_listing,
        replica.apply_upstream_changes,
        lambda kind, reachable: None,
        needs_watch,
        float,
    )
    watcher = KindWatcher(
        scene.client, callbacks, scene.timers, random.Random(1)
    )
    scene.nursery.start_soon(watcher.run)


def read_fleet(replica: StoreReplica) -> dict[str, bool]:
    """Return whether each known upstream is leaving, by name."""
    upstreams = replica.state.fleet.upstreams.values()
    return {one.name: one.leaving for one in upstreams}


async def engine_that_leaves_after_the_restore(scene: Scene) -> None:
    """Report an engine as leaving at a revision given out again."""
    copied = scene.store.copy()
    put_other_records(scene.store, 20)
    put_engine(scene.store, 'i-1', report_number=2)
    start_watcher(scene, scene.replica, lambda: True)
    await trio.sleep(SETTLE_SECONDS)
    scene.store.restore(copied)
    put_engine(scene.store, 'i-1', 'draining', 3)
    await trio.sleep(SETTLE_SECONDS)
    assert read_fleet(scene.replica) == {'i-1': True}


async def engine_that_the_copy_lacks(scene: Scene) -> None:
    """Lose an engine that started after the copy."""
    put_engine(scene.store, 'i-1')
    copied = scene.store.copy()
    put_other_records(scene.store, 20)
    put_engine(scene.store, 'i-2')
    start_watcher(scene, scene.replica, lambda: True)
    await trio.sleep(SETTLE_SECONDS)
    scene.store.restore(copied)
    await trio.sleep(SETTLE_SECONDS)
    assert read_fleet(scene.replica) == {'i-1': False}


async def engine_removed_after_the_restore(scene: Scene) -> None:
    """Remove an engine at a revision given out again."""
    put_engine(scene.store, 'i-1')
    put_engine(scene.store, 'i-2')
    copied = scene.store.copy()
    put_other_records(scene.store, 20)
    put_engine(scene.store, 'i-2', report_number=2)
    start_watcher(scene, scene.replica, lambda: True)
    await trio.sleep(SETTLE_SECONDS)
    scene.store.restore(copied)
    await trio.sleep(SETTLE_SECONDS)
    scene.store.remove(UPSTREAM_KIND, 'i-2')
    await trio.sleep(SETTLE_SECONDS)
    assert read_fleet(scene.replica) == {'i-1': False}


async def revision_that_is_reached_again(scene: Scene) -> None:
    """Resume a watch at a lost revision that the store reached again."""
    put_engine(scene.store, 'i-1')
    copied = scene.store.copy()
    put_other_records(scene.store, 20)
    watching = [False]
    start_watcher(scene, scene.replica, lambda: watching[0])
    await trio.sleep(SETTLE_SECONDS)
    scene.store.restore(copied)
    put_engine(scene.store, 'i-1', 'draining', 2)
    put_other_records(scene.store, 40)
    watching[0] = True
    await trio.sleep(SETTLE_SECONDS)
    put_other_records(scene.store, 1)
    put_engine(scene.store, 'i-2')
    await trio.sleep(SETTLE_SECONDS)
    assert read_fleet(scene.replica) == {'i-1': True, 'i-2': False}


async def engine_that_left_before_the_restore(scene: Scene) -> None:
    """Restore the entries of engines that have left or are leaving."""
    for name in ('i-1', 'i-2', 'i-3'):
        put_engine(scene.store, name, report_number=4)
    copied = scene.store.copy()
    put_engine(scene.store, 'i-1', 'draining', 5)
    put_engine(scene.store, 'i-2', 'draining', 5)
    start_watcher(scene, scene.replica, lambda: True)
    await trio.sleep(SETTLE_SECONDS)
    scene.store.remove(UPSTREAM_KIND, 'i-2')
    scene.store.remove(UPSTREAM_KIND, 'i-3')
    await trio.sleep(SETTLE_SECONDS)
    assert read_fleet(scene.replica) == {'i-1': True}
    scene.store.restore(copied)
    await trio.sleep(SETTLE_SECONDS)
    assert read_fleet(scene.replica) == {'i-1': True}
    put_engine(scene.store, 'i-3', report_number=6)
    await trio.sleep(SETTLE_SECONDS)
    assert read_fleet(scene.replica) == {'i-1': True, 'i-3': False}


async def peer_with_the_lost_history(scene: Scene) -> None:
    """Repair a peer that knows only the lost history, not the reverse."""
    put_engine(scene.store, 'i-1')
    copied = scene.store.copy()
    put_other_records(scene.store, 20)
    put_engine(scene.store, 'i-2')
    peer = make_replica()
    watching = [True]
    start_watcher(scene, scene.replica, lambda: True)
    start_watcher(scene, peer, lambda: watching[0])
    await trio.sleep(SETTLE_SECONDS)
    watching[0] = False
    scene.store.restore(copied)
    put_engine(scene.store, 'i-1', 'draining', 2)
    await trio.sleep(SETTLE_SECONDS)
    share = peer.make_upstream_repair(scene.replica.upstream_position)
    assert isinstance(share, UpstreamShare)
    scene.replica.apply_upstream_share(share)
    assert read_fleet(scene.replica) == {'i-1': True}
    assert scene.replica.upstream_position > peer.upstream_position
    share = scene.replica.make_upstream_repair(peer.upstream_position)
    assert isinstance(share, UpstreamShare)
    peer.apply_upstream_share(share)
    assert read_fleet(peer) == {'i-1': True}
    assert scene.replica.upstream_position == peer.upstream_position


async def registration_that_the_copy_lacks(scene: Scene) -> None:
    """Lose the record by which new instances find this one."""
    copied = scene.store.copy()
    network: Any = None
    protocol = PeerProtocol(
        scene.replica.state, scene.replica, network, scene.timers
    )
    start_watcher(scene, scene.replica, lambda: True)
    scene.nursery.start_soon(keep_registered, scene.client, protocol)
    await trio.sleep(SETTLE_SECONDS)
    scene.store.restore(copied)
    await trio.sleep(SETTLE_SECONDS)
    assert (INSTANCE_KIND, protocol.name) in scene.store.records


async def account_that_the_copy_lacks(scene: Scene) -> None:
    """Lose account segments that the store acknowledged."""
    state = scene.replica.state
    writer = AccountWriter(
        state, scene.client, scene.timers, 'a', scene.replica.known_era
    )
    start_watcher(scene, scene.replica, lambda: True)
    scene.nursery.start_soon(writer.keep_written)
    state.account_buffer.add('r1', 3)
    await writer.write()
    copied = scene.store.copy()
    for request_id in ('r2', 'r3'):
        state.account_buffer.add(request_id, 4)
        await writer.write()
    await trio.sleep(SETTLE_SECONDS)
    scene.store.restore(copied)
    await trio.sleep(SETTLE_SECONDS)
    for request_id in ('r1', 'r2', 'r3'):
        found = await explain_request(scene.client, request_id)
        assert found.is_ok(), found
    unknown = await explain_request(scene.client, 'r4')
    assert 'era 2' in unknown.unwrap_err().detail


async def notes_that_the_copy_lacks(scene: Scene) -> None:
    """Lose archived release notes."""
    copied = scene.store.copy()
    network: Any = None
    protocol = PeerProtocol(
        scene.replica.state, scene.replica, network, scene.timers
    )
    archive = NoteArchive(scene.client, Duties(protocol), scene.timers)
    start_watcher(scene, scene.replica, lambda: True)
    scene.nursery.start_soon(archive.run)
    for revision in (5, 9):
        scene.replica.apply_note_share(NoteShare(make_note(revision)))
        await trio.sleep(SETTLE_SECONDS)
    scene.store.restore(copied)
    await trio.sleep(SETTLE_SECONDS)
    for revision in (5, 9):
        note = await read_archived_note(scene.client, revision)
        assert note.unwrap()['version'] == revision


async def run_scene(scenario: Callable[[Scene], Awaitable[None]]) -> None:
    """Run a scenario against a new store."""
    async with open_scene() as scene:
        await scenario(scene)


class RestoredStoreTest(TestCase):
    """What the store says after a restore replaces what it said before."""

    @params(
        engine_that_leaves_after_the_restore,
        engine_that_the_copy_lacks,
        engine_removed_after_the_restore,
        revision_that_is_reached_again,
        engine_that_left_before_the_restore,
        peer_with_the_lost_history,
    )
    def test_upstreams_follow_the_restored_store(
        self, scenario: Callable[[Scene], Awaitable[None]]
    ) -> None:
        trio.run(run_scene, scenario, clock=MockClock(autojump_threshold=0))

    # Records of this instance that the store acknowledged and lost.
    @params(
        registration_that_the_copy_lacks,
        account_that_the_copy_lacks,
        notes_that_the_copy_lacks,
    )
    def test_lost_records_are_written_again(
        self, scenario: Callable[[Scene], Awaitable[None]]
    ) -> None:
        trio.run(run_scene, scenario, clock=MockClock(autojump_threshold=0))
