"""Forwarding of requests between two instances on loopback.

Guards against requests that a peer takes although it must not, against lost or
changed answers on the way, and against work for callers that have left.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from result import Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import (
    ClientLimits,
    RequestKind,
    Role,
    Route,
    Upstream,
)
from cranberryrelay.relay._context import (
    BufferedReply,
    RelayContext,
    StreamReply,
)
from cranberryrelay.relay._forward_targets import ForwardTarget
from cranberryrelay.relay._forwarding import (
    FORWARDED_LIMIT,
    REFUSED_HEADER,
    REVISION_HEADER,
)
from cranberryrelay.relay._front_app import make_forward_app
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_plain_table,
    make_route,
    make_settings,
    make_table,
    pick_port,
)
from cranberryrelay.relay.tests.fleet_play import ID_HEADER
from cranberryrelay.relay.tests.test_model_path import EVENTS, WORK, Engines
from cranberryrelay.serving import HttpServerOptions, serve_http
from cranberryrelay.standins import LOOPBACK
from cranberryrelay.timing import open_timer_service

REQUEST_ID = 'r1'
REVISION = 3
CLEANUP_SECONDS = 0.5
START_SECONDS = 0.3
GRACE_SECONDS = 1.0
IDLE_SECONDS = 5.0
Reply = Result[BufferedReply | StreamReply, Failure]


class Case(NamedTuple):
    """A row: the state of the peer, and the code of the refusal."""

    name: str
    peer_cut_off: bool = False
    peer_active: int = 0
    peer_revision: int = REVISION
    peer_listens: bool = True
    code: ResultCode | None = ResultCode.FORWARD_UNAVAILABLE


CASES = (
    Case('taken', code=None),
    Case('peer under a later note', peer_revision=REVISION + 1, code=None),
    Case('peer under an earlier note', peer_revision=REVISION - 1),
    Case('peer cut off as well', peer_cut_off=True),
    Case('peer has too many', peer_active=FORWARDED_LIMIT),
    Case('peer has ended', peer_listens=False),
)


class PlainService:
    """A plain service whose answers wait until they are allowed."""

    def __init__(self) -> None:
        self.requests: list[httpx.Request] = []
        self.allowed = trio.Event()
        self.cancelled = False

    async def respond(self, request: httpx.Request) -> httpx.Response:
        """Answer a request."""
        self.requests.append(request)
        try:
            await self.allowed.wait()
        except trio.Cancelled:
            self.cancelled = True
            raise
        headers = {ID_HEADER: request.headers[ID_HEADER], 'X-Own': '7'}
        body = httpx.ByteStream(b'whole')
        return httpx.Response(201, headers=headers, stream=body)


def make_state(revision: int, route: Route, role: Role) -> RelayState:
    """Make an instance that is ready to serve."""
    state = RelayState(make_settings())
    table = (
        make_plain_table(revision, route, ClientLimits())
        if role is Role.PLAIN
        else make_table(revision, route)
    )
    state.apply_table(table, 'test')
    state.upstreams_listed = True
    for name, served in (('p1', Role.PREFILL), ('d1', Role.DECODE)):
        used = role if role is Role.PLAIN else served
        upstream = Upstream(name, 1, 's', f'{name}:1', 'a', 64, False, used)
        state.apply_upstream(upstream, 'test')
    return state


@asynccontextmanager
async def run_peer(
    state: RelayState, respond: Any, *, listens: bool = True
) -> AsyncIterator[ForwardTarget]:
    """Run a peer that takes forwarded requests."""
    address = f'{LOOPBACK}:{pick_port()}'
    options = HttpServerOptions(address, GRACE_SECONDS, lambda: IDLE_SECONDS)
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(transport=httpx.MockTransport(respond)) as client,
        trio.open_nursery() as nursery,
    ):
        context = RelayContext(state, client, TargetDialect(), timers)
        app: Any = make_forward_app(context)
        if listens:
            nursery.start_soon(serve_http, app, options, trio.sleep_forever)
            await trio.sleep(START_SECONDS)
        yield ForwardTarget(address, 'a')
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def open_pipeline(
    state: RelayState, target: ForwardTarget
) -> AsyncIterator[RelayPipeline]:
    """Make the pipeline of an instance that is cut off."""
    async with open_timer_service() as timers, httpx.AsyncClient() as client:
        state.reach.cut_off = True
        state.forward_targets.record_report('peer', [target], timers.now())
        context = RelayContext(state, client, TargetDialect(), timers)
        yield RelayPipeline(context)


async def send(
    pipeline: RelayPipeline, stack: AsyncExitStack, **fields: Any
) -> Reply:
    """Send a request of a caller to an instance that is cut off."""
    headers = (
        (b'Host', b'a.example'),
        (ID_HEADER.encode(), REQUEST_ID.encode()),
        (b'X-Cranberryrelay-Deadline-Ms', b'4000'),
        *fields.pop('headers', ()),
    )
    now = pipeline.context.timers.now()
    arrival = make_arrival('')._replace(
        headers=headers, arrived_at=now, body=b'order'
    )
    return await pipeline.serve(arrival, stack)


async def forward_plain(case: Case) -> tuple[Reply, PlainService, RelayState]:
    """Forward a call that may run once."""
    route = make_route(RequestKind.AT_MOST_ONCE)
    service = PlainService()
    service.allowed.set()
    own = make_state(REVISION, route, Role.PLAIN)
    peer = make_state(case.peer_revision, route, Role.PLAIN)
    peer.reach.cut_off = case.peer_cut_off
    peer.forwarded.active = case.peer_active
    async with (
        run_peer(peer, service.respond, listens=case.peer_listens) as target,
        open_pipeline(own, target) as pipeline,
        AsyncExitStack() as stack,
    ):
        reply = await send(pipeline, stack)
    assert not own.account_buffer.entries
    return reply, service, peer


async def forward_stream() -> bytes:
    """Forward a stream; return the events that the caller receives."""
    route = make_route(RequestKind.STREAM)
    peer = make_state(REVISION, route, Role.DECODE)
    own = make_state(REVISION, route, Role.DECODE)
    headers = (
        (b'X-Cranberryrelay-Model', WORK.model.encode()),
        (b'X-Cranberryrelay-Token-Count', b'800,32'),
    )
    async with (
        run_peer(peer, Engines('').respond) as target,
        open_pipeline(own, target) as pipeline,
        AsyncExitStack() as stack,
    ):
        reply = (await send(pipeline, stack, headers=headers)).unwrap()
        assert isinstance(reply, StreamReply)
        return b''.join([event async for event in reply.events])


async def leave_early() -> bool:
    """Return whether the peer's call ends once the caller has left."""
    route = make_route(RequestKind.IDEMPOTENT)
    service = PlainService()
    peer = make_state(REVISION, route, Role.PLAIN)
    own = make_state(REVISION, route, Role.PLAIN)
    async with (
        run_peer(peer, service.respond) as target,
        open_pipeline(own, target) as pipeline,
    ):
        with trio.move_on_after(START_SECONDS):
            async with AsyncExitStack() as stack:
                await send(pipeline, stack)
        await trio.sleep(CLEANUP_SECONDS)
        return service.cancelled


