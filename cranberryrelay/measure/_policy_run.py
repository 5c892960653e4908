"""Runs one policy through one scenario and says what the ranks got."""

from bisect import insort
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from cranberryrelay.measure._model import (
    STEP_SECONDS,
    TRANSFER_SECONDS_PER_TOKEN,
    Advanced,
    ModelEngine,
    Sequence,
)
from cranberryrelay.measure._oracle import engine_seconds
from cranberryrelay.measure._policies import Dispatch, EngineReport, Policy
from cranberryrelay.measure._workload import (
    Scenario,
    Workload,
    scenario_seconds,
)
from cranberryrelay.policy import (
    BETWEEN_TOKENS_SECONDS,
    PREFILL,
    EngineRates,
    EngineView,
)

REPORT_SECONDS: Final = 0.5
PLAN_SECONDS: Final = 1.0
TAIL_SECONDS: Final = 60.0
PRIORITIES: Final = 8
POISON_REPEATS: Final = 6
POISON_EVERY_SECONDS: Final = 10.0


class RankOutcome(NamedTuple):
    """What one rank got."""

    # Name of the rank.
    rank: str

    # Requests that arrived.
    arrived: int

    # Requests answered whole, within both targets.
    within_target: int

    # Requests refused before they ran.
    refused: int

    # Engine seconds that its requests ask for.
    asked_seconds: float

    # Engine seconds of what was answered within target.
    useful_seconds: float

    # Times to the first token of what was answered, in seconds, sorted.
    first_token: list[float]

    # Mean times between tokens of what was answered, in seconds, sorted.
    between_tokens: list[float]


class RunOutcome(NamedTuple):
    """What a policy did in a scenario."""

    # By rank.
    ranks: list[RankOutcome]

    # Role changes made.
    role_changes: int

    # Engine crashes.
    engines_lost: int

    # Requests answered within target by minute.
    goodput: int


