"""ASGI apps for callers, for peers, and for the balancer's readiness check."""

import logging
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import trio
from result import Err, Ok, Result

from cranberryrelay.codes import (
    CODE_TABLE,
    ExecutionState,
    Failure,
    ResultCode,
    fail,
)
from cranberryrelay.relay._body_budget import BodyBuffer
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
    ON_DISCONNECT,
    App,
    UnansweredLog,
    UnansweredRequest,
)
from cranberryrelay.timing import limit_time

# Time for the body of a request without a route.
DEFAULT_BODY_SECONDS: Final = 10.0

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

# Key in the state of an ASGI scope.
_PROGRESS: Final = 'cranberryrelay.progress'

_CONTENT_LENGTH: Final = b'content-length'
_RETRY_AFTER: Final = b'retry-after'
_CLOSE: Final = (b'connection', b'close')
_PLAIN_TEXT: Final = (b'content-type', b'text/plain')
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class Answer(NamedTuple):
    """An answer to a caller."""

    # HTTP status.
    status: int

    # Headers, without those that frame the body.
    headers: RawHeaders

    # The body, whole or as it arrives.
    body: bytes | AsyncIterator[bytes]


class Arrival(NamedTuple):
    """A request that is being handled."""

    # ASGI scope.
    scope: Any

    # Receives the messages of the caller.
    receive: Any

    # Closes everything that is opened for the request.
    stack: AsyncExitStack

    # How far the request has got.
    progress: RequestProgress


class CallerLeftError(Exception):
    """The caller has left before its request was whole."""


class FrontRoutes:
    """Handlers for requests of callers."""

    # Whether a request may be forwarded to a peer.
    may_forward = True

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        self.pipeline = RelayPipeline(context)

    async def handle_request(self, arrival: Arrival) -> Answer:
        """Handle any request of a caller, within the time of a stop."""
        try:
            with self.context.state.planned_stop.limit_time():
                return await self.answer_request(arrival)
        except CallerLeftError:
            raise
        except Exception as error:
            return self.refuse(record_unexpected(error, '', is_sent=True))
        return self.end_by_stop(arrival)

    def end_by_stop(self, arrival: Arrival) -> Answer:
        """Make the answer to a request for which a stop leaves no time."""
        progress = arrival.progress
        failure = find_stop_failure(may_have_run=progress.may_have_run)
        self.record_ended(
            'request ended by the stop',
            arrival.scope,
            failure,
            ran=failure.ran,
            passed_on=progress.passed_on,
        )
        return self.refuse(failure)

    def record_ended(
        self, message: str, scope: Any, failure: Failure, **extra: object
    ) -> None:
        """Log and count a request that ends outside the pipeline."""
        request_id = read_request_id(self.context, scope)
        code = failure.code
        _LOG.info(
            message,
            extra={'request_id': request_id, 'code': code.value, **extra},
        )
        self.context.state.telemetry.count_request(None, code)

    async def answer_request(self, arrival: Arrival) -> Answer:
        """Read the whole request, run it, and make its answer."""
        request = self.read_request(arrival.scope, self.context.timers.now())
        limit_seconds = self.find_body_seconds(request)
        budget = self.context.state.request_budget
        buffer = arrival.stack.enter_context(budget.open_buffer())
        body = await read_body(arrival.receive, limit_seconds, buffer)
        if isinstance(body, Err):
            failure = body.unwrap_err()
            self.record_ended(
                'body not read', arrival.scope, failure, detail=failure.detail
            )
            return self.refuse(failure)
        outcome = await self.pipeline.serve(
            request._replace(body=body.unwrap()),
            arrival.stack,
            arrival.progress,
            may_forward=self.may_forward,
        )
        if isinstance(outcome, Err):
            return self.refuse(outcome.unwrap_err())
        return self.close_if_draining(make_response(outcome.unwrap()))

    def find_body_seconds(self, request: IncomingRequest) -> float:
        """Return how long the body of a request may take.

        It is the time that its route gives the whole request.
        """
        table = self.context.state.table
        route = table and table.find(request.host, request.path)
        return DEFAULT_BODY_SECONDS if route is None else route.timeout_seconds

    def read_request(self, scope: Any, arrived_at: float) -> IncomingRequest:
        """Read the request that is being handled, without its body."""
        return read_scope(scope, arrived_at)

    def refuse(self, failure: Failure) -> Answer:
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
        headers = [_PLAIN_TEXT]
        if status in _RETRYABLE_STATUSES:
            retry_after = format_retry_after(failure).encode()
            headers.append((_RETRY_AFTER, retry_after))
        text = f'{failure.code.value} {entry.title}\n'
        return self.close_if_draining(Answer(status, headers, text.encode()))

    def close_if_draining(self, answer: Answer) -> Answer:
        """Ask the caller to close the connection during a planned stop."""
        if self.context.state.draining:
            return answer._replace(headers=[*answer.headers, _CLOSE])
        return answer


