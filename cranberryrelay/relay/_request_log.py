"""Collects the decisions on a model request for one log line at its end."""

import logging
from typing import Final

from cranberryrelay.codes import Failure
from cranberryrelay.relay._admission_queue import LoadForecast
from cranberryrelay.relay._catalogue import Upstream
from cranberryrelay.relay._context import AdmittedRequest
from cranberryrelay.relay._placement import Candidate
from cranberryrelay.relay._request_digest import digest_request

_DIGITS: Final = 4
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class RequestLog:
    """Decisions on one request, with the values that they were based on."""

    def __init__(self, admitted: AdmittedRequest) -> None:
        self.admitted = admitted
        self.decisions: dict[str, object] = {}
        self.prefill_sent_at = admitted.request.arrived_at
        self.event_count = 0
        self.last_event_at = float('-inf')
        self.longest_pause = float(0)

    def record_prefill_engine(self, chosen: Candidate, sent_at: float) -> None:
        """Record the engine that runs the prefill, and its forecast."""
        queued = sent_at - self.admitted.request.arrived_at
        self.prefill_sent_at = sent_at
        self.decisions |= {
            'reader': chosen.engine.name,
            'tokens_to_read': chosen.tokens_to_read,
            'predicted_seconds': round(chosen.wait_seconds, _DIGITS),
            'queued_seconds': round(queued, _DIGITS),
        }

    def record_queued(self, forecast: LoadForecast, queue_length: int) -> None:
        """Record the queue length and load when a request leaves the queue."""
        self.decisions |= {
            'held': queue_length,
            'ahead_seconds': round(forecast.backlog_seconds, _DIGITS),
            'taken_share': round(forecast.taken_share, _DIGITS),
        }

    def record_prefill_done(self, done_at: float) -> None:
        """Record how long the prefill took."""
        self.decisions['read_seconds'] = round(
            done_at - self.prefill_sent_at, _DIGITS
        )

    def record_decode_engine(self, engine: Upstream) -> None:
        """Record the engine that generates."""
        self.decisions['generator'] = engine.name
        self.decisions['software_version'] = engine.software_version

    def record_event(self, now: float) -> float | None:
        """Record an event; return the time to first event for the first."""
        first_seconds: float | None = None
        if self.event_count:
            self.longest_pause = max(
                self.longest_pause, now - self.last_event_at
            )
        else:
            first_seconds = now - self.admitted.request.arrived_at
            self.decisions['first_seconds'] = round(first_seconds, _DIGITS)
        self.last_event_at = now
        self.event_count += 1
        return first_seconds

    def log_answered(self, now: float) -> None:
        """Log a request whose stream was sent to its end."""
        elapsed = now - self.admitted.request.arrived_at
        self.write(
            'answered',
            seconds=round(elapsed, _DIGITS),
            events=self.event_count,
            longest_pause=round(self.longest_pause, _DIGITS),
        )

    def log_engine_failure(self, engine: Upstream, failure: Failure) -> None:
        """Log a failure of an engine during the request."""
        _LOG.info(
            'engine failed',
            extra={
                'request_id': self.admitted.request.request_id,
                'upstream': engine.name,
                'code': failure.code.value,
                'detail': failure.detail,
            },
        )

    def log_interrupted(self, engine: str, failure: Failure) -> None:
        """Log a run that its engine broke off, with the prompt it was on."""
        model_request = self.admitted.request.model_request
        segments = model_request.shared_segments() if model_request else ()
        _LOG.info(
            'run interrupted',
            extra={
                'request_id': self.admitted.request.request_id,
                'upstream': engine,
                'events': self.event_count,
                'segments': [segment.digest for segment in segments],
                'request_digest': digest_request(self.admitted.request),
                'code': failure.code.value,
                'detail': failure.detail,
            },
        )

    def write(self, event_text: str, **extra: object) -> None:
        """Log a line with all decisions that were recorded for the request."""
        _LOG.info(
            event_text,
            extra={
                'request_id': self.admitted.request.request_id,
                'rank': int(self.admitted.route.rank),
                'revision': self.admitted.revision,
                **self.decisions,
                **extra,
            },
        )
