"""Choice of an engine: predicted first token, decode pressure, cache.

Load reports lag, so what this entry itself sent since a report was made is
added to it.  A few engines are sampled, together with those that hold the
prompt's prefix, so the cost does not grow with the cell.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Final, NamedTuple

SAMPLE_SIZE: Final = 8
CACHE_ENTRIES_LIMIT: Final = 4096
BLOCK_CHARACTERS: Final = 256
LEAST_URGENT: Final = 9
PREFILL: Final = 'prefill'
BETWEEN_TOKENS_SECONDS: Final = 0.052
SENDS_KEPT_LIMIT: Final = 512
_FAR_PENALTY_SECONDS: Final = 0.005
_LEAST_PREFILL_PART: Final = 0.05


class EngineRates(NamedTuple):
    """How fast an engine works; its time model in short."""

    # Prompt tokens that an engine prefills in a second.
    prefill_tokens_per_second: float = 8000

    # Time of a decode step with an empty batch, in seconds.
    step_seconds: float = 0.02

    # What each sequence adds to a decode step, in seconds.
    step_seconds_per_sequence: float = 0.0005

    # Sequences that an engine decodes at once.
    slots: int = 64


class EngineView(NamedTuple):
    """An engine as an entry sees it."""

    # Name of the engine.
    name: str

    # Prefill, decode or mixed.
    role: str

    # Sequences running and waiting at the last report.
    running: int

    # Prompt tokens not prefilled at the last report.
    prefill_tokens: int

    # When the report was made, on the own clock.
    reported_at: float

    # True if it is in the entry's own failure domain.
    near: bool = True

    # Prompt tokens not prefilled by priority, from 0; empty if unknown.
    prefill_by_priority: tuple[float, ...] = ()


class Sent(NamedTuple):
    """Work that this entry sent to an engine."""

    # When it was sent, on the own clock.
    sent_at: float

    # Prompt tokens that are to be prefilled.
    prefill_tokens: int

    # Priority that it was sent with; lower is more urgent.
    priority: int = 0


class Choice(NamedTuple):
    """The engine chosen, and what was predicted of it."""

    # Name of the engine.
    engine: str

    # Predicted time to the first token, in seconds.
    first_token_seconds: float

    # Prompt tokens that its cache is thought to hold.
    cached_tokens: int


class PrefixIndex:
    """Which engines are thought to hold which prompt prefixes.

    Keys carry the caller, so reuse never crosses customers.
    """

    def __init__(self) -> None:
        self.holders: OrderedDict[str, dict[str, int]] = OrderedDict()

    def record(self, key: str, engine: str, tokens: int) -> None:
        """Note that an engine holds a prefix of so many tokens."""
        holders = self.holders.setdefault(key, {})
        holders[engine] = tokens
        self.holders.move_to_end(key)
        while len(self.holders) > CACHE_ENTRIES_LIMIT:
            self.holders.popitem(last=False)

    def forget_engine(self, engine: str) -> None:
        """Drop what an engine held, after it crashed or changed role."""
        for holders in self.holders.values():
            holders.pop(engine, None)

    def forget(self, key: str, engine: str) -> None:
        """Drop one prefix of an engine, after it was evicted."""
        self.holders.get(key, {}).pop(engine, None)

    def find(self, key: str) -> dict[str, int]:
        """Return the cached tokens by engine for a prefix."""
        return self.holders.get(key, {})


class EngineChooser:
    """Chooses engines for one entry; one task owns it."""

    def __init__(self, rates: EngineRates, rng: random.Random) -> None:
        self.rates = rates
        self.rng = rng
        self.prefixes = PrefixIndex()
        self.sent: dict[str, deque[Sent]] = {}

    def choose(
        self,
        engines: Sequence[EngineView],
        prefix: str,
        prompt_tokens: int,
        now: float,
        priority: int = LEAST_URGENT,
    ) -> Choice | None:
        """Choose the engine with the best score, None without engines.

        Work that is less urgent than ``priority`` is not waited for.
        """
        if not engines:
            return None
        cached = self.prefixes.find(prefix)
        candidates = self._sample(engines, cached)
        best: Choice | None = None
        best_score = float('inf')
        for engine in candidates:
            held = min(cached.get(engine.name, 0), prompt_tokens)
            seconds = self._predict(engine, prompt_tokens - held, now, priority)
            score = seconds + self._pressure(engine)
            if score < best_score:
                best_score = score
                best = Choice(engine.name, seconds, held)
        return best

    def record_sent(self, engine: str, sent: Sent) -> None:
        """Note work sent to an engine, to correct its next reports."""
        kept = self.sent.setdefault(engine, deque(maxlen=SENDS_KEPT_LIMIT))
        kept.append(sent)

    def _sample(
        self, engines: Sequence[EngineView], cached: dict[str, int]
    ) -> Sequence[EngineView]:
        if len(engines) <= SAMPLE_SIZE:
            return engines
        sampled = self.rng.sample(engines, SAMPLE_SIZE)
        if cached:
            sampled.extend(one for one in engines if one.name in cached)
        return sampled

    def _unreported(self, engine: EngineView) -> deque[Sent]:
        kept = self.sent.get(engine.name)
        if kept is None:
            return deque()
        while kept and kept[0].sent_at <= engine.reported_at:
            kept.popleft()
        return kept

    def _predict(
        self, engine: EngineView, uncached: int, now: float, priority: int
    ) -> float:
        rate = self._prefill_rate(engine)
        elapsed = max(now - engine.reported_at, 0)
        backlog = tokens_ahead(engine, priority) - elapsed * rate
        for one in self._unreported(engine):
            if one.priority <= priority:
                backlog = max(backlog, 0) + one.prefill_tokens
        far = 0 if engine.near else _FAR_PENALTY_SECONDS
        return (max(backlog, 0) + uncached) / rate + far

    def _prefill_rate(self, engine: EngineView) -> float:
        """Return the prompt tokens a second; mixed engines prefill slowly."""
        full = self.rates.prefill_tokens_per_second
        if engine.role == PREFILL:
            return full
        left = BETWEEN_TOKENS_SECONDS - self._step_seconds(engine.running)
        part = max(left / BETWEEN_TOKENS_SECONDS, _LEAST_PREFILL_PART)
        return full * part

    def _step_seconds(self, running: int) -> float:
        return (
            self.rates.step_seconds
            + self.rates.step_seconds_per_sequence * running
        )

    def _pressure(self, engine: EngineView) -> float:
        if engine.role == PREFILL:
            return 0
        running = engine.running + len(self._unreported(engine))
        over = max(running - self.rates.slots, 0)
        return self._step_seconds(running) + over * self.rates.step_seconds


def tokens_ahead(engine: EngineView, priority: int) -> float:
    """Return the prompt tokens that go before work of a priority."""
    if not engine.prefill_by_priority:
        return engine.prefill_tokens
    return sum(engine.prefill_by_priority[: priority + 1])
