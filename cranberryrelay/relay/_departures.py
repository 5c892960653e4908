"""Remembers which upstreams have said in an answer that they are leaving.

The word of an upstream itself goes before its record in the store, which may be
older, unreadable or missing for a while. It holds for that incarnation alone.
"""

import logging
from collections import OrderedDict
from typing import Final

# A leaving upstream has ended, and its record with it, long before this.
REMEMBERED_SECONDS: Final = 600.0

# Most incarnations that are remembered.
DEPARTURES_LIMIT: Final = 16_384
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class Departures:
    """Leaving incarnations, the latest last; owned by a single task."""

    def __init__(self) -> None:
        self.heard_at: OrderedDict[str, float] = OrderedDict()

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an incarnation has said that it is leaving."""
        return incarnation in self.heard_at

    def record(self, incarnation: str, now: float) -> bool:
        """Record an answer that says so; return whether it was new."""
        self._forget(now - REMEMBERED_SECONDS)
        if incarnation in self.heard_at:
            return False
        self.heard_at[incarnation] = now
        if len(self.heard_at) > DEPARTURES_LIMIT:
            self.heard_at.popitem(last=False)
        _LOG.info('upstream says it leaves', extra={'upstream': incarnation})
        return True

    def _forget(self, oldest: float) -> None:
        while self.heard_at and next(iter(self.heard_at.values())) < oldest:
            self.heard_at.popitem(last=False)
