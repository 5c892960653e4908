"""Admission queue that delays less urgent requests while engines are loaded.

Engines process prompts in order of arrival, so a more urgent request cannot
overtake what was already sent.  During a burst of requests, or after a burst
has taken engines down, less urgent requests therefore wait here, the oldest
first, until an engine has nearly worked off its backlog.
"""

from collections import deque
from typing import Final, NamedTuple

from cranberryrelay.relay._catalogue import Rank

# Longest backlog at the chosen engine with which a request is sent, by rank,
# while urgent requests would have to wait at every other engine.
BACKLOG_LIMITS_SECONDS: Final = (float('inf'), 1.0, 0.5)

# The same while another engine can serve urgent requests in time.
RELAXED_BACKLOG_LIMITS_SECONDS: Final = (float('inf'), 1.5, 1.2)

# Longest wait at an engine that is acceptable for urgent requests.
URGENT_WAIT_SECONDS: Final = 0.08

# Share of the decode slots that may be in use when a request is sent, by rank.
TAKEN_SHARE_LIMITS: Final = (float('inf'), 1.0, 0.7)

# Interval at which a queued request checks for capacity.
RECHECK_SECONDS: Final = 0.025

# Share of the time left to a request that it may spend in the queue.
QUEUED_TIME_SHARE: Final = 0.55


class LoadForecast(NamedTuple):
    """Expected load for a request that is sent now."""

    # Backlog at the engine chosen for its prompt.
    backlog_seconds: float

    # Shortest wait at any other engine, which later requests could use.
    other_wait_seconds: float

    # Share of the decode slots in use.
    taken_share: float


class AdmissionQueue:
    """Queues of request ids, one per rank, each in order of arrival."""

    def __init__(self) -> None:
        self.queues: dict[Rank, deque[str]] = {rank: deque() for rank in Rank}

    def add(self, request_id: str, rank: Rank) -> None:
        """Append a request to the queue of its rank."""
        self.queues[rank].append(request_id)

    def remove(self, request_id: str, rank: Rank) -> None:
        """Remove a request from the queue of its rank, if it is queued."""
        if request_id in self.queues[rank]:
            self.queues[rank].remove(request_id)

    def can_dispatch(
        self, request_id: str, rank: Rank, forecast: LoadForecast
    ) -> bool:
        """Return whether a queued request may be sent to an engine now.

        It must be the oldest of its rank, no more urgent request may be
        queued, and there must be capacity.
        """
        more_urgent = any(self.queues[one] for one in Rank if one < rank)
        is_first = self.queues[rank][0] == request_id
        if more_urgent or not is_first:
            return False
        return has_capacity(rank, forecast)


def has_capacity(rank: Rank, forecast: LoadForecast) -> bool:
    """Return whether the forecast load allows another request of a rank."""
    limits = BACKLOG_LIMITS_SECONDS
    if forecast.other_wait_seconds <= URGENT_WAIT_SECONDS:
        limits = RELAXED_BACKLOG_LIMITS_SECONDS
    return (
        forecast.backlog_seconds <= limits[rank]
        and forecast.taken_share <= TAKEN_SHARE_LIMITS[rank]
    )
