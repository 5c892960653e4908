"""Admission of requests to engine slots and routing to engines."""

import random
from functools import partial, singledispatch
from typing import Any, Final, NamedTuple

from result import Err, Ok

from cranberryrelay.agreement import (
    Effect,
    PlanAck,
    PlanLoads,
    PlanView,
    SendPeer,
    UpstreamPhase,
    UpstreamView,
    is_newer_view,
)
from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.entry._demand import DemandTracker
from cranberryrelay.entry._messages import (
    CommandReply,
    EngineAssignment,
    HandOffToDecode,
    ReassignSlot,
    ReleaseSlot,
    ReleaseUpstream,
    SelectUpstream,
    SlotGrant,
    SlotRequest,
)
from cranberryrelay.notes import NotesInForce
from cranberryrelay.policy import (
    PREFILL,
    PREFILL_BACKLOG_LIMIT_SECONDS,
    EngineChoice,
    EngineChooser,
    EngineRates,
    EngineView,
    Placement,
    QueuedRequest,
    RankLimiter,
    RetryBudget,
    SentWork,
    SuspectCrash,
    SuspectRegistry,
)
from cranberryrelay.settings import Settings

SLOT_OVERCOMMIT_FACTOR: Final = 2.0
FAILED_ENGINE_BACKOFF_SECONDS: Final = 1.0
REASSIGN_TIMEOUT_SECONDS: Final = 10.0
DEMAND_REPORT_INTERVAL_SECONDS: Final = 1.0
_NEVER: Final = float('-inf')


class OpenSlot(NamedTuple):
    """A request that holds a slot."""

    # The request for the slot.
    request: SlotRequest

    # Name of the cell that runs the model.
    cell: str

    # Engine that runs the current attempt; empty while none is assigned.
    engine: str

    # Priority for the engine; lower is more urgent.
    priority: int

    # Attempts started; prefill and decode of one answer count once.
    attempts: int

    # Engines on which an attempt failed.
    failed_engines: frozenset[str] = frozenset()

    # Id of the ReassignSlot or HandOffToDecode command to reply to; 0 while the
    # reply belongs to the SlotRequest.
    pending_command_id: int = 0

    # 'IP:port' of the engine to fetch the KV cache from; empty for none.
    kv_from: str = ''


