"""Release notes and upstreams from the store and from peers."""

import random
from typing import Any, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from result import Err, Ok, Result
from trio.testing import MockClock

from cranberryrelay.codes import Failure, ResultCode, fail
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
    StorePosition,
)
from cranberryrelay.relay._account_writer import (
    AccountWriter,
    choose_segment_interval,
)
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._membership import InstanceLocation
from cranberryrelay.relay._note_archive import NoteArchive
from cranberryrelay.relay._peer_messages import (
    NoteShare,
    UpstreamShare,
    UpstreamSnapshot,
)
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay._removal_history import REMOVALS_LIMIT
from cranberryrelay.relay._retry_budget import RetryBudget
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._store_replica import StoreReplica
from cranberryrelay.relay._watchers import KindWatcher, WatchCallbacks
from cranberryrelay.relay.tests.fixtures import at, make_settings
from cranberryrelay.timing import TimerService, open_timer_service

HISTORY_GONE = fail(ResultCode.STORE_HISTORY_GONE, 'test')
UNAVAILABLE = fail(ResultCode.STORE_UNAVAILABLE, 'test')
CONFLICT = fail(ResultCode.STORE_CONFLICT, 'test')
OUTCOME_UNKNOWN = fail(ResultCode.STORE_OUTCOME_UNKNOWN, 'test')


def make_replica() -> StoreReplica:
    decoders = Decoders(
        decode_configuration, decode_upstream, CONFIGURATION_NAME
    )
    return StoreReplica(RelayState(make_settings()), decoders)


def make_note(version: int) -> dict[str, Any]:
    return {'version': version, 'routes': [], 'services': []}


def make_upstream_record(
    name: str, revision: int, state: str = 'ready'
) -> KindRecord:
    value = {
        'service': 's',
        'address': '10.0.0.9:8080',
        'zone': 'a',
        'slots': 6,
        'state': state,
    }
    return KindRecord(name, at(revision), value)


