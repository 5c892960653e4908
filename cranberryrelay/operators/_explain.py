"""Which revision was in force when a request ran, from the platform alone."""

from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.agreement import (
    EVIDENCE_BOUND_SECONDS,
    FIRST_SEAL,
    AccountSegment,
    RequestId,
    decode_segment,
    parse_request_id,
    read_revision,
    seal_segment,
    segment_key,
)
from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.notes import RevisionRecord
from cranberryrelay.platform import ObjectApi

CLOCK_SKEW_SECONDS: Final = 5.0
SEGMENTS_SCANNED_LIMIT: Final = 2000
HISTORY_READS_LIMIT: Final = 4096


class Explanation(NamedTuple):
    """What the account says of a request."""

    # The request id.
    request_id: str

    # 'exact', or 'between' when the request is in a crash's loss window.
    certainty: str

    # Lowest and highest revision that can have been in force.
    lowest: int
    highest: int

    # Key of the segment that says so; empty if none does.
    segment: str

    # Who wrote the revision, what it did and when; None if it is not exact.
    record: RevisionRecord | None


class _Found(NamedTuple):
    revision: int
    segment: str


class Chain:
    """Reads one domain's account and checks its seals."""

    def __init__(self, api: ObjectApi, domain: str) -> None:
        self.api = api
        self.domain = domain
        self.bodies: dict[int, bytes] = {}

    async def read(self, place: int) -> Result[AccountSegment | None, Failure]:
        """Read a segment; None when the chain ends before the place."""
        known = self.bodies.get(place)
        if known is not None:
            return Ok(decode_segment(known))
        found = await self.api.read(segment_key(self.domain, place))
        if found.is_err():
            failure = found.unwrap_err()
            if failure.code is ResultCode.STORE_NOT_FOUND:
                return Ok(None)
            return Err(failure)
        self.bodies[place] = found.unwrap().body
        return Ok(decode_segment(self.bodies[place]))

    async def find_end(self) -> Result[int, Failure]:
        """Return the place of the last segment; 0 when there is none."""
        low = 0
        high = 1
        while True:
            segment = await self.read(high)
            if segment.is_err():
                return Err(segment.unwrap_err())
            if segment.unwrap() is None:
                break
            low, high = high, high * 2
        while high - low > 1:
            middle = (low + high) // 2
            segment = await self.read(middle)
            if segment.is_err():
                return Err(segment.unwrap_err())
            if segment.unwrap() is None:
                high = middle
            else:
                low = middle
        return Ok(low)

    async def find_first_closed(
        self, utc: float, end: int
    ) -> Result[int, Failure]:
        """Return the first place that was closed at ``utc`` or later."""
        low = 0
        high = end + 1
        while high - low > 1:
            middle = (low + high) // 2
            segment = await self.read(middle)
            if segment.is_err():
                return Err(segment.unwrap_err())
            known = segment.unwrap()
            if known is None:
                return Err(_gap(self.domain, middle))
            if known.closed_at < utc:
                low = middle
            else:
                high = middle
        return Ok(high)

    async def check_seal(self, place: int) -> Failure | None:
        """Check that a segment carries the seal of the one before."""
        segment = await self.read(place)
        if segment.is_err():
            return segment.unwrap_err()
        known = segment.unwrap()
        if known is None:
            return _gap(self.domain, place)
        expected = FIRST_SEAL
        if place > 1:
            before = await self.read(place - 1)
            if before.is_err():
                return before.unwrap_err()
            if before.unwrap() is None:
                return _gap(self.domain, place - 1)
            expected = seal_segment(self.bodies[place - 1])
        return None if known.previous == expected else _gap(self.domain, place)


async def explain_request(
    api: ObjectApi, text: str
) -> Result[Explanation, Failure]:
    """Explain a request id.

    Errors: ``REQUEST_ID_UNKNOWN``, ``ACCOUNT_GAP`` and those of the store.
    """
    parsed = parse_request_id(text)
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    request_id = parsed.unwrap()
    chain = Chain(api, request_id.domain)
    end = await chain.find_end()
    if end.is_err():
        return Err(end.unwrap_err())
    start = await chain.find_first_closed(
        request_id.admitted_at - CLOCK_SKEW_SECONDS, end.unwrap()
    )
    if start.is_err():
        return Err(start.unwrap_err())
    last = min(end.unwrap(), start.unwrap() + SEGMENTS_SCANNED_LIMIT)
    for place in range(start.unwrap(), last + 1):
        gap = await chain.check_seal(place)
        if gap is not None:
            return Err(gap)
        segment = (await chain.read(place)).unwrap()
        found = _search(segment, request_id, chain.domain, place)
        if found is not None:
            return await _explain_exactly(api, text, found)
    return await _explain_bounds(api, text, request_id)


async def verify_account(api: ObjectApi, domain: str) -> Result[int, Failure]:
    """Check every seal of a domain's account; returns its segments."""
    chain = Chain(api, domain)
    end = await chain.find_end()
    if end.is_err():
        return Err(end.unwrap_err())
    for place in range(1, end.unwrap() + 1):
        gap = await chain.check_seal(place)
        if gap is not None:
            return Err(gap)
    return Ok(end.unwrap())


async def _explain_exactly(
    api: ObjectApi, text: str, found: _Found
) -> Result[Explanation, Failure]:
    record = await read_revision(api, found.revision)
    if record.is_err():
        return Err(record.unwrap_err())
    return Ok(
        Explanation(
            text,
            'exact',
            found.revision,
            found.revision,
            found.segment,
            record.unwrap(),
        )
    )


async def _explain_bounds(
    api: ObjectApi, text: str, request_id: RequestId
) -> Result[Explanation, Failure]:
    """Bound the revision by when revisions were written."""
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
        detail = f'nothing was in force at {admitted_at}'
        return Err(fail(ResultCode.REQUEST_ID_UNKNOWN, detail))
    return Ok(Explanation(text, 'between', max(lowest, 1), highest, '', None))


def _search(
    segment: AccountSegment | None,
    request_id: RequestId,
    domain: str,
    place: int,
) -> _Found | None:
    if segment is None:
        return None
    for one in segment.ranges:
        if one.entry != request_id.entry:
            continue
        if one.first <= request_id.sequence <= one.last:
            return _Found(one.revision, segment_key(domain, place))
    return None


def _gap(domain: str, place: int) -> Failure:
    detail = f'segment {place} of {domain} is missing or was changed'
    return fail(ResultCode.ACCOUNT_GAP, detail)
