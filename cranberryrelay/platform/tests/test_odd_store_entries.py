"""Entries of the store that another writer made: each costs only itself.

Guards against a list of upstreams that is not followed any more, and against
processes that end, because of one entry that cannot be read.
"""

import json
import logging
import random
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params
from result import Result
from trio.testing import MockClock

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.platform import decode_upstream
from cranberryrelay.platform._store_documents import (
    StoreAnswer,
    decode_change,
    decode_page,
)
from cranberryrelay.platform._target_store import ERA_HEADER, TargetStore
from cranberryrelay.relay import KindListing, KindRecord, RecordChange
from cranberryrelay.relay._watchers import KindWatcher, WatchCallbacks
from cranberryrelay.relay.tests.fixtures import at
from cranberryrelay.relay.tests.test_odd_records import make_replica
from cranberryrelay.timing import open_timer_service

KIND = 'servers'
ODD_NAME = 'i-odd'
DEPTH = 100_000
NESTED_ARRAYS = b'%b%b' % (b'[' * DEPTH, b']' * DEPTH)
NESTED_OBJECTS = b'%b1%b' % (b'{"a":' * DEPTH, b'}' * DEPTH)


def make_spec(extra: bytes = b'') -> bytes:
    """Make the value of an entry, with more members after the usual ones."""
    return (
        b'{"service":"s","address":"10.0.0.9:8080","zone":"a","slots":6,'
        b'"state":"ready"%b}' % extra
    )


def make_object(name: bytes, revision: bytes, spec: bytes) -> bytes:
    """Make an object as the store sends it."""
    return b'{"metadata":{"name":"%b","revision":%b},"spec":%b}' % (
        name,
        revision,
        spec,
    )


GOOD_BEFORE = make_object(b'i-1', b'4', make_spec())
GOOD_AFTER = make_object(b'i-2', b'6', make_spec(b',"born":7'))
GOOD_NAMES = ['i-1', 'i-2']


class OddCase(NamedTuple):
    """A row: an object of the store that names no upstream to use."""

    name: str
    odd: bytes
    revision: int = 5


def make_odd(name: str, spec: bytes) -> OddCase:
    """Make a row whose value cannot be read."""
    return OddCase(name, make_object(ODD_NAME.encode(), b'5', spec))


UNREADABLE_CASES = (
    make_odd('nested arrays', NESTED_ARRAYS),
    make_odd('nested objects', NESTED_OBJECTS),
    make_odd('nested in a member', make_spec(b',"x":%b' % NESTED_ARRAYS)),
    make_odd('float out of range', make_spec(b',"version":1e999')),
    make_odd('not a number', make_spec(b',"load":NaN')),
    make_odd('integer of 5,000 digits', make_spec(b',"x":%b' % (b'9' * 5000))),
    make_odd('half a surrogate pair', make_spec(b',"x":"\x5cud800"')),
    make_odd('text that is not UTF-8', make_spec(b',"x":"\xff"')),
    make_odd('unknown escape', make_spec(rb',"x":"\q"')),
    make_odd('brackets and quotes in text', rb'"\"]}[{\\" NaN'),
    OddCase(
        'revision that is no number',
        make_object(ODD_NAME.encode(), b'"five"', make_spec()),
        9,
    ),
    OddCase(
        'revision above 64 bits',
        make_object(ODD_NAME.encode(), b'9' * 20, make_spec()),
        9,
    ),
)
NAMELESS_CASES = (
    OddCase('no metadata', b'{"spec":{}}'),
    OddCase('no object', b'[]'),
    OddCase('null', b'null'),
    OddCase('name that is no text', b'{"metadata":{"name":7}}'),
    OddCase('half a surrogate pair', make_object(b'\x5cud800', b'5', b'{}')),
)


def make_page(*stored: bytes) -> bytes:
    """Make a listing at revision 9."""
    return b'{"items":[%b],"truncated":false,"store_revision":9}' % (
        b','.join(stored)
    )


def make_events(*stored: bytes) -> bytes:
    """Make the answer to a watch, up to revision 9."""
    events = [b'{"object":%b,"removed":false}' % one for one in stored]
    return b'{"events":[%b],"store_revision":9}' % b','.join(events)


async def call_store(
    body: bytes, call: str
) -> Result[KindListing | RecordChange, Failure]:
    """List or watch a kind at a store that answers with a body."""

    def answer(_: httpx.Request) -> httpx.Response:
        return httpx.Response(200, headers={ERA_HEADER: '1'}, content=body)

    transport = httpx.MockTransport(answer)
    url = 'http://10.0.0.1'
    async with httpx.AsyncClient(transport=transport, base_url=url) as client:
        store = TargetStore(client)
        if call == 'list':
            return await store.list_kind(KIND)
        return await store.watch_kind(KIND, at(3), 0)


def read_records(body: bytes, call: str) -> dict[str, KindRecord]:
    """Return the records that a call to the store brings, by name."""
    answer = trio.run(call_store, body, call).unwrap()
    assert answer.position == at(9)
    records = (
        answer.records if isinstance(answer, KindListing) else answer.changed
    )
    return {record.name: record for record in records}


