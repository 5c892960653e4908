"""Waits for a read that may stall, and for a replacement meanwhile."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from cranberryrelay.timing import TimerService

Content = TypeVar('Content')
Replacement = TypeVar('Replacement')


async def read_or_replace(
    read: Callable[[], Awaitable[Content]],
    replace: Callable[[], Awaitable[Replacement | None]],
    patience_seconds: float,
    timers: TimerService,
) -> Content | Replacement:
    """Return what ``read`` returns, or the replacement if that comes first.

    ``replace`` is called once, after ``patience_seconds``.  The read goes on
    meanwhile, and alone if there is no replacement (None).  The one that comes
    second is cancelled.
    """
    replacements: list[Replacement] = []
    received: list[Content] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _replace_later,
            replace,
            patience_seconds,
            timers,
            replacements,
            nursery.cancel_scope,
        )
        received.append(await read())
        nursery.cancel_scope.cancel()
    return replacements[0] if replacements else received[0]


async def _replace_later(
    replace: Callable[[], Awaitable[Replacement | None]],
    patience_seconds: float,
    timers: TimerService,
    replacements: list[Replacement],
    reading: trio.CancelScope,
) -> None:
    await timers.pause(patience_seconds)
    replacement = await replace()
    if replacement is not None:
        replacements.append(replacement)
        reading.cancel()
