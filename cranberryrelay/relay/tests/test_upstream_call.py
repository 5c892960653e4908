"""Validation of upstream responses, including ones for other requests.

Guards against passing a response to the wrong caller, and against retrying a
request that may have run.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.codes import ExecutionState, ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import UpstreamCall
from cranberryrelay.relay._upstream_call import (
    UpstreamResponse,
    open_response,
    read_body,
)
from cranberryrelay.relay.tests.fixtures import make_arrival

ID_HEADER = 'X-Cranberryrelay-Request-Id'
NOT_RUN = {'X-Cranberryrelay-Not-Executed': '1'}


class Case(NamedTuple):
    """A row: a response, and the expected failure; None for a success."""

    name: str
    status: int
    headers: dict[str, str]
    code: ResultCode | None
    ran: ExecutionState | None = None


CASES = (
    Case('response to this request', 200, {ID_HEADER: 'r1'}, None),
    Case(
        'response to another request',
        200,
        {ID_HEADER: 'r2'},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case(
        'response without a request id',
        200,
        {},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case(
        'another request, not run',
        503,
        {ID_HEADER: 'r2', **NOT_RUN},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case(
        'not run',
        503,
        {ID_HEADER: 'r1', **NOT_RUN},
        ResultCode.UPSTREAM_REFUSED,
        ExecutionState.NOT_RUN,
    ),
    Case(
        'another incarnation',
        421,
        {ID_HEADER: 'r1'},
        ResultCode.UPSTREAM_REPLACED,
        ExecutionState.NOT_RUN,
    ),
    Case(
        'another incarnation, to another request',
        421,
        {ID_HEADER: 'r2', **NOT_RUN},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case(
        'another incarnation, without a request id',
        421,
        {},
        ResultCode.ANSWER_MISMATCH,
        ExecutionState.MAY_HAVE_RUN,
    ),
    Case('error response of the upstream', 500, {ID_HEADER: 'r1'}, None),
)


class OpenResponseTest(TestCase):
    """Calls a mock upstream without a network."""

    @params(*((case,) for case in CASES))
    def test_response_is_classified(self, case: Case) -> None:
        def respond(request: httpx.Request) -> httpx.Response:
            return httpx.Response(case.status, headers=case.headers)

        async def scenario() -> tuple[ResultCode | None, ExecutionState | None]:
            transport = httpx.MockTransport(respond)
            call = UpstreamCall(make_arrival('r1'), 'u1', '10.0.0.1:1', 1.0)
            async with (
                httpx.AsyncClient(transport=transport) as client,
                AsyncExitStack() as stack,
            ):
                result = await open_response(
                    client, TargetDialect(), call, stack
                )
            failure = result.err()
            return (failure.code, failure.ran) if failure else (None, None)

        self.assertEqual(trio.run(scenario), (case.code, case.ran))


class ReadBodyTest(TestCase):
    """Bodies that are incomplete when the timeout expires."""

    @params(0.05, 0, -0.05)
    def test_timeout(self, limit_seconds: float) -> None:
        async def read() -> None:
            response = httpx.Response(200, content=stream_endlessly())
            metadata = TargetDialect().parse_response(200, [])
            opened = UpstreamResponse(200, metadata, response)
            body = await read_body(opened, limit_seconds)
            code = body.unwrap_err().code
            self.assertEqual(code, ResultCode.UPSTREAM_TIMEOUT)

        trio.run(read)


async def stream_endlessly() -> AsyncIterator[bytes]:
    """Yield the start of a body and never complete it."""
    yield b'start'
    await trio.sleep_forever()
