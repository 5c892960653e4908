"""The steward's sockets, store calls and orders around its decisions.

One task owns the decisions and takes events from one channel.  Calls run
in tasks of their own and send their answers to that channel.
"""

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import singledispatchmethod
from typing import Any, Final, NamedTuple

import httpx
import trio

from cranberryrelay.agreement import (
    Answer,
    AskLoad,
    GiveOrder,
    InstancesListed,
    ListInstances,
    LoadAnswered,
    LoadNotes,
    NotesLoaded,
    OrderAnswered,
    OrderOutcome,
    ReadDone,
    SendPeer,
    StoreRead,
    StoreWrite,
    UpstreamLoad,
    WriteDone,
    instance_of,
    load_notes,
)
from cranberryrelay.platform import ObjectApi
from cranberryrelay.records import encode_record
from cranberryrelay.settings import Settings
from cranberryrelay.steward._core import Received, StewardCore
from cranberryrelay.timing import TimerService
from cranberryrelay.wire import PeerNetwork

TICK_SECONDS: Final = 0.1
ORDER_TIMEOUT_SECONDS: Final = 5.0
LOAD_TIMEOUT_SECONDS: Final = 0.4
LEAVE_SECONDS: Final = 5.0
INBOX_LIMIT: Final = 2000
_LOG: Final = logging.getLogger('cranberryrelay.steward')


class Tick(NamedTuple):
    """Time has passed."""


class Leave(NamedTuple):
    """The process is to stop."""


class StewardShell:
    """Runs one steward."""

    def __init__(
        self,
        core: StewardCore,
        api: ObjectApi,
        network: PeerNetwork,
        timers: TimerService,
        client: httpx.AsyncClient,
        nursery: trio.Nursery,
    ) -> None:
        self.core = core
        self.api = api
        self.network = network
        self.timers = timers
        self.client = client
        self.nursery = nursery
        sender, receiver = trio.open_memory_channel[Any](INBOX_LIMIT)
        self.outside = sender
        self.inbox = receiver
        self.left = trio.Event()
        self.store_calls = 0

    async def run(self) -> None:
        """Take events until the steward has left."""
        self.nursery.start_soon(self._forward_ticks)
        self.nursery.start_soon(self._forward_frames)
        async for event in self.inbox:
            for effect in self._decide(event):
                self.perform(effect)
            if self.core.leaving and self.core.has_left():
                break
        self.left.set()

    async def leave(self) -> None:
        """Release what is held and wait until that is done."""
        await self.outside.send(Leave())
        with trio.move_on_after(LEAVE_SECONDS):
            await self.left.wait()

    @singledispatchmethod
    def perform(self, effect: Any) -> None:
        """Do what the decisions ask for."""
        raise TypeError(f'no such effect: {effect!r}')

    @perform.register
    def _(self, effect: SendPeer) -> None:
        name = self.core.name
        if effect.instance == name:
            received = Received(effect.sender or name, effect.message)
            self.post(received)
            return
        address = self.core.spread.find_parent_address(
            instance_of(effect.instance)
        )
        self.network.send(
            effect.instance, address, effect.sender or name, effect.message
        )

    @perform.register
    def _(self, effect: StoreRead) -> None:
        self.nursery.start_soon(self._read, effect)

    @perform.register
    def _(self, effect: StoreWrite) -> None:
        self.nursery.start_soon(self._write, effect)

    @perform.register
    def _(self, effect: LoadNotes) -> None:
        self.nursery.start_soon(self._load)

    @perform.register
    def _(self, effect: ListInstances) -> None:
        self.nursery.start_soon(self._list)

    @perform.register
    def _(self, effect: GiveOrder) -> None:
        self.nursery.start_soon(self._order, effect)

    @perform.register
    def _(self, effect: AskLoad) -> None:
        self.nursery.start_soon(self._ask_load, effect)

    def post(self, event: Any) -> None:
        """Queue an event; a full queue drops it like a lost message."""
        try:
            self.outside.send_nowait(event)
        except trio.WouldBlock:
            _LOG.warning('inbox full', extra={'event': type(event).__name__})

    def _decide(self, event: Any) -> list[Any]:
        now = self.timers.now()
        if isinstance(event, Tick):
            return self.core.on_tick(now, self.timers.utc())
        if isinstance(event, Received):
            return self.core.receive(event, now)
        if isinstance(event, Leave):
            self.core.start_leaving()
            return []
        return self.core.on_answer(event, now)

    async def _forward_ticks(self) -> None:
        async for _ in self.timers.subscribe(TICK_SECONDS):
            await self.outside.send(Tick())

    async def _forward_frames(self) -> None:
        async for sender, message in self.network.receive():
            self.post(Received(sender, message))

    async def _answer(self, answer: Answer) -> None:
        await self.outside.send(answer)

    async def _read(self, effect: StoreRead) -> None:
        sent_at = self.timers.now()
        self.store_calls += 1
        outcome = await self.api.read(effect.key)
        await self._answer(ReadDone(effect, sent_at, outcome))

    async def _write(self, effect: StoreWrite) -> None:
        sent_at = self.timers.now()
        self.store_calls += 1
        outcome = await self.api.write(
            effect.key, effect.body, effect.expected_version
        )
        await self._answer(WriteDone(effect, sent_at, outcome))

    async def _load(self) -> None:
        sent_at = self.timers.now()
        self.store_calls += 1
        loaded = await load_notes(self.api)
        outcome = loaded.map(lambda notes: (notes.folded, notes.tail))
        await self._answer(NotesLoaded(sent_at, outcome))

    async def _list(self) -> None:
        sent_at = self.timers.now()
        self.store_calls += 1
        outcome = await self.api.list_instances()
        await self._answer(InstancesListed(sent_at, outcome))

    async def _order(self, effect: GiveOrder) -> None:
        setting = self._find_upstream(effect.engine)
        outcome = await give_order(self.client, setting, effect)
        _LOG.info(
            'order',
            extra={
                'engine': effect.engine,
                'order': effect.order.order_id,
                'token': effect.order.token,
                'role': effect.order.role,
                'outcome': outcome,
            },
        )
        await self._answer(OrderAnswered(effect.engine, effect.order, outcome))

    async def _ask_load(self, effect: AskLoad) -> None:
        answered = await ask_load(self.client, effect)
        await self._answer(answered)

    def _find_upstream(self, name: str) -> str:
        for setting in self.core.settings.upstreams:
            if setting.name == name:
                return setting.address
        return ''


