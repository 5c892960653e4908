"""What callers ask of each cell, for the planner of its roles."""

from collections import Counter, deque
from collections.abc import Sequence
from typing import Final, NamedTuple

from cranberryrelay.agreement import DemandReport, RankDemand
from cranberryrelay.entry._messages import AskSlot

DEMAND_SECONDS: Final = 8.0
_MILLISECONDS: Final = 1000


class Asked(NamedTuple):
    """A request as far as demand goes."""

    # When it came; own clock.
    at: float

    # Name of the cell.
    cell: str

    # Name of the rank.
    rank: str

    # Prompt and output tokens.
    prompt_tokens: int
    output_tokens: int


class DemandBook:
    """The demand of the last seconds; one task owns it."""

    def __init__(self) -> None:
        self.asked: deque[Asked] = deque()

    def record(self, cell: str, asked: AskSlot, now: float) -> None:
        """Count a request."""
        self.asked.append(
            Asked(
                now,
                cell,
                asked.rank,
                asked.prompt_tokens,
                asked.output_tokens,
            )
        )

    def make_reports(
        self, waiting: Sequence[AskSlot], now: float
    ) -> list[DemandReport]:
        """Report each cell's demand; what waits counts by its target."""
        while self.asked and self.asked[0].at < now - DEMAND_SECONDS:
            self.asked.popleft()
        prefill: Counter[tuple[str, str]] = Counter()
        decode: Counter[tuple[str, str]] = Counter()
        for one in self.asked:
            key = (one.cell, one.rank)
            prefill[key] += one.prompt_tokens
            decode[key] += one.output_tokens
        for late in waiting:
            cell = late.notes.models[late.kind.model].cell
            seconds = late.kind.first_token_ms / _MILLISECONDS
            share = DEMAND_SECONDS / seconds
            key = (cell, late.rank)
            prefill[key] += round(late.prompt_tokens * share)
            decode[key] += round(late.output_tokens * share)
        cells = sorted({cell for cell, _ in prefill})
        return [
            DemandReport(
                cell,
                tuple(
                    RankDemand(
                        rank,
                        prefill[(cell, rank)] / DEMAND_SECONDS,
                        decode[(cell, rank)] / DEMAND_SECONDS,
                    )
                    for named, rank in sorted(prefill)
                    if named == cell
                ),
            )
            for cell in cells
        ]
