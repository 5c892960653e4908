"""Several stewards and entries in one process, on a clock of their own.

The real decision modules run; messages, store calls and orders are carried
out here, one step of time after they were asked for, with faults.  It is a
fake at the interfaces of these modules and simulates nothing else.
"""

import random
from collections import Counter
from functools import singledispatch
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.agreement import (
    AskLoad,
    EngineOrder,
    GiveOrder,
    InstancesListed,
    ListInstances,
    LoadAnswered,
    LoadNotes,
    NotesLoaded,
    OrderAnswered,
    OrderOutcome,
    ReadDone,
    SendPeer,
    StoreRead,
    StoreWrite,
    UpstreamLoad,
    WriteDone,
    check_admission,
    decode_voice,
    entry_of,
    find_accepted,
    instance_of,
)
from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry import EntryCore, Reply
from cranberryrelay.notes import (
    FoldedNotes,
    NoteCommand,
    RevisionRecord,
    copy_folded_notes,
    draft_revision,
    encode_revision,
)
from cranberryrelay.platform import ListedInstance
from cranberryrelay.programs import make_peer_codec
from cranberryrelay.settings import Settings
from cranberryrelay.standins import StoreStandIn
from cranberryrelay.steward import Received, StewardCore

STEP_SECONDS: Final = 0.1
HEAD_KEY: Final = 'notes/head'
_CUT: Final = Err(fail(ResultCode.STORE_UNAVAILABLE, 'cut off'))


class Landed(NamedTuple):
    """An order that reached an engine."""

    # When it landed.
    at: float

    # The order.
    order: EngineOrder

    # True if the engine obeyed it.
    obeyed: bool


class OrderedEngine:
    """An engine as far as orders go."""

    def __init__(self, name: str, *, checks_fencing: bool) -> None:
        self.name = name
        self.checks_fencing = checks_fencing
        self.token = 0
        self.role = 'mixed'
        self.models: dict[str, str] = {}
        self.landed: list[Landed] = []
        self.lose_answers = 0
        self.running = 0
        self.cut = 0

    def take(self, order: EngineOrder, now: float) -> OrderOutcome:
        """Take an order as the engine would."""
        if self.checks_fencing and order.token < self.token:
            self.landed.append(Landed(now, order, obeyed=False))
            return OrderOutcome.FENCED
        self.token = max(self.token, order.token)
        self.landed.append(Landed(now, order, obeyed=True))
        wanted = (order.role, dict(order.models))
        if wanted != (self.role, self.models):
            self.cut += self.running
            self.role = order.role
            self.models = dict(order.models)
        if self.lose_answers:
            self.lose_answers -= 1
            return OrderOutcome.LOST
        return OrderOutcome.DONE


class Posted(NamedTuple):
    """Something that is delivered at a later step."""

    # When it is due.
    due_at: float

    # Instance that it is for.
    receiver: str

    # A Received, or an answer to a call.
    event: Any


class Instance:
    """One instance: its steward, its entry, and what it asked for."""

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.steward = StewardCore(settings, incarnation)
        rng = random.Random(incarnation)
        self.entry = EntryCore(settings, incarnation, rng)
        self.paused = False
        self.replies: list[Reply] = []
        self.backlog: list[Any] = []