async def give_order(
    client: httpx.AsyncClient, address: str, effect: GiveOrder
) -> OrderOutcome:
    """Give an order over HTTP and say how the engine took it."""
    body = encode_record(effect.order)
    try:
        response = await client.post(
            f'http://{address}/orders',
            content=body,
            timeout=ORDER_TIMEOUT_SECONDS,
        )
    except httpx.HTTPError:
        return OrderOutcome.LOST
    if response.status_code == httpx.codes.CONFLICT:
        return OrderOutcome.FENCED
    return OrderOutcome.DONE if response.is_success else OrderOutcome.LOST


async def ask_load(client: httpx.AsyncClient, effect: AskLoad) -> LoadAnswered:
    """Ask an upstream for its load; without one when it does not answer."""
    try:
        response = await client.get(
            f'http://{effect.address}/load', timeout=LOAD_TIMEOUT_SECONDS
        )
    except httpx.HTTPError:
        return LoadAnswered(effect.upstream, None)
    if not response.is_success:
        return LoadAnswered(effect.upstream, None)
    report = response.json()
    load = UpstreamLoad(
        running=report['running'],
        waiting=report['waiting'],
        prefill_tokens=report.get('prefill_tokens', 0),
    )
    return LoadAnswered(effect.upstream, load, report.get('models'))


@asynccontextmanager
async def open_steward(
    settings: Settings,
    incarnation: str,
    api: ObjectApi,
    network: PeerNetwork,
    timers: TimerService,
) -> AsyncIterator[StewardShell]:
    """Run a steward for as long as the context is open."""
    core = StewardCore(settings, incarnation)
    async with (
        httpx.AsyncClient(trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):
        shell = StewardShell(core, api, network, timers, client, nursery)
        nursery.start_soon(shell.run)
        yield shell
        nursery.cancel_scope.cancel()