class SlotManager:
    """Queues, slots and engine choice of one entry.

    Not safe for concurrent use: only the entry's core calls it.  Slots are
    identified by the id of the command that requested them.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.steward_name = settings.own_instance.instance
        self.rng = rng
        self.entry_count = 1
        self.notes: NotesInForce | None = None
        self.plan_views: dict[str, PlanView] = {}
        self.plan_received_at: dict[str, float] = {}
        self.limiters: dict[str, RankLimiter] = {}
        self.choosers: dict[str, EngineChooser] = {}
        self.suspects = SuspectRegistry()
        self.retry_budget = RetryBudget()
        self.queued: dict[int, SlotRequest] = {}
        self.open_slots: dict[int, OpenSlot] = {}
        self.assignment_deadlines: dict[int, float] = {}
        self.in_flight: dict[str, int] = {}
        self.backoff_until: dict[str, float] = {}
        self.demand = DemandTracker()
        self.demand_reported_at = _NEVER

    def on_tick(self, now: float) -> list[Effect | CommandReply]:
        """Assign engines, grant slots, expire late requests, report demand."""
        effects = self.retry_assignments(now)
        if now - self.demand_reported_at >= DEMAND_REPORT_INTERVAL_SECONDS:
            self.demand_reported_at = now
            queued = list(self.queued.values())
            effects.extend(
                SendPeer(self.steward_name, report)
                for report in self.demand.make_reports(queued, now)
            )
        for cell in self.limiters:
            effects.extend(self.grant_slots(cell, now))
        return effects

    def apply_notes(self, notes: NotesInForce, entry_count: int) -> None:
        """Apply the notes in force and the number of entries."""
        self.notes = notes
        self.entry_count = max(entry_count, 1)
        for cell in self.limiters:
            self.configure_cell(cell)

    def has_work(self) -> bool:
        """Return whether any request is queued or running."""
        return bool(self.open_slots or self.queued or self.in_flight)

    def cancel(self, command_id: int, now: float) -> None:
        """Release what a command holds whose caller stopped waiting."""
        self.queued.pop(command_id, None)
        self.assignment_deadlines.pop(command_id, None)
        slot = self.open_slots.get(command_id)
        if slot is not None:
            self.record_attempt_end(slot, now)
            self.release_slot(command_id)

    def configure_cell(self, cell: str) -> None:
        """Update the ranks and the capacity of a cell's limiter.

        An entry's capacity is its share of the cell's slots times the
        overcommit factor, at most all of them.
        """
        limiter = self.limiters.setdefault(cell, RankLimiter())
        view = self.plan_views.get(cell)
        notes = self.notes
        if view is None or notes is None:
            return
        engines = sum(
            1
            for upstream in view.upstreams
            if upstream.phase is UpstreamPhase.SERVING and upstream.load.alive
        )
        slots = engines * self.settings.engine_slots
        share = min(slots, slots * SLOT_OVERCOMMIT_FACTOR / self.entry_count)
        limiter.configure(notes.ranks.values(), share)

    def acknowledge_plans(self) -> list[Effect | CommandReply]:
        """Acknowledge applied plans and report draining upstreams in use."""
        return [
            SendPeer(self.steward_name, self._make_plan_ack(view))
            for view in self.plan_views.values()
        ]

    def grant_slots(self, cell: str, now: float) -> list[Effect | CommandReply]:
        """Grant slots to queued requests and refuse the expired ones."""
        place = partial(self._decide_placement, cell, now)
        decisions = self.limiters[cell].decide(now, place)
        effects: list[Effect | CommandReply] = []
        for expired in decisions.expired:
            self.queued.pop(expired.correlation_id, None)
            detail = f'request expired in the queue of rank {expired.rank}'
            refusal = fail(ResultCode.TARGET_UNREACHABLE, detail)
            effects.append(CommandReply(expired.correlation_id, Err(refusal)))
        for grant in decisions.granted:
            request = self.queued.pop(grant.request.correlation_id, None)
            if request is None:
                self.limiters[cell].release(grant.request.rank, 1)
                continue
            slot = OpenSlot(request, cell, '', grant.priority, 0)
            self.open_slots[grant.request.correlation_id] = slot
            effects.extend(
                self.assign_engine(
                    grant.request.correlation_id, slot, now, request.start_by
                )
            )
        return effects

    def assign_engine(
        self, slot_id: int, slot: OpenSlot, now: float, deadline: float
    ) -> list[Effect | CommandReply]:
        """Assign an engine to a slot, or wait for one until a deadline.

        Errors: ``NO_ENGINE`` once the deadline has passed.
        """
        upstream = self._choose_upstream(slot, now)
        if upstream is None:
            if now < deadline:
                self.open_slots[slot_id] = slot
                self.assignment_deadlines[slot_id] = deadline
                return []
            self.assignment_deadlines.pop(slot_id, None)
            self.release_slot(slot_id)
            detail = (
                f'no engine is available for model {slot.request.kind.model}'
            )
            command_id = slot.pending_command_id or slot_id
            return [
                CommandReply(
                    command_id, Err(fail(ResultCode.NO_ENGINE, detail))
                )
            ]
        self.assignment_deadlines.pop(slot_id, None)
        assigned = slot._replace(
            engine=upstream.name, attempts=slot.attempts + 1
        )
        self.open_slots[slot_id] = assigned
        self.change_in_flight(upstream.name, 1)
        assignment = EngineAssignment(
            engine=upstream.name,
            address=upstream.address,
            priority=slot.priority,
            version=upstream.models.get(slot.request.kind.model, ''),
            prefill_only=upstream.role == PREFILL
            and self._has_decode_engine(slot),
            kv_from=slot.kv_from,
        )
        command_id = slot.pending_command_id or slot_id
        return [CommandReply(command_id, Ok(SlotGrant(slot_id, assignment)))]

    def retry_assignments(self, now: float) -> list[Effect | CommandReply]:
        """Retry the engine choice for slots without an engine."""
        effects: list[Effect | CommandReply] = []
        for slot_id, deadline in tuple(self.assignment_deadlines.items()):
            slot = self.open_slots.get(slot_id)
            if slot is None:
                self.assignment_deadlines.pop(slot_id)
            else:
                effects.extend(self.assign_engine(slot_id, slot, now, deadline))
        return effects

    def record_attempt_end(self, slot: OpenSlot, now: float) -> None:
        """Remove an ended attempt from its engine's load."""
        if slot.engine:
            self.change_in_flight(slot.engine, -1)
            self.choosers[slot.cell].record_running_change(slot.engine, now, -1)

    def release_slot(self, slot_id: int) -> None:
        """Release a slot; does nothing if it is not open."""
        slot = self.open_slots.pop(slot_id, None)
        if slot is None:
            return
        self.limiters[slot.cell].release(slot.request.rank, 1)
        self.suspects.engines_running_suspects.discard(slot.engine)

    def change_in_flight(self, upstream: str, change: int) -> None:
        """Change the count of this entry's work on an upstream."""
        count = self.in_flight.get(upstream, 0) + change
        self.in_flight[upstream] = count
        if count <= 0:
            self.in_flight.pop(upstream)

    def find_serving_upstreams(self, cell: str) -> list[UpstreamView]:
        """Return the upstreams of a cell that accept new work."""
        view = self.plan_views.get(cell)
        if view is None:
            return []
        return [
            upstream
            for upstream in view.upstreams
            if upstream.phase is UpstreamPhase.SERVING
        ]

    def _decide_placement(
        self,
        cell: str,
        now: float,
        queued_request: QueuedRequest,
        priority: int,
    ) -> Placement:
        """Keep a request queued while every engine has a prefill backlog."""
        request = self.queued.get(queued_request.correlation_id)
        if request is None:
            return Placement.STARTED
        slot = OpenSlot(request, cell, '', priority, 0)
        choice = self._choose_engine(
            slot, self._find_candidates(slot, now), now
        )
        if choice is None:
            return Placement.STARTED
        rate = self.choosers[cell].rates.prefill_tokens_per_second
        backlog_seconds = (
            choice.first_token_seconds - request.prompt_tokens / rate
        )
        return (
            Placement.WAITS
            if backlog_seconds > PREFILL_BACKLOG_LIMIT_SECONDS
            else Placement.STARTED
        )

    def _choose_upstream(
        self, slot: OpenSlot, now: float
    ) -> UpstreamView | None:
        candidates = self._find_candidates(slot, now)
        chosen = self._choose_engine(slot, candidates, now)
        if chosen is None:
            return None
        if self.suspects.must_isolate(slot.request.fingerprint, now):
            self.suspects.engines_running_suspects.add(chosen.engine)
        self._record_sent(slot, chosen, now)
        by_name = {upstream.name: upstream for upstream in candidates}
        return by_name[chosen.engine]

    def _choose_engine(
        self, slot: OpenSlot, candidates: list[UpstreamView], now: float
    ) -> EngineChoice | None:
        return self.choosers[slot.cell].choose(
            [
                self._make_engine_view(upstream, slot.cell)
                for upstream in candidates
            ],
            slot.request.prefix,
            slot.request.prompt_tokens,
            now,
            slot.priority,
        )

    def hand_off_to_decode(
        self, slot_id: int, command_id: int, now: float
    ) -> list[Effect | CommandReply]:
        """Assign an engine that decodes what the slot's engine has prefilled.

        The decode is not counted as another attempt.
        """
        slot = self.open_slots[slot_id]
        self.record_attempt_end(slot, now)
        handed_off = slot._replace(
            engine='',
            pending_command_id=command_id,
            kv_from=self._find_engine_address(slot),
            attempts=slot.attempts - 1,
        )
        deadline = now + REASSIGN_TIMEOUT_SECONDS
        return self.assign_engine(slot_id, handed_off, now, deadline)

    def _find_engine_address(self, slot: OpenSlot) -> str:
        view = self.plan_views[slot.cell]
        for upstream in view.upstreams:
            if upstream.name == slot.engine:
                return upstream.address
        return ''

    def _has_decode_engine(self, slot: OpenSlot) -> bool:
        """Return whether any engine of the cell decodes."""
        return any(
            upstream.role != PREFILL
            for upstream in self.find_serving_upstreams(slot.cell)
        )

    def _find_candidates(
        self, slot: OpenSlot, now: float
    ) -> list[UpstreamView]:
        model = slot.request.notes.models[slot.request.kind.model]
        candidates = [
            upstream
            for upstream in self.find_serving_upstreams(slot.cell)
            if upstream.load.alive
            and upstream.name not in slot.failed_engines
            and self.backoff_until.get(upstream.name, _NEVER) < now
            and model.name in upstream.models
        ]
        current = [
            upstream
            for upstream in candidates
            if upstream.models[model.name] == model.version
        ]
        candidates = current or candidates
        if slot.kv_from:
            decoding = [
                upstream for upstream in candidates if upstream.role != PREFILL
            ]
            candidates = decoding or candidates
        if self.suspects.must_isolate(slot.request.fingerprint, now):
            running = self.suspects.engines_running_suspects
            candidates = [
                upstream
                for upstream in candidates
                if upstream.name not in running
            ]
        return candidates

    def _record_sent(
        self, slot: OpenSlot, choice: EngineChoice, now: float
    ) -> None:
        chooser = self.choosers[slot.cell]
        tokens = slot.request.prompt_tokens
        sent = SentWork(now, tokens - choice.cached_tokens, slot.priority)
        chooser.record_sent(choice.engine, sent)
        chooser.record_running_change(choice.engine, now, 1)
        chooser.prefixes.record(slot.request.prefix, choice.engine, tokens)

    def _make_engine_view(self, view: UpstreamView, cell: str) -> EngineView:
        received_at = self.plan_received_at[cell]
        return EngineView(
            name=view.name,
            role=view.role,
            running=view.load.running + view.load.waiting,
            prefill_tokens=view.load.prefill_tokens,
            reported_at=received_at - view.load.age_seconds,
            same_domain=view.domain == self.settings.own_instance.domain,
        )

    def _make_plan_ack(self, view: PlanView) -> PlanAck:
        busy = tuple(
            upstream.name
            for upstream in view.upstreams
            if upstream.phase is not UpstreamPhase.SERVING
            and upstream.name in self.in_flight
        )
        return PlanAck(view.cell, view.token, view.version, busy)


