"""The time model of engines for the policy measurements.

docs/ENGINE_MODEL.md derives it; its parameters come from a TOML file.
Time goes on in steps of ``STEP_SECONDS``; within a step, prefill and decode
make progress at the rates that the role and the batch give.
"""

from typing import Final, NamedTuple

from cranberryrelay.policy import (
    BETWEEN_TOKENS_SECONDS,
    MIXED,
    PREFILL,
    EngineRates,
)

STEP_SECONDS: Final = 0.05
CHANGE_SECONDS: Final = 4.0
TRANSFER_SECONDS_PER_TOKEN: Final = 0.0000064
CRASH_SECONDS: Final = 20.0


class Sequence:
    """A request on its way through engines."""

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
        self.prefill_left = prompt
        self.decode_left = float(output)
        self.ready_at = float(0)
        self.first_token_at = float(-1)
        self.ended_at = float(-1)
        self.refused = False
        self.poison = False
        self.attempts = 0

    @property
    def place(self) -> tuple[int, int]:
        """Return its place in an engine's order of work."""
        return self.priority, self.number

    def between_tokens(self) -> float:
        """Return the mean time between its tokens, in seconds."""
        return (self.ended_at - self.first_token_at) / max(self.output, 1)


class Advanced(NamedTuple):
    """What happened on an engine in a step."""

    # Sequences whose prompt is prefilled.
    prefilled: list[Sequence]

    # Sequences that have all their tokens.
    ended: list[Sequence]

    # Sequences that were lost in a crash.
    lost: list[Sequence]


class ModelEngine:
    """One engine of the model."""

    def __init__(self, name: str, rates: EngineRates) -> None:
        self.name = name
        self.rates = rates
        self.role = MIXED
        self.next_role = ''
        self.away_until = float(0)
        self.withdrawn = False
        self.prefilling: list[Sequence] = []
        self.decoding: list[Sequence] = []
        self.role_changes = 0
        self.crashes = 0

    def takes_work(self, now: float) -> bool:
        """Tell if the engine takes new work."""
        away = now < self.away_until or self.withdrawn
        return not (away or self.next_role)

    def change_role(self, role: str) -> None:
        """Drain, then take another role."""
        if role not in {self.role, self.next_role}:
            self.next_role = role

    def advance(self, now: float) -> Advanced:
        """Let one step of time pass."""
        advanced = Advanced([], [], [])
        if now < self.away_until:
            return advanced
        if self.next_role and not (self.prefilling or self.decoding):
            self.role = self.next_role
            self.next_role = ''
            self.role_changes += 1
            self.away_until = now + CHANGE_SECONDS
            return advanced
        batch = self._pick_batch(now)
        budget = self._prefill_tokens(len(batch))
        self._decode(
            batch, prefills=bool(self.prefilling), now=now, ended=advanced.ended
        )
        self._prefill(budget, now, advanced)
        return advanced

    def crash(self, now: float) -> list[Sequence]:
        """Lose all work and be away for a while."""
        lost = [*self.prefilling, *self.decoding]
        self.prefilling = []
        self.decoding = []
        self.away_until = now + CRASH_SECONDS
        self.crashes += 1
        return lost

    def _pick_batch(self, now: float) -> list[Sequence]:
        ready = [one for one in self.decoding if one.ready_at <= now]
        if len(ready) > self.rates.slots:
            ready.sort(key=lambda one: one.place)
            ready = ready[: self.rates.slots]
        return ready

    def _step_seconds(self, batch: int) -> float:
        return (
            self.rates.step_seconds
            + self.rates.step_seconds_per_sequence * batch
        )

    def _prefill_tokens(self, batch: int) -> float:
        rate = self.rates.prefill_tokens_per_second
        if self.role == PREFILL and not batch:
            return rate * STEP_SECONDS
        left = max(BETWEEN_TOKENS_SECONDS - self._step_seconds(batch), 0)
        return rate * STEP_SECONDS * left / BETWEEN_TOKENS_SECONDS

    def _decode(
        self,
        batch: list[Sequence],
        *,
        prefills: bool,
        now: float,
        ended: list[Sequence],
    ) -> None:
        step = self._step_seconds(len(batch))
        if prefills:
            step = max(step, BETWEEN_TOKENS_SECONDS)
        tokens = STEP_SECONDS / step
        for one in batch:
            one.decode_left -= tokens
            if one.decode_left <= 0:
                one.ended_at = now + STEP_SECONDS
                ended.append(one)
        if ended:
            self.decoding = [
                one for one in self.decoding if one.decode_left > 0
            ]

    def _prefill(self, budget: float, now: float, advanced: Advanced) -> None:
        while budget > 0 and self.prefilling:
            first = self.prefilling[0]
            done = min(budget, first.prefill_left)
            first.prefill_left -= done
            budget -= done
            if first.prefill_left > 0:
                return
            if first.poison:
                advanced.lost.extend(self.crash(now))
                return
            self.prefilling.pop(0)
            first.first_token_at = now + STEP_SECONDS
            advanced.prefilled.append(first)
