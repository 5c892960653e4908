"""The callers' interface over HTTP, and the balancer's question."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from http import HTTPStatus
from typing import Any, Final

from quart import Response, request
from quart_trio import QuartTrio
from result import Err
from werkzeug.datastructures import Headers

from cranberryrelay.codes import CODE_TABLE, Failure, Ran
from cranberryrelay.relay._arrival import Arrival, RawHeaders
from cranberryrelay.relay._context import StreamReply, Tools, WholeReply
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._state import ActiveRequest
from cranberryrelay.serving import CarefulApp

BODY_BYTES_HARD_LIMIT: Final = 16_000_000

# Path of the metrics, served beside the readiness.
METRICS_PATH: Final = '/metrics'

# Time after which refused callers may come back, in seconds.
RETRY_AFTER_SECONDS: Final = 0.3
_STACK: Final = 'cranberryrelay.stack'


class FrontRoutes:
    """Answers callers."""

    def __init__(self, tools: Tools) -> None:
        self.tools = tools
        self.pipeline = RelayPipeline(tools)

    async def answer(self) -> Response:
        """Answer any request of a caller."""
        arrived_at = self.tools.timers.now()
        stack: AsyncExitStack = request.scope['state'][_STACK]
        body: Any = await request.get_data(as_text=False)
        ended = await self.pipeline.serve(read_arrival(body, arrived_at), stack)
        if isinstance(ended, Err):
            return self.refuse(ended.unwrap_err())
        return self.close_if_draining(make_response(ended.unwrap()))

    def refuse(self, failure: Failure) -> Response:
        """Refuse a request; only what has not run is said to be not run."""
        entry = CODE_TABLE[failure.code]
        status = entry.status
        if failure.ran is not Ran.NOT_RUN and status in _PROMISES:
            status = HTTPStatus.BAD_GATEWAY
        response = Response(
            f'{failure.code.value} {entry.title}\n',
            status=status,
            content_type='text/plain',
        )
        if status in _PROMISES:
            response.headers['Retry-After'] = str(RETRY_AFTER_SECONDS)
        return self.close_if_draining(response)

    def close_if_draining(self, response: Response) -> Response:
        """Ask the caller to leave the connection before a planned stop."""
        if self.tools.state.draining:
            response.headers['Connection'] = 'close'
        return response


_PROMISES: Final = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
    )
)


class ReadyRoutes:
    """Answers the balancer."""

    def __init__(self, tools: Tools) -> None:
        self.tools = tools

    async def tell_ready(self) -> Response:
        """Tell if new callers may come, or expose the metrics."""
        if request.path == METRICS_PATH:
            accepts = request.headers.getlist('Accept')
            text, headers = self.tools.state.telemetry.expose(accepts)
            return Response(text, headers=headers)
        if self.tools.state.is_ready():
            return Response('ready\n')
        return Response('not ready\n', HTTPStatus.SERVICE_UNAVAILABLE)


def read_arrival(body: bytes, arrived_at: float) -> Arrival:
    """Read the request that is being handled."""
    scope: Any = request.scope
    headers = tuple(scope['headers'])
    query = scope['query_string'].decode('latin-1')
    path = scope['raw_path'].decode('latin-1')
    host = next(
        (value for name, value in headers if name.lower() == b'host'), b''
    )
    return Arrival(
        request_id='',
        method=request.method,
        target=f'{path}?{query}' if query else path,
        path=path,
        host=host.decode('latin-1').partition(':')[0].lower(),
        headers=headers,
        body=body,
        patience_seconds=None,
        arrived_at=arrived_at,
        last_event=None,
        work=None,
    )


def make_response(reply: WholeReply | StreamReply) -> Response:
    """Make the response for an upstream's answer."""
    response = Response(_body_of(reply), status=reply.status)
    response.timeout = None
    response.headers = _make_headers(reply.headers)
    return response


def _body_of(
    reply: WholeReply | StreamReply,
) -> bytes | AsyncIterator[bytes]:
    return reply.events if isinstance(reply, StreamReply) else reply.body


def _make_headers(raw: RawHeaders) -> Headers:
    headers = Headers()
    for name, content in raw:
        headers.add(name.decode('latin-1'), content.decode('latin-1'))
    return headers


class ClosingApp(CarefulApp):
    """Closes what was opened for a request when the request has ended."""

    def __init__(self, name: str, tools: Tools) -> None:
        super().__init__(name)
        self.tools = tools

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope."""
        if scope['type'] != 'http':
            await super().__call__(scope, receive, send)
            return
        active = self.tools.state.active
        active[id(scope)] = ActiveRequest(
            scope['path'], self.tools.timers.now()
        )
        try:
            async with AsyncExitStack() as stack:
                scope['state'][_STACK] = stack
                await super().__call__(scope, receive, send)
        finally:
            active.pop(id(scope))


def make_front_app(tools: Tools) -> QuartTrio:
    """Make the app of the callers' interface."""
    app = ClosingApp('cranberryrelay.relay', tools)
    app.config['MAX_CONTENT_LENGTH'] = BODY_BYTES_HARD_LIMIT
    routes = FrontRoutes(tools)
    app.before_request(routes.answer)
    return app


def make_ready_app(tools: Tools) -> QuartTrio:
    """Make the app that the balancer asks."""
    app = CarefulApp('cranberryrelay.ready')

    app.before_request(ReadyRoutes(tools).tell_ready)
    return app