@singledispatch
def handle_plan_message(
    message: Any, manager: SlotManager, now: float
) -> list[Effect | CommandReply]:
    """Handle a steward's message; ignores unknown ones."""
    return []


@handle_plan_message.register
def _(
    message: PlanView, manager: SlotManager, now: float
) -> list[Effect | CommandReply]:
    if not is_newer_view(message, manager.plan_views.get(message.cell)):
        return []
    previous = manager.plan_views.get(message.cell)
    manager.plan_views[message.cell] = message
    manager.plan_received_at[message.cell] = now
    if message.cell not in manager.choosers:
        rates = EngineRates(slots=manager.settings.engine_slots)
        manager.choosers[message.cell] = EngineChooser(rates, manager.rng)
    manager.configure_cell(message.cell)
    effects = manager.grant_slots(message.cell, now)
    if previous is None or previous.version != message.version:
        effects.extend(manager.acknowledge_plans())
    return effects


@handle_plan_message.register
def _(
    message: PlanLoads, manager: SlotManager, now: float
) -> list[Effect | CommandReply]:
    view = manager.plan_views.get(message.cell)
    if view is None or view.token != message.token:
        return []
    loads = {update.upstream: update.load for update in message.loads}
    upstreams = tuple(
        upstream._replace(load=loads.get(upstream.name, upstream.load))
        for upstream in view.upstreams
    )
    manager.plan_views[message.cell] = view._replace(upstreams=upstreams)
    manager.plan_received_at[message.cell] = now
    manager.configure_cell(message.cell)
    return manager.grant_slots(message.cell, now)


