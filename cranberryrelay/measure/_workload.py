"""Workloads: kinds of requests and arrival scenarios from TOML files."""

import random
import tomllib
from pathlib import Path
from typing import Any, Final, NamedTuple

from cranberryrelay.measure._model import STEP_SECONDS, Sequence

SCENARIO_FOLDER: Final = Path('scenarios')
_LENGTH_FACTOR_MIN: Final = 0.6
_LENGTH_FACTOR_MAX: Final = 1.4


class RequestKind(NamedTuple):
    """A kind of request in the scenarios."""

    # Name of the rank of its requests.
    rank: str

    # Mean prompt tokens.
    prompt: int

    # Mean output tokens.
    output: int

    # Target of the time to first token, in seconds.
    first_token_seconds: float


class Phase(NamedTuple):
    """A period with constant arrival rates."""

    # Duration of the phase.
    seconds: float

    # Arrivals per second and engine of the site, by kind.
    rates: dict[str, float]


class Scenario(NamedTuple):
    """The arrivals at a site and the faults that occur during them."""

    # Name of the scenario.
    name: str

    # Phases in order.
    phases: list[Phase]

    # Delay of load reports.
    report_lag_seconds: float

    # Time in seconds at which an engine is withdrawn; negative for never.
    withdraw_at: float

    # Time in seconds of the first request that crashes its engine; negative
    # for never.
    poison_at: float

    # Time in seconds at which role planning stops; negative for never.
    control_stops_at: float

    # Time in seconds at which role planning resumes.
    control_returns_at: float

    # Whether load reports stop together with role planning.
    reports_stop: bool


class Workload(NamedTuple):
    """The request kinds and scenarios of one file."""

    # Request kinds by name.
    kinds: dict[str, RequestKind]

    # Scenarios in file order.
    scenarios: list[Scenario]


def load_workload(path: Path) -> Workload:
    """Load the kinds and scenarios of a TOML file."""
    document = tomllib.loads(path.read_text())
    kinds = {
        name: RequestKind(**fields)
        for name, fields in document['kinds'].items()
    }
    scenarios = [
        _read_scenario(name, fields)
        for name, fields in document['scenarios'].items()
    ]
    return Workload(kinds, scenarios)


def make_arrivals(
    workload: Workload, scenario: Scenario, engines: int, seed: int
) -> list[Sequence]:
    """Draw the arrivals of a scenario, in order of time."""
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
    """Return the duration of a scenario."""
    return sum(phase.seconds for phase in scenario.phases)


def _draw_count(rng: random.Random, rate: float) -> int:
    mean = rate * STEP_SECONDS
    count = int(mean)
    return count + int(rng.random() < mean - count)


def _make_sequence(
    rng: random.Random,
    kinds: dict[str, RequestKind],
    kind: str,
    now: float,
    number: int,
) -> Sequence:
    request_kind = kinds[kind]
    prompt_factor = rng.uniform(_LENGTH_FACTOR_MIN, _LENGTH_FACTOR_MAX)
    output_factor = rng.uniform(_LENGTH_FACTOR_MIN, _LENGTH_FACTOR_MAX)
    return Sequence(
        number,
        kind,
        prompt=round(request_kind.prompt * prompt_factor),
        output=max(round(request_kind.output * output_factor), 1),
        arrived_at=now,
    )


def _read_scenario(name: str, fields: dict[str, Any]) -> Scenario:
    phases = [
        Phase(phase['seconds'], phase['rates']) for phase in fields['phases']
    ]
    return Scenario(
        name=name,
        phases=phases * fields.get('repeat', 1),
        report_lag_seconds=fields.get('report_lag_seconds', 0.5),
        withdraw_at=fields.get('withdraw_at', -1),
        poison_at=fields.get('poison_at', -1),
        control_stops_at=fields.get('control_stops_at', -1),
        control_returns_at=fields.get('control_returns_at', -1),
        reports_stop=fields.get('reports_stop', False),
    )
