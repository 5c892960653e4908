"""Starts the components of an instance and serves until it is stopped."""

import random
from functools import partial
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
from cranberryrelay.relay._peer_connections import open_peers
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.relay._registration import keep_registered
from cranberryrelay.relay._requests import Dialect
from cranberryrelay.relay._role_controller import RoleController
from cranberryrelay.relay._settings import InstanceSettings
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._store_replica import Decoders, StoreReplica
from cranberryrelay.relay._store_tasks import make_store_tasks
from cranberryrelay.relay._supervision import SupervisedTask, Supervisor
from cranberryrelay.relay._upstream_call import make_upstream_client
from cranberryrelay.relay._upstream_reach import LOOK_SECONDS, ReachMonitor
from cranberryrelay.relay._watchers import KindWatcher, WatchCallbacks
from cranberryrelay.timing import TimerService, open_timer_service


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
    """Serve callers until ``stop`` is set, then finish running requests.

    An unexpected error ends the process only if it is one of the servers', such
    as an address that is in use. All other tasks are started again.
    """
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
        with open_peers(state, knowledge, timers) as peers:
            supervisor = Supervisor(state.telemetry, timers)
            for task in (
                *_make_duty_tasks(dependencies, peers),
                *_make_peer_tasks(peers),
                SupervisedTask('account', account.run),
                SupervisedTask('account in later eras', account.keep_written),
                SupervisedTask(
                    'settings', partial(_apply_settings, dependencies, state)
                ),
            ):
                nursery.start_soon(supervisor.keep_running, task)
            await serve_callers(tools, peers, stop)
            await account.write()
            nursery.cancel_scope.cancel()


async def _apply_settings(
    dependencies: RelayDependencies, state: RelayState
) -> None:
    async for settings in dependencies.new_settings:
        state.apply_settings(settings)


def _make_peer_tasks(peers: PeerProtocol) -> list[SupervisedTask]:
    reach = partial(monitor_reach, peers.state, peers.timers, probe_connection)
    return [
        SupervisedTask('messages', peers.receive),
        SupervisedTask('heartbeats', peers.run_heartbeats),
        SupervisedTask('requested heartbeats', peers.send_requested_heartbeats),
        SupervisedTask('reach of upstreams', reach),
    ]


def _make_duty_tasks(
    dependencies: RelayDependencies, peers: PeerProtocol
) -> list[SupervisedTask]:
    store = dependencies.store
    duties = Duties(peers)
    watchers = [
        SupervisedTask(f'watcher of {watcher.callbacks.kind}', watcher.run)
        for watcher in _make_watchers(dependencies, duties)
    ]
    return [
        *watchers,
        *make_store_tasks(store, dependencies.upstream_kind, duties),
        SupervisedTask(
            'roles', _make_role_controller(dependencies, duties).run
        ),
        SupervisedTask('registration', partial(keep_registered, store, peers)),
    ]


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
