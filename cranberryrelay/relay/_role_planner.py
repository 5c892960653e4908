"""Plans how many engines prefill and how many decode, by pure functions.

Designed for a load of long prompts with short answers: a decode step takes as
long for one request as for a full batch, so there are only as many decode
engines as their slots require, and all other engines prefill.
"""

import math
from typing import Final, NamedTuple

from cranberryrelay.relay._catalogue import Role, Upstream

# Number of running streams per busy prefill engine, from the load mixes of two
# deployments.
STREAMS_PER_PREFILL_ENGINE: Final = 22.0

# A deviation from the plan of up to this share of the engines is tolerated, as
# a role change makes an engine unavailable for seconds.
TOLERATED_IMBALANCE: Final = 0.06

# Minimum number of decode engines, so that one may fail.
MIN_DECODE_ENGINES: Final = 2

# Below this number of engines the minimum is one decode engine.
MIN_ENGINES_FOR_DECODE_FLOOR: Final = 4

# Minimum time between two role changes of an engine.
ROLE_CHANGE_COOLDOWN_SECONDS: Final = 12.0


class RoleChange(NamedTuple):
    """A role change of an engine."""

    # Name of the engine's incarnation.
    engine: str

    # New role of the engine.
    role: Role


def plan_decode_count(engines: int, slots: float) -> int:
    """Return the number of decode engines, given the slots per engine."""
    floor = MIN_DECODE_ENGINES if engines >= MIN_ENGINES_FOR_DECODE_FLOOR else 1
    share = STREAMS_PER_PREFILL_ENGINE / (STREAMS_PER_PREFILL_ENGINE + slots)
    return max(floor, math.ceil(engines * share))


def plan_role_changes(
    engines: list[Upstream],
    running: dict[str, int],
    pending_roles: dict[str, Role],
) -> list[RoleChange]:
    """Return the role changes that lead to the planned number of engines.

    ``running`` holds the number of running requests by engine.
    ``pending_roles`` holds the engines that were recently ordered to change;
    they count as having their new role and are not changed again.
    """
    usable = [
        engine._replace(role=pending_roles.get(engine.name, engine.role))
        for engine in engines
        if not engine.leaving
    ]
    cooling_down = frozenset(pending_roles)
    decode_engines = [one for one in usable if one.role is Role.DECODE]
    prefill_engines = [one for one in usable if one.role is Role.PREFILL]
    if not decode_engines and not prefill_engines:
        return []
    slots = sum(engine.slots for engine in usable) / len(usable)
    target = plan_decode_count(len(usable), slots)
    surplus = len(decode_engines) - target
    if abs(surplus) <= len(usable) * TOLERATED_IMBALANCE:
        return []
    if surplus > 0:
        return _choose_changes(
            decode_engines, surplus, Role.PREFILL, running, cooling_down
        )
    return _choose_changes(
        prefill_engines, -surplus, Role.DECODE, running, cooling_down
    )


def _choose_changes(
    engines: list[Upstream],
    count: int,
    role: Role,
    running: dict[str, int],
    cooling_down: frozenset[str],
) -> list[RoleChange]:
    """Choose the engines to change, preferring domains with most of them.

    Ties are broken by the fewest running requests, then by name.
    """
    per_domain: dict[str, int] = {}
    for engine in engines:
        per_domain[engine.domain] = per_domain.get(engine.domain, 0) + 1
    chosen: list[RoleChange] = []
    remaining = [
        engine for engine in engines if engine.name not in cooling_down
    ]
    while remaining and len(chosen) < count:
        costs = [
            (-per_domain[one.domain], running.get(one.name, 0), one.name)
            for one in remaining
        ]
        best = remaining[costs.index(min(costs))]
        remaining.remove(best)
        per_domain[best.domain] -= 1
        chosen.append(RoleChange(best.name, role))
    return chosen
