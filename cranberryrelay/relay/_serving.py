"""Starts the components of an instance and serves until it is stopped."""

import logging
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

import trio

from cranberryrelay.relay._account_writer import AccountWriter
from cranberryrelay.relay._connection_probe import (
    ConnectionProbe,
    probe_connection,
)
from cranberryrelay.relay._context import RelayContext
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._front_app import (
    make_forward_app,
    make_front_app,
    make_readiness_app,
)
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
from cranberryrelay.serving import HttpServerOptions, serve_http
from cranberryrelay.timing import TimerService, open_timer_service
from cranberryrelay.wire import (
    CurveKeys,
    make_codec,
    open_context,
    open_peer_network,
)

# Time for the load balancer to stop sending requests: it checks readiness once
# a second and removes the instance after two failed checks.
DEREGISTRATION_SECONDS: Final = 2.5

# Part of the grace after SIGTERM reserved for the last bytes and the exit.
SHUTDOWN_MARGIN_SECONDS: Final = 1.2
_LOG: Final = logging.getLogger('cranberryrelay.relay')


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
            await _serve_callers(tools, peers, stop)
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


async def _serve_callers(
    tools: RelayContext, peers: PeerProtocol, stop: trio.Event
) -> None:
    settings = tools.state.settings
    grace_seconds = settings.bounds.grace_seconds
    drain_seconds = (
        grace_seconds - DEREGISTRATION_SECONDS - SHUTDOWN_MARGIN_SECONDS
    )
    trigger = DrainTrigger(tools, peers, stop)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serve_http,
            make_readiness_app(tools),
            HttpServerOptions(
                settings.ready_address,
                drain_seconds,
                tools.state.idle_seconds,
            ),
            trio.sleep_forever,
        )
        async with trio.open_nursery() as draining:
            for app, address in (
                (make_front_app(tools), settings.front_address),
                (
                    make_forward_app(tools),
                    f'{settings.ip}:{settings.forward_port}',
                ),
            ):
                options = HttpServerOptions(
                    address, drain_seconds, tools.state.idle_seconds
                )
                draining.start_soon(serve_http, app, options, trigger.wait)
            await trigger.run()
        nursery.cancel_scope.cancel()


class DrainTrigger:
    """Delays the server's shutdown until the load balancer has reacted.

    After the trigger the HTTP server closes idle connections, and running
    requests may end within the rest of the grace.
    """

    def __init__(
        self, tools: RelayContext, peers: PeerProtocol, stop: trio.Event
    ) -> None:
        self.tools = tools
        self.peers = peers
        self.stop = stop
        self.reached = trio.Event()

    async def wait(self) -> None:
        """Return once a server must stop accepting requests."""
        await self.reached.wait()

    async def run(self) -> None:
        """Wait for the stop, announce it, and let the balancer react."""
        await self.stop.wait()
        state = self.tools.state
        state.draining = True
        self.peers.send_farewell()
        _LOG.info('draining', extra={'active': len(state.active)})
        await self.tools.timers.pause(DEREGISTRATION_SECONDS)
        now = self.tools.timers.now()
        unfinished = [
            (one.path, round(now - one.started_at, 3))
            for one in state.active.values()
        ]
        _LOG.info('stops accepting requests', extra={'left': unfinished})
        self.reached.set()
