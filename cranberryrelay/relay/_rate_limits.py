"""Keeps the request rates that upstreams name, as a sum over all instances.

Each instance sends an upstream its part of the named rate: one request at each
of its slots, which come at even intervals. A slot that is not used soon is
lost, so that instances which sent little for a while can't exceed the rate
together. Positions of the slots differ between the instances.
"""

import logging
import math
from typing import Final, NamedTuple

from cranberryrelay.relay._hashing import hash_to_unit_interval

# Time for which a slot may be used.
SLOT_VALID_SECONDS: Final = 1.5

# Keeps a slot from being found again after its position was rounded.
_ROUNDING: Final = 1e-6
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class NamedLimit(NamedTuple):
    """A limit that an upstream has named and not withdrawn."""

    # Requests a second that it accepts from all instances together.
    requests_per_second: float

    # When an answer last named it, in seconds on the local clock.
    named_at: float

    # Position of the last slot that was used, as a time on the local clock.
    used_slot_at: float


class LimitNews(NamedTuple):
    """Limits that an instance has learned of, or found withdrawn."""

    # Requests a second by upstream; None if it names no limit any more.
    limits: dict[str, float | None]

    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not self.limits


class RateLimits:
    """Limits by upstream; owned by a single task."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.limits: dict[str, NamedLimit] = {}
        self.news: dict[str, float | None] = {}

    def record_answer(
        self, upstream: str, rate: float | None, sent_at: float, now: float
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        ``sent_at`` is the time at which the request was sent.
        """
        known = self.limits.get(upstream)
        if rate is None:
            if known is not None and sent_at > known.named_at:
                self.remove(upstream)
                self.news[upstream] = None
        elif self._put(upstream, rate, now):
            self.news[upstream] = rate

    def may_send(self, upstream: str, instances: int, now: float) -> bool:
        """Return whether the limit of an upstream allows a request now.

        ``instances`` is the number of live instances that share the limit.
        """
        known = self.limits.get(upstream)
        if known is None:
            return True
        return self._next_slot_at(upstream, known, instances, now) <= now

    def record_sent(self, upstream: str, instances: int, now: float) -> None:
        """Record a request to an upstream, which uses the next slot."""
        known = self.limits.get(upstream)
        if known is not None:
            slot_at = self._next_slot_at(upstream, known, instances, now)
            self.limits[upstream] = known._replace(used_slot_at=slot_at)

    def apply_news(self, news: LimitNews, now: float) -> LimitNews:
        """Apply the news of a peer; return the part that was new here."""
        new = LimitNews({})
        for upstream, rate in news.limits.items():
            if rate is None:
                changed = upstream in self.limits
                self.remove(upstream)
            else:
                changed = self._put(upstream, rate, now)
            if changed:
                new.limits[upstream] = rate
        return new

    def take_news(self) -> LimitNews:
        """Return what has not been told to the others yet, and clear it."""
        news = LimitNews(self.news)
        self.news = {}
        return news

    def summarize(self) -> LimitNews:
        """Return all known limits, for an instance that has just started."""
        return LimitNews(
            {
                upstream: limit.requests_per_second
                for upstream, limit in self.limits.items()
            }
        )

    def remove(self, upstream: str) -> None:
        """Forget the limit of an upstream."""
        if self.limits.pop(upstream, None) is not None:
            _LOG.info('upstream names no limit', extra={'upstream': upstream})

    def _put(self, upstream: str, rate: float, now: float) -> bool:
        known = self.limits.get(upstream)
        if known is not None and known.requests_per_second == rate:
            self.limits[upstream] = known._replace(named_at=now)
            return False
        _LOG.info(
            'upstream names limit',
            extra={'upstream': upstream, 'requests_per_second': rate},
        )
        self.limits[upstream] = NamedLimit(rate, now, now)
        return True

    def _next_slot_at(
        self, upstream: str, limit: NamedLimit, instances: int, now: float
    ) -> float:
        """Return the first slot that is neither used nor lost."""
        rate = limit.requests_per_second / max(instances, 1)
        if not rate:
            return float('inf')
        position = hash_to_unit_interval(f'{self.instance} {upstream}')
        taken_until = max(limit.used_slot_at, now - SLOT_VALID_SECONDS)
        slot = math.floor(taken_until * rate + position + _ROUNDING) + 1
        return (slot - position) / rate
