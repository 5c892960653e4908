"""The HTTP interface for callers."""

from http import HTTPStatus
from typing import Final

from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import RequestEntityTooLarge

from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.entry._context import IncomingRequest
from cranberryrelay.entry._pipeline import Pipeline
from cranberryrelay.entry._replies import (
    make_problem_response,
    make_reply_headers,
)

BODY_BYTES_HARD_LIMIT: Final = 16_000_000
_METHODS: Final = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')


class EntryRoutes:
    """Route handlers of the HTTP interface."""

    def __init__(self, pipeline: Pipeline) -> None:
        self.pipeline = pipeline

    async def complete(self) -> Response:
        """Answer a completion or chat completion."""
        return await self.pipeline.serve_model(await read_request())

    async def call_service(self, route: str) -> Response:
        """Answer a call to a service."""
        return await self.pipeline.serve_call(await read_request())

    async def report_liveness(self) -> Response:
        """Report that the process is running."""
        return Response('live\n')

    async def report_readiness(self) -> Response:
        """Report whether requests are being admitted."""
        actor = self.pipeline.actor
        if actor.core.is_ready(actor.timers.now()):
            return Response('ready\n')
        return Response('not ready\n', HTTPStatus.SERVICE_UNAVAILABLE)

    async def expose_metrics(self) -> Response:
        """Expose the metrics."""
        accepts = request.headers.getlist('Accept')
        text, headers = self.pipeline.telemetry.render_metrics(accepts)
        return Response(text, headers=headers)

    async def refuse_oversized_body(
        self, error: RequestEntityTooLarge
    ) -> Response:
        """Refuse a body over the server's hard limit."""
        detail = f'the body is over the limit of {BODY_BYTES_HARD_LIMIT} bytes'
        failure = fail(ResultCode.BODY_TOO_LARGE, detail)
        headers = make_reply_headers(self.pipeline.instance, None)
        return make_problem_response(failure, headers)


async def read_request() -> IncomingRequest:
    """Read the current HTTP request."""
    body: object = await request.get_data(as_text=False)
    return IncomingRequest(
        method=request.method,
        path=request.path,
        headers={name.lower(): text for name, text in request.headers.items()},
        body=body if isinstance(body, bytes) else b'',
    )


def make_entry_app(pipeline: Pipeline) -> QuartTrio:
    """Make the application that serves callers."""
    app = QuartTrio('cranberryrelay.entry')
    app.config['MAX_CONTENT_LENGTH'] = BODY_BYTES_HARD_LIMIT
    routes = EntryRoutes(pipeline)
    app.post('/v1/completions')(routes.complete)
    app.post('/v1/chat/completions')(routes.complete)
    app.route('/services/<path:route>', methods=list(_METHODS))(
        routes.call_service
    )
    app.get('/live')(routes.report_liveness)
    app.get('/ready')(routes.report_readiness)
    app.get('/metrics')(routes.expose_metrics)
    app.errorhandler(RequestEntityTooLarge)(routes.refuse_oversized_body)
    return app
