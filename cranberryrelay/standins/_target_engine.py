"""A stand-in for an engine of the target platform, with faults."""

from collections.abc import AsyncIterator, Iterator
from http import HTTPStatus
from typing import Any, Final, NamedTuple, Protocol

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

ID_HEADER: Final = 'X-Cranberryrelay-Request-Id'
STAMP_HEADER: Final = 'X-Cranberryrelay-Server-Stamp'
EXPECT_HEADER: Final = 'X-Cranberryrelay-Expect-Instance'
NOT_RUN_HEADER: Final = 'X-Cranberryrelay-Not-Executed'
SOURCE_HEADER: Final = 'X-Cranberryrelay-Kv-Source'
EVENTS: Final = 6
EVENT_SECONDS: Final = 0.05

# Role of a plain service, and the time that a call of it takes, in seconds.
PLAIN: Final = 'plain'
WORK_SECONDS: Final = 0.3
_MISDIRECTED: Final = 421
_METHODS: Final = ('GET', 'POST')


class TargetEngineFaults(NamedTuple):
    """Fault switches of an engine."""

    # Break off each stream after so many events; 0 for never.
    breaks_after: int = 0

    # Refuse every request, not run.
    full: bool = False


class RunLog(Protocol):
    """Keeps the ids of the requests that were begun."""

    def append(self, request_id: str, /) -> None:
        """Note that a request is begun."""

    def __iter__(self) -> Iterator[str]:
        """Yield the ids in order."""


class EngineCrashError(Exception):
    """The engine ends in the middle of its answer."""


class TargetEngineStandIn:
    """Reads prompts, generates and takes orders."""

    def __init__(
        self, name: str, role: str, runs: RunLog | None = None
    ) -> None:
        self.name = name
        self.role = role
        self.faults = TargetEngineFaults()

        # Set to have events bear the id of their request.
        self.names_requests = False
        self.tickets: set[str] = set()
        self.runs: RunLog = [] if runs is None else runs
        self.orders = 0
        self.token = 0

    async def answer(self, path: str) -> Any:
        """Answer a request as the engine would in its role."""
        request_id = request.headers.get(ID_HEADER, '')
        headers = {ID_HEADER: request_id, STAMP_HEADER: f'{self.name}.1'}
        if request.headers.get(EXPECT_HEADER) != self.name:
            return Response('', _MISDIRECTED, headers=headers)
        if self.faults.full:
            refused = {**headers, NOT_RUN_HEADER: '1'}
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE, refused)
        if request.headers.get('X-Cranberryrelay-Stage'):
            return self.read_prompt(request_id, headers)
        if self.role == PLAIN:
            return await self.serve(request_id, headers)
        return self.generate(request_id, headers)

    async def serve(self, request_id: str, headers: dict[str, str]) -> Response:
        """Answer a call of a plain service with the request's id."""
        self.runs.append(request_id)
        await trio.sleep(WORK_SECONDS)
        return Response(request_id, headers=headers)

    def read_prompt(self, request_id: str, headers: dict[str, str]) -> Response:
        """Read a prompt and keep its memory."""
        if self.role != 'prefill':
            return Response('', _MISDIRECTED, headers=headers)
        ticket = f'{self.name}-{len(self.tickets)}'
        self.tickets.add(ticket)
        body = {'transfer_handle': ticket, 'tokens': 800, 'version': 1}
        return Response(msgspec.json.encode(body), headers=headers)

    def generate(self, request_id: str, headers: dict[str, str]) -> Any:
        """Stream events after the last one that the request names."""
        if self.role != 'decode':
            return Response('', _MISDIRECTED, headers=headers)
        source = request.headers.get(SOURCE_HEADER, '').partition('/')[2]
        copied = source == request_id
        if not copied:
            self.runs.append(request_id)
        after = int(request.headers.get('Last-Event-Id', 0))
        headers['Content-Type'] = 'text/event-stream'
        text = request_id.encode() if self.names_requests else b'token'
        return self.make_events(after, text), int(HTTPStatus.OK), headers

    async def make_events(
        self, after: int, text: bytes
    ) -> AsyncIterator[bytes]:
        """Yield the events of a run; may break off."""
        for number in range(after + 1, EVENTS + 1):
            if self.faults.breaks_after and number > self.faults.breaks_after:
                raise EngineCrashError(self.name)
            yield b'id: %d\ndata: %s\n\n' % (number, text)
            await trio.sleep(EVENT_SECONDS)

    async def report(self) -> Response:
        """Tell what the engine does."""
        body = {'stage': self.role, 'busy': False, 'sequence': self.orders}
        return Response(msgspec.json.encode(body))

    async def obey(self) -> Response:
        """Take an order unless its token or its place is old."""
        body: Any = await request.get_data(as_text=False)
        order = msgspec.json.decode(body)
        if order['fencing_token'] < self.token:
            return Response('', HTTPStatus.PRECONDITION_FAILED)
        if order['expect'] != self.orders:
            return Response('', HTTPStatus.CONFLICT)
        self.token = order['fencing_token']
        self.orders += 1
        self.role = order['stage']
        return Response('', HTTPStatus.ACCEPTED)


def make_target_engine_app(engine: TargetEngineStandIn) -> QuartTrio:
    """Make the app of an engine."""
    app = QuartTrio('cranberryrelay.standins.target_engine')
    app.get('/v1/report')(engine.report)
    app.post('/v1/order')(engine.obey)
    app.route('/<path:path>', methods=list(_METHODS))(engine.answer)
    return app
