"""Stand-in for a plain service, such as renewals or bookings."""

from collections import Counter
from collections.abc import Mapping
from typing import Final, NamedTuple

import trio

CALL_SECONDS: Final = 0.02


class ServiceFaults(NamedTuple):
    """Faults that a service injects."""

    # Delay of every answer, in seconds.
    slow_seconds: float = 0

    # Number of upcoming calls that run but get no answer.
    lost_answers: int = 0


class ServiceStandIn:
    """Runs calls and counts the runs of each distinct call."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = ServiceFaults()
        self.runs: Counter[str] = Counter()

    def switch_faults(self, switches: Mapping[str, object]) -> None:
        """Set the named fault switches; the others keep their values."""
        self.faults = self.faults._replace(**switches)  # type: ignore[arg-type]

    async def run(self, route: str, body: str) -> str | None:
        """Run a call and return its answer; None if the answer is lost."""
        self.runs[f'{route} {body}'] += 1
        await trio.sleep(CALL_SECONDS + self.faults.slow_seconds)
        if self.faults.lost_answers > 0:
            remaining = self.faults.lost_answers - 1
            self.switch_faults({'lost_answers': remaining})
            return None
        return f'{self.name} did {route} {body}'

    def count_repeated_calls(self) -> int:
        """Return the number of distinct calls that ran more than once."""
        return sum(1 for count in self.runs.values() if count > 1)
