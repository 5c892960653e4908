"""Lists and watches the kinds of store records that routing depends on."""

import logging
import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err, Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.relay._records import (
    STORE_ORIGIN,
    KindListing,
    RecordChange,
    RecordStore,
)
from cranberryrelay.timing import TimerService

WATCH_TIMEOUT_SECONDS: Final = 25.0
FIRST_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 0.8

# Interval at which ``needs_watch`` is polled while this instance does not
# watch; a small part of the time within which a change must be in force.
POLL_SECONDS: Final = 0.5

# The same right after a listing, as an instance that has just started soon
# knows whether it watches.
FIRST_POLL_SECONDS: Final = 0.05
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class WatchCallbacks(NamedTuple):
    """Callbacks of the watcher of one kind of records."""

    # Kind of the watched records.
    kind: str

    # Called with each complete listing.
    on_listing: Callable[[KindListing], None]

    # Called with the changes that a watch returned.
    on_change: Callable[[RecordChange], None]

    # Called with the kind and whether the store answered its last call.
    on_availability: Callable[[str, bool], None]

    # Returns whether this instance must watch the store itself; otherwise its
    # peers send it the changes.
    needs_watch: Callable[[], bool]

    # Returns how long to wait before the next watch, in seconds, so that
    # several changes arrive in one answer.
    batch_seconds: Callable[[], float]


class KindWatcher:
    """Lists the records of one kind, then watches them for changes."""

    def __init__(
        self,
        store: RecordStore,
        callbacks: WatchCallbacks,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.callbacks = callbacks
        self.timers = timers
        self.rng = rng
        self.position = STORE_ORIGIN
        self.failures = 0

    async def run(self) -> None:
        """List, then watch; list again when the store's history is gone."""
        while True:
            listed = await self.store.list_kind(self.callbacks.kind)
            if isinstance(listed, Err):
                await self.back_off(listed.unwrap_err())
                continue
            self.record_success()
            _LOG.info(
                'listed',
                extra={
                    'kind': self.callbacks.kind,
                    'records': len(listed.unwrap().records),
                    'position': listed.unwrap().position,
                    'previous_position': self.position,
                },
            )
            self.position = listed.unwrap().position
            self.callbacks.on_listing(listed.unwrap())
            await self.watch()

    async def watch(self) -> None:
        """Watch until the store no longer has the history of changes."""
        poll_seconds = FIRST_POLL_SECONDS
        while True:
            while not self.callbacks.needs_watch():
                await self.timers.pause(poll_seconds)
                poll_seconds = min(2 * poll_seconds, POLL_SECONDS)
            # After an outage the first answer must not wait for a change: it
            # tells whether the store was restored meanwhile.
            wait_seconds = 0 if self.failures else WATCH_TIMEOUT_SECONDS
            result = await self.store.watch_kind(
                self.callbacks.kind, self.position, wait_seconds
            )
            if isinstance(result, Err):
                failure = result.unwrap_err()
                if failure.code is ResultCode.STORE_HISTORY_GONE:
                    _LOG.info(
                        'history gone', extra={'kind': self.callbacks.kind}
                    )
                    return
                await self.back_off(failure)
                continue
            self.record_success()
            self.apply(result)
            await self.timers.pause(self.callbacks.batch_seconds())

    def apply(self, result: Result[RecordChange, Any]) -> None:
        """Pass changes to the callbacks and advance the position."""
        change = result.unwrap()
        self.position = max(self.position, change.position)
        if change.changed or change.removed:
            self.callbacks.on_change(change)

    def record_success(self) -> None:
        """Reset the count of failures and report the store as available."""
        if self.failures:
            _LOG.info(
                'store available again',
                extra={'kind': self.callbacks.kind, 'failures': self.failures},
            )
        self.failures = 0
        self.callbacks.on_availability(self.callbacks.kind, True)

    async def back_off(self, failure: Failure) -> None:
        """Report the store as unavailable and wait with exponential backoff."""
        if not self.failures:
            _LOG.warning(
                'store unavailable',
                extra={
                    'kind': self.callbacks.kind,
                    'code': failure.code.value,
                    'detail': failure.detail,
                },
            )
        self.callbacks.on_availability(self.callbacks.kind, False)
        backoff = FIRST_BACKOFF_SECONDS * 2 ** min(self.failures, 6)
        self.failures += 1
        delay = min(backoff, MAX_BACKOFF_SECONDS)
        await self.timers.pause(delay * self.rng.uniform(0.5, 1))
