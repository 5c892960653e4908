"""What the measurements compare: our policy and two baselines.

All have one interface, so a person can add a policy in one file.
"""

import random
from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence as SequenceOf
from typing import Final, NamedTuple, Protocol

from cranberryrelay.measure._model import Sequence
from cranberryrelay.measure._workload import WorkKind
from cranberryrelay.notes import RankRule
from cranberryrelay.policy import (
    MIXED,
    PACE_SECONDS,
    PREFILL,
    Demand,
    EngineChooser,
    EngineRates,
    EngineView,
    Placement,
    QueuedRequest,
    RankLimiter,
    RolePlanner,
    Sent,
    SuspectBook,
    SuspectCrash,
    clip_demand,
    guarantee_slots,
)

RANKS: Final = (
    RankRule('urgent', 1, 0.5, queue=400),
    RankRule('planned', 2, 0.3, queue=400),
    RankRule('overnight', 3, 0.1, queue=2000),
)
LEVELS: Final[Mapping[str, int]] = {rank.name: rank.level for rank in RANKS}
PREFILL_SLOTS: Final = 2
SLOTS_PART: Final = 0.95
TARGET_PART: Final = 0.85
DEMAND_SECONDS: Final = 8.0
GREEDY_BACKLOG_SECONDS: Final = 1.5
GREEDY_OCCUPANCY: Final = 0.9
CALLERS: Final = 5


class EngineReport(NamedTuple):
    """What an engine reported of itself; it arrives late."""

    # How an entry sees the engine.
    view: EngineView

    # True if it took new work.
    takes_work: bool


class Dispatch(NamedTuple):
    """A sequence that is sent to an engine."""

    # The sequence.
    sequence: Sequence

    # Name of the engine.
    engine: str

    # Priority for the engine; lower is more urgent.
    priority: int


class Decided(NamedTuple):
    """What a policy decided in a step."""

    # Sequences to send.
    dispatches: list[Dispatch]

    # Sequences to refuse; they were not run.
    refused: list[Sequence]


class Policy(Protocol):
    """Decides where work goes and which roles engines have."""

    def offer(self, sequence: Sequence, now: float) -> bool:
        """Take a sequence in; False to refuse it."""

    def decide(self, now: float) -> Decided:
        """Send or refuse what waits."""

    def prefilled(self, sequence: Sequence, engine: str) -> None:
        """Learn that a prompt is prefilled."""

    def hand_on(self, sequence: Sequence) -> str:
        """Choose the engine that decodes a prefilled sequence."""

    def ended(self, sequence: Sequence, engine: str) -> None:
        """Learn that a sequence has all its tokens."""

    def crashed(self, sequence: Sequence, now: float) -> bool:
        """Learn that a sequence was lost; True to run it again."""

    def observe(self, reports: SequenceOf[EngineReport]) -> None:
        """Take in load reports."""

    def plan(self, roles: Mapping[str, str], now: float) -> dict[str, str]:
        """Return the wanted roles."""


