"""Simulates one policy in one scenario and summarizes it by rank."""

from bisect import insort
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from cranberryrelay.measure._model import (
    STEP_SECONDS,
    TRANSFER_SECONDS_PER_TOKEN,
    Sequence,
    SimulatedEngine,
    StepResult,
)
from cranberryrelay.measure._oracle import minimum_engine_seconds
from cranberryrelay.measure._policies import Dispatch, EngineReport, Policy
from cranberryrelay.measure._workload import (
    Scenario,
    Workload,
    scenario_seconds,
)
from cranberryrelay.policy import (
    INTER_TOKEN_TARGET_SECONDS,
    PREFILL,
    EngineRates,
    EngineView,
)

REPORT_INTERVAL_SECONDS: Final = 0.5
PLAN_INTERVAL_SECONDS: Final = 1.0
DRAIN_SECONDS: Final = 60.0
PRIORITY_COUNT: Final = 8
POISON_REPEATS: Final = 6
POISON_INTERVAL_SECONDS: Final = 10.0


class RankOutcome(NamedTuple):
    """The results of one rank."""

    # Name of the rank.
    rank: str

    # Requests that arrived.
    arrived: int

    # Requests answered completely, within both latency targets.
    within_target: int

    # Requests refused before they ran.
    refused: int

    # Least engine time that its requests need, in seconds.
    demanded_seconds: float

    # Least engine time of the requests within both targets, in seconds.
    useful_seconds: float

    # Times to first token of answered requests, in seconds, sorted.
    first_token: list[float]

    # Mean inter-token latencies of answered requests, in seconds, sorted.
    inter_token_seconds: list[float]


class RunOutcome(NamedTuple):
    """The results of a policy in a scenario."""

    # Results of each rank, sorted by name.
    ranks: list[RankOutcome]

    # Completed role changes of all engines.
    role_changes: int

    # Crashes of all engines.
    engines_lost: int

    # Requests answered within both targets, of all ranks.
    goodput: int


