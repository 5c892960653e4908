"""HTTP interfaces for callers and for the readiness check of the balancer."""

import logging
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from quart import Response, request
from quart_trio import QuartTrio
from result import Err
from werkzeug.datastructures import Headers
from werkzeug.exceptions import InternalServerError

from cranberryrelay.codes import (
    CODE_TABLE,
    ExecutionState,
    Failure,
    ResultCode,
    fail,
)
from cranberryrelay.relay._context import (
    BufferedReply,
    RelayContext,
    RequestProgress,
    StreamReply,
)
from cranberryrelay.relay._forward_reports import forward_address
from cranberryrelay.relay._forwarding import (
    FORWARDED_LIMIT,
    REFUSED_HEADER,
    REVISION_HEADER,
)
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._planned_stop import (
    ANSWER_SECONDS,
    find_stop_failure,
)
from cranberryrelay.relay._requests import IncomingRequest, RawHeaders
from cranberryrelay.relay._state import ActiveRequest
from cranberryrelay.relay._unexpected_errors import record_unexpected
from cranberryrelay.serving import (
    ShieldedSendApp,
    UnansweredLog,
    UnansweredRequest,
)

BODY_BYTES_HARD_LIMIT: Final = 16_000_000

# Most digits of a revision.
REVISION_DIGITS: Final = 19

# Path of the metrics, on the same address as the readiness check.
METRICS_PATH: Final = '/metrics'

# Value of the Retry-After header on refused requests.
RETRY_AFTER_SECONDS: Final = 0.3

# The same for codes whose cause lasts longer.
_RETRY_AFTER_BY_CODE: Final[Mapping[ResultCode, float]] = MappingProxyType(
    {
        code: CODE_TABLE[code].retry_after_seconds
        for code in (ResultCode.CRASH_SUSPECT, ResultCode.CRASH_REFUSED)
    }
)

# Keys of the state of an ASGI scope.
_STACK: Final = 'cranberryrelay.stack'
_PROGRESS: Final = 'cranberryrelay.progress'
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class FrontRoutes:
    """Handlers for requests of callers."""

    # Whether a request may be forwarded to a peer.
    may_forward = True

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        self.pipeline = RelayPipeline(context)

    async def handle_request(self) -> Response:
        """Handle any request of a caller, within the time of a stop."""
        with self.context.state.planned_stop.limit_time():
            return await self.answer_request()
        return self.end_by_stop()

    def end_by_stop(self) -> Response:
        """Make the answer to a request for which a stop leaves no time."""
        progress = request.scope['state'][_PROGRESS]
        failure = find_stop_failure(may_have_run=progress.may_have_run)
        arrival = read_request(b'', 0)
        _LOG.info(
            'request ended by the stop',
            extra={
                'request_id': self.context.dialect.parse_request(
                    arrival
                ).request_id,
                'code': failure.code.value,
                'ran': failure.ran,
                'passed_on': progress.passed_on,
            },
        )
        self.context.state.telemetry.count_request(None, failure.code)
        return self.refuse(failure)

    async def answer_request(self) -> Response:
        """Read the whole request, run it, and make its response."""
        arrived_at = self.context.timers.now()
        stack: AsyncExitStack = request.scope['state'][_STACK]
        body: Any = await request.get_data(as_text=False)
        outcome = await self.pipeline.serve(
            self.read_request(body, arrived_at),
            stack,
            request.scope['state'][_PROGRESS],
            may_forward=self.may_forward,
        )
        if isinstance(outcome, Err):
            return self.refuse(outcome.unwrap_err())
        return self.close_if_draining(make_response(outcome.unwrap()))

    def read_request(self, body: bytes, arrived_at: float) -> IncomingRequest:
        """Read the request that is being handled."""
        return read_request(body, arrived_at)

    def refuse(self, failure: Failure) -> Response:
        """Make an error response.

        A status that invites a retry is replaced by 502 if the request may
        have run.
        """
        entry = CODE_TABLE[failure.code]
        status = entry.status
        if (
            failure.ran is not ExecutionState.NOT_RUN
            and status in _RETRYABLE_STATUSES
        ):
            status = HTTPStatus.BAD_GATEWAY
        response = Response(
            f'{failure.code.value} {entry.title}\n',
            status=status,
            content_type='text/plain',
        )
        if status in _RETRYABLE_STATUSES:
            response.headers['Retry-After'] = format_retry_after(failure)
        return self.close_if_draining(response)

    async def refuse_unexpected(self, error: InternalServerError) -> Response:
        """Make the error response for an error outside the pipeline."""
        original = error.original_exception
        cause = original if isinstance(original, Exception) else error
        return self.refuse(record_unexpected(cause, '', is_sent=True))

    def close_if_draining(self, response: Response) -> Response:
        """Ask the caller to close the connection during a planned stop."""
        if self.context.state.draining:
            response.headers['Connection'] = 'close'
        return response


