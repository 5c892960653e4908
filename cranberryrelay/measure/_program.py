"""The measure program: one command per group of measurements."""

import sys
from pathlib import Path

import fire
import trio

from cranberryrelay.measure._agreement import measure_agreement
from cranberryrelay.measure._capacity import measure_capacity
from cranberryrelay.measure._instance_cost import measure_instance_cost
from cranberryrelay.measure._overhead import measure_overhead
from cranberryrelay.measure._policy_report import (
    format_policy_rows,
    measure_policies,
    write_policy_files,
)
from cranberryrelay.measure._target_report import (
    format_target_rows,
    measure_target,
    plot_target_rows,
)


class MeasureCommands:
    """Commands of cranberryrelay-measure."""

    def policy(self, seed: int = 1, scenarios: str = 'policy.toml') -> None:
        """Compare the ranked policy with baselines; writes measured/."""
        rows = measure_policies(seed, scenarios)
        write_policy_files(rows)
        sys.stdout.write(f'seed {seed}\n{format_policy_rows(rows)}\n')

    def target(
        self, seed: int = 1, scenarios: str = 'scenarios/target.toml'
    ) -> None:
        """Compare routing policies on the emulated target; plots them."""
        rows = measure_target(Path(scenarios), seed)
        sys.stdout.write(f'seed {seed}\n{format_target_rows(rows)}\n')
        sys.stdout.write(f'{plot_target_rows(rows)}\n')

    def agreement(self) -> None:
        """Time release notes, lease take-overs and ledger bookings.

        The measurement runs in virtual time.
        """
        sys.stdout.write(f'{measure_agreement()}\n')

    def capacity(self) -> None:
        """Measure costs by size and extrapolate them to the users' size."""
        sys.stdout.write(f'{measure_capacity()}\n')

    def overhead(self, requests: int = 200) -> None:
        """Compare calls through an entry with direct calls to the engine."""
        sys.stdout.write(f'{trio.run(measure_overhead, requests)}\n')

    def instance(
        self, requests: int = 300, instances: int = 1, build: str = '.'
    ) -> None:
        """Measure the processor time of an instance by stage.

        ``build`` is the folder of the sources that it runs.
        """
        report = trio.run(measure_instance_cost, requests, instances, build)
        sys.stdout.write(f'{report}\n')


def main() -> None:
    """Run the command line."""
    fire.Fire(MeasureCommands)