@handle_plan_message.register
def _(
    message: SuspectCrash, manager: SlotManager, now: float
) -> list[Effect | CommandReply]:
    manager.suspects.record(message, now)
    return []


@singledispatch
def handle_slot_command(
    command: Any, manager: SlotManager, command_id: int, now: float
) -> list[Effect | CommandReply]:
    """Handle a command from a stage of a request's pipeline."""
    raise TypeError(f'no handler for command {command!r}')


@handle_slot_command.register
def _(
    command: SlotRequest, manager: SlotManager, command_id: int, now: float
) -> list[Effect | CommandReply]:
    if manager.suspects.must_refuse(command.fingerprint, now):
        detail = 'earlier attempts crashed engines; change the request or wait'
        refusal = fail(ResultCode.SUSPECT_REFUSED, detail)
        return [CommandReply(command_id, Err(refusal))]
    cell = command.notes.models[command.kind.model].cell
    if cell not in manager.limiters or cell not in manager.choosers:
        detail = f'no plan received for cell {cell} yet; try again'
        return [
            CommandReply(command_id, Err(fail(ResultCode.NO_ENGINE, detail)))
        ]
    manager.retry_budget.record_first_attempt(command.caller, command.rank)
    queued = QueuedRequest(
        correlation_id=command_id,
        rank=command.rank,
        caller=command.caller,
        weight=command.weight,
        slots=1,
        start_by=command.start_by,
    )
    if not manager.limiters[cell].offer(queued):
        detail = f'queue of rank {command.rank} is full'
        return [
            CommandReply(command_id, Err(fail(ResultCode.QUEUE_FULL, detail)))
        ]
    manager.queued[command_id] = command
    manager.demand.record(cell, command, now)
    return manager.grant_slots(cell, now)