class StoreReplicaTest(TestCase):
    """An older record never replaces a newer one."""

    def test_note_never_reverts(self) -> None:
        replica = make_replica()
        for version in (5, 9, 7):
            replica.apply_note_share(NoteShare(make_note(version)))
        record = KindRecord(CONFIGURATION_NAME, at(30), make_note(8))
        replica.apply_note_listing(KindListing((record,), at(30)))
        table = replica.state.table
        assert table is not None
        self.assertEqual(table.revision, 9)

    def test_stale_share_does_not_restore_removed_upstream(self) -> None:
        replica = make_replica()
        removed = make_upstream_record('i-1', 10)
        replica.apply_upstream_listing(KindListing((removed,), at(10)))
        replica.apply_upstream_changes(RecordChange((), ('i-1',), at(20)))
        stale_entries = [(removed.name, removed.position, removed.value)]
        replica.apply_upstream_share(
            UpstreamShare(stale_entries, [], at(5), at(15))
        )
        self.assertEqual(replica.state.fleet.upstreams, {})

    # Guards against an instance that serves with few of the upstreams, as a
    # peer has sent it what its earlier incarnation lacked.
    def test_repair_of_earlier_incarnation_is_no_listing(self) -> None:
        sender = make_replica()
        sender.apply_upstream_listing(
            KindListing((make_upstream_record('i-1', 10),), at(10))
        )
        added = make_upstream_record('i-2', 20)
        sender.apply_upstream_changes(RecordChange((added,), (), at(20)))
        share = sender.make_upstream_repair(at(10))
        assert isinstance(share, UpstreamShare)
        restarted = make_replica()
        restarted.apply_upstream_share(share)
        self.assertFalse(restarted.state.upstreams_listed)
        whole = sender.make_upstream_repair(restarted.upstream_position)
        assert isinstance(whole, UpstreamShare)
        restarted.apply_upstream_share(whole)
        self.assertTrue(restarted.state.upstreams_listed)
        self.assertEqual(
            sorted(restarted.state.fleet.upstreams), ['i-1', 'i-2']
        )

    def test_draining_state_is_applied_from_peer(self) -> None:
        replica = make_replica()
        replica.apply_upstream_listing(
            KindListing((make_upstream_record('i-1', 10),), at(10))
        )
        draining = make_upstream_record('i-1', 12, 'draining')
        share = UpstreamShare([tuple(draining)], [], at(10), at(12))
        replica.apply_upstream_share(share)
        self.assertTrue(replica.state.fleet.upstreams['i-1'].leaving)

    def test_listing_removes_missing_upstreams(self) -> None:
        replica = make_replica()
        both = (
            make_upstream_record('i-1', 10),
            make_upstream_record('i-2', 11),
        )
        replica.apply_upstream_listing(KindListing(both, at(11)))
        replica.apply_upstream_listing(KindListing(both[:1], at(20)))
        self.assertEqual(list(replica.state.fleet.upstreams), ['i-1'])
        repair = replica.make_upstream_repair(at(15))
        assert isinstance(repair, UpstreamSnapshot)
        self.assertEqual(repair.names, ['i-1'])

    def test_recreated_upstream_survives_share(self) -> None:
        sender = make_replica()
        sender.apply_upstream_listing(
            KindListing((make_upstream_record('i-1', 10),), at(10))
        )
        sender.apply_upstream_changes(RecordChange((), ('i-1',), at(20)))
        recreated = make_upstream_record('i-1', 25)
        sender.apply_upstream_changes(RecordChange((recreated,), (), at(25)))
        sender.advance_position(at(30))
        receiver = make_replica()
        receiver.apply_upstream_listing(
            KindListing((make_upstream_record('i-1', 10),), at(10))
        )
        share = sender.make_upstream_repair(at(10))
        assert isinstance(share, UpstreamShare)
        receiver.apply_upstream_share(share)
        self.assertEqual(list(receiver.state.fleet.upstreams), ['i-1'])
        self.assertEqual(receiver.upstream_position, at(30))

    def test_removals_are_bounded(self) -> None:
        replica = make_replica()
        for idx in range(REMOVALS_LIMIT + 5):
            replica.remove_upstream(f'i-{idx}', at(idx + 1), 'test')
        self.assertEqual(len(replica.removals.positions), REMOVALS_LIMIT)
        replica.advance_position(at(REMOVALS_LIMIT + 5))
        self.assertIsInstance(
            replica.make_upstream_repair(at(4)), UpstreamSnapshot
        )
        share = replica.make_upstream_repair(at(5))
        assert isinstance(share, UpstreamShare)
        self.assertEqual(len(share.removed), REMOVALS_LIMIT)

    def test_invalid_record_removes_upstream(self) -> None:
        replica = make_replica()
        replica.apply_upstream_listing(
            KindListing((make_upstream_record('i-1', 10),), at(10))
        )
        invalid = KindRecord('i-1', at(11), 'no entry')
        replica.apply_upstream_changes(RecordChange((invalid,), (), at(11)))
        self.assertEqual(replica.state.fleet.upstreams, {})


class ScriptedStore:
    """Returns the answers of a script, then blocks forever."""

    def __init__(self, script: tuple[Any, ...]) -> None:
        self.script = list(script)
        self.calls: list[str] = []

    async def answer(self, call: str) -> Result[Any, Failure]:
        """Return the next answer of the script."""
        self.calls.append(call)
        if not self.script:
            await trio.sleep_forever()
        found = self.script.pop(0)
        return Err(found) if isinstance(found, Failure) else Ok(found)

    async def list_kind(self, kind: str) -> Result[KindListing, Failure]:
        return await self.answer('list')

    async def watch_kind(
        self, kind: str, after: StorePosition, wait_seconds: float
    ) -> Result[RecordChange, Failure]:
        return await self.answer(f'watch {after.revision}')

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Result[Any, Failure]:
        return await self.answer(f'create {name} {value.get("requests")}')


class FollowCase(NamedTuple):
    """A row: answers of the store, and the expected calls."""

    name: str
    script: tuple[Any, ...]
    calls: tuple[str, ...]


LISTED = KindListing((), at(10))
FOLLOW_CASES = (
    FollowCase(
        'watch continues at the revision of a change',
        (LISTED, RecordChange((), (), at(14))),
        ('list', 'watch 10', 'watch 14'),
    ),
    FollowCase(
        'history gone: listed again',
        (LISTED, HISTORY_GONE, KindListing((), at(30))),
        ('list', 'watch 10', 'list', 'watch 30'),
    ),
    FollowCase(
        'store unavailable: same watch repeated',
        (UNAVAILABLE, LISTED, OUTCOME_UNKNOWN, UNAVAILABLE),
        ('list', 'list', 'watch 10', 'watch 10', 'watch 10'),
    ),
)


