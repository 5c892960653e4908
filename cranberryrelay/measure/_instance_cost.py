"""Measures the processor time of an instance by stage, as a real process.

The work is the same each time: stand-ins serve the store and the upstreams, and
callers of this process send a fixed number of requests. ``build`` names the
folder of another build of the relay, to measure it beside this one.
"""

import compileall
import tomllib
from collections.abc import Iterator
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final, NamedTuple

import httpx
import psutil
import trio

from cranberryrelay.soak import (
    CallerPool,
    RequestKind,
    Site,
    Target,
    open_caller,
    open_layout,
    open_site,
)
from cranberryrelay.timing import TimerService, open_timer_service

ENGINES: Final = 4
WORKERS: Final = 16
IDLE_SECONDS: Final = 5.0

# Instances begin to serve, exchange what they know, and then are calm.
SETTLE_SECONDS: Final = 3.0

# Requests of each kind that are sent before any are measured.
WARM_UP_REQUESTS: Final = 32
_MILLI: Final = 1000
_MEBI: Final = 1_048_576


class InstanceCost(NamedTuple):
    """What one instance costs, in milliseconds of processor time."""

    # From the start of the process until it is ready and calm.
    start_ms: float

    # A second without requests.
    idle_ms_per_second: float

    # A request that streams the events of an engine.
    stream_ms: float

    # A call of a plain service.
    call_ms: float

    # Resident memory after the requests, in MiB.
    memory_mib: float

    # Requests that did not succeed; the figures do not count if there are any.
    failed: int


async def measure_instance_cost(
    requests: int, instances: int, build: str
) -> str:
    """Return the cost of the first instance as a table."""
    with TemporaryDirectory() as name:
        cost = await run_instance(requests, instances, Path(name), Path(build))
    rows = (
        f'{requests} requests of each kind, {instances} instances',
        f'start             {cost.start_ms:8.1f} ms',
        f'idle, a second    {cost.idle_ms_per_second:8.2f} ms',
        f'model request     {cost.stream_ms:8.2f} ms',
        f'plain call        {cost.call_ms:8.2f} ms',
        f'resident memory   {cost.memory_mib:8.1f} MiB',
        f'failed requests   {cost.failed:8d}',
    )
    return '\n'.join(rows)


async def run_instance(
    requests: int, instances: int, folder: Path, build: Path
) -> InstanceCost:
    """Start a site and measure its first instance, stage by stage."""
    runs = folder / 'runs'
    runs.mkdir()
    with open_layout(folder, instances, ENGINES) as layout:
        async with (
            open_timer_service() as timers,
            open_site(layout, timers, find_command(build), (build,)) as site,
            open_caller(layout.instances[0]) as client,
        ):
            meter = Meter(site, client, timers)
            await timers.pause(SETTLE_SECONDS)
            return InstanceCost(
                start_ms=meter.read_ms(),
                idle_ms_per_second=await meter.measure_idle(),
                stream_ms=await meter.measure_requests(
                    RequestKind.TAG, requests
                ),
                call_ms=await meter.measure_requests(
                    RequestKind.READ, requests
                ),
                memory_mib=meter.process.memory_info().rss / _MEBI,
                failed=meter.count_failed(),
            )


def find_command(build: Path) -> tuple[str, ...]:
    """Compile a build, and return the module that it runs as it is deployed."""
    compileall.compile_dir(build / 'cranberryrelay', quiet=2)
    deployed = tomllib.loads((build / 'deploy' / 'system.toml').read_text())
    _, _, command = deployed['roles']['relay']['run'].partition(' -m ')
    return tuple(command.split())


class Meter:
    """Reads the processor time of the first instance of a site."""

    def __init__(
        self, site: Site, client: httpx.AsyncClient, timers: TimerService
    ) -> None:
        self.client = client
        self.timers = timers
        self.target = Target(site.layout.instances[0], 1, 0)
        child = site.instances[self.target.instance.name].process
        assert child is not None
        self.process = psutil.Process(child.pid)
        self.pool = CallerPool(1, timers)

    def read_ms(self) -> float:
        """Return the processor time since the start of the process."""
        times = self.process.cpu_times()
        return float(_MILLI * (times.user + times.system))

    async def measure_idle(self) -> float:
        """Return the processor time of a second without requests."""
        before = self.read_ms()
        await self.timers.pause(IDLE_SECONDS)
        return (self.read_ms() - before) / IDLE_SECONDS

    async def measure_requests(self, kind: RequestKind, count: int) -> float:
        """Return the processor time of a request of a kind."""
        await self.send_all(kind, WARM_UP_REQUESTS)
        before = self.read_ms()
        await self.send_all(kind, count)
        return (self.read_ms() - before) / count

    async def send_all(self, kind: RequestKind, count: int) -> None:
        """Send requests with several workers and wait for their answers."""
        remaining = iter(range(count))
        async with trio.open_nursery() as nursery:
            for _ in range(WORKERS):
                nursery.start_soon(self.send_some, kind, remaining)

    async def send_some(
        self, kind: RequestKind, remaining: Iterator[int]
    ) -> None:
        """Send requests one after another while some remain."""
        for _ in remaining:
            await self.pool.send(self.client, self.target, kind)

    def count_failed(self) -> int:
        """Return the number of requests that did not succeed."""
        return sum(
            not one.complete or one.status != httpx.codes.OK
            for one in self.pool.outcomes
        )
