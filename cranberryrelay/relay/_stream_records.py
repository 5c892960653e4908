"""Keeps in the store which software versions served and began which streams.

All instances may be killed at once, and callers take their streams up at new
ones. One instance writes for all, as the others tell it of their streams while
several versions serve; otherwise it writes only when the versions change.
"""

import logging
from base64 import b64decode, b64encode
from collections.abc import Iterator
from typing import Any, Final, TypedDict

import msgspec
from result import Err

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._records import KindRecord, RecordStore
from cranberryrelay.relay._stream_versions import (
    AnnouncedStreams,
    StreamSummary,
    StreamVersions,
)
from cranberryrelay.timing import TimerService

STREAMS_KIND: Final = 'relay-streams'
LOAD_RETRY_SECONDS: Final = 0.3

# Interval between writes while streams begin. Streams of the last interval are
# unknown if all instances end.
WRITE_SECONDS: Final = 0.25
_DIGEST_BYTES: Final = 8

# Most streams of a version that a record holds, so that it stays well below the
# size limit of the store: 11 bytes each in base64.
RECORDED_LIMIT: Final = 30_000
_LOG: Final = logging.getLogger('cranberryrelay.relay')

# Failures after which the record differs from what this instance has read.
_CHANGED_CODES: Final = frozenset(
    (ResultCode.STORE_CONFLICT, ResultCode.STORE_NOT_FOUND)
)


class StreamRecordFields(TypedDict):
    """Value of the record of one service."""

    # Software versions that served recently.
    versions: list[str]

    # Digests of the request ids that began streams, by version: 64-bit
    # integers, big-endian, one after the other in base64. Empty while one
    # version serves.
    streams: dict[str, str]


class StreamRecorder:
    """Reads the records at the start and keeps them up to date."""

    def __init__(
        self, store: RecordStore, duties: Duties, timers: TimerService
    ) -> None:
        self.store = store
        self.duties = duties
        self.timers = timers
        self.versions: StreamVersions = duties.protocol.state.stream_versions
        self.records: dict[str, KindRecord] = {}
        self.failing = False

    async def run(self) -> None:
        """Load the records, then write them until cancelled."""
        while not await self.load():
            await self.timers.pause(LOAD_RETRY_SECONDS)
        async for _ in self.timers.subscribe(WRITE_SECONDS):
            if self.duties.standby_index() == 0:
                for service in self.versions.known_versions():
                    await self.write(service)

    async def load(self) -> bool:
        """Read all records; return False if the store does not answer."""
        listed = await self.store.list_kind(STREAMS_KIND)
        if isinstance(listed, Err):
            return False
        records = listed.unwrap().records
        for record in records:
            self.apply(record)
        self.versions.informed = True
        _LOG.info(
            'stream versions loaded',
            extra={
                'versions': self.versions.known_versions(),
                'streams': len(self.versions.streams),
            },
        )
        return True

    def apply(self, record: KindRecord) -> None:
        """Apply a record; one that cannot be decoded counts as empty."""
        self.records[record.name] = record
        fields = decode_record(record)
        if fields is None:
            return
        summary = StreamSummary(
            [
                AnnouncedStreams(record.name, version, _unpack(text))
                for version, text in fields['streams'].items()
            ],
            {record.name: fields['versions']},
        )
        self.versions.apply_summary(summary, self.timers.now())

    async def write(self, service: str) -> None:
        """Write the record of a service if its content has changed.

        One of an earlier era of the store is written again, as a store that is
        restored from an older copy may have lost it.
        """
        fields = make_record(self.versions, service)
        known = self.records.get(service)
        era = self.duties.protocol.store_replica.known_era()
        if known and known.value == fields and known.position.era >= era:
            return
        if known is None:
            outcome = await self.store.create(STREAMS_KIND, service, fields)
        else:
            changed = known._replace(value=fields)
            outcome = await self.store.replace(STREAMS_KIND, changed)
        if isinstance(outcome, Err):
            await self.handle_failure(service, outcome.unwrap_err())
            return
        self.failing = False
        self.records[service] = outcome.unwrap()._replace(value=fields)

    async def handle_failure(self, service: str, failure: Failure) -> None:
        """Log the first failure in a row; merge a record that has changed."""
        if not self.failing:
            _LOG.warning(
                'stream versions not written',
                extra={
                    'service': service,
                    'code': failure.code.value,
                    'detail': failure.detail,
                },
            )
        self.failing = True
        if failure.code not in _CHANGED_CODES:
            return
        found = await self.store.read(STREAMS_KIND, service)
        if not isinstance(found, Err):
            self.apply(found.unwrap())
        elif found.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
            self.records.pop(service, None)


def make_record(versions: StreamVersions, service: str) -> StreamRecordFields:
    """Return the record of a service as of now."""
    streams: dict[str, list[int]] = {}
    if versions.is_mixed(service):
        for digest, stream in versions.streams.items():
            if stream.service == service:
                streams.setdefault(stream.version, []).append(digest)
    return StreamRecordFields(
        versions=sorted(versions.versions_of(service)),
        streams={
            version: _pack(digests[-RECORDED_LIMIT:])
            for version, digests in streams.items()
        },
    )


def decode_record(record: KindRecord) -> StreamRecordFields | None:
    """Decode a record; None, with a log line, if it is invalid."""
    value: Any = record.value
    try:
        fields = msgspec.convert(value, StreamRecordFields)
        for text in fields['streams'].values():
            _unpack(text)
    except (msgspec.ValidationError, ValueError) as error:
        _LOG.warning(
            'invalid stream record',
            extra={'service': record.name, 'detail': str(error)},
        )
        return None
    return fields


def _pack(digests: list[int]) -> str:
    content = b''.join(one.to_bytes(_DIGEST_BYTES, 'big') for one in digests)
    return b64encode(content).decode()


def _unpack(text: str) -> list[int]:
    return list(_split(b64decode(text, validate=True)))


def _split(content: bytes) -> Iterator[int]:
    for start in range(0, len(content), _DIGEST_BYTES):
        yield int.from_bytes(content[start : start + _DIGEST_BYTES], 'big')
