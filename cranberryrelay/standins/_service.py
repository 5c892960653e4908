"""A stand-in for a plain service, such as renewals or bookings."""

from collections import Counter
from collections.abc import Mapping
from typing import Final, NamedTuple

import trio

SERVICE_SECONDS: Final = 0.02


class ServiceFaults(NamedTuple):
    """Fault switches of a service."""

    # Delay of every answer, in seconds.
    slow_seconds: float = 0

    # Number of next calls that run but are not answered.
    lost_answers: int = 0


class ServiceStandIn:
    """Runs calls and counts how often each of them ran."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = ServiceFaults()
        self.runs: Counter[str] = Counter()

    def switch_faults(self, switches: Mapping[str, object]) -> None:
        """Change the named fault switches."""
        self.faults = self.faults._replace(**switches)  # type: ignore[arg-type]

    async def run(self, route: str, body: str) -> str | None:
        """Run a call and answer it; None when the answer is lost."""
        self.runs[f'{route} {body}'] += 1
        await trio.sleep(SERVICE_SECONDS + self.faults.slow_seconds)
        if self.faults.lost_answers > 0:
            left = self.faults.lost_answers - 1
            self.switch_faults({'lost_answers': left})
            return None
        return f'{self.name} did {route} {body}'

    def count_repeats(self) -> int:
        """Return how many calls ran more than once."""
        return sum(1 for times in self.runs.values() if times > 1)
