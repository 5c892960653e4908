"""HTTP routes of the engine and service stand-ins, selected by port."""

from collections.abc import AsyncIterator
from http import HTTPStatus

import msgspec
import trio
from quart import Response, request

from cranberryrelay.agreement import EngineOrder
from cranberryrelay.records import decode_record, encode_record
from cranberryrelay.standins._engine import (
    EngineCrashedError,
    EngineStandIn,
    GenerateRequest,
)
from cranberryrelay.standins._replies import (
    read_body,
    reply_failure_or_hang,
    reply_json,
)
from cranberryrelay.standins._standins import StandIns


class UpstreamRoutes:
    """Handlers of engines and services, and of the faults of all stand-ins."""

    def __init__(self, standins: StandIns) -> None:
        self.standins = standins

    async def generate(self) -> Response:
        """Stream the tokens of an answer, one JSON object per line."""
        engine = self._requested_engine()
        if engine.is_down() or engine.order_in_progress:
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        generate_request = decode_record(
            await read_body(), GenerateRequest
        ).unwrap()
        if generate_request.model not in engine.models:
            return Response('', HTTPStatus.NOT_FOUND)
        response = Response(
            _stream_tokens(engine, generate_request),
            mimetype='application/x-ndjson',
        )
        response.timeout = None
        return response

    async def execute_order(self) -> Response:
        """Execute an order for an engine."""
        engine = self._requested_engine()
        if engine.is_down():
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        order = decode_record(await read_body(), EngineOrder).unwrap()
        outcome = await engine.execute_order(order)
        if outcome.is_err():
            return await reply_failure_or_hang(outcome.unwrap_err())
        return Response(outcome.unwrap())

    async def report_load(self) -> Response:
        """Report the load of an engine; a service always reports 0."""
        port = _requested_port()
        if port in self.standins.services:
            return reply_json({'running': 0, 'waiting': 0})
        engine = self._requested_engine()
        if engine.is_down():
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        return reply_json(
            {
                'running': len(engine.running),
                'waiting': len(engine.waiting),
                'prefill_tokens': engine.count_prefill_tokens(),
                'role': engine.role,
                'models': dict(engine.models),
            }
        )

    async def switch_faults(self) -> Response:
        """Set fault switches of the stand-in on the requested port."""
        switches = msgspec.json.decode(
            await read_body(), type=dict[str, object]
        )
        self.standins.find_by_port(_requested_port()).switch_faults(switches)
        return Response('')

    async def crash(self) -> Response:
        """Crash an engine."""
        self._requested_engine().crash()
        return Response('')

    async def call_service(self, route: str) -> Response:
        """Run a call of a service; never answers if the answer is lost."""
        service = self.standins.services[_requested_port()]
        body = (await read_body()).decode()
        answer = await service.run(f'{request.method} /{route}', body)
        if answer is None:
            await trio.sleep_forever()
        return Response(answer, mimetype='text/plain')

    def _requested_engine(self) -> EngineStandIn:
        return self.standins.engines[_requested_port()]


async def _stream_tokens(
    engine: EngineStandIn, generate_request: GenerateRequest
) -> AsyncIterator[bytes]:
    try:
        async for event in engine.generate(generate_request):
            yield b''.join((encode_record(event), _LINE_FEED))
    except EngineCrashedError:
        yield b''


_LINE_FEED = b'\n'


def _requested_port() -> int:
    server = request.scope['server']
    return int(server[1] or 0) if server else 0
