"""Runs the prefill of a request; tries other engines if one fails.

While the engines are loaded, the request waits in the admission queue first.
"""

from http import HTTPStatus
from types import MappingProxyType
from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail
from cranberryrelay.relay._admission_queue import (
    QUEUED_TIME_SHARE,
    RECHECK_SECONDS,
    LoadForecast,
    has_capacity,
)
from cranberryrelay.relay._attempts import EngineAttempts
from cranberryrelay.relay._backlog import InFlightCall
from cranberryrelay.relay._catalogue import Rank, Role, Upstream
from cranberryrelay.relay._context import AdmittedRequest, RelayContext
from cranberryrelay.relay._placement import (
    LONG_PROMPT_SECONDS,
    Candidate,
    choose_prefill_engine,
    decode_utilization,
    shortest_wait,
)
from cranberryrelay.relay._prefix_index import CachedSegment
from cranberryrelay.relay._request_log import RequestLog
from cranberryrelay.relay._requests import KvSource, ModelRequest, UpstreamCall
from cranberryrelay.relay._upstream_call import UNSENT_CODES

# Scheduling priorities that are sent to engines, 0 (first) to 9, by rank.
ENGINE_PRIORITIES: Final = MappingProxyType(
    {
        Rank.URGENT: 1,
        Rank.NORMAL: 3,
        Rank.BACKGROUND: 6,
    }
)

# A prefill attempt times out after GRACE_FACTOR times the predicted time plus
# GRACE_SECONDS.
GRACE_SECONDS: Final = 1.5
GRACE_FACTOR: Final = 3.0

# Prefill attempts that may reach an engine for one request.
PREFILL_ATTEMPTS_LIMIT: Final = 3

# Codes that are returned to the caller unchanged when the prefill fails.
_PASSED_ON_CODES: Final = frozenset(
    (
        ResultCode.NO_ENGINE,
        ResultCode.UPSTREAM_REFUSED,
        ResultCode.UPSTREAMS_RESTING,
    )
)


class PrefilledPrompt(NamedTuple):
    """A prompt whose KV cache an engine holds."""

    # Engine and handle to fetch the KV cache with.
    source: KvSource

    # Failure domain of that engine.
    domain: str


