"""Streams taken up at an instance that is out of step with the others.

Load pattern, in virtual time: an instance is cut off, frozen, or has lost
announcements while engines of a second software version join and begin streams;
then callers take these streams up at it. Guards against events of two versions
in one stream, and against refusing streams that could go on.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from functools import partial
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import RequestKind, Role
from cranberryrelay.relay._context import (
    AdmittedRequest,
    RelayContext,
    StreamReply,
)
from cranberryrelay.relay._membership import (
    LOST_RETAINED_SECONDS,
    REMOVE_AFTER_SECONDS,
    RETRY_PERIOD_SECONDS,
)
from cranberryrelay.relay._model_path import ModelRun
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay._records import KindRecord
from cranberryrelay.relay._store_check import StoreCheck
from cranberryrelay.relay._stream_inquiry import StreamAnswer, StreamQuestion
from cranberryrelay.relay._stream_versions import (
    RETAINED_SECONDS,
    StreamVersions,
)
from cranberryrelay.relay.tests.fixtures import (
    at,
    make_arrival,
    make_route,
    make_table,
)
from cranberryrelay.relay.tests.test_group_talk import (
    FakeNetwork,
    FakePeerNetwork,
    Fleet,
)
from cranberryrelay.relay.tests.test_model_path import EVENTS, WORK, Engines
from cranberryrelay.relay.tests.test_software_versions import (
    make_engine,
    make_state,
)
from cranberryrelay.relay.tests.test_store_check import (
    StoreMode,
    StubReplica,
    StubStore,
)
from cranberryrelay.timing import TimerService, open_timer_service

HUB_FLEET = tuple(f'front-{"abc"[idx % 3]}-{idx:02d}' for idx in range(21))

# The first name of a failure domain is its hub, the next one a member.
HUB = HUB_FLEET[0]
MEMBER = HUB_FLEET[3]
MESH: tuple[str, ...] = ('front-a-00', 'front-b-01', 'front-c-02')

# Begins the streams, if no other is named; a hub in the large fleet.
BEGINNER = 'front-b-01'
DISCOVERY_SECONDS = 3.0
APART_SECONDS = 2.0
DEADLINE_SECONDS = 8.0
UNKNOWN = ResultCode.STREAM_VERSION_UNKNOWN
RESTARTS = 10

# More streams than one of three instances may announce in ``APART_SECONDS``.
MANY_STREAMS = 2000
OLD = make_engine('d1', 'old')
OTHER = make_engine('d2', 'other')


class LossyNetwork(FakeNetwork):
    """Loses messages one way, and holds those to a frozen instance."""

    def __init__(self) -> None:
        super().__init__()

        # Links on which messages are lost, as (sender, receiver).
        self.lost: set[tuple[str, str]] = set()

        # Instances of the build before, which pass over newer messages.
        self.older: set[str] = set()

        # Whether announcements of streams are lost on all links.
        self.loses_announcements = False
        self.frozen: set[str] = set()
        self.thawed = trio.Event()

    def connect(self, name: str) -> 'LossyPeerNetwork':
        """Return the peer network of one instance."""
        plain = super().connect(name)
        return LossyPeerNetwork(self, plain.inbox, name)

    def thaw(self) -> None:
        """Let frozen instances go on."""
        self.frozen.clear()
        self.thawed.set()
        self.thawed = trio.Event()


class LossyPeerNetwork(FakePeerNetwork):
    """Peer network of one instance."""

    network: LossyNetwork

    def __init__(
        self,
        network: LossyNetwork,
        inbox: trio.MemoryReceiveChannel[Any],
        name: str,
    ) -> None:
        super().__init__(network, inbox)
        self.name = name

    def send(self, peer: str, address: str, sender: str, message: Any) -> bool:
        """Deliver a message at once, unless it is lost."""
        net = self.network
        if (sender, address) in net.lost or sender in net.frozen:
            return False
        if address in net.older and isinstance(
            message, (StreamQuestion, StreamAnswer)
        ):
            return False
        update = getattr(message, 'update', None)
        if net.loses_announcements and update is not None:
            update = update._replace(begun_streams=[])
            message = message._replace(update=update)
        return super().send(peer, address, sender, message)

    async def receive(self) -> AsyncIterator[tuple[str, Any]]:
        """Yield the messages, none while the instance is frozen."""
        async for item in self.inbox:
            while self.name in self.network.frozen:
                await self.network.thawed.wait()
            yield item


def make_store_check(
    play: 'Play', store: StubStore, timers: TimerService
) -> StoreCheck:
    """Make the store check of the instance out of step."""
    replica = StubReplica(play.state_of(play.victim))
    duties: Any = SimpleNamespace(
        protocol=SimpleNamespace(store_replica=replica),
        needs_watch=play.fleet.duties[play.victim].needs_watch,
    )
    stub: Any = store
    return StoreCheck(stub, 'servers', duties, timers)


class Play(NamedTuple):
    """A running fleet of which the first instance falls out of step."""

    network: LossyNetwork
    fleet: Fleet
    timers: TimerService

    # Name of the instance out of step.
    victim: str

    # Names of instances that do not learn of the second version.
    unaware: set[str]

    # The store as the instance out of step reaches it.
    store: StubStore

    def state_of(self, name: str) -> Any:
        """Return the state of an instance."""
        return self.fleet.protocols[name].state

    def others(self) -> list[str]:
        """Return the other instances."""
        return [name for name in self.fleet.protocols if name != self.victim]

    def join_other_version(self) -> None:
        """Let an engine of a second version join."""
        for name in self.fleet.protocols:
            if name not in self.unaware:
                self.state_of(name).apply_upstream(OTHER, 'test')
        self.store.joined = (KindRecord(OTHER.name, at(2), OTHER),)

    def begin_streams(self, name: str, count: int) -> None:
        """Begin the stream 'r1' and others at the second version."""
        versions = self.state_of(name).stream_versions
        for number in range(1, count + 1):
            versions.record_begun(f'r{number}', OTHER, self.timers.now())


Change = Callable[[Play], None]


def change_nothing(play: Play) -> None:
    """Leave the fleet as it is."""


def cut_from_store(play: Play) -> None:
    play.unaware.add(play.victim)


def cut_from_peers(play: Play) -> None:
    for name in play.others():
        play.network.lost |= {(play.victim, name), (name, play.victim)}


def cut_from_both(play: Play) -> None:
    cut_from_store(play)
    cut_from_peers(play)


def stop_hearing_peers(play: Play) -> None:
    cut_from_store(play)
    for name in play.others():
        play.network.lost.add((name, play.victim))


def stop_reaching_peers(play: Play) -> None:
    cut_from_store(play)
    for name in play.others():
        play.network.lost.add((play.victim, name))


def lose_announcements(play: Play) -> None:
    cut_from_store(play)
    play.network.loses_announcements = True


def freeze(play: Play) -> None:
    cut_from_store(play)
    play.network.frozen.add(play.victim)


def thaw(play: Play) -> None:
    play.network.thaw()


def stay_apart(play: Play) -> None:
    cut_from_both(play)
    for name in play.others():
        peers = play.fleet.protocols[play.victim].membership
        domain = peers.peers[name].location.domain
        forget_at = play.timers.now() + LOST_RETAINED_SECONDS
        peers.lost.add(name, domain, forget_at)
        peers.remove(name)


def cut_from_hub(play: Play) -> None:
    cut_from_store(play)
    for name in play.others():
        if name.startswith('front-a'):
            play.network.lost |= {(play.victim, name), (name, play.victim)}


def cut_domain_from_store(play: Play) -> None:
    names = play.fleet.protocols
    play.unaware.update(one for one in names if one.startswith('front-a'))
    play.network.loses_announcements = True


def cut_off_own_domain_unannounced(play: Play) -> None:
    cut_from_hub(play)
    play.unaware.update(
        one for one in play.others() if not one.startswith('front-a')
    )
    play.network.loses_announcements = True


def lose_instance(name: str, play: Play) -> None:
    """Cut an instance from all others, which do not reach the store."""
    others = [one for one in play.fleet.protocols if one != name]
    play.unaware.update(others)
    for other in others:
        play.network.lost |= {(name, other), (other, name)}


lose_other_hub = partial(lose_instance, HUB_FLEET[1])
lose_other_member = partial(lose_instance, HUB_FLEET[4])
lose_own_member = partial(lose_instance, HUB_FLEET[6])


def kill_other_member(play: Play) -> None:
    play.fleet.kill(HUB_FLEET[4])


def kill_own_member(play: Play) -> None:
    play.fleet.kill(HUB_FLEET[6])


def kill_hub(play: Play) -> None:
    play.fleet.kill(HUB)


def kill_other_hub(play: Play) -> None:
    play.fleet.kill(HUB_FLEET[1])


def kill_peer(play: Play) -> None:
    play.fleet.kill(MESH[1])


def run_older_build(play: Play) -> None:
    play.network.older.update(play.others())


def lose_announcements_to_older_build(play: Play) -> None:
    lose_announcements(play)
    run_older_build(play)


def heal(play: Play) -> None:
    play.network.lost.clear()


def kill_beginner(play: Play) -> None:
    play.fleet.kill(MESH[1])


def forget_at_beginner(play: Play) -> None:
    versions = play.state_of(MESH[1]).stream_versions
    versions.streams.clear()
    versions.unannounced.clear()
    versions.last_seen.clear()
    play.state_of(MESH[1]).remove_upstream(OTHER.name, 'test')
    versions.begin()


class Case(NamedTuple):
    """A way of falling out of step, and what becomes of the stream."""

    name: str

    # Changes before the second version joins.
    before: Change

    # Changes between the begin of the stream and the caller's return.
    after: Change

    # Code of the refusal; None if the stream goes on at its version.
    code: ResultCode | None
    streams: int = 1
    store: StoreMode = StoreMode.SILENT
    names: tuple[str, ...] = MESH

    # Instance that begins the streams.
    beginner: str = BEGINNER

    # Whether engines of a second version join.
    other_joins: bool = True


CASES = (
    Case('cut off from all', cut_from_both, change_nothing, UNKNOWN),
    Case(
        'cut off from all, back as the caller returns',
        cut_from_both,
        heal,
        ResultCode.NO_ENGINE,
    ),
    Case('hears no peer', stop_hearing_peers, change_nothing, UNKNOWN),
    Case(
        'reaches no peer, hears announcements',
        stop_reaching_peers,
        change_nothing,
        ResultCode.NO_ENGINE,
    ),
    Case(
        'cut off from the store, announcements lost',
        lose_announcements,
        change_nothing,
        ResultCode.NO_ENGINE,
    ),
    Case('frozen, thawed by the caller', freeze, thaw, ResultCode.NO_ENGINE),
    Case(
        'more streams than are announced',
        cut_from_store,
        change_nothing,
        ResultCode.NO_ENGINE,
        MANY_STREAMS,
    ),
    Case(
        'announcements lost, beginner killed',
        lose_announcements,
        kill_beginner,
        UNKNOWN,
    ),
    Case(
        'announcements lost, beginner started again',
        lose_announcements,
        forget_at_beginner,
        UNKNOWN,
    ),
    Case(
        'announcements lost, store in touch',
        lambda play: setattr(play.network, 'loses_announcements', True),
        change_nothing,
        None,
    ),
    Case(
        'cut off from peers, the watch of the store silent',
        cut_from_both,
        change_nothing,
        UNKNOWN,
        store=StoreMode.ANSWERS,
    ),
    Case(
        'cut off from all, the store refuses',
        cut_from_both,
        change_nothing,
        UNKNOWN,
        store=StoreMode.REFUSES,
    ),
    Case(
        'cut off until peers are removed', stay_apart, change_nothing, UNKNOWN
    ),
    Case(
        'peers of the build before',
        lose_announcements_to_older_build,
        change_nothing,
        UNKNOWN,
    ),
    Case(
        'a member cut off from its hub',
        cut_from_hub,
        change_nothing,
        ResultCode.NO_ENGINE,
        names=(MEMBER, *HUB_FLEET),
    ),
    Case(
        'a member that takes itself for the hub, its own domain silent',
        cut_off_own_domain_unannounced,
        change_nothing,
        UNKNOWN,
        names=(MEMBER, *HUB_FLEET),
        beginner=HUB,
    ),
    Case(
        'a member whose hub is lost',
        cut_domain_from_store,
        kill_hub,
        ResultCode.NO_ENGINE,
        names=(MEMBER, *HUB_FLEET),
    ),
    Case(
        'a member cut off from all',
        cut_from_both,
        change_nothing,
        UNKNOWN,
        names=(MEMBER, *HUB_FLEET),
    ),
    Case(
        'another domain has lost its hub',
        lose_other_hub,
        change_nothing,
        UNKNOWN,
        names=HUB_FLEET,
        beginner=BEGINNER,
    ),
    Case(
        'another domain has lost a member',
        lose_other_member,
        change_nothing,
        UNKNOWN,
        names=HUB_FLEET,
        beginner=HUB_FLEET[4],
    ),
    Case(
        'a hub that has lost a member',
        lose_own_member,
        change_nothing,
        UNKNOWN,
        names=HUB_FLEET,
        beginner=HUB_FLEET[6],
    ),
    Case(
        'a member, another domain has lost its hub',
        lose_other_hub,
        change_nothing,
        UNKNOWN,
        names=(MEMBER, *HUB_FLEET),
        beginner=BEGINNER,
    ),
    Case(
        'a member, another domain has lost a member',
        lose_other_member,
        change_nothing,
        UNKNOWN,
        names=(MEMBER, *HUB_FLEET),
        beginner=HUB_FLEET[4],
    ),
    Case(
        'a member, its domain has lost another one',
        lose_own_member,
        change_nothing,
        UNKNOWN,
        names=(MEMBER, *HUB_FLEET),
        beginner=HUB_FLEET[6],
    ),
)

ONE_VERSION_CASES = (
    Case('in touch', change_nothing, change_nothing, None),
    Case(
        'the store is out',
        change_nothing,
        change_nothing,
        None,
        store=StoreMode.REFUSES,
    ),
    Case(
        'a peer is killed',
        change_nothing,
        kill_peer,
        None,
        store=StoreMode.ANSWERS,
    ),
    Case(
        'cut off from peers',
        cut_from_peers,
        change_nothing,
        None,
        store=StoreMode.ANSWERS,
    ),
    Case(
        'peers of the build before',
        run_older_build,
        change_nothing,
        None,
        store=StoreMode.ANSWERS,
    ),
    Case('thawed', freeze, thaw, None),
    Case(
        'a member, in touch',
        change_nothing,
        change_nothing,
        None,
        names=(MEMBER, *HUB_FLEET),
    ),
    Case(
        'a hub, in touch', change_nothing, change_nothing, None, names=HUB_FLEET
    ),
    Case(
        'a member, a hub elsewhere is killed',
        change_nothing,
        kill_other_hub,
        None,
        names=(MEMBER, *HUB_FLEET),
    ),
    Case(
        'a hub, a member elsewhere is killed',
        kill_other_member,
        change_nothing,
        None,
        store=StoreMode.ANSWERS,
        names=HUB_FLEET,
    ),
    Case(
        'a hub, its member is killed',
        kill_own_member,
        change_nothing,
        None,
        store=StoreMode.ANSWERS,
        names=HUB_FLEET,
    ),
    Case(
        'a member, one elsewhere is killed',
        kill_other_member,
        change_nothing,
        None,
        store=StoreMode.ANSWERS,
        names=(MEMBER, *HUB_FLEET),
    ),
    Case(
        'a member, another one is killed',
        kill_own_member,
        change_nothing,
        None,
        store=StoreMode.ANSWERS,
        names=(MEMBER, *HUB_FLEET),
    ),
    # Nothing tells a peer that has ended from one that is only cut off, and
    # which may know a version that this instance can't learn of.
    Case(
        'a peer is killed, the store is out',
        change_nothing,
        kill_peer,
        UNKNOWN,
        store=StoreMode.REFUSES,
    ),
)


class Outcome(NamedTuple):
    """What the caller received, and the decode engines that were called."""

    last_event: int
    code: ResultCode | None
    hosts: tuple[str, ...]


async def take_up(protocol: PeerProtocol, timers: TimerService) -> Outcome:
    """Take the stream 'r1' up at an instance after its second event."""
    engines = Engines('')
    transport = httpx.MockTransport(engines.respond)
    now = timers.now()
    arrival = make_arrival('r1', WORK)
    route = make_route(RequestKind.STREAM)
    async with (
        httpx.AsyncClient(transport=transport) as client,
        AsyncExitStack() as stack,
    ):
        admitted = AdmittedRequest(
            request=arrival._replace(
                arrived_at=now,
                headers=(*arrival.headers, (b'Last-Event-Id', b'2')),
                last_event_number=2,
                resumed_request_id='r1',
            ),
            route=route._replace(resumable=True, attempts_limit=2),
            service='s',
            revision=1,
            deadline=now + DEADLINE_SECONDS,
            stack=stack,
        )
        state = protocol.state
        context = RelayContext(state, client, TargetDialect(), timers)
        outcome = await ModelRun(context, admitted).run()
        last = b''
        reply = outcome.ok()
        if isinstance(reply, StreamReply):
            async for event in reply.events:
                last = event
    failure: Failure | None = outcome.err()
    hosts = tuple(
        call.partition(' ')[0]
        for call in engines.calls
        if not call.endswith('prefill')
    )
    return Outcome(
        EVENTS.index(last) + 1 if last else 0,
        failure.code if failure else None,
        hosts,
    )


async def play_case(case: Case) -> Outcome:
    """Let the first instance fall out of step; take the stream up there."""
    victim, *others = case.names
    names = sorted({victim, *others})
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        network = LossyNetwork()
        store = StubStore(case.store)
        fleet = Fleet(network, nursery)
        play = Play(network, fleet, timers, victim, set(), store)
        await start_instances(play, names)
        check = make_store_check(play, store, timers)
        fleet.protocols[victim].stream_inquiry.store = check
        nursery.start_soon(check.run)
        case.before(play)
        if case.other_joins:
            play.join_other_version()
        await trio.sleep(APART_SECONDS)
        if case.other_joins:
            play.begin_streams(case.beginner, case.streams)
        await trio.sleep(APART_SECONDS)
        case.after(play)
        outcome = await take_up(fleet.protocols[victim], timers)
        nursery.cancel_scope.cancel()
    return outcome


async def start_instances(play: Play, names: list[str]) -> None:
    """Start the instances with engines of one version."""
    for name in names:
        await play.fleet.start(name, play.timers)
        state = play.state_of(name)
        route = make_route(RequestKind.STREAM)
        state.apply_table(make_table(1, route), 'test')
        state.apply_upstream(make_engine('p1', 'old', Role.PREFILL), 'test')
        state.apply_upstream(OLD, 'test')
    await trio.sleep(DISCOVERY_SECONDS)


class OutOfStepTest(TestCase):
    """A stream is taken up at an instance that missed a second version."""

    # Events of two software versions in one stream, as an instance that has not
    # heard of the second one takes that for proof that there is none.
    @params(*((case,) for case in CASES))
    def test_stream_is_not_joined_to_another_version(self, case: Case) -> None:
        clock = MockClock(autojump_threshold=0)
        outcome = trio.run(play_case, case, clock=clock)
        self.assertNotIn('d1', outcome.hosts, case.name)
        self.assertEqual(outcome.code, case.code, case.name)

    # Refusals of streams that no other version can have begun.
    @params(*((case,) for case in ONE_VERSION_CASES))
    def test_stream_goes_on_if_one_version_is_proven(self, case: Case) -> None:
        clock = MockClock(autojump_threshold=0)
        case = case._replace(other_joins=False)
        outcome = trio.run(play_case, case, clock=clock)
        self.assertEqual(outcome.code, case.code, case.name)
        self.assertEqual(outcome.last_event, 0 if case.code else len(EVENTS))


async def leave_then_begin(names: tuple[str, ...], taker: str) -> Outcome:
    """Begin a stream at an instance that stops; take it up at another."""
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        network = LossyNetwork()
        fleet = Fleet(network, nursery)
        store = StubStore(StoreMode.REFUSES)
        play = Play(network, fleet, timers, taker, set(), store)
        await start_instances(play, sorted(names))
        play.join_other_version()
        await trio.sleep(APART_SECONDS)
        fleet.protocols[BEGINNER].send_farewell()
        await trio.sleep(APART_SECONDS)
        play.begin_streams(BEGINNER, 1)
        await trio.sleep(1)
        fleet.kill(BEGINNER)
        outcome = await take_up(fleet.protocols[taker], timers)
        nursery.cancel_scope.cancel()
    return outcome


async def take_up_beside_a_stop(other_joins: bool) -> Outcome:
    """Cut an instance that stops from the others; take a stream up there."""
    taker = MESH[0]
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        network = LossyNetwork()
        fleet = Fleet(network, nursery)
        store = StubStore(StoreMode.REFUSES)
        play = Play(network, fleet, timers, taker, set(), store)
        await start_instances(play, sorted(MESH))
        fleet.protocols[BEGINNER].send_farewell()
        await trio.sleep(0.5)
        for name in set(MESH) - {BEGINNER}:
            network.lost |= {(name, BEGINNER), (BEGINNER, name)}
            play.unaware.add(name)
        if other_joins:
            play.join_other_version()
        await trio.sleep(1)
        if other_joins:
            play.begin_streams(BEGINNER, 1)
        await trio.sleep(1)
        outcome = await take_up(fleet.protocols[taker], timers)
        nursery.cancel_scope.cancel()
    return outcome


async def take_up_twice() -> tuple[Outcome, Outcome]:
    """Take streams up before and after the store is lost, too."""
    taker = MESH[0]
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        network = LossyNetwork()
        fleet = Fleet(network, nursery)
        store = StubStore(StoreMode.ANSWERS)
        play = Play(network, fleet, timers, taker, set(), store)
        await start_instances(play, sorted(MESH))
        check = make_store_check(play, store, timers)
        fleet.protocols[taker].stream_inquiry.store = check
        nursery.start_soon(check.run)
        cut_from_peers(play)
        await trio.sleep(REMOVE_AFTER_SECONDS + 2 * RETRY_PERIOD_SECONDS)
        first = await take_up(fleet.protocols[taker], timers)
        # The next stream is another one.
        versions = play.state_of(taker).stream_versions
        versions.streams.clear()
        versions.unannounced.clear()
        store.mode = StoreMode.REFUSES
        play.unaware.add(taker)
        play.join_other_version()
        await trio.sleep(1)
        play.begin_streams(BEGINNER, 1)
        await trio.sleep(1)
        second = await take_up(fleet.protocols[taker], timers)
        nursery.cancel_scope.cancel()
    return first, second


class LostPeersTest(TestCase):
    """Peers that are no members any more may still begin streams."""

    # Events of two versions in one stream, which an instance began that had
    # said that it stops.
    def test_stopping_peer_counts_until_its_grace_ends(self) -> None:
        clock = MockClock(autojump_threshold=0)
        outcome = trio.run(take_up_beside_a_stop, True, clock=clock)
        self.assertNotIn('d1', outcome.hosts)
        self.assertEqual(outcome.code, UNKNOWN)

    # Events of two versions in one stream, which an instance began that was
    # silent for a minute, though the store had been reached since.
    def test_answer_of_the_store_says_nothing_of_peers(self) -> None:
        clock = MockClock(autojump_threshold=0)
        first, second = trio.run(take_up_twice, clock=clock)
        self.assertIsNone(first.code)
        self.assertNotIn('d1', second.hosts)
        self.assertEqual(second.code, UNKNOWN)


class PlannedStopTest(TestCase):
    """An instance that stops serves streams until its grace ends."""

    # Refusals of streams that an instance began after it had said that it
    # stops: it told nobody which version began them.
    @params((MESH, MESH[0]), (HUB_FLEET, MEMBER), (HUB_FLEET, HUB))
    def test_stream_begun_in_the_grace_goes_on_elsewhere(
        self, names: tuple[str, ...], taker: str
    ) -> None:
        clock = MockClock(autojump_threshold=0)
        outcome = trio.run(leave_then_begin, names, taker, clock=clock)
        self.assertIsNone(outcome.code)
        self.assertEqual(outcome.hosts, ('d2',))


async def restart_one_after_the_other() -> list[str]:
    """Return the versions known after restarts since one of two left."""
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        network = LossyNetwork()
        fleet = Fleet(network, nursery)
        store = StubStore(StoreMode.REFUSES)
        play = Play(network, fleet, timers, MESH[0], set(), store)
        await start_instances(play, list(MESH))
        play.join_other_version()
        await trio.sleep(APART_SECONDS)
        for name in MESH:
            play.state_of(name).remove_upstream(OTHER.name, 'test')
        for number in range(RESTARTS):
            name = MESH[number % len(MESH)]
            fleet.kill(name)
            await start_instances(play, [name])
            await trio.sleep(RETAINED_SECONDS / len(MESH))
        state = play.fleet.protocols[MESH[0]].state
        known = state.stream_versions.known_versions()
        nursery.cancel_scope.cancel()
    return known['s']


class SharedVersionsTest(TestCase):
    """Instances tell each other of versions again and again."""

    # A version that has left and counts as recent for ever, as each instance
    # learns it anew from another: all unknown streams would be refused.
    def test_version_that_left_is_forgotten(self) -> None:
        first, second = StreamVersions(), StreamVersions()
        first.observe([OLD, OTHER], 0)
        end = int(RETAINED_SECONDS) + 2
        for now in range(1, end):
            for teller, listener in ((first, second), (second, first)):
                listener.apply_ages(teller.version_ages(now), now)
            for one in (first, second):
                one.observe([OLD], now)
        for one in (first, second):
            self.assertEqual(one.known_versions(), {'s': ['old']})

    # The same by instances that are replaced one after the other, each of which
    # is told of the version by those that run.
    def test_version_is_forgotten_while_instances_restart(self) -> None:
        clock = MockClock(autojump_threshold=0)
        known = trio.run(restart_one_after_the_other, clock=clock)
        self.assertEqual(known, ['old'])

    # An engine that came and left between two looks at the versions.
    def test_version_of_a_short_stay_is_known(self) -> None:
        state = make_state(('d1', 'old'))
        state.stream_versions.observe(state.fleet.upstreams.values(), 0)
        state.apply_upstream(OTHER, 'test')
        state.remove_upstream(OTHER.name, 'test')
        known = state.stream_versions.known_versions()
        self.assertEqual(known, {'s': ['old', 'other']})
