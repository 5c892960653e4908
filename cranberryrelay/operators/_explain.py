"""Finds which revision was in force when a request ran.

Reads only the objects of the platform: the account of the failure domain that
admitted the request and the history of revisions.
"""

from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.agreement import (
    EVIDENCE_BOUND_SECONDS,
    INITIAL_DIGEST,
    AccountSegment,
    RequestId,
    decode_segment,
    digest_segment,
    parse_request_id,
    read_revision,
    segment_key,
)
from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.notes import RevisionRecord
from cranberryrelay.platform import ObjectApi

CLOCK_SKEW_SECONDS: Final = 5.0
SEGMENTS_SCANNED_LIMIT: Final = 2000
HISTORY_READS_LIMIT: Final = 4096


class Explanation(NamedTuple):
    """The revision in force for a request, as far as the account records it."""

    # Request id, as the caller received it.
    request_id: str

    # 'exact', or 'between' if a crash lost the account entry of the request.
    certainty: str

    # Lowest and highest revision that can have been in force; equal if exact.
    lowest: int
    highest: int

    # Object key of the segment that records the request; empty if none does.
    segment: str

    # Revision with its operator, operation and time; None if not exact.
    record: RevisionRecord | None


class _Match(NamedTuple):
    revision: int
    segment: str


class AccountReader:
    """Reads the account of one failure domain and verifies its hash chain."""

    def __init__(self, api: ObjectApi, domain: str) -> None:
        self.api = api
        self.domain = domain
        self.bodies: dict[int, bytes] = {}

    async def read(
        self, position: int
    ) -> Result[AccountSegment | None, Failure]:
        """Read the segment at a position; None if the chain ends before it."""
        cached = self.bodies.get(position)
        if cached is not None:
            return Ok(decode_segment(cached))
        outcome = await self.api.read(segment_key(self.domain, position))
        if outcome.is_err():
            failure = outcome.unwrap_err()
            if failure.code is ResultCode.STORE_NOT_FOUND:
                return Ok(None)
            return Err(failure)
        self.bodies[position] = outcome.unwrap().body
        return Ok(decode_segment(self.bodies[position]))

    async def find_last_position(self) -> Result[int, Failure]:
        """Return the position of the last segment; 0 if there is none.

        Doubles the position up to a missing segment, then bisects.
        """
        low = 0
        high = 1
        while True:
            outcome = await self.read(high)
            if outcome.is_err():
                return Err(outcome.unwrap_err())
            if outcome.unwrap() is None:
                break
            low, high = high, high * 2
        while high - low > 1:
            middle = (low + high) // 2
            outcome = await self.read(middle)
            if outcome.is_err():
                return Err(outcome.unwrap_err())
            if outcome.unwrap() is None:
                high = middle
            else:
                low = middle
        return Ok(low)

    async def find_first_closed_since(
        self, utc: float, end: int
    ) -> Result[int, Failure]:
        """Return the first position of a segment closed at ``utc`` or later.

        ``utc`` is in seconds.  Returns ``end`` + 1 if all segments up to
        ``end`` were closed earlier.
        """
        low = 0
        high = end + 1
        while high - low > 1:
            middle = (low + high) // 2
            outcome = await self.read(middle)
            if outcome.is_err():
                return Err(outcome.unwrap_err())
            segment = outcome.unwrap()
            if segment is None:
                return Err(_make_gap_failure(self.domain, middle))
            if segment.closed_at < utc:
                low = middle
            else:
                high = middle
        return Ok(high)

    async def check_link(self, position: int) -> Failure | None:
        """Check that a segment holds the digest of the segment before it.

        Returns ``ACCOUNT_GAP`` or an error of the store; None if it does.
        """
        outcome = await self.read(position)
        if outcome.is_err():
            return outcome.unwrap_err()
        current = outcome.unwrap()
        if current is None:
            return _make_gap_failure(self.domain, position)
        expected = INITIAL_DIGEST
        if position > 1:
            previous = await self.read(position - 1)
            if previous.is_err():
                return previous.unwrap_err()
            if previous.unwrap() is None:
                return _make_gap_failure(self.domain, position - 1)
            expected = digest_segment(self.bodies[position - 1])
        return (
            None
            if current.previous == expected
            else _make_gap_failure(self.domain, position)
        )


