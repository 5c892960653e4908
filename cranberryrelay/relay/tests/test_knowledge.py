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
)
from cranberryrelay.relay._account_writer import AccountWriter, choose_period
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._followers import KindFollower, KindSink
from cranberryrelay.relay._knowledge import REMOVALS_LIMIT, Knowledge
from cranberryrelay.relay._note_archive import NoteArchive
from cranberryrelay.relay._peer_messages import NoteShare, UpstreamShare
from cranberryrelay.relay._peers import PeerTalk
from cranberryrelay.relay._repeat_budget import RepeatBudget
from cranberryrelay.relay._roster import Place
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import make_settings
from cranberryrelay.timing import TimerService, open_timer_service

GONE = fail(ResultCode.STORE_HISTORY_GONE, 'test')
AWAY = fail(ResultCode.STORE_UNAVAILABLE, 'test')
TAKEN = fail(ResultCode.STORE_CONFLICT, 'test')
LOST = fail(ResultCode.STORE_OUTCOME_UNKNOWN, 'test')


def make_knowledge() -> Knowledge:
    decoders = Decoders(
        decode_configuration, decode_upstream, CONFIGURATION_NAME
    )
    return Knowledge(RelayState(make_settings()), decoders)


def make_note(version: int) -> dict[str, Any]:
    return {'version': version, 'routes': [], 'services': []}


def make_entry(name: str, revision: int, state: str = 'ready') -> KindRecord:
    value = {
        'service': 's',
        'address': '10.0.0.9:8080',
        'zone': 'a',
        'slots': 6,
        'state': state,
    }
    return KindRecord(name, revision, value)


class KnowledgeTest(TestCase):
    """What is older never replaces what is newer."""

    def test_note_never_reverts(self) -> None:
        knowledge = make_knowledge()
        for version in (5, 9, 7):
            knowledge.hear_note(NoteShare(make_note(version)))
        record = KindRecord(CONFIGURATION_NAME, 30, make_note(8))
        knowledge.list_notes(KindListing((record,), 30))
        table = knowledge.state.table
        assert table is not None
        self.assertEqual(table.revision, 9)

    def test_peer_can_not_bring_back_what_is_gone(self) -> None:
        knowledge = make_knowledge()
        old = make_entry('i-1', 10)
        knowledge.list_upstreams(KindListing((old,), 10))
        knowledge.change_upstreams(RecordChange((), ('i-1',), 20))
        stale = [(old.name, old.revision, old.value)]
        knowledge.hear_upstreams(UpstreamShare(stale, [], 5, 15))
        self.assertEqual(knowledge.state.fleet.upstreams, {})

    def test_leaving_is_learned_from_a_peer(self) -> None:
        knowledge = make_knowledge()
        knowledge.list_upstreams(KindListing((make_entry('i-1', 10),), 10))
        leaving = make_entry('i-1', 12, 'draining')
        share = UpstreamShare([tuple(leaving)], [], 10, 12)
        knowledge.hear_upstreams(share)
        self.assertTrue(knowledge.state.fleet.upstreams['i-1'].leaving)

    def test_listing_removes_what_it_lacks(self) -> None:
        knowledge = make_knowledge()
        both = (make_entry('i-1', 10), make_entry('i-2', 11))
        knowledge.list_upstreams(KindListing(both, 11))
        knowledge.list_upstreams(KindListing(both[:1], 20))
        self.assertEqual(list(knowledge.state.fleet.upstreams), ['i-1'])
        share = knowledge.share_upstreams(15)
        self.assertEqual(share.removed, ['i-2'])

    def test_entry_that_came_back_stays(self) -> None:
        sender = make_knowledge()
        sender.list_upstreams(KindListing((make_entry('i-1', 10),), 10))
        sender.change_upstreams(RecordChange((), ('i-1',), 20))
        back = make_entry('i-1', 25)
        sender.change_upstreams(RecordChange((back,), (), 25))
        sender.advance(30)
        receiver = make_knowledge()
        receiver.list_upstreams(KindListing((make_entry('i-1', 10),), 10))
        receiver.hear_upstreams(sender.share_upstreams(10))
        self.assertEqual(list(receiver.state.fleet.upstreams), ['i-1'])
        self.assertEqual(receiver.upstream_revision, 30)

    def test_removals_are_bounded(self) -> None:
        knowledge = make_knowledge()
        for idx in range(REMOVALS_LIMIT + 5):
            knowledge.drop_upstream(f'i-{idx}', idx + 1, 'test')
        self.assertEqual(len(knowledge.removed_at), REMOVALS_LIMIT)
        knowledge.advance(REMOVALS_LIMIT + 5)
        self.assertEqual(knowledge.share_upstreams(0).after, 6)

    def test_faulty_entry_names_no_upstream(self) -> None:
        knowledge = make_knowledge()
        knowledge.list_upstreams(KindListing((make_entry('i-1', 10),), 10))
        faulty = KindRecord('i-1', 11, 'no entry')
        knowledge.change_upstreams(RecordChange((faulty,), (), 11))
        self.assertEqual(knowledge.state.fleet.upstreams, {})