def format_retry_after(failure: Failure) -> str:
    """Return when a caller that was refused may come back, in seconds."""
    seconds = failure.retry_after_seconds
    if seconds is None:
        seconds = _RETRY_AFTER_BY_CODE.get(failure.code, RETRY_AFTER_SECONDS)
    return f'{seconds:.3f}'


class ForwardRoutes(FrontRoutes):
    """Handlers for requests that peers forward."""

    may_forward = False

    async def handle_request(self) -> Response:
        """Handle a request of a peer that is cut off from upstreams."""
        obstacle = self.find_obstacle()
        if obstacle is not None:
            refusal = self.refuse(fail(ResultCode.FORWARD_REFUSED, obstacle))
            refusal.headers[REFUSED_HEADER.decode()] = obstacle
            return refusal
        stack: AsyncExitStack = request.scope['state'][_STACK]
        stack.enter_context(self.context.state.forwarded.track())
        return await super().handle_request()

    def read_request(self, body: bytes, arrived_at: float) -> IncomingRequest:
        """Read the request without the header for this instance alone."""
        arrival = super().read_request(body, arrived_at)
        headers = [
            pair
            for pair in arrival.headers
            if pair[0].lower() != REVISION_HEADER
        ]
        return arrival._replace(headers=headers)

    def find_obstacle(self) -> str | None:
        """Return why a forwarded request is not taken; None if it is."""
        state = self.context.state
        if not forward_address(state):
            return 'not ready, or cut off from upstreams'
        if state.forwarded.active >= FORWARDED_LIMIT:
            return f'{FORWARDED_LIMIT} forwarded requests are in progress'
        revision = request.headers.get(REVISION_HEADER.decode(), '')
        if not is_known_revision(revision, state.revision()):
            stated = revision[:REVISION_DIGITS]
            return f'revision {stated} is not in force here'
        return None


def is_known_revision(text: str, known: int) -> bool:
    """Return whether a text is a revision up to the known one."""
    if not text.isdecimal() or len(text) > REVISION_DIGITS:
        return False
    return int(text) <= known


_RETRYABLE_STATUSES: Final = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
    )
)


