"""Plans engine roles: how many engines of a cell only prefill.

An engine in the role prefill processes prompts at its full rate and transfers
the sequence to another engine; one in the role mixed decodes, and prefills in
chunks between its decode steps.  The planner compares the demand for prefill
and decode with what each split of the engines can serve.  It changes the role
of one engine at a time, when the gain over the planning horizon exceeds the
cost of the seconds during which a changing engine serves nothing.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from cranberryrelay.notes import RankRule
from cranberryrelay.policy._choice import (
    INTER_TOKEN_TARGET_SECONDS,
    PREFILL,
    EngineRates,
)

MIXED: Final = 'mixed'
PLANNING_HORIZON_SECONDS: Final = 40.0
ROLE_CHANGE_SECONDS: Final = 6.0
MIN_GAIN: Final = 0.03
MIN_CHANGE_INTERVAL_SECONDS: Final = 2.0
CHANGE_BUDGET_WINDOW_SECONDS: Final = 600.0
DEFAULT_CHANGE_BUDGET: Final = 40
PREFILL_HEADROOM: Final = 1.05
DECODE_HEADROOM: Final = 1.3


class Demand(NamedTuple):
    """The work that callers request from a cell."""

    # Prompt tokens that arrive per second, without prefix cache hits.
    prefill_tokens_per_second: float

    # Output tokens that are requested per second.
    decode_tokens_per_second: float


class RolePlanner:
    """Plans the engine roles of one cell.

    Not safe for concurrent use: a single task owns each planner.
    """

    def __init__(self, rates: EngineRates | None = None) -> None:
        self.rates = rates or EngineRates()
        self.demand: Demand | None = None
        self.changed_at: deque[float] = deque()

    def observe(self, demand: Demand) -> None:
        """Set the demand measured over the last seconds."""
        self.demand = demand

    def plan(
        self,
        roles: Mapping[str, str],
        rule: Mapping[str, Any],
        now: float,
    ) -> dict[str, str]:
        """Return the planned role of each engine by name.

        At most one engine changes its role per call, and only if the gain
        exceeds the cost; engines without a role become mixed.  ``rule`` is
        the role record of the release note in force.
        """
        planned = {name: role or MIXED for name, role in roles.items()}
        if self.demand is None or len(planned) < 2:
            return planned
        current = sum(1 for role in planned.values() if role == PREFILL)
        wanted = self._choose_split(current, len(planned), rule)
        if wanted == current or not self._may_change(rule, now):
            return planned
        step = 1 if wanted > current else -1
        old_role = MIXED if step > 0 else PREFILL
        names = sorted(
            name for name, role in planned.items() if role == old_role
        )
        planned[names[0]] = PREFILL if step > 0 else MIXED
        self.changed_at.append(now)
        return planned

    def score(self, prefill: int, engines: int) -> float:
        """Return the fraction of the demand that a split serves, 0 to 1.

        ``prefill`` of the ``engines`` engines only prefill, the others are
        mixed.
        """
        demand = self.demand or Demand(0, 0)
        wanted_prefill = demand.prefill_tokens_per_second * PREFILL_HEADROOM
        wanted_decode = demand.decode_tokens_per_second * DECODE_HEADROOM
        mixed = engines - prefill
        decode_capacity = mixed * self.decode_rate()
        busy = min(wanted_decode / decode_capacity, 1) if decode_capacity else 1
        chunked = mixed * (1 - busy) * self.chunked_prefill_rate()
        prefill_capacity = (
            prefill * self.rates.prefill_tokens_per_second + chunked
        )
        return min(
            _fraction_served(prefill_capacity, wanted_prefill),
            _fraction_served(decode_capacity, wanted_decode),
        )

    def decode_rate(self) -> float:
        """Return the output tokens per second of an engine with full slots."""
        slots = self.rates.slots
        step = (
            self.rates.step_seconds
            + self.rates.step_seconds_per_sequence * slots
        )
        return slots / step

    def chunked_prefill_rate(self) -> float:
        """Return the prompt tokens per second of an idle mixed engine."""
        left = INTER_TOKEN_TARGET_SECONDS - self.rates.step_seconds
        share = left / INTER_TOKEN_TARGET_SECONDS
        return share * self.rates.prefill_tokens_per_second

    def _choose_split(
        self, current: int, engines: int, rule: Mapping[str, Any]
    ) -> int:
        lowest = rule.get('prefill_min', 0)
        highest = min(rule.get('prefill_max', engines - 1), engines - 1)
        best = current
        best_score = self.score(current, engines)
        for split in range(lowest, highest + 1):
            changes = abs(split - current)
            cost = (
                changes
                * ROLE_CHANGE_SECONDS
                / PLANNING_HORIZON_SECONDS
                / engines
            )
            net_score = self.score(split, engines) - cost
            if net_score > best_score + MIN_GAIN:
                best = split
                best_score = net_score
        return best

    def _may_change(self, rule: Mapping[str, Any], now: float) -> bool:
        while (
            self.changed_at
            and now - self.changed_at[0] > CHANGE_BUDGET_WINDOW_SECONDS
        ):
            self.changed_at.popleft()
        budget = rule.get('changes_per_ten_minutes', DEFAULT_CHANGE_BUDGET)
        if len(self.changed_at) >= budget:
            return False
        last_change = self.changed_at[-1] if self.changed_at else float('-inf')
        return now - last_change >= MIN_CHANGE_INTERVAL_SECONDS


def clip_demand(
    by_rank: Mapping[str, Demand],
    rules: Iterable[RankRule],
    engines: float,
    rates: EngineRates,
) -> Demand:
    """Return the part of the demand that admission control will grant.

    Each rank is allotted its floor of the engines, as far as its demand needs
    them; the engines that are left go to the most urgent rank first.  In an
    overload the result has the mix of prefill and decode that will be served
    rather than the mix that is requested.
    """
    ordered = sorted(rules, key=lambda rule: rule.level)
    needed = {
        rule.name: engines_needed(by_rank.get(rule.name), rates)
        for rule in ordered
    }
    allotted = {
        rule.name: min(needed[rule.name], rule.floor * engines)
        for rule in ordered
    }
    left = engines - sum(allotted.values())
    for rule in ordered:
        extra = min(needed[rule.name] - allotted[rule.name], max(left, 0))
        allotted[rule.name] += extra
        left -= extra
    prefill = float(0)
    decode = float(0)
    for name, demand in by_rank.items():
        fraction = allotted[name] / needed[name] if needed[name] else 0
        prefill += fraction * demand.prefill_tokens_per_second
        decode += fraction * demand.decode_tokens_per_second
    return Demand(prefill, decode)


def guarantee_slots(
    by_rank: Mapping[str, Demand],
    rules: Iterable[RankRule],
    engines: float,
    slots: float,
    rates: EngineRates,
) -> dict[str, float]:
    """Return the guaranteed slots by rank.

    A rank is guaranteed the slots that its demand needs, up to its floor of
    the engines.  The slots that are left are shared out in proportion to the
    floors, so that work of a rank is admitted before its demand is known.
    """
    ranks = list(rules)
    step = rates.step_seconds + rates.step_seconds_per_sequence * rates.slots
    guaranteed: dict[str, float] = {}
    for rule in ranks:
        demand = by_rank.get(rule.name, Demand(0, 0))
        needed = engines_needed(demand, rates)
        fraction = min(rule.floor * engines / needed, 1) if needed else 0
        guaranteed[rule.name] = (
            fraction * demand.decode_tokens_per_second * step
        )
    total = sum(guaranteed.values())
    if total > slots:
        return {
            name: needed * slots / total for name, needed in guaranteed.items()
        }
    floors = sum(rule.floor for rule in ranks) or 1
    return {
        rule.name: guaranteed[rule.name] + (slots - total) * rule.floor / floors
        for rule in ranks
    }


def engines_needed(demand: Demand | None, rates: EngineRates) -> float:
    """Return the number of fully used engines that a demand needs."""
    if demand is None:
        return 0
    step = rates.step_seconds + rates.step_seconds_per_sequence * rates.slots
    prefill = demand.prefill_tokens_per_second / rates.prefill_tokens_per_second
    return prefill + demand.decode_tokens_per_second * step / rates.slots


def _fraction_served(capacity: float, demand: float) -> float:
    return min(capacity / demand, 1) if demand else 1
