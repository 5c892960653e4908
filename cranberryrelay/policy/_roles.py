"""The planner of roles: how many engines of a cell only prefill.

An engine in the role prefill works through prompts at its full rate and
hands the sequence on; one in the role mixed decodes and prefills in chunks
between its decode steps.  The planner compares the demand for both with
what each split could serve, and moves one engine when the gain over its
horizon pays for the seconds that the change costs.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from cranberryrelay.notes import RankRule
from cranberryrelay.policy._choice import (
    BETWEEN_TOKENS_SECONDS,
    PREFILL,
    EngineRates,
)

MIXED: Final = 'mixed'
HORIZON_SECONDS: Final = 40.0
CHANGE_SECONDS: Final = 6.0
LEAST_GAIN: Final = 0.03
LEAST_PAUSE_SECONDS: Final = 2.0
BUDGET_WINDOW_SECONDS: Final = 600.0
DEFAULT_BUDGET: Final = 40
PREFILL_HEADROOM: Final = 1.05
DECODE_HEADROOM: Final = 1.3


class Demand(NamedTuple):
    """What the callers want of a cell."""

    # Prompt tokens that arrive in a second, less what caches hold.
    prefill_tokens_per_second: float

    # Output tokens that are asked for in a second.
    decode_tokens_per_second: float


class RolePlanner:
    """Plans the roles of one cell; one task owns it."""

    def __init__(self, rates: EngineRates | None = None) -> None:
        self.rates = rates or EngineRates()
        self.demand: Demand | None = None
        self.changed_at: deque[float] = deque()

    def observe(self, demand: Demand) -> None:
        """Take in the demand of the last seconds."""
        self.demand = demand

    def plan(
        self,
        roles: Mapping[str, str],
        rule: Mapping[str, Any],
        now: float,
    ) -> dict[str, str]:
        """Return the wanted role of each engine, by name.

        Engines keep their roles unless a change pays; engines without a
        role start mixed.  ``rule`` is the record of the note in force.
        """
        planned = {name: role or MIXED for name, role in roles.items()}
        if self.demand is None or len(planned) < 2:
            return planned
        current = sum(1 for role in planned.values() if role == PREFILL)
        wanted = self._choose_split(current, len(planned), rule)
        if wanted == current or not self._may_change(rule, now):
            return planned
        step = 1 if wanted > current else -1
        leaving = MIXED if step > 0 else PREFILL
        names = sorted(
            name for name, role in planned.items() if role == leaving
        )
        planned[names[0]] = PREFILL if step > 0 else MIXED
        self.changed_at.append(now)
        return planned

    def score(self, prefill: int, engines: int) -> float:
        """Return the part of the demand that a split can serve, 0 to 1."""
        demand = self.demand or Demand(0, 0)
        wanted_prefill = demand.prefill_tokens_per_second * PREFILL_HEADROOM
        wanted_decode = demand.decode_tokens_per_second * DECODE_HEADROOM
        mixed = engines - prefill
        decode = mixed * self.decode_rate()
        busy = min(wanted_decode / decode, 1) if decode else 1
        chunked = mixed * (1 - busy) * self.chunked_rate()
        prefills = prefill * self.rates.prefill_tokens_per_second + chunked
        return min(
            _part(prefills, wanted_prefill), _part(decode, wanted_decode)
        )

    def decode_rate(self) -> float:
        """Return the tokens a second of an engine that only decodes."""
        slots = self.rates.slots
        step = (
            self.rates.step_seconds
            + self.rates.step_seconds_per_sequence * slots
        )
        return slots / step

    def chunked_rate(self) -> float:
        """Return the prompt tokens a second of an idle mixed engine."""
        left = BETWEEN_TOKENS_SECONDS - self.rates.step_seconds
        part = left / BETWEEN_TOKENS_SECONDS
        return part * self.rates.prefill_tokens_per_second

    def _choose_split(
        self, current: int, engines: int, rule: Mapping[str, Any]
    ) -> int:
        lowest = rule.get('prefill_min', 0)
        highest = min(rule.get('prefill_max', engines - 1), engines - 1)
        best = current
        best_score = self.score(current, engines)
        for split in range(lowest, highest + 1):
            changes = abs(split - current)
            cost = changes * CHANGE_SECONDS / HORIZON_SECONDS / engines
            gained = self.score(split, engines) - cost
            if gained > best_score + LEAST_GAIN:
                best = split
                best_score = gained
        return best

    def _may_change(self, rule: Mapping[str, Any], now: float) -> bool:
        while (
            self.changed_at and now - self.changed_at[0] > BUDGET_WINDOW_SECONDS
        ):
            self.changed_at.popleft()
        budget = rule.get('changes_per_ten_minutes', DEFAULT_BUDGET)
        if len(self.changed_at) >= budget:
            return False
        last = self.changed_at[-1] if self.changed_at else float('-inf')
        return now - last >= LEAST_PAUSE_SECONDS


def clip_demand(
    by_rank: Mapping[str, Demand],
    rules: Iterable[RankRule],
    engines: float,
    rates: EngineRates,
) -> Demand:
    """Sum the part of the ranks' demand that their entitlements cover.

    Each rank gets its floor of the engines if it asks for as much; what is
    left goes to the most urgent rank first.  In a flood the sum keeps the
    mix that will be served, not the mix that is asked for.
    """
    ordered = sorted(rules, key=lambda rule: rule.level)
    wanted = {
        rule.name: engines_worth(by_rank.get(rule.name), rates)
        for rule in ordered
    }
    given = {
        rule.name: min(wanted[rule.name], rule.floor * engines)
        for rule in ordered
    }
    left = engines - sum(given.values())
    for rule in ordered:
        more = min(wanted[rule.name] - given[rule.name], max(left, 0))
        given[rule.name] += more
        left -= more
    prefill = float(0)
    decode = float(0)
    for name, demand in by_rank.items():
        part = given[name] / wanted[name] if wanted[name] else 0
        prefill += part * demand.prefill_tokens_per_second
        decode += part * demand.decode_tokens_per_second
    return Demand(prefill, decode)


def guarantee_slots(
    by_rank: Mapping[str, Demand],
    rules: Iterable[RankRule],
    engines: float,
    slots: float,
    rates: EngineRates,
) -> dict[str, float]:
    """Return the slots that each rank is sure of, by rank.

    A rank is sure of what its demand needs, up to its floor of the engines;
    the slots that are left go to the ranks in the proportion of their
    floors, so that a rank's work finds room before its demand is known.
    """
    kept = list(rules)
    step = rates.step_seconds + rates.step_seconds_per_sequence * rates.slots
    sure: dict[str, float] = {}
    for rule in kept:
        demand = by_rank.get(rule.name, Demand(0, 0))
        worth = engines_worth(demand, rates)
        part = min(rule.floor * engines / worth, 1) if worth else 0
        sure[rule.name] = part * demand.decode_tokens_per_second * step
    total = sum(sure.values())
    if total > slots:
        return {name: one * slots / total for name, one in sure.items()}
    floors = sum(rule.floor for rule in kept) or 1
    return {
        rule.name: sure[rule.name] + (slots - total) * rule.floor / floors
        for rule in kept
    }


def engines_worth(demand: Demand | None, rates: EngineRates) -> float:
    """Return how many engines a demand would keep busy at best."""
    if demand is None:
        return 0
    step = rates.step_seconds + rates.step_seconds_per_sequence * rates.slots
    prefill = demand.prefill_tokens_per_second / rates.prefill_tokens_per_second
    return prefill + demand.decode_tokens_per_second * step / rates.slots


def _part(offered: float, wanted: float) -> float:
    return min(offered / wanted, 1) if wanted else 1
