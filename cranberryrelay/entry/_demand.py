"""Measures the demand on each cell, as input for role planning."""

from collections import Counter, deque
from collections.abc import Sequence
from typing import Final, NamedTuple

from cranberryrelay.agreement import DemandReport, RankDemand
from cranberryrelay.entry._messages import SlotRequest

DEMAND_WINDOW_SECONDS: Final = 8.0
_MILLISECONDS_PER_SECOND: Final = 1000


class DemandSample(NamedTuple):
    """Demand of one request."""

    # Arrival time on the local clock, in seconds.
    arrived_at: float

    # Name of the cell.
    cell: str

    # Name of the rank.
    rank: str

    # Estimated prompt tokens and maximum output tokens.
    prompt_tokens: int
    output_tokens: int


class DemandTracker:
    """Demand within a sliding window.

    Not safe for concurrent use: only the entry's core calls it.
    """

    def __init__(self) -> None:
        self.samples: deque[DemandSample] = deque()

    def record(self, cell: str, request: SlotRequest, now: float) -> None:
        """Add a request to the window."""
        self.samples.append(
            DemandSample(
                now,
                cell,
                request.rank,
                request.prompt_tokens,
                request.output_tokens,
            )
        )

    def make_reports(
        self, waiting_requests: Sequence[SlotRequest], now: float
    ) -> list[DemandReport]:
        """Return the demand report of each cell, in tokens per second.

        Waiting requests are added at the rate needed to serve each of them
        within its target for the first token.
        """
        while (
            self.samples
            and self.samples[0].arrived_at < now - DEMAND_WINDOW_SECONDS
        ):
            self.samples.popleft()
        prefill: Counter[tuple[str, str]] = Counter()
        decode: Counter[tuple[str, str]] = Counter()
        for sample in self.samples:
            key = (sample.cell, sample.rank)
            prefill[key] += sample.prompt_tokens
            decode[key] += sample.output_tokens
        for queued in waiting_requests:
            cell = queued.notes.models[queued.kind.model].cell
            seconds = queued.kind.first_token_ms / _MILLISECONDS_PER_SECOND
            windows = DEMAND_WINDOW_SECONDS / seconds
            key = (cell, queued.rank)
            prefill[key] += round(queued.prompt_tokens * windows)
            decode[key] += round(queued.output_tokens * windows)
        cells = sorted({cell for cell, _ in prefill})
        return [
            DemandReport(
                cell,
                tuple(
                    RankDemand(
                        rank,
                        prefill[(cell, rank)] / DEMAND_WINDOW_SECONDS,
                        decode[(cell, rank)] / DEMAND_WINDOW_SECONDS,
                    )
                    for named_cell, rank in sorted(prefill)
                    if named_cell == cell
                ),
            )
            for cell in cells
        ]
