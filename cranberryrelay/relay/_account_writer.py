"""Writes the account to the store in segments, chained by their digests."""

import hashlib
import logging
from typing import Final

import msgspec
from result import Err

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay._account_buffer import (
    SegmentFields,
    group_by_revision,
)
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.relay._state import RelayState
from cranberryrelay.timing import TimerService

# Interval between two segments of an instance, which is also the part of the
# account that a crash can lose.  It grows with the fleet, up to the maximum, so
# that all instances together write at most ``SEGMENTS_PER_SECOND``.
MIN_SEGMENT_SECONDS: Final = 10.0
SEGMENTS_PER_SECOND: Final = 2.0
MAX_SEGMENT_SECONDS: Final = 60.0
ACCOUNT_KIND: Final = 'relay-account'
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class AccountWriter:
    """Writes the account segments of one incarnation."""

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
        self.written_count = 0
        self.previous_digest = ''
        self.pending: SegmentFields | None = None

    async def run(self) -> None:
        """Write segments periodically until cancelled."""
        while True:
            instances = self.state.live_instances
            await self.timers.pause(choose_segment_interval(instances))
            await self.write()

    async def write(self) -> None:
        """Write the next segment; keep it for a retry if the write fails.

        A segment without an answer is written again unchanged.  If the store
        has a record of its name already, the earlier write succeeded.
        """
        segment = self.pending or self.build_segment()
        if segment is None:
            return
        self.pending = segment
        name = f'{self.incarnation}-{self.written_count:06d}'
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
        self.written_count += 1
        self.previous_digest = digest_segment(segment)

    def build_segment(self) -> SegmentFields | None:
        """Return a segment of all buffered requests; None if there are none."""
        entries = self.state.account_buffer.drain()
        if not entries:
            return None
        return SegmentFields(
            instance=self.state.settings.name,
            written_at=self.timers.utc(),
            previous=self.previous_digest,
            requests=group_by_revision(entries),
        )


def choose_segment_interval(instances: int) -> float:
    """Return the interval between segments of an instance, in seconds."""
    period = max(instances / SEGMENTS_PER_SECOND, MIN_SEGMENT_SECONDS)
    return min(period, MAX_SEGMENT_SECONDS)


def digest_segment(segment: SegmentFields) -> str:
    """Return the SHA-256 digest of a segment's canonical JSON, in hex."""
    content = msgspec.json.encode(segment, order='deterministic')
    return hashlib.sha256(content).hexdigest()
