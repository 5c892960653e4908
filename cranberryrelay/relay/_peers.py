"""Talks to the other instances: who they are, what they have under way."""

import logging
from collections.abc import Iterable
from functools import singledispatch
from typing import Any, Final

from cranberryrelay.relay._catalogue import Role
from cranberryrelay.relay._group_hub import (
    HUB_BEAT_SECONDS,
    GroupHub,
    OtherHub,
)
from cranberryrelay.relay._knowledge import Knowledge
from cranberryrelay.relay._news import make_news
from cranberryrelay.relay._peer_messages import (
    EngineChanging,
    Farewell,
    GroupBeat,
    Hello,
    LoadBeat,
    NoteShare,
    UpstreamShare,
)
from cranberryrelay.relay._roster import Place, Roster
from cranberryrelay.relay._sharing import SHARE_AFTER_SECONDS, Sharer
from cranberryrelay.relay._state import RelayState
from cranberryrelay.timing import TimerService
from cranberryrelay.wire import PeerNetwork

# Beats go out this often while something changes, in seconds; from emulated
# runs: at twice the time 2 to 10 in 100 more of the urgent requests are late.
BEAT_SECONDS: Final = 0.075

# Hubs tell those of other failure domains this often, in seconds, as bytes
# between failure domains are priced and most work stays in its own.
HUBS_BEAT_SECONDS: Final = 0.15

# Beats go out at least this often, in seconds.
IDLE_BEAT_SECONDS: Final = 1.0

# Connections that were not used for this long are closed, in seconds; some
# beats go to each peer that is told of anything in this time.
UNUSED_SECONDS: Final = 4.0

_LOG: Final = logging.getLogger('cranberryrelay.relay')


