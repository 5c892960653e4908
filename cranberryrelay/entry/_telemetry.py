"""Counters and histograms of the data path."""

import logging
from typing import Final

from aioprometheus import Counter, Histogram, Registry, render

from cranberryrelay.codes import ResultCode

_FIRST_TOKEN_BUCKETS_SECONDS: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.3, 2.5, 5.0)
_BETWEEN_TOKENS_BUCKETS_SECONDS: Final = (
    0.01,
    0.02,
    0.035,
    0.052,
    0.1,
    0.25,
    1.0,
)
_LOG: Final = logging.getLogger('cranberryrelay.entry')


class Telemetry:
    """Metrics and request log of the data path."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            'cranberryrelay_requests',
            'Requests by rank, result code and revision',
            registry=self.registry,
        )
        self.time_to_first_token = Histogram(
            'cranberryrelay_first_token_seconds',
            'Time to the first token by rank',
            buckets=list(_FIRST_TOKEN_BUCKETS_SECONDS),
            registry=self.registry,
        )
        self.time_between_tokens = Histogram(
            'cranberryrelay_between_tokens_seconds',
            'Time between tokens by rank',
            buckets=list(_BETWEEN_TOKENS_BUCKETS_SECONDS),
            registry=self.registry,
        )

    def record_request(
        self, request_id: str, revision: int, rank: str, code: ResultCode
    ) -> None:
        """Count and log a request that has ended."""
        labels = {
            'rank': rank,
            'code': str(code.value),
            'revision': str(revision),
        }
        self.requests.inc(labels)
        _LOG.info('request', extra={**labels, 'request_id': request_id})

    def render_metrics(
        self, accepts: list[str]
    ) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as text and the response headers."""
        return render(self.registry, accepts)