def format_retry_after(failure: Failure) -> str:
    """Return when a caller that was refused may come back, in seconds."""
    seconds = failure.retry_after_seconds
    if seconds is None:
        seconds = _RETRY_AFTER_BY_CODE.get(failure.code, RETRY_AFTER_SECONDS)
    return f'{seconds:.3f}'


class ForwardRoutes(FrontRoutes):
    """Handlers for requests that peers forward."""

    may_forward = False

    async def handle_request(self, arrival: Arrival) -> Answer:
        """Handle a request of a peer that is cut off from upstreams."""
        obstacle = self.find_obstacle(arrival.scope)
        if obstacle is not None:
            refusal = self.refuse(fail(ResultCode.FORWARD_REFUSED, obstacle))
            refused = (REFUSED_HEADER, obstacle.encode('latin-1', 'replace'))
            return refusal._replace(headers=[*refusal.headers, refused])
        arrival.stack.enter_context(self.context.state.forwarded.track())
        return await super().handle_request(arrival)

    def read_request(self, scope: Any, arrived_at: float) -> IncomingRequest:
        """Read the request without the header for this instance alone."""
        request = super().read_request(scope, arrived_at)
        headers = [
            pair
            for pair in request.headers
            if pair[0].lower() != REVISION_HEADER
        ]
        return request._replace(headers=headers)

    def find_obstacle(self, scope: Any) -> str | None:
        """Return why a forwarded request is not taken; None if it is."""
        state = self.context.state
        if not forward_address(state):
            return 'not ready, or cut off from upstreams'
        if state.forwarded.active >= FORWARDED_LIMIT:
            return f'{FORWARDED_LIMIT} forwarded requests are in progress'
        revision = find_header(scope, REVISION_HEADER)
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

    async def handle_request(self, arrival: Arrival) -> Answer:
        """Return the readiness for new requests, or the metrics."""
        scope = arrival.scope
        if scope['path'] == METRICS_PATH:
            accepts = [find_header(scope, b'accept') or '*/*']
            text, named = self.context.state.telemetry.render_metrics(accepts)
            headers = [
                (name.encode(), content.encode())
                for name, content in named.items()
            ]
            return Answer(HTTPStatus.OK, headers, text)
        if self.context.state.is_ready():
            return Answer(HTTPStatus.OK, [_PLAIN_TEXT], b'ready\n')
        return Answer(
            HTTPStatus.SERVICE_UNAVAILABLE, [_PLAIN_TEXT], b'not ready\n'
        )


async def read_body(
    receive: Any, limit_seconds: float, buffer: BodyBuffer
) -> Result[bytes, Failure]:
    """Read the body of a request, from the arrival of its head.

    Errors: ``BODY_TOO_LARGE``, ``BODIES_TOO_LARGE``, ``BODY_INCOMPLETE``.
    Raises ``CallerLeftError``.
    """
    with limit_time(limit_seconds):
        while True:
            message = await receive()
            if message['type'] != 'http.request':
                raise CallerLeftError
            excess = buffer.add(message.get('body', b''))
            if excess is not None:
                buffer.clear()
                return Err(excess)
            if not message.get('more_body', False):
                return Ok(buffer.take())
    detail = f'{buffer.length} bytes arrived within {limit_seconds:.3f} s'
    return Err(fail(ResultCode.BODY_INCOMPLETE, detail))


def find_header(scope: Any, wanted: bytes) -> str:
    """Return a header of a request; '' if it has none."""
    for name, content in scope['headers']:
        if name.lower() == wanted:
            return str(content, 'latin-1').strip()
    return ''


def read_request_id(context: RelayContext, scope: Any) -> str:
    """Return the id of the request of an ASGI scope; '' if it has none."""
    return context.dialect.parse_request(read_scope(scope, 0)).request_id


