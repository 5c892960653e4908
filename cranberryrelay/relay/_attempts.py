"""State shared by the attempts of one request: time left, budget, failures."""

import logging
from collections.abc import Callable
from functools import partial
from typing import Final, TypeVar

from result import Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay._admission_queue import (
    QUEUED_TIME_SHARE,
    RECHECK_SECONDS,
)
from cranberryrelay.relay._catalogue import Role, Upstream
from cranberryrelay.relay._context import AdmittedRequest, RelayContext
from cranberryrelay.relay._hashing import hash_to_unit_interval
from cranberryrelay.relay._request_log import RequestLog
from cranberryrelay.relay._requests import ResponseMetadata, UpstreamCall
from cranberryrelay.relay._upstream_call import (
    UpstreamResponse,
    open_response,
    read_body,
)

Chosen = TypeVar('Chosen')

# A timeout counts as a failure of the upstream only after a longer wait, as a
# sound upstream may be silent for a second or so and callers have less time.
SOUND_SILENCE_SECONDS: Final = 1.5

# Time over which the callers of a rank return after a rest.
RETURN_SPREAD_SECONDS: Final = 0.2
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class Attempts:
    """Attempts of one request, at one upstream after another."""

    def __init__(
        self, context: RelayContext, admitted: AdmittedRequest
    ) -> None:
        self.context = context
        self.admitted = admitted

        # Names of upstreams that this request does not try again.
        self.excluded: frozenset[str] = frozenset()

        # Time of the last send, in seconds on the local clock; minus infinity
        # before the first one.
        self.sent_at = float('-inf')

    def remaining_seconds(self) -> float:
        """Return the time left until the deadline of the request."""
        return self.admitted.remaining_seconds(self.context.timers.now())

    async def open_response(
        self, upstream: Upstream, call: UpstreamCall
    ) -> Result[UpstreamResponse, Failure]:
        """Send a call; records the send and what the response says.

        Every request of a caller to an upstream is sent here.
        """
        sent_at = self.context.timers.now()
        self.context.state.record_attempt(upstream.name, sent_at)
        self.log_unwanted_send(upstream, sent_at)
        self.sent_at = sent_at
        progress = self.admitted.progress
        before = progress.begin_send(prefill_only=call.prefill_only)
        outcome = await open_response(
            self.context.client,
            self.context.dialect,
            call,
            self.admitted.stack,
            partial(self.record_metadata, upstream, sent_at),
        )
        progress.end_send(outcome.err(), may_have_run_before=before)
        return outcome

    async def read_body(
        self, response: UpstreamResponse
    ) -> Result[bytes, Failure]:
        """Read the whole body of a response, in the time that is left."""
        budget = self.context.state.answer_budget
        buffer = self.admitted.stack.enter_context(budget.open_buffer())
        return await read_body(response, self.remaining_seconds(), buffer)

    def is_sent(self) -> bool:
        """Return whether the request has been sent to an upstream."""
        return self.sent_at > float('-inf')

    def record_upstream_failure(
        self, upstream: Upstream, failure: Failure
    ) -> None:
        """Record the failure of the last send for the upstream.

        An error of this instance, or a timeout that a sound silence explains,
        is only counted.
        """
        state = self.context.state
        now = self.context.timers.now()
        timed_out = failure.code is ResultCode.UPSTREAM_TIMEOUT
        is_silence = timed_out and now - self.sent_at <= SOUND_SILENCE_SECONDS
        if is_silence or failure.code is ResultCode.INTERNAL_ERROR:
            state.telemetry.count_failure(failure.code)
        else:
            state.record_failure(upstream.name, failure, now)

    def record_metadata(
        self, upstream: Upstream, sent_at: float, metadata: ResponseMetadata
    ) -> None:
        """Record what a response says of the upstream, also if it is an error.

        Another incarnation speaks for itself, not for the one expected. Of an
        answer to an earlier request only what is final is still true.
        """
        if metadata.misdirected:
            return
        state = self.context.state
        now = self.context.timers.now()
        if metadata.request_id == self.admitted.request.request_id:
            state.rate_limits.record_answer(
                upstream.name, metadata.requests_per_second, sent_at, now
            )
            state.fleet.record_statements(upstream, metadata, now)
        elif metadata.leaving:
            state.fleet.record_leaving(upstream, now)
        state.announce_news()

    def log_unwanted_send(self, upstream: Upstream, now: float) -> None:
        """Log a send to an upstream that has asked for no more requests."""
        fleet = self.context.state.fleet
        leaving = fleet.departures.is_leaving(upstream.incarnation_id())
        resting = fleet.is_resting(upstream, now)
        if leaving or resting:
            _LOG.info(
                'sent to an upstream that wants no requests',
                extra={
                    'request_id': self.admitted.request.request_id,
                    'upstream': upstream.name,
                    'leaving': leaving,
                    'resting': resting,
                    'path': type(self).__name__,
                },
            )

    async def choose_within_limits(
        self, choose: Callable[[], Chosen | None], role: Role
    ) -> Chosen | None:
        """Choose an upstream; waits while limits forbid all that are left."""
        wait_until = (
            self.context.timers.now()
            + self.remaining_seconds() * QUEUED_TIME_SHARE
        )
        while True:
            chosen = choose()
            now = self.context.timers.now()
            if chosen is not None or now >= wait_until:
                return chosen
            if not self.is_limited(role):
                return None
            await self.context.timers.pause(RECHECK_SECONDS)

    def is_limited(self, role: Role) -> bool:
        """Return whether a limit keeps this request from some upstream."""
        now = self.context.timers.now()
        state = self.context.state
        return any(
            not state.may_send(upstream.name, now)
            for upstream in state.fleet.candidates(
                self.admitted.service, role, now
            )
            if upstream.name not in self.excluded
        )

    def find_rest_failure(
        self, role: Role, version: str | None = None
    ) -> Failure | None:
        """Return the refusal if all upstreams of a role asked for rest.

        Callers are told when the first rest ends. They return in the order of
        their ranks, and spread within a rank, as the upstream would refuse
        them all at once. ``version`` is the only software version that counts;
        None for all.
        """
        now = self.context.timers.now()
        fleet = self.context.state.fleet
        if not fleet.rests.ends_at:
            return None
        service = self.admitted.service
        ends_at = fleet.earliest_rest_end(
            (
                one
                for one in fleet.eligible(service, role, now)
                if version in {None, one.software_version}
            ),
            now,
        )
        if ends_at is None:
            return None
        share = hash_to_unit_interval(self.admitted.request.request_id)
        spread = (self.admitted.route.rank + share) * RETURN_SPREAD_SECONDS
        detail = f'all upstreams of {service} for {role} asked for rest'
        return fail(ResultCode.UPSTREAMS_RESTING, detail)._replace(
            retry_after_seconds=ends_at - now + spread
        )

    def take_retry(self) -> bool:
        """Take a retry from the retry budget; return False if it is spent."""
        now = self.context.timers.now()
        return self.context.state.take_retry(self.admitted.service, now)


class EngineAttempts(Attempts):
    """Attempts on engines, with a log of the decisions on the request."""

    def __init__(
        self, context: RelayContext, admitted: AdmittedRequest, log: RequestLog
    ) -> None:
        super().__init__(context, admitted)
        self.log = log

    def record_failure(self, engine: Upstream, failure: Failure) -> None:
        """Exclude an engine that failed and record the failure."""
        self.excluded |= {engine.name}
        self.record_upstream_failure(engine, failure)
        self.log.log_engine_failure(engine, failure)
