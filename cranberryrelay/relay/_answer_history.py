"""Tells whether an upstream went on answering across a moment."""

from collections import OrderedDict
from typing import Final, NamedTuple

# An upstream that answers without a longer gap has not restarted in between.
RESTART_GAP_SECONDS: Final = 1.0

# An answer counts as later than a moment only by more than this, as it may have
# been on its way.
ANSWER_TRANSIT_SECONDS: Final = 0.1

# Upstreams that have been silent for this long are forgotten.
HISTORY_SECONDS: Final = 5.0


class AnswerSeries(NamedTuple):
    """Answers of an upstream without a gap long enough for a restart."""

    # Time of the first answer, in seconds on the local clock.
    began_at: float

    # Time of the last answer, in seconds on the local clock.
    last_at: float


class AnswerHistory:
    """The last series of each upstream, the latest answer last."""

    def __init__(self) -> None:
        self.series: OrderedDict[str, AnswerSeries] = OrderedDict()

    def record(self, upstream: str, now: float) -> None:
        """Record an answer."""
        series = self.series.pop(upstream, AnswerSeries(now, now))
        if now - series.last_at > RESTART_GAP_SECONDS:
            series = AnswerSeries(now, now)
        self.series[upstream] = series._replace(last_at=now)
        oldest = now - HISTORY_SECONDS
        while next(iter(self.series.values())).last_at < oldest:
            self.series.popitem(last=False)

    def spans(self, upstream: str, moment: float) -> bool:
        """Return whether a series began before a moment and went on after."""
        series = self.series.get(upstream)
        if series is None:
            return False
        later_at = moment + ANSWER_TRANSIT_SECONDS
        return series.began_at <= moment and series.last_at > later_at
