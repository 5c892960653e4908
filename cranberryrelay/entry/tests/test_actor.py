"""Whoever asks a core whose task has ended gets an answer, not a wait."""

from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params
from result import Err, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry._actor import EntryLink, open_entry_link
from cranberryrelay.timing import open_timer_service

WAIT_SECONDS = 1.0


class SilentCore:
    """A core that answers nothing."""

    def ask(self, event: Any, now: float, utc: float) -> list[Any]:
        return []

    def on_tick(self, now: float) -> list[Any]:
        return []


class SilentClient:
    """A client that hears nothing."""

    def __init__(self) -> None:
        self.inbox = trio.open_memory_channel[Any](1)[1]


async def ask_link(asked_first: bool) -> Result[Any, Failure] | None:
    """Ask before or after the link has ended; None if that waits."""
    outcomes: list[Result[Any, Failure]] = []

    async def ask(link: EntryLink) -> None:
        with trio.CancelScope(shield=True):
            outcomes.append(await link.ask('anything'))

    core: Any = SilentCore()
    client: Any = SilentClient()
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        async with open_entry_link(core, client, timers) as link:
            if asked_first:
                nursery.start_soon(ask, link)
                await trio.sleep(0.1)
        if not asked_first:
            nursery.start_soon(ask, link)
        await trio.sleep(WAIT_SECONDS)
        found = outcomes[0] if outcomes else None
        for sender in list(link.answers.values()):
            sender.send_nowait(None)
    return found


async def ask_while_cancelled() -> Result[Any, Failure] | None:
    """Ask while all is cancelled at once; None if that waits."""
    outcomes: list[Result[Any, Failure]] = []
    core: Any = SilentCore()
    client: Any = SilentClient()
    links: list[EntryLink] = []

    async def serve() -> None:
        async with (
            open_timer_service() as timers,
            open_entry_link(core, client, timers) as link,
        ):
            links.append(link)
            try:
                await trio.sleep_forever()
            finally:
                with trio.CancelScope(shield=True):
                    outcomes.append(await link.ask('anything'))

    async with trio.open_nursery() as nursery, trio.open_nursery() as killed:
        killed.start_soon(serve)
        await trio.sleep(0.1)
        killed.cancel_scope.cancel()
        nursery.start_soon(_release_later, links[0])
    return outcomes[0] if outcomes else None


async def _release_later(link: EntryLink) -> None:
    """Answer who still waits, so that the test ends when it fails."""
    await trio.sleep(WAIT_SECONDS)
    for sender in list(link.answers.values()):
        sender.send_nowait(Err(fail(ResultCode.UPSTREAM_TIMEOUT, 'test')))


class ClosedLinkTest(TestCase):
    """Ends the task of the core while somebody waits for it."""

    @params(True, False)
    def test_closed_link_answers(self, asked_first: bool) -> None:
        outcome = trio.run(ask_link, asked_first)
        self.assertIsNotNone(outcome)
        assert outcome is not None
        self.assertIs(outcome.unwrap_err().code, ResultCode.DRAINING)

    def test_cancelled_link_answers(self) -> None:
        outcome = trio.run(ask_while_cancelled)
        assert outcome is not None
        self.assertIs(outcome.unwrap_err().code, ResultCode.DRAINING)
