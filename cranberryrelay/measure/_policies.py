"""What the measurements compare: our policy and two baselines.

All have one interface, so a person can add a policy in one file.
"""

import random
from collections import Counter
from collections.abc import Mapping, Sequence as SequenceOf
from typing import Final, NamedTuple, Protocol

from cranberryrelay.measure._model import Sequence
from cranberryrelay.measure._workload import WorkKind
from cranberryrelay.notes import RankRule
from cranberryrelay.policy import (
    MIXED,
    PREFILL,
    Demand,
    EngineChooser,
    EngineRates,
    EngineView,
    QueuedRequest,
    RankLimiter,
    RolePlanner,
    Sent,
    SuspectBook,
    SuspectCrash,
)

RANKS: Final = (
    RankRule('urgent', 1, 0.5, queue=400),
    RankRule('planned', 2, 0.3, queue=400),
    RankRule('overnight', 3, 0.1, queue=2000),
)
LEVELS: Final[Mapping[str, int]] = {rank.name: rank.level for rank in RANKS}
UNITS_PER_ENGINE: Final = 2.0
PREFILL_SECONDS_PER_UNIT: Final = 1.0
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

    def prefilled(self, sequence: Sequence) -> None:
        """Learn that a prompt is prefilled."""

    def hand_on(self, sequence: Sequence) -> str:
        """Choose the engine that decodes a prefilled sequence."""

    def ended(self, sequence: Sequence) -> None:
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
        self.waiting: dict[int, Sequence] = {}
        self.handed: Counter[str] = Counter()
        self.arrived: list[tuple[float, float, float]] = []
        self.decoding = 0

    def offer(self, sequence: Sequence, now: float) -> bool:
        """Queue a sequence in its rank."""
        self.arrived.append((now, sequence.prompt, sequence.output))
        return self._queue(sequence, now)

    def decide(self, now: float) -> Decided:
        """Grant slots and choose engines."""
        usable = [one.view for one in self.reports.values() if one.takes_work]
        self.limiter.configure(RANKS, len(usable) * UNITS_PER_ENGINE)
        decisions = self.limiter.decide(now)
        decided = Decided([], [])
        for late in decisions.expired:
            decided.refused.append(self.waiting.pop(late.ask))
        for grant in decisions.granted:
            sequence = self.waiting.pop(grant.request.ask)
            choice = self.chooser.choose(
                usable, '', round(sequence.prompt), now, grant.priority
            )
            if choice is None:
                decided.refused.append(sequence)
                self._release(sequence, 1, 1)
                continue
            sent = Sent(now, round(sequence.prompt), grant.priority)
            self.chooser.record_sent(choice.engine, sent)
            decided.dispatches.append(
                Dispatch(sequence, choice.engine, grant.priority)
            )
        return decided

    def prefilled(self, sequence: Sequence) -> None:
        """Give back the slots that the prompt took."""
        self.decoding += 1
        self._release(sequence, 1, 0)

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

    def ended(self, sequence: Sequence) -> None:
        """Give back the slots that the output took."""
        self.decoding -= 1
        self._release(sequence, 0, 1)
        self.suspects.clear(str(sequence.number))

    def crashed(self, sequence: Sequence, now: float) -> bool:
        """Count the crash; run again what is not held back."""
        if sequence.first_token_at >= 0:
            self.decoding -= 1
            self._release(sequence, 0, 1)
        else:
            self._release(sequence, 1, 1)
        name = str(sequence.number)
        crash = SuspectCrash(name, f'{name}.{sequence.attempts}', False)
        self.suspects.record(crash, now)
        return not self.suspects.must_refuse(name, now) and self._queue(
            sequence, now
        )

    def observe(self, reports: SequenceOf[EngineReport]) -> None:
        """Take in load reports."""
        self.reports = {one.view.name: one for one in reports}
        self.handed.clear()

    def plan(self, roles: Mapping[str, str], now: float) -> dict[str, str]:
        """Plan roles for the demand of the last seconds."""
        since = now - DEMAND_SECONDS
        self.arrived = [one for one in self.arrived if one[0] > since]
        backlog = sum(one.prompt for one in self.waiting.values())
        backlog += sum(one.view.prefill_tokens for one in self.reports.values())
        demand = Demand(
            sum(one[1] for one in self.arrived) / DEMAND_SECONDS,
            sum(one[2] for one in self.arrived) / DEMAND_SECONDS,
            backlog,
        )
        self.planner.observe(demand)
        return self.planner.plan(roles, {}, now)

    def _queue(self, sequence: Sequence, now: float) -> bool:
        kind = self.kinds[sequence.kind]
        least = sequence.prompt / self.rates.prefill_tokens_per_second
        start_by = sequence.arrived_at + kind.first_token_seconds - least
        request = QueuedRequest(
            ask=sequence.number,
            rank=kind.rank,
            caller=str(sequence.number % CALLERS),
            weight=1,
            slots=self._prefill_units(sequence) + self._decode_units(),
            start_by=start_by,
        )
        taken = self.limiter.offer(request)
        if taken:
            self.waiting[sequence.number] = sequence
        return taken

    def _release(self, sequence: Sequence, prefill: int, decode: int) -> None:
        units = prefill * self._prefill_units(sequence)
        units += decode * self._decode_units()
        self.limiter.release(self.kinds[sequence.kind].rank, units)

    def _prefill_units(self, sequence: Sequence) -> float:
        seconds = sequence.prompt / self.rates.prefill_tokens_per_second
        return seconds / PREFILL_SECONDS_PER_UNIT

    def _decode_units(self) -> float:
        return 1 / self.rates.slots


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

    def prefilled(self, sequence: Sequence) -> None:
        """Do nothing."""

    def hand_on(self, sequence: Sequence) -> str:
        """Choose the next mixed engine in turn."""
        names = self._names(MIXED)
        self.turn += 1
        return names[self.turn % len(names)] if names else ''

    def ended(self, sequence: Sequence) -> None:
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
