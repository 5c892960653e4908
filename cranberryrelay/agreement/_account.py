"""The account: a durable record of which revision was in force per request.

Entries number their requests and report ranges of numbers that were admitted
under one revision.  One instance of each failure domain writes the reported
ranges into segments.  Each segment is created by a conditional write at the
next index and holds the digest of the segment before it, so that a gap or a
changed segment is detected.
"""

import hashlib
from enum import IntEnum
from functools import singledispatch
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.agreement._effects import (
    Answer,
    Effect,
    ReadDone,
    SendPeer,
    StoreRead,
    StoreWrite,
    WriteDone,
)
from cranberryrelay.codes import Failure, ResultCode, fail

FLUSH_INTERVAL_SECONDS: Final = 1.0
RANGES_PER_REPORT: Final = 500
RANGES_PER_SEGMENT: Final = 4000
WAITING_RANGES_LIMIT: Final = 20_000
INITIAL_DIGEST: Final = '0' * hashlib.sha256().digest_size
_ID_PARTS: Final = 4
_ID_BASE: Final = 16
_MILLISECONDS: Final = 1000
_INDEX_DIGITS: Final = 10


class RequestId(NamedTuple):
    """Identifies a request permanently: its entry, time and number."""

    # Failure domain of the entry.
    domain: str

    # Instance and incarnation of the entry, joined by a dot.
    entry: str

    # UTC time of admission in seconds, with a resolution of 1 ms.
    admitted_at: float

    # Sequence number of the request at that entry, from 1.
    sequence: int


def format_request_id(request_id: RequestId) -> str:
    """Return the text of a request id, as sent to callers."""
    milliseconds = round(request_id.admitted_at * _MILLISECONDS)
    return '~'.join(
        (
            request_id.domain,
            request_id.entry,
            f'{milliseconds:x}',
            f'{request_id.sequence:x}',
        )
    )


def parse_request_id(text: str) -> Result[RequestId, Failure]:
    """Parse a request id; ``REQUEST_ID_UNKNOWN`` if it is malformed."""
    parts = text.split('~')
    if len(parts) != _ID_PARTS:
        return Err(
            fail(
                ResultCode.REQUEST_ID_UNKNOWN,
                f'{text} is not a request id; it has four parts joined by ~',
            )
        )
    domain, entry, milliseconds, sequence = parts
    try:
        admitted_at = int(milliseconds, _ID_BASE) / _MILLISECONDS
        sequence_number = int(sequence, _ID_BASE)
    except ValueError as error:
        return Err(fail(ResultCode.REQUEST_ID_UNKNOWN, str(error)))
    return Ok(RequestId(domain, entry, admitted_at, sequence_number))


class AccountRange(NamedTuple):
    """Requests of one entry that were admitted under one revision."""

    # Instance and incarnation of the entry, joined by a dot.
    entry: str

    # Sequence number of the first request.
    first: int

    # Sequence number of the last request.
    last: int

    # Revision that was in force.
    revision: int

    # UTC time when the first request was admitted, in seconds.
    started_at: float

    # UTC time when the last request was admitted, in seconds.
    ended_at: float


class RecordRanges(NamedTuple):
    """Reports ranges of an entry to the account of its failure domain."""

    # Number of the report; increases with each report of the entry.
    report: int

    # Ranges that are not yet acknowledged.
    ranges: tuple[AccountRange, ...]


class RangesSaved(NamedTuple):
    """Acknowledges that the ranges of a report are in the account."""

    # Number of the report.
    report: int


class AccountSegment(NamedTuple):
    """The value of one object of a domain's account, stored as an array."""

    # Identifies the write, so that the writer recognizes its own segment
    # after a lost answer; unique for each write.
    writer: str

    # UTC time when the segment was closed, in seconds; never decreases from
    # one segment to the next.
    closed_at: float

    # Digest of the segment before; the link of the hash chain.
    previous: str

    # Ranges of the reports that the segment holds.
    ranges: tuple[AccountRange, ...]


class PendingReport(NamedTuple):
    """A report that is not yet in the account."""

    # Peer name of the entry that sent the report.
    sender: str

    # The report.
    message: RecordRanges


class _Search(IntEnum):
    """State of the search for the first free index of the chain.

    ``GALLOP`` doubles the index until no segment is found, ``BISECT``
    narrows the interval, ``FOLLOW`` reads one index after another following
    a failed write, and ``FOUND`` means that the next index is free.
    """

    GALLOP = 1
    BISECT = 2
    FOLLOW = 3
    FOUND = 4