class RankedPolicy:
    """Our policy: ranks, predicted engines, planned roles."""

    def __init__(
        self, kinds: Mapping[str, WorkKind], rates: EngineRates
    ) -> None:
        self.kinds = kinds
        self.rates = rates
        self.limiter = RankLimiter()
        self.chooser = EngineChooser(rates, random.Random(1))
        self.planner = RolePlanner(rates)
        self.suspects = SuspectBook()
        self.reports: dict[str, EngineReport] = {}
        self.usable: list[EngineView] = []
        self.waiting: dict[int, Sequence] = {}
        self.arrived: list[tuple[float, str, float, float]] = []
        self.by_rank: dict[str, Demand] = {}
        self.now = float(0)
        self.dispatches: list[Dispatch] = []

    def offer(self, sequence: Sequence, now: float) -> bool:
        """Queue a sequence in its rank, unless it is held back."""
        self.arrived.append(
            (now, sequence.kind, sequence.prompt, sequence.output)
        )
        if self.suspects.must_refuse(str(sequence.number), now):
            return False
        return self._queue(sequence)

    def decide(self, now: float) -> Decided:
        """Grant slots to what finds an engine that is not behind."""
        self.now = now
        self.dispatches = []
        slots = sum(self._slots_of(one) for one in self.usable)
        guaranteed = guarantee_slots(
            self.by_rank, RANKS, len(self.usable), slots, self.rates
        )
        self.limiter.configure(RANKS, slots, guaranteed)
        decisions = self.limiter.decide(now, self._place)
        refused = [self.waiting.pop(one.ask) for one in decisions.expired]
        return Decided(self.dispatches, refused)

    def prefilled(self, sequence: Sequence, engine: str) -> None:
        """Count the sequence where it stays to be decoded."""
        if self._role_of(engine) == MIXED:
            self.chooser.record_running(engine, self.now, 1)

    def hand_on(self, sequence: Sequence) -> str:
        """Choose the mixed engine with the fewest sequences."""
        mixed = [one for one in self.usable if one.role == MIXED]
        chosen = self.chooser.choose_decoder(mixed, self.now)
        if chosen is None:
            return ''
        self.chooser.record_running(chosen, self.now, 1)
        return chosen

    def ended(self, sequence: Sequence, engine: str) -> None:
        """Give back the slot."""
        self.limiter.release(self.kinds[sequence.kind].rank, 1)
        self.chooser.record_running(engine, self.now, -1)
        self.suspects.clear(str(sequence.number))

    def crashed(self, sequence: Sequence, now: float) -> bool:
        """Count the crash; run again what is not held back."""
        rank = self.kinds[sequence.kind].rank
        self.limiter.release(rank, 1)
        name = str(sequence.number)
        attempt = f'{name}.{sequence.arrived_at}.{sequence.attempts}'
        self.suspects.record(SuspectCrash(name, attempt, False), now)
        if self.suspects.must_refuse(name, now):
            return False
        return self._queue(sequence)

    def observe(self, reports: SequenceOf[EngineReport]) -> None:
        """Take in load reports."""
        self.reports = {one.view.name: one for one in reports}
        self.usable = [one.view for one in reports if one.takes_work]

    def plan(self, roles: Mapping[str, str], now: float) -> dict[str, str]:
        """Plan roles for the demand of the last seconds."""
        since = now - DEMAND_SECONDS
        self.arrived = [one for one in self.arrived if one[0] > since]
        asked: dict[str, dict[str, float]] = {}
        for _, kind, prompt, output in self.arrived:
            totals = asked.setdefault(
                self.kinds[kind].rank, {'prefill': 0, 'decode': 0}
            )
            totals['prefill'] += prompt / DEMAND_SECONDS
            totals['decode'] += output / DEMAND_SECONDS
        for waiting in self.waiting.values():
            kept = self.kinds[waiting.kind]
            totals = asked.setdefault(kept.rank, {'prefill': 0, 'decode': 0})
            totals['prefill'] += waiting.prompt / kept.first_token_seconds
            totals['decode'] += waiting.output / kept.first_token_seconds
        self.by_rank = {
            rank: Demand(totals['prefill'], totals['decode'])
            for rank, totals in asked.items()
        }
        demand = clip_demand(self.by_rank, RANKS, len(roles), self.rates)
        self.planner.observe(demand)
        return self.planner.plan(roles, {}, now)

    def _place(self, request: QueuedRequest, priority: int) -> Placement:
        sequence = self.waiting[request.ask]
        tokens = round(sequence.prompt)
        choice = self.chooser.choose(
            self.usable, '', tokens, self.now, priority
        )
        if choice is None:
            return Placement.WAITS
        target = self.kinds[sequence.kind].first_token_seconds
        latest = sequence.arrived_at + target * TARGET_PART
        if self.now + choice.first_token_seconds > latest:
            return Placement.TOO_LATE
        own = tokens / self.rates.prefill_tokens_per_second
        if choice.first_token_seconds - own > PACE_SECONDS:
            return Placement.WAITS
        self.chooser.record_sent(
            choice.engine, Sent(self.now, tokens, priority)
        )
        self.waiting.pop(request.ask)
        self.dispatches.append(Dispatch(sequence, choice.engine, priority))
        return Placement.STARTED

    def _role_of(self, engine: str) -> str:
        report = self.reports.get(engine)
        return report.view.role if report else ''

    def _slots_of(self, view: EngineView) -> float:
        if view.role == MIXED:
            return self.rates.slots * SLOTS_PART
        return PREFILL_SLOTS

    def _queue(self, sequence: Sequence) -> bool:
        kind = self.kinds[sequence.kind]
        least = sequence.prompt / self.rates.prefill_tokens_per_second
        target = kind.first_token_seconds * TARGET_PART
        start_by = sequence.arrived_at + target - least
        request = QueuedRequest(
            ask=sequence.number,
            rank=kind.rank,
            caller=str(sequence.number % CALLERS),
            weight=1,
            slots=1,
            start_by=start_by,
        )
        taken = self.limiter.offer(request)
        if taken:
            self.waiting[sequence.number] = sequence
        return taken


