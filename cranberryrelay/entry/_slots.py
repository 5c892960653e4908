"""Slots and engines: which request of an entry runs where, and when."""

import random
from functools import partial, singledispatch
from typing import Any, Final, NamedTuple

from result import Err, Ok

from cranberryrelay.agreement import (
    Effect,
    Phase,
    PlanAck,
    PlanLoads,
    PlanView,
    SendPeer,
    UpstreamView,
    is_newer_view,
)
from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.entry._demand import DemandBook
from cranberryrelay.entry._messages import (
    AskService,
    AskSlot,
    Assigned,
    EndService,
    EndSlot,
    HandOn,
    Reassign,
    Reply,
    SlotGiven,
)
from cranberryrelay.notes import NotesInForce
from cranberryrelay.policy import (
    PACE_SECONDS,
    PREFILL,
    Choice,
    EngineChooser,
    EngineRates,
    EngineView,
    Placement,
    QueuedRequest,
    RankLimiter,
    RetryBudget,
    Sent,
    SuspectBook,
    SuspectCrash,
)
from cranberryrelay.settings import Settings

OVERCOMMIT: Final = 2.0
ENGINE_REST_SECONDS: Final = 1.0
REASSIGN_SECONDS: Final = 10.0
DEMAND_REPORT_SECONDS: Final = 1.0
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

    # 'IP:port' of the engine that has the KV cache; empty for none.
    kv_from: str = ''


class SlotPart:
    """The plans, slots and engines of one entry; its core owns it."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.steward = settings.me.instance
        self.rng = rng
        self.entries = 1
        self.notes: NotesInForce | None = None
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
        self.demand = DemandBook()
        self.reported_at = _NEVER

    def on_tick(self, now: float) -> list[Effect | Reply]:
        """Grant what may start, give up what is late, report demand."""
        effects = self.assign_parked(now)
        if now - self.reported_at >= DEMAND_REPORT_SECONDS:
            self.reported_at = now
            waiting = list(self.waiting.values())
            effects.extend(
                SendPeer(self.steward, report)
                for report in self.demand.make_reports(waiting, now)
            )
        for cell in self.limiters:
            effects.extend(self.grant_slots(cell, now))
        return effects

    def take_notes(self, notes: NotesInForce, entries: int) -> None:
        """Take the notes in force and the number of entries."""
        self.notes = notes
        self.entries = max(entries, 1)
        for cell in self.limiters:
            self.configure_cell(cell)

    def has_work(self) -> bool:
        """Tell if any request is waiting or running here."""
        return bool(self.open_slots or self.waiting or self.in_flight)

    def abandon(self, number: int, now: float) -> None:
        """Give back what a question holds that nobody waits for."""
        self.waiting.pop(number, None)
        self.parked.pop(number, None)
        slot = self.open_slots.get(number)
        if slot is not None:
            self.leave_engine(slot, now)
            self.close(number)

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
        slots = engines * self.settings.engine_slots
        share = min(slots, slots * OVERCOMMIT / self.entries)
        limiter.configure(notes.ranks.values(), share)

    def acknowledge_plans(self) -> list[Effect | Reply]:
        """Tell the holders which plans are applied and what still runs."""
        return [
            SendPeer(self.steward, self._make_ack(view))
            for view in self.views.values()
        ]

    def grant_slots(self, cell: str, now: float) -> list[Effect | Reply]:
        """Answer waiting requests that may start or come too late."""
        placing = partial(self._place, cell, now)
        decisions = self.limiters[cell].decide(now, placing)
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
            prefill_only=upstream.role == PREFILL and self._can_hand_on(slot),
            kv_from=slot.kv_from,
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

    def leave_engine(self, slot: OpenSlot, now: float) -> None:
        """Count an attempt that has ended on its engine."""
        if slot.engine:
            self.count_in_flight(slot.engine, -1)
            self.choosers[slot.cell].record_running(slot.engine, now, -1)

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

    def _place(
        self, cell: str, now: float, request: QueuedRequest, priority: int
    ) -> Placement:
        """Keep a request here while every engine is behind with prompts."""
        asked = self.waiting.get(request.ask)
        if asked is None:
            return Placement.STARTED
        slot = OpenSlot(asked, cell, '', priority, 0)
        choice = self._choose_engine(slot, self._find_usable(slot, now), now)
        if choice is None:
            return Placement.STARTED
        rate = self.choosers[cell].rates.prefill_tokens_per_second
        behind = choice.first_token_seconds - asked.prompt_tokens / rate
        return Placement.WAITS if behind > PACE_SECONDS else Placement.STARTED

    def _choose(self, slot: OpenSlot, now: float) -> UpstreamView | None:
        usable = self._find_usable(slot, now)
        chosen = self._choose_engine(slot, usable, now)
        if chosen is None:
            return None
        if self.suspects.must_isolate(slot.asked.fingerprint, now):
            self.suspects.running.add(chosen.engine)
        self._note_sent(slot, chosen, now)
        by_name = {one.name: one for one in usable}
        return by_name[chosen.engine]

    def _choose_engine(
        self, slot: OpenSlot, usable: list[UpstreamView], now: float
    ) -> Choice | None:
        return self.choosers[slot.cell].choose(
            [self._as_engine(one, slot.cell) for one in usable],
            slot.asked.prefix,
            slot.asked.prompt_tokens,
            now,
            slot.priority,
        )

    def hand_on(
        self, number: int, asked: int, now: float
    ) -> list[Effect | Reply]:
        """Find an engine that decodes what the slot's one has prefilled."""
        slot = self.open_slots[number]
        self.leave_engine(slot, now)
        handed = slot._replace(
            engine='',
            asked_again=asked,
            kv_from=self._address_of(slot),
            attempts=slot.attempts - 1,
        )
        give_up_at = now + REASSIGN_SECONDS
        return self.assign(number, handed, now, give_up_at)

    def _address_of(self, slot: OpenSlot) -> str:
        view = self.views[slot.cell]
        for one in view.upstreams:
            if one.name == slot.engine:
                return one.address
        return ''

    def _can_hand_on(self, slot: OpenSlot) -> bool:
        """Tell if some engine of the cell decodes."""
        return any(
            one.role != PREFILL for one in self.find_upstreams(slot.cell)
        )

    def _find_usable(self, slot: OpenSlot, now: float) -> list[UpstreamView]:
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
        if slot.kv_from:
            decoding = [one for one in usable if one.role != PREFILL]
            usable = decoding or usable
        if self.suspects.must_isolate(slot.asked.fingerprint, now):
            running = self.suspects.running
            usable = [one for one in usable if one.name not in running]
        return usable

    def _note_sent(self, slot: OpenSlot, choice: Choice, now: float) -> None:
        chooser = self.choosers[slot.cell]
        tokens = slot.asked.prompt_tokens
        sent = Sent(now, tokens - choice.cached_tokens, slot.priority)
        chooser.record_sent(choice.engine, sent)
        chooser.record_running(choice.engine, now, 1)
        chooser.prefixes.record(slot.asked.prefix, choice.engine, tokens)

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


