"""Draws the schedule of a run's faults from a seeded generator."""

import random
from collections.abc import Iterator
from enum import StrEnum
from typing import Final, NamedTuple

from cranberryrelay.soak._layout import Layout

# Fractions of a run between which all faults begin and end.
FAULT_START_FRACTION: Final = 0.12
FAULT_END_FRACTION: Final = 0.8

# Mean time between the starts of two faults, which may overlap.
MEAN_INTERVAL_SECONDS: Final = 1.6

# Bounds of the duration of a fault.
MIN_FAULT_SECONDS: Final = 0.3
MAX_FAULT_SECONDS: Final = 4.0


class FaultKind(StrEnum):
    """Kinds of faults and of planned work that a run injects."""

    INSTANCE_KILL = 'instance_kill'
    INSTANCE_PAUSE = 'instance_pause'
    INSTANCE_STOP = 'instance_stop'
    INSTANCE_RELOAD = 'instance_reload'
    ALL_INSTANCES_KILL = 'all_instances_kill'
    UPSTREAM_KILL = 'upstream_kill'
    UPSTREAM_PAUSE = 'upstream_pause'
    UPSTREAM_SILENCE = 'upstream_silence'
    UPSTREAM_DRAIN = 'upstream_drain'
    UPSTREAM_LINK = 'upstream_link'
    UPSTREAM_RESET = 'upstream_reset'
    STORE_LINK = 'store_link'
    STORE_OUTAGE = 'store_outage'
    CALLER_LINK = 'caller_link'
    CALLER_RESET = 'caller_reset'
    NOTES = 'notes'


# Relative frequency of each kind.
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

# Silences of sound upstreams are drawn apart, so that a seed keeps the other
# faults that it named before there were silences.
SILENCE_WEIGHTS: Final = ((FaultKind.UPSTREAM_SILENCE, 1),)
MEAN_SILENCE_INTERVAL_SECONDS: Final = 15.0

# Planned work, which must not lose any request.
PLANNED_KINDS: Final = frozenset(
    (
        FaultKind.INSTANCE_STOP,
        FaultKind.INSTANCE_RELOAD,
        FaultKind.UPSTREAM_DRAIN,
        FaultKind.NOTES,
    )
)


# Kinds that excuse nothing; a sound upstream may be silent for about a second.
EXCUSELESS_KINDS: Final = PLANNED_KINDS | {FaultKind.UPSTREAM_SILENCE}


class ScheduledFault(NamedTuple):
    """A fault and the time at which it is injected."""

    # Start of the fault in seconds after the start of the injection.
    begins_at: float

    # Duration in seconds, for the kinds that use it.
    duration_seconds: float

    # Kind of the fault.
    kind: FaultKind

    # Name of the affected instance or upstream; '' for none or all.
    target: str

    # Random number in [0, 1) that selects the variant of the fault.
    draw: float


def schedule_faults(
    rng: random.Random, seconds: float, layout: Layout
) -> list[ScheduledFault]:
    """Draw the faults of a run of the given length in seconds."""
    faults = list(_draw_faults(rng, seconds, layout))
    silences = _draw_faults(
        random.Random(rng.random()),
        seconds,
        layout,
        SILENCE_WEIGHTS,
        MEAN_SILENCE_INTERVAL_SECONDS,
    )
    return sorted((*faults, *silences), key=lambda one: one.begins_at)


def _draw_faults(
    rng: random.Random,
    seconds: float,
    layout: Layout,
    kind_weights: tuple[tuple[FaultKind, float], ...] = WEIGHTS,
    interval_seconds: float = MEAN_INTERVAL_SECONDS,
) -> Iterator[ScheduledFault]:
    kinds = [kind for kind, _ in kind_weights]
    weights = [weight for _, weight in kind_weights]
    begins_at = seconds * FAULT_START_FRACTION
    while begins_at < seconds * FAULT_END_FRACTION:
        kind = rng.choices(kinds, weights)[0]
        duration_seconds = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        duration_seconds = min(
            duration_seconds, seconds * FAULT_END_FRACTION - begins_at
        )
        target = rng.choice(_list_targets(kind, layout))
        yield ScheduledFault(
            begins_at, duration_seconds, kind, target, rng.random()
        )
        begins_at += rng.expovariate(1 / interval_seconds)


def _list_targets(kind: FaultKind, layout: Layout) -> list[str]:
    if kind.startswith(('instance', 'caller', 'store_link')):
        return [one.name for one in layout.instances]
    if kind.startswith('upstream'):
        return [one.name for one in layout.upstreams]
    return ['']
