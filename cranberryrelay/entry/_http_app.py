"""The callers' interface over HTTP."""

from http import HTTPStatus
from typing import Final

from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import RequestEntityTooLarge

from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.entry._context import Incoming
from cranberryrelay.entry._pipeline import Pipeline
from cranberryrelay.entry._replies import reply_headers, reply_problem
from cranberryrelay.serving import CarefulApp

BODY_BYTES_HARD_LIMIT: Final = 16_000_000
_METHODS: Final = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')


class EntryRoutes:
    """Routes of the callers' interface."""

    def __init__(self, pipeline: Pipeline) -> None:
        self.pipeline = pipeline

    async def complete(self) -> Response:
        """Answer a completion or chat completion."""
        return await self.pipeline.serve_model(await read_incoming())

    async def call_service(self, route: str) -> Response:
        """Answer a call of a service."""
        return await self.pipeline.serve_call(await read_incoming())

    async def tell_live(self) -> Response:
        """Tell that the process runs."""
        return Response('live\n')

    async def tell_ready(self) -> Response:
        """Tell whether requests are being admitted."""
        link = self.pipeline.link
        if link.core.is_ready(link.timers.now()):
            return Response('ready\n')
        return Response('not ready\n', HTTPStatus.SERVICE_UNAVAILABLE)

    async def expose_metrics(self) -> Response:
        """Expose the metrics."""
        accepts = request.headers.getlist('Accept')
        text, headers = self.pipeline.telemetry.expose(accepts)
        return Response(text, headers=headers)

    async def refuse_large(self, error: RequestEntityTooLarge) -> Response:
        """Refuse a body that is over any limit."""
        detail = f'keep the body under {BODY_BYTES_HARD_LIMIT} bytes'
        failure = fail(ResultCode.BODY_TOO_LARGE, detail)
        headers = reply_headers(self.pipeline.instance, None)
        return reply_problem(failure, headers)


async def read_incoming() -> Incoming:
    """Read the request that is being handled."""
    body: object = await request.get_data(as_text=False)
    return Incoming(
        method=request.method,
        path=request.path,
        headers={name.lower(): text for name, text in request.headers.items()},
        body=body if isinstance(body, bytes) else b'',
    )


def make_entry_app(pipeline: Pipeline) -> QuartTrio:
    """Make the app of the callers' interface."""
    app = CarefulApp('cranberryrelay.entry')
    app.config['MAX_CONTENT_LENGTH'] = BODY_BYTES_HARD_LIMIT
    routes = EntryRoutes(pipeline)
    app.post('/v1/completions')(routes.complete)
    app.post('/v1/chat/completions')(routes.complete)
    app.route('/services/<path:route>', methods=list(_METHODS))(
        routes.call_service
    )
    app.get('/live')(routes.tell_live)
    app.get('/ready')(routes.tell_ready)
    app.get('/metrics')(routes.expose_metrics)
    app.errorhandler(RequestEntityTooLarge)(routes.refuse_large)
    return app
