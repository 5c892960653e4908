"""Chooses the engine that a request is sent to.

Engines are scored by the predicted time to the first token and by the
predicted duration of a decode step; a prefix cache hit reduces the prompt
tokens to prefill.  Load reports lag, so the work that this instance has sent
since a report was made is added to the reported load.  Only a random sample of
the engines and those likely to hold the prompt's prefix are scored, so the
cost does not grow with the size of the cell.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Final, NamedTuple

SAMPLE_SIZE: Final = 8
PREFIXES_LIMIT: Final = 4096
PREFIX_KEY_CHARACTERS: Final = 256
LEAST_URGENT_PRIORITY: Final = 9
PREFILL: Final = 'prefill'
INTER_TOKEN_TARGET_SECONDS: Final = 0.052
RECENT_SENDS_LIMIT: Final = 512
_OTHER_DOMAIN_PENALTY_SECONDS: Final = 0.005
_MIN_PREFILL_SHARE: Final = 0.05


class EngineRates(NamedTuple):
    """Throughput model of an engine."""

    # Prompt tokens that an engine prefills per second.
    prefill_tokens_per_second: float = 8000

    # Duration of a decode step with an empty batch, in seconds.
    step_seconds: float = 0.02

    # Time that each sequence in the batch adds to a decode step, in seconds.
    step_seconds_per_sequence: float = 0.0005

    # Number of sequences that an engine decodes concurrently.
    slots: int = 64


class EngineView(NamedTuple):
    """The last known load of an engine."""

    # Name of the engine.
    name: str

    # Role of the engine: 'prefill', 'decode' or 'mixed'.
    role: str

    # Sequences running or queued when the last load report was made.
    running: int

    # Prompt tokens still to prefill when the last load report was made.
    prefill_tokens: int

    # Time of the last load report, in seconds on the local clock.
    reported_at: float

    # True if the engine is in the failure domain of this instance.
    same_domain: bool = True

    # Prompt tokens still to prefill, indexed by priority; empty if unknown.
    prefill_by_priority: tuple[float, ...] = ()


class SentWork(NamedTuple):
    """Work that this instance sent to an engine."""

    # Time of sending, in seconds on the local clock.
    sent_at: float

    # Prompt tokens to prefill, without those expected in the prefix cache.
    prefill_tokens: int

    # Priority of the work, from 0; lower is more urgent.
    priority: int = 0


class RunningChange(NamedTuple):
    """A change of the number of sequences running on an engine."""

    # Time of the change, in seconds on the local clock.
    at: float

    # 1 when a sequence starts, -1 when one ends.
    change: int


class EngineChoice(NamedTuple):
    """The chosen engine with its predicted latency and cache hit."""

    # Name of the engine.
    engine: str

    # Predicted time to the first token, in seconds.
    first_token_seconds: float

    # Prompt tokens expected in the engine's prefix cache.
    cached_tokens: int


class PrefixIndex:
    """Maps prompt prefixes to the engines that are likely to cache them.

    Keys include the caller, so cached prefixes are never shared between
    customers.  The least recently recorded prefixes are evicted.
    """

    def __init__(self) -> None:
        self.entries: OrderedDict[str, dict[str, int]] = OrderedDict()

    def record(self, key: str, engine: str, tokens: int) -> None:
        """Record that an engine caches ``tokens`` tokens of a prefix."""
        tokens_by_engine = self.entries.setdefault(key, {})
        tokens_by_engine[engine] = tokens
        self.entries.move_to_end(key)
        while len(self.entries) > PREFIXES_LIMIT:
            self.entries.popitem(last=False)

    def remove_engine(self, engine: str) -> None:
        """Remove an engine that lost its cache in a crash or role change."""
        for tokens_by_engine in self.entries.values():
            tokens_by_engine.pop(engine, None)

    def find(self, key: str) -> dict[str, int]:
        """Return the number of cached tokens of a prefix by engine name."""
        return self.entries.get(key, {})


class LoadEstimate:
    """Estimated load of an engine, from its last report and later sends."""

    def __init__(self, view: EngineView, prefill_rate: float) -> None:
        self.reported_at = view.reported_at
        self.updated_at = view.reported_at
        self.prefill_rate = prefill_rate
        self.prefill_by_priority = [
            float(0) for _ in range(LEAST_URGENT_PRIORITY + 1)
        ]
        self.running = view.running
        if view.prefill_by_priority:
            for priority, tokens in enumerate(view.prefill_by_priority):
                self.prefill_by_priority[priority] = tokens
        else:
            self.prefill_by_priority[0] = view.prefill_tokens

    def advance(self, now: float) -> None:
        """Subtract the tokens prefilled until ``now``, most urgent first."""
        budget = max(now - self.updated_at, 0) * self.prefill_rate
        self.updated_at = max(now, self.updated_at)
        for priority, tokens in enumerate(self.prefill_by_priority):
            if budget <= 0:
                return
            done = min(tokens, budget)
            self.prefill_by_priority[priority] = tokens - done
            budget -= done

    def tokens_ahead(self, priority: int) -> float:
        """Return the prompt tokens prefilled before new work of a priority."""
        return sum(self.prefill_by_priority[: priority + 1])


class EngineChooser:
    """Chooses engines on behalf of one instance.

    Not safe for concurrent use: a single task owns each chooser.
    """

    def __init__(self, rates: EngineRates, rng: random.Random) -> None:
        self.rates = rates
        self.rng = rng
        self.prefixes = PrefixIndex()
        self.recent_sends: dict[str, deque[SentWork]] = {}
        self.running_changes: dict[str, deque[RunningChange]] = {}
        self.estimates: dict[str, LoadEstimate] = {}

    def choose(
        self,
        engines: Sequence[EngineView],
        prefix: str,
        prompt_tokens: int,
        now: float,
        priority: int = LEAST_URGENT_PRIORITY,
    ) -> EngineChoice | None:
        """Return the engine with the lowest score; None if there is none.

        Queued work that is less urgent than ``priority`` is not counted,
        because the engine prefills the more urgent prompt first.
        """
        if not engines:
            return None
        cached_by_engine = self.prefixes.find(prefix)
        best: EngineChoice | None = None
        best_score = float('inf')
        for engine in self._sample(engines, cached_by_engine):
            cached = min(cached_by_engine.get(engine.name, 0), prompt_tokens)
            estimate = self.estimate(engine, now)
            tokens = estimate.tokens_ahead(priority) + prompt_tokens - cached
            penalty = 0 if engine.same_domain else _OTHER_DOMAIN_PENALTY_SECONDS
            seconds = tokens / estimate.prefill_rate + penalty
            score = seconds + self._decode_penalty(engine, estimate)
            if score < best_score:
                best_score = score
                best = EngineChoice(engine.name, seconds, cached)
        return best

    def choose_decode_engine(
        self, engines: Sequence[EngineView], now: float
    ) -> str | None:
        """Return the engine with the fewest sequences; None if there is none.

        Ties are resolved in favour of this instance's failure domain.
        """
        if not engines:
            return None
        best = min(
            engines,
            key=lambda engine: (
                self.estimate(engine, now).running,
                not engine.same_domain,
            ),
        )
        return best.name

    def record_sent(self, engine: str, sent: SentWork) -> None:
        """Record work sent to an engine, to correct load reports that lag."""
        sends = self.recent_sends.setdefault(
            engine, deque(maxlen=RECENT_SENDS_LIMIT)
        )
        sends.append(sent)
        estimate = self.estimates.get(engine)
        if estimate is not None:
            estimate.advance(sent.sent_at)
            estimate.prefill_by_priority[sent.priority] += sent.prefill_tokens

    def record_running_change(
        self, engine: str, now: float, change: int
    ) -> None:
        """Record that a sequence of this instance started or ended.

        ``change`` is 1 for a start and -1 for an end.
        """
        changes = self.running_changes.setdefault(
            engine, deque(maxlen=RECENT_SENDS_LIMIT)
        )
        changes.append(RunningChange(now, change))
        estimate = self.estimates.get(engine)
        if estimate is not None:
            estimate.running = max(estimate.running + change, 0)

    def estimate(self, engine: EngineView, now: float) -> LoadEstimate:
        """Return the load estimate at ``now``; each report starts a new one."""
        estimate = self.estimates.get(engine.name)
        if estimate is None or estimate.reported_at != engine.reported_at:
            estimate = self._make_estimate(engine)
            self.estimates[engine.name] = estimate
        estimate.advance(now)
        return estimate

    def _make_estimate(self, engine: EngineView) -> LoadEstimate:
        estimate = LoadEstimate(engine, self._prefill_rate(engine))
        for sent in self.recent_sends.get(engine.name, ()):
            if sent.sent_at > engine.reported_at:
                estimate.advance(sent.sent_at)
                estimate.prefill_by_priority[sent.priority] += (
                    sent.prefill_tokens
                )
        changes = sum(
            change.change
            for change in self.running_changes.get(engine.name, ())
            if change.at > engine.reported_at
        )
        estimate.running = max(estimate.running + changes, 0)
        return estimate

    def _sample(
        self, engines: Sequence[EngineView], cached_by_engine: dict[str, int]
    ) -> Sequence[EngineView]:
        if len(engines) <= SAMPLE_SIZE:
            return engines
        sampled = self.rng.sample(engines, SAMPLE_SIZE)
        if cached_by_engine:
            sampled.extend(
                engine for engine in engines if engine.name in cached_by_engine
            )
        return sampled

    def _prefill_rate(self, engine: EngineView) -> float:
        """Return the prompt tokens that an engine prefills per second.

        An engine that also decodes prefills in chunks, in the time that its
        decode steps leave of the target for the time between tokens.
        """
        full_rate = self.rates.prefill_tokens_per_second
        if engine.role == PREFILL:
            return full_rate
        left = INTER_TOKEN_TARGET_SECONDS - self._step_seconds(engine.running)
        share = max(left / INTER_TOKEN_TARGET_SECONDS, _MIN_PREFILL_SHARE)
        return full_rate * share

    def _step_seconds(self, running: int) -> float:
        return (
            self.rates.step_seconds
            + self.rates.step_seconds_per_sequence * running
        )

    def _decode_penalty(
        self, engine: EngineView, estimate: LoadEstimate
    ) -> float:
        """Return the decode part of the score of an engine, in seconds.

        Sequences beyond the engine's slots wait for a slot and cost more.
        """
        if engine.role == PREFILL:
            return 0
        excess = max(estimate.running - self.rates.slots, 0)
        step = self._step_seconds(estimate.running)
        return step + excess * self.rates.step_seconds