@singledispatch
def take_plan(message: Any, part: SlotPart, now: float) -> list[Effect | Reply]:
    """Take in a message of a steward that is not for this part."""
    return []


@take_plan.register
def _(message: PlanView, part: SlotPart, now: float) -> list[Effect | Reply]:
    if not is_newer_view(message, part.views.get(message.cell)):
        return []
    known = part.views.get(message.cell)
    part.views[message.cell] = message
    part.viewed_at[message.cell] = now
    if message.cell not in part.choosers:
        rates = EngineRates(slots=part.settings.engine_slots)
        part.choosers[message.cell] = EngineChooser(rates, part.rng)
    part.configure_cell(message.cell)
    effects = part.grant_slots(message.cell, now)
    if known is None or known.version != message.version:
        effects.extend(part.acknowledge_plans())
    return effects


@take_plan.register
def _(message: PlanLoads, part: SlotPart, now: float) -> list[Effect | Reply]:
    view = part.views.get(message.cell)
    if view is None or view.token != message.token:
        return []
    loads = {one.upstream: one.load for one in message.loads}
    upstreams = tuple(
        one._replace(load=loads.get(one.name, one.load))
        for one in view.upstreams
    )
    part.views[message.cell] = view._replace(upstreams=upstreams)
    part.viewed_at[message.cell] = now
    part.configure_cell(message.cell)
    return part.grant_slots(message.cell, now)


@take_plan.register
def _(
    message: SuspectCrash, part: SlotPart, now: float
) -> list[Effect | Reply]:
    part.suspects.record(message, now)
    return []


