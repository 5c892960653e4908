"""A nose2 plugin that ends a test run with the line 'N passed, N failed'.

Failed tests whose id is listed in KNOWN-RED.txt are printed, but do not make
the run fail.
"""

import sys
from pathlib import Path
from typing import Any

from nose2 import events, result

KNOWN_RED_FILE = 'KNOWN-RED.txt'


def read_known_red() -> frozenset[str]:
    """Return the ids of the tests that are known to fail."""
    path = Path(KNOWN_RED_FILE)
    if not path.exists():
        return frozenset()
    return frozenset(
        line.split()[0]
        for line in path.read_text().splitlines()
        if line.startswith('cranberryrelay.')
    )


class ClosingLinePlugin(events.Plugin):  # type: ignore[misc]
    """Counts test outcomes and writes the closing line."""

    configSection = 'closing-line'

    def __init__(self) -> None:
        self.passed = 0
        self.failed: list[str] = []
        self.known_red = read_known_red()

    def testOutcome(self, event: Any) -> None:
        """Count the outcome of a test; a known failure becomes a skip."""
        if event.outcome == result.PASS:
            self.passed += 1
        elif event.outcome in {result.FAIL, result.ERROR}:
            name = event.test.id().splitlines()[0]
            self.failed.append(name)
            if name in self.known_red:
                event.outcome = result.SKIP
                event.reason = 'known red'

    def afterSummaryReport(self, event: Any) -> None:
        """Write the failed tests and the closing line."""
        for name in self.failed:
            known = ' (known red)' if name in self.known_red else ''
            sys.stdout.write(f'failed: {name}{known}\n')
        sys.stdout.write(f'{self.passed} passed, {len(self.failed)} failed\n')
        sys.stdout.flush()
