"""Short runs of the real programs, without and with a defect.

Guards against checks that miss a violation and against false alarms.
"""

import tempfile
from pathlib import Path
from typing import NamedTuple
from unittest import TestCase

import trio

from cranberryrelay.soak import SoakPlan, SoakReport, run_soak
from cranberryrelay.soak._faults import FaultKind, ScheduledFault

BROKEN_MODULE = 'cranberryrelay.soak.tests.broken_relay'
SECONDS = 8.0
SEED = 23


# Each of them hits a call of the service with a probability of two thirds.
RESETS = tuple(
    ScheduledFault(
        1 + idx / 2, 0, FaultKind.UPSTREAM_RESET, f'plain-0{plain}', 0
    )
    for idx in range(8)
    for plain in (4, 5)
)
# Shorter and longer idle limits in turn.
SERIES = tuple(
    ScheduledFault(1 + 2 * idx, 0, FaultKind.NOTES, '', 0) for idx in range(3)
)
NOTE = (ScheduledFault(1, 0, FaultKind.NOTES, '', 0),)


class Case(NamedTuple):
    """The defect, the injected faults and the promise found violated."""

    defect: str
    faults: tuple[ScheduledFault, ...]
    promise: str

    # Connections of each instance that are reused at about the idle limit.
    connections: int = 4


CASES = (
    Case('', (), ''),
    Case('repeats', RESETS, 'run once'),
    Case('notes', NOTE, 'notes in force'),
    Case('events', NOTE, 'own and whole answers'),
    Case('reuses', SERIES, 'answered', connections=12),
)


class SoakTest(TestCase):
    """Short seeded runs, executed concurrently."""

    def test_sound_and_broken_parts(self) -> None:
        try:
            reports = trio.run(run_all)
        except BaseExceptionGroup as group:
            # The test report truncates nested groups before their cause.
            raise find_cause(group) from None
        for case in CASES:
            with self.subTest(case.defect):
                report = reports[case.defect]
                self.assertGreater(report.answered, 0)
                promises = {one.promise for one in report.violations}
                if case.promise:
                    self.assertIn(case.promise, promises, report.disturbances)
                else:
                    self.assertEqual(report.violations, ())


def find_cause(error: BaseException) -> BaseException:
    """Return the first exception inside nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


async def run_all() -> dict[str, SoakReport]:
    """Run all cases concurrently."""
    reports: dict[str, SoakReport] = {}

    async def run_case(case: Case, folder: Path) -> None:
        plan = SoakPlan(
            SEED,
            SECONDS,
            3,
            4,
            faults=case.faults,
            reused_connections=case.connections,
        )
        if case.defect:
            plan = plan._replace(
                relay_command=(BROKEN_MODULE, case.defect, 'run')
            )
        reports[case.defect] = await run_soak(plan, folder / f'_{case.defect}')

    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            for case in CASES:
                nursery.start_soon(run_case, case, Path(folder))
    return reports
