"""The policy measurement and its output as CSV, table and plots."""

import csv
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Final, NamedTuple

from matplotlib.figure import Figure

from cranberryrelay.measure._oracle import count_oracle_goodput
from cranberryrelay.measure._policies import (
    RANKS,
    FixedSplitPolicy,
    GreedyPolicy,
    Policy,
    RankedPolicy,
)
from cranberryrelay.measure._policy_run import (
    PolicyRun,
    RankOutcome,
    RunOutcome,
)
from cranberryrelay.measure._workload import (
    SCENARIO_FOLDER,
    RequestKind,
    Scenario,
    Workload,
    load_workload,
    make_arrivals,
    scenario_seconds,
)
from cranberryrelay.policy import EngineRates

RATES: Final = EngineRates(
    prefill_tokens_per_second=8000,
    step_seconds=0.02,
    step_seconds_per_sequence=0.0005,
    slots=48,
)
SITES: Final = (('newsroom', 6), ('menus', 9))
MEASURED_FOLDER: Final = Path('measured')
_PERCENT: Final = 100

PolicyFactory = Callable[[Mapping[str, RequestKind], EngineRates], Policy]
POLICIES: Final[tuple[tuple[str, PolicyFactory], ...]] = (
    ('ranked', RankedPolicy),
    ('greedy', GreedyPolicy),
    ('fixed', FixedSplitPolicy),
)


class PolicyRow(NamedTuple):
    """The results of one policy in one scenario at one site."""

    site: str
    scenario: str
    policy: str
    arrived: int
    within_target: int
    of_oracle: float
    of_capacity: float
    role_changes: int
    engines_lost: int
    top_within_target: float
    lowest_floor_kept: float
    refused: int
    first_token_p50: float
    first_token_p95: float
    first_token_p99: float
    between_tokens_p95: float


def measure_policies(seed: int, scenario_file: str) -> list[PolicyRow]:
    """Simulate every policy in every scenario at both sites."""
    workload = load_workload(SCENARIO_FOLDER / scenario_file)
    rows: list[PolicyRow] = []
    for site, engines in SITES:
        for scenario in workload.scenarios:
            for name, make_policy in POLICIES:
                policy = make_policy(workload.kinds, RATES)
                row = measure_run(workload, scenario, engines, policy, seed)
                rows.append(row._replace(site=site, policy=name))
    return rows


def measure_run(
    workload: Workload,
    scenario: Scenario,
    engines: int,
    policy: Policy,
    seed: int,
) -> PolicyRow:
    """Simulate one policy in one scenario and compare it to the oracle."""
    arrivals = make_arrivals(workload, scenario, engines, seed)
    oracle = count_oracle_goodput(arrivals, workload.kinds, RATES, engines)
    run = PolicyRun(policy, workload, scenario, engines, RATES)
    outcome = run.run(arrivals)
    capacity = engines * scenario_seconds(scenario)
    demanded = sum(rank.demanded_seconds for rank in outcome.ranks)
    useful = sum(rank.useful_seconds for rank in outcome.ranks)
    top = next(rank for rank in outcome.ranks if rank.rank == RANKS[0].name)
    return PolicyRow(
        site='',
        scenario=scenario.name,
        policy='',
        arrived=len(arrivals),
        within_target=outcome.goodput,
        of_oracle=_ratio(outcome.goodput, oracle),
        of_capacity=_ratio(useful, min(demanded, capacity)),
        role_changes=outcome.role_changes,
        engines_lost=outcome.engines_lost,
        top_within_target=_ratio(top.within_target, top.arrived),
        lowest_floor_kept=find_lowest_floor_fraction(outcome, capacity),
        refused=sum(rank.refused for rank in outcome.ranks),
        first_token_p50=_percentile(top.first_token, 50),
        first_token_p95=_percentile(top.first_token, 95),
        first_token_p99=_percentile(top.first_token, 99),
        between_tokens_p95=_percentile(top.inter_token_seconds, 95),
    )


def find_lowest_floor_fraction(outcome: RunOutcome, capacity: float) -> float:
    """Return the lowest fraction of its floor that a lower rank received.

    The top rank is not counted; the floor is a share of the capacity.
    """
    floors = {rule.name: rule.floor for rule in RANKS[1:]}
    fractions = [
        _floor_fraction(rank, floors[rank.rank] * capacity)
        for rank in outcome.ranks
        if rank.rank in floors
    ]
    return min(fractions, default=1)


def write_policy_files(rows: list[PolicyRow]) -> None:
    """Write the rows as CSV and a goodput plot for each site."""
    MEASURED_FOLDER.mkdir(exist_ok=True)
    path = MEASURED_FOLDER / 'policy.csv'
    with path.open('w', newline='') as file:
        writer = csv.writer(file)
        writer.writerow(PolicyRow._fields)
        writer.writerows(rows)
    for site, _ in SITES:
        _plot_site(site, [row for row in rows if row.site == site])


def format_policy_rows(rows: list[PolicyRow]) -> str:
    """Format the rows as a text table."""
    lines = [
        'site     scenario                   policy  of-oracle of-capacity '
        'changes lost top   floor refused ft95  bt95'
    ]
    lines.extend(
        f'{row.site:<8} {row.scenario:<26} {row.policy:<7} '
        f'{row.of_oracle:9.3f} {row.of_capacity:11.3f} '
        f'{row.role_changes:7} {row.engines_lost:4} '
        f'{row.top_within_target:5.3f} {row.lowest_floor_kept:5.2f} '
        f'{row.refused:7} {row.first_token_p95:5.2f} '
        f'{row.between_tokens_p95:5.3f}'
        for row in rows
    )
    return '\n'.join(lines)


def _floor_fraction(rank: RankOutcome, floor_seconds: float) -> float:
    guaranteed_seconds = min(rank.demanded_seconds, floor_seconds)
    return min(_ratio(rank.useful_seconds, guaranteed_seconds), 1)


def _plot_site(site: str, rows: list[PolicyRow]) -> None:
    figure = Figure(figsize=(10, 5))
    axes = figure.subplots()
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    for index, (policy, _) in enumerate(POLICIES):
        heights = [row.of_oracle for row in rows if row.policy == policy]
        positions = [scenario + index / 4 for scenario in range(len(scenarios))]
        axes.bar(positions, heights, width=0.25, label=policy)
    axes.set_xticks(range(len(scenarios)), scenarios, rotation=60)
    axes.set_ylabel('answers within target, part of the oracle')
    axes.legend()
    figure.tight_layout()
    figure.savefig(MEASURED_FOLDER / f'policy-{site}.svg')


def _percentile(ordered: list[float], percent: int) -> float:
    if not ordered:
        return 0
    index = min(len(ordered) * percent // _PERCENT, len(ordered) - 1)
    return ordered[index]


def _ratio(part: float, whole: float) -> float:
    return part / whole if whole else 1
