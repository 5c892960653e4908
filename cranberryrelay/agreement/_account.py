"""The account: which revision was in force when each request ran.

Entries number their requests and report ranges of numbers that ran under
one revision.  One instance of each failure domain gathers the ranges into
segments, each made by a conditional create at the next place and chained
by digest to the one before, so a gap or a changed segment shows.
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

FLUSH_SECONDS: Final = 1.0
RANGES_PER_REPORT: Final = 500
RANGES_PER_SEGMENT: Final = 4000
RANGES_WAITING_LIMIT: Final = 20_000
FIRST_SEAL: Final = '0' * hashlib.sha256().digest_size
_ID_PARTS: Final = 4
_ID_BASE: Final = 16
_MILLISECONDS: Final = 1000
_PLACE_DIGITS: Final = 10


class RequestId(NamedTuple):
    """Names a request for ever: where, when and which it was."""

    # Failure domain of the entry.
    domain: str

    # Instance and incarnation of the entry, joined by a dot.
    entry: str

    # Seconds of UTC at admission, to the millisecond.
    admitted_at: float

    # Number of the request at that entry, from 1.
    sequence: int


def format_request_id(request_id: RequestId) -> str:
    """Write a request id as the text that callers get."""
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
    """Read a request id; ``REQUEST_ID_UNKNOWN`` if it is none."""
    parts = text.split('~')
    if len(parts) != _ID_PARTS:
        return Err(fail(ResultCode.REQUEST_ID_UNKNOWN, f'{text} is no id'))
    domain, entry, milliseconds, sequence = parts
    try:
        admitted_at = int(milliseconds, _ID_BASE) / _MILLISECONDS
        number = int(sequence, _ID_BASE)
    except ValueError as error:
        return Err(fail(ResultCode.REQUEST_ID_UNKNOWN, str(error)))
    return Ok(RequestId(domain, entry, admitted_at, number))


class AccountRange(NamedTuple):
    """Requests of one entry that were admitted under one revision."""

    # Instance and incarnation of the entry, joined by a dot.
    entry: str

    # Number of the first request.
    first: int

    # Number of the last request.
    last: int

    # Revision that was in force.
    revision: int

    # When the first was admitted, in seconds of UTC.
    started_at: float

    # When the last was admitted, in seconds of UTC.
    ended_at: float


class RecordRanges(NamedTuple):
    """An entry reports ranges to its domain's account."""

    # Rises with each report of the entry.
    report: int

    # Ranges that are not yet known to be saved.
    ranges: tuple[AccountRange, ...]


class RangesSaved(NamedTuple):
    """The ranges of a report are in the account."""

    # The report.
    report: int


class AccountSegment(NamedTuple):
    """The value of one object of a domain's account."""

    # Differs for every write, to know a lost answer's write again.
    writer: str

    # When it was closed, in seconds of UTC; never falls along the chain.
    closed_at: float

    # Seal of the segment before.
    previous: str

    # The ranges.
    ranges: tuple[AccountRange, ...]


class Report(NamedTuple):
    """A report that waits to be saved, and who sent it."""

    # The entry that sent it.
    sender: str

    # What it reported.
    message: RecordRanges


class _Search(IntEnum):
    """How the end of the chain is being looked for."""

    GALLOP = 1
    BISECT = 2
    FOLLOW = 3
    FOUND = 4


def segment_key(domain: str, place: int) -> str:
    """Return the key of the segment at a place of a domain's account."""
    return f'account/{domain}/{place:0{_PLACE_DIGITS}}'


def seal_segment(body: bytes) -> str:
    """Return the seal of a segment's value, for the next one to carry."""
    return hashlib.sha256(body).hexdigest()


def decode_segment(body: bytes) -> AccountSegment:
    """Decode the value of a segment."""
    return msgspec.json.decode(body, type=AccountSegment)


class RangeBuilder:
    """Numbers the requests of one entry and gathers them into ranges."""

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self.sequence = 0
        self.report = 0
        self.unsaved: list[AccountRange] = []
        self.saved_up_to = 0
        self.reported: dict[int, int] = {}

    def admit(self, revision: int, utc: float) -> int:
        """Give a number to a request admitted now under a revision."""
        self.sequence += 1
        last = self.unsaved[-1] if self.unsaved else None
        extends = last is not None and last.revision == revision
        if last is not None and extends:
            self.unsaved[-1] = last._replace(last=self.sequence, ended_at=utc)
        else:
            opened = AccountRange(
                self.entry, self.sequence, self.sequence, revision, utc, utc
            )
            self.unsaved.append(opened)
        return self.sequence

    def make_report(self) -> RecordRanges | None:
        """Report everything not known to be saved, None if that is nothing."""
        if not self.unsaved:
            return None
        self.report += 1
        ranges = tuple(self.unsaved[:RANGES_PER_REPORT])
        self.reported[self.report] = ranges[-1].last
        return RecordRanges(self.report, ranges)

    def take_saved(self, report: int) -> None:
        """Drop what a saved report covered."""
        covered = self.reported.pop(report, 0)
        self.saved_up_to = max(self.saved_up_to, covered)
        self.unsaved = [
            one._replace(first=max(one.first, self.saved_up_to + 1))
            for one in self.unsaved
            if one.last > self.saved_up_to
        ]
        self.reported = {
            number: upto
            for number, upto in self.reported.items()
            if upto > self.saved_up_to
        }


