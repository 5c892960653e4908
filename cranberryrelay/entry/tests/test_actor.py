"""Guards against commands that wait forever once the core's task has ended."""

from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params
from result import Err, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry._actor import CoreActor, open_core_actor
from cranberryrelay.timing import open_timer_service

REPLY_TIMEOUT_SECONDS = 1.0


class UnresponsiveCore:
    """A core that never replies to a command."""

    def ask(self, event: Any, now: float, utc: float) -> list[Any]:
        return []

    def on_tick(self, now: float) -> list[Any]:
        return []


class IdleClient:
    """A peer client that receives no messages."""

    def __init__(self) -> None:
        self.inbox = trio.open_memory_channel[Any](1)[1]


async def ask_around_close(
    ask_before_close: bool,
) -> Result[Any, Failure] | None:
    """Ask before or after the actor is closed; None if no reply arrives."""
    outcomes: list[Result[Any, Failure]] = []

    async def ask(actor: CoreActor) -> None:
        with trio.CancelScope(shield=True):
            outcomes.append(await actor.ask('anything'))

    core: Any = UnresponsiveCore()
    client: Any = IdleClient()
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        async with open_core_actor(core, client, timers) as actor:
            if ask_before_close:
                nursery.start_soon(ask, actor)
                await trio.sleep(0.1)
        if not ask_before_close:
            nursery.start_soon(ask, actor)
        await trio.sleep(REPLY_TIMEOUT_SECONDS)
        outcome = outcomes[0] if outcomes else None
        for sender in list(actor.pending_replies.values()):
            sender.send_nowait(None)
    return outcome


async def ask_while_cancelled() -> Result[Any, Failure] | None:
    """Ask while all tasks are cancelled together; None if no reply arrives."""
    outcomes: list[Result[Any, Failure]] = []
    core: Any = UnresponsiveCore()
    client: Any = IdleClient()
    actors: list[CoreActor] = []

    async def serve() -> None:
        async with (
            open_timer_service() as timers,
            open_core_actor(core, client, timers) as actor,
        ):
            actors.append(actor)
            try:
                await trio.sleep_forever()
            finally:
                with trio.CancelScope(shield=True):
                    outcomes.append(await actor.ask('anything'))

    async with trio.open_nursery() as nursery, trio.open_nursery() as cancelled:
        cancelled.start_soon(serve)
        await trio.sleep(0.1)
        cancelled.cancel_scope.cancel()
        nursery.start_soon(_reply_after_timeout, actors[0])
    return outcomes[0] if outcomes else None


async def _reply_after_timeout(actor: CoreActor) -> None:
    """Reply to pending commands, so that a failing test terminates."""
    await trio.sleep(REPLY_TIMEOUT_SECONDS)
    for sender in list(actor.pending_replies.values()):
        sender.send_nowait(Err(fail(ResultCode.UPSTREAM_TIMEOUT, 'test')))


class ClosedActorTest(TestCase):
    """Tests commands that are pending or sent when the core's task ends."""

    @params(True, False)
    def test_closed_actor_replies(self, ask_before_close: bool) -> None:
        outcome = trio.run(ask_around_close, ask_before_close)
        self.assertIsNotNone(outcome)
        assert outcome is not None
        self.assertIs(outcome.unwrap_err().code, ResultCode.DRAINING)

    def test_cancelled_actor_replies(self) -> None:
        outcome = trio.run(ask_while_cancelled)
        assert outcome is not None
        self.assertIs(outcome.unwrap_err().code, ResultCode.DRAINING)