@handle_slot_command.register
def _(
    command: HandOffToDecode, manager: SlotManager, command_id: int, now: float
) -> list[Effect | CommandReply]:
    return manager.hand_off_to_decode(command.slot_id, command_id, now)


@handle_slot_command.register
def _(
    command: ReassignSlot, manager: SlotManager, command_id: int, now: float
) -> list[Effect | CommandReply]:
    slot = manager.open_slots[command.slot_id]
    manager.record_attempt_end(slot, now)
    manager.suspects.engines_running_suspects.discard(slot.engine)
    manager.backoff_until[slot.engine] = now + FAILED_ENGINE_BACKOFF_SECONDS
    effects: list[Effect | CommandReply] = []
    request = slot.request
    if command.crashed:
        manager.choosers[slot.cell].prefixes.remove_engine(slot.engine)
        crash = SuspectCrash(request.fingerprint, command.attempt_id, False)
        manager.suspects.record(crash, now)
        effects.append(SendPeer(manager.steward_name, crash))
    retried = slot._replace(
        failed_engines=slot.failed_engines | {slot.engine},
        engine='',
        kv_from='',
    )
    refused = manager.suspects.must_refuse(request.fingerprint, now)
    allowed = not refused and manager.retry_budget.allow_retry(
        request.caller,
        request.rank,
        slot.attempts,
        crashed=command.crashed,
        not_run=command.not_run,
    )
    if not allowed:
        manager.release_slot(command.slot_id)
        code = (
            ResultCode.SUSPECT_REFUSED
            if refused
            else ResultCode.RETRY_BUDGET_SPENT
        )
        refusal = fail(code, f'{slot.attempts} attempts failed')
        return [*effects, CommandReply(command_id, Err(refusal))]
    reassigned = retried._replace(pending_command_id=command_id)
    deadline = now + REASSIGN_TIMEOUT_SECONDS
    return [
        *effects,
        *manager.assign_engine(command.slot_id, reassigned, now, deadline),
    ]


@handle_slot_command.register
def _(
    command: ReleaseSlot, manager: SlotManager, command_id: int, now: float
) -> list[Effect | CommandReply]:
    slot = manager.open_slots.get(command.slot_id)
    manager.assignment_deadlines.pop(command.slot_id, None)
    if slot is None:
        return [CommandReply(command_id, Ok(None))]
    manager.record_attempt_end(slot, now)
    if command.completed:
        manager.suspects.clear(slot.request.fingerprint)
    manager.release_slot(command.slot_id)
    return [
        CommandReply(command_id, Ok(None)),
        *manager.retry_assignments(now),
        *manager.grant_slots(slot.cell, now),
    ]


@handle_slot_command.register
def _(
    command: SelectUpstream, manager: SlotManager, command_id: int, now: float
) -> list[Effect | CommandReply]:
    candidates = [
        upstream
        for upstream in manager.find_serving_upstreams(command.service)
        if upstream.load.alive
    ]
    if not candidates:
        detail = f'no upstream of service {command.service} is available'
        return [
            CommandReply(command_id, Err(fail(ResultCode.NO_ENGINE, detail)))
        ]
    chosen = min(
        candidates,
        key=lambda upstream: (
            manager.in_flight.get(upstream.name, 0),
            upstream.name,
        ),
    )
    manager.change_in_flight(chosen.name, 1)
    return [CommandReply(command_id, Ok(chosen))]


@handle_slot_command.register
def _(
    command: ReleaseUpstream, manager: SlotManager, command_id: int, now: float
) -> list[Effect | CommandReply]:
    manager.change_in_flight(command.upstream, -1)
    return [CommandReply(command_id, Ok(None))]
