"""The processes of a soak, the links between them, and the store's content."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from types import MappingProxyType
from typing import Any, Final

import httpx
import trio
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAM_KIND,
    TargetStore,
    open_target_store,
)
from cranberryrelay.relay import KindRecord
from cranberryrelay.soak._child import Child
from cranberryrelay.soak._evidence import Disturbance, Leaving, NoteSent
from cranberryrelay.soak._layout import (
    InstancePlace,
    Layout,
    UpstreamPlace,
    make_entry,
    make_note,
    write_boot,
)
from cranberryrelay.soak._proxy import LoopbackProxy, open_proxy
from cranberryrelay.standins import LOOPBACK
from cranberryrelay.timing import TimerService

# Patience with starts and writes on a busy machine, in seconds.
PATIENCE_SECONDS: Final = 120.0
RETRY_SECONDS: Final = 0.2
RELAY_COMMAND: Final = ('cranberryrelay.relay_program', 'run')
STANDINS_MODULE: Final = 'cranberryrelay.standins.target_program'

# Steps between versions of the note, as the platform's are uneven.
VERSION_STEP: Final = 3
_BOOT_VARIABLE: Final = 'CRANBERRYRELAY_BOOT'


class Site:
    """What runs; the soak's faults change it."""

    def __init__(
        self, layout: Layout, timers: TimerService, store: TargetStore
    ) -> None:
        self.layout = layout
        self.timers = timers
        self.store = store
        self.instances: dict[str, Child] = {}
        self.upstreams: dict[str, Child] = {}
        self.store_links: dict[str, LoopbackProxy] = {}
        self.caller_links: dict[str, LoopbackProxy] = {}
        self.upstream_links: dict[str, LoopbackProxy] = {}
        self.disturbances: list[Disturbance] = []
        self.notes: list[NoteSent] = []
        self.leavings: list[Leaving] = []
        self.born = 1

    def version(self) -> int:
        """Return the newest version of the note that was acknowledged."""
        return self.notes[-1].version if self.notes else 0

    async def put_note(self) -> None:
        """Write the next version of the note."""
        version = self.version() + VERSION_STEP
        sent_at = self.timers.utc()
        await self.put(
            CONFIGURATION_KIND, CONFIGURATION_NAME, make_note(version)
        )
        self.notes.append(NoteSent(version, sent_at, self.timers.utc()))

    async def put_upstream(
        self, place: UpstreamPlace, state: str = 'ready'
    ) -> None:
        """Write the entry of an upstream."""
        entry = make_entry(place, state, self.born)
        await self.put(UPSTREAM_KIND, place.name, entry)

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Write a record, again until the store has acknowledged it.

        A busy machine may keep an answer longer than a call may take, and
        faults that overlap may write the same entry.
        """
        with trio.fail_after(PATIENCE_SECONDS):
            while isinstance(await self._try_put(kind, name, value), Err):
                await self.timers.pause(RETRY_SECONDS)

    async def _try_put(
        self, kind: str, name: str, value: Any
    ) -> Result[KindRecord, Failure]:
        found = await self.store.read(kind, name)
        if isinstance(found, Ok):
            record = found.unwrap()._replace(value=value)
            return await self.store.replace(kind, record)
        if found.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
            return await self.store.create(kind, name, value)
        return found

    async def wait_ready(self, place: InstancePlace) -> None:
        """Wait until an instance says that it is ready."""
        url = f'http://{place.ip}:{place.ready_port}/'
        async with httpx.AsyncClient(trust_env=False) as client:
            with trio.fail_after(PATIENCE_SECONDS):
                while not await _answers(client, url):
                    await self.timers.pause(RETRY_SECONDS)


async def _answers(client: httpx.AsyncClient, url: str) -> bool:
    try:
        response = await client.get(url)
    except httpx.HTTPError:
        return False
    return response.is_success


@asynccontextmanager
async def open_site(
    layout: Layout, timers: TimerService, relay: tuple[str, ...]
) -> AsyncIterator[Site]:
    """Start the processes; end those that still run at the end."""
    url = f'http://{LOOPBACK}:{layout.store_port}'
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(open_target_store(url))
        site = Site(layout, timers, store)
        stack.push_async_callback(_end_all, site)
        await _start_upstreams(site, stack)
        for place in layout.instances:
            await _start_instance(site, place, relay, stack)
        for place in layout.instances:
            await site.wait_ready(place)
        yield site


async def _start_upstreams(site: Site, stack: AsyncExitStack) -> None:
    layout = site.layout
    port = str(layout.store_port)
    child = _make_child(layout, 'store', [STANDINS_MODULE, 'store', port])
    site.upstreams['store'] = child
    await child.start()
    for place in layout.upstreams:
        command = [
            STANDINS_MODULE,
            'upstream',
            place.name,
            place.role,
            str(place.port),
            str(layout.folder / 'runs' / place.name),
        ]
        child = _make_child(layout, place.name, command)
        site.upstreams[place.name] = child
        await child.start()
        target = (LOOPBACK, place.port)
        site.upstream_links[place.name] = await stack.enter_async_context(
            open_proxy(place.proxy_port, target, LOOPBACK)
        )
    await wait_port(layout.store_port, site.timers)
    await site.put_note()
    for place in layout.upstreams:
        await wait_port(place.port, site.timers)
        await site.put_upstream(place)


async def _start_instance(
    site: Site,
    place: InstancePlace,
    relay: tuple[str, ...],
    stack: AsyncExitStack,
) -> None:
    layout = site.layout
    boot = write_boot(layout, place)
    child = Child(
        place.name,
        list(relay),
        layout.folder / f'{place.name}.log',
        MappingProxyType({_BOOT_VARIABLE: str(boot)}),
    )
    site.instances[place.name] = child
    site.store_links[place.name] = await stack.enter_async_context(
        open_proxy(place.store_port, (LOOPBACK, layout.store_port), LOOPBACK)
    )
    site.caller_links[place.name] = await stack.enter_async_context(
        open_proxy(place.caller_port, (place.ip, place.front_port), LOOPBACK)
    )
    await child.start()


def _make_child(layout: Layout, name: str, command: list[str]) -> Child:
    return Child(name, command, layout.folder / f'{name}.log')


async def wait_port(port: int, timers: TimerService) -> None:
    """Wait until a port of loopback takes connections."""
    with trio.fail_after(PATIENCE_SECONDS):
        while not await _connects(port):
            await timers.pause(RETRY_SECONDS)


async def _connects(port: int) -> bool:
    try:
        stream = await trio.open_tcp_stream(LOOPBACK, port)
    except OSError:
        return False
    await stream.aclose()
    return True


async def _end_all(site: Site) -> None:
    with trio.CancelScope(shield=True):
        for child in (*site.instances.values(), *site.upstreams.values()):
            if child.is_running():
                await child.kill()
