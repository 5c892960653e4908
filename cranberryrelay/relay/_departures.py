"""Remembers which upstreams have said in an answer that they are leaving.

The word of an upstream itself goes before its record in the store, which may be
older, unreadable or missing for a while. It holds for that incarnation alone.
"""

import logging
from collections import OrderedDict
from typing import Final, NamedTuple

# A leaving upstream has ended, and its record with it, long before this.
REMEMBERED_SECONDS: Final = 600.0

# Most incarnations that are remembered.
DEPARTURES_LIMIT: Final = 16_384
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class DepartureNews(NamedTuple):
    """Upstreams that have said that they are leaving."""

    # Ids of their incarnations.
    incarnations: list[str]

    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not self.incarnations


class Departures:
    """Leaving incarnations, the latest last; owned by a single task."""

    def __init__(self) -> None:
        self.heard_at: OrderedDict[str, float] = OrderedDict()
        self.news: list[str] = []

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an incarnation has said that it is leaving."""
        return incarnation in self.heard_at

    def record(self, incarnation: str, now: float) -> None:
        """Record an answer that says so, also for the other instances."""
        if self._add(incarnation, now):
            self.news.append(incarnation)

    def apply_news(self, news: DepartureNews, now: float) -> DepartureNews:
        """Apply the news of a peer; return the part that was new here."""
        return DepartureNews(
            [one for one in news.incarnations if self._add(one, now)]
        )

    def take_news(self) -> DepartureNews:
        """Return what has not been told to the others yet, and clear it."""
        news = DepartureNews(self.news)
        self.news = []
        return news

    def summarize(self) -> DepartureNews:
        """Return all that is known, for an instance that has just started."""
        return DepartureNews(list(self.heard_at))

    def _add(self, incarnation: str, now: float) -> bool:
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
