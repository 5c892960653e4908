"""The entry's decisions: admission, engines, bookings, the account."""

import random
from collections.abc import Mapping
from functools import singledispatch
from typing import Any, Final, NamedTuple

from result import Err, Ok

from cranberryrelay.agreement import (
    ChangesPush,
    Effect,
    EvidencePush,
    Follower,
    MembersPush,
    Outcome,
    Phase,
    PlanAck,
    PlanLoads,
    PlanView,
    RangeBuilder,
    RangesSaved,
    RequestId,
    Reserve,
    Reserved,
    SendPeer,
    Settle,
    Settled,
    SnapshotPush,
    UpstreamView,
    Verdict,
    check_admission,
    entry_of,
    is_newer_view,
)
from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.entry._messages import (
    Abandon,
    Ask,
    AskService,
    AskSlot,
    Assigned,
    Begin,
    Begun,
    Book,
    CloseBooking,
    EndService,
    EndSlot,
    Reassign,
    Reply,
    SlotGiven,
)
from cranberryrelay.notes import NotesInForce
from cranberryrelay.policy import (
    ATTEMPTS_LIMIT,
    EngineChooser,
    EngineRates,
    EngineView,
    QueuedRequest,
    RankLimiter,
    RetryBudget,
    Sent,
    SuspectBook,
    SuspectCrash,
)
from cranberryrelay.settings import Settings

OVERCOMMIT: Final = 2.0
REPORT_SECONDS: Final = 1.0
ACK_SECONDS: Final = 0.5
LEDGER_SECONDS: Final = 3.0
ENGINE_REST_SECONDS: Final = 1.0
REASSIGN_SECONDS: Final = 10.0
FOLLOWED_MESSAGES: Final = (
    ChangesPush,
    EvidencePush,
    MembersPush,
    SnapshotPush,
)
_NEVER: Final = float('-inf')


class OpenSlot(NamedTuple):
    """A request that holds a slot."""

    # What was asked.
    asked: AskSlot

    # Name of the cell.
    cell: str

    # Engine that runs it.
    engine: str

    # Priority that it was granted.
    priority: int

    # Attempts made.
    attempts: int

    # Engines that failed it.
    failed: frozenset[str] = frozenset()

    # Number of the question for another engine; 0 for the first.
    asked_again: int = 0


class PendingBooking(NamedTuple):
    """A booking that waits for the ledger."""

    # Number of the question.
    number: int

    # What was asked for.
    book: Book

    # When it is given up.
    give_up_at: float


