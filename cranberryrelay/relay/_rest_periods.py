"""Keeps until when upstreams want no requests from this instance.

An upstream that refuses a request may ask the instance that sent it for rest.
It asks each instance for itself, so peers are not told.
"""

import logging
from typing import Final

_LOG: Final = logging.getLogger('cranberryrelay.relay')


class RestPeriods:
    """Ends of the rests, by incarnation; owned by a single task."""

    def __init__(self) -> None:
        self.ends_at: dict[str, float] = {}

    def record(self, incarnation: str, seconds: float, now: float) -> None:
        """Record a refusal that asks for rest; a longer rest stays."""
        self.ends_at = {
            known: ends_at
            for known, ends_at in self.ends_at.items()
            if ends_at > now
        }
        if incarnation not in self.ends_at:
            _LOG.info(
                'upstream asks for rest',
                extra={'upstream': incarnation, 'seconds': seconds},
            )
        ends_at = max(self.end_of(incarnation), now + seconds)
        self.ends_at[incarnation] = ends_at

    def is_resting(self, incarnation: str, now: float) -> bool:
        """Return whether an incarnation wants no requests now."""
        return self.end_of(incarnation) > now

    def end_of(self, incarnation: str) -> float:
        """Return the end of a rest; -inf for none."""
        return self.ends_at.get(incarnation, float('-inf'))