class PeerTalk:
    """Exchanges beats with the peers on the roster."""

    def __init__(
        self,
        state: RelayState,
        knowledge: Knowledge,
        network: PeerNetwork,
        timers: TimerService,
    ) -> None:
        self.state = state
        self.knowledge = knowledge
        self.network = network
        self.timers = timers
        settings = state.settings
        self.name = settings.name
        self.place = Place(
            f'{settings.ip}:{settings.peer_port}', settings.domain
        )
        self.roster = Roster(self.name, settings.domain)
        self.hub = GroupHub(state.backlog)
        self.last_beat_at = float('-inf')
        self.told_changes = 0
        self.last_group_beat_at = float('-inf')
        self.last_summary_at = float('-inf')
        self.passed_changes = 0
        self.closed_at = float('-inf')
        self.hub_beat: GroupBeat | None = None
        self.known_hub = ''
        self.sharer = Sharer(knowledge, self.roster, self.send)

    def greet(self, name: str, address: str, answer: bool = True) -> None:
        """Make the own instance known at an address, unless it is leaving."""
        if address == self.place.address or self.roster.leaving:
            return
        known = self.roster.describe_known(self.timers.now())
        hello = Hello(self.place, known, answer)
        self.network.send(name, address, self.name, hello)

    def note_told(self, places: dict[str, Place]) -> list[str]:
        """Note peers that are named; return those that were not known."""
        now = self.timers.now()
        fresh = [
            name
            for name, place in places.items()
            if name != self.name and self.roster.note_told(name, place, now)
        ]
        for name in fresh:
            address = places[name].address
            _LOG.info('peer', extra={'peer': name, 'address': address})
        return fresh

    async def receive(self) -> None:
        """Take messages for ever."""
        async for sender, message in self.network.receive():
            self.take(sender, message)

    def take(self, sender: str, message: Any) -> None:
        """Take one message."""
        self.roster.note_heard(sender, self.timers.now())
        take_message(message, self, sender)

    def take_hello(self, sender: str, hello: Hello) -> None:
        """Learn of a peer and of those that it knows."""
        self.note_told({sender: hello.place})
        self.roster.note_heard(sender, self.timers.now())
        if hello.answer:
            self.greet(sender, hello.place.address, answer=False)
        for name in self.note_told(hello.known):
            self.greet(name, hello.known[name].address)
        self.count_live()

    def take_beat(self, sender: str, beat: LoadBeat) -> None:
        """Take over a peer's loads; send it what it lacks."""
        if sender not in self.roster.peers:
            return
        now = self.timers.now()
        self.state.backlog.hear(sender, beat.loads, now)
        self.state.hear_news(beat.news, now)
        self.roster.note_reported(sender)
        delay = SHARE_AFTER_SECONDS
        if self.roster.grouped and self.roster.is_near(sender):
            self.hub.hear_member(sender, beat.news, now)
            self.point_to_hub(sender, now)
            delay = 0
        self.sharer.share(sender, beat, delay)

    def take_group_beat(self, sender: str, beat: GroupBeat) -> None:
        """Take over what a hub knows."""
        if sender not in self.roster.peers:
            return
        now = self.timers.now()
        self.state.backlog.hear(sender, beat.loads, now)
        self.state.hear_news(beat.news, now)
        if self.roster.is_near(sender):
            self.take_view(beat)
            return
        told = OtherHub(beat.instances, beat.in_touch, now)
        self.hub.hear_hub(sender, told, beat.news)
        self.point_to_hub(sender, now)
        self.sharer.share(sender, beat, SHARE_AFTER_SECONDS)

    def take_view(self, beat: GroupBeat) -> None:
        """Take what the own hub tells of the fleet."""
        self.state.live_instances = max(beat.instances, 1)
        self.roster.told_size = beat.instances
        self.hub_beat = beat

    def point_to_hub(self, sender: str, now: float) -> None:
        """Name the own hub to a peer that takes this instance for it."""
        if self.roster.hub(now) is not None:
            address = self.roster.peers[sender].place.address
            self.greet(sender, address, answer=False)

    async def beat(self) -> None:
        """Send beats until this instance is about to stop."""
        async for now in self.timers.subscribe(BEAT_SECONDS):
            for name in self.roster.drop_silent(now):
                self.state.backlog.forget_peer(name)
                _LOG.info('peer forgotten', extra={'peer': name})
            self.hub.drop_silent(now)
            self.count_live()
            if self.roster.leaving:
                return
            if self.is_due(now):
                self.send_beat(now)
            if self.roster.grouped:
                self.log_hub(self.roster.hub(now) or self.name)
                self.pass_on(now)
                self.close_unused(now)

    def log_hub(self, hub: str) -> None:
        """Log which instance speaks for this one when that changes."""
        if hub != self.known_hub:
            self.known_hub = hub
            live = self.state.live_instances
            _LOG.info('hub', extra={'hub': hub, 'instances': live})

    def close_unused(self, now: float) -> None:
        """Close connections that were needed for a greeting only."""
        if now - self.closed_at >= UNUSED_SECONDS:
            self.closed_at = now
            self.network.close_unused()

    async def beat_on_request(self) -> None:
        """Send a beat at once whenever the data path asks for it."""
        async for _ in self.state.beat_requests:
            if not self.roster.leaving:
                self.send_beat(self.timers.now())

    def is_due(self, now: float) -> bool:
        """Tell if there is something to tell."""
        idle = HUB_BEAT_SECONDS if self.roster.grouped else IDLE_BEAT_SECONDS
        if now - self.last_beat_at >= idle:
            return True
        changed = self.state.backlog.changes != self.told_changes
        return changed or not self.state.news.is_empty()

    def send_beat(self, now: float) -> None:
        """Tell what is under way here to all peers or the own hub."""
        state = self.state
        news = state.news
        beat = LoadBeat(
            loads=state.backlog.summarize(now),
            news=news,
            revision=self.state.revision(),
            upstream_revision=self.knowledge.upstream_revision,
        )
        state.news = make_news()
        self.last_beat_at = now
        self.told_changes = state.backlog.changes
        if self.roster.grouped:
            self.hub.tell_all(news)
            self.ask(self.roster.line(self.place.domain, now), beat, now)
        else:
            self.ask(list(self.roster.peers), beat, now)

    def ask(self, names: Iterable[str], message: Any, now: float) -> None:
        """Send peers what they answer with beats of their own.

        Those that have not answered are greeted too, as they may not know
        this instance.
        """
        for name in names:
            if self.roster.grouped and not self.roster.is_confirmed(name, now):
                address = self.roster.peers[name].place.address
                self.greet(name, address, answer=False)
            self.roster.note_asked(name, now)
            self.send(name, message)

    def pass_on(self, now: float) -> None:
        """Tell members what is known, and other hubs if this is one."""
        hub = self.hub
        is_hub = self.roster.is_hub(now)
        if not is_hub:
            hub.take_for_hubs()
        if not is_hub and not hub.members:
            hub.take_for_members()
            return
        backlog = self.state.backlog
        changes = backlog.changes + backlog.heard
        idle = now - self.last_group_beat_at >= HUB_BEAT_SECONDS
        if changes == self.passed_changes and not idle:
            return
        self.last_group_beat_at = now
        self.passed_changes = changes
        beat = GroupBeat(
            loads={},
            news=hub.take_for_members(),
            revision=self.state.revision(),
            upstream_revision=self.knowledge.upstream_revision,
            instances=self.state.live_instances,
            in_touch=self.state.store_answers() or hub.others_in_touch(),
        )
        views = hub.loads_for_members(hub.members, now)
        for name, loads in views.items():
            self.send(name, beat._replace(loads=loads))
        if not is_hub or now - self.last_summary_at < HUBS_BEAT_SECONDS:
            return
        self.last_summary_at = now
        summary = beat._replace(
            loads=hub.domain_loads(now),
            news=hub.take_for_hubs(),
            instances=hub.domain_instances(),
            in_touch=self.state.store_answers(),
        )
        self.ask(self.roster.other_hubs(now), summary, now)

    def say_farewell(self) -> None:
        """Tell the peers that this instance is about to stop."""
        names = self.concerned()
        self.roster.leaving = True
        for name in names:
            self.send(name, Farewell(self.place.address))

    def announce_change(self, engine: str, role: Role | None) -> None:
        """Have all instances spare an engine that changes its role."""
        self.state.spare_engine(engine, role, self.timers.now())
        for name in self.concerned():
            self.send(name, EngineChanging(engine, role))

    def take_change(self, sender: str, message: EngineChanging) -> None:
        """Spare an engine, and have the members do so."""
        now = self.timers.now()
        self.state.spare_engine(message.engine, message.role, now)
        if self.roster.grouped and not self.roster.is_near(sender):
            for name in self.hub.members:
                self.send(name, message)

    def concerned(self) -> list[str]:
        """Return the peers to tell of something at once."""
        if not self.roster.grouped:
            return list(self.roster.peers)
        now = self.timers.now()
        names = {*self.hub.members, *self.roster.line(self.place.domain, now)}
        if self.roster.is_hub(now):
            names.update(self.roster.other_hubs(now))
        return sorted(names)

    def send(self, name: str, message: Any) -> None:
        """Send a message to a peer that is known."""
        peer = self.roster.peers.get(name)
        if peer is not None:
            address = peer.place.address
            self.network.send(name, address, self.name, message)

    def count_live(self) -> None:
        """Count the instances that share the budgets.

        After a start those that the store names count too, for a while.
        """
        now = self.timers.now()
        live = len(self.roster.live_names(now)) + 1
        if not self.roster.grouped:
            self.state.live_instances = live
        elif self.roster.is_hub(now):
            fleet = self.hub.fleet_instances()
            self.state.live_instances = max(live, fleet)
        elif self.hub_beat is None:
            self.state.live_instances = live


@singledispatch
def take_message(message: object, talk: PeerTalk, sender: str) -> None:
    """Take a message of a peer by its type."""
    _LOG.warning('message of an unknown type', extra={'peer': sender})


@take_message.register
def _(message: Hello, talk: PeerTalk, sender: str) -> None:
    talk.take_hello(sender, message)


@take_message.register
def _(message: LoadBeat, talk: PeerTalk, sender: str) -> None:
    talk.take_beat(sender, message)


@take_message.register
def _(message: GroupBeat, talk: PeerTalk, sender: str) -> None:
    talk.take_group_beat(sender, message)


@take_message.register
def _(message: NoteShare, talk: PeerTalk, sender: str) -> None:
    talk.knowledge.hear_note(message)


@take_message.register
def _(message: UpstreamShare, talk: PeerTalk, sender: str) -> None:
    talk.knowledge.hear_upstreams(message)


@take_message.register
def _(message: EngineChanging, talk: PeerTalk, sender: str) -> None:
    talk.take_change(sender, message)


@take_message.register
def _(message: Farewell, talk: PeerTalk, sender: str) -> None:
    talk.roster.drop(sender)
    talk.hub.members.pop(sender, None)
    talk.state.backlog.forget_peer(sender)
    talk.count_live()
