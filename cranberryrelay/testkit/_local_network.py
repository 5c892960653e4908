"""A simulated network of stewards and entries, in virtual time.

The real decision modules run in one process.  Their effects (messages, store
calls and orders) are performed by this module one time step after they were
requested, with injected faults.  Only the interfaces of the decision modules
are faked; nothing else is simulated.
"""

import random
from collections import Counter
from functools import singledispatch
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.agreement import (
    EngineOrder,
    InstancesListed,
    ListInstances,
    LoadAnswered,
    LoadNotes,
    NotesLoaded,
    OrderAnswered,
    OrderOutcome,
    ReadDone,
    RequestLoad,
    SendOrder,
    SendPeer,
    StoreRead,
    StoreWrite,
    UpstreamLoad,
    WriteDone,
    check_admission,
    decode_vote,
    entry_peer_name,
    find_accepted_revision,
    instance_of_peer,
)
from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry import CommandReply, EntryCore
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
_UNREACHABLE: Final = Err(
    fail(ResultCode.STORE_UNAVAILABLE, 'the instance is cut off from the store')
)


class DeliveredOrder(NamedTuple):
    """An order that was delivered to an engine."""

    # Virtual time of the delivery, in seconds.
    delivered_at: float

    # The delivered order.
    order: EngineOrder

    # True if the engine executed the order, false if it was fenced.
    executed: bool


class SimulatedEngine:
    """A simulated engine that executes orders and nothing else."""

    def __init__(self, name: str, *, checks_fencing: bool) -> None:
        self.name = name
        self.checks_fencing = checks_fencing
        self.token = 0
        self.role = 'mixed'
        self.models: dict[str, str] = {}
        self.deliveries: list[DeliveredOrder] = []
        self.answers_to_lose = 0
        self.running = 0
        self.interrupted = 0

    def execute(self, order: EngineOrder, now: float) -> OrderOutcome:
        """Execute or fence an order as an engine would; returns the outcome."""
        if self.checks_fencing and order.token < self.token:
            self.deliveries.append(DeliveredOrder(now, order, executed=False))
            return OrderOutcome.FENCED
        self.token = max(self.token, order.token)
        self.deliveries.append(DeliveredOrder(now, order, executed=True))
        requested = (order.role, dict(order.models))
        if requested != (self.role, self.models):
            self.interrupted += self.running
            self.role = order.role
            self.models = dict(order.models)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return OrderOutcome.LOST
        return OrderOutcome.DONE


class ScheduledEvent(NamedTuple):
    """An event that is delivered at a later time step."""

    # Virtual time of the delivery, in seconds.
    due_at: float

    # Name of the receiving instance.
    receiver: str

    # A Received, an EntryMessage, or the answer to a call.
    event: Any


class Instance:
    """An instance: steward, entry, replies, and events queued while paused."""

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.steward = StewardCore(settings, incarnation)
        rng = random.Random(incarnation)
        self.entry = EntryCore(settings, incarnation, rng)
        self.paused = False
        self.replies: list[CommandReply] = []
        self.backlog: list[Any] = []


