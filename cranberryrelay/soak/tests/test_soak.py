"""Short runs of the real programs, sound and with one part broken."""

import tempfile
from pathlib import Path
from typing import NamedTuple
from unittest import TestCase, mock

import trio
from nose2.tools import params

from cranberryrelay.soak import SoakPlan, SoakReport, run_soak
from cranberryrelay.soak.tests.broken_relay import PART_VARIABLE

BROKEN_MODULE = 'cranberryrelay.soak.tests.broken_relay'
SECONDS = 8.0


class BrokenCase(NamedTuple):
    """A row: a broken part, a seed, and the promise that is found broken."""

    part: str
    seed: int
    promise: str


BROKEN_CASES = (
    BrokenCase('repeats', 3, 'run once'),
    BrokenCase('notes', 3, 'notes in force'),
    BrokenCase('events', 3, 'own and whole answers'),
)


def run(plan: SoakPlan) -> SoakReport:
    """Run a plan in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return trio.run(run_soak, plan, Path(folder))


class SoakTest(TestCase):
    """A short seeded run."""

    def test_sound(self) -> None:
        report = run(SoakPlan(1, SECONDS, 3, 4))
        self.assertEqual(report.broken, ())
        self.assertGreater(report.answered, 0)

    @params(*((case,) for case in BROKEN_CASES))
    def test_broken_part_is_found(self, case: BrokenCase) -> None:
        plan = SoakPlan(case.seed, SECONDS, 3, 4, BROKEN_MODULE)
        with mock.patch.dict('os.environ', {PART_VARIABLE: case.part}):
            report = run(plan)
        promises = {one.promise for one in report.broken}
        self.assertIn(case.promise, promises)
