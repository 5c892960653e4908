"""Timer service: the only module that reads clocks and sleeps.

Other modules subscribe to ticks, sleep through ``pause`` and read the time
here.  Under ``trio.testing.MockClock`` the service runs in virtual time.
"""

import math
import time
import weakref
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio

_TICK_BUFFER = 1

# A tick that would come sooner after the one before than this share of the
# period is left out.
_SHORTEST_SHARE = 0.5


class TimerService:
    """Clocks, sleeps and periodic ticks for the tasks of one process."""

    def __init__(
        self,
        nursery: trio.Nursery,
        read_utc: Callable[[], float] = time.time,
    ) -> None:
        self.nursery = nursery
        self.read_utc = read_utc
        self.started_at = read_clock()

        self.subscriptions: list[_Subscription] = []
        self.is_ticking = False

        # Set to look at the subscriptions anew.
        self.subscribed = trio.Event()

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
        end when the channel is closed or no longer used. The first one is sent
        at once; later ones of all subscribers are multiples of their periods
        after the start of the service, so that those which fall together wake
        the process once.
        """
        sender, receiver = trio.open_memory_channel[float](_TICK_BUFFER)
        self.subscriptions.append(
            _Subscription(period_seconds, sender, weakref.ref(receiver))
        )
        if self.is_ticking:
            self.subscribed.set()
        else:
            self.is_ticking = True
            self.nursery.start_soon(self._send_ticks)
        return receiver

    async def _send_ticks(self) -> None:
        """Send the ticks that are due while there are subscribers."""
        while self.subscriptions:
            now = read_clock()
            for subscription in self.subscriptions:
                if subscription.due_at <= now:
                    subscription.send(now)
                    subscription.due_at = self._next_multiple(
                        subscription.period_seconds, now
                    )
            self.subscriptions = [
                one for one in self.subscriptions if one.is_used
            ]
            self.subscribed = trio.Event()
            earliest = min(
                (one.due_at for one in self.subscriptions), default=now
            )
            with trio.CancelScope(deadline=earliest):
                await self.subscribed.wait()
        self.is_ticking = False

    def _next_multiple(self, period: float, now: float) -> float:
        """Return the next multiple of a period that is not too near."""
        passed = (now - self.started_at) / period
        multiple = math.floor(passed + _SHORTEST_SHARE) + 1
        return self.started_at + multiple * period


class _Subscription:
    def __init__(
        self,
        period_seconds: float,
        sender: trio.MemorySendChannel[float],
        find_receiver: Callable[[], trio.MemoryReceiveChannel[float] | None],
    ) -> None:
        self.period_seconds = period_seconds
        self.sender = sender
        self.find_receiver = find_receiver
        self.due_at = read_clock()
        self.is_used = True

    def send(self, now: float) -> None:
        """Send a tick, or find out that nobody receives it."""
        try:
            self.sender.send_nowait(now)
        except trio.WouldBlock:
            self.is_used = self.find_receiver() is not None
        except trio.BrokenResourceError:
            self.is_used = False


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