class ScriptedStore:
    """A store that answers by a script, then waits for ever."""

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
        self, kind: str, after_revision: int, wait_seconds: float
    ) -> Result[RecordChange, Failure]:
        return await self.answer(f'watch {after_revision}')

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Result[Any, Failure]:
        return await self.answer(f'create {name} {value.get("requests")}')


class FollowCase(NamedTuple):
    """A row: answers of the store, and the calls that they lead to."""

    name: str
    script: tuple[Any, ...]
    calls: tuple[str, ...]


LISTED = KindListing((), 10)
FOLLOW_CASES = (
    FollowCase(
        'changes go on from their revision',
        (LISTED, RecordChange((), (), 14)),
        ('list', 'watch 10', 'watch 14'),
    ),
    FollowCase(
        'history gone: list again',
        (LISTED, GONE, KindListing((), 30)),
        ('list', 'watch 10', 'list', 'watch 30'),
    ),
    FollowCase(
        'store away: the same watch again',
        (AWAY, LISTED, LOST, AWAY),
        ('list', 'list', 'watch 10', 'watch 10', 'watch 10'),
    ),
)


class FollowerTest(TestCase):
    """Follows a kind of records in virtual time."""

    @params(*((case,) for case in FOLLOW_CASES))
    def test_calls(self, case: FollowCase) -> None:
        store: Any = ScriptedStore(case.script)
        clock = MockClock(autojump_threshold=0)
        trio.run(follow, store, clock=clock)
        self.assertEqual(tuple(store.calls), case.calls)


def ignore(_: object) -> None:
    """Take what is told and do nothing."""


def ignore_contact(_: str, answers: bool) -> None:
    """Take whether the store answers and do nothing."""


def always() -> bool:
    """Have every instance watch."""
    return True


async def follow(store: Any) -> None:
    """Follow for a while."""
    async with open_timer_service() as timers:
        sink = KindSink('kind', ignore, ignore, ignore_contact, always, float)
        follower = KindFollower(store, sink, timers, random.Random(1))
        with trio.move_on_after(30):
            await follower.follow()


class AccountWriterTest(TestCase):
    """Segments of the account when answers are lost."""

    def test_segment_is_written_again_as_it_was(self) -> None:
        store: Any = ScriptedStore((LOST, AWAY, LISTED, LISTED))
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
    """Writes of the account by the size of the fleet."""

    @params((7, 10), (20, 10), (89, 44.5), (3600, 60))
    def test_period(self, instances: int, seconds: float) -> None:
        self.assertAlmostEqual(choose_period(instances), seconds)


async def write_account(store: Any) -> None:
    """Write two segments, the first with lost answers."""
    async with open_timer_service() as timers:
        state = RelayState(make_settings())
        writer = AccountWriter(state, store, _with_utc(timers), 'a')
        state.account.note('r1', 3)
        await writer.write()
        state.account.note('r2', 4)
        for _ in range(3):
            await writer.write()


def _with_utc(timers: TimerService) -> TimerService:
    timers.read_utc = float
    return timers


class ArchiveCase(NamedTuple):
    """A row: an instance's name, answers of the store, and the calls."""

    name: str
    instance: str
    script: tuple[Any, ...]
    calls: int


ARCHIVE_CASES = (
    ArchiveCase('first name writes', 'front-a-1', (LISTED,), 1),
    ArchiveCase('it was written before', 'front-a-1', (TAKEN,), 1),
    ArchiveCase('store away: again', 'front-a-1', (AWAY, LOST, LISTED), 3),
    ArchiveCase('third name leaves it to others', 'front-z-9', (LISTED,), 0),
)


class NoteArchiveTest(TestCase):
    """Notes that came into force are kept."""

    @params(*((case,) for case in ARCHIVE_CASES))
    def test_writes(self, case: ArchiveCase) -> None:
        store: Any = ScriptedStore(case.script)
        clock = MockClock(autojump_threshold=0)
        trio.run(archive, store, case.instance, clock=clock)
        self.assertEqual(len(store.calls), case.calls)


async def archive(store: Any, instance: str) -> None:
    """Run the archive of an instance with two peers for a while."""
    knowledge = make_knowledge()
    knowledge.hear_note(NoteShare(make_note(5)))
    network: Any = None
    async with open_timer_service() as timers:
        talk = PeerTalk(knowledge.state, knowledge, network, timers)
        talk.name = instance
        talk.roster.name = instance
        for name in ('front-b-1', 'front-c-1'):
            talk.note_told({name: Place(name, 'b')})
        with trio.move_on_after(2.5):
            await NoteArchive(store, Duties(talk), timers).keep()


class RepeatBudgetTest(TestCase):
    """Repeats of all instances together stay within the bound."""

    def test_slack_is_divided(self) -> None:
        instances = 7
        taken = 0
        for _ in range(instances):
            budget = RepeatBudget(0.2, 54, 10)
            for idx in range(100):
                budget.note_request(idx / 100)
            while budget.take(instances, 1):
                taken += 1
        self.assertLess(taken, 0.2 * 100 * instances + 54)
        self.assertGreater(taken, 0)
