"""How many engines read prompts and how many generate: pure functions.

Answers the load pattern of long prompts with short answers: a step of
generation takes as long for one request as for a full batch, so the engines
that generate are as many as their slots require, and the others read prompts.
"""

import math
from typing import Final, NamedTuple

from cranberryrelay.relay._catalogue import Role, Upstream

# Streams that run for each engine that is busy reading prompts; measured on
# the mixes of two deployments.
STREAMS_PER_READER: Final = 22.0

# A difference of up to this part of the engines is left alone, as a change
# takes an engine away for seconds.
TOLERATED_SHARE: Final = 0.06

# Engines that generate at least, so that one may fail.
DECODE_FLOOR: Final = 2

# From this many engines on the floor holds; below it one generates.
FLOOR_FROM: Final = 4

# An engine is not changed again within this time, in seconds.
SETTLE_SECONDS: Final = 12.0


class RoleChange(NamedTuple):
    """An engine that is to change its role."""

    # Name of the engine's incarnation.
    engine: str

    # Role that it is to have.
    role: Role


def plan_decode_count(engines: int, slots: float) -> int:
    """Return how many engines should generate, with so many slots each."""
    floor = DECODE_FLOOR if engines >= FLOOR_FROM else 1
    share = STREAMS_PER_READER / (STREAMS_PER_READER + slots)
    return max(floor, math.ceil(engines * share))


def plan_role_changes(
    engines: list[Upstream],
    running: dict[str, int],
    ordered: dict[str, Role],
) -> list[RoleChange]:
    """Return the changes that bring the roles to the plan.

    ``running`` has the requests by engine; ``ordered`` the engines that were
    ordered a moment ago and count as having their new role.
    """
    usable = [
        engine._replace(role=ordered.get(engine.name, engine.role))
        for engine in engines
        if not engine.leaving
    ]
    settling = frozenset(ordered)
    decoding = [one for one in usable if one.role is Role.DECODE]
    reading = [one for one in usable if one.role is Role.PREFILL]
    if not decoding and not reading:
        return []
    slots = sum(engine.slots for engine in usable) / len(usable)
    wanted = plan_decode_count(len(usable), slots)
    surplus = len(decoding) - wanted
    if abs(surplus) <= len(usable) * TOLERATED_SHARE:
        return []
    if surplus > 0:
        return _change(decoding, surplus, Role.PREFILL, running, settling)
    return _change(reading, -surplus, Role.DECODE, running, settling)


def _change(
    engines: list[Upstream],
    count: int,
    role: Role,
    running: dict[str, int],
    settling: frozenset[str],
) -> list[RoleChange]:
    """Choose the engines to change, those of crowded domains first."""
    per_domain: dict[str, int] = {}
    for engine in engines:
        per_domain[engine.domain] = per_domain.get(engine.domain, 0) + 1
    chosen: list[RoleChange] = []
    left = [engine for engine in engines if engine.name not in settling]
    while left and len(chosen) < count:
        costs = [
            (-per_domain[one.domain], running.get(one.name, 0), one.name)
            for one in left
        ]
        best = left[costs.index(min(costs))]
        left.remove(best)
        per_domain[best.domain] -= 1
        chosen.append(RoleChange(best.name, role))
    return chosen
