"""The engine and service stand-ins over HTTP, told apart by port."""

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
    as_json,
    read_body,
    refuse_or_lose,
)
from cranberryrelay.standins._standins import StandIns


class UpstreamRoutes:
    """Routes of the engines and services, and of all fault switches."""

    def __init__(self, standins: StandIns) -> None:
        self.standins = standins

    async def generate(self) -> Response:
        """Stream the tokens of an answer, one JSON object a line."""
        engine = self._asked_engine()
        if engine.is_down() or engine.ordering:
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        asked = decode_record(await read_body(), GenerateRequest).unwrap()
        if asked.model not in engine.models:
            return Response('', HTTPStatus.NOT_FOUND)
        response = Response(
            _stream_tokens(engine, asked), mimetype='application/x-ndjson'
        )
        response.timeout = None
        return response

    async def obey(self) -> Response:
        """Carry out an order."""
        engine = self._asked_engine()
        if engine.is_down():
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        order = decode_record(await read_body(), EngineOrder).unwrap()
        obeyed = await engine.obey(order)
        if obeyed.is_err():
            return await refuse_or_lose(obeyed.unwrap_err())
        return Response(obeyed.unwrap())

    async def report_load(self) -> Response:
        """Report the load of an engine or a service."""
        port = _asked_port()
        if port in self.standins.services:
            return as_json({'running': 0, 'waiting': 0})
        engine = self._asked_engine()
        if engine.is_down():
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        return as_json(
            {
                'running': len(engine.running),
                'waiting': len(engine.waiting),
                'prefill_tokens': engine.count_prefill_tokens(),
                'role': engine.role,
                'models': dict(engine.models),
            }
        )

    async def switch_faults(self) -> Response:
        """Change fault switches of whatever answers on this port."""
        switches = msgspec.json.decode(
            await read_body(), type=dict[str, object]
        )
        self.standins.find(_asked_port()).switch_faults(switches)
        return Response('')

    async def crash(self) -> Response:
        """Crash an engine."""
        self._asked_engine().crash()
        return Response('')

    async def call(self, route: str) -> Response:
        """Run a call of a service."""
        service = self.standins.services[_asked_port()]
        body = (await read_body()).decode()
        answer = await service.run(f'{request.method} /{route}', body)
        if answer is None:
            await trio.sleep_forever()
        return Response(answer, mimetype='text/plain')

    def _asked_engine(self) -> EngineStandIn:
        return self.standins.engines[_asked_port()]


async def _stream_tokens(
    engine: EngineStandIn, asked: GenerateRequest
) -> AsyncIterator[bytes]:
    try:
        async for event in engine.generate(asked):
            yield b''.join((encode_record(event), _LINE_END))
    except EngineCrashedError:
        yield b''


_LINE_END = b'\n'


def _asked_port() -> int:
    server = request.scope['server']
    return int(server[1] or 0) if server else 0
