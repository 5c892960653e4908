"""Policies under test: the ranked policy and two baselines.

All implement the same protocol, so adding a policy takes one class.
"""

import random
from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence as SequenceOf
from typing import Final, NamedTuple, Protocol

from cranberryrelay.measure._model import Sequence
from cranberryrelay.measure._workload import RequestKind
from cranberryrelay.notes import RankRule
from cranberryrelay.policy import (
    MIXED,
    PREFILL,
    PREFILL_BACKLOG_LIMIT_SECONDS,
    Demand,
    EngineChooser,
    EngineRates,
    EngineView,
    Placement,
    QueuedRequest,
    RankLimiter,
    RolePlanner,
    SentWork,
    SuspectCrash,
    SuspectRegistry,
    clip_demand,
    guarantee_slots,
)

RANKS: Final = (
    RankRule('urgent', 1, 0.5, queue=400),
    RankRule('planned', 2, 0.3, queue=400),
    RankRule('overnight', 3, 0.1, queue=2000),
)
PRIORITY_LEVELS: Final[Mapping[str, int]] = {
    rank.name: rank.level for rank in RANKS
}
PREFILL_ENGINE_SLOTS: Final = 2
USABLE_SLOT_FRACTION: Final = 0.95
TARGET_FRACTION: Final = 0.85
DEMAND_WINDOW_SECONDS: Final = 8.0
GREEDY_BACKLOG_SECONDS: Final = 1.5
GREEDY_OCCUPANCY: Final = 0.9
CALLER_COUNT: Final = 5


class EngineReport(NamedTuple):
    """A load report of an engine; policies receive it with a delay."""

    # The load of the engine, in the form in which an entry receives it.
    view: EngineView

    # Whether the engine accepted new work when it reported.
    takes_work: bool


class Dispatch(NamedTuple):
    """A decision to send a sequence to an engine."""

    # The sequence to prefill.
    sequence: Sequence

    # Name of the chosen engine.
    engine: str

    # Scheduling priority on the engine; lower is more urgent.
    priority: int


class PolicyDecision(NamedTuple):
    """The decisions of a policy in one time step."""

    # Sequences to send.
    dispatches: list[Dispatch]

    # Queued sequences to refuse before they run.
    refused: list[Sequence]


class Policy(Protocol):
    """Chooses the engine of each sequence and the role of each engine."""

    def offer(self, sequence: Sequence, now: float) -> bool:
        """Queue a sequence; return False to refuse it."""

    def decide(self, now: float) -> PolicyDecision:
        """Dispatch or refuse queued sequences."""

    def record_prefilled(self, sequence: Sequence, engine: str) -> None:
        """Record that the prompt of a sequence is prefilled."""

    def choose_decoder(self, sequence: Sequence) -> str:
        """Return the engine that decodes a prefilled sequence, or ''."""

    def record_completed(self, sequence: Sequence, engine: str) -> None:
        """Record that a sequence has all its output tokens."""

    def record_crash(self, sequence: Sequence, now: float) -> bool:
        """Record that a crash lost a sequence; return True to retry it."""

    def observe(self, reports: SequenceOf[EngineReport]) -> None:
        """Update the state from load reports."""

    def plan(self, roles: Mapping[str, str], now: float) -> dict[str, str]:
        """Return the target role of each engine."""