class PolicyRun:
    """A simulation of one policy in one scenario at one site."""

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
            f'engine-{number:04}': SimulatedEngine(f'engine-{number:04}', rates)
            for number in range(engines)
        }
        self.delayed_reports: deque[tuple[float, list[EngineReport]]] = deque()
        self.now = float(0)
        self.reported_at = float('-inf')
        self.planned_at = float('-inf')
        self.awaiting_decoder: list[Sequence] = []

    def run(self, arrivals: list[Sequence]) -> RunOutcome:
        """Simulate the scenario and the time to drain it."""
        end = scenario_seconds(self.scenario) + DRAIN_SECONDS
        queue = deque(arrivals)
        poisons = self._make_poisons(len(arrivals))
        self.policy.observe(self._collect_reports())
        initial_roles = self.policy.plan(self._roles(), self.now)
        for name, role in initial_roles.items():
            self.engines[name].role = role
        while self.now < end:
            while queue and queue[0].arrived_at <= self.now:
                self._offer(queue.popleft())
            while poisons and poisons[0].arrived_at <= self.now:
                self._offer(poisons.popleft())
            self._run_control_plane()
            decision = self.policy.decide(self.now)
            for refused in decision.refused:
                refused.refused = True
            for dispatch in decision.dispatches:
                self._dispatch(dispatch)
            for engine in self.engines.values():
                self._apply_step(engine, engine.advance(self.now))
            self._assign_decoders()
            self.now = round(self.now + STEP_SECONDS, 6)
        return self._summarize(arrivals)

    def _offer(self, sequence: Sequence) -> None:
        sequence.refused = not self.policy.offer(sequence, self.now)

    def _dispatch(self, dispatch: Dispatch) -> None:
        sequence = dispatch.sequence
        sequence.priority = dispatch.priority
        sequence.attempts += 1
        sequence.prefill_tokens_left = sequence.prompt
        engine = self.engines[dispatch.engine]
        insort(
            engine.prefilling, sequence, key=lambda queued: queued.work_order
        )

    def _apply_step(
        self, engine: SimulatedEngine, step_result: StepResult
    ) -> None:
        for sequence in step_result.prefilled:
            self.policy.record_prefilled(sequence, engine.name)
            if engine.role == PREFILL:
                self.awaiting_decoder.append(sequence)
            else:
                sequence.ready_at = self.now
                engine.decoding.append(sequence)
        for completed in step_result.completed:
            self.policy.record_completed(completed, engine.name)
        for lost in step_result.lost:
            retried = self.policy.record_crash(lost, self.now)
            lost.refused = not retried
            lost.first_token_at = -1

    def _assign_decoders(self) -> None:
        waiting = self.awaiting_decoder
        self.awaiting_decoder = []
        for sequence in waiting:
            name = self.policy.choose_decoder(sequence)
            if not name:
                self.awaiting_decoder.append(sequence)
                continue
            transfer = sequence.prompt * TRANSFER_SECONDS_PER_TOKEN
            sequence.ready_at = self.now + transfer
            self.engines[name].decoding.append(sequence)

    def _run_control_plane(self) -> None:
        scenario = self.scenario
        if 0 <= scenario.withdraw_at <= self.now:
            self.engines['engine-0000'].withdrawn = True
        stops_at = scenario.control_stops_at
        returned = self.now >= scenario.control_returns_at
        stopped = 0 <= stops_at <= self.now and not returned
        if self.now - self.reported_at >= REPORT_INTERVAL_SECONDS:
            self.reported_at = self.now
            due_at = self.now + scenario.report_lag_seconds
            self.delayed_reports.append((due_at, self._collect_reports()))
        while self.delayed_reports and self.delayed_reports[0][0] <= self.now:
            _, reports = self.delayed_reports.popleft()
            if not (stopped and scenario.reports_stop):
                self.policy.observe(reports)
        if stopped or self.now - self.planned_at < PLAN_INTERVAL_SECONDS:
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

    def _collect_reports(self) -> list[EngineReport]:
        return [
            EngineReport(
                EngineView(
                    name=engine.name,
                    role=engine.role,
                    running=len(engine.decoding),
                    prefill_tokens=round(
                        sum(
                            sequence.prefill_tokens_left
                            for sequence in engine.prefilling
                        )
                    ),
                    reported_at=self.now,
                    prefill_by_priority=_sum_prefill_by_priority(
                        engine.prefilling
                    ),
                ),
                engine.takes_work(self.now),
            )
            for engine in self.engines.values()
        ]

    def _make_poisons(self, number: int) -> deque[Sequence]:
        poisons: deque[Sequence] = deque()
        if self.scenario.poison_at < 0:
            return poisons
        for repeat in range(POISON_REPEATS):
            at = self.scenario.poison_at + repeat * POISON_INTERVAL_SECONDS
            poison = Sequence(number, 'tags', 400, 10, at)
            poison.poison = True
            poisons.append(poison)
        return poisons

    def _summarize(self, arrivals: list[Sequence]) -> RunOutcome:
        kinds = self.workload.kinds
        by_rank: dict[str, list[Sequence]] = {}
        for sequence in arrivals:
            by_rank.setdefault(kinds[sequence.kind].rank, []).append(sequence)
        ranks = [
            self._summarize_rank(rank, sequences)
            for rank, sequences in sorted(by_rank.items())
        ]
        engines = self.engines.values()
        return RunOutcome(
            ranks=ranks,
            role_changes=sum(engine.role_changes for engine in engines),
            engines_lost=sum(engine.crashes for engine in engines),
            goodput=sum(rank.within_target for rank in ranks),
        )

    def _summarize_rank(
        self, rank: str, sequences: Iterable[Sequence]
    ) -> RankOutcome:
        requests = list(sequences)
        answered = [sequence for sequence in requests if sequence.ended_at >= 0]
        return RankOutcome(
            rank=rank,
            arrived=len(requests),
            within_target=sum(
                1 for sequence in answered if self._is_within_targets(sequence)
            ),
            refused=sum(1 for sequence in requests if sequence.refused),
            demanded_seconds=sum(
                minimum_engine_seconds(sequence, self.rates)
                for sequence in requests
            ),
            useful_seconds=sum(
                minimum_engine_seconds(sequence, self.rates)
                for sequence in answered
                if self._is_within_targets(sequence)
            ),
            first_token=sorted(
                sequence.first_token_at - sequence.arrived_at
                for sequence in answered
            ),
            inter_token_seconds=sorted(
                sequence.mean_inter_token_seconds() for sequence in answered
            ),
        )

    def _is_within_targets(self, sequence: Sequence) -> bool:
        kind = self.workload.kinds[sequence.kind]
        time_to_first_token = sequence.first_token_at - sequence.arrived_at
        decoding = sequence.ended_at - sequence.first_token_at
        allowed_decoding = (
            sequence.output * INTER_TOKEN_TARGET_SECONDS + STEP_SECONDS
        )
        return (
            time_to_first_token <= kind.first_token_seconds
            and decoding <= allowed_decoding
        )


def _sum_prefill_by_priority(
    sequences: Iterable[Sequence],
) -> tuple[float, ...]:
    tokens = [float(0) for _ in range(PRIORITY_COUNT)]
    for sequence in sequences:
        tokens[sequence.priority] += sequence.prefill_tokens_left
    return tuple(tokens)