class EntryCore:
    """Everything that one entry knows and decides."""

    def __init__(
        self, settings: Settings, incarnation: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.steward = settings.me.instance
        self.name = entry_of(settings.me.instance)
        self.follower = Follower(settings.me, settings.peers)
        self.ranges = RangeBuilder(f'{self.steward}.{incarnation}')
        self.rng = rng
        self.views: dict[str, PlanView] = {}
        self.viewed_at: dict[str, float] = {}
        self.limiters: dict[str, RankLimiter] = {}
        self.choosers: dict[str, EngineChooser] = {}
        self.suspects = SuspectBook()
        self.retries = RetryBudget()
        self.waiting: dict[int, AskSlot] = {}
        self.open_slots: dict[int, OpenSlot] = {}
        self.parked: dict[int, float] = {}
        self.in_flight: dict[str, int] = {}
        self.resting: dict[str, float] = {}
        self.bookings: dict[str, PendingBooking] = {}
        self.notes: NotesInForce | None = None
        self.reported_at = _NEVER
        self.acked_at = _NEVER
        self.draining = False

    def on_tick(self, now: float) -> list[Effect | Reply]:
        """Subscribe, report, acknowledge and give up what is late."""
        others = [
            name
            for name in self.follower.members.by_name
            if name != self.steward
        ]
        effects: list[Effect | Reply] = list(
            self.follower.on_tick(now, [self.steward, *others])
        )
        if now - self.reported_at >= REPORT_SECONDS:
            self.reported_at = now
            report = self.ranges.make_report()
            if report is not None:
                effects.append(SendPeer(self.steward, report))
        if now - self.acked_at >= ACK_SECONDS:
            effects.extend(self.acknowledge_plans(now))
        effects.extend(self._give_up_bookings(now))
        effects.extend(self.assign_parked(now))
        for cell in self.limiters:
            effects.extend(self.grant_slots(cell, now))
        return effects

    def receive(
        self, message: Any, now: float, sender: str
    ) -> list[Effect | Reply]:
        """Take in a message from a steward."""
        if isinstance(message, FOLLOWED_MESSAGES):
            self.follower.receive(message, now, sender)
            self.notes_in_force()
            return []
        return take_message(message, self, now)

    def ask(self, asked: Ask, now: float, utc: float) -> list[Effect | Reply]:
        """Take in a question of a request's filter."""
        if isinstance(asked.question, Begin):
            return [self._begin(asked.number, now, utc)]
        return answer(asked.question, self, asked.number, now)

    def is_ready(self, now: float) -> bool:
        """Tell if requests are being admitted."""
        admitted = check_admission(
            self.follower.book, self.follower.folded.revision, now
        )
        return admitted.is_ok() and not self.draining

    def has_work(self) -> bool:
        """Tell if any request is waiting or running here."""
        return bool(
            self.open_slots or self.waiting or self.in_flight or self.bookings
        )

    def notes_in_force(self) -> NotesInForce:
        """Return the typed view of the records applied here."""
        folded = self.follower.folded
        if self.notes is None or self.notes.revision != folded.revision:
            self.notes = self.follower.renew_view(self.notes)
            for cell in self.limiters:
                self.configure_cell(cell)
        return self.notes

    def configure_cell(self, cell: str) -> None:
        """Give a cell's limiter the ranks and the capacity."""
        limiter = self.limiters.setdefault(cell, RankLimiter())
        view = self.views.get(cell)
        notes = self.notes
        if view is None or notes is None:
            return
        engines = sum(
            1
            for one in view.upstreams
            if one.phase is Phase.SERVING and one.load.alive
        )
        entries = max(len(self.follower.members.instances), 1)
        slots = engines * self.settings.engine_slots
        share = min(slots, slots * OVERCOMMIT / entries)
        limiter.configure(notes.ranks.values(), share)

    def acknowledge_plans(self, now: float) -> list[Effect | Reply]:
        """Tell the holders which plans are applied and what still runs."""
        self.acked_at = now
        return [
            SendPeer(self.steward, self._make_ack(view))
            for view in self.views.values()
        ]

    def grant_slots(self, cell: str, now: float) -> list[Effect | Reply]:
        """Answer waiting requests that may start or come too late."""
        decisions = self.limiters[cell].decide(now)
        effects: list[Effect | Reply] = []
        for late in decisions.expired:
            self.waiting.pop(late.ask, None)
            detail = f'waited too long in rank {late.rank}'
            refusal = fail(ResultCode.TARGET_UNREACHABLE, detail)
            effects.append(Reply(late.ask, Err(refusal)))
        for grant in decisions.granted:
            asked = self.waiting.pop(grant.request.ask, None)
            if asked is None:
                self.limiters[cell].release(grant.request.rank, 1)
                continue
            slot = OpenSlot(asked, cell, '', grant.priority, 0)
            self.open_slots[grant.request.ask] = slot
            effects.extend(
                self.assign(grant.request.ask, slot, now, asked.start_by)
            )
        return effects

    def assign(
        self, number: int, slot: OpenSlot, now: float, give_up_at: float
    ) -> list[Effect | Reply]:
        """Choose an engine for an open slot, or wait for one for a while."""
        upstream = self._choose(slot, now)
        if upstream is None:
            if now < give_up_at:
                self.open_slots[number] = slot
                self.parked[number] = give_up_at
                return []
            self.parked.pop(number, None)
            self.close(number)
            detail = f'no engine takes {slot.asked.kind.model} now'
            answered = slot.asked_again or number
            return [Reply(answered, Err(fail(ResultCode.NO_ENGINE, detail)))]
        self.parked.pop(number, None)
        opened = slot._replace(engine=upstream.name, attempts=slot.attempts + 1)
        self.open_slots[number] = opened
        self.count_in_flight(upstream.name, 1)
        assigned = Assigned(
            engine=upstream.name,
            address=upstream.address,
            priority=slot.priority,
            version=upstream.models.get(slot.asked.kind.model, ''),
        )
        answered = slot.asked_again or number
        return [Reply(answered, Ok(SlotGiven(number, assigned)))]

    def assign_parked(self, now: float) -> list[Effect | Reply]:
        """Try again to find engines for the slots that wait for one."""
        effects: list[Effect | Reply] = []
        for number, give_up_at in tuple(self.parked.items()):
            slot = self.open_slots.get(number)
            if slot is None:
                self.parked.pop(number)
            else:
                effects.extend(self.assign(number, slot, now, give_up_at))
        return effects

    def close(self, number: int) -> None:
        """Give a slot back."""
        slot = self.open_slots.pop(number, None)
        if slot is None:
            return
        self.limiters[slot.cell].release(slot.asked.rank, 1)
        self.suspects.running.discard(slot.engine)

    def count_in_flight(self, upstream: str, change: int) -> None:
        """Count work that this entry has on an upstream."""
        left = self.in_flight.get(upstream, 0) + change
        self.in_flight[upstream] = left
        if left <= 0:
            self.in_flight.pop(upstream)

    def find_upstreams(self, cell: str) -> list[UpstreamView]:
        """List the upstreams of a cell that take new work."""
        view = self.views.get(cell)
        if view is None:
            return []
        return [one for one in view.upstreams if one.phase is Phase.SERVING]

    def _begin(self, number: int, now: float, utc: float) -> Reply:
        if self.draining:
            detail = 'use another instance'
            return Reply(number, Err(fail(ResultCode.DRAINING, detail)))
        revision = self.follower.folded.revision
        admitted = check_admission(self.follower.book, revision, now)
        if admitted.is_err():
            return Reply(number, Err(admitted.unwrap_err()))
        request_id = RequestId(
            domain=self.settings.me.domain,
            entry=self.ranges.entry,
            admitted_at=utc,
            sequence=self.ranges.admit(revision, utc),
        )
        return Reply(number, Ok(Begun(self.notes_in_force(), request_id)))

    def _choose(self, slot: OpenSlot, now: float) -> UpstreamView | None:
        model = slot.asked.notes.models[slot.asked.kind.model]
        usable = [
            one
            for one in self.find_upstreams(slot.cell)
            if one.load.alive
            and one.name not in slot.failed
            and self.resting.get(one.name, _NEVER) < now
            and model.name in one.models
        ]
        current = [
            one for one in usable if one.models[model.name] == model.version
        ]
        usable = current or usable
        isolated = self.suspects.must_isolate(slot.asked.fingerprint, now)
        if isolated:
            usable = [
                one for one in usable if one.name not in self.suspects.running
            ]
        by_name = {one.name: one for one in usable}
        chosen = self.choosers[slot.cell].choose(
            [self._as_engine(one, slot.cell) for one in usable],
            slot.asked.prefix,
            slot.asked.prompt_tokens,
            now,
        )
        if chosen is None:
            return None
        if isolated:
            self.suspects.running.add(chosen.engine)
        self._note_sent(slot, chosen.engine, chosen.cached_tokens, now)
        return by_name[chosen.engine]

    def _note_sent(
        self, slot: OpenSlot, engine: str, cached: int, now: float
    ) -> None:
        chooser = self.choosers[slot.cell]
        tokens = slot.asked.prompt_tokens
        chooser.record_sent(engine, Sent(now, tokens - cached))
        chooser.prefixes.record(slot.asked.prefix, engine, tokens)

    def _as_engine(self, view: UpstreamView, cell: str) -> EngineView:
        viewed_at = self.viewed_at[cell]
        return EngineView(
            name=view.name,
            role=view.role,
            running=view.load.running + view.load.waiting,
            prefill_tokens=view.load.prefill_tokens,
            reported_at=viewed_at - view.load.age_seconds,
            near=view.domain == self.settings.me.domain,
        )

    def _make_ack(self, view: PlanView) -> PlanAck:
        busy = tuple(
            one.name
            for one in view.upstreams
            if one.phase is not Phase.SERVING and one.name in self.in_flight
        )
        return PlanAck(view.cell, view.token, view.version, busy)

    def _give_up_bookings(self, now: float) -> list[Effect | Reply]:
        late = [
            pending
            for pending in self.bookings.values()
            if pending.give_up_at < now
        ]
        effects: list[Effect | Reply] = []
        for pending in late:
            self.bookings.pop(pending.book.exchange)
            effects.append(refuse_booking(pending.number))
            effects.append(release_booking(self, pending.book))
        return effects


def refuse_booking(number: int) -> Reply:
    """Refuse a call that could not be booked; it was not run."""
    detail = 'try again with the same Idempotency-Key'
    return Reply(number, Err(fail(ResultCode.LEDGER_UNAVAILABLE, detail)))


def release_booking(core: EntryCore, book: Book) -> SendPeer:
    """Tell the ledger that a call was given up before it was dispatched."""
    outcome = Outcome(0, '', b'')
    return SendPeer(core.steward, Settle(book.key, book.exchange, outcome))


@singledispatch
def take_message(
    message: Any, core: EntryCore, now: float
) -> list[Effect | Reply]:
    """Take in a message that is not for an entry."""
    return []


@take_message.register
def _(message: PlanView, core: EntryCore, now: float) -> list[Effect | Reply]:
    if not is_newer_view(message, core.views.get(message.cell)):
        return []
    known = core.views.get(message.cell)
    core.views[message.cell] = message
    core.viewed_at[message.cell] = now
    if message.cell not in core.choosers:
        rates = EngineRates(slots=core.settings.engine_slots)
        core.choosers[message.cell] = EngineChooser(rates, core.rng)
    core.configure_cell(message.cell)
    effects = core.grant_slots(message.cell, now)
    if known is None or known.version != message.version:
        effects.extend(core.acknowledge_plans(now))
    return effects


@take_message.register
def _(message: PlanLoads, core: EntryCore, now: float) -> list[Effect | Reply]:
    view = core.views.get(message.cell)
    if view is None or view.token != message.token:
        return []
    loads = {one.upstream: one.load for one in message.loads}
    upstreams = tuple(
        one._replace(load=loads.get(one.name, one.load))
        for one in view.upstreams
    )
    core.views[message.cell] = view._replace(upstreams=upstreams)
    core.viewed_at[message.cell] = now
    core.configure_cell(message.cell)
    return core.grant_slots(message.cell, now)


@take_message.register
def _(
    message: RangesSaved, core: EntryCore, now: float
) -> list[Effect | Reply]:
    core.ranges.take_saved(message.report)
    return []


@take_message.register
def _(
    message: SuspectCrash, core: EntryCore, now: float
) -> list[Effect | Reply]:
    core.suspects.record(message, now)
    return []


@take_message.register
def _(message: Reserved, core: EntryCore, now: float) -> list[Effect | Reply]:
    pending = core.bookings.pop(message.exchange, None)
    if pending is None:
        return []
    if message.verdict is Verdict.UNAVAILABLE:
        return [refuse_booking(pending.number)]
    return [Reply(pending.number, Ok(message))]


@take_message.register
def _(message: Settled, core: EntryCore, now: float) -> list[Effect | Reply]:
    return []


@singledispatch
def answer(
    question: Any, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    """Answer a question of a request's filter."""
    raise TypeError(f'no such question: {question!r}')


@answer.register
def _(
    question: AskSlot, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    if core.suspects.must_refuse(question.fingerprint, now):
        detail = 'it crashed engines; change it or wait'
        refusal = fail(ResultCode.SUSPECT_REFUSED, detail)
        return [Reply(number, Err(refusal))]
    cell = question.notes.models[question.kind.model].cell
    if cell not in core.limiters or cell not in core.choosers:
        detail = f'no plan of cell {cell} yet'
        return [Reply(number, Err(fail(ResultCode.NO_ENGINE, detail)))]
    core.retries.earn(question.caller, question.rank)
    queued = QueuedRequest(
        ask=number,
        rank=question.rank,
        caller=question.caller,
        weight=question.weight,
        slots=1,
        start_by=question.start_by,
    )
    if not core.limiters[cell].offer(queued):
        detail = f'rank {question.rank} has too many waiting'
        return [Reply(number, Err(fail(ResultCode.QUEUE_FULL, detail)))]
    core.waiting[number] = question
    return core.grant_slots(cell, now)


@answer.register
def _(
    question: Abandon, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    core.waiting.pop(question.number, None)
    slot = core.open_slots.get(question.number)
    core.parked.pop(question.number, None)
    if slot is not None:
        if slot.engine:
            core.count_in_flight(slot.engine, -1)
        core.close(question.number)
    for pending in tuple(core.bookings.values()):
        if pending.number == question.number:
            core.bookings.pop(pending.book.exchange)
            return [release_booking(core, pending.book)]
    return []


@answer.register
def _(
    question: Reassign, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    slot = core.open_slots[question.slot]
    core.count_in_flight(slot.engine, -1)
    core.suspects.running.discard(slot.engine)
    core.resting[slot.engine] = now + ENGINE_REST_SECONDS
    effects: list[Effect | Reply] = []
    asked = slot.asked
    if question.crashed:
        core.choosers[slot.cell].prefixes.forget_engine(slot.engine)
        crash = SuspectCrash(asked.fingerprint, question.exchange, False)
        core.suspects.record(crash, now)
        effects.append(SendPeer(core.steward, crash))
    failed = slot._replace(failed=slot.failed | {slot.engine}, engine='')
    refused = core.suspects.must_refuse(asked.fingerprint, now)
    spent = slot.attempts >= ATTEMPTS_LIMIT or not core.retries.spend(
        asked.caller, asked.rank
    )
    if refused or spent:
        core.close(question.slot)
        code = (
            ResultCode.SUSPECT_REFUSED
            if refused
            else ResultCode.RETRY_BUDGET_SPENT
        )
        refusal = fail(code, f'{slot.attempts} attempts failed')
        return [*effects, Reply(number, Err(refusal))]
    again = failed._replace(asked_again=number)
    give_up_at = now + REASSIGN_SECONDS
    return [*effects, *core.assign(question.slot, again, now, give_up_at)]


@answer.register
def _(
    question: EndSlot, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    slot = core.open_slots.get(question.slot)
    core.parked.pop(question.slot, None)
    if slot is None:
        return [Reply(number, Ok(None))]
    if slot.engine:
        core.count_in_flight(slot.engine, -1)
    if question.whole:
        core.suspects.clear(slot.asked.fingerprint)
    core.close(question.slot)
    return [
        Reply(number, Ok(None)),
        *core.assign_parked(now),
        *core.grant_slots(slot.cell, now),
    ]


@answer.register
def _(
    question: AskService, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    usable = [
        one for one in core.find_upstreams(question.service) if one.load.alive
    ]
    if not usable:
        detail = f'no upstream of {question.service} takes calls'
        return [Reply(number, Err(fail(ResultCode.NO_ENGINE, detail)))]
    chosen = min(
        usable, key=lambda one: (core.in_flight.get(one.name, 0), one.name)
    )
    core.count_in_flight(chosen.name, 1)
    return [Reply(number, Ok(chosen))]


@answer.register
def _(
    question: EndService, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    core.count_in_flight(question.upstream, -1)
    return [Reply(number, Ok(None))]


@answer.register
def _(
    question: Book, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    pending = PendingBooking(number, question, now + LEDGER_SECONDS)
    core.bookings[question.exchange] = pending
    reserve = Reserve(question.key, question.call, question.exchange)
    return [SendPeer(core.steward, reserve)]


@answer.register
def _(
    question: CloseBooking, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    settle = Settle(question.key, question.exchange, question.outcome)
    return [SendPeer(core.steward, settle), Reply(number, Ok(None))]


def describe_capacity(core: EntryCore) -> Mapping[str, float]:
    """Return the slots that this entry may use, by cell."""
    return {cell: limiter.capacity for cell, limiter in core.limiters.items()}
