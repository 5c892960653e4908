"""Records of the instances' own kinds that another program wrote.

Guards against tasks that end because such a record cannot be decoded.
"""

from typing import Any, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from result import Ok, Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.relay import KindRecord, UnreadableValue
from cranberryrelay.relay._account_reader import find_request
from cranberryrelay.relay._order_lease import OrderLease
from cranberryrelay.relay._registration import read_locations
from cranberryrelay.relay._stream_records import decode_record
from cranberryrelay.relay.tests.fixtures import at
from cranberryrelay.timing import open_timer_service

UNREADABLE = UnreadableValue('test')
LONG_PORT = '10.0.0.1:{}'.format('8' * 5000)


class StreamRecordTest(TestCase):
    """Records of streams and software versions."""

    # Guards against a ValueError that ends the task that records streams.
    @params(
        {'versions': ['a'], 'streams': {'a': 'ä'}},
        {'versions': ['a'], 'streams': {'a': 'A'}},
        {'versions': ['a'], 'streams': {'a': 7}},
        {'versions': 'a', 'streams': {}},
        {'versions': ['a']},
        [],
        None,
        UNREADABLE,
    )
    def test_odd_record_is_invalid(self, found: Any) -> None:
        with self.assertLogs('cranberryrelay.relay') as log:
            self.assertIsNone(decode_record(KindRecord('s', at(1), found)))
        self.assertEqual(len(log.records), 1)


class LocationTest(TestCase):
    """Registrations of instances."""

    # Guards against an address that no socket takes, and against missing the
    # instances that are listed beside it.
    @params(
        {'address': '10.0.0.1:99999', 'domain': 'a'},
        {'address': LONG_PORT, 'domain': 'a'},
        {'address': '10.0.0.1:\xb2', 'domain': 'a'},
        {'address': 'front', 'domain': 'a'},
        {'address': '', 'domain': 'a'},
        {'address': 7, 'domain': 'a'},
        {'domain': 'a'},
        None,
        UNREADABLE,
    )
    def test_odd_registration_is_skipped(self, found: Any) -> None:
        good = {'address': '10.0.0.2:7380', 'domain': 'b'}
        records = (
            KindRecord('front-a-1', at(1), found),
            KindRecord('front-b-1', at(2), good),
        )
        with self.assertLogs('cranberryrelay.relay') as log:
            self.assertEqual(list(dict(read_locations(records))), ['front-b-1'])
        self.assertEqual(len(log.records), 1)


class SegmentCase(NamedTuple):
    """A row: the requests of a segment of the account."""

    name: str
    requests: Any


SEGMENT_CASES = (
    SegmentCase('revision that is no number', {'x': ['r1']}),
    SegmentCase('revision of another script', {'\xb2': ['r1']}),
    SegmentCase('revision of many digits', {'9' * 5000: ['r1']}),
    SegmentCase('ids that are no list', {'3': 'r1'}),
    SegmentCase('no requests', None),
)


class AccountTest(TestCase):
    """Segments of the account."""

    # Guards against a command that ends by an exception.
    @params(*((case,) for case in SEGMENT_CASES))
    def test_odd_segment_does_not_hold_a_request(
        self, case: SegmentCase
    ) -> None:
        segment = {
            'instance': 'a',
            'written_at': 1.0,
            'previous': '',
            'requests': case.requests,
        }
        records = (KindRecord('a-000000', at(1), segment),)
        code = find_request(records, 'r1').unwrap_err().code
        self.assertIn(
            code, (ResultCode.REQUEST_ID_UNKNOWN, ResultCode.ACCOUNT_GAP)
        )


class LeaseStore:
    """Store whose lease record another program wrote."""

    def __init__(self, found: Any) -> None:
        self.found = found

    async def read(self, kind: str, name: str) -> Result[KindRecord, Failure]:
        """Return the record."""
        return Ok(KindRecord(name, at(4), self.found))


class LeaseTest(TestCase):
    """The record of the lease for orders."""

    # Guards against orders that stop without a word in the log.
    @params(None, UNREADABLE, [], {'holder': 'a'}, {'holder': 'a', 'token': ''})
    def test_malformed_lease_is_logged_once(self, found: Any) -> None:
        async def acquire() -> list[ResultCode]:
            store: Any = LeaseStore(found)
            async with open_timer_service() as timers:
                lease = OrderLease(store, timers, 'front-a-1', 3)
                outcomes = [await lease.acquire() for _ in range(3)]
            return [one.unwrap_err().code for one in outcomes]

        with self.assertLogs('cranberryrelay.relay') as log:
            codes = trio.run(acquire)
        self.assertEqual(set(codes), {ResultCode.FRAME_MALFORMED})
        self.assertEqual(len(log.records), 1)