async def forward_under(revision: bytes) -> tuple[int, str | None]:
    """Return status and stated obstacle of a request under a revision."""
    route = make_route(RequestKind.AT_MOST_ONCE)
    peer = make_state(REVISION, route, Role.PLAIN)
    headers = [
        (b'Host', b'a.example'),
        (ID_HEADER.encode(), REQUEST_ID.encode()),
        (REVISION_HEADER, revision),
    ]
    async with (
        run_peer(peer, PlainService().respond) as target,
        httpx.AsyncClient() as client,
    ):
        url = f'http://{target.address}/a/1'
        answer = await client.post(url, headers=headers)
    return answer.status_code, answer.headers.get(REFUSED_HEADER.decode())


class OddRevisionTest(TestCase):
    """Forwarded requests under a revision that is no number."""

    # Guards against an exception in place of a refusal, as a peer sends the
    # request to another instance only after a refusal.
    @params(b'9' * 5000, b'9' * 30, b'\xb2', b'-1', b'', b'1e3')
    def test_request_is_refused(self, revision: bytes) -> None:
        status, obstacle = trio.run(forward_under, revision)
        self.assertEqual(status, 503)
        self.assertIn('not in force here', obstacle or '')


class ForwardingTest(TestCase):
    """Requests of an instance that is cut off, at its peer."""

    @params(*((case,) for case in CASES))
    def test_peer_takes_requests_or_refuses_them(self, case: Case) -> None:
        reply, service, peer = trio.run(forward_plain, case)
        failure = reply.err()
        self.assertEqual(failure and failure.code, case.code)
        entries = [one.request_id for one in peer.account_buffer.entries]
        if failure is not None:
            self.assertEqual((service.requests, entries), ([], []))
            return
        self.assertEqual(entries, [REQUEST_ID])
        answer = reply.unwrap()
        assert isinstance(answer, BufferedReply)
        self.assertEqual((answer.status, answer.body), (201, b'whole'))
        headers = {name.lower(): one for name, one in answer.headers}
        self.assertEqual(headers[b'x-own'], b'7')
        self.assertEqual(len(service.requests), 1)
        arrived = service.requests[0]
        self.assertEqual(arrived.content, b'order')
        self.assertLessEqual(
            int(arrived.headers['X-Cranberryrelay-Deadline-Ms']), 4000
        )
        self.assertFalse(
            [name for name in arrived.headers if 'forward' in name]
        )

    def test_events_of_a_stream_pass_through(self) -> None:
        self.assertEqual(trio.run(forward_stream), b''.join(EVENTS))

    # Guards against work for callers that have closed their connection.
    def test_end_of_the_caller_ends_the_work(self) -> None:
        self.assertTrue(trio.run(leave_early))
