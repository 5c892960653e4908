"""Shared fixtures of the relay tests."""

import random
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager, suppress

import httpx

from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import (
    ClientLimits,
    EngineTraits,
    IncomingRequest,
    InstanceSettings,
    ModelRequest,
    PlatformBounds,
    Rank,
    RequestKind,
    Route,
    RoutingTable,
    Service,
    ServiceShare,
    StorePosition,
    make_routing_table,
)
from cranberryrelay.relay._context import RelayContext
from cranberryrelay.relay._state import RelayState
from cranberryrelay.standins import FIRST_PORT, LAST_PORT, LOOPBACK
from cranberryrelay.timing import open_timer_service

BOUNDS = PlatformBounds(
    stable_seconds=3,
    drain_seconds=2,
    grace_seconds=8,
    note_spread_seconds=2,
    repeat_ratio=0.2,
    repeat_window_seconds=10,
    repeat_slack=54,
    lease_seconds=3,
    thaw_seconds=0.3,
    reuse_seconds=10,
    engines_check_fencing=True,
)


def at(revision: int) -> StorePosition:
    """Return a position in the only era of a store."""
    return StorePosition(1, revision)


def make_settings(
    name: str = 'front-a-1', domain: str = 'a'
) -> InstanceSettings:
    """Make the settings of an instance."""
    return InstanceSettings(
        name=name,
        domain=domain,
        ip='127.0.0.1',
        front_address='127.0.0.1:0',
        ready_address='127.0.0.1:0',
        peer_port=7380,
        forward_port=7395,
        store_url='http://127.0.0.1:1',
        seed_ips=(),
        domains=('a', 'b'),
        heartbeat_seconds=1.2,
        bounds=BOUNDS,
    )


def make_arrival(
    request_id: str,
    model_request: ModelRequest | None = None,
    path: str = '/a/1',
) -> IncomingRequest:
    """Make a POST request as received from a caller."""
    return IncomingRequest(
        request_id=request_id,
        method='POST',
        target=path,
        path=path,
        host='a.example',
        headers=((b'Host', b'a.example'),),
        body=b'',
        timeout_seconds=8,
        arrived_at=0,
        last_event_number=None,
        model_request=model_request,
    )


def make_route(kind: RequestKind, path_prefix: str = '/a/') -> Route:
    """Make a route to the service 's'."""
    return Route(
        name=path_prefix,
        host='a.example',
        path_prefix=path_prefix,
        kind=kind,
        timeout_seconds=8,
        target_seconds=0.25,
        rank=Rank.URGENT,
        shares=(ServiceShare('s', 1),),
        attempts_limit=1,
        resumable=False,
        event_gap_target_seconds=0.15,
    )


def make_table(revision: int, *routes: Route) -> RoutingTable:
    """Make a routing table with one engine service, 's'."""
    traits = EngineTraits(
        slots=64,
        kv_capacity_tokens=400_000,
        handle_ttl_seconds=5,
        role_change_seconds=3,
    )
    services = [Service('s', 100, traits)]
    return make_routing_table(revision, list(routes), services, ClientLimits())


def make_plain_table(
    revision: int, route: Route, limits: ClientLimits
) -> RoutingTable:
    """Make a routing table with one plain service, 's'."""
    services = [Service('s', 100, None)]
    return make_routing_table(revision, [route], services, limits)


def pick_port() -> int:
    """Return a free loopback port."""
    rng = random.SystemRandom()
    while True:
        port = rng.randint(FIRST_PORT, LAST_PORT)
        with (
            suppress(OSError),
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe,
        ):
            probe.bind((LOOPBACK, port))
            return port


@asynccontextmanager
async def open_mock_context(
    state: RelayState,
    respond: Callable[[httpx.Request], httpx.Response]
    | Callable[[httpx.Request], Coroutine[None, None, httpx.Response]],
) -> AsyncIterator[RelayContext]:
    """Open the services of an instance whose upstreams are mocked."""
    transport = httpx.MockTransport(respond)
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(transport=transport) as client,
    ):
        yield RelayContext(state, client, TargetDialect(), timers)
