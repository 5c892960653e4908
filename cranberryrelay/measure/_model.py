"""Simulated engines for the policy measurements.

docs/ENGINE_MODEL.md derives the time model; its parameters come from a TOML
file.  Time advances in steps of ``STEP_SECONDS``; within a step, prefill and
decode progress at rates that depend on the role and the batch size.
"""

from typing import Final, NamedTuple

from cranberryrelay.policy import (
    INTER_TOKEN_TARGET_SECONDS,
    MIXED,
    PREFILL,
    EngineRates,
)

STEP_SECONDS: Final = 0.05
ROLE_CHANGE_SECONDS: Final = 4.0
TRANSFER_SECONDS_PER_TOKEN: Final = 0.0000064
CRASH_RECOVERY_SECONDS: Final = 20.0


class Sequence:
    """The state of a request that engines prefill and decode."""

    def __init__(
        self,
        number: int,
        kind: str,
        prompt: float,
        output: int,
        arrived_at: float,
    ) -> None:
        self.number = number
        self.kind = kind
        self.prompt = prompt
        self.output = output
        self.arrived_at = arrived_at
        self.priority = 0
        self.prefill_tokens_left = prompt
        self.decode_tokens_left = float(output)
        self.ready_at = float(0)
        self.first_token_at = float(-1)
        self.ended_at = float(-1)
        self.refused = False
        self.poison = False
        self.attempts = 0

    @property
    def work_order(self) -> tuple[int, int]:
        """Return the key by which engines order their work."""
        return self.priority, self.number

    def mean_inter_token_seconds(self) -> float:
        """Return the mean inter-token latency, in seconds."""
        return (self.ended_at - self.first_token_at) / max(self.output, 1)


class StepResult(NamedTuple):
    """The sequences that changed state on an engine in one time step."""

    # Sequences whose prompt is now fully prefilled.
    prefilled: list[Sequence]

    # Sequences that now have all their output tokens.
    completed: list[Sequence]

    # Sequences lost in a crash of the engine.
    lost: list[Sequence]


class SimulatedEngine:
    """A simulated engine."""

    def __init__(self, name: str, rates: EngineRates) -> None:
        self.name = name
        self.rates = rates
        self.role = MIXED
        self.next_role = ''
        self.unavailable_until = float(0)
        self.withdrawn = False
        self.prefilling: list[Sequence] = []
        self.decoding: list[Sequence] = []
        self.role_changes = 0
        self.crashes = 0

    def takes_work(self, now: float) -> bool:
        """Return whether the engine accepts new work."""
        unavailable = now < self.unavailable_until or self.withdrawn
        return not (unavailable or self.next_role)

    def change_role(self, role: str) -> None:
        """Start draining the engine to change its role."""
        if role not in {self.role, self.next_role}:
            self.next_role = role

    def advance(self, now: float) -> StepResult:
        """Advance the engine by one time step."""
        step_result = StepResult([], [], [])
        if now < self.unavailable_until:
            return step_result
        if self.next_role and not (self.prefilling or self.decoding):
            self.role = self.next_role
            self.next_role = ''
            self.role_changes += 1
            self.unavailable_until = now + ROLE_CHANGE_SECONDS
            return step_result
        batch = self._pick_batch(now)
        budget = self._prefill_budget(len(batch))
        self._decode(
            batch,
            is_prefilling=bool(self.prefilling),
            now=now,
            completed=step_result.completed,
        )
        self._prefill(budget, now, step_result)
        return step_result

    def crash(self, now: float) -> list[Sequence]:
        """Drop and return all work; the engine recovers after a delay."""
        lost = [*self.prefilling, *self.decoding]
        self.prefilling = []
        self.decoding = []
        self.unavailable_until = now + CRASH_RECOVERY_SECONDS
        self.crashes += 1
        return lost

    def _pick_batch(self, now: float) -> list[Sequence]:
        ready = [
            sequence for sequence in self.decoding if sequence.ready_at <= now
        ]
        if len(ready) > self.rates.slots:
            ready.sort(key=lambda sequence: sequence.work_order)
            ready = ready[: self.rates.slots]
        return ready

    def _decode_step_seconds(self, batch: int) -> float:
        return (
            self.rates.step_seconds
            + self.rates.step_seconds_per_sequence * batch
        )

    def _prefill_budget(self, batch: int) -> float:
        rate = self.rates.prefill_tokens_per_second
        if self.role == PREFILL and not batch:
            return rate * STEP_SECONDS
        decode_free_seconds = max(
            INTER_TOKEN_TARGET_SECONDS - self._decode_step_seconds(batch), 0
        )
        return (
            rate
            * STEP_SECONDS
            * decode_free_seconds
            / INTER_TOKEN_TARGET_SECONDS
        )

    def _decode(
        self,
        batch: list[Sequence],
        *,
        is_prefilling: bool,
        now: float,
        completed: list[Sequence],
    ) -> None:
        step = self._decode_step_seconds(len(batch))
        if is_prefilling:
            step = max(step, INTER_TOKEN_TARGET_SECONDS)
        tokens = STEP_SECONDS / step
        for sequence in batch:
            sequence.decode_tokens_left -= tokens
            if sequence.decode_tokens_left <= 0:
                sequence.ended_at = now + STEP_SECONDS
                completed.append(sequence)
        if completed:
            self.decoding = [
                sequence
                for sequence in self.decoding
                if sequence.decode_tokens_left > 0
            ]

    def _prefill(
        self, budget: float, now: float, step_result: StepResult
    ) -> None:
        while budget > 0 and self.prefilling:
            first = self.prefilling[0]
            tokens = min(budget, first.prefill_tokens_left)
            first.prefill_tokens_left -= tokens
            budget -= tokens
            if first.prefill_tokens_left > 0:
                return
            if first.poison:
                step_result.lost.extend(self.crash(now))
                return
            self.prefilling.pop(0)
            first.first_token_at = now + STEP_SECONDS
            step_result.prefilled.append(first)
