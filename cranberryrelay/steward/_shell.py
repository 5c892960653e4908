"""The I/O of a steward: peer network, store calls, load polls and orders.

One task owns the ``StewardCore`` and receives events from one channel.  Each
call runs in its own task and sends its answer to that channel.
"""

import json
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import singledispatchmethod
from typing import Any, Final, NamedTuple

import httpx
import trio

from cranberryrelay.agreement import (
    Answer,
    InstancesListed,
    ListInstances,
    LoadAnswered,
    LoadNotes,
    NotesLoaded,
    OrderAnswered,
    OrderOutcome,
    ReadDone,
    RequestLoad,
    SendOrder,
    SendPeer,
    StoreRead,
    StoreWrite,
    UpstreamLoad,
    WriteDone,
    instance_of_peer,
    load_notes,
)
from cranberryrelay.platform import ObjectApi
from cranberryrelay.records import encode_record
from cranberryrelay.settings import Settings
from cranberryrelay.steward._core import Received, StewardCore
from cranberryrelay.timing import TimerService
from cranberryrelay.wire import PeerNetwork, request_whole

TICK_SECONDS: Final = 0.1
ORDER_TIMEOUT_SECONDS: Final = 5.0
LOAD_TIMEOUT_SECONDS: Final = 0.4
LEAVE_TIMEOUT_SECONDS: Final = 5.0
INBOX_LIMIT: Final = 2000

# Largest answer of an upstream, in bytes.
ANSWER_BYTES_LIMIT: Final = 1_000_000
_LOG: Final = logging.getLogger('cranberryrelay.steward')


class Tick(NamedTuple):
    """Periodic event; the core runs its scheduled work."""


class Leave(NamedTuple):
    """The process was asked to stop; the core releases its leases."""


class StewardShell:
    """Feeds events to a ``StewardCore`` and performs its effects."""

    def __init__(
        self,
        core: StewardCore,
        object_api: ObjectApi,
        network: PeerNetwork,
        timers: TimerService,
        client: httpx.AsyncClient,
        nursery: trio.Nursery,
    ) -> None:
        self.core = core
        self.object_api = object_api
        self.network = network
        self.timers = timers
        self.client = client
        self.nursery = nursery
        sender, receiver = trio.open_memory_channel[Any](INBOX_LIMIT)
        self.inbox_sender = sender
        self.inbox_receiver = receiver
        self.released = trio.Event()
        self.store_calls = 0

    async def run(self) -> None:
        """Process events until the steward has released everything it holds."""
        self.nursery.start_soon(self._forward_ticks)
        self.nursery.start_soon(self._forward_frames)
        async for event in self.inbox_receiver:
            for effect in self._decide(event):
                self.perform(effect)
            if self.core.leaving and self.core.has_released_all():
                break
        self.released.set()

    async def leave(self) -> None:
        """Release leases and the vote; wait up to LEAVE_TIMEOUT_SECONDS."""
        await self.inbox_sender.send(Leave())
        with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
            await self.released.wait()

    @singledispatchmethod
    def perform(self, effect: Any) -> None:
        """Start the I/O of an effect; raise TypeError for unknown effects."""
        raise TypeError(f'no handler for effect {effect!r}')

    @perform.register
    def _(self, effect: SendPeer) -> None:
        name = self.core.name
        if effect.instance == name:
            event = Received(effect.sender or name, effect.message)
            self.post(event)
            return
        address = self.core.note_distributor.find_address(
            instance_of_peer(effect.instance)
        )
        self.network.send(
            effect.instance, address, effect.sender or name, effect.message
        )

    @perform.register
    def _(self, effect: StoreRead) -> None:
        self.nursery.start_soon(self._read_object, effect)

    @perform.register
    def _(self, effect: StoreWrite) -> None:
        self.nursery.start_soon(self._write_object, effect)

    @perform.register
    def _(self, effect: LoadNotes) -> None:
        self.nursery.start_soon(self._load_notes)

    @perform.register
    def _(self, effect: ListInstances) -> None:
        self.nursery.start_soon(self._list_instances)

    @perform.register
    def _(self, effect: SendOrder) -> None:
        self.nursery.start_soon(self._send_order, effect)

    @perform.register
    def _(self, effect: RequestLoad) -> None:
        self.nursery.start_soon(self._request_load, effect)

    def post(self, event: Any) -> None:
        """Queue an event; drop it if the inbox is full, as if it were lost."""
        try:
            self.inbox_sender.send_nowait(event)
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
            await self.inbox_sender.send(Tick())

    async def _forward_frames(self) -> None:
        async for sender, message in self.network.receive():
            self.post(Received(sender, message))

    async def _post_answer(self, answer: Answer) -> None:
        await self.inbox_sender.send(answer)

    async def _read_object(self, effect: StoreRead) -> None:
        sent_at = self.timers.now()
        self.store_calls += 1
        outcome = await self.object_api.read(effect.key)
        await self._post_answer(ReadDone(effect, sent_at, outcome))

    async def _write_object(self, effect: StoreWrite) -> None:
        sent_at = self.timers.now()
        self.store_calls += 1
        outcome = await self.object_api.write(
            effect.key, effect.body, effect.expected_version
        )
        await self._post_answer(WriteDone(effect, sent_at, outcome))

    async def _load_notes(self) -> None:
        sent_at = self.timers.now()
        self.store_calls += 1
        loaded = await load_notes(self.object_api)
        outcome = loaded.map(lambda notes: (notes.folded, notes.tail))
        await self._post_answer(NotesLoaded(sent_at, outcome))

    async def _list_instances(self) -> None:
        sent_at = self.timers.now()
        self.store_calls += 1
        outcome = await self.object_api.list_instances()
        await self._post_answer(InstancesListed(sent_at, outcome))

    async def _send_order(self, effect: SendOrder) -> None:
        address = self._find_upstream_address(effect.engine)
        outcome = await send_order(self.client, address, effect)
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
        await self._post_answer(
            OrderAnswered(effect.engine, effect.order, outcome)
        )

    async def _request_load(self, effect: RequestLoad) -> None:
        answer = await request_load(self.client, effect)
        await self._post_answer(answer)

    def _find_upstream_address(self, name: str) -> str:
        for setting in self.core.settings.upstreams:
            if setting.name == name:
                return setting.address
        return ''


