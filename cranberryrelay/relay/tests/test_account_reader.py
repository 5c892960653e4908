"""The account is read from its segments alone, and gaps are detected."""

from unittest import TestCase

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay import KindRecord
from cranberryrelay.relay._account_buffer import SegmentFields
from cranberryrelay.relay._account_reader import find_request
from cranberryrelay.relay._account_writer import digest_segment
from cranberryrelay.relay.tests.fixtures import at


def make_segments() -> tuple[KindRecord, ...]:
    """Return three chained segments of one incarnation."""
    records: list[KindRecord] = []
    previous = ''
    for index, revision in enumerate((3, 3, 7)):
        segment = SegmentFields(
            instance='front-a-1',
            written_at=float(index),
            previous=previous,
            requests={str(revision): [f'r{index}']},
        )
        previous = digest_segment(segment)
        records.append(
            KindRecord(f'front-a-1-x-{index:06d}', at(index), segment)
        )
    return tuple(records)


class AccountReaderTest(TestCase):
    """Lookups in three chained segments of one incarnation."""

    def test_finds_the_revision(self) -> None:
        found = find_request(make_segments(), 'r2').unwrap()
        self.assertEqual((found.revision, found.instance), (7, 'front-a-1'))

    def test_unknown_request_is_reported(self) -> None:
        failure = find_request(make_segments(), 'r9').unwrap_err()
        self.assertIs(failure.code, ResultCode.REQUEST_ID_UNKNOWN)

    def test_missing_segment_is_a_gap(self) -> None:
        records = make_segments()
        failure = find_request(records[::2], 'r2').unwrap_err()
        self.assertIs(failure.code, ResultCode.ACCOUNT_GAP)

    def test_changed_segment_is_a_gap(self) -> None:
        records = list(make_segments())
        changed = {**records[1].value, 'requests': {'4': ['r1']}}
        records[1] = records[1]._replace(value=changed)
        failure = find_request(tuple(records), 'r2').unwrap_err()
        self.assertIs(failure.code, ResultCode.ACCOUNT_GAP)
