"""Draws requests for the emulated target.

The load has a changing mix of kinds, overload periods and prompts that share
parts.
"""

import math
import random
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import msgspec

from cranberryrelay.relay import ModelRequest, PromptSegment, Rank

# Interval at which the mix alternates between ranks of even and odd number.
MIX_INTERVAL_SECONDS: Final = 2.8

# Start and end of the overload, in seconds from the start of the run.
OVERLOAD_PERIOD_SECONDS: Final = (3.0, 13.0)

# Log-normal sigma of prompt lengths for a spread of 1.
_SIGMA_PER_SPREAD: Final = 0.6
_MAX_LENGTH_FACTOR: Final = 8.0


class KindSettings(msgspec.Struct, frozen=True):
    """A kind of request in the scenario file."""

    # Number of the rank; 0 is the most urgent.
    rank: int

    # Arrival rate at a site of share 1, in requests per second.
    rate: float

    # Mean prompt length without the shared parts, in tokens, and its spread.
    prompt: float
    spread: float

    # Shared parts of a prompt: tokens and number of variants of each.
    shared: list[tuple[int, int]]

    # Mean number of events of an answer.
    events: int

    # Target of the time to first event, in seconds.
    aim_seconds: float


class SiteSettings(msgspec.Struct, frozen=True):
    """Size of a deployment.

    Numbers of instances, of engines and of slots per engine, and the factor
    of the arrival rates.
    """

    instances: int
    engines: int
    slots: int
    share: float


class PatternSettings(msgspec.Struct, frozen=True):
    """Changes of the arrival rates during a run."""

    # Rate factor of the currently favoured kinds; the others get its inverse.
    swing: float

    # Rate factors during the overload, by kind.
    flood: dict[str, float]


class TargetScenario(msgspec.Struct, frozen=True):
    """The contents of a scenario file: records by name."""

    kinds: dict[str, KindSettings]
    sites: dict[str, SiteSettings]
    patterns: dict[str, PatternSettings]


class EmulatedRequest(NamedTuple):
    """A request and the instance where it arrives."""

    # Name of its kind.
    kind: str

    # Its prompt parts and expected output.
    work: ModelRequest

    # Its rank.
    rank: Rank

    # Arrival time, in seconds.
    arrives_at: float

    # Index of the instance that receives it.
    instance: int

    # Number of events of its answer.
    events: int


def draw_requests(
    scenario: TargetScenario,
    site: SiteSettings,
    pattern: PatternSettings,
    seconds: float,
    rng: random.Random,
) -> list[EmulatedRequest]:
    """Draw the requests of a run, in order of arrival."""
    requests = [
        request
        for name in scenario.kinds
        for request in _draw_kind(scenario, site, pattern, name, seconds, rng)
    ]
    return sorted(requests, key=lambda request: request.arrives_at)


def _draw_kind(
    scenario: TargetScenario,
    site: SiteSettings,
    pattern: PatternSettings,
    name: str,
    seconds: float,
    rng: random.Random,
) -> Iterator[EmulatedRequest]:
    kind = scenario.kinds[name]
    max_rate = kind.rate * site.share * 4
    now = rng.expovariate(max_rate)
    while now < seconds:
        rate_factor = _rate_factor(pattern, name, kind, now)
        if rng.random() < rate_factor / 4:
            yield EmulatedRequest(
                kind=name,
                work=_draw_work(name, kind, rng),
                rank=Rank(kind.rank),
                arrives_at=now,
                instance=rng.randrange(site.instances),
                events=max(round(rng.expovariate(1 / kind.events)), 1),
            )
        now += rng.expovariate(max_rate)


def _rate_factor(
    pattern: PatternSettings, name: str, kind: KindSettings, now: float
) -> float:
    is_favoured = int(now / MIX_INTERVAL_SECONDS) % 2 == kind.rank % 2
    factor = pattern.swing if is_favoured else 1 / pattern.swing
    if OVERLOAD_PERIOD_SECONDS[0] <= now < OVERLOAD_PERIOD_SECONDS[1]:
        factor *= pattern.flood.get(name, 1)
    return min(factor, 4)


def _draw_work(
    name: str, kind: KindSettings, rng: random.Random
) -> ModelRequest:
    sigma = kind.spread * _SIGMA_PER_SPREAD
    own_tokens = kind.prompt * rng.lognormvariate(-sigma * sigma / 2, sigma)
    own_tokens = min(max(own_tokens, 16), kind.prompt * _MAX_LENGTH_FACTOR)
    parts = [
        PromptSegment(f'{name}-{level}-{rng.randrange(variants)}', tokens)
        for level, (tokens, variants) in enumerate(kind.shared)
    ]
    parts.append(
        PromptSegment(f'{rng.getrandbits(64):x}', math.ceil(own_tokens))
    )
    total = sum(part.tokens for part in parts)
    return ModelRequest('m', total, kind.events, tuple(parts))


def parse_target_scenario(document: dict[str, Any]) -> TargetScenario:
    """Convert a scenario document; raises ``msgspec.ValidationError``."""
    return msgspec.convert(document, TargetScenario)
