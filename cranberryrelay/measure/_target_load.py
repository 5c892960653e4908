"""Requests for the emulated target: a mix that swings, floods, shared parts."""

import math
import random
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import msgspec

from cranberryrelay.relay import ModelWork, PromptPart, Rank

# The mix swings between the urgent and the other kinds this often, in seconds.
SWING_SECONDS: Final = 2.8

# A flood lasts from the first to the second moment, in seconds.
FLOOD_SECONDS: Final = (3.0, 13.0)

# Logarithmic standard deviation of prompts is this part of their spread.
_SPREAD_SHARE: Final = 0.6
_LONGEST_FACTOR: Final = 8.0


class KindSettings(msgspec.Struct, frozen=True):
    """A kind of request."""

    # 0 for the most urgent.
    rank: int

    # Requests a second.
    rate: float

    # Mean tokens of a prompt without its shared parts, and their spread.
    prompt: float
    spread: float

    # Shared parts: tokens, and how many different ones there are.
    shared: list[tuple[int, int]]

    # Events of an answer.
    events: int

    # Time to the first event within which an answer counts, in seconds.
    aim_seconds: float


class SiteSettings(msgspec.Struct, frozen=True):
    """Size of a deployment."""

    instances: int
    engines: int
    slots: int
    share: float


class PatternSettings(msgspec.Struct, frozen=True):
    """How the load changes."""

    # Factor of the kind that the mix swings to; the others get its inverse.
    swing: float

    # Factors of kinds in a flood.
    flood: dict[str, float]


class TargetScenario(msgspec.Struct, frozen=True):
    """The scenario file."""

    kinds: dict[str, KindSettings]
    sites: dict[str, SiteSettings]
    patterns: dict[str, PatternSettings]


class EmulatedRequest(NamedTuple):
    """A request and where it arrives."""

    # Its kind's name.
    kind: str

    # What it asks of the model.
    work: ModelWork

    # Its rank.
    rank: Rank

    # When it arrives, in seconds.
    arrives_at: float

    # Number of the instance that takes it.
    instance: int

    # Events of its answer.
    events: int


def draw_requests(
    scenario: TargetScenario,
    site: SiteSettings,
    pattern: PatternSettings,
    seconds: float,
    rng: random.Random,
) -> list[EmulatedRequest]:
    """Draw the requests of a run in order of their arrival."""
    drawn = [
        request
        for name in scenario.kinds
        for request in _draw_kind(scenario, site, pattern, name, seconds, rng)
    ]
    return sorted(drawn, key=lambda request: request.arrives_at)


def _draw_kind(
    scenario: TargetScenario,
    site: SiteSettings,
    pattern: PatternSettings,
    name: str,
    seconds: float,
    rng: random.Random,
) -> Iterator[EmulatedRequest]:
    kind = scenario.kinds[name]
    highest = kind.rate * site.share * 4
    now = rng.expovariate(highest)
    while now < seconds:
        factor = _factor(pattern, name, kind, now)
        if rng.random() < factor / 4:
            yield EmulatedRequest(
                kind=name,
                work=_draw_work(name, kind, rng),
                rank=Rank(kind.rank),
                arrives_at=now,
                instance=rng.randrange(site.instances),
                events=max(round(rng.expovariate(1 / kind.events)), 1),
            )
        now += rng.expovariate(highest)


def _factor(
    pattern: PatternSettings, name: str, kind: KindSettings, now: float
) -> float:
    favoured = int(now / SWING_SECONDS) % 2 == kind.rank % 2
    factor = pattern.swing if favoured else 1 / pattern.swing
    if FLOOD_SECONDS[0] <= now < FLOOD_SECONDS[1]:
        factor *= pattern.flood.get(name, 1)
    return min(factor, 4)


def _draw_work(name: str, kind: KindSettings, rng: random.Random) -> ModelWork:
    sigma = kind.spread * _SPREAD_SHARE
    own = kind.prompt * rng.lognormvariate(-sigma * sigma / 2, sigma)
    own = min(max(own, 16), kind.prompt * _LONGEST_FACTOR)
    parts = [
        PromptPart(f'{name}-{level}-{rng.randrange(things)}', tokens)
        for level, (tokens, things) in enumerate(kind.shared)
    ]
    parts.append(PromptPart(f'{rng.getrandbits(64):x}', math.ceil(own)))
    total = sum(part.tokens for part in parts)
    return ModelWork('m', total, kind.events, tuple(parts))


def parse_target_scenario(document: dict[str, Any]) -> TargetScenario:
    """Check a scenario file; raises ``msgspec.ValidationError``."""
    return msgspec.convert(document, TargetScenario)
