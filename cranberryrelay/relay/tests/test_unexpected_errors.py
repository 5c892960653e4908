"""Errors that nobody expected, at each step of a request.

Guards against a request that ends without a numbered answer and a log line, or
that is said not to have run although it was sent.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from itertools import count, product
from typing import Any, NamedTuple
from unittest import TestCase
from unittest.mock import patch

import h11
import httpx
import trio
from nose2.tools import params

from cranberryrelay.codes import ExecutionState, ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import (
    RequestKind,
    Role,
    RoutingTable,
    _front_app,
)
from cranberryrelay.relay._backlog import Backlog
from cranberryrelay.relay._context import BrokenStreamError, StreamReply
from cranberryrelay.relay._crash_suspects import CrashSuspects
from cranberryrelay.relay._events import EventSplitter
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._forward_targets import ForwardTarget, ForwardTargets
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._rate_limits import RateLimits
from cranberryrelay.relay._retry_budget import RetryBudget
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._upstream_call import UpstreamResponse
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_route,
    open_mock_context,
)
from cranberryrelay.relay.tests.test_bad_input import Process, run_front
from cranberryrelay.relay.tests.test_forwarding import make_state
from cranberryrelay.relay.tests.test_model_path import (
    EVENTS,
    ID_HEADER,
    Engines,
)

LOGGER = 'cranberryrelay.relay'
NOT_RUN = ExecutionState.NOT_RUN
MAY_HAVE_RUN = ExecutionState.MAY_HAVE_RUN
ONCE = RequestKind.AT_MOST_ONCE
STREAM = RequestKind.STREAM
ERRORS = (
    ValueError('odd'),
    OverflowError('odd'),
    RuntimeError('odd'),
    trio.ClosedResourceError(),
    httpx.InvalidURL('odd'),
    h11.LocalProtocolError('odd'),
    ExceptionGroup('odd', [ValueError('odd')]),
)


class Step(NamedTuple):
    """A row: where the error comes up, and what the caller is told."""

    kind: RequestKind

    # Class and name of the method that raises.
    owner: type
    method: str
    ran: ExecutionState

    # Whether the instance is cut off and forwards the request.
    forwards: bool = False

    # Number of the first call that raises.
    call: int = 1

    def raise_error(self, error: Exception) -> Any:
        """Return a context in which the method raises an error."""
        method = getattr(self.owner, self.method)
        calls = count(1)

        def call_or_raise(*args: Any, **options: Any) -> Any:
            if next(calls) >= self.call:
                raise error
            return method(*args, **options)

        return patch.object(self.owner, self.method, call_or_raise)


STEPS = (
    Step(ONCE, TargetDialect, 'parse_request', NOT_RUN),
    Step(ONCE, RoutingTable, 'find', NOT_RUN),
    Step(ONCE, RetryBudget, 'count_request', NOT_RUN),
    Step(ONCE, CrashSuspects, 'judge', NOT_RUN),
    Step(ONCE, Fleet, 'candidates', NOT_RUN),
    Step(ONCE, RelayState, 'record_attempt', NOT_RUN),
    Step(ONCE, TargetDialect, 'make_call_headers', NOT_RUN),
    Step(ONCE, httpx.AsyncClient, 'send', MAY_HAVE_RUN),
    Step(ONCE, TargetDialect, 'parse_response', MAY_HAVE_RUN),
    Step(ONCE, RateLimits, 'record_answer', MAY_HAVE_RUN),
    Step(ONCE, UpstreamResponse, 'chunks', MAY_HAVE_RUN),
    Step(ONCE, RelayState, 'record_success', MAY_HAVE_RUN),
    Step(ONCE, CrashSuspects, 'prove', MAY_HAVE_RUN),
    Step(ONCE, ForwardTargets, 'choose', NOT_RUN, forwards=True),
    Step(ONCE, TargetDialect, 'make_call_headers', NOT_RUN, forwards=True),
    Step(ONCE, httpx.AsyncClient, 'send', MAY_HAVE_RUN, forwards=True),
    Step(ONCE, UpstreamResponse, 'chunks', MAY_HAVE_RUN, forwards=True),
    Step(STREAM, TargetDialect, 'parse_request', NOT_RUN),
    Step(STREAM, CrashSuspects, 'judge', NOT_RUN),
    Step(STREAM, Backlog, 'add', NOT_RUN),
    Step(STREAM, RelayState, 'record_attempt', NOT_RUN),
    Step(STREAM, TargetDialect, 'make_call_headers', NOT_RUN),
    Step(STREAM, httpx.AsyncClient, 'send', NOT_RUN),
    Step(STREAM, TargetDialect, 'decode_prefill', NOT_RUN),
    Step(STREAM, Backlog, 'add', NOT_RUN, call=2),
    Step(STREAM, TargetDialect, 'make_call_headers', NOT_RUN, call=2),
    Step(STREAM, httpx.AsyncClient, 'send', MAY_HAVE_RUN, call=2),
    Step(STREAM, TargetDialect, 'parse_response', MAY_HAVE_RUN, call=2),
    Step(STREAM, RelayState, 'record_success', MAY_HAVE_RUN, call=2),
)


def respond(request: httpx.Request) -> httpx.Response:
    """Answer as an engine or as a plain service."""
    if 'X-Cranberryrelay-Stage' in request.headers:
        return Engines('').respond(request)
    if 'X-Cranberryrelay-Kv-Source' in request.headers:
        return Engines('').respond(request)
    headers = {ID_HEADER: request.headers[ID_HEADER]}
    body = httpx.ByteStream(b'whole')
    return httpx.Response(200, headers=headers, stream=body)


async def serve(step: Step) -> Any:
    """Serve a request at an instance; return its outcome."""
    role = Role.PLAIN if step.kind is ONCE else Role.DECODE
    state = make_state(1, make_route(step.kind), role)
    async with (
        open_mock_context(state, respond) as context,
        AsyncExitStack() as stack,
    ):
        now = context.timers.now()
        if step.forwards:
            state.reach.cut_off = True
            target = ForwardTarget('peer:1', 'a')
            state.forward_targets.record_report('peer', [target], now)
        headers = (
            (b'Host', b'a.example'),
            (ID_HEADER.encode(), b'r1'),
            (b'X-Cranberryrelay-Model', b'm'),
            (b'X-Cranberryrelay-Token-Count', b'800,32'),
        )
        arrival = make_arrival('')._replace(headers=headers, arrived_at=now)
        outcome = await RelayPipeline(context).serve(arrival, stack)
        reply = outcome.ok()
        if isinstance(reply, StreamReply):
            return await read_events(reply.events)
        return outcome


async def read_events(events: AsyncIterator[bytes]) -> str:
    """Read a stream; return how it ended."""
    try:
        content = b''.join([event async for event in events])
    except BrokenStreamError:
        return 'broken'
    return 'whole' if content == b''.join(EVENTS) else 'not whole'


class UnexpectedErrorTest(TestCase):
    """An unexpected error ends its request by a truthful answer."""

    # Guards against an error that leaves the pipeline, and against a wrong
    # statement of whether the request has run.
    @params(*product(STEPS, ERRORS))
    def test_request_is_answered(self, step: Step, error: Exception) -> None:
        with (
            step.raise_error(error),
            self.assertLogs(LOGGER) as logs,
        ):
            outcome = trio.run(serve, step)
        failure = outcome.unwrap_err()
        self.assertIs(failure.ran, step.ran)
        lines = {one.getMessage(): one for one in logs.records}
        self.assertIn('unexpected error', lines)
        request_id = '' if step.method == 'parse_request' else 'r1'
        logged = lines['unexpected error'].__dict__
        self.assertEqual(logged['request_id'], request_id)

    # Guards against a stream that seems complete, or that ends without a log
    # line, after such an error in its middle.
    @params(*ERRORS)
    def test_stream_is_broken_off(self, error: Exception) -> None:
        step = Step(STREAM, EventSplitter, 'feed', MAY_HAVE_RUN)
        with (
            step.raise_error(error),
            self.assertLogs(LOGGER) as logs,
        ):
            self.assertEqual(trio.run(serve, step), 'broken')
        messages = [one.getMessage() for one in logs.records]
        self.assertIn('unexpected error', messages)

    # Guards against upstreams that are avoided for an error of this instance.
    def test_upstream_is_not_blamed(self) -> None:
        error = httpx.LocalProtocolError('odd')
        step = Step(ONCE, httpx.AsyncClient, 'send', NOT_RUN)
        with (
            step.raise_error(error),
            patch.object(RelayState, 'record_failure') as blame,
        ):
            failure = trio.run(serve, step).unwrap_err()
        self.assertIs(failure.ran, NOT_RUN)
        self.assertIs(failure.code, ResultCode.INTERNAL_ERROR)
        blame.assert_not_called()

    # Guards against a page of the web framework in the place of a code.
    @params(*ERRORS)
    def test_answer_is_numbered(self, error: Exception) -> None:
        with (
            patch.object(_front_app, 'make_response', side_effect=error),
            self.assertLogs(LOGGER) as logs,
        ):
            response = trio.run(request_front)
        code = str(ResultCode.INTERNAL_ERROR.value)
        self.assertEqual(response.status_code, 502)
        self.assertEqual(response.text.split()[0], code)
        messages = [one.getMessage() for one in logs.records]
        self.assertIn('unexpected error', messages)


async def request_front() -> httpx.Response:
    """Send a request to an instance over loopback; return its answer."""
    headers = {'Host': 'a.example', ID_HEADER: 'r1'}
    async with (
        run_front(Process()) as (host, port),
        httpx.AsyncClient(trust_env=False) as client,
    ):
        return await client.get(f'http://{host}:{port}/a/1', headers=headers)