async def explain_request(
    api: ObjectApi, text: str
) -> Result[Explanation, Failure]:
    """Find the revision that was in force for the request with an id.

    Errors: ``REQUEST_ID_UNKNOWN``, ``ACCOUNT_GAP`` and those of the store.
    """
    parsed = parse_request_id(text)
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    request_id = parsed.unwrap()
    reader = AccountReader(api, request_id.domain)
    end = await reader.find_last_position()
    if end.is_err():
        return Err(end.unwrap_err())
    start = await reader.find_first_closed_since(
        request_id.admitted_at - CLOCK_SKEW_SECONDS, end.unwrap()
    )
    if start.is_err():
        return Err(start.unwrap_err())
    last = min(end.unwrap(), start.unwrap() + SEGMENTS_SCANNED_LIMIT)
    for position in range(start.unwrap(), last + 1):
        failure = await reader.check_link(position)
        if failure is not None:
            return Err(failure)
        segment = (await reader.read(position)).unwrap()
        match = _find_match(segment, request_id, reader.domain, position)
        if match is not None:
            return await _explain_exactly(api, text, match)
    return await _explain_bounds(api, text, request_id)


async def verify_account(api: ObjectApi, domain: str) -> Result[int, Failure]:
    """Verify the hash chain of a domain's account.

    Returns the number of segments.
    """
    reader = AccountReader(api, domain)
    end = await reader.find_last_position()
    if end.is_err():
        return Err(end.unwrap_err())
    for position in range(1, end.unwrap() + 1):
        failure = await reader.check_link(position)
        if failure is not None:
            return Err(failure)
    return Ok(end.unwrap())


async def _explain_exactly(
    api: ObjectApi, text: str, match: _Match
) -> Result[Explanation, Failure]:
    record = await read_revision(api, match.revision)
    if record.is_err():
        return Err(record.unwrap_err())
    return Ok(
        Explanation(
            text,
            'exact',
            match.revision,
            match.revision,
            match.segment,
            record.unwrap(),
        )
    )


async def _explain_bounds(
    api: ObjectApi, text: str, request_id: RequestId
) -> Result[Explanation, Failure]:
    """Bound the revision in force by when revisions were written."""
    admitted_at = request_id.admitted_at
    oldest = admitted_at - EVIDENCE_BOUND_SECONDS - CLOCK_SKEW_SECONDS
    newest = admitted_at + CLOCK_SKEW_SECONDS
    lowest = 0
    highest = 0
    for revision in range(1, HISTORY_READS_LIMIT):
        found = await read_revision(api, revision)
        if found.is_err():
            break
        written_at = found.unwrap().written_at
        if written_at <= oldest:
            lowest = revision
        if written_at <= newest:
            highest = revision
    if highest == 0:
        detail = f'no revision was in force at {admitted_at}'
        return Err(fail(ResultCode.REQUEST_ID_UNKNOWN, detail))
    return Ok(Explanation(text, 'between', max(lowest, 1), highest, '', None))


def _find_match(
    segment: AccountSegment | None,
    request_id: RequestId,
    domain: str,
    position: int,
) -> _Match | None:
    if segment is None:
        return None
    for account_range in segment.ranges:
        if account_range.entry != request_id.entry:
            continue
        if account_range.first <= request_id.sequence <= account_range.last:
            return _Match(account_range.revision, segment_key(domain, position))
    return None


def _make_gap_failure(domain: str, position: int) -> Failure:
    detail = f'segment {position} of {domain} is missing or was changed'
    return fail(ResultCode.ACCOUNT_GAP, detail)
