"""Which faults happen when, drawn from a seed."""

import random
from enum import StrEnum
from typing import Final, NamedTuple

from cranberryrelay.soak._layout import Layout

# Faults begin and end within these parts of a run.
FIRST_SHARE: Final = 0.12
LAST_SHARE: Final = 0.8

# Mean time between two faults, in seconds; they overlap.
BETWEEN_SECONDS: Final = 1.6

# How long a fault lasts, in seconds.
SHORTEST_SECONDS: Final = 0.3
LONGEST_SECONDS: Final = 4.0


class FaultKind(StrEnum):
    """What is done."""

    INSTANCE_KILL = 'instance_kill'
    INSTANCE_PAUSE = 'instance_pause'
    INSTANCE_STOP = 'instance_stop'
    INSTANCE_RELOAD = 'instance_reload'
    ALL_INSTANCES_KILL = 'all_instances_kill'
    UPSTREAM_KILL = 'upstream_kill'
    UPSTREAM_PAUSE = 'upstream_pause'
    UPSTREAM_DRAIN = 'upstream_drain'
    UPSTREAM_LINK = 'upstream_link'
    UPSTREAM_RESET = 'upstream_reset'
    STORE_LINK = 'store_link'
    STORE_OUTAGE = 'store_outage'
    CALLER_LINK = 'caller_link'
    CALLER_RESET = 'caller_reset'
    NOTES = 'notes'


# How often each kind is drawn, relative to the others.
WEIGHTS: Final = (
    (FaultKind.INSTANCE_KILL, 3),
    (FaultKind.INSTANCE_PAUSE, 3),
    (FaultKind.INSTANCE_STOP, 4),
    (FaultKind.INSTANCE_RELOAD, 1),
    (FaultKind.ALL_INSTANCES_KILL, 0.4),
    (FaultKind.UPSTREAM_KILL, 4),
    (FaultKind.UPSTREAM_PAUSE, 2),
    (FaultKind.UPSTREAM_DRAIN, 2),
    (FaultKind.UPSTREAM_LINK, 3),
    (FaultKind.UPSTREAM_RESET, 3),
    (FaultKind.STORE_LINK, 2),
    (FaultKind.STORE_OUTAGE, 1.5),
    (FaultKind.CALLER_LINK, 2),
    (FaultKind.CALLER_RESET, 2),
    (FaultKind.NOTES, 4),
)

# Planned work: no request is lost by it.
PLANNED: Final = frozenset(
    (
        FaultKind.INSTANCE_STOP,
        FaultKind.INSTANCE_RELOAD,
        FaultKind.UPSTREAM_DRAIN,
        FaultKind.NOTES,
    )
)


class PlannedFault(NamedTuple):
    """A fault of a run."""

    # When it begins, in seconds from the first request.
    begins_at: float

    # How long it lasts, in seconds.
    lasts: float

    # What is done.
    kind: FaultKind

    # Instance or upstream that it is done to; '' for none or all.
    target: str

    # Draws what is left to choose.
    draw: float


def plan_faults(
    rng: random.Random, seconds: float, layout: Layout
) -> list[PlannedFault]:
    """Draw the faults of a run."""
    kinds = [kind for kind, _ in WEIGHTS]
    weights = [weight for _, weight in WEIGHTS]
    begins_at = seconds * FIRST_SHARE
    planned: list[PlannedFault] = []
    while begins_at < seconds * LAST_SHARE:
        kind = rng.choices(kinds, weights)[0]
        lasts = rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        lasts = min(lasts, seconds * LAST_SHARE - begins_at)
        target = rng.choice(_targets(kind, layout))
        planned.append(
            PlannedFault(begins_at, lasts, kind, target, rng.random())
        )
        begins_at += rng.expovariate(1 / BETWEEN_SECONDS)
    return planned


def _targets(kind: FaultKind, layout: Layout) -> list[str]:
    if kind.startswith(('instance', 'caller', 'store_link')):
        return [place.name for place in layout.instances]
    if kind.startswith('upstream'):
        return [place.name for place in layout.upstreams]
    return ['']