class RankedPolicy:
    """Policy under test: ranked admission, load forecast, planned roles."""

    def __init__(
        self, kinds: Mapping[str, RequestKind], rates: EngineRates
    ) -> None:
        self.kinds = kinds
        self.rates = rates
        self.limiter = RankLimiter()
        self.chooser = EngineChooser(rates, random.Random(1))
        self.planner = RolePlanner(rates)
        self.suspects = SuspectRegistry()
        self.reports: dict[str, EngineReport] = {}
        self.usable: list[EngineView] = []
        self.waiting: dict[int, Sequence] = {}
        self.recent_arrivals: list[tuple[float, str, float, float]] = []
        self.demand_by_rank: dict[str, Demand] = {}
        self.now = float(0)
        self.dispatches: list[Dispatch] = []

    def offer(self, sequence: Sequence, now: float) -> bool:
        """Queue a sequence in its rank, unless it is suspected of crashes."""
        self.recent_arrivals.append(
            (now, sequence.kind, sequence.prompt, sequence.output)
        )
        if self.suspects.must_refuse(str(sequence.number), now):
            return False
        return self._enqueue(sequence)

    def decide(self, now: float) -> PolicyDecision:
        """Grant slots to sequences whose engine has a short enough backlog."""
        self.now = now
        self.dispatches = []
        slots = sum(self._usable_slots(view) for view in self.usable)
        guaranteed = guarantee_slots(
            self.demand_by_rank, RANKS, len(self.usable), slots, self.rates
        )
        self.limiter.configure(RANKS, slots, guaranteed)
        decisions = self.limiter.decide(now, self._place)
        refused = [
            self.waiting.pop(request.correlation_id)
            for request in decisions.expired
        ]
        return PolicyDecision(self.dispatches, refused)

    def record_prefilled(self, sequence: Sequence, engine: str) -> None:
        """Count the sequence as running if its engine also decodes it."""
        if self._reported_role(engine) == MIXED:
            self.chooser.record_running_change(engine, self.now, 1)

    def choose_decoder(self, sequence: Sequence) -> str:
        """Return the mixed engine with the fewest sequences."""
        mixed = [view for view in self.usable if view.role == MIXED]
        chosen = self.chooser.choose_decode_engine(mixed, self.now)
        if chosen is None:
            return ''
        self.chooser.record_running_change(chosen, self.now, 1)
        return chosen

    def record_completed(self, sequence: Sequence, engine: str) -> None:
        """Release the slot and clear crash suspicions."""
        self.limiter.release(self.kinds[sequence.kind].rank, 1)
        self.chooser.record_running_change(engine, self.now, -1)
        self.suspects.clear(str(sequence.number))

    def record_crash(self, sequence: Sequence, now: float) -> bool:
        """Record the crash; retry unless the sequence is now suspected."""
        rank = self.kinds[sequence.kind].rank
        self.limiter.release(rank, 1)
        name = str(sequence.number)
        attempt = f'{name}.{sequence.arrived_at}.{sequence.attempts}'
        self.suspects.record(SuspectCrash(name, attempt, False), now)
        if self.suspects.must_refuse(name, now):
            return False
        return self._enqueue(sequence)

    def observe(self, reports: SequenceOf[EngineReport]) -> None:
        """Update the state from load reports."""
        self.reports = {report.view.name: report for report in reports}
        self.usable = [report.view for report in reports if report.takes_work]

    def plan(self, roles: Mapping[str, str], now: float) -> dict[str, str]:
        """Plan roles for the recent arrivals and the queued sequences."""
        since = now - DEMAND_WINDOW_SECONDS
        self.recent_arrivals = [
            arrival for arrival in self.recent_arrivals if arrival[0] > since
        ]
        tokens_by_rank: dict[str, dict[str, float]] = {}
        for _, kind, prompt, output in self.recent_arrivals:
            totals = tokens_by_rank.setdefault(
                self.kinds[kind].rank, {'prefill': 0, 'decode': 0}
            )
            totals['prefill'] += prompt / DEMAND_WINDOW_SECONDS
            totals['decode'] += output / DEMAND_WINDOW_SECONDS
        for waiting in self.waiting.values():
            request_kind = self.kinds[waiting.kind]
            totals = tokens_by_rank.setdefault(
                request_kind.rank, {'prefill': 0, 'decode': 0}
            )
            totals['prefill'] += (
                waiting.prompt / request_kind.first_token_seconds
            )
            totals['decode'] += (
                waiting.output / request_kind.first_token_seconds
            )
        self.demand_by_rank = {
            rank: Demand(totals['prefill'], totals['decode'])
            for rank, totals in tokens_by_rank.items()
        }
        demand = clip_demand(self.demand_by_rank, RANKS, len(roles), self.rates)
        self.planner.observe(demand)
        return self.planner.plan(roles, {}, now)

    def _place(self, request: QueuedRequest, priority: int) -> Placement:
        sequence = self.waiting[request.correlation_id]
        tokens = round(sequence.prompt)
        choice = self.chooser.choose(
            self.usable, '', tokens, self.now, priority
        )
        if choice is None:
            return Placement.WAITS
        target = self.kinds[sequence.kind].first_token_seconds
        first_token_deadline = sequence.arrived_at + target * TARGET_FRACTION
        if self.now + choice.first_token_seconds > first_token_deadline:
            return Placement.TOO_LATE
        own_prefill_seconds = tokens / self.rates.prefill_tokens_per_second
        if (
            choice.first_token_seconds - own_prefill_seconds
            > PREFILL_BACKLOG_LIMIT_SECONDS
        ):
            return Placement.WAITS
        self.chooser.record_sent(
            choice.engine, SentWork(self.now, tokens, priority)
        )
        self.waiting.pop(request.correlation_id)
        self.dispatches.append(Dispatch(sequence, choice.engine, priority))
        return Placement.STARTED

    def _reported_role(self, engine: str) -> str:
        report = self.reports.get(engine)
        return report.view.role if report else ''

    def _usable_slots(self, view: EngineView) -> float:
        if view.role == MIXED:
            return self.rates.slots * USABLE_SLOT_FRACTION
        return PREFILL_ENGINE_SLOTS

    def _enqueue(self, sequence: Sequence) -> bool:
        kind = self.kinds[sequence.kind]
        prefill_seconds = sequence.prompt / self.rates.prefill_tokens_per_second
        target = kind.first_token_seconds * TARGET_FRACTION
        start_by = sequence.arrived_at + target - prefill_seconds
        request = QueuedRequest(
            correlation_id=sequence.number,
            rank=kind.rank,
            caller=str(sequence.number % CALLER_COUNT),
            weight=1,
            slots=1,
            start_by=start_by,
        )
        accepted = self.limiter.offer(request)
        if accepted:
            self.waiting[sequence.number] = sequence
        return accepted


