"""Forwards requests to a peer while this instance is cut off from upstreams.

The caller's deadline, the end of its connection and the events of a stream
pass through. A forwarded request is not forwarded again, so it makes one hop.
"""

import logging
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final

import httpx
from result import Err, Ok, Result

from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail
from cranberryrelay.relay._catalogue import RequestKind
from cranberryrelay.relay._context import (
    AdmittedRequest,
    BrokenStreamError,
    BufferedReply,
    RelayContext,
    StreamReply,
)
from cranberryrelay.relay._forward_targets import ForwardTarget
from cranberryrelay.relay._requests import UpstreamCall
from cranberryrelay.relay._unexpected_errors import record_unexpected
from cranberryrelay.relay._upstream_call import (
    UpstreamResponse,
    read_body,
    send_call,
)
from cranberryrelay.timing import limit_time

# Revision of the release note that the receiver must have in force.
REVISION_HEADER: Final = b'cranberryrelay-forward-revision'

# Set on the refusal of a receiver that did not look at the request.
REFUSED_HEADER: Final = b'cranberryrelay-forward-refused'

# Receivers that are tried for one request.
TARGETS_LIMIT: Final = 3

# Requests of peers that an instance serves at the same time. Its own callers
# are not limited by it.
FORWARDED_LIMIT: Final = 256

# A connection is used for one request: a receiver that stops would cut a
# request that has just been sent on an idle one.
_SINGLE_USE: Final = (b'Connection', b'close')
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class Forwarder:
    """Sends requests to peers that reach upstreams."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        self.targets = context.state.forward_targets

    async def forward(
        self, admitted: AdmittedRequest
    ) -> Result[BufferedReply | StreamReply, Failure]:
        """Return the answer of a peer.

        Errors: ``FORWARD_UNAVAILABLE`` if no peer took the request,
        ``INTERNAL_ERROR``, and those of a call whose answer is lost.
        """
        tried: set[str] = set()
        try:
            return await self.try_targets(admitted, tried)
        except Exception as error:
            request_id = admitted.request.request_id
            failure = record_unexpected(error, request_id, is_sent=bool(tried))
            return Err(failure)

    async def try_targets(
        self, admitted: AdmittedRequest, tried: set[str]
    ) -> Result[BufferedReply | StreamReply, Failure]:
        """Send a request to one peer after another; adds them to ``tried``."""
        for _ in range(TARGETS_LIMIT):
            now = self.context.timers.now()
            target = self.targets.choose(
                self.context.state.settings.domain, tried, now
            )
            if target is None:
                break
            tried.add(target.address)
            opened = await self.send(target, admitted)
            self.log_forwarded(admitted, target, opened)
            if isinstance(opened, Ok):
                return await self.read_reply(admitted, opened.unwrap())
            if opened.unwrap_err().ran is not ExecutionState.NOT_RUN:
                return opened
        detail = 'no upstream can be reached, and no peer took the request'
        return Err(fail(ResultCode.FORWARD_UNAVAILABLE, detail))

    async def send(
        self, target: ForwardTarget, admitted: AdmittedRequest
    ) -> Result[UpstreamResponse, Failure]:
        """Send a request to a peer and wait for the headers of its answer."""
        remaining = admitted.remaining_seconds(self.context.timers.now())
        call = UpstreamCall(
            request=admitted.request,
            upstream=target.address,
            address=target.address,
            timeout_seconds=remaining,
        )
        headers = (
            (REVISION_HEADER, str(admitted.revision).encode()),
            _SINGLE_USE,
        )
        admitted.stack.enter_context(self.targets.track(target))
        before = admitted.progress.begin_send()
        with limit_time(remaining):
            sent = await send_call(
                self.context.client,
                self.context.dialect,
                call,
                admitted.stack,
                headers,
            )
            taken = sent.and_then(_check_taken)
            admitted.progress.end_send(taken.err(), may_have_run_before=before)
            return taken
        detail = f'peer {target.address} did not answer in time'
        return Err(fail(ResultCode.UPSTREAM_TIMEOUT, detail))

    async def read_reply(
        self, admitted: AdmittedRequest, response: UpstreamResponse
    ) -> Result[BufferedReply | StreamReply, Failure]:
        """Read the answer of a peer, or pass its events on as they arrive."""
        headers = response.metadata.headers
        is_stream = admitted.route.kind is RequestKind.STREAM
        if is_stream and response.status == HTTPStatus.OK:
            events = self.pass_events(admitted, response)
            return Ok(StreamReply(response.status, headers, events))
        remaining = admitted.remaining_seconds(self.context.timers.now())
        budget = self.context.state.answer_budget
        buffer = admitted.stack.enter_context(budget.open_buffer())
        body = await read_body(response, remaining, buffer)
        return body.map(
            lambda content: BufferedReply(response.status, headers, content)
        )

    async def pass_events(
        self, admitted: AdmittedRequest, response: UpstreamResponse
    ) -> AsyncIterator[bytes]:
        """Yield the events of a peer's answer.

        Raises ``BrokenStreamError`` if it breaks or the deadline passes.
        """
        chunks = response.chunks()
        while True:
            remaining = admitted.remaining_seconds(self.context.timers.now())
            chunk: bytes | None = None
            with limit_time(remaining) as scope:
                try:
                    chunk = await anext(chunks, None)
                except httpx.HTTPError as error:
                    raise BrokenStreamError(repr(error)) from error
            if scope.cancelled_caught:
                raise BrokenStreamError('the deadline passed')
            if chunk is None:
                return
            yield chunk

    def log_forwarded(
        self,
        admitted: AdmittedRequest,
        target: ForwardTarget,
        opened: Result[UpstreamResponse, Failure],
    ) -> None:
        """Log where a request was sent and what came of it."""
        failure = opened.err()
        _LOG.info(
            'request forwarded',
            extra={
                'request_id': admitted.request.request_id,
                'target': target.address,
                'target_domain': target.domain,
                'status': opened.unwrap().status if opened.is_ok() else None,
                'detail': failure.detail if failure else '',
                'seconds': self.context.timers.now()
                - admitted.request.arrived_at,
            },
        )


def _check_taken(
    response: UpstreamResponse,
) -> Result[UpstreamResponse, Failure]:
    refused = response.http_response.headers.get(REFUSED_HEADER.decode())
    if refused is None:
        return Ok(response)
    return Err(fail(ResultCode.FORWARD_REFUSED, refused))
