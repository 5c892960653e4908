"""Request rates that upstreams name, as known to one instance."""

import logging
from typing import Final, NamedTuple

_LOG: Final = logging.getLogger('cranberryrelay.relay')


class NamedLimit(NamedTuple):
    """A limit that an upstream has named and not withdrawn."""

    # Requests a second that it accepts from all instances together.
    requests_per_second: float

    # When an answer last named it, in seconds on the local clock.
    named_at: float


class RateLimits:
    """Limits by upstream; owned by a single task."""

    def __init__(self) -> None:
        self.limits: dict[str, NamedLimit] = {}

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
            return
        if known is None or known.requests_per_second != rate:
            _LOG.info(
                'upstream names limit',
                extra={'upstream': upstream, 'requests_per_second': rate},
            )
        self.limits[upstream] = NamedLimit(rate, now)

    def remove(self, upstream: str) -> None:
        """Forget the limit of an upstream."""
        if self.limits.pop(upstream, None) is not None:
            _LOG.info('upstream names no limit', extra={'upstream': upstream})
