"""A budget for sending requests a second time, shared by all instances.

The bound holds for a service over all instances in any window.  Each takes
only its share of the slack, and a part of the ratio of the requests that it
has seen itself, so that no message is needed to keep the bound.
"""

from collections import deque
from typing import Final

# Part of the bound that is used, for repeats that others count differently.
USED_SHARE: Final = 0.6


class RepeatBudget:
    """Repeats of one service in a sliding window."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def take_bounds(self, ratio: float, slack: float, window: float) -> None:
        """Take over other bounds; what was counted stays."""
        self.ratio = ratio
        self.slack = slack
        self.window = window

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self.requests.append(now)
        self._expire(now)

    def take(self, instances: int, now: float) -> bool:
        """Take one repeat; False when the budget is spent."""
        self._expire(now)
        slack = self.slack / max(instances, 1)
        allowed = self.ratio * len(self.requests) + slack
        if len(self.repeats) + 1 > allowed * USED_SHARE:
            return False
        self.repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.window
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest:
                times.popleft()
