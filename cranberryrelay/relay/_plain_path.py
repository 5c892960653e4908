"""Runs calls to plain services."""

import logging
from typing import Final

from result import Err, Result

from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail
from cranberryrelay.relay._attempts import Attempts
from cranberryrelay.relay._backlog import InFlightCall
from cranberryrelay.relay._catalogue import RequestKind, Role, Upstream
from cranberryrelay.relay._clearance import ClearanceGate
from cranberryrelay.relay._context import (
    AdmittedRequest,
    BufferedReply,
    RelayContext,
)
from cranberryrelay.relay._placement import choose_plain_upstream
from cranberryrelay.relay._request_digest import digest_request
from cranberryrelay.relay._requests import UpstreamCall
from cranberryrelay.relay._upstream_call import UNSENT_CODES

_SERVER_ERROR: Final = 500

# Failures after which the process may have crashed on the call.
_INTERRUPTIONS: Final = frozenset(
    (ResultCode.UPSTREAM_FAILED, ResultCode.STREAM_BROKEN)
)
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class PlainRun(Attempts):
    """Execution of one call on the processes of a plain service."""

    def __init__(
        self, context: RelayContext, admitted: AdmittedRequest
    ) -> None:
        super().__init__(context, admitted)
        self.gate = ClearanceGate(context, admitted, Role.PLAIN)

    async def run(self) -> Result[BufferedReply, Failure]:
        """Return the buffered response of the service, or the failure."""
        outcome: Result[BufferedReply, Failure] = Err(
            fail(ResultCode.NO_ENGINE, 'no process of the service is available')
        )
        attempts = 0
        while attempts < self.admitted.route.attempts_limit:
            cleared = await self.gate.wait()
            if isinstance(cleared, Err):
                # Only the failure of an earlier attempt says that it may have
                # run.
                return outcome if attempts else cleared
            upstream = await self.choose_within_limits(
                self.choose_upstream, Role.PLAIN
            )
            if upstream is None:
                return outcome.map_err(self.prefer_rest)
            if not self.may_send(attempts):
                break
            outcome = await self.send_to(upstream)
            if not self.should_repeat(outcome):
                break
            self.excluded |= {upstream.name}
            failure = outcome.err()
            attempts += failure is None or failure.code not in UNSENT_CODES
        return outcome

    def prefer_rest(self, failure: Failure) -> Failure:
        """Return that all processes rest, if the call has not run."""
        if failure.ran is not ExecutionState.NOT_RUN:
            return failure
        return self.find_rest_failure(Role.PLAIN) or failure

    def choose_upstream(self) -> Upstream | None:
        """Choose the least busy process that has not failed this call."""
        return choose_plain_upstream(
            self.context.state.placement_context(),
            self.admitted.service,
            self.excluded,
            self.context.timers.now(),
        )

    async def send_to(
        self, upstream: Upstream
    ) -> Result[BufferedReply, Failure]:
        """Send the call to one process and record the outcome for it."""
        state = self.context.state
        sent = InFlightCall(0, self.context.timers.now())
        state.backlog.add(upstream.name, sent)
        try:
            outcome = await self.exchange(upstream)
        finally:
            state.backlog.remove(upstream.name, sent)
        if isinstance(outcome, Err):
            failure = outcome.unwrap_err()
            self.record_failure(upstream, failure)
            if failure.code in _INTERRUPTIONS:
                self.gate.record_interrupted(upstream, sent.sent_at)
                await self.gate.confirm_crash()
        else:
            self.gate.record_proven()
            self.record_response(upstream, outcome.unwrap())
        return outcome

    async def exchange(
        self, upstream: Upstream
    ) -> Result[BufferedReply, Failure]:
        """Send the call and read the response to its end."""
        call = UpstreamCall(
            request=self.admitted.request,
            upstream=upstream.name,
            address=upstream.address,
            timeout_seconds=self.remaining_seconds(),
        )
        opened = await self.open_response(upstream, call)
        if isinstance(opened, Err):
            return opened
        response = opened.unwrap()
        body = await self.read_body(response)
        return body.map(
            lambda content: BufferedReply(
                response.status, response.metadata.headers, content
            )
        )

    def should_repeat(self, outcome: Result[BufferedReply, Failure]) -> bool:
        """Return whether the call may and should be sent again."""
        idempotent = self.admitted.route.kind is RequestKind.IDEMPOTENT
        if isinstance(outcome, Err):
            return (
                idempotent or outcome.unwrap_err().ran is ExecutionState.NOT_RUN
            )
        return idempotent and outcome.unwrap().status >= _SERVER_ERROR

    def may_send(self, attempts: int) -> bool:
        """Return whether the time left and the retry budget allow an attempt.

        Sends that reached no process do not count as attempts.
        """
        if self.remaining_seconds() <= 0:
            return False
        return not attempts or self.take_retry()

    def record_response(self, upstream: Upstream, reply: BufferedReply) -> None:
        """Record a response; a server error counts as a failure."""
        now = self.context.timers.now()
        if reply.status >= _SERVER_ERROR:
            self.context.state.fleet.record_failure(upstream.name, now)
        else:
            self.context.state.record_success(upstream.name, now)

    def record_failure(self, upstream: Upstream, failure: Failure) -> None:
        """Record and log a failure; a timeout counts only if it was long."""
        self.record_upstream_failure(upstream, failure)
        _LOG.info(
            'service failed',
            extra={
                'request_id': self.admitted.request.request_id,
                'upstream': upstream.name,
                'request_digest': digest_request(self.admitted.request),
                'code': failure.code.value,
                'detail': failure.detail,
            },
        )
