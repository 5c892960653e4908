"""Odd records among good ones, from the store and from peers.

Guards against processes that end, and against a list of upstreams that is not
followed, because of a record that another program wrote.
"""

from typing import Any, NamedTuple
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from cranberryrelay.platform import (
    CONFIGURATION_NAME,
    decode_configuration,
    decode_upstream,
)
from cranberryrelay.relay import (
    Decoders,
    KindListing,
    KindRecord,
    RecordChange,
    UnreadableValue,
)
from cranberryrelay.relay._peer_messages import (
    PEER_MESSAGE_TYPES,
    NoteShare,
    UpstreamShare,
    UpstreamSnapshot,
)
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._store_replica import StoreReplica
from cranberryrelay.relay.tests.fixtures import at, make_settings
from cranberryrelay.wire import make_codec

CODEC = make_codec(list(PEER_MESSAGE_TYPES))
GOOD = {
    'service': 's',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'slots': 6,
    'state': 'ready',
    'born': 17,
}
LONG_PORT = '10.0.0.9:{}'.format('8' * 5000)
ODD_NAME = 'i-odd'
GOOD_NAMES = ['i-1', 'i-2']


def nest(levels: int) -> Any:
    """Return lists nested in each other."""
    nested: Any = 1
    for _ in range(levels):
        nested = [nested]
    return nested


def make_replica() -> StoreReplica:
    """Make a replica with the decoders of the target platform."""
    decoders = Decoders(
        decode_configuration, decode_upstream, CONFIGURATION_NAME
    )
    return StoreReplica(RelayState(make_settings()), decoders)


def make_record(name: str, revision: int, **changes: Any) -> KindRecord:
    """Make the record of an upstream with some members changed."""
    return KindRecord(name, at(revision), {**GOOD, **changes})


class OddCase(NamedTuple):
    """A row: the value of a record that names no upstream to use."""

    name: str
    found: Any


ODD_CASES = (
    OddCase('unreadable', UnreadableValue('test')),
    OddCase('slots above 64 bits', {**GOOD, 'slots': 2**70}),
    OddCase('unknown member above 64 bits', {**GOOD, 'x': 2**64}),
    OddCase('below 64 bits', {**GOOD, 'x': -(2**63) - 1}),
    OddCase('born above 64 bits', {**GOOD, 'born': 2**64}),
    OddCase('nested deeply', {**GOOD, 'x': nest(300)}),
    OddCase('not finite', {**GOOD, 'x': float('inf')}),
    OddCase('half a surrogate pair', {**GOOD, 'x': '\ud800'}),
    OddCase('too large', {**GOOD, 'x': 'y' * 20_000}),
    OddCase('negative slots', {**GOOD, 'slots': -1}),
    OddCase('port out of range', {**GOOD, 'address': '10.0.0.9:99999'}),
    OddCase('port 0', {**GOOD, 'address': '10.0.0.9:0'}),
    OddCase('port of many digits', {**GOOD, 'address': LONG_PORT}),
    OddCase('port of another script', {**GOOD, 'address': '10.0.0.9:\xb2'}),
    OddCase('host name', {**GOOD, 'address': 'engine:80'}),
    OddCase('host in a path', {**GOOD, 'address': '10.0.0.9/x:80'}),
    OddCase('host with credentials', {**GOOD, 'address': 'a@10.0.0.9:80'}),
    OddCase('IPv4 out of range', {**GOOD, 'address': '10.0.0.256:80'}),
    OddCase('IPv6 without brackets', {**GOOD, 'address': 'fe80::1:80'}),
    OddCase('negative report number', {**GOOD, 'sequence': -1}),
)


def share_with_peer(replica: StoreReplica) -> StoreReplica:
    """Send all that a replica knows to a new one, as on the wire."""
    received = make_replica()
    repair = replica.make_upstream_repair(at(0))
    decoded = CODEC.decode(CODEC.encode(repair)).unwrap().message
    if isinstance(decoded, UpstreamSnapshot):
        received.apply_upstream_snapshot(decoded)
    else:
        received.apply_upstream_share(decoded)
    return received


