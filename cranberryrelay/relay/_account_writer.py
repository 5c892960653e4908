"""Writes the account to the store in segments, chained by their digests.

A store that is restored from an older copy loses segments that it acknowledged.
Written segments are therefore retained for a while and written again,
unchanged, in each later era of the store.
"""

import hashlib
import logging
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

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

# Age of the oldest copy from which a restored store loses no segment of an
# instance that is still running.
RETAINED_SECONDS: Final = 600.0

# Most requests in retained segments, about 4 MB; at a higher rate of requests
# the covered age is shorter.
RETAINED_REQUESTS: Final = 50_000

# Interval at which retained segments are compared with the store's era.
ERA_CHECK_SECONDS: Final = 1.0

# Rate at which all instances together write segments again, a small part of the
# store's write rate.
REWRITES_PER_SECOND: Final = 50.0
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class RetainedSegment(NamedTuple):
    """A segment that the store has acknowledged."""

    # Name of its record.
    name: str

    # The segment.
    segment: SegmentFields

    # Local clock time of the first acknowledgement, in seconds.
    written_at: float

    # Latest era of the store in which it is known to exist.
    era: int

    def request_count(self) -> int:
        """Return the number of requests in the segment."""
        return sum(len(ids) for ids in self.segment['requests'].values())


class AccountWriter:
    """Writes the account segments of one incarnation."""

    def __init__(
        self,
        state: RelayState,
        store: RecordStore,
        timers: TimerService,
        incarnation: str,
        read_era: Callable[[], int],
    ) -> None:
        self.state = state
        self.store = store
        self.timers = timers
        self.incarnation = incarnation
        self.read_era = read_era
        self.retained: deque[RetainedSegment] = deque()
        self.retained_requests = 0
        self.written_count = 0
        self.previous_digest = ''
        self.pending: SegmentFields | None = None

    async def run(self) -> None:
        """Write segments periodically until cancelled."""
        while True:
            instances = self.state.live_instances
            await self.timers.pause(choose_segment_interval(instances))
            await self.write()

    async def keep_written(self) -> None:
        """Write retained segments again in later eras until cancelled."""
        async for now in self.timers.subscribe(ERA_CHECK_SECONDS):
            self.drop_old(now)
            while await self.rewrite_one():
                instances = self.state.live_instances
                await self.timers.pause(instances / REWRITES_PER_SECOND)

    async def rewrite_one(self) -> bool:
        """Write the first segment of an earlier era; False if there is none.

        A segment that the store still has is left as it is.
        """
        era = self.read_era()
        outdated = [one for one in self.retained if one.era < era]
        if not outdated:
            return False
        lost = outdated[0]
        created = await self.store.create(ACCOUNT_KIND, lost.name, lost.segment)
        if isinstance(created, Err):
            failure = created.unwrap_err()
            if failure.code is not ResultCode.STORE_CONFLICT:
                return False
        else:
            _LOG.info(
                'account written again',
                extra={'segment': lost.name, 'era': era},
            )
        if lost in self.retained:
            index = self.retained.index(lost)
            self.retained[index] = lost._replace(era=era)
        return True

    def retain(self, name: str, segment: SegmentFields, era: int) -> None:
        """Retain a segment that the store has acknowledged."""
        retained = RetainedSegment(name, segment, self.timers.now(), era)
        self.retained.append(retained)
        self.retained_requests += retained.request_count()
        while self.retained_requests > RETAINED_REQUESTS:
            self.drop_oldest()

    def drop_old(self, now: float) -> None:
        """Drop the segments that no longer need to be retained."""
        oldest = now - RETAINED_SECONDS
        while self.retained and self.retained[0].written_at < oldest:
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the oldest retained segment."""
        self.retained_requests -= self.retained.popleft().request_count()

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
        era = self.read_era()
        created = await self.store.create(ACCOUNT_KIND, name, segment)
        if isinstance(created, Err):
            failure = created.unwrap_err()
            if failure.code is not ResultCode.STORE_CONFLICT:
                _LOG.warning(
                    'account not written',
                    extra={'segment': name, 'detail': failure.detail},
                )
                return
        self.retain(name, segment, era)
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