class OddEntryTest(TestCase):
    """The good entries beside an odd one are followed."""

    # Guards against a RecursionError or a whole page that is not read.
    @params(*((case,) for case in UNREADABLE_CASES))
    def test_listing_keeps_the_good_entries(self, case: OddCase) -> None:
        body = make_page(GOOD_BEFORE, case.odd, GOOD_AFTER)
        self.check_records(read_records(body, 'list'), case)

    # Guards against changes that are not applied beside an odd one.
    @params(*((case,) for case in UNREADABLE_CASES))
    def test_change_keeps_the_good_entries(self, case: OddCase) -> None:
        body = make_events(GOOD_BEFORE, case.odd, GOOD_AFTER)
        self.check_records(read_records(body, 'watch'), case)

    # Guards against entries without a name that stop the list.
    @params(*((case,) for case in NAMELESS_CASES))
    def test_nameless_entry_is_left_out(self, case: OddCase) -> None:
        stored = (GOOD_BEFORE, case.odd, GOOD_AFTER)
        with self.assertLogs('cranberryrelay.relay') as log:
            listed = read_records(make_page(*stored), 'list')
        self.assertEqual(len(log.records), 1)
        self.assertEqual(list(listed), GOOD_NAMES)
        changed = read_records(make_events(*stored), 'watch')
        self.assertEqual(list(changed), GOOD_NAMES)

    # Guards against a list that is read for ever from the same name on.
    def test_page_without_a_readable_name_fails(self) -> None:
        body = make_page(b'{"metadata":{"name":7}}').replace(b'false', b'true')
        failure = trio.run(call_store, body, 'list').unwrap_err()
        self.assertIs(failure.code, ResultCode.FRAME_MALFORMED)

    @params(b'{"items":[', b'[]', b'{"items":[]}', b'{"store_revision":9}')
    def test_malformed_page_fails(self, body: bytes) -> None:
        failure = trio.run(call_store, body, 'list').unwrap_err()
        self.assertIs(failure.code, ResultCode.FRAME_MALFORMED)

    def check_records(
        self, records: dict[str, KindRecord], case: OddCase
    ) -> None:
        """Check that only the odd record is invalid, at its position."""
        self.assertEqual(sorted(records), sorted([*GOOD_NAMES, ODD_NAME]))
        for name in GOOD_NAMES:
            self.assertTrue(decode_upstream(records[name]).is_ok())
        odd = records[ODD_NAME]
        self.assertTrue(decode_upstream(odd).is_err())
        self.assertEqual(odd.position, at(case.revision))


async def follow_upstreams(odd: bytes) -> list[str]:
    """Return the upstreams after a listing and a change with an odd entry."""
    bodies = [make_page(GOOD_BEFORE, odd), make_events(odd, GOOD_AFTER)]

    async def answer(_: httpx.Request) -> httpx.Response:
        if not bodies:
            await trio.sleep_forever()
        headers = {ERA_HEADER: '1'}
        return httpx.Response(200, headers=headers, content=bodies.pop(0))

    replica = make_replica()
    callbacks = WatchCallbacks(
        KIND,
        replica.apply_upstream_listing,
        replica.apply_upstream_changes,
        replica.state.record_store_contact,
        needs_watch=lambda: True,
        batch_seconds=float,
    )
    async with (
        httpx.AsyncClient(
            transport=httpx.MockTransport(answer), base_url='http://10.0.0.1'
        ) as client,
        open_timer_service() as timers,
    ):
        watcher = KindWatcher(
            TargetStore(client), callbacks, timers, random.Random(1)
        )
        with trio.move_on_after(30):
            await watcher.run()
    return sorted(replica.state.fleet.upstreams)


class WatcherTest(TestCase):
    """The watcher of the upstreams, in virtual time."""

    # Guards against a watcher that ends, or that asks for the same answer again
    # and again, because of one entry.
    @params(*((case,) for case in (*UNREADABLE_CASES, *NAMELESS_CASES)))
    def test_watcher_follows_the_good_entries(self, case: OddCase) -> None:
        clock = MockClock(autojump_threshold=0)
        followed = trio.run(follow_upstreams, case.odd, clock=clock)
        self.assertEqual(followed, GOOD_NAMES)


plain_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(2**62, 2**70)
    | st.floats()
    | st.text(st.characters(codec=None), max_size=5)
    | st.sampled_from(['i-1', '\\', '"', '],[', '}']),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ['metadata', 'name', 'revision', 'spec', 'object', 'removed']
            )
            | st.text(max_size=2),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
odd_objects = plain_values | st.builds(
    lambda metadata, spec: {'metadata': metadata, 'spec': spec},
    st.fixed_dictionaries({'name': plain_values}) | plain_values,
    plain_values,
)


class OddEntryFuzzTest(TestCase):
    """Arbitrary documents as entries among good ones."""

    def setUp(self) -> None:
        """Keep the lines on nameless records out of the report of the tests."""
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against any entry that ends the watcher or stops the list.
    @given(odd=st.lists(odd_objects, max_size=3), escaped=st.booleans())
    @settings(derandomize=True, deadline=None, max_examples=400)
    def test_good_entries_are_read(self, odd: list[Any], escaped: bool) -> None:
        texts = [
            json.dumps(one, ensure_ascii=escaped).encode(errors='surrogatepass')
            for one in odd
        ]
        stored = (GOOD_BEFORE, *texts, GOOD_AFTER)
        listed = decode_page(StoreAnswer(1, make_page(*stored))).unwrap()
        changed = decode_change(StoreAnswer(1, make_events(*stored))).unwrap()
        for records in (listed.records, changed.changed):
            self.assertLessEqual(
                set(GOOD_NAMES), {record.name for record in records}
            )