class SimulatedNetwork:
    """Instances, a store and engines, driven in steps of virtual time."""

    def __init__(
        self,
        all_settings: list[Settings],
        seed: int = 1,
        *,
        with_entries: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.all_settings = {
            one.own_instance.instance: one for one in all_settings
        }
        self.store = StoreStandIn(
            tuple(one.own_instance for one in all_settings)
        )
        self.start_counts = Counter[str]()
        self.instances: dict[str, Instance] = {}
        self.with_entries = with_entries
        self.scheduled: list[ScheduledEvent] = []
        self.isolated_from_store: set[str] = set()
        self.isolated_from_peers: set[str] = set()
        self.partition: set[str] = set()
        self.delayed_senders: set[str] = set()
        self.delayed_orders: list[DelayedOrder] = []
        self.message_loss_probability = float(0)
        self.list_changes: list[ListChange] = []
        self.list_lag_seconds = float(0)
        self.codec = make_peer_codec()
        self.bytes_sent: Counter[str] = Counter()
        self.messages_sent: Counter[str] = Counter()
        self.store_calls: Counter[str] = Counter()
        self.count_bytes = False
        self.accepted_at: dict[int, float] = {}
        self.engines = {
            one.name: SimulatedEngine(
                one.name, checks_fencing=one.checks_fencing
            )
            for one in all_settings[0].upstreams
            if one.sort == 'engine'
        }
        self.folded = FoldedNotes()
        self.head_version = 0
        for name in self.all_settings:
            self.start(name)

    def start(self, name: str) -> Instance:
        """Start an instance, or restart it with a new incarnation."""
        self.start_counts[name] += 1
        incarnation = f'{name}.{self.start_counts[name]}'
        instance = Instance(self.all_settings[name], incarnation)
        self.instances[name] = instance
        listed = self.all_settings[name].own_instance
        self._schedule_list_change(
            ListChange(self._draw_list_change_time(), name, listed)
        )
        return instance

    def kill(self, name: str, *, listed: bool = True) -> None:
        """Stop an instance at once; ``listed`` keeps it on the list."""
        self.instances.pop(name, None)
        self.scheduled = [one for one in self.scheduled if one.receiver != name]
        if not listed:
            self._schedule_list_change(
                ListChange(self._draw_list_change_time(), name, None)
            )

    def run(self, seconds: float) -> None:
        """Advance virtual time by a number of seconds."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def step(self) -> None:
        """Advance virtual time by one step."""
        self.now = round(self.now + STEP_SECONDS, 6)
        for change in tuple(self.list_changes):
            self._apply_change(change)
        due_events = [one for one in self.scheduled if one.due_at <= self.now]
        self.scheduled = [
            one for one in self.scheduled if one.due_at > self.now
        ]
        for one in due_events:
            self._deliver(one)
        for name in list(self.instances):
            instance = self.instances[name]
            if instance.paused:
                continue
            self._deliver_backlog(instance)
            utc = self.now
            self.perform(instance, instance.steward.on_tick(self.now, utc))
            if self.with_entries:
                self.perform(
                    instance, instance.entry.on_tick(self.now), by_entry=True
                )
        self._record_accepted()

    def publish(self, command: NoteCommand) -> Result[int, Failure]:
        """Publish as an operator's tool would; returns the revision."""
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

    def accepted_revision(self) -> int:
        """Return the latest revision that a majority of domains confirmed."""
        domains = next(iter(self.all_settings.values())).domains
        confirmed = [
            decode_vote(versions[-1].body).confirmed
            for key, versions in self.store.versions_by_key.items()
            if key.startswith('voices/')
        ]
        return find_accepted_revision(confirmed, len(domains))

    def get_admitted_revision(self, name: str, *, entry: bool = True) -> int:
        """Return the revision an instance admits work under; 0 for none."""
        instance = self.instances.get(name)
        if instance is None or instance.paused:
            return 0
        follower = (
            instance.entry.follower
            if entry
            else instance.steward.note_distributor.follower
        )
        admitted = check_admission(
            follower.evidence_table, follower.folded.revision, self.now
        )
        return admitted.unwrap_or(0)

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        """Return whether messages between two instances are lost."""
        if (
            sender in self.isolated_from_peers
            or receiver in self.isolated_from_peers
        ):
            return True
        return (sender in self.partition) != (receiver in self.partition)

    def release_orders(self) -> None:
        """Deliver the delayed orders."""
        for delayed in self.delayed_orders:
            perform_effect(delayed.order, self, delayed.origin)
        self.delayed_orders = []

    def schedule_event(self, receiver: str, event: Any, delay: float) -> None:
        """Schedule the delivery of an event after ``delay`` seconds."""
        scheduled = ScheduledEvent(round(self.now + delay, 6), receiver, event)
        self.scheduled.append(scheduled)

    def perform(
        self, instance: Instance, effects: Any, *, by_entry: bool = False
    ) -> None:
        """Perform the effects that a steward or an entry requested."""
        me = instance.settings.own_instance.instance
        origin = Origin(instance, entry_peer_name(me) if by_entry else me)
        for effect in effects:
            perform_effect(effect, self, origin)

    def _draw_list_change_time(self) -> float:
        return self.now + self.rng.random() * self.list_lag_seconds

    def _schedule_list_change(self, change: 'ListChange') -> None:
        """Schedule a list change; it replaces a pending one of the instance."""
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

    def _deliver_backlog(self, instance: Instance) -> None:
        backlog = instance.backlog
        instance.backlog = []
        for event in backlog:
            self._handle_event(instance, event)

    def _deliver(self, scheduled: ScheduledEvent) -> None:
        instance = self.instances.get(scheduled.receiver)
        if instance is None:
            return
        if instance.paused:
            instance.backlog.append(scheduled.event)
        else:
            self._handle_event(instance, scheduled.event)

    def _handle_event(self, instance: Instance, event: Any) -> None:
        if isinstance(event, EntryMessage):
            entry_effects = instance.entry.receive(
                event.message, self.now, event.sender
            )
            self.perform(instance, entry_effects, by_entry=True)
        elif isinstance(event, Received):
            self.perform(instance, instance.steward.receive(event, self.now))
        else:
            steward_effects = instance.steward.on_answer(event, self.now)
            self.perform(instance, steward_effects)

    def _record_accepted(self) -> None:
        accepted = self.accepted_revision()
        for revision in range(1, accepted + 1):
            self.accepted_at.setdefault(revision, self.now)


class ListChange(NamedTuple):
    """A change of the platform's list that is not visible yet."""

    # Virtual time at which it becomes visible, in seconds.
    due_at: float

    # Name of the instance.
    instance: str

    # The new list entry; None if the instance is removed.
    listed: ListedInstance | None


class Origin(NamedTuple):
    """The sender of an effect."""

    # The instance that requested the effect.
    instance: Instance

    # Peer name of its steward or entry, whichever requested the effect.
    peer: str


class DelayedOrder(NamedTuple):
    """An order in flight that is delayed."""

    # The effect that sends the order.
    order: SendOrder

    # The sender of the order.
    origin: Origin


class EntryMessage(NamedTuple):
    """A message to an instance's entry."""

    # Peer name of the sender.
    sender: str

    # The message.
    message: Any


@singledispatch
def perform_effect(
    effect: Any, network: SimulatedNetwork, origin: Origin
) -> None:
    """Perform an effect; raises ``TypeError`` if its type is unknown."""
    raise TypeError(f'unknown effect type: {effect!r}')


@perform_effect.register
def _(effect: CommandReply, network: SimulatedNetwork, origin: Origin) -> None:
    origin.instance.replies.append(effect)


@perform_effect.register
def _(effect: SendPeer, network: SimulatedNetwork, origin: Origin) -> None:
    me = origin.instance.settings.own_instance.instance
    receiver = instance_of_peer(effect.instance)
    sender = effect.sender or origin.peer
    partitioned = receiver != me and network.is_partitioned(me, receiver)
    lost = network.rng.random() < network.message_loss_probability
    if receiver != me:
        network.messages_sent[me] += 1
        if network.count_bytes:
            frames = network.codec.encode(effect.message)
            network.bytes_sent[me] += sum(len(frame) for frame in frames)
    if partitioned or (lost and receiver != me):
        return
    event: Any = Received(sender, effect.message)
    if effect.instance.endswith('/entry'):
        event = EntryMessage(sender, effect.message)
    delay = 0 if receiver == me else STEP_SECONDS
    network.schedule_event(receiver, event, delay)


@perform_effect.register
def _(effect: StoreRead, network: SimulatedNetwork, origin: Origin) -> None:
    name = origin.instance.settings.own_instance.instance
    network.store_calls[name] += 1
    outcome: Any = _UNREACHABLE
    if name not in network.isolated_from_store:
        outcome = network.store.read_now(effect.key)
    done = ReadDone(effect, network.now, outcome)
    network.schedule_event(name, done, STEP_SECONDS)


@perform_effect.register
def _(effect: StoreWrite, network: SimulatedNetwork, origin: Origin) -> None:
    name = origin.instance.settings.own_instance.instance
    network.store_calls[name] += 1
    outcome: Any = _UNREACHABLE
    if name not in network.isolated_from_store:
        outcome = network.store.write_now(
            effect.key, effect.body, effect.expected_version
        )
    done = WriteDone(effect, network.now, outcome)
    network.schedule_event(name, done, STEP_SECONDS)


@perform_effect.register
def _(effect: LoadNotes, network: SimulatedNetwork, origin: Origin) -> None:
    name = origin.instance.settings.own_instance.instance
    network.store_calls[name] += 1
    outcome: Any = _UNREACHABLE
    reachable = name not in network.isolated_from_store
    if reachable and not network.store.faults.outage:
        tail: tuple[RevisionRecord, ...] = ()
        outcome = Ok((copy_folded_notes(network.folded), tail))
    loaded = NotesLoaded(network.now, outcome)
    network.schedule_event(name, loaded, STEP_SECONDS)


@perform_effect.register
def _(effect: ListInstances, network: SimulatedNetwork, origin: Origin) -> None:
    name = origin.instance.settings.own_instance.instance
    network.store_calls[name] += 1
    outcome: Result[list[ListedInstance], Failure] = _UNREACHABLE
    if name not in network.isolated_from_store:
        outcome = network.store.list_instances_now()
    listed = InstancesListed(network.now, outcome)
    network.schedule_event(name, listed, STEP_SECONDS)


@perform_effect.register
def _(effect: SendOrder, network: SimulatedNetwork, origin: Origin) -> None:
    name = origin.instance.settings.own_instance.instance
    if name in network.delayed_senders:
        network.delayed_orders.append(DelayedOrder(effect, origin))
        return
    engine = network.engines[effect.engine]
    outcome = engine.execute(effect.order, network.now)
    answered = OrderAnswered(effect.engine, effect.order, outcome)
    network.schedule_event(name, answered, STEP_SECONDS)


@perform_effect.register
def _(effect: RequestLoad, network: SimulatedNetwork, origin: Origin) -> None:
    name = origin.instance.settings.own_instance.instance
    engine = network.engines.get(effect.upstream)
    load = UpstreamLoad(running=engine.running if engine else 0)
    network.schedule_event(
        name, LoadAnswered(effect.upstream, load), STEP_SECONDS
    )
