"""Waits for a read that may stall, and for a replacement meanwhile."""

from collections.abc import Awaitable, Callable
from typing import Final, Generic, TypeVar

import trio

from cranberryrelay.timing import TimerService

Content = TypeVar('Content')
Replacement = TypeVar('Replacement')

# Before a replacement is asked for, the bytes are read that have arrived while
# this process was suspended.
LAST_LOOK_SECONDS: Final = 0.001


class StalledRead(Generic[Content, Replacement]):
    """A read, and a replacement that is asked for if it stalls."""

    def __init__(
        self,
        read: Callable[[], Awaitable[Content]],
        replace: Callable[[], Awaitable[Replacement | None]],
        is_broken: Callable[[Content], bool],
    ) -> None:
        self.read = read

        # Asks for the replacement, in limited time; None if there is none.
        self.replace = replace

        # Tells whether what was read is an end that needs a replacement.
        self.is_broken = is_broken
        self.replacing = False
        self.replacement: Replacement | None = None
        self.replaced = trio.Event()

    async def run(
        self, patience_seconds: float, timers: TimerService
    ) -> Content | Replacement:
        """Return what is read, or the replacement if that comes first.

        The replacement is asked for once, after ``patience_seconds``.  The read
        goes on meanwhile, and alone if there is none.  Content cancels the
        replacement; an end that needs one waits for it.
        """
        received: list[Content] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self.replace_later,
                patience_seconds,
                timers,
                nursery.cancel_scope,
            )
            received.append(await self.read())
            if self.replacing and self.is_broken(received[0]):
                await self.replaced.wait()
            nursery.cancel_scope.cancel()
        if self.replacement is None:
            return received[0]
        return self.replacement

    async def replace_later(
        self,
        patience_seconds: float,
        timers: TimerService,
        reading: trio.CancelScope,
    ) -> None:
        """Ask for the replacement if the read is still waiting by then."""
        await timers.pause(patience_seconds)
        await timers.pause(LAST_LOOK_SECONDS)
        self.replacing = True
        self.replacement = await self.replace()
        self.replaced.set()
        if self.replacement is not None:
            reading.cancel()
