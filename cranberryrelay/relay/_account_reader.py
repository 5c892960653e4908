"""Looks up in the account which note revision was in force for a request."""

import re
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay._account_buffer import SegmentFields
from cranberryrelay.relay._account_writer import ACCOUNT_KIND, digest_segment
from cranberryrelay.relay._records import KindRecord, RecordStore

_REVISION: Final = re.compile('[0-9]{1,19}')


class AccountLookup(NamedTuple):
    """Result of looking up a request in the account."""

    # Request id of the caller's attempt.
    request_id: str

    # Note revision in force at its admission.
    revision: int

    # Name of the segment that holds the request.
    segment: str

    # Name of the instance that admitted the request.
    instance: str


async def explain_request(
    store: RecordStore, request_id: str
) -> Result[AccountLookup, Failure]:
    """Find a request in the stored account, without asking any instance.

    Errors: ``REQUEST_ID_UNKNOWN``, ``ACCOUNT_GAP`` if a segment of the
    incarnation is missing or was changed, and those of the store.
    """
    listed = await store.list_kind(ACCOUNT_KIND)
    if isinstance(listed, Err):
        return listed
    listing = listed.unwrap()
    found = find_request(listing.records, request_id)
    return found.map_err(
        lambda failure: _add_store_era(failure, listing.position.era)
    )


def find_request(
    records: tuple[KindRecord, ...], request_id: str
) -> Result[AccountLookup, Failure]:
    """Find a request in the segments and verify the digests up to it."""
    last_digests: dict[str, str] = {}
    for record in sorted(records):
        segment = _decode_segment(record.value)
        incarnation = record.name.rpartition('-')[0]
        expected = last_digests.get(incarnation, '')
        follows = segment is not None and segment['previous'] == expected
        if segment is None or not follows:
            if _contains_id(record.value, request_id):
                detail = f'segment {record.name} breaks its chain of digests'
                return Err(fail(ResultCode.ACCOUNT_GAP, detail))
            continue
        last_digests[incarnation] = digest_segment(segment)
        revision = _find_revision(segment, request_id)
        if revision is not None:
            instance = segment['instance']
            return Ok(
                AccountLookup(request_id, revision, record.name, instance)
            )
    detail = f'request id {request_id} is in no segment'
    return Err(fail(ResultCode.REQUEST_ID_UNKNOWN, detail))


def _add_store_era(failure: Failure, era: int) -> Failure:
    """Say that a restore may have lost the segment of an unknown request."""
    if failure.code is not ResultCode.REQUEST_ID_UNKNOWN:
        return failure
    detail = (
        f'{failure.detail}; the store is in era {era}, and each restore may '
        'have lost the last segments of instances that had ended before it'
    )
    return failure._replace(detail=detail)


def _decode_segment(value: Any) -> SegmentFields | None:
    try:
        return msgspec.convert(value, SegmentFields)
    except msgspec.ValidationError:
        # Not a segment.  If it replaced one, the next segment of that
        # incarnation fails the check of its previous digest.
        return None


def _find_revision(segment: SegmentFields, request_id: str) -> int | None:
    for revision, requests in segment['requests'].items():
        if request_id in requests and _REVISION.fullmatch(revision):
            return int(revision)
    return None


def _contains_id(value: Any, request_id: str) -> bool:
    return request_id.encode() in msgspec.json.encode(value)