class FixedSplitPolicy:
    """Baseline: a third of the engines prefill, round robin, no ranks."""

    def __init__(
        self, kinds: Mapping[str, WorkKind], rates: EngineRates
    ) -> None:
        self.kinds = kinds
        self.reports: dict[str, EngineReport] = {}
        self.waiting: list[Sequence] = []
        self.turn = 0

    def offer(self, sequence: Sequence, now: float) -> bool:
        """Take everything in."""
        self.waiting.append(sequence)
        return True

    def decide(self, now: float) -> Decided:
        """Send everything at once, in turn."""
        decided = Decided([], [])
        names = self._names(PREFILL) or self._names(MIXED)
        if not names:
            return decided
        for sequence in self.waiting:
            self.turn += 1
            engine = names[self.turn % len(names)]
            decided.dispatches.append(Dispatch(sequence, engine, 0))
        self.waiting = []
        return decided

    def prefilled(self, sequence: Sequence, engine: str) -> None:
        """Do nothing."""

    def hand_on(self, sequence: Sequence) -> str:
        """Choose the next mixed engine in turn."""
        names = self._names(MIXED)
        self.turn += 1
        return names[self.turn % len(names)] if names else ''

    def ended(self, sequence: Sequence, engine: str) -> None:
        """Do nothing."""

    def crashed(self, sequence: Sequence, now: float) -> bool:
        """Run it again."""
        self.waiting.append(sequence)
        return True

    def observe(self, reports: SequenceOf[EngineReport]) -> None:
        """Take in load reports."""
        self.reports = {one.view.name: one for one in reports}

    def plan(self, roles: Mapping[str, str], now: float) -> dict[str, str]:
        """Keep a third of the engines in the role prefill."""
        names = sorted(roles)
        third = max(len(names) // 3, 1)
        return {
            name: PREFILL if place < third else MIXED
            for place, name in enumerate(names)
        }

    def _names(self, role: str) -> list[str]:
        return sorted(
            name
            for name, one in self.reports.items()
            if one.takes_work and one.view.role == role
        )


class GreedyPolicy(FixedSplitPolicy):
    """Baseline: least loaded engine, roles by thresholds, rank as priority."""

    def __init__(
        self, kinds: Mapping[str, WorkKind], rates: EngineRates
    ) -> None:
        super().__init__(kinds, rates)
        self.rates = rates
        self.sent: Counter[str] = Counter()
        self.handed: Counter[str] = Counter()

    def decide(self, now: float) -> Decided:
        """Send everything at once to the engine with the least to prefill."""
        decided = Decided([], [])
        usable = [one.view for one in self.reports.values() if one.takes_work]
        if not usable:
            return decided
        for sequence in self.waiting:
            engine = min(usable, key=self._prefill_load).name
            self.sent[engine] += round(sequence.prompt)
            level = LEVELS[self.kinds[sequence.kind].rank]
            decided.dispatches.append(Dispatch(sequence, engine, level))
        self.waiting = []
        return decided

    def hand_on(self, sequence: Sequence) -> str:
        """Choose the mixed engine with the fewest sequences."""
        usable = [
            one.view
            for one in self.reports.values()
            if one.takes_work and one.view.role == MIXED
        ]
        if not usable:
            return ''
        chosen = min(
            usable, key=lambda one: one.running + self.handed[one.name]
        )
        self.handed[chosen.name] += 1
        return chosen.name

    def observe(self, reports: SequenceOf[EngineReport]) -> None:
        """Take in load reports."""
        super().observe(reports)
        self.sent.clear()
        self.handed.clear()

    def plan(self, roles: Mapping[str, str], now: float) -> dict[str, str]:
        """Move one engine whenever a threshold is passed."""
        planned = {name: role or MIXED for name, role in roles.items()}
        views = [one.view for one in self.reports.values()]
        mixed = sorted(one for one, role in planned.items() if role == MIXED)
        prefill = sorted(planned.keys() - set(mixed))
        rate = self.rates.prefill_tokens_per_second
        backlog = sum(one.prefill_tokens for one in views)
        seconds = backlog / rate / max(len(views), 1)
        running = sum(one.running for one in views)
        occupancy = running / max(len(mixed) * self.rates.slots, 1)
        if occupancy > GREEDY_OCCUPANCY and prefill:
            planned[prefill[0]] = MIXED
        elif seconds > GREEDY_BACKLOG_SECONDS and len(mixed) > 1:
            planned[mixed[0]] = PREFILL
        return planned

    def _prefill_load(self, view: EngineView) -> float:
        tokens = view.prefill_tokens + self.sent[view.name]
        slow = 1 if view.role == PREFILL else 3
        return tokens * slow + view.running