class OddRecordTest(TestCase):
    """Good records hold beside odd ones; sharing with peers never fails."""

    # Guards against an OverflowError in the task that repairs peers, and
    # against a list that a peer does not get.
    @params(*((case,) for case in ODD_CASES))
    def test_odd_record_is_shared_as_invalid(self, case: OddCase) -> None:
        replica = make_replica()
        listing = KindListing(
            (
                make_record('i-1', 4),
                KindRecord(ODD_NAME, at(5), case.found),
                make_record('i-2', 6),
            ),
            at(9),
        )
        replica.apply_upstream_listing(listing)
        received = share_with_peer(replica)
        for one in (replica, received):
            self.assertEqual(sorted(one.state.fleet.upstreams), GOOD_NAMES)
            self.assertEqual(one.upstream_records[ODD_NAME].position, at(5))

    # Guards against an odd value that a peer of the build before sends on.
    @params(*((case,) for case in ODD_CASES))
    def test_odd_record_of_a_peer(self, case: OddCase) -> None:
        replica = make_replica()
        share = UpstreamShare(
            [
                tuple(make_record('i-1', 4)),
                (ODD_NAME, at(5), case.found),
                tuple(make_record('i-2', 6)),
            ],
            [],
            at(0),
            at(9),
        )
        replica.apply_upstream_share(share)
        received = share_with_peer(replica)
        for one in (replica, received):
            self.assertEqual(sorted(one.state.fleet.upstreams), GOOD_NAMES)

    # Guards against an older good record that comes back from a peer, and
    # against one log line for each time that an odd entry is read.
    @params(*((case,) for case in ODD_CASES))
    def test_odd_record_replaces_its_predecessor(self, case: OddCase) -> None:
        replica = make_replica()
        good = make_record(ODD_NAME, 4)
        replica.apply_upstream_listing(KindListing((good,), at(4)))
        with self.assertLogs('cranberryrelay.relay') as log:
            for revision in (5, 6):
                odd = KindRecord(ODD_NAME, at(revision), case.found)
                change = RecordChange((odd,), (), at(revision))
                replica.apply_upstream_changes(change)
        lines = [record.getMessage() for record in log.records]
        self.assertEqual(lines.count('invalid upstream record'), 1)
        stale = UpstreamShare([tuple(good)], [], at(0), at(4))
        replica.apply_upstream_share(stale)
        self.assertEqual(replica.state.fleet.upstreams, {})

    # Guards against a sound engine that is taken for crashed, and its request
    # for the cause, because another program wrote over its entry.
    def test_odd_record_is_no_sign_of_a_crash(self) -> None:
        replica = make_replica()
        good = make_record('i-1', 4)
        replica.apply_upstream_listing(KindListing((good,), at(4)))
        engine = replica.state.fleet.upstreams['i-1'].incarnation_id()
        odd = KindRecord('i-1', at(5), 'odd')
        replica.apply_upstream_changes(RecordChange((odd,), (), at(5)))
        self.assertFalse(replica.state.crash_suspects.is_gone(engine))

    # Guards against an engine that is sent requests again after it has said
    # that it leaves.
    def test_leaving_is_remembered_across_an_odd_record(self) -> None:
        replica = make_replica()
        leaving = make_record('i-1', 4, state='draining')
        replica.apply_upstream_listing(KindListing((leaving,), at(4)))
        for record in (KindRecord('i-1', at(5), 7), make_record('i-1', 6)):
            change = RecordChange((record,), (), record.position)
            replica.apply_upstream_changes(change)
        self.assertTrue(replica.state.fleet.upstreams['i-1'].leaving)

    # Guards against names that end the call of a request, as no header can
    # hold them.
    @params('', ' i', 'i\r\nX-Other: 1', 'i\0', 'i\u2028', 'i' * 300)
    def test_name_that_no_header_holds(self, name: str) -> None:
        replica = make_replica()
        replica.apply_upstream_listing(
            KindListing((make_record(name, 4), make_record('i-1', 5)), at(5))
        )
        self.assertEqual(list(replica.state.fleet.upstreams), ['i-1'])

    # Guards against an engine that is not used for its usual address.
    @params('10.0.0.9:1', '10.0.0.9:65535', '127.0.0.1:80', '[fe80::1]:80')
    def test_usual_address(self, address: str) -> None:
        record = make_record('i-1', 4, address=address)
        self.assertEqual(decode_upstream(record).unwrap().address, address)

    # Guards against a log that is filled by one odd note.
    def test_invalid_note_is_logged_once(self) -> None:
        replica = make_replica()
        with self.assertLogs('cranberryrelay.relay') as log:
            for _ in range(3):
                replica.apply_note_share(NoteShare({'version': 2**70}))
        self.assertEqual(len(log.records), 1)
        metrics = replica.state.telemetry.render_metrics([])[0]
        self.assertIn(b'invalid_records{kind="note"} 3', metrics)


plain_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(2**63 - 2, 2**66)
    | st.floats()
    | st.text(st.characters(codec=None)),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.text(max_size=3) | st.sampled_from(sorted(GOOD)),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
odd_values = plain_values | st.builds(
    lambda changes: {**GOOD, **changes},
    st.dictionaries(
        st.sampled_from([*GOOD, 'version', 'sequence', 'stage', 'x']),
        plain_values,
        max_size=4,
    ),
)


class OddRecordFuzzTest(TestCase):
    """Arbitrary documents as records among good ones."""

    # Guards against any document that ends a task or stops the list.
    @given(odd=st.lists(odd_values, max_size=4))
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_good_records_are_followed(self, odd: list[Any]) -> None:
        replica = make_replica()
        records = [
            make_record('i-1', 4),
            *(
                KindRecord(f'{ODD_NAME}-{idx}', at(5), found)
                for idx, found in enumerate(odd)
            ),
            make_record('i-2', 6),
        ]
        replica.apply_upstream_listing(KindListing(tuple(records), at(9)))
        received = share_with_peer(replica)
        self.assertEqual(
            received.state.fleet.upstreams, replica.state.fleet.upstreams
        )
        self.assertLessEqual(
            set(GOOD_NAMES), set(replica.state.fleet.upstreams)
        )

    # Guards against any document that ends a task or replaces the note.
    @given(odd=plain_values)
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_note_in_force_holds(self, odd: Any) -> None:
        replica = make_replica()
        note = {'version': 5, 'routes': [], 'services': []}
        replica.apply_note_share(NoteShare(note))
        record = KindRecord(CONFIGURATION_NAME, at(9), odd)
        with self.assertLogs('cranberryrelay.relay'):
            replica.apply_note_listing(KindListing((record,), at(9)))
        replica.apply_note_share(NoteShare(odd))
        self.assertEqual(replica.state.revision(), 5)
        CODEC.encode(replica.make_note_share())
