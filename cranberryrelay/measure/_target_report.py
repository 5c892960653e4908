"""Emulates policies under the target's load patterns; tables and plots."""

import itertools
import random
import tomllib
from pathlib import Path
from typing import Any, Final, NamedTuple

from matplotlib.figure import Figure

from cranberryrelay.measure._target_emulator import (
    Policy,
    RequestResult,
    TargetEmulator,
)
from cranberryrelay.measure._target_load import (
    TargetScenario,
    draw_requests,
    parse_target_scenario,
)
from cranberryrelay.relay import Role
from cranberryrelay.relay._peer_protocol import HEARTBEAT_SECONDS
from cranberryrelay.relay._placement import (
    Candidate,
    choose_prefill_engine,
    evaluate_engine,
)

RUN_SECONDS: Final = 12.0
OUTPUT_FOLDER: Final = Path('measured')


class TargetRow(NamedTuple):
    """The results of a policy at a site under a load pattern."""

    # Names of the site, the load pattern and the policy.
    site: str
    pattern: str
    policy: str

    # Share of the requests within their target, by kind.
    within_target: dict[str, float]

    # Median and 95th percentile of the time to first event of the most urgent
    # rank, in seconds.
    median: float
    p95: float

    # Share of the requested shared tokens that was prefilled again.
    recomputed_share: float


def choose_least_loaded(
    routing_state: Any, service: str, work: Any, excluded: Any, now: float
) -> Candidate | None:
    """Return the engine with the least queued work; ignores cache hits."""
    engines = routing_state.fleet.candidates(service, Role.PREFILL, now)
    rated = [
        evaluate_engine(routing_state, engine, work, now) for engine in engines
    ]
    return min(
        rated,
        key=lambda candidate: (
            candidate.nominal_wait_seconds - candidate.read_seconds,
            candidate.engine.name,
        ),
    )


POLICIES: Final = (
    Policy('relay', HEARTBEAT_SECONDS, choose_prefill_engine),
    Policy('relay, one view', 0, choose_prefill_engine),
    Policy('least work, one view', 0, choose_least_loaded),
    Policy('least work', HEARTBEAT_SECONDS, choose_least_loaded),
)


def measure_target(
    path: Path, seed: int, policies: tuple[Policy, ...] = POLICIES
) -> list[TargetRow]:
    """Emulate all policies at all sites and patterns of a scenario file."""
    scenario = parse_target_scenario(tomllib.loads(path.read_text()))
    combinations = itertools.product(
        scenario.sites, scenario.patterns, policies
    )
    return [
        _run(scenario, site, pattern, policy, seed)
        for site, pattern, policy in combinations
    ]


def _run(
    scenario: TargetScenario, site: str, pattern: str, policy: Policy, seed: int
) -> TargetRow:
    site_settings = scenario.sites[site]
    pattern_settings = scenario.patterns[pattern]
    rng = random.Random(seed)
    requests = draw_requests(
        scenario, site_settings, pattern_settings, RUN_SECONDS, rng
    )
    results = TargetEmulator(site_settings, policy).run(requests)
    urgent = sorted(
        result.first_event_seconds
        for result in results
        if result.request.rank == 0
    )
    return TargetRow(
        site=site,
        pattern=pattern,
        policy=policy.name,
        within_target={
            name: _within_target_share(results, name, kind.aim_seconds)
            for name, kind in scenario.kinds.items()
        },
        median=urgent[len(urgent) // 2],
        p95=urgent[int(len(urgent) * 0.95)],
        recomputed_share=_recomputed_share(results),
    )


def _recomputed_share(results: list[RequestResult]) -> float:
    shared = sum(
        part.tokens
        for result in results
        for part in result.request.work.shared_segments()
    )
    return sum(result.recomputed_tokens for result in results) / shared


def _within_target_share(
    results: list[RequestResult], kind: str, target_seconds: float
) -> float:
    times = [
        result.first_event_seconds
        for result in results
        if result.request.kind == kind
    ]
    return sum(seconds <= target_seconds for seconds in times) / max(
        len(times), 1
    )


def format_target_rows(rows: list[TargetRow]) -> str:
    """Format rows as a Markdown table."""
    kinds = list(rows[0].within_target)
    head = ['site', 'pattern', 'policy', *kinds, 'median s', '95% s', 'again']
    lines = [_format_line(head), _format_line(['---' for _ in head])]
    for row in rows:
        shares = [f'{row.within_target[kind]:.3f}' for kind in kinds]
        times = [f'{row.median:.3f}', f'{row.p95:.3f}']
        names = [row.site, row.pattern, row.policy]
        recomputed = f'{row.recomputed_share:.3f}'
        lines.append(_format_line([*names, *shares, *times, recomputed]))
    return '\n'.join(lines)


def _format_line(cells: list[str]) -> str:
    return f'| {" | ".join(cells)} |'


def plot_target_rows(
    rows: list[TargetRow], folder: Path = OUTPUT_FOLDER
) -> Path:
    """Plot the share of urgent requests within target; return the path."""
    folder.mkdir(exist_ok=True)
    figure = Figure(figsize=(9, 5))
    axes = figure.add_subplot()
    labels = [f'{row.site}\n{row.pattern}' for row in rows]
    labels = list(dict.fromkeys(labels))
    for policy in dict.fromkeys(row.policy for row in rows):
        chosen = [row for row in rows if row.policy == policy]
        urgent = [next(iter(row.within_target.values())) for row in chosen]
        axes.plot(labels, urgent, marker='o', label=policy)
    axes.set_ylabel('urgent requests in aim')
    axes.tick_params(axis='x', labelsize=6)
    axes.legend()
    path = folder / 'target.svg'
    figure.savefig(path)
    return path
