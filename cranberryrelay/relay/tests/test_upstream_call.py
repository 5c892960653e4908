"""Answers of upstreams that belong to other requests, or to none."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.codes import Ran, ResultCode
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import UpstreamCall
from cranberryrelay.relay._upstream_call import (
    OpenAnswer,
    open_answer,
    read_whole,
)
from cranberryrelay.relay.tests.fixtures import make_arrival

ID_HEADER = 'X-Cranberryrelay-Request-Id'
NOT_RUN = {'X-Cranberryrelay-Not-Executed': '1'}


class Case(NamedTuple):
    """A row: an answer, and what becomes of it."""

    name: str
    status: int
    headers: dict[str, str]
    code: ResultCode | None
    ran: Ran | None = None


CASES = (
    Case('own answer', 200, {ID_HEADER: 'r1'}, None),
    Case(
        'answer of another request',
        200,
        {ID_HEADER: 'r2'},
        ResultCode.ANSWER_MISMATCH,
        Ran.MAY_HAVE_RUN,
    ),
    Case(
        'answer that names no request',
        200,
        {},
        ResultCode.ANSWER_MISMATCH,
        Ran.MAY_HAVE_RUN,
    ),
    Case(
        'another request was not run',
        503,
        {ID_HEADER: 'r2', **NOT_RUN},
        ResultCode.ANSWER_MISMATCH,
        Ran.MAY_HAVE_RUN,
    ),
    Case(
        'not run',
        503,
        {ID_HEADER: 'r1', **NOT_RUN},
        ResultCode.UPSTREAM_REFUSED,
        Ran.NOT_RUN,
    ),
    Case(
        'another incarnation',
        421,
        {},
        ResultCode.UPSTREAM_REPLACED,
        Ran.NOT_RUN,
    ),
    Case('failure of the upstream', 500, {ID_HEADER: 'r1'}, None),
)


class OpenAnswerTest(TestCase):
    """Calls an upstream without a network."""

    @params(*((case,) for case in CASES))
    def test_answers(self, case: Case) -> None:
        def respond(request: httpx.Request) -> httpx.Response:
            return httpx.Response(case.status, headers=case.headers)

        async def scenario() -> tuple[ResultCode | None, Ran | None]:
            transport = httpx.MockTransport(respond)
            call = UpstreamCall(make_arrival('r1'), 'u1', '10.0.0.1:1', 1.0)
            async with (
                httpx.AsyncClient(transport=transport) as client,
                AsyncExitStack() as stack,
            ):
                opened = await open_answer(client, TargetDialect(), call, stack)
            failure = opened.err()
            return (failure.code, failure.ran) if failure else (None, None)

        self.assertEqual(trio.run(scenario), (case.code, case.ran))


class ReadWholeTest(TestCase):
    """Bodies that are not complete when the time is up."""

    @params(0.05, 0, -0.05)
    def test_time_is_up(self, left_seconds: float) -> None:
        async def read() -> None:
            response = httpx.Response(200, content=wait_for_ever())
            marks = TargetDialect().read_marks(200, [])
            answer = OpenAnswer(200, marks, response)
            body = await read_whole(answer, left_seconds)
            code = body.unwrap_err().code
            self.assertEqual(code, ResultCode.UPSTREAM_TIMEOUT)

        trio.run(read)


async def wait_for_ever() -> AsyncIterator[bytes]:
    """Yield the start of a body that does not end."""
    yield b'start'
    await trio.sleep_forever()