async def send_order(
    client: httpx.AsyncClient, address: str, effect: SendOrder
) -> OrderOutcome:
    """Send an order to an engine over HTTP and return its outcome."""
    body = encode_record(effect.order)
    try:
        answer = await request_whole(
            client,
            'POST',
            f'http://{address}/orders',
            ANSWER_BYTES_LIMIT,
            content=body,
            timeout=ORDER_TIMEOUT_SECONDS,
        )
    except httpx.HTTPError:
        return OrderOutcome.LOST
    if answer.status == httpx.codes.CONFLICT:
        return OrderOutcome.FENCED
    is_done = httpx.codes.is_success(answer.status)
    return OrderOutcome.DONE if is_done else OrderOutcome.LOST


async def request_load(
    client: httpx.AsyncClient, effect: RequestLoad
) -> LoadAnswered:
    """Request the load of an upstream over HTTP.

    The load is None if the upstream does not answer or returns an error.
    """
    try:
        answer = await request_whole(
            client,
            'GET',
            f'http://{effect.address}/load',
            ANSWER_BYTES_LIMIT,
            timeout=LOAD_TIMEOUT_SECONDS,
        )
    except httpx.HTTPError:
        return LoadAnswered(effect.upstream, None)
    if not httpx.codes.is_success(answer.status):
        return LoadAnswered(effect.upstream, None)
    report = json.loads(answer.body)
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
    object_api: ObjectApi,
    network: PeerNetwork,
    timers: TimerService,
) -> AsyncIterator[StewardShell]:
    """Run a steward while the context is open."""
    core = StewardCore(settings, incarnation)
    async with (
        httpx.AsyncClient(trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):
        shell = StewardShell(core, object_api, network, timers, client, nursery)
        nursery.start_soon(shell.run)
        yield shell
        nursery.cancel_scope.cancel()