class LocalNetwork:
    """Instances, a store and engines, driven step by step."""

    def __init__(
        self,
        all_settings: list[Settings],
        seed: int = 1,
        *,
        with_entries: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.all_settings = {one.me.instance: one for one in all_settings}
        self.store = StoreStandIn(tuple(one.me for one in all_settings))
        self.starts = Counter[str]()
        self.instances: dict[str, Instance] = {}
        self.with_entries = with_entries
        self.posted: list[Posted] = []
        self.store_cut: set[str] = set()
        self.peer_cut: set[str] = set()
        self.side: set[str] = set()
        self.delay_orders_of: set[str] = set()
        self.delayed_orders: list[DelayedOrder] = []
        self.lose_messages = float(0)
        self.list_changes: list[ListChange] = []
        self.list_lag_seconds = float(0)
        self.codec = make_peer_codec()
        self.bytes_sent: Counter[str] = Counter()
        self.messages_sent: Counter[str] = Counter()
        self.store_calls: Counter[str] = Counter()
        self.count_bytes = False
        self.accepted_at: dict[int, float] = {}
        self.engines = {
            one.name: OrderedEngine(one.name, checks_fencing=one.checks_fencing)
            for one in all_settings[0].upstreams
            if one.sort == 'engine'
        }
        self.folded = FoldedNotes()
        self.head_version = 0
        for name in self.all_settings:
            self.start(name)

    def start(self, name: str) -> Instance:
        """Start an instance, or start it again after a kill."""
        self.starts[name] += 1
        incarnation = f'{name}.{self.starts[name]}'
        instance = Instance(self.all_settings[name], incarnation)
        self.instances[name] = instance
        listed = self.all_settings[name].me
        self._change_list(ListChange(self._list_due(), name, listed))
        return instance

    def kill(self, name: str, *, listed: bool = True) -> None:
        """Stop an instance at once; ``listed`` keeps it on the list."""
        self.instances.pop(name, None)
        self.posted = [one for one in self.posted if one.receiver != name]
        if not listed:
            self._change_list(ListChange(self._list_due(), name, None))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def step(self) -> None:
        """Let one step of time pass."""
        self.now = round(self.now + STEP_SECONDS, 6)
        for change in tuple(self.list_changes):
            self._apply_change(change)
        due = [one for one in self.posted if one.due_at <= self.now]
        self.posted = [one for one in self.posted if one.due_at > self.now]
        for one in due:
            self._deliver(one)
        for name in list(self.instances):
            instance = self.instances[name]
            if instance.paused:
                continue
            self._wake(instance)
            utc = self.now
            self.carry(instance, instance.steward.on_tick(self.now, utc))
            if self.with_entries:
                self.carry(
                    instance, instance.entry.on_tick(self.now), by_entry=True
                )
        self._note_accepted()

    def publish(self, command: NoteCommand) -> Result[int, Failure]:
        """Write a revision as an operator's tool would."""
        drafted = draft_revision(self.folded, command)
        if drafted.is_err():
            return Err(drafted.unwrap_err())
        record = drafted.unwrap().record
        written = self.store.write_now(
            HEAD_KEY, encode_revision(record), self.head_version
        )
        if written.is_err():
            return Err(written.unwrap_err())
        self.head_version = written.unwrap()
        self.folded.apply(record)
        key = f'notes/history/{record.revision:010}'
        self.store.write_now(key, encode_revision(record), 0)
        return Ok(record.revision)

    def accepted(self) -> int:
        """Return the revision that a majority of domains confirmed."""
        domains = next(iter(self.all_settings.values())).domains
        confirmed = [
            decode_voice(versions[-1].body).confirmed
            for key, versions in self.store.stored.items()
            if key.startswith('voices/')
        ]
        return find_accepted(confirmed, len(domains))

    def admits(self, name: str, *, entry: bool = True) -> int:
        """Return the revision an instance admits work under; 0 for none."""
        instance = self.instances.get(name)
        if instance is None or instance.paused:
            return 0
        follower = (
            instance.entry.follower
            if entry
            else instance.steward.spread.follower
        )
        admitted = check_admission(
            follower.book, follower.folded.revision, self.now
        )
        return admitted.unwrap_or(0)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Tell if messages between two instances are lost."""
        if sender in self.peer_cut or receiver in self.peer_cut:
            return True
        return (sender in self.side) != (receiver in self.side)

    def release_orders(self) -> None:
        """Let orders arrive that were delayed on their way."""
        for delayed in self.delayed_orders:
            carry_out(delayed.order, self, delayed.origin)
        self.delayed_orders = []

    def post(self, receiver: str, event: Any, delay: float) -> None:
        """Deliver an event to an instance later."""
        posted = Posted(round(self.now + delay, 6), receiver, event)
        self.posted.append(posted)

    def carry(
        self, instance: Instance, effects: Any, *, by_entry: bool = False
    ) -> None:
        """Carry out what an instance's steward or entry asked for."""
        me = instance.settings.me.instance
        origin = Origin(instance, entry_of(me) if by_entry else me)
        for effect in effects:
            carry_out(effect, self, origin)

    def _list_due(self) -> float:
        return self.now + self.rng.random() * self.list_lag_seconds

    def _change_list(self, change: 'ListChange') -> None:
        """Change the list later; an earlier change of it is overtaken."""
        self.list_changes = [
            one for one in self.list_changes if one.instance != change.instance
        ]
        self.list_changes.append(change)
        self._apply_change(change)

    def _apply_change(self, change: 'ListChange') -> None:
        if change.due_at > self.now:
            return
        self.list_changes.remove(change)
        if change.listed is None:
            self.store.instances.pop(change.instance, None)
        else:
            self.store.instances[change.instance] = change.listed

    def _wake(self, instance: Instance) -> None:
        backlog = instance.backlog
        instance.backlog = []
        for event in backlog:
            self._take(instance, event)

    def _deliver(self, posted: Posted) -> None:
        instance = self.instances.get(posted.receiver)
        if instance is None:
            return
        if instance.paused:
            instance.backlog.append(posted.event)
        else:
            self._take(instance, posted.event)

    def _take(self, instance: Instance, event: Any) -> None:
        if isinstance(event, ToEntry):
            taken = instance.entry.receive(
                event.message, self.now, event.sender
            )
            self.carry(instance, taken, by_entry=True)
        elif isinstance(event, Received):
            self.carry(instance, instance.steward.receive(event, self.now))
        else:
            answered = instance.steward.on_answer(event, self.now)
            self.carry(instance, answered)

    def _note_accepted(self) -> None:
        accepted = self.accepted()
        for revision in range(1, accepted + 1):
            self.accepted_at.setdefault(revision, self.now)


class ListChange(NamedTuple):
    """A change of the platform's list that is not visible yet."""

    # When it becomes visible.
    due_at: float

    # Name of the instance.
    instance: str

    # The new entry; None when it is taken off.
    listed: ListedInstance | None


class Origin(NamedTuple):
    """Who asked for an effect."""

    # The instance.
    instance: Instance

    # Its steward's or its entry's name among the peers.
    peer: str


class DelayedOrder(NamedTuple):
    """An order that is delayed on its way."""

    # The order.
    order: GiveOrder

    # Who gave it.
    origin: Origin


class ToEntry(NamedTuple):
    """A message for an instance's entry."""

    # Instance whose steward sent it.
    sender: str

    # The message.
    message: Any


@singledispatch
def carry_out(effect: Any, network: LocalNetwork, origin: Origin) -> None:
    """Carry out an effect; an unknown one is a fault of the caller."""
    raise TypeError(f'no such effect: {effect!r}')


@carry_out.register
def _(effect: Reply, network: LocalNetwork, origin: Origin) -> None:
    origin.instance.replies.append(effect)


@carry_out.register
def _(effect: SendPeer, network: LocalNetwork, origin: Origin) -> None:
    me = origin.instance.settings.me.instance
    receiver = instance_of(effect.instance)
    sender = effect.sender or origin.peer
    cut = receiver != me and network.is_cut(me, receiver)
    lost = network.rng.random() < network.lose_messages
    if receiver != me:
        network.messages_sent[me] += 1
        if network.count_bytes:
            frames = network.codec.encode(effect.message)
            network.bytes_sent[me] += sum(len(frame) for frame in frames)
    if cut or (lost and receiver != me):
        return
    event: Any = Received(sender, effect.message)
    if effect.instance.endswith('/entry'):
        event = ToEntry(sender, effect.message)
    delay = 0 if receiver == me else STEP_SECONDS
    network.post(receiver, event, delay)


@carry_out.register
def _(effect: StoreRead, network: LocalNetwork, origin: Origin) -> None:
    name = origin.instance.settings.me.instance
    network.store_calls[name] += 1
    outcome: Any = _CUT
    if name not in network.store_cut:
        outcome = network.store.read_now(effect.key)
    done = ReadDone(effect, network.now, outcome)
    network.post(name, done, STEP_SECONDS)


@carry_out.register
def _(effect: StoreWrite, network: LocalNetwork, origin: Origin) -> None:
    name = origin.instance.settings.me.instance
    network.store_calls[name] += 1
    outcome: Any = _CUT
    if name not in network.store_cut:
        outcome = network.store.write_now(
            effect.key, effect.body, effect.expected_version
        )
    done = WriteDone(effect, network.now, outcome)
    network.post(name, done, STEP_SECONDS)


@carry_out.register
def _(effect: LoadNotes, network: LocalNetwork, origin: Origin) -> None:
    name = origin.instance.settings.me.instance
    network.store_calls[name] += 1
    outcome: Any = _CUT
    reachable = name not in network.store_cut
    if reachable and not network.store.faults.outage:
        tail: tuple[RevisionRecord, ...] = ()
        outcome = Ok((copy_folded_notes(network.folded), tail))
    loaded = NotesLoaded(network.now, outcome)
    network.post(name, loaded, STEP_SECONDS)


@carry_out.register
def _(effect: ListInstances, network: LocalNetwork, origin: Origin) -> None:
    name = origin.instance.settings.me.instance
    network.store_calls[name] += 1
    outcome: Result[list[ListedInstance], Failure] = _CUT
    if name not in network.store_cut:
        outcome = network.store.list_instances_now()
    listed = InstancesListed(network.now, outcome)
    network.post(name, listed, STEP_SECONDS)


@carry_out.register
def _(effect: GiveOrder, network: LocalNetwork, origin: Origin) -> None:
    name = origin.instance.settings.me.instance
    if name in network.delay_orders_of:
        network.delayed_orders.append(DelayedOrder(effect, origin))
        return
    engine = network.engines[effect.engine]
    outcome = engine.take(effect.order, network.now)
    answered = OrderAnswered(effect.engine, effect.order, outcome)
    network.post(name, answered, STEP_SECONDS)


@carry_out.register
def _(effect: AskLoad, network: LocalNetwork, origin: Origin) -> None:
    name = origin.instance.settings.me.instance
    engine = network.engines.get(effect.upstream)
    load = UpstreamLoad(running=engine.running if engine else 0)
    network.post(name, LoadAnswered(effect.upstream, load), STEP_SECONDS)
