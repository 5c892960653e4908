"""A whole deployment in one process, on embedded stand-ins."""

import socket
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import ExitStack, asynccontextmanager
from typing import Final, NamedTuple

import trio

from cranberryrelay.agreement import UpstreamSetting
from cranberryrelay.entry import serve_entry
from cranberryrelay.platform import ListedInstance
from cranberryrelay.settings import DEFAULT_ENGINE_SLOTS, Settings
from cranberryrelay.standins import (
    EngineSpeed,
    EngineStandIn,
    ServiceStandIn,
    StandIns,
    StoreStandIn,
    serve_standins,
)
from cranberryrelay.startup import make_incarnation
from cranberryrelay.steward import serve_steward
from cranberryrelay.wire import make_keys

LOOPBACK: Final = '127.0.0.1'


class Site(NamedTuple):
    """The composition of a deployment."""

    # Names of the failure domains.
    domains: tuple[str, ...]

    # Number of instances, spread over the domains.
    instances: int

    # Number of engines by cell.
    engines: dict[str, int]

    # Number of upstreams by service.
    services: dict[str, int]


SOFIA: Final = Site(
    domains=('sofia-1', 'sofia-2', 'sofia-3', 'sofia-4'),
    instances=3,
    engines={'newsroom': 6, 'desk': 4},
    services={'subscriptions': 2},
)


class RunningInstance(NamedTuple):
    """An instance of the deployment: its entry and its steward."""

    # Settings of the instance.
    settings: Settings

    # Stops the entry gracefully.
    stop_entry: trio.Event

    # Stops the steward gracefully.
    stop_steward: trio.Event

    # Set once both have stopped.
    stopped: trio.Event

    # Cancels both at once, without any clean-up between processes.
    kill: trio.CancelScope

    @property
    def url(self) -> str:
        """Return the URL to which callers send requests."""
        return f'http://{self.settings.entry_address}'


class Deployment(NamedTuple):
    """A running deployment."""

    # The embedded stand-ins of the platform and the upstreams.
    standins: StandIns

    # URL of the platform's object API.
    platform_url: str

    # The running instances.
    instances: list[RunningInstance]

    # Number of failure domains.
    domain_count: int


def find_free_ports(count: int) -> list[int]:
    """Find distinct free ports on the loopback interface."""
    with ExitStack() as stack:
        sockets = [
            stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            )
            for _ in range(count)
        ]
        for port_socket in sockets:
            port_socket.bind((LOOPBACK, 0))
        return [int(port_socket.getsockname()[1]) for port_socket in sockets]


def plan_deployment(
    site: Site, speed: EngineSpeed
) -> tuple[StandIns, list[Settings]]:
    """Build the stand-ins and the settings of a site."""
    upstream_count = sum(site.engines.values()) + sum(site.services.values())
    ports = iter(find_free_ports(1 + upstream_count + 2 * site.instances))
    platform_port = next(ports)
    upstreams = [
        *_place_upstreams(site, site.engines, 'engine', ports),
        *_place_upstreams(site, site.services, 'service', ports),
    ]
    peers = tuple(
        ListedInstance(
            f'instance-{number + 1}',
            site.domains[number % len(site.domains)],
            f'{LOOPBACK}:{next(ports)}',
        )
        for number in range(site.instances)
    )
    keys = make_keys()
    settings = [
        Settings(
            own_instance=peer,
            platform=f'http://{LOOPBACK}:{platform_port}',
            entry_address=f'{LOOPBACK}:{next(ports)}',
            steward_metrics_address='',
            domains=site.domains[: site.instances],
            peers=peers,
            upstreams=tuple(upstreams),
            keys=keys,
            engine_slots=DEFAULT_ENGINE_SLOTS,
        )
        for peer in peers
    ]
    standins = StandIns(
        StoreStandIn(peers),
        platform_port,
        {
            _parse_port(upstream): _make_engine(upstream, speed)
            for upstream in upstreams
            if upstream.sort == 'engine'
        },
        {
            _parse_port(upstream): ServiceStandIn(upstream.name)
            for upstream in upstreams
            if upstream.sort == 'service'
        },
    )
    return standins, settings


def _place_upstreams(
    site: Site, counts: Mapping[str, int], sort: str, ports: Iterator[int]
) -> list[UpstreamSetting]:
    return [
        UpstreamSetting(
            name=f'{cell}-{sort}-{number + 1}',
            sort=sort,
            cell=cell,
            address=f'{LOOPBACK}:{next(ports)}',
            domain=site.domains[number % len(site.domains)],
            checks_fencing=number % 2 == 0,
        )
        for cell, count in counts.items()
        for number in range(count)
    ]


def _make_engine(setting: UpstreamSetting, speed: EngineSpeed) -> EngineStandIn:
    engine = EngineStandIn(setting.name, speed)
    engine.switch_faults({'ignore_fencing': not setting.checks_fencing})
    return engine


def _parse_port(setting: UpstreamSetting) -> int:
    return int(setting.address.rpartition(':')[2])


@asynccontextmanager
async def open_deployment(
    site: Site, speed: EngineSpeed
) -> AsyncIterator[Deployment]:
    """Run a deployment until the context exits."""
    standins, all_settings = plan_deployment(site, speed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_standins, standins)
        running = [
            start_instance(settings, nursery) for settings in all_settings
        ]
        yield Deployment(
            standins=standins,
            platform_url=all_settings[0].platform,
            instances=running,
            domain_count=len(all_settings[0].domains),
        )
        nursery.cancel_scope.cancel()


def start_instance(
    settings: Settings, nursery: trio.Nursery
) -> RunningInstance:
    """Start the entry and the steward of an instance as tasks."""
    instance = RunningInstance(
        settings,
        trio.Event(),
        trio.Event(),
        trio.Event(),
        trio.CancelScope(),
    )
    nursery.start_soon(_run_instance, instance)
    return instance


async def _run_instance(instance: RunningInstance) -> None:
    incarnation = make_incarnation()
    with instance.kill:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                serve_steward,
                instance.settings,
                incarnation,
                instance.stop_steward,
            )
            await serve_entry(
                instance.settings, incarnation, instance.stop_entry
            )
            instance.stop_steward.set()
    instance.stopped.set()
