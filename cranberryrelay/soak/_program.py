"""The soak's command line."""

import sys
import tempfile
from pathlib import Path
from typing import Final

import fire
import trio

from cranberryrelay.soak._run import SoakPlan, SoakReport, run_soak

# Number of violations printed for a run, at most.
MAX_SHOWN_VIOLATIONS: Final = 12


class SoakCommands:
    """Commands of the soak."""

    def run(
        self,
        seed: int = 1,
        seconds: float = 25,
        instances: int = 4,
        engines: int = 6,
        folder: str = '',
        other_build: str = '',
    ) -> None:
        """Run one seed; the folder keeps logs, runs and settings.

        Half of the instances begin with the sources in ``other_build``.
        """
        plan = SoakPlan(
            seed, seconds, instances, engines, other_build=other_build
        )
        sys.exit(int(bool(run_in_folder(plan, folder).violations)))

    def seeds(
        self,
        first: int,
        last: int,
        seconds: float = 25,
        folder: str = '',
        other_build: str = '',
    ) -> None:
        """Run seeds one after another; exit with 1 if any broke a promise."""
        plan = SoakPlan(first, seconds, other_build=other_build)
        broken = [
            seed
            for seed in range(first, last + 1)
            if run_in_folder(plan._replace(seed=seed), folder).violations
        ]
        sys.stdout.write(f'seeds with broken promises: {broken}\n')
        sys.exit(int(bool(broken)))


def run_in_folder(plan: SoakPlan, folder: str) -> SoakReport:
    """Run a seed in a subfolder of the folder, or in a temporary one."""
    if folder:
        return _run(plan, Path(folder) / f'seed-{plan.seed}')
    with tempfile.TemporaryDirectory() as temporary:
        return _run(plan, Path(temporary))


def _run(plan: SoakPlan, folder: Path) -> SoakReport:
    report = trio.run(run_soak, plan, folder)
    sys.stdout.write(describe(report))
    sys.stdout.flush()
    return report


def describe(report: SoakReport) -> str:
    """Describe a run in one line, and each violation in another."""
    lines = [
        f'seed {report.plan.seed}: {len(report.faults)} faults, '
        f'{report.answered} of {report.sent} requests answered, '
        f'{len(report.violations)} broken promises'
    ]
    shown = report.violations[:MAX_SHOWN_VIOLATIONS]
    lines.extend(f'  {one.promise}: {one.detail}' for one in shown)
    return '\n'.join((*lines, ''))


def main() -> None:
    """Run the command line."""
    fire.Fire(SoakCommands)
