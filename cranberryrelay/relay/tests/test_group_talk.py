"""Beats of a fleet of 40 instances in 4 failure domains, in virtual time.

Load pattern: a fleet that is too large for beats between all pairs, in which
hubs end, are cut off, or lose the store.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.platform import (
    CONFIGURATION_NAME,
    decode_configuration,
    decode_upstream,
)
from cranberryrelay.relay import Decoders, KindListing, RecordChange, Role
from cranberryrelay.relay._backlog import Sent
from cranberryrelay.relay._duties import NO_PLACE, Duties
from cranberryrelay.relay._knowledge import Knowledge
from cranberryrelay.relay._peers import PeerTalk
from cranberryrelay.relay._prefix_index import CachedPart
from cranberryrelay.relay._registration import greet_listed
from cranberryrelay.relay._roster import Place
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import make_settings, make_table
from cranberryrelay.relay.tests.test_knowledge import make_entry
from cranberryrelay.timing import open_timer_service

DOMAINS = ('a', 'b', 'c', 'd')
INSTANCES = 40
INBOX_LIMIT = 10_000

# Time in which a change must be known everywhere, in seconds.
SPREAD_SECONDS = 1.5
SENT = Sent(0.3, 0)


class Wires:
    """Connections between all instances; counts messages."""

    def __init__(self) -> None:
        self.inboxes: dict[str, trio.MemorySendChannel[Any]] = {}
        self.cut: set[str] = set()
        self.sent: dict[str, int] = {}
        self.across = 0

    def open(self, name: str) -> 'Wire':
        """Open the end of one instance."""
        sender, receiver = trio.open_memory_channel[Any](INBOX_LIMIT)
        self.inboxes[name] = sender
        return Wire(self, receiver)


class Wire:
    """What an instance uses as its peer network."""

    def __init__(
        self, wires: Wires, inbox: trio.MemoryReceiveChannel[Any]
    ) -> None:
        self.wires = wires
        self.inbox = inbox

    def send(self, peer: str, address: str, sender: str, message: Any) -> bool:
        """Pass a message on at once."""
        wires = self.wires
        wires.sent[sender] = wires.sent.get(sender, 0) + 1
        wires.across += sender.split('-')[1] != address.split('-')[1]
        if {sender, address} & wires.cut or address not in wires.inboxes:
            return False
        wires.inboxes[address].send_nowait((sender, message))
        return True

    def close_unused(self) -> None:
        """Do nothing, as there are no connections."""

    async def receive(self) -> AsyncIterator[tuple[str, Any]]:
        """Yield what was sent to the instance."""
        async for item in self.inbox:
            yield item


class Group:
    """A running fleet."""

    def __init__(self, wires: Wires, nursery: trio.Nursery) -> None:
        self.wires = wires
        self.nursery = nursery
        self.talks: dict[str, PeerTalk] = {}
        self.duties: dict[str, Duties] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def start(self, name: str, timers: Any) -> None:
        """Start an instance that the store names to all that start later."""
        domain = name.split('-')[1]
        settings = make_settings(name, domain)
        state = RelayState(settings)
        decoders = Decoders(
            decode_configuration, decode_upstream, CONFIGURATION_NAME
        )
        wire: Any = self.wires.open(name)
        talk = PeerTalk(state, Knowledge(state, decoders), wire, timers)
        talk.place = Place(name, domain)
        self.talks[name] = talk
        self.duties[name] = Duties(talk)
        self.nursery.start_soon(self.run, name)
        places = {other: one.place for other, one in self.talks.items()}
        greet_listed(talk, places)
        await timers.pause(0.01)

    async def run(self, name: str) -> None:
        """Run an instance until it is killed."""
        with trio.CancelScope() as scope:
            self.scopes[name] = scope
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.talks[name].receive)
                nursery.start_soon(self.talks[name].beat)

    def kill(self, name: str) -> None:
        """End an instance without a word."""
        self.scopes[name].cancel()
        self.wires.inboxes.pop(name)
        self.talks.pop(name)
        self.duties.pop(name)

    def hubs(self) -> list[str]:
        """Return those that act as hubs."""
        now = trio.current_time()
        return [
            name for name, talk in self.talks.items() if talk.roster.is_hub(now)
        ]

    def watchers(self) -> list[str]:
        """Return those that watch the store."""
        return [name for name, one in self.duties.items() if one.needs_watch()]

    def waits(self, engine: str) -> set[int]:
        """Return the waits that the instances expect at an engine, in ms."""
        now = trio.current_time()
        return {
            round(talk.state.backlog.wait_seconds(engine, now) * 1000)
            for talk in self.talks.values()
        }


async def name_one_hub_a_domain(group: Group) -> None:
    hubs = ['front-a-00', 'front-b-00', 'front-c-00', 'front-d-00']
    assert group.hubs() == hubs, group.hubs()
    assert group.watchers() == hubs
    places = [duties.place() for duties in group.duties.values()]
    assert sorted(places)[:5] == [0, 1, 2, 3, NO_PLACE], places
    live = {talk.state.live_instances for talk in group.talks.values()}
    assert live == {INSTANCES}, live


async def send_few_messages(group: Group) -> None:
    group.wires.sent.clear()
    group.wires.across = 0
    for talk in group.talks.values():
        talk.state.backlog.add('engine', SENT)
    await trio.sleep(10)
    assert group.wires.sent['front-b-05'] <= 10 / 0.4 + 1, group.wires.sent
    assert group.wires.sent['front-b-00'] <= 10 / 0.15 * 13, group.wires.sent
    beats = 10 / 0.15 + 1
    assert group.wires.across <= beats * 12, group.wires.across


async def tell_all_of_loads_once(group: Group) -> None:
    for name in ('front-a-03', 'front-b-00', 'front-d-07'):
        group.talks[name].state.backlog.add('engine', SENT)
    await trio.sleep(0.65)
    waits = group.waits('engine')
    assert all(600 <= wait <= 900 for wait in waits), waits
    for name in ('front-a-03', 'front-b-00', 'front-d-07'):
        group.talks[name].state.backlog.remove('engine', SENT)
    await trio.sleep(0.65)
    assert group.waits('engine') == {0}, group.waits('engine')


async def tell_all_what_a_member_found(group: Group) -> None:
    state = group.talks['front-c-04'].state
    state.news.parts.append(CachedPart('i-1', 'part', 100))
    state.news.unreachable.append('i-1')
    await trio.sleep(0.45)
    now = trio.current_time()
    for name, talk in group.talks.items():
        if name != 'front-c-04':
            assert talk.state.fleet.rests('i-1', now), name


async def replace_a_hub_that_was_killed(group: Group) -> None:
    group.kill('front-b-00')
    await trio.sleep(SPREAD_SECONDS)
    expected = ['front-a-00', 'front-b-01', 'front-c-00', 'front-d-00']
    assert sorted(group.hubs()) == expected, group.hubs()
    change_upstreams(group, 20)
    await trio.sleep(SPREAD_SECONDS)
    check_revisions(group, 20)
    await trio.sleep(3)
    live = {talk.state.live_instances for talk in group.talks.values()}
    assert live == {INSTANCES - 1}, live


async def spread_changes_from_any_hub(group: Group) -> None:
    change_upstreams(group, 20, 'front-d-00')
    await trio.sleep(SPREAD_SECONDS)
    check_revisions(group, 20)


async def count_all_right_after_a_start(group: Group) -> None:
    started = 'front-c-07'
    timers = group.talks[started].timers
    group.kill(started)
    await group.start(started, timers)
    await trio.sleep(0.01)
    live = group.talks[started].state.live_instances
    assert live >= INSTANCES, live


async def watch_where_no_hub_is_heard(group: Group) -> None:
    alone = 'front-a-05'
    group.wires.cut.add(alone)
    await trio.sleep(SPREAD_SECONDS)
    assert group.duties[alone].needs_watch()
    group.wires.cut.clear()
    await trio.sleep(7)
    assert alone not in group.watchers()


async def let_others_try_while_hubs_lost_the_store(group: Group) -> None:
    for name in group.hubs():
        group.talks[name].state.note_contact('kind', answers=False)
    await trio.sleep(1)
    watchers = group.watchers()
    assert len(watchers) == 12, watchers


async def go_on_after_a_planned_stop(group: Group) -> None:
    group.talks['front-a-00'].say_farewell()
    await trio.sleep(SPREAD_SECONDS)
    assert 'front-a-01' in group.hubs()
    assert 'front-a-00' not in group.hubs()
    assert group.duties['front-a-00'].needs_watch()


async def spare_an_engine_everywhere(group: Group) -> None:
    for talk in group.talks.values():
        talk.state.apply_table(make_table(5), 'test')
    group.talks['front-a-00'].announce_change('i-1', Role.DECODE)
    await trio.sleep(0.1)
    unaware = [
        name
        for name, talk in group.talks.items()
        if 'i-1' not in talk.state.fleet.changing
    ]
    assert not unaware, unaware


def change_upstreams(
    group: Group, revision: int, name: str = 'front-a-00'
) -> None:
    """Have one instance learn a change from the store."""
    group.talks[name].knowledge.change_upstreams(
        RecordChange((make_entry('i-1', revision),), (), revision)
    )


def check_revisions(group: Group, revision: int) -> None:
    """Check that all know the upstreams up to a revision."""
    behind = [
        name
        for name, talk in group.talks.items()
        if talk.knowledge.upstream_revision < revision
    ]
    assert not behind, behind


async def on_group(work: Callable[[Group], Awaitable[None]]) -> None:
    """Start the instances and let them find each other."""
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        group = Group(Wires(), nursery)
        for idx in range(INSTANCES):
            domain = DOMAINS[idx % len(DOMAINS)]
            name = f'front-{domain}-{idx // len(DOMAINS):02d}'
            await group.start(name, timers)
            listing = KindListing((make_entry('i-1', 10),), 10)
            group.talks[name].knowledge.list_upstreams(listing)
        await trio.sleep(5)
        await work(group)
        nursery.cancel_scope.cancel()


class GroupTalkTest(TestCase):
    """Hubs of a large fleet."""

    @params(
        name_one_hub_a_domain,
        send_few_messages,
        tell_all_of_loads_once,
        tell_all_what_a_member_found,
        replace_a_hub_that_was_killed,
        spread_changes_from_any_hub,
        count_all_right_after_a_start,
        watch_where_no_hub_is_heard,
        let_others_try_while_hubs_lost_the_store,
        go_on_after_a_planned_stop,
        spare_an_engine_everywhere,
    )
    def test_group(self, work: Callable[[Group], Awaitable[None]]) -> None:
        trio.run(on_group, work, clock=MockClock(autojump_threshold=0))