class AccountPart:
    """Writes one domain's account; one task owns it."""

    def __init__(self, domain: str, incarnation: str) -> None:
        self.domain = domain
        self.incarnation = incarnation
        self.search = _Search.GALLOP
        self.place = 1
        self.low = 0
        self.high = 0
        self.seal = FIRST_SEAL
        self.closed_at = float(0)
        self.busy = False
        self.attempts = 0
        self.waiting: list[Report] = []
        self.writing: tuple[Report, ...] = ()
        self.flushed_at = float('-inf')
        self.segments = 0
        self.refused = 0

    def on_tick(self, now: float, utc: float) -> list[Effect]:
        """Look for the end of the chain, or write what has gathered."""
        if self.busy or not (self.waiting or self.writing):
            return []
        if self.search is not _Search.FOUND:
            return self._read()
        if now - self.flushed_at < FLUSH_SECONDS:
            return []
        self.flushed_at = now
        return self._write(utc)

    def receive(self, sender: str, message: Any) -> list[Effect]:
        """Take in a report."""
        return attend_account(message, self, sender)

    def on_answer(self, answer: Answer) -> list[Effect]:
        """Take in an answer of the store."""
        return take_account_answer(answer, self)

    def take_segment(self, body: bytes) -> None:
        """Go past a segment that stands in the chain."""
        segment = decode_segment(body)
        self.seal = seal_segment(body)
        self.closed_at = max(self.closed_at, segment.closed_at)

    def _take_batch(self) -> tuple[Report, ...]:
        batch: list[Report] = []
        size = 0
        while self.waiting and size < RANGES_PER_SEGMENT:
            report = self.waiting.pop(0)
            size += len(report.message.ranges)
            batch.append(report)
        return tuple(batch)

    def _read(self) -> list[Effect]:
        self.busy = True
        return [StoreRead(segment_key(self.domain, self.place))]

    def _write(self, utc: float) -> list[Effect]:
        self.writing = self._take_batch()
        self.attempts += 1
        self.busy = True
        self.closed_at = max(self.closed_at, utc)
        ranges = tuple(
            one for report in self.writing for one in report.message.ranges
        )
        writer = f'{self.incarnation}.{self.attempts}'
        segment = AccountSegment(writer, self.closed_at, self.seal, ranges)
        body = msgspec.json.encode(segment)
        key = segment_key(self.domain, self.place)
        return [StoreWrite(key, body, 0, writer)]


def step_search(part: AccountPart, *, found: bool) -> None:
    """Narrow down the first free place of the chain after a read."""
    if part.search is _Search.FOLLOW:
        part.place += int(found)
        part.search = _Search.FOLLOW if found else _Search.FOUND
        return
    if found:
        part.low = part.place
    else:
        part.high = part.place
        part.search = _Search.BISECT
    if part.search is _Search.GALLOP:
        part.place *= 2
    elif part.high - part.low <= 1:
        part.search = _Search.FOUND
        part.place = part.high
    else:
        part.place = (part.low + part.high) // 2


@singledispatch
def attend_account(
    message: Any, part: AccountPart, sender: str
) -> list[Effect]:
    """Take in a message that is not for the account."""
    return []


@attend_account.register
def _(message: RecordRanges, part: AccountPart, sender: str) -> list[Effect]:
    part.waiting = [one for one in part.waiting if one.sender != sender]
    held = sum(len(one.message.ranges) for one in part.waiting)
    if held + len(message.ranges) > RANGES_WAITING_LIMIT:
        part.refused += 1
        return []
    part.waiting.append(Report(sender, message))
    return []


@singledispatch
def take_account_answer(answer: Any, part: AccountPart) -> list[Effect]:
    """Take in an answer that is not for the account."""
    return []


@take_account_answer.register
def _(answer: ReadDone, part: AccountPart) -> list[Effect]:
    if answer.read.key != segment_key(part.domain, part.place):
        return []
    part.busy = False
    if answer.outcome.is_ok():
        body = answer.outcome.unwrap().body
        part.take_segment(body)
        saved = _finish_if_own(part, body)
        step_search(part, found=True)
        return saved
    if answer.outcome.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
        part.waiting = [*part.writing, *part.waiting]
        part.writing = ()
        step_search(part, found=False)
    return []


@take_account_answer.register
def _(answer: WriteDone, part: AccountPart) -> list[Effect]:
    if answer.write.key != segment_key(part.domain, part.place):
        return []
    part.busy = False
    if answer.outcome.is_ok():
        part.take_segment(answer.write.body)
        part.place += 1
        part.segments += 1
        return _finish_reports(part)
    code = answer.outcome.unwrap_err().code
    if code is ResultCode.STORE_UNAVAILABLE:
        part.waiting = [*part.writing, *part.waiting]
        part.writing = ()
    else:
        part.search = _Search.FOLLOW
    return []


def _finish_if_own(part: AccountPart, body: bytes) -> list[Effect]:
    own = f'{part.incarnation}.{part.attempts}'
    if part.writing and decode_segment(body).writer == own:
        return _finish_reports(part)
    return []


def _finish_reports(part: AccountPart) -> list[Effect]:
    saved: list[Effect] = [
        SendPeer(report.sender, RangesSaved(report.message.report))
        for report in part.writing
    ]
    part.writing = ()
    return saved
