"""Writes the account to the store in segments, sealed in a chain."""

import hashlib
import logging
from typing import Final

import msgspec
from result import Err

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay._account_book import (
    SegmentFields,
    group_by_revision,
)
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.relay._state import RelayState
from cranberryrelay.timing import TimerService

# What a crash can lose of the account, in seconds: the first in a small
# fleet, more in a larger one, so that all together write two segments a
# second, but not more than the last.
SEGMENT_SECONDS: Final = 10.0
SEGMENTS_PER_SECOND: Final = 2.0
LONGEST_SECONDS: Final = 60.0
ACCOUNT_KIND: Final = 'relay-account'
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class AccountWriter:
    """Writes the segments of one incarnation."""

    def __init__(
        self,
        state: RelayState,
        store: RecordStore,
        timers: TimerService,
        incarnation: str,
    ) -> None:
        self.state = state
        self.store = store
        self.timers = timers
        self.incarnation = incarnation
        self.written = 0
        self.previous = ''
        self.pending: SegmentFields | None = None

    async def write_regularly(self) -> None:
        """Write a segment now and then for ever."""
        while True:
            instances = self.state.live_instances
            await self.timers.pause(choose_period(instances))
            await self.write()

    async def write(self) -> None:
        """Write what has come together; keep it if the store is away.

        A segment whose answer was lost is written again as it was.  If the
        store has its name already, it was written the first time.
        """
        segment = self.pending or self.gather()
        if segment is None:
            return
        self.pending = segment
        name = f'{self.incarnation}-{self.written:06d}'
        created = await self.store.create(ACCOUNT_KIND, name, segment)
        if isinstance(created, Err):
            failure = created.unwrap_err()
            if failure.code is not ResultCode.STORE_CONFLICT:
                _LOG.warning(
                    'account not written',
                    extra={'segment': name, 'detail': failure.detail},
                )
                return
        self.pending = None
        self.written += 1
        self.previous = seal_segment(segment)

    def gather(self) -> SegmentFields | None:
        """Make a segment of what has come together; None if nothing has."""
        entries = self.state.account.take()
        if not entries:
            return None
        return SegmentFields(
            instance=self.state.settings.name,
            written_at=self.timers.utc(),
            previous=self.previous,
            requests=group_by_revision(entries),
        )


def choose_period(instances: int) -> float:
    """Return the time between two segments of an instance, in seconds."""
    period = max(instances / SEGMENTS_PER_SECOND, SEGMENT_SECONDS)
    return min(period, LONGEST_SECONDS)


def seal_segment(segment: SegmentFields) -> str:
    """Return the digest of a segment over its content in canonical order."""
    content = msgspec.json.encode(segment, order='deterministic')
    return hashlib.sha256(content).hexdigest()