def segment_key(domain: str, index: int) -> str:
    """Return the store key of a segment of a domain's account."""
    return f'account/{domain}/{index:0{_INDEX_DIGITS}}'


def digest_segment(body: bytes) -> str:
    """Return the SHA-256 digest of a segment's value, in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def decode_segment(body: bytes) -> AccountSegment:
    """Decode the value of a segment."""
    return msgspec.json.decode(body, type=AccountSegment)


class RangeBuilder:
    """Numbers the requests of one entry and combines them into ranges."""

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self.sequence = 0
        self.report = 0
        self.unsaved: list[AccountRange] = []
        self.saved_up_to = 0
        self.last_by_report: dict[int, int] = {}

    def assign_number(self, revision: int, utc: float) -> int:
        """Assign a sequence number to a request admitted under ``revision``."""
        self.sequence += 1
        last = self.unsaved[-1] if self.unsaved else None
        extends = last is not None and last.revision == revision
        if last is not None and extends:
            self.unsaved[-1] = last._replace(last=self.sequence, ended_at=utc)
        else:
            new_range = AccountRange(
                self.entry, self.sequence, self.sequence, revision, utc, utc
            )
            self.unsaved.append(new_range)
        return self.sequence

    def make_report(self) -> RecordRanges | None:
        """Return a report of unacknowledged ranges; None if there are none.

        A report holds at most ``RANGES_PER_REPORT`` ranges.
        """
        if not self.unsaved:
            return None
        self.report += 1
        ranges = tuple(self.unsaved[:RANGES_PER_REPORT])
        self.last_by_report[self.report] = ranges[-1].last
        return RecordRanges(self.report, ranges)

    def acknowledge_report(self, report: int) -> None:
        """Remove the ranges that an acknowledged report covered."""
        covered = self.last_by_report.pop(report, 0)
        self.saved_up_to = max(self.saved_up_to, covered)
        self.unsaved = [
            unsaved._replace(first=max(unsaved.first, self.saved_up_to + 1))
            for unsaved in self.unsaved
            if unsaved.last > self.saved_up_to
        ]
        self.last_by_report = {
            sequence_number: last
            for sequence_number, last in self.last_by_report.items()
            if last > self.saved_up_to
        }


class AccountSegmentWriter:
    """Writes the account of one failure domain; owned by one task."""

    def __init__(self, domain: str, incarnation: str) -> None:
        self.domain = domain
        self.incarnation = incarnation
        self.search = _Search.GALLOP
        self.next_index = 1
        self.low = 0
        self.high = 0
        self.previous_digest = INITIAL_DIGEST
        self.closed_at = float(0)
        self.busy = False
        self.write_count = 0
        self.waiting_reports: list[PendingReport] = []
        self.reports_in_flight: tuple[PendingReport, ...] = ()
        self.flushed_at = float('-inf')
        self.segments_written = 0
        self.reports_rejected = 0

    def on_tick(self, now: float, utc: float) -> list[Effect]:
        """Search the end of the chain, or write the waiting reports."""
        if self.busy or not (self.waiting_reports or self.reports_in_flight):
            return []
        if self.search is not _Search.FOUND:
            return self._read()
        if now - self.flushed_at < FLUSH_INTERVAL_SECONDS:
            return []
        self.flushed_at = now
        return self._write(utc)

    def receive(self, sender: str, message: Any) -> list[Effect]:
        """Handle a message from an entry."""
        return handle_account_message(message, self, sender)

    def on_answer(self, answer: Answer) -> list[Effect]:
        """Handle an answer of the store."""
        return handle_account_answer(answer, self)

    def extend_chain(self, body: bytes) -> None:
        """Use a stored segment as the one before the next segment."""
        segment = decode_segment(body)
        self.previous_digest = digest_segment(body)
        self.closed_at = max(self.closed_at, segment.closed_at)

    def _next_batch(self) -> tuple[PendingReport, ...]:
        batch: list[PendingReport] = []
        size = 0
        while self.waiting_reports and size < RANGES_PER_SEGMENT:
            report = self.waiting_reports.pop(0)
            size += len(report.message.ranges)
            batch.append(report)
        return tuple(batch)

    def _read(self) -> list[Effect]:
        self.busy = True
        return [StoreRead(segment_key(self.domain, self.next_index))]

    def _write(self, utc: float) -> list[Effect]:
        self.reports_in_flight = self._next_batch()
        self.write_count += 1
        self.busy = True
        self.closed_at = max(self.closed_at, utc)
        ranges = tuple(
            reported
            for report in self.reports_in_flight
            for reported in report.message.ranges
        )
        write_id = f'{self.incarnation}.{self.write_count}'
        segment = AccountSegment(
            write_id, self.closed_at, self.previous_digest, ranges
        )
        body = msgspec.json.encode(segment)
        key = segment_key(self.domain, self.next_index)
        return [StoreWrite(key, body, 0, write_id)]


def advance_end_search(writer: AccountSegmentWriter, *, found: bool) -> None:
    """Advance the search for the first free index after a read."""
    if writer.search is _Search.FOLLOW:
        writer.next_index += int(found)
        writer.search = _Search.FOLLOW if found else _Search.FOUND
        return
    if found:
        writer.low = writer.next_index
    else:
        writer.high = writer.next_index
        writer.search = _Search.BISECT
    if writer.search is _Search.GALLOP:
        writer.next_index *= 2
    elif writer.high - writer.low <= 1:
        writer.search = _Search.FOUND
        writer.next_index = writer.high
    else:
        writer.next_index = (writer.low + writer.high) // 2


@singledispatch
def handle_account_message(
    message: Any, writer: AccountSegmentWriter, sender: str
) -> list[Effect]:
    """Handle a message; types without a handler are not for the account."""
    return []


@handle_account_message.register
def _(
    message: RecordRanges, writer: AccountSegmentWriter, sender: str
) -> list[Effect]:
    writer.waiting_reports = [
        report for report in writer.waiting_reports if report.sender != sender
    ]
    waiting_ranges = sum(
        len(report.message.ranges) for report in writer.waiting_reports
    )
    if waiting_ranges + len(message.ranges) > WAITING_RANGES_LIMIT:
        writer.reports_rejected += 1
        return []
    writer.waiting_reports.append(PendingReport(sender, message))
    return []


@singledispatch
def handle_account_answer(
    answer: Any, writer: AccountSegmentWriter
) -> list[Effect]:
    """Handle an answer; types without a handler are not for the account."""
    return []


@handle_account_answer.register
def _(answer: ReadDone, writer: AccountSegmentWriter) -> list[Effect]:
    if answer.read.key != segment_key(writer.domain, writer.next_index):
        return []
    writer.busy = False
    if answer.outcome.is_ok():
        body = answer.outcome.unwrap().body
        writer.extend_chain(body)
        acknowledgements = _acknowledge_if_own(writer, body)
        advance_end_search(writer, found=True)
        return acknowledgements
    if answer.outcome.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
        writer.waiting_reports = [
            *writer.reports_in_flight,
            *writer.waiting_reports,
        ]
        writer.reports_in_flight = ()
        advance_end_search(writer, found=False)
    return []


@handle_account_answer.register
def _(answer: WriteDone, writer: AccountSegmentWriter) -> list[Effect]:
    if answer.write.key != segment_key(writer.domain, writer.next_index):
        return []
    writer.busy = False
    if answer.outcome.is_ok():
        writer.extend_chain(answer.write.body)
        writer.next_index += 1
        writer.segments_written += 1
        return _acknowledge_reports(writer)
    code = answer.outcome.unwrap_err().code
    if code is ResultCode.STORE_UNAVAILABLE:
        writer.waiting_reports = [
            *writer.reports_in_flight,
            *writer.waiting_reports,
        ]
        writer.reports_in_flight = ()
    else:
        writer.search = _Search.FOLLOW
    return []


def _acknowledge_if_own(
    writer: AccountSegmentWriter, body: bytes
) -> list[Effect]:
    write_id = f'{writer.incarnation}.{writer.write_count}'
    if writer.reports_in_flight and decode_segment(body).writer == write_id:
        return _acknowledge_reports(writer)
    return []


def _acknowledge_reports(writer: AccountSegmentWriter) -> list[Effect]:
    acknowledgements: list[Effect] = [
        SendPeer(report.sender, RangesSaved(report.message.report))
        for report in writer.reports_in_flight
    ]
    writer.reports_in_flight = ()
    return acknowledgements