class FollowerTest(TestCase):
    """Lists and watches records of one kind in virtual time."""

    @params(*((case,) for case in FOLLOW_CASES))
    def test_calls(self, case: FollowCase) -> None:
        store: Any = ScriptedStore(case.script)
        clock = MockClock(autojump_threshold=0)
        trio.run(run_follower, store, clock=clock)
        self.assertEqual(tuple(store.calls), case.calls)


def ignore(_: object) -> None:
    """Ignore a listing or a change."""


def ignore_contact(_: str, answers: bool) -> None:
    """Ignore whether the store answers."""


def always_watch() -> bool:
    """Make every instance watch."""
    return True


async def run_follower(store: Any) -> None:
    """Run a follower for 30 seconds of virtual time."""
    async with open_timer_service() as timers:
        sink = WatchCallbacks(
            'kind', ignore, ignore, ignore_contact, always_watch, float
        )
        follower = KindWatcher(store, sink, timers, random.Random(1))
        with trio.move_on_after(30):
            await follower.run()


class AccountWriterTest(TestCase):
    """Segments of the account when answers of the store are lost."""

    def test_segment_is_retried_unchanged(self) -> None:
        store: Any = ScriptedStore(
            (OUTCOME_UNKNOWN, UNAVAILABLE, LISTED, LISTED)
        )
        trio.run(write_account, store)
        self.assertEqual(
            store.calls,
            [
                "create a-000000 {'3': ['r1']}",
                "create a-000000 {'3': ['r1']}",
                "create a-000000 {'3': ['r1']}",
                "create a-000001 {'4': ['r2']}",
            ],
        )


class AccountPeriodTest(TestCase):
    """Period of account writes by fleet size."""

    @params((7, 10), (20, 10), (89, 44.5), (3600, 60))
    def test_period(self, instances: int, seconds: float) -> None:
        self.assertAlmostEqual(choose_segment_interval(instances), seconds)


async def write_account(store: Any) -> None:
    """Write two segments; the answers to the first one are lost."""
    async with open_timer_service() as timers:
        state = RelayState(make_settings())
        writer = AccountWriter(state, store, _with_utc(timers), 'a', int)
        state.account_buffer.add('r1', 3)
        await writer.write()
        state.account_buffer.add('r2', 4)
        for _ in range(3):
            await writer.write()


def _with_utc(timers: TimerService) -> TimerService:
    timers.read_utc = float
    return timers


class ArchiveCase(NamedTuple):
    """A row: name of an instance, answers of the store, number of calls."""

    name: str
    instance: str
    script: tuple[Any, ...]
    calls: int


ARCHIVE_CASES = (
    ArchiveCase('first instance writes', 'front-a-1', (LISTED,), 1),
    ArchiveCase('already written', 'front-a-1', (CONFLICT,), 1),
    ArchiveCase(
        'store unavailable: write repeated',
        'front-a-1',
        (UNAVAILABLE, OUTCOME_UNKNOWN, LISTED),
        3,
    ),
    ArchiveCase('third instance does not write', 'front-z-9', (LISTED,), 0),
)


class NoteArchiveTest(TestCase):
    """Release notes that came into force are archived."""

    @params(*((case,) for case in ARCHIVE_CASES))
    def test_writes(self, case: ArchiveCase) -> None:
        store: Any = ScriptedStore(case.script)
        clock = MockClock(autojump_threshold=0)
        trio.run(run_archive, store, case.instance, clock=clock)
        self.assertEqual(len(store.calls), case.calls)


async def run_archive(store: Any, instance: str) -> None:
    """Run the archive of an instance with two peers for 2.5 seconds."""
    replica = make_replica()
    replica.apply_note_share(NoteShare(make_note(5)))
    network: Any = None
    async with open_timer_service() as timers:
        protocol = PeerProtocol(replica.state, replica, network, timers)
        protocol.name = instance
        protocol.membership.name = instance
        for name in ('front-b-1', 'front-c-1'):
            protocol.add_peers({name: InstanceLocation(name, 'b')})
        with trio.move_on_after(2.5):
            await NoteArchive(store, Duties(protocol), timers).run()


class RetryBudgetTest(TestCase):
    """Retries of all instances together stay within the retry budget."""

    def test_slack_is_divided_among_instances(self) -> None:
        instances = 7
        taken = 0
        for _ in range(instances):
            budget = RetryBudget(0.2, 54, 10)
            for idx in range(100):
                budget.count_request(idx / 100)
            while budget.take(instances, 1):
                taken += 1
        self.assertLess(taken, 0.2 * 100 * instances + 54)
        self.assertGreater(taken, 0)