class ReadyRoutes:
    """Handlers for the readiness check of the balancer and for metrics."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context

    async def report_readiness(self) -> Response:
        """Return the readiness for new requests, or the metrics."""
        if request.path == METRICS_PATH:
            accepts = request.headers.getlist('Accept')
            text, headers = self.context.state.telemetry.render_metrics(accepts)
            return Response(text, headers=headers)
        if self.context.state.is_ready():
            return Response('ready\n')
        return Response('not ready\n', HTTPStatus.SERVICE_UNAVAILABLE)


def read_request(body: bytes, arrived_at: float) -> IncomingRequest:
    """Read the HTTP request that is being handled."""
    return read_scope(request.scope, body, arrived_at)


def read_scope(scope: Any, body: bytes, arrived_at: float) -> IncomingRequest:
    """Read the request of an ASGI scope.

    The dialect fills in the fields that depend on the headers.
    """
    headers = tuple(scope['headers'])
    query = scope['query_string'].decode('latin-1')
    path = scope['raw_path'].decode('latin-1')
    host = next(
        (value for name, value in headers if name.lower() == b'host'), b''
    )
    return IncomingRequest(
        request_id='',
        method=scope['method'],
        target=f'{path}?{query}' if query else path,
        path=path,
        host=host.decode('latin-1').partition(':')[0].lower(),
        headers=headers,
        body=body,
        timeout_seconds=None,
        arrived_at=arrived_at,
        last_event_number=None,
        model_request=None,
    )


def make_response(reply: BufferedReply | StreamReply) -> Response:
    """Make the HTTP response for the reply of an upstream."""
    response = Response(_body_of(reply), status=reply.status)
    response.timeout = None
    response.headers = _make_headers(reply.headers)
    return response


def _body_of(
    reply: BufferedReply | StreamReply,
) -> bytes | AsyncIterator[bytes]:
    return reply.events if isinstance(reply, StreamReply) else reply.body


def _make_headers(raw: RawHeaders) -> Headers:
    headers = Headers()
    for name, content in raw:
        headers.add(name.decode('latin-1'), content.decode('latin-1'))
    return headers


class CleanupApp(ShieldedSendApp):
    """Tracks active requests and closes their resources when they end."""

    def __init__(self, name: str, context: RelayContext) -> None:
        super().__init__(name)
        self.context = context

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope."""
        if scope['type'] != 'http':
            await super().__call__(scope, receive, send)
            return
        scope['state'][_PROGRESS] = RequestProgress()
        active = self.context.state.active
        active[id(scope)] = ActiveRequest(
            scope['path'], self.context.timers.now()
        )
        try:
            async with AsyncExitStack() as stack:
                scope['state'][_STACK] = stack
                # A stop breaks off a stream that is still being sent.
                with self.context.state.planned_stop.limit_time(ANSWER_SECONDS):
                    await super().__call__(scope, receive, send)
        finally:
            active.pop(id(scope))


def make_front_app(context: RelayContext) -> QuartTrio:
    """Make the app that serves callers."""
    app = CleanupApp('cranberryrelay.relay', context)
    app.config['MAX_CONTENT_LENGTH'] = BODY_BYTES_HARD_LIMIT
    add_routes(app, FrontRoutes(context))
    return app


class UnansweredRequests:
    """Logs and counts the requests that were taken and not answered."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        self.log = UnansweredLog()

    def record(self, unanswered: UnansweredRequest) -> None:
        """Record a request, whoever ended its connection."""
        scope = unanswered.scope
        arrival = read_scope(scope, b'', 0)
        progress = scope['state'].get(_PROGRESS, RequestProgress())
        self.log.write(
            unanswered,
            request_id=self.context.dialect.parse_request(arrival).request_id,
            passed_on=progress.passed_on,
            may_have_run=progress.may_have_run,
        )
        self.context.state.telemetry.count_unanswered(
            unanswered.reason, passed_on=progress.passed_on
        )


def make_forward_app(context: RelayContext) -> QuartTrio:
    """Make the app that serves requests that peers forward."""
    app = CleanupApp('cranberryrelay.forward', context)
    app.config['MAX_CONTENT_LENGTH'] = BODY_BYTES_HARD_LIMIT
    add_routes(app, ForwardRoutes(context))
    return app


def add_routes(app: QuartTrio, routes: FrontRoutes) -> None:
    """Let an app handle all requests, and its own errors, by routes."""
    app.before_request(routes.handle_request)
    app.register_error_handler(InternalServerError, routes.refuse_unexpected)


def make_readiness_app(context: RelayContext) -> QuartTrio:
    """Make the app that serves the readiness check and the metrics."""
    app = ShieldedSendApp('cranberryrelay.ready')

    app.before_request(ReadyRoutes(context).report_readiness)
    return app
