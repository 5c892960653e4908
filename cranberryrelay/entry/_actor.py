"""Runs the entry's core as an actor: one task, driven by messages.

Ticks, messages from stewards and commands from the pipeline pass through one
inbox, so the core needs no locks.
"""

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any, Final, NamedTuple

import trio
from result import Err, Result

from cranberryrelay.agreement import SendPeer
from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry._core import EntryCore
from cranberryrelay.entry._messages import (
    CancelCommand,
    CommandEnvelope,
    CommandReply,
)
from cranberryrelay.timing import TimerService
from cranberryrelay.wire import PeerClient

TICK_INTERVAL_SECONDS: Final = 0.05
INBOX_CAPACITY: Final = 4000
_CORE_ENDED: Final = fail(ResultCode.DRAINING, 'the entry has shut down')
_LOG: Final = logging.getLogger('cranberryrelay.entry')


class Tick(NamedTuple):
    """Triggers periodic work."""


class PeerMessage(NamedTuple):
    """A message received from a steward."""

    # Instance name of the steward.
    sender: str

    # The message.
    message: Any


class CoreActor:
    """Serializes access to the core through an inbox."""

    def __init__(
        self, core: EntryCore, client: PeerClient, timers: TimerService
    ) -> None:
        self.core = core
        self.client = client
        self.timers = timers
        self.last_command_id = 0
        self.pending_replies: dict[int, trio.MemorySendChannel[Any]] = {}
        sender, receiver = trio.open_memory_channel[Any](INBOX_CAPACITY)
        self.inbox_sender = sender
        self.inbox = receiver
        self.closed = False

    async def ask(self, command: Any) -> Result[Any, Failure]:
        """Send a command to the core and wait for the reply.

        Errors: ``DRAINING`` once the actor is closed.
        """
        if self.closed:
            return Err(_CORE_ENDED)
        self.last_command_id += 1
        command_id = self.last_command_id
        sender, receiver = trio.open_memory_channel[Any](1)
        self.pending_replies[command_id] = sender
        try:
            await self.inbox_sender.send(CommandEnvelope(command_id, command))
        except trio.BrokenResourceError:
            return Err(_CORE_ENDED)
        try:
            outcome: Result[Any, Failure] = await receiver.receive()
        except trio.Cancelled:
            await self._cancel_command(command_id)
            raise
        return outcome

    async def tell(self, command: Any) -> None:
        """Send a command that is not cancelled along with its caller."""
        with trio.CancelScope(shield=True):
            await self.ask(command)

    def close(self) -> None:
        """Reply to all pending commands that the core has ended."""
        self.closed = True
        self.inbox.close()
        for reply_sender in self.pending_replies.values():
            reply_sender.send_nowait(Err(_CORE_ENDED))
        self.pending_replies.clear()

    async def run(self) -> None:
        """Process events until cancelled, then fail pending commands."""
        try:
            await self._process_events()
        finally:
            self.close()

    async def _process_events(self) -> None:
        async for event in self.inbox:
            for effect in self._handle_event(event):
                self._apply_effect(effect)

    async def forward_ticks(self) -> None:
        """Forward the timer's ticks to the inbox."""
        async for _ in self.timers.subscribe(TICK_INTERVAL_SECONDS):
            await self.inbox_sender.send(Tick())

    async def forward_messages(self) -> None:
        """Forward messages from stewards to the inbox."""
        async for sender, message in self.client.inbox:
            await self.inbox_sender.send(PeerMessage(sender, message))

    async def _cancel_command(self, command_id: int) -> None:
        """Tell the core that a command's caller stopped waiting."""
        with trio.CancelScope(shield=True), suppress(trio.BrokenResourceError):
            # A core that has ended holds no slots to release.
            await self.inbox_sender.send(
                CommandEnvelope(0, CancelCommand(command_id))
            )

    def _handle_event(self, event: Any) -> list[Any]:
        now = self.timers.now()
        if isinstance(event, CommandEnvelope):
            return self.core.ask(event, now, self.timers.utc())
        if isinstance(event, PeerMessage):
            return self.core.receive(event.message, now, event.sender)
        return self.core.on_tick(now)

    def _apply_effect(self, effect: Any) -> None:
        if isinstance(effect, CommandReply):
            reply_sender = self.pending_replies.pop(effect.command_id, None)
            if reply_sender is not None:
                reply_sender.send_nowait(effect.result)
        elif isinstance(effect, SendPeer):
            self._send(effect)

    def _send(self, effect: SendPeer) -> None:
        member = self.core.follower.members.by_name.get(effect.instance)
        address = (member or self.core.settings.own_instance).address
        self.client.send(effect.instance, address, effect.message)


@asynccontextmanager
async def open_core_actor(
    core: EntryCore, client: PeerClient, timers: TimerService
) -> AsyncIterator[CoreActor]:
    """Run an actor for the core while the context is open."""
    actor = CoreActor(core, client, timers)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(actor.run)
        nursery.start_soon(actor.forward_ticks)
        nursery.start_soon(actor.forward_messages)
        yield actor
        nursery.cancel_scope.cancel()
