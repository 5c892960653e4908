"""Follows the records of the store that the relay routes by."""

import logging
import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err, Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.relay._records import (
    KindListing,
    RecordChange,
    RecordStore,
)
from cranberryrelay.timing import TimerService

WATCH_SECONDS: Final = 25.0
FIRST_PAUSE_SECONDS: Final = 0.1
LONGEST_PAUSE_SECONDS: Final = 0.8

# How often it is looked up whether to watch, in seconds; a small part of the
# time in which a change must be in force.
LOOK_SECONDS: Final = 0.5
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class KindSink(NamedTuple):
    """What is done with the records of a kind."""

    # Kind of records.
    kind: str

    # Takes a whole listing.
    on_listing: Callable[[KindListing], None]

    # Takes what has changed.
    on_change: Callable[[RecordChange], None]

    # Takes the kind, and whether the store answers.
    on_contact: Callable[[str, bool], None]

    # Tells if this instance is to watch; others tell it what changes if not.
    needs_watch: Callable[[], bool]

    # Returns how long to let changes come together, in seconds.
    gather_seconds: Callable[[], float]


class KindFollower:
    """Keeps up with the records of one kind."""

    def __init__(
        self,
        store: RecordStore,
        sink: KindSink,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.sink = sink
        self.timers = timers
        self.rng = rng
        self.revision = 0
        self.failures = 0

    async def follow(self) -> None:
        """List, then watch; list again when the history is gone."""
        while True:
            listed = await self.store.list_kind(self.sink.kind)
            if isinstance(listed, Err):
                await self.rest(listed.unwrap_err())
                continue
            self.note_contact()
            self.revision = listed.unwrap().revision
            self.sink.on_listing(listed.unwrap())
            await self.watch()

    async def watch(self) -> None:
        """Watch until the history of changes is gone."""
        while True:
            while not self.sink.needs_watch():
                await self.timers.pause(LOOK_SECONDS)
            changed = await self.store.watch_kind(
                self.sink.kind, self.revision, WATCH_SECONDS
            )
            if isinstance(changed, Err):
                failure = changed.unwrap_err()
                if failure.code is ResultCode.STORE_HISTORY_GONE:
                    _LOG.info('history gone', extra={'kind': self.sink.kind})
                    return
                await self.rest(failure)
                continue
            self.note_contact()
            self.take(changed)
            await self.timers.pause(self.sink.gather_seconds())

    def take(self, changed: Result[RecordChange, Any]) -> None:
        """Take in what has changed."""
        change = changed.unwrap()
        self.revision = max(self.revision, change.revision)
        if change.changed or change.removed:
            self.sink.on_change(change)

    def note_contact(self) -> None:
        """Note an answer of the store."""
        if self.failures:
            _LOG.info(
                'store regained',
                extra={'kind': self.sink.kind, 'failures': self.failures},
            )
        self.failures = 0
        self.sink.on_contact(self.sink.kind, True)

    async def rest(self, failure: Failure) -> None:
        """Wait before the next call, longer with each failure."""
        if not self.failures:
            _LOG.warning(
                'store lost',
                extra={
                    'kind': self.sink.kind,
                    'code': failure.code.value,
                    'detail': failure.detail,
                },
            )
        self.sink.on_contact(self.sink.kind, False)
        longest = FIRST_PAUSE_SECONDS * 2 ** min(self.failures, 6)
        self.failures += 1
        pause = min(longest, LONGEST_PAUSE_SECONDS)
        await self.timers.pause(pause * self.rng.uniform(0.5, 1))
