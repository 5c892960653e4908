"""Scenarios: kinds of work and phases of arrivals, from TOML files."""

import random
import tomllib
from pathlib import Path
from typing import Any, Final, NamedTuple

from cranberryrelay.measure._model import STEP_SECONDS, Sequence

SCENARIO_FOLDER: Final = Path('scenarios')
_SPREAD_LOW: Final = 0.6
_SPREAD_HIGH: Final = 1.4


class WorkKind(NamedTuple):
    """A kind of work of the scenarios."""

    # Name of the rank.
    rank: str

    # Mean prompt tokens.
    prompt: int

    # Mean output tokens.
    output: int

    # Target for the first token, in seconds.
    first_token_seconds: float


class Phase(NamedTuple):
    """A stretch of time with constant arrival rates."""

    # Its length.
    seconds: float

    # Arrivals a second for each engine of the site, by kind.
    rates: dict[str, float]


class Scenario(NamedTuple):
    """What is sent to a site and what happens to it."""

    # Name of the scenario.
    name: str

    # Phases in order.
    phases: list[Phase]

    # Seconds that load reports are late.
    report_lag_seconds: float

    # When an engine is withdrawn; negative for never.
    withdraw_at: float

    # When a request that crashes engines first comes; negative for never.
    poison_at: float

    # When control (roles, load reports) stops; negative for never.
    control_stops_at: float

    # When it comes back.
    control_returns_at: float

    # True if load reports stop with it, not only role changes.
    reports_stop: bool


class Workload(NamedTuple):
    """All kinds and scenarios."""

    # Kinds of work by name.
    kinds: dict[str, WorkKind]

    # Scenarios in order.
    scenarios: list[Scenario]


def load_workload(path: Path) -> Workload:
    """Load the kinds and scenarios of a TOML file."""
    document = tomllib.loads(path.read_text())
    kinds = {
        name: WorkKind(**fields) for name, fields in document['kinds'].items()
    }
    scenarios = [
        _read_scenario(name, fields)
        for name, fields in document['scenarios'].items()
    ]
    return Workload(kinds, scenarios)


def make_arrivals(
    workload: Workload, scenario: Scenario, engines: int, seed: int
) -> list[Sequence]:
    """Make the arrivals of a scenario, in order of time."""
    rng = random.Random(seed)
    arrivals: list[Sequence] = []
    now = float(0)
    for phase in scenario.phases:
        end = now + phase.seconds
        while now < end:
            for kind, rate in phase.rates.items():
                for _ in range(_draw_count(rng, rate * engines)):
                    arrivals.append(
                        _make_sequence(
                            rng, workload.kinds, kind, now, len(arrivals)
                        )
                    )
            now += STEP_SECONDS
    return arrivals


def scenario_seconds(scenario: Scenario) -> float:
    """Return the length of a scenario."""
    return sum(phase.seconds for phase in scenario.phases)


def _draw_count(rng: random.Random, rate: float) -> int:
    mean = rate * STEP_SECONDS
    count = int(mean)
    return count + int(rng.random() < mean - count)


def _make_sequence(
    rng: random.Random,
    kinds: dict[str, WorkKind],
    kind: str,
    now: float,
    number: int,
) -> Sequence:
    fields = kinds[kind]
    spread = rng.uniform(_SPREAD_LOW, _SPREAD_HIGH)
    length = rng.uniform(_SPREAD_LOW, _SPREAD_HIGH)
    return Sequence(
        number,
        kind,
        prompt=round(fields.prompt * spread),
        output=max(round(fields.output * length), 1),
        arrived_at=now,
    )


def _read_scenario(name: str, fields: dict[str, Any]) -> Scenario:
    cycle = [Phase(one['seconds'], one['rates']) for one in fields['phases']]
    return Scenario(
        name=name,
        phases=cycle * fields.get('repeat', 1),
        report_lag_seconds=fields.get('report_lag_seconds', 0.5),
        withdraw_at=fields.get('withdraw_at', -1),
        poison_at=fields.get('poison_at', -1),
        control_stops_at=fields.get('control_stops_at', -1),
        control_returns_at=fields.get('control_returns_at', -1),
        reports_stop=fields.get('reports_stop', False),
    )