class PolicyRun:
    """One policy, one scenario, one site."""

    def __init__(
        self,
        policy: Policy,
        workload: Workload,
        scenario: Scenario,
        engines: int,
        rates: EngineRates,
    ) -> None:
        self.policy = policy
        self.workload = workload
        self.scenario = scenario
        self.rates = rates
        self.engines = {
            f'engine-{number:04}': ModelEngine(f'engine-{number:04}', rates)
            for number in range(engines)
        }
        self.on_the_way: deque[tuple[float, list[EngineReport]]] = deque()
        self.now = float(0)
        self.reported_at = float('-inf')
        self.planned_at = float('-inf')
        self.homeless: list[Sequence] = []

    def run(self, arrivals: list[Sequence]) -> RunOutcome:
        """Let the scenario pass."""
        end = scenario_seconds(self.scenario) + TAIL_SECONDS
        queue = deque(arrivals)
        poisons = self._make_poisons(len(arrivals))
        self.policy.observe(self._report())
        first = self.policy.plan(self._roles(), self.now)
        for name, role in first.items():
            self.engines[name].role = role
        while self.now < end:
            while queue and queue[0].arrived_at <= self.now:
                self._offer(queue.popleft())
            while poisons and poisons[0].arrived_at <= self.now:
                self._offer(poisons.popleft())
            self._control()
            decided = self.policy.decide(self.now)
            for refused in decided.refused:
                refused.refused = True
            for dispatch in decided.dispatches:
                self._dispatch(dispatch)
            for engine in self.engines.values():
                self._take(engine, engine.advance(self.now))
            self._find_homes()
            self.now = round(self.now + STEP_SECONDS, 6)
        return self._judge(arrivals)

    def _offer(self, sequence: Sequence) -> None:
        sequence.refused = not self.policy.offer(sequence, self.now)

    def _dispatch(self, dispatch: Dispatch) -> None:
        sequence = dispatch.sequence
        sequence.priority = dispatch.priority
        sequence.attempts += 1
        sequence.prefill_left = sequence.prompt
        engine = self.engines[dispatch.engine]
        insort(engine.prefilling, sequence, key=lambda one: one.place)

    def _take(self, engine: ModelEngine, advanced: Advanced) -> None:
        for sequence in advanced.prefilled:
            self.policy.prefilled(sequence, engine.name)
            if engine.role == PREFILL:
                self.homeless.append(sequence)
            else:
                sequence.ready_at = self.now
                engine.decoding.append(sequence)
        for ended in advanced.ended:
            self.policy.ended(ended, engine.name)
        for lost in advanced.lost:
            again = self.policy.crashed(lost, self.now)
            lost.refused = not again
            lost.first_token_at = -1

    def _find_homes(self) -> None:
        waiting = self.homeless
        self.homeless = []
        for sequence in waiting:
            name = self.policy.hand_on(sequence)
            if not name:
                self.homeless.append(sequence)
                continue
            transfer = sequence.prompt * TRANSFER_SECONDS_PER_TOKEN
            sequence.ready_at = self.now + transfer
            self.engines[name].decoding.append(sequence)

    def _control(self) -> None:
        scenario = self.scenario
        if 0 <= scenario.withdraw_at <= self.now:
            self.engines['engine-0000'].withdrawn = True
        stops = scenario.control_stops_at
        back = self.now >= scenario.control_returns_at
        stopped = 0 <= stops <= self.now and not back
        if self.now - self.reported_at >= REPORT_SECONDS:
            self.reported_at = self.now
            due_at = self.now + scenario.report_lag_seconds
            self.on_the_way.append((due_at, self._report()))
        while self.on_the_way and self.on_the_way[0][0] <= self.now:
            _, reports = self.on_the_way.popleft()
            if not (stopped and scenario.reports_stop):
                self.policy.observe(reports)
        if stopped or self.now - self.planned_at < PLAN_SECONDS:
            return
        self.planned_at = self.now
        planned = self.policy.plan(self._roles(), self.now)
        for name, role in planned.items():
            self.engines[name].change_role(role)

    def _roles(self) -> dict[str, str]:
        return {
            name: engine.next_role or engine.role
            for name, engine in self.engines.items()
            if not engine.withdrawn
        }

    def _report(self) -> list[EngineReport]:
        return [
            EngineReport(
                EngineView(
                    name=engine.name,
                    role=engine.role,
                    running=len(engine.decoding),
                    prefill_tokens=round(
                        sum(one.prefill_left for one in engine.prefilling)
                    ),
                    reported_at=self.now,
                    prefill_by_priority=_by_priority(engine.prefilling),
                ),
                engine.takes_work(self.now),
            )
            for engine in self.engines.values()
        ]

    def _make_poisons(self, first: int) -> deque[Sequence]:
        poisons: deque[Sequence] = deque()
        if self.scenario.poison_at < 0:
            return poisons
        for repeat in range(POISON_REPEATS):
            at = self.scenario.poison_at + repeat * POISON_EVERY_SECONDS
            poison = Sequence(first, 'tags', 400, 10, at)
            poison.poison = True
            poisons.append(poison)
        return poisons

    def _judge(self, arrivals: list[Sequence]) -> RunOutcome:
        kinds = self.workload.kinds
        by_rank: dict[str, list[Sequence]] = {}
        for one in arrivals:
            by_rank.setdefault(kinds[one.kind].rank, []).append(one)
        ranks = [
            self._judge_rank(rank, sequences)
            for rank, sequences in sorted(by_rank.items())
        ]
        engines = self.engines.values()
        return RunOutcome(
            ranks=ranks,
            role_changes=sum(one.role_changes for one in engines),
            engines_lost=sum(one.crashes for one in engines),
            goodput=sum(rank.within_target for rank in ranks),
        )

    def _judge_rank(
        self, rank: str, sequences: Iterable[Sequence]
    ) -> RankOutcome:
        everything = list(sequences)
        answered = [one for one in everything if one.ended_at >= 0]
        return RankOutcome(
            rank=rank,
            arrived=len(everything),
            within_target=sum(1 for one in answered if self._is_good(one)),
            refused=sum(1 for one in everything if one.refused),
            asked_seconds=sum(
                engine_seconds(one, self.rates) for one in everything
            ),
            useful_seconds=sum(
                engine_seconds(one, self.rates)
                for one in answered
                if self._is_good(one)
            ),
            first_token=sorted(
                one.first_token_at - one.arrived_at for one in answered
            ),
            between_tokens=sorted(one.between_tokens() for one in answered),
        )

    def _is_good(self, sequence: Sequence) -> bool:
        kind = self.workload.kinds[sequence.kind]
        first = sequence.first_token_at - sequence.arrived_at
        decoding = sequence.ended_at - sequence.first_token_at
        allowed = sequence.output * BETWEEN_TOKENS_SECONDS + STEP_SECONDS
        return first <= kind.first_token_seconds and decoding <= allowed


def _by_priority(sequences: Iterable[Sequence]) -> tuple[float, ...]:
    tokens = [float(0) for _ in range(PRIORITIES)]
    for one in sequences:
        tokens[one.priority] += one.prefill_left
    return tuple(tokens)
