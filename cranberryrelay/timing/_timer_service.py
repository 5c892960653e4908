"""Timer service: the only module that reads clocks and sleeps.

Other modules subscribe to ticks, sleep through ``pause`` and read the time
here.  Under ``trio.testing.MockClock`` the service runs in virtual time.
"""

import time
import weakref
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio

_TICK_BUFFER = 1


class TimerService:
    """Clocks, sleeps and periodic ticks for the tasks of one process."""

    def __init__(
        self,
        nursery: trio.Nursery,
        read_utc: Callable[[], float] = time.time,
    ) -> None:
        self.nursery = nursery
        self.read_utc = read_utc

    def now(self) -> float:
        """Return the seconds of a monotonic clock."""
        return read_clock()

    def utc(self) -> float:
        """Return UTC in seconds; only for human readers and the account."""
        return self.read_utc()

    async def pause(self, seconds: float) -> None:
        """Sleep for ``seconds``."""
        await trio.sleep(seconds)

    def subscribe(
        self, period_seconds: float
    ) -> trio.MemoryReceiveChannel[float]:
        """Return a channel that receives the monotonic time at each tick.

        A slow subscriber misses ticks: the channel buffers only one. The ticks
        end when the channel is closed or no longer used.
        """
        sender, receiver = trio.open_memory_channel[float](_TICK_BUFFER)
        self.nursery.start_soon(
            self._tick, period_seconds, sender, weakref.ref(receiver)
        )
        return receiver

    async def _tick(
        self,
        period_seconds: float,
        sender: trio.MemorySendChannel[float],
        subscriber: Callable[[], trio.MemoryReceiveChannel[float] | None],
    ) -> None:
        while subscriber() is not None:
            try:
                sender.send_nowait(trio.current_time())
            except trio.WouldBlock:
                await trio.lowlevel.checkpoint()
            except trio.BrokenResourceError:
                return
            await trio.sleep(period_seconds)


def read_clock() -> float:
    """Return the seconds of a monotonic clock, as ``TimerService.now``."""
    return trio.current_time()


@asynccontextmanager
async def open_timer_service(
    read_utc: Callable[[], float] = time.time,
) -> AsyncIterator[TimerService]:
    """Open a timer service; its ticks stop when the context exits."""
    async with trio.open_nursery() as nursery:
        yield TimerService(nursery, read_utc)
        nursery.cancel_scope.cancel()


@contextmanager
def limit_time(seconds: float) -> Iterator[trio.CancelScope]:
    """Cancel the block after ``seconds``; the scope shows whether it was.

    If ``seconds`` is zero or negative, the block is cancelled at its first
    checkpoint.
    """
    with trio.move_on_after(max(seconds, 0)) as scope:
        yield scope
