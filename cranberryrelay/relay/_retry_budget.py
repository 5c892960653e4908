"""Retry budget of a service, which all instances share.

The bound covers the retries of all instances for a service in any window.
Each instance uses only its share of the slack, and a ratio of the requests
that it has received itself, so no coordination is needed to keep the bound.
"""

from collections import deque
from typing import Final

# Share of the bound that is used.  The rest allows for others that count
# retries differently.
USED_SHARE: Final = 0.6


class RetryBudget:
    """Requests and retries of one service in a sliding window."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def update_bounds(self, ratio: float, slack: float, window: float) -> None:
        """Replace the bounds; keep what has been counted."""
        self.ratio = ratio
        self.slack = slack
        self.window = window

    def count_request(self, now: float) -> None:
        """Count a request received from a caller."""
        self.requests.append(now)
        self._expire(now)

    def take(self, instances: int, now: float) -> bool:
        """Take one retry; return False if the budget is spent.

        ``instances`` is the number of live instances that share the slack.
        """
        self._expire(now)
        slack = self.slack / max(instances, 1)
        allowed = self.ratio * len(self.requests) + slack
        if len(self.retries) + 1 > allowed * USED_SHARE:
            return False
        self.retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        cutoff = now - self.window
        for times in (self.requests, self.retries):
            while times and times[0] < cutoff:
                times.popleft()