@singledispatch
def answer_slot(
    question: Any, part: SlotPart, number: int, now: float
) -> list[Effect | Reply]:
    """Answer a question of a request's filter."""
    raise TypeError(f'no such question: {question!r}')


@answer_slot.register
def _(
    question: AskSlot, part: SlotPart, number: int, now: float
) -> list[Effect | Reply]:
    if part.suspects.must_refuse(question.fingerprint, now):
        detail = 'it crashed engines; change it or wait'
        refusal = fail(ResultCode.SUSPECT_REFUSED, detail)
        return [Reply(number, Err(refusal))]
    cell = question.notes.models[question.kind.model].cell
    if cell not in part.limiters or cell not in part.choosers:
        detail = f'no plan of cell {cell} yet'
        return [Reply(number, Err(fail(ResultCode.NO_ENGINE, detail)))]
    part.retries.earn(question.caller, question.rank)
    queued = QueuedRequest(
        ask=number,
        rank=question.rank,
        caller=question.caller,
        weight=question.weight,
        slots=1,
        start_by=question.start_by,
    )
    if not part.limiters[cell].offer(queued):
        detail = f'rank {question.rank} has too many waiting'
        return [Reply(number, Err(fail(ResultCode.QUEUE_FULL, detail)))]
    part.waiting[number] = question
    part.demand.record(cell, question, now)
    return part.grant_slots(cell, now)


@answer_slot.register
def _(
    question: HandOn, part: SlotPart, number: int, now: float
) -> list[Effect | Reply]:
    return part.hand_on(question.slot, number, now)


@answer_slot.register
def _(
    question: Reassign, part: SlotPart, number: int, now: float
) -> list[Effect | Reply]:
    slot = part.open_slots[question.slot]
    part.leave_engine(slot, now)
    part.suspects.running.discard(slot.engine)
    part.resting[slot.engine] = now + ENGINE_REST_SECONDS
    effects: list[Effect | Reply] = []
    asked = slot.asked
    if question.crashed:
        part.choosers[slot.cell].prefixes.forget_engine(slot.engine)
        crash = SuspectCrash(asked.fingerprint, question.exchange, False)
        part.suspects.record(crash, now)
        effects.append(SendPeer(part.steward, crash))
    failed = slot._replace(
        failed=slot.failed | {slot.engine}, engine='', kv_from=''
    )
    refused = part.suspects.must_refuse(asked.fingerprint, now)
    allowed = not refused and part.retries.allow(
        asked.caller, asked.rank, slot.attempts, crashed=question.crashed
    )
    if not allowed:
        part.close(question.slot)
        code = (
            ResultCode.SUSPECT_REFUSED
            if refused
            else ResultCode.RETRY_BUDGET_SPENT
        )
        refusal = fail(code, f'{slot.attempts} attempts failed')
        return [*effects, Reply(number, Err(refusal))]
    again = failed._replace(asked_again=number)
    give_up_at = now + REASSIGN_SECONDS
    return [*effects, *part.assign(question.slot, again, now, give_up_at)]


@answer_slot.register
def _(
    question: EndSlot, part: SlotPart, number: int, now: float
) -> list[Effect | Reply]:
    slot = part.open_slots.get(question.slot)
    part.parked.pop(question.slot, None)
    if slot is None:
        return [Reply(number, Ok(None))]
    part.leave_engine(slot, now)
    if question.whole:
        part.suspects.clear(slot.asked.fingerprint)
    part.close(question.slot)
    return [
        Reply(number, Ok(None)),
        *part.assign_parked(now),
        *part.grant_slots(slot.cell, now),
    ]


@answer_slot.register
def _(
    question: AskService, part: SlotPart, number: int, now: float
) -> list[Effect | Reply]:
    usable = [
        one for one in part.find_upstreams(question.service) if one.load.alive
    ]
    if not usable:
        detail = f'no upstream of {question.service} takes calls'
        return [Reply(number, Err(fail(ResultCode.NO_ENGINE, detail)))]
    chosen = min(
        usable, key=lambda one: (part.in_flight.get(one.name, 0), one.name)
    )
    part.count_in_flight(chosen.name, 1)
    return [Reply(number, Ok(chosen))]


@answer_slot.register
def _(
    question: EndService, part: SlotPart, number: int, now: float
) -> list[Effect | Reply]:
    part.count_in_flight(question.upstream, -1)
    return [Reply(number, Ok(None))]
