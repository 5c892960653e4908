"""The timer service: the one place that reads clocks and waits for time.

Parts subscribe to ticks or ask for a pause; no part reads a clock itself.
Under ``trio.testing.MockClock`` the same service runs in virtual time.
"""

import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio

_TICK_BUFFER = 1


class TimerService:
    """Time for the tasks of one process."""

    def __init__(
        self,
        nursery: trio.Nursery,
        read_utc: Callable[[], float] = time.time,
    ) -> None:
        self.nursery = nursery
        self.read_utc = read_utc

    def now(self) -> float:
        """Return seconds on a clock that never goes back."""
        return trio.current_time()

    def utc(self) -> float:
        """Return seconds of UTC; for people and for the account only."""
        return self.read_utc()

    async def pause(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        await trio.sleep(seconds)

    def subscribe(
        self, period_seconds: float
    ) -> trio.MemoryReceiveChannel[float]:
        """Return a channel that gets the time at each tick.

        A subscriber that lags behind misses ticks; it never gets a backlog.
        """
        sender, receiver = trio.open_memory_channel[float](_TICK_BUFFER)
        self.nursery.start_soon(self._tick, period_seconds, sender)
        return receiver

    async def _tick(
        self,
        period_seconds: float,
        sender: trio.MemorySendChannel[float],
    ) -> None:
        while True:
            try:
                sender.send_nowait(trio.current_time())
            except trio.WouldBlock:
                await trio.lowlevel.checkpoint()
            except trio.BrokenResourceError:
                return
            await trio.sleep(period_seconds)


@asynccontextmanager
async def open_timer_service(
    read_utc: Callable[[], float] = time.time,
) -> AsyncIterator[TimerService]:
    """Open a timer service; its ticks end with the context."""
    async with trio.open_nursery() as nursery:
        yield TimerService(nursery, read_utc)
        nursery.cancel_scope.cancel()


@contextmanager
def limit_time(seconds: float) -> Iterator[trio.CancelScope]:
    """Cancel the block after ``seconds``; the scope tells if it was.

    With no time left, the block ends where it would first wait.
    """
    with trio.move_on_after(max(seconds, 0)) as scope:
        yield scope
