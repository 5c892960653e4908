"""The task that owns the entry's core, and the way to ask it."""

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any, Final, NamedTuple

import trio
from result import Err, Result

from cranberryrelay.agreement import SendPeer
from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry._core import EntryCore
from cranberryrelay.entry._messages import Abandon, Ask, Reply
from cranberryrelay.timing import TimerService
from cranberryrelay.wire import PeerClient

TICK_SECONDS: Final = 0.05
INBOX_LIMIT: Final = 4000
_LINK_CLOSED: Final = fail(ResultCode.DRAINING, 'the core has ended')
_LOG: Final = logging.getLogger('cranberryrelay.entry')


class Tick(NamedTuple):
    """Time has passed."""


class FromPeer(NamedTuple):
    """A message from a steward."""

    # Name of the steward's instance.
    sender: str

    # The message.
    message: Any


class EntryLink:
    """Asks the core by message; one task owns the core."""

    def __init__(
        self, core: EntryCore, client: PeerClient, timers: TimerService
    ) -> None:
        self.core = core
        self.client = client
        self.timers = timers
        self.asked = 0
        self.answers: dict[int, trio.MemorySendChannel[Any]] = {}
        sender, receiver = trio.open_memory_channel[Any](INBOX_LIMIT)
        self.outside = sender
        self.inbox = receiver
        self.closed = False

    async def ask(self, question: Any) -> Result[Any, Failure]:
        """Ask the core and wait for its answer.

        Errors: ``DRAINING`` once the core's task has ended.
        """
        if self.closed:
            return Err(_LINK_CLOSED)
        self.asked += 1
        number = self.asked
        sender, receiver = trio.open_memory_channel[Any](1)
        self.answers[number] = sender
        try:
            await self.outside.send(Ask(number, question))
        except trio.BrokenResourceError:
            return Err(_LINK_CLOSED)
        try:
            outcome: Result[Any, Failure] = await receiver.receive()
        except trio.Cancelled:
            await self._abandon(number)
            raise
        return outcome

    async def tell(self, question: Any) -> None:
        """Tell the core something, even while being cancelled."""
        with trio.CancelScope(shield=True):
            await self.ask(question)

    def close(self) -> None:
        """Answer all who wait, as the core's task has ended."""
        self.closed = True
        self.inbox.close()
        for waiting in self.answers.values():
            waiting.send_nowait(Err(_LINK_CLOSED))
        self.answers.clear()

    async def run(self) -> None:
        """Take events until the task is cancelled; then nobody waits."""
        try:
            await self._take_events()
        finally:
            self.close()

    async def _take_events(self) -> None:
        async for event in self.inbox:
            for effect in self._decide(event):
                self._perform(effect)

    async def forward_ticks(self) -> None:
        """Send the core the time."""
        async for _ in self.timers.subscribe(TICK_SECONDS):
            await self.outside.send(Tick())

    async def forward_messages(self) -> None:
        """Send the core the messages of stewards."""
        async for sender, message in self.client.inbox:
            await self.outside.send(FromPeer(sender, message))

    async def _abandon(self, number: int) -> None:
        """Tell the core that nobody waits for an answer any more."""
        with trio.CancelScope(shield=True), suppress(trio.BrokenResourceError):
            # A core that has ended keeps no slots that could be freed.
            await self.outside.send(Ask(0, Abandon(number)))

    def _decide(self, event: Any) -> list[Any]:
        now = self.timers.now()
        if isinstance(event, Ask):
            return self.core.ask(event, now, self.timers.utc())
        if isinstance(event, FromPeer):
            return self.core.receive(event.message, now, event.sender)
        return self.core.on_tick(now)

    def _perform(self, effect: Any) -> None:
        if isinstance(effect, Reply):
            waiting = self.answers.pop(effect.number, None)
            if waiting is not None:
                waiting.send_nowait(effect.outcome)
        elif isinstance(effect, SendPeer):
            self._send(effect)

    def _send(self, effect: SendPeer) -> None:
        known = self.core.follower.members.by_name.get(effect.instance)
        address = (known or self.core.settings.me).address
        self.client.send(effect.instance, address, effect.message)


@asynccontextmanager
async def open_entry_link(
    core: EntryCore, client: PeerClient, timers: TimerService
) -> AsyncIterator[EntryLink]:
    """Run the core's task for as long as the context is open."""
    link = EntryLink(core, client, timers)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        nursery.start_soon(link.forward_ticks)
        nursery.start_soon(link.forward_messages)
        yield link
        nursery.cancel_scope.cancel()
