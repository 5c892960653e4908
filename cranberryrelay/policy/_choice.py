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


class Moved(NamedTuple):
    """A sequence of this entry that began or ended to decode."""

    # When it did, on the own clock.
    at: float

    # 1 or -1.
    change: int


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

    def find(self, key: str) -> dict[str, int]:
        """Return the cached tokens by engine for a prefix."""
        return self.holders.get(key, {})


class Estimate:
    """What an entry thinks an engine has to do, from reports and sends."""

    def __init__(self, view: EngineView, rate: float) -> None:
        self.reported_at = view.reported_at
        self.at = view.reported_at
        self.rate = rate
        self.ahead = [float(0) for _ in range(LEAST_URGENT + 1)]
        self.running = view.running
        if view.prefill_by_priority:
            for priority, tokens in enumerate(view.prefill_by_priority):
                self.ahead[priority] = tokens
        else:
            self.ahead[0] = view.prefill_tokens

    def drain(self, now: float) -> None:
        """Let the engine work up to now, the most urgent first."""
        budget = max(now - self.at, 0) * self.rate
        self.at = max(now, self.at)
        for priority, tokens in enumerate(self.ahead):
            if budget <= 0:
                return
            done = min(tokens, budget)
            self.ahead[priority] = tokens - done
            budget -= done

    def tokens_ahead(self, priority: int) -> float:
        """Return the prompt tokens that go before work of a priority."""
        return sum(self.ahead[: priority + 1])


class EngineChooser:
    """Chooses engines for one entry; one task owns it."""

    def __init__(self, rates: EngineRates, rng: random.Random) -> None:
        self.rates = rates
        self.rng = rng
        self.prefixes = PrefixIndex()
        self.sent: dict[str, deque[Sent]] = {}
        self.moved: dict[str, deque[Moved]] = {}
        self.estimates: dict[str, Estimate] = {}

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
        best: Choice | None = None
        best_score = float('inf')
        for engine in self._sample(engines, cached):
            held = min(cached.get(engine.name, 0), prompt_tokens)
            estimate = self.estimate(engine, now)
            ahead = estimate.tokens_ahead(priority) + prompt_tokens - held
            far = 0 if engine.near else _FAR_PENALTY_SECONDS
            seconds = ahead / estimate.rate + far
            score = seconds + self._pressure(engine, estimate)
            if score < best_score:
                best_score = score
                best = Choice(engine.name, seconds, held)
        return best

    def choose_decoder(
        self, engines: Sequence[EngineView], now: float
    ) -> str | None:
        """Choose the engine with the fewest sequences, None without any."""
        if not engines:
            return None
        best = min(
            engines,
            key=lambda one: (self.estimate(one, now).running, not one.near),
        )
        return best.name

    def record_sent(self, engine: str, sent: Sent) -> None:
        """Note work sent to an engine, to correct its next reports."""
        kept = self.sent.setdefault(engine, deque(maxlen=SENDS_KEPT_LIMIT))
        kept.append(sent)
        estimate = self.estimates.get(engine)
        if estimate is not None:
            estimate.drain(sent.sent_at)
            estimate.ahead[sent.priority] += sent.prefill_tokens

    def record_running(self, engine: str, now: float, change: int) -> None:
        """Note that a sequence of this entry began or ended to decode."""
        kept = self.moved.setdefault(engine, deque(maxlen=SENDS_KEPT_LIMIT))
        kept.append(Moved(now, change))
        estimate = self.estimates.get(engine)
        if estimate is not None:
            estimate.running = max(estimate.running + change, 0)

    def estimate(self, engine: EngineView, now: float) -> Estimate:
        """Return the estimate of an engine, made anew at a new report."""
        known = self.estimates.get(engine.name)
        if known is None or known.reported_at != engine.reported_at:
            known = self._make_estimate(engine)
            self.estimates[engine.name] = known
        known.drain(now)
        return known

    def _make_estimate(self, engine: EngineView) -> Estimate:
        made = Estimate(engine, self._prefill_rate(engine))
        for one in self.sent.get(engine.name, ()):
            if one.sent_at > engine.reported_at:
                made.drain(one.sent_at)
                made.ahead[one.priority] += one.prefill_tokens
        changes = sum(
            moved.change
            for moved in self.moved.get(engine.name, ())
            if moved.at > engine.reported_at
        )
        made.running = max(made.running + changes, 0)
        return made

    def _sample(
        self, engines: Sequence[EngineView], cached: dict[str, int]
    ) -> Sequence[EngineView]:
        if len(engines) <= SAMPLE_SIZE:
            return engines
        sampled = self.rng.sample(engines, SAMPLE_SIZE)
        if cached:
            sampled.extend(one for one in engines if one.name in cached)
        return sampled

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

    def _pressure(self, engine: EngineView, estimate: Estimate) -> float:
        if engine.role == PREFILL:
            return 0
        over = max(estimate.running - self.rates.slots, 0)
        step = self._step_seconds(estimate.running)
        return step + over * self.rates.step_seconds
