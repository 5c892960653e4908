"""Starts the components of an instance and serves until it is stopped."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import trio

from cranberryrelay.relay._account_writer import AccountWriter
from cranberryrelay.relay._caller_servers import serve_callers
from cranberryrelay.relay._connection_probe import (
    ConnectionProbe,
    probe_connection,
)
from cranberryrelay.relay._context import RelayContext
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._order_lease import OrderLease
from cranberryrelay.relay._orders import EngineControl
from cranberryrelay.relay._peer_messages import PEER_MESSAGE_TYPES
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.relay._registration import keep_registered
from cranberryrelay.relay._requests import Dialect
from cranberryrelay.relay._role_controller import RoleController
from cranberryrelay.relay._settings import InstanceSettings
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._store_replica import Decoders, StoreReplica
from cranberryrelay.relay._store_tasks import start_store_tasks
from cranberryrelay.relay._upstream_call import make_upstream_client
from cranberryrelay.relay._upstream_reach import LOOK_SECONDS, ReachMonitor
from cranberryrelay.relay._watchers import KindWatcher, WatchCallbacks
from cranberryrelay.timing import TimerService, open_timer_service
from cranberryrelay.wire import (
    CurveKeys,
    make_codec,
    open_context,
    open_peer_network,
)


class RelayDependencies(NamedTuple):
    """Settings and platform adapters that an instance runs with."""

    # Settings of the instance at its start.
    settings: InstanceSettings

    # Client of the platform's store.
    store: RecordStore

    # Client for reports of engines and orders to them.
    control: EngineControl

    # Translation between the platform's headers and the relay's.
    dialect: Dialect

    # Decoders of the values in the store.
    decoders: Decoders

    # Kind of the records that hold release notes.
    note_kind: str

    # Kind of the records that name upstreams.
    upstream_kind: str

    # Identifier of this start of the process, different at each start.
    incarnation: str

    # Receives the settings each time they are reloaded.
    new_settings: trio.MemoryReceiveChannel[InstanceSettings]


async def serve_relay(
    dependencies: RelayDependencies, stop: trio.Event
) -> None:
    """Serve callers until ``stop`` is set, then finish running requests."""
    state = RelayState(dependencies.settings)
    state.start_check.begin()
    state.stream_versions.begin()
    knowledge = StoreReplica(state, dependencies.decoders)
    async with (
        open_timer_service() as timers,
        make_upstream_client() as client,
        trio.open_nursery() as nursery,
    ):
        tools = RelayContext(
            state, client, dependencies.dialect, timers, probe_connection
        )
        account = AccountWriter(
            state,
            dependencies.store,
            timers,
            dependencies.incarnation,
            knowledge.known_era,
        )
        with _open_peers(state, knowledge, timers) as peers:
            duties = Duties(peers)
            for watcher in _make_watchers(dependencies, duties):
                nursery.start_soon(watcher.run)
            _start_peer_tasks(nursery, peers)
            nursery.start_soon(account.run)
            nursery.start_soon(account.keep_written)
            nursery.start_soon(_apply_settings, dependencies, state)
            nursery.start_soon(_make_role_controller(dependencies, duties).run)
            start_store_tasks(
                nursery, dependencies.store, dependencies.upstream_kind, duties
            )
            nursery.start_soon(keep_registered, dependencies.store, peers)
            await serve_callers(tools, peers, stop)
            await account.write()
            nursery.cancel_scope.cancel()


async def _apply_settings(
    dependencies: RelayDependencies, state: RelayState
) -> None:
    async for settings in dependencies.new_settings:
        state.apply_settings(settings)


def _start_peer_tasks(nursery: trio.Nursery, peers: PeerProtocol) -> None:
    nursery.start_soon(peers.receive)
    nursery.start_soon(peers.run_heartbeats)
    nursery.start_soon(peers.send_requested_heartbeats)
    nursery.start_soon(
        monitor_reach, peers.state, peers.timers, probe_connection
    )


async def monitor_reach(
    state: RelayState, timers: TimerService, probe: ConnectionProbe
) -> None:
    """Keep the reach of upstreams up to date until cancelled."""
    monitor = ReachMonitor(state.reach, state.backlog, probe, random.Random())
    async for now in timers.subscribe(LOOK_SECONDS):
        if not monitor.is_check_due(now):
            continue
        upstreams = state.fleet.upstreams.values()
        if await monitor.check(upstreams, now):
            if not state.reach.cut_off:
                state.fleet.end_backoffs()
            state.request_heartbeat()


@contextmanager
def _open_peers(
    state: RelayState, knowledge: StoreReplica, timers: TimerService
) -> Iterator[PeerProtocol]:
    settings = state.settings
    with (
        open_context() as context,
        open_peer_network(
            settings.name,
            f'{settings.ip}:{settings.peer_port}',
            context,
            CurveKeys(),
            make_codec(list(PEER_MESSAGE_TYPES)),
        ) as network,
    ):
        yield PeerProtocol(state, knowledge, network, timers)


def _make_role_controller(
    dependencies: RelayDependencies, duties: Duties
) -> RoleController:
    peers = duties.protocol
    lease = OrderLease(
        dependencies.store,
        peers.timers,
        dependencies.settings.name,
        dependencies.settings.bounds.lease_seconds,
    )
    return RoleController(
        peers.state, duties, lease, dependencies.control, peers.timers
    )


def _make_watchers(
    dependencies: RelayDependencies, duties: Duties
) -> list[KindWatcher]:
    peers = duties.protocol
    knowledge = peers.store_replica
    rng = random.Random(dependencies.incarnation)
    kinds = (
        (
            dependencies.note_kind,
            knowledge.apply_note_listing,
            knowledge.apply_note_changes,
        ),
        (
            dependencies.upstream_kind,
            knowledge.apply_upstream_listing,
            knowledge.apply_upstream_changes,
        ),
    )
    callbacks = [
        WatchCallbacks(
            *kind,
            peers.state.record_store_contact,
            duties.needs_watch,
            duties.batch_seconds,
        )
        for kind in kinds
    ]
    return [
        KindWatcher(dependencies.store, one, peers.timers, rng)
        for one in callbacks
    ]