class PrefillRun(EngineAttempts):
    """Prefill attempts of one request, on one engine after another."""

    def __init__(
        self, context: RelayContext, admitted: AdmittedRequest, log: RequestLog
    ) -> None:
        super().__init__(context, admitted, log)
        self.attempts = 0

    @property
    def model_request(self) -> ModelRequest:
        """Return what the request asks of the model."""
        model_request = self.admitted.request.model_request
        return model_request or ModelRequest('', 1, 1, ())

    async def run(self) -> Result[PrefilledPrompt, Failure]:
        """Return the prefilled prompt.

        A failure is reported as not run, since nothing has been generated.
        Errors: ``NO_ENGINE``, ``UPSTREAM_REFUSED``, ``UPSTREAMS_RESTING``,
        ``UPSTREAM_UNREACHABLE``.
        """
        failure = fail(ResultCode.NO_ENGINE, 'no prefill engine is available')
        while self.remaining_seconds() > 0:
            chosen = await self.wait_for_capacity()
            if chosen is None:
                failure = self.find_rest_failure(Role.PREFILL) or failure
                break
            if not self.may_send():
                break
            outcome = await self.prefill_at(chosen)
            failure = outcome.err() or failure
            unsent = failure.code in UNSENT_CODES
            self.attempts += not (outcome.is_err() and unsent)
            if isinstance(outcome, Ok):
                return outcome
            self.record_failure(chosen.engine, failure)
        return Err(_as_not_run(failure))

    async def wait_for_capacity(self) -> Candidate | None:
        """Choose an engine, after waiting in the queue if capacity is short.

        The wait is limited, so the engine may still be over the limits of the
        rank.
        """
        chosen = self.choose_engine()
        rank = self.admitted.route.rank
        forecast = self.forecast_load(chosen)
        if chosen is None and not self.is_limited(Role.PREFILL):
            return None
        if chosen is not None and has_capacity(rank, forecast):
            return chosen
        queue = self.context.state.admission_queue
        request_id = self.admitted.request.request_id
        queued_until = (
            self.context.timers.now()
            + self.remaining_seconds() * QUEUED_TIME_SHARE
        )
        queue.add(request_id, rank)
        try:
            while self.context.timers.now() < queued_until:
                await self.context.timers.pause(RECHECK_SECONDS)
                chosen = self.choose_engine()
                forecast = self.forecast_load(chosen)
                dispatchable = queue.can_dispatch(request_id, rank, forecast)
                if chosen is None and not self.is_limited(Role.PREFILL):
                    break
                if chosen is not None and dispatchable:
                    break
            self.log.record_queued(forecast, len(queue.queues[rank]))
        finally:
            queue.remove(request_id, rank)
        return chosen

    def choose_engine(self) -> Candidate | None:
        """Choose the best prefill engine for the prompt as of now."""
        body_bytes = len(self.admitted.request.body)
        return choose_prefill_engine(
            self.context.state.placement_context(body_bytes),
            self.admitted.service,
            self.model_request,
            self.excluded,
            self.context.timers.now(),
        )

    def forecast_load(self, chosen: Candidate | None) -> LoadForecast:
        """Return the load to expect if the request is sent now."""
        if chosen is None:
            return LoadForecast(float('inf'), float('inf'), 1)
        surroundings = self.context.state.placement_context()
        service = self.admitted.service
        now = self.context.timers.now()
        return LoadForecast(
            backlog_seconds=chosen.nominal_wait_seconds - chosen.read_seconds,
            other_wait_seconds=shortest_wait(
                surroundings, service, chosen.engine.name, now
            ),
            taken_share=decode_utilization(surroundings, service, now),
        )

    def may_send(self) -> bool:
        """Return whether the prompt may be sent; retries use the budget.

        Sends that reached no engine do not count as attempts.
        """
        if not self.attempts:
            return True
        return self.attempts < PREFILL_ATTEMPTS_LIMIT and self.take_retry()

    async def prefill_at(
        self, chosen: Candidate
    ) -> Result[PrefilledPrompt, Failure]:
        """Run the prefill on one engine and record its outcome for it."""
        engine = chosen.engine
        state = self.context.state
        self.record_segments(engine)
        sent = InFlightCall(chosen.read_seconds, self.context.timers.now())
        self.log.record_prefill_engine(chosen, sent.sent_at)
        state.backlog.add(engine.name, sent)
        if chosen.read_seconds > LONG_PROMPT_SECONDS:
            state.request_heartbeat()
        try:
            body = await self.exchange(chosen)
        finally:
            state.backlog.remove(engine.name, sent)
        if isinstance(body, Err):
            return body
        now = self.context.timers.now()
        self.log.record_prefill_done(now)
        state.record_success(engine.name, now)
        state.fleet.record_duration(
            engine.name, chosen.nominal_wait_seconds, now - sent.sent_at, now
        )
        result = self.context.dialect.decode_prefill(body.unwrap())
        return result.map(
            lambda prefilled: PrefilledPrompt(
                KvSource(engine.address, prefilled.transfer_handle),
                engine.domain,
            )
        )

    async def exchange(self, chosen: Candidate) -> Result[bytes, Failure]:
        """Send the prefill call and return the body of the response."""
        engine = chosen.engine
        timeout = chosen.wait_seconds * GRACE_FACTOR + GRACE_SECONDS
        call = UpstreamCall(
            request=self.admitted.request,
            upstream=engine.name,
            address=engine.address,
            timeout_seconds=min(self.remaining_seconds(), timeout),
            engine_priority=ENGINE_PRIORITIES[self.admitted.route.rank],
            prefill_only=True,
        )
        outcome = await self.open_response(engine, call)
        if isinstance(outcome, Err):
            return outcome
        response = outcome.unwrap()
        if response.status != HTTPStatus.OK:
            detail = f'{engine.name}: prefill call returned {response.status}'
            return Err(fail(ResultCode.UPSTREAM_FAILED, detail))
        return await self.read_body(response)

    def record_segments(self, engine: Upstream) -> None:
        """Record the segments that an engine will cache, also for peers."""
        state = self.context.state
        traits = state.engine_traits(self.admitted.service)
        parts = self.model_request.shared_segments()
        if traits is None:
            return
        state.prefix_index.record(engine.name, parts, traits.kv_capacity_tokens)
        state.peer_update.cached_parts.extend(
            CachedSegment(engine.name, part.digest, part.tokens)
            for part in parts
        )


def _as_not_run(failure: Failure) -> Failure:
    if failure.code in _PASSED_ON_CODES:
        return failure
    return fail(
        ResultCode.UPSTREAM_UNREACHABLE, failure.detail, ExecutionState.NOT_RUN
    )
