"""Short runs of the real programs, sound and with one part broken."""

import tempfile
from pathlib import Path
from typing import NamedTuple
from unittest import TestCase

import trio

from cranberryrelay.soak import SoakPlan, SoakReport, run_soak
from cranberryrelay.soak._faults import FaultKind, PlannedFault

BROKEN_MODULE = 'cranberryrelay.soak.tests.broken_relay'
SECONDS = 8.0
SEED = 23


# Each of them meets a call of the service with a chance of two in three.
RESETS = tuple(
    PlannedFault(1 + idx / 2, 0, FaultKind.UPSTREAM_RESET, f'plain-0{plain}', 0)
    for idx in range(8)
    for plain in (4, 5)
)
NOTE = (PlannedFault(1, 0, FaultKind.NOTES, '', 0),)


class Case(NamedTuple):
    """A row: the part that is broken, the faults, the promise found broken."""

    part: str
    faults: tuple[PlannedFault, ...]
    promise: str


CASES = (
    Case('', (), ''),
    Case('repeats', RESETS, 'run once'),
    Case('notes', NOTE, 'notes in force'),
    Case('events', NOTE, 'own and whole answers'),
)


class SoakTest(TestCase):
    """Short seeded runs beside each other."""

    def test_sound_and_broken_parts(self) -> None:
        try:
            reports = trio.run(run_all)
        except BaseExceptionGroup as group:
            # The report of a test cuts nested groups before their cause.
            raise find_cause(group) from None
        for case in CASES:
            with self.subTest(case.part):
                report = reports[case.part]
                self.assertGreater(report.answered, 0)
                promises = {one.promise for one in report.broken}
                if case.promise:
                    self.assertIn(case.promise, promises)
                else:
                    self.assertEqual(report.broken, ())


def find_cause(error: BaseException) -> BaseException:
    """Return the first exception inside nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


async def run_all() -> dict[str, SoakReport]:
    """Run all cases at once."""
    reports: dict[str, SoakReport] = {}

    async def run_case(case: Case, folder: Path) -> None:
        plan = SoakPlan(SEED, SECONDS, 3, 4, faults=case.faults)
        if case.part:
            plan = plan._replace(relay=(BROKEN_MODULE, case.part, 'run'))
        reports[case.part] = await run_soak(plan, folder / f'_{case.part}')

    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            for case in CASES:
                nursery.start_soon(run_case, case, Path(folder))
    return reports
