"""Reads on demand which upstreams have changed in the store.

A watch that waits for changes tells nothing of how long ago the store could
still be reached. Where that matters, a call that does not wait tells it.
"""

from math import inf
from typing import Final

import trio
from result import Err

from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._records import STORE_ORIGIN, RecordStore
from cranberryrelay.timing import TimerService, limit_time

# Time that one call may take.
CALL_SECONDS: Final = 1.0

# Shortest interval between calls, as each is charged.
CHECK_INTERVAL_SECONDS: Final = 0.25


class StoreCheck:
    """Makes one call at a time for all requests that wait for it."""

    def __init__(
        self,
        store: RecordStore,
        upstream_kind: str,
        duties: Duties,
        timers: TimerService,
    ) -> None:
        self.store = store
        self.upstream_kind = upstream_kind
        self.duties = duties
        self.timers = timers
        channel = trio.open_memory_channel[None](1)
        self.request_sender = channel[0]
        self.requests = channel[1]

        # When the last call that the store answered was sent, and the last one
        # that it did not answer.
        self.answered_at = -inf
        self.failed_at = -inf
        self.call_ended = trio.Event()

    async def run(self) -> None:
        """Call the store whenever a request waits, until cancelled."""
        async for _ in self.requests:
            sent_at = self.timers.now()
            if await self.read_changes():
                self.answered_at = sent_at
            else:
                self.failed_at = sent_at
            self.call_ended.set()
            self.call_ended = trio.Event()
            await self.timers.pause(CHECK_INTERVAL_SECONDS)

    async def confirm(
        self, asked_at: float, limit_seconds: float, *, must_call: bool = False
    ) -> bool:
        """Return whether the store answered a call sent after ``asked_at``.

        Only instances that watch the store call it, unless one must.
        """
        if not must_call and not self.duties.needs_watch():
            return False
        with limit_time(limit_seconds):
            while max(self.answered_at, self.failed_at) < asked_at:
                ended = self.call_ended
                self.request_call()
                await ended.wait()
        return self.answered_at >= asked_at

    def request_call(self) -> None:
        """Request a call; one that is waiting to be made serves as well."""
        try:
            self.request_sender.send_nowait(None)
        except trio.WouldBlock:
            return

    async def read_changes(self) -> bool:
        """Apply the changes of upstreams; return False without an answer.

        Nothing can be told either before the upstreams are listed, or while
        they must be listed again.
        """
        replica = self.duties.protocol.store_replica
        after = replica.upstream_position
        if after == STORE_ORIGIN:
            return False
        with limit_time(CALL_SECONDS):
            result = await self.store.watch_kind(self.upstream_kind, after, 0)
            if isinstance(result, Err):
                return False
            replica.apply_upstream_changes(result.unwrap())
            return True
        return False
