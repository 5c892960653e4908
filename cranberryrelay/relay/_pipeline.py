"""The request pipeline: admission, execution, and the order of the steps.

All requests: admit -> run, or forward -> reply.
Model requests: prefill -> start_generation -> pass_events, see
``_model_path``.
Plain calls: choose -> exchange, see ``_plain_path``.
"""

import logging
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from http import HTTPStatus
from typing import Final

from result import Err, Ok, Result

from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail
from cranberryrelay.relay._catalogue import ClientLimits, RequestKind, Route
from cranberryrelay.relay._context import (
    UNREAD_PROGRESS,
    AdmittedRequest,
    BrokenStreamError,
    BufferedReply,
    RelayContext,
    RequestProgress,
    StreamReply,
)
from cranberryrelay.relay._forwarding import Forwarder
from cranberryrelay.relay._model_path import ModelRun
from cranberryrelay.relay._plain_path import PlainRun
from cranberryrelay.relay._planned_stop import find_stop_failure
from cranberryrelay.relay._requests import IncomingRequest
from cranberryrelay.relay._unexpected_errors import record_unexpected

# A request ends this long before the caller's own deadline, so that the error
# response still reaches the caller.
REPLY_MARGIN_SECONDS: Final = 0.02

# Statuses by which a caller is told that its request has not run.
_PROMISING_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class RelayPipeline:
    """Runs requests through admission and execution."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        self.forwarder = Forwarder(context)

    async def serve(
        self,
        raw: IncomingRequest,
        stack: AsyncExitStack,
        progress: RequestProgress = UNREAD_PROGRESS,
        *,
        may_forward: bool = True,
    ) -> Result[BufferedReply | StreamReply, Failure]:
        """Return the response to a request, or the failure that ended it.

        ``progress`` is kept up to date. ``may_forward`` is false for a request
        that a peer has forwarded.
        """
        request = raw
        try:
            request = self.context.dialect.parse_request(raw)
            admitted = self.admit(request, stack)
        except Exception as error:
            request_id = request.request_id
            failed = record_unexpected(error, request_id, is_sent=False)
            admitted = Err(failed)
        admitted = admitted.map(lambda one: one._replace(progress=progress))
        if isinstance(admitted, Err):
            outcome: Result[BufferedReply | StreamReply, Failure] = admitted
        elif may_forward:
            outcome = await self.run_or_forward(admitted.unwrap())
        else:
            outcome = await self.run(admitted.unwrap())
        outcome = outcome.map(
            lambda reply: end_unexpected_as_broken(reply, request.request_id)
        )
        rank = admitted.unwrap().route.rank if admitted.is_ok() else None
        failure = outcome.err()
        code = failure.code if failure else ResultCode.ANSWERED
        self.context.state.telemetry.count_request(rank, code)
        self.log_failure(request, outcome)
        return outcome

    def admit(
        self, request: IncomingRequest, stack: AsyncExitStack
    ) -> Result[AdmittedRequest, Failure]:
        """Find the route and pin the request to the revision in force.

        Errors: ``DRAINING``, ``NOT_READY``, ``ROUTE_UNKNOWN``,
        ``HEADER_TOO_LARGE``, ``BODY_TOO_LARGE``, ``REQUEST_MALFORMED``.
        """
        state = self.context.state
        if state.planned_stop.refusing:
            return Err(find_stop_failure(may_have_run=False))
        if state.table is None or not state.start_check.passed:
            return Err(
                fail(
                    ResultCode.NOT_READY,
                    'this instance does not know the note in force yet',
                )
            )
        route = state.table.find(request.host, request.path)
        if route is None:
            detail = f'no route matches {request.host} {request.path}'
            return Err(fail(ResultCode.ROUTE_UNKNOWN, detail))
        too_large = check_size_limits(request, state.table.limits)
        if too_large is not None:
            return Err(too_large)
        if not request.request_id:
            return Err(
                fail(ResultCode.REQUEST_MALFORMED, 'the request id is missing')
            )
        return Ok(
            AdmittedRequest(
                request=request,
                route=route,
                service=route.pick_service(request.stream_id()),
                revision=state.table.revision,
                deadline=min(
                    _deadline_of(request, route),
                    state.planned_stop.streams_end_at(),
                ),
                stack=stack,
            )
        )

    async def run_or_forward(
        self, admitted: AdmittedRequest
    ) -> Result[BufferedReply | StreamReply, Failure]:
        """Run a request here, or at a peer if no upstream can be reached.

        A forwarded request is counted and entered in the account by the peer
        that runs it.
        """
        state = self.context.state
        if state.reach.cut_off:
            return await self.forwarder.forward(admitted)
        outcome = await self.run(admitted)
        failure = outcome.err()
        if failure is None or not state.reach.cut_off:
            return outcome
        if failure.ran is not ExecutionState.NOT_RUN:
            return outcome
        state.account_buffer.remove(admitted.request.request_id)
        return await self.forwarder.forward(admitted)

    async def run(
        self, admitted: AdmittedRequest
    ) -> Result[BufferedReply | StreamReply, Failure]:
        """Run a request on engines or on a plain service, as its route says."""
        run: ModelRun | PlainRun | None = None
        outcome: Result[BufferedReply | StreamReply, Failure]
        try:
            run = self.make_run(admitted)
            outcome = await run.run()
        except Exception as error:
            request_id = admitted.request.request_id
            is_sent = run is not None and run.is_sent()
            failure = record_unexpected(error, request_id, is_sent=is_sent)
            outcome = Err(failure)
        return outcome.and_then(check_promise)

    def make_run(self, admitted: AdmittedRequest) -> ModelRun | PlainRun:
        """Count a request and make its run."""
        request = admitted.request
        state = self.context.state
        state.account_buffer.add(request.request_id, admitted.revision)
        budget = state.retry_budget(admitted.service)
        budget.count_request(request.arrived_at)
        engines = self.context.state.engine_traits(admitted.service)
        is_model_request = (
            admitted.request.model_request is not None and engines
        )
        if is_model_request and admitted.route.kind is RequestKind.STREAM:
            return ModelRun(self.context, admitted)
        return PlainRun(self.context, admitted)

    def log_failure(
        self,
        request: IncomingRequest,
        outcome: Result[BufferedReply | StreamReply, Failure],
    ) -> None:
        """Log the failure of a request that was not answered."""
        if isinstance(outcome, Ok):
            return
        failure = outcome.unwrap_err()
        _LOG.info(
            'request refused',
            extra={
                'request_id': request.request_id,
                'code': failure.code.value,
                'ran': failure.ran,
                'detail': failure.detail,
                'seconds': self.context.timers.now() - request.arrived_at,
            },
        )


def end_unexpected_as_broken(
    reply: BufferedReply | StreamReply, request_id: str
) -> BufferedReply | StreamReply:
    """Return a reply whose stream breaks off after an unexpected error."""
    if isinstance(reply, BufferedReply):
        return reply
    return reply._replace(events=_break_off(reply.events, request_id))


async def _break_off(
    events: AsyncIterator[bytes], request_id: str
) -> AsyncIterator[bytes]:
    try:
        async for event in events:
            yield event
    except BrokenStreamError:
        raise
    except Exception as error:
        failure = record_unexpected(error, request_id, is_sent=True)
        raise BrokenStreamError(failure.detail) from error


def check_promise(
    reply: BufferedReply | StreamReply,
) -> Result[BufferedReply | StreamReply, Failure]:
    """Return a failure for a promise that the upstream did not make.

    Callers send a request again after these statuses, as they mean that it has
    not run. An upstream that states it has been handled before.
    """
    if reply.status not in _PROMISING_STATUSES:
        return Ok(reply)
    detail = f'status {reply.status} without a statement that it did not run'
    return Err(fail(ResultCode.UPSTREAM_FAILED, detail))


def check_size_limits(
    request: IncomingRequest, limits: ClientLimits
) -> Failure | None:
    """Return a failure if a request exceeds a limit of the release note."""
    pairs = request.headers
    header_bytes = sum(len(name) + len(content) for name, content in pairs)
    if header_bytes + len(request.target) > limits.header_bytes:
        detail = f'headers exceed the limit of {limits.header_bytes} bytes'
        return fail(ResultCode.HEADER_TOO_LARGE, detail)
    if len(request.body) > limits.body_bytes:
        detail = f'the body exceeds the limit of {limits.body_bytes} bytes'
        return fail(ResultCode.BODY_TOO_LARGE, detail)
    return None


def _deadline_of(request: IncomingRequest, route: Route) -> float:
    timeout = route.timeout_seconds
    if request.timeout_seconds is not None:
        caller_timeout = request.timeout_seconds - REPLY_MARGIN_SECONDS
        timeout = min(timeout, caller_timeout)
    return request.arrived_at + timeout