class FixedSplitPolicy:
    """Baseline: a third of the engines prefill; round robin; no ranks."""

    def __init__(
        self, kinds: Mapping[str, RequestKind], rates: EngineRates
    ) -> None:
        self.kinds = kinds
        self.reports: dict[str, EngineReport] = {}
        self.waiting: list[Sequence] = []
        self.round_robin_index = 0

    def offer(self, sequence: Sequence, now: float) -> bool:
        """Queue every sequence."""
        self.waiting.append(sequence)
        return True

    def decide(self, now: float) -> PolicyDecision:
        """Dispatch all queued sequences, round robin."""
        decision = PolicyDecision([], [])
        names = self._names_in_role(PREFILL) or self._names_in_role(MIXED)
        if not names:
            return decision
        for sequence in self.waiting:
            self.round_robin_index += 1
            engine = names[self.round_robin_index % len(names)]
            decision.dispatches.append(Dispatch(sequence, engine, 0))
        self.waiting = []
        return decision

    def record_prefilled(self, sequence: Sequence, engine: str) -> None:
        """Do nothing."""

    def choose_decoder(self, sequence: Sequence) -> str:
        """Return the next mixed engine, round robin."""
        names = self._names_in_role(MIXED)
        self.round_robin_index += 1
        return names[self.round_robin_index % len(names)] if names else ''

    def record_completed(self, sequence: Sequence, engine: str) -> None:
        """Do nothing."""

    def record_crash(self, sequence: Sequence, now: float) -> bool:
        """Queue the sequence for a retry."""
        self.waiting.append(sequence)
        return True

    def observe(self, reports: SequenceOf[EngineReport]) -> None:
        """Update the state from load reports."""
        self.reports = {report.view.name: report for report in reports}

    def plan(self, roles: Mapping[str, str], now: float) -> dict[str, str]:
        """Keep a third of the engines in the role prefill."""
        names = sorted(roles)
        third = max(len(names) // 3, 1)
        return {
            name: PREFILL if index < third else MIXED
            for index, name in enumerate(names)
        }

    def _names_in_role(self, role: str) -> list[str]:
        return sorted(
            name
            for name, report in self.reports.items()
            if report.takes_work and report.view.role == role
        )


class GreedyPolicy(FixedSplitPolicy):
    """Baseline: least loaded engine, roles by thresholds, rank as priority."""

    def __init__(
        self, kinds: Mapping[str, RequestKind], rates: EngineRates
    ) -> None:
        super().__init__(kinds, rates)
        self.rates = rates
        self.sent_tokens: Counter[str] = Counter()
        self.handed_over: Counter[str] = Counter()

    def decide(self, now: float) -> PolicyDecision:
        """Dispatch each queued sequence to the least loaded engine."""
        decision = PolicyDecision([], [])
        usable = [
            report.view for report in self.reports.values() if report.takes_work
        ]
        if not usable:
            return decision
        for sequence in self.waiting:
            engine = min(usable, key=self._prefill_load).name
            self.sent_tokens[engine] += round(sequence.prompt)
            level = PRIORITY_LEVELS[self.kinds[sequence.kind].rank]
            decision.dispatches.append(Dispatch(sequence, engine, level))
        self.waiting = []
        return decision

    def choose_decoder(self, sequence: Sequence) -> str:
        """Return the mixed engine with the fewest sequences."""
        usable = [
            report.view
            for report in self.reports.values()
            if report.takes_work and report.view.role == MIXED
        ]
        if not usable:
            return ''
        chosen = min(
            usable, key=lambda view: view.running + self.handed_over[view.name]
        )
        self.handed_over[chosen.name] += 1
        return chosen.name

    def observe(self, reports: SequenceOf[EngineReport]) -> None:
        """Update the state from load reports."""
        super().observe(reports)
        self.sent_tokens.clear()
        self.handed_over.clear()

    def plan(self, roles: Mapping[str, str], now: float) -> dict[str, str]:
        """Change the role of one engine when a threshold is exceeded."""
        planned = {name: role or MIXED for name, role in roles.items()}
        views = [report.view for report in self.reports.values()]
        mixed = sorted(name for name, role in planned.items() if role == MIXED)
        prefill = sorted(planned.keys() - set(mixed))
        rate = self.rates.prefill_tokens_per_second
        backlog = sum(view.prefill_tokens for view in views)
        seconds = backlog / rate / max(len(views), 1)
        running = sum(view.running for view in views)
        occupancy = running / max(len(mixed) * self.rates.slots, 1)
        if occupancy > GREEDY_OCCUPANCY and prefill:
            planned[prefill[0]] = MIXED
        elif seconds > GREEDY_BACKLOG_SECONDS and len(mixed) > 1:
            planned[mixed[0]] = PREFILL
        return planned

    def _prefill_load(self, view: EngineView) -> float:
        tokens = view.prefill_tokens + self.sent_tokens[view.name]
        cost_factor = 1 if view.role == PREFILL else 3
        return tokens * cost_factor + view.running