def read_scope(scope: Any, arrived_at: float) -> IncomingRequest:
    """Read the request of an ASGI scope, without its body.

    The dialect fills in the fields that depend on the headers.
    """
    query = scope['query_string'].decode('latin-1')
    path = scope['raw_path'].decode('latin-1')
    return IncomingRequest(
        request_id='',
        method=scope['method'],
        target=f'{path}?{query}' if query else path,
        path=path,
        host=find_header(scope, b'host').partition(':')[0].lower(),
        headers=tuple(scope['headers']),
        body=b'',
        timeout_seconds=None,
        arrived_at=arrived_at,
        last_event_number=None,
        model_request=None,
    )


def make_response(reply: BufferedReply | StreamReply) -> Answer:
    """Make the answer for the reply of an upstream."""
    body = reply.events if isinstance(reply, StreamReply) else reply.body
    return Answer(reply.status, reply.headers, body)


class RelayApp:
    """ASGI app that tracks active requests and closes what they opened.

    The server cancels a request whose caller has left.
    """

    def __init__(
        self, context: RelayContext, routes: FrontRoutes | ReadyRoutes
    ) -> None:
        self.context = context
        self.routes = routes

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope."""
        if scope['type'] != 'http':
            await answer_lifespan(receive, send)
            return
        progress = RequestProgress()
        scope['state'][_PROGRESS] = progress
        active = self.context.state.active
        active[id(scope)] = ActiveRequest(
            scope['path'], self.context.timers.now()
        )
        try:
            async with AsyncExitStack() as stack:
                arrival = Arrival(scope, receive, stack, progress)
                # A stop breaks off a stream that is still being sent.
                with (
                    trio.CancelScope() as running,
                    self.context.state.planned_stop.limit_time(ANSWER_SECONDS),
                ):
                    cancel_when_left(scope, running)
                    await self.respond(arrival, send)
        finally:
            active.pop(id(scope))

    async def respond(self, arrival: Arrival, send: Any) -> None:
        """Handle a request and send its answer."""
        try:
            answer = await self.routes.handle_request(arrival)
        except CallerLeftError:
            return
        is_head = arrival.scope['method'] == 'HEAD'
        await send(make_start(answer, has_body=not is_head))
        if isinstance(answer.body, bytes):
            await send({'type': 'http.response.body', 'body': answer.body})
            return
        async for part in answer.body:
            await send(
                {'type': 'http.response.body', 'body': part, 'more_body': True}
            )
        await send({'type': 'http.response.body', 'body': b''})


async def answer_lifespan(receive: Any, send: Any) -> None:
    """Tell the server that there is nothing to do at its start and end."""
    event = ''
    while event != 'lifespan.shutdown':
        message = await receive()
        event = message['type']
        await send({'type': f'{event}.complete'})


def cancel_when_left(scope: Any, running: trio.CancelScope) -> None:
    """Cancel a request once its caller has left, if the server can tell."""
    register = (scope.get('extensions') or {}).get(ON_DISCONNECT)
    if register is not None:
        register(running.cancel)


def make_start(answer: Answer, *, has_body: bool) -> dict[str, Any]:
    """Make the first ASGI message of an answer."""
    headers = list(answer.headers)
    if has_body and isinstance(answer.body, bytes):
        length = str(len(answer.body)).encode()
        headers.append((_CONTENT_LENGTH, length))
    return {
        'type': 'http.response.start',
        'status': int(answer.status),
        'headers': headers,
    }


class UnansweredRequests:
    """Logs and counts the requests that were taken and not answered."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        self.log = UnansweredLog()

    def record(self, unanswered: UnansweredRequest) -> None:
        """Record a request, whoever ended its connection."""
        scope = unanswered.scope
        progress = scope['state'].get(_PROGRESS, RequestProgress())
        self.log.write(
            unanswered,
            request_id=read_request_id(self.context, scope),
            passed_on=progress.passed_on,
            may_have_run=progress.may_have_run,
        )
        self.context.state.telemetry.count_unanswered(
            unanswered.reason, passed_on=progress.passed_on
        )


def make_front_app(context: RelayContext) -> App:
    """Make the app that serves callers."""
    return RelayApp(context, FrontRoutes(context))


def make_forward_app(context: RelayContext) -> App:
    """Make the app that serves requests that peers forward."""
    return RelayApp(context, ForwardRoutes(context))


def make_readiness_app(context: RelayContext) -> App:
    """Make the app that serves the readiness check and the metrics."""
    return RelayApp(context, ReadyRoutes(context))
