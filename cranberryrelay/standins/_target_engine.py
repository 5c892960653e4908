"""Stand-in for an engine or service of the target platform, with faults."""

from collections.abc import AsyncIterator, Iterator
from http import HTTPStatus
from typing import Any, Final, NamedTuple, Protocol

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

REQUEST_ID_HEADER: Final = 'X-Cranberryrelay-Request-Id'
SERVER_STAMP_HEADER: Final = 'X-Cranberryrelay-Server-Stamp'
EXPECT_INSTANCE_HEADER: Final = 'X-Cranberryrelay-Expect-Instance'
NOT_EXECUTED_HEADER: Final = 'X-Cranberryrelay-Not-Executed'
KV_SOURCE_HEADER: Final = 'X-Cranberryrelay-Kv-Source'
EVENT_COUNT: Final = 6
EVENT_SECONDS: Final = 0.05

# Role of an upstream that is a plain service, and the duration of its calls.
PLAIN_ROLE: Final = 'plain'
CALL_SECONDS: Final = 0.3
_MISDIRECTED: Final = 421
_METHODS: Final = ('GET', 'POST')


class TargetEngineFaults(NamedTuple):
    """Faults that an engine injects."""

    # Id of the last event of a stream before the engine crashes; 0 for never.
    crash_after_event: int = 0

    # Every request is refused as not executed.
    full: bool = False


class RunLog(Protocol):
    """Log of the ids of the requests that were started."""

    def append(self, request_id: str, /) -> None:
        """Record that a request is started."""

    def __iter__(self) -> Iterator[str]:
        """Yield the ids in the order of their start."""


class EngineCrashError(Exception):
    """The engine crashes in the middle of an answer."""


class TargetEngineStandIn:
    """Prefills, decodes or serves plain calls, and executes orders."""

    def __init__(
        self, name: str, role: str, run_log: RunLog | None = None
    ) -> None:
        self.name = name
        self.role = role
        self.faults = TargetEngineFaults()

        # If true, the data of each event is the id of its request.
        self.echo_request_ids = False
        self.transfer_handles: set[str] = set()
        self.run_log: RunLog = [] if run_log is None else run_log
        self.order_count = 0
        self.fencing_token = 0

    async def handle_request(self, path: str) -> Any:
        """Handle a request according to the role of the engine."""
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        headers = {
            REQUEST_ID_HEADER: request_id,
            SERVER_STAMP_HEADER: f'{self.name}.1',
        }
        if request.headers.get(EXPECT_INSTANCE_HEADER) != self.name:
            return Response('', _MISDIRECTED, headers=headers)
        if self.faults.full:
            refused = {**headers, NOT_EXECUTED_HEADER: '1'}
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE, refused)
        if request.headers.get('X-Cranberryrelay-Stage'):
            return self.prefill(request_id, headers)
        if self.role == PLAIN_ROLE:
            return await self.run_call(request_id, headers)
        return self.generate(request_id, headers)

    async def run_call(
        self, request_id: str, headers: dict[str, str]
    ) -> Response:
        """Run a call of a plain service; the answer is the request's id."""
        self.run_log.append(request_id)
        await trio.sleep(CALL_SECONDS)
        return Response(request_id, headers=headers)

    def prefill(self, request_id: str, headers: dict[str, str]) -> Response:
        """Prefill a prompt and return a transfer handle for its KV cache."""
        if self.role != 'prefill':
            return Response('', _MISDIRECTED, headers=headers)
        transfer_handle = f'{self.name}-{len(self.transfer_handles)}'
        self.transfer_handles.add(transfer_handle)
        body = {'transfer_handle': transfer_handle, 'tokens': 800, 'version': 1}
        return Response(msgspec.json.encode(body), headers=headers)

    def generate(self, request_id: str, headers: dict[str, str]) -> Any:
        """Stream the events after the ``Last-Event-Id`` of the request.

        A KV source whose handle is the request's id continues the same run from
        its backup copy, so it is not logged as another run.
        """
        if self.role != 'decode':
            return Response('', _MISDIRECTED, headers=headers)
        source_id = request.headers.get(KV_SOURCE_HEADER, '').partition('/')[2]
        continues_run = source_id == request_id
        if not continues_run:
            self.run_log.append(request_id)
        after_event = int(request.headers.get('Last-Event-Id', 0))
        headers['Content-Type'] = 'text/event-stream'
        text = request_id.encode() if self.echo_request_ids else b'token'
        return (
            self.stream_events(after_event, text),
            int(HTTPStatus.OK),
            headers,
        )

    async def stream_events(
        self, after_event: int, text: bytes
    ) -> AsyncIterator[bytes]:
        """Yield the events after a number; crash if the fault is set."""
        for number in range(after_event + 1, EVENT_COUNT + 1):
            if (
                self.faults.crash_after_event
                and number > self.faults.crash_after_event
            ):
                raise EngineCrashError(self.name)
            yield b'id: %d\ndata: %s\n\n' % (number, text)
            await trio.sleep(EVENT_SECONDS)

    async def report_status(self) -> Response:
        """Report the role and the number of orders executed."""
        body = {'stage': self.role, 'busy': False, 'sequence': self.order_count}
        return Response(msgspec.json.encode(body))

    async def execute_order(self) -> Response:
        """Execute an order.

        Status 412 for an outdated fencing token, 409 if the order does not
        expect the current number of executed orders.
        """
        body: Any = await request.get_data(as_text=False)
        order = msgspec.json.decode(body)
        if order['fencing_token'] < self.fencing_token:
            return Response('', HTTPStatus.PRECONDITION_FAILED)
        if order['expect'] != self.order_count:
            return Response('', HTTPStatus.CONFLICT)
        self.fencing_token = order['fencing_token']
        self.order_count += 1
        self.role = order['stage']
        return Response('', HTTPStatus.ACCEPTED)


def make_target_engine_app(engine: TargetEngineStandIn) -> QuartTrio:
    """Make the HTTP app of an engine."""
    app = QuartTrio('cranberryrelay.standins.target_engine')
    app.get('/v1/report')(engine.report_status)
    app.post('/v1/order')(engine.execute_order)
    app.route('/<path:path>', methods=list(_METHODS))(engine.handle_request)
    return app
