"""Streams that broke off, and what the next engine answers.

Guards against an error, a head, or events of another run in the middle of a
caller's stream, and against a stream that ends as if it were complete.
"""

from contextlib import AsyncExitStack
from io import BytesIO
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.codes import ExecutionState, Failure
from cranberryrelay.relay import RequestKind, Role
from cranberryrelay.relay._context import (
    AdmittedRequest,
    BrokenStreamError,
    StreamReply,
)
from cranberryrelay.relay._model_path import ModelRun
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_route,
    open_mock_context,
)
from cranberryrelay.relay.tests.test_model_path import (
    EVENTS,
    ID_HEADER,
    PREFILL_RESPONSE,
    WORK,
    Body,
    make_state,
    respond_with,
)

# Events that the first engine sends before it breaks off.
SENT = EVENTS[:2]
REST = EVENTS[2:]
ERROR_HEAD = b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'


class Case(NamedTuple):
    """A row: what the second engine answers, and whether a third may serve."""

    name: str
    status: int
    chunks: tuple[bytes, ...]
    not_run: bool = False

    # Whether the stream may run again; otherwise it goes on from a backup.
    resumable: bool = True

    # Events that the caller may get from the second engine.
    passed: tuple[bytes, ...] = ()


CASES = (
    Case('error', 500, (b'engine failed\n\n',)),
    Case(
        'error, in a second run of a backup', 500, (b'x\n\n',), resumable=False
    ),
    Case('refusal', 503, (b'full\n\n',), not_run=True),
    Case('refusal that does not say so', 503, (b'full\n\n',)),
    Case('misdirected', 421, (b'',)),
    Case('text of an error', 200, (b'engine failed\n\n',)),
    Case('text without an end', 200, (b'engine failed',)),
    Case('head of an error', 200, (ERROR_HEAD,)),
    Case('head of an error, then events', 200, (ERROR_HEAD, b'\n', *REST)),
    Case('error object', 200, (b'{"error": "x"}\n\n', *REST)),
    Case('head of an error joined to events', 200, (ERROR_HEAD, *REST)),
    Case('from the start', 200, EVENTS),
    Case('last event again', 200, EVENTS[1:]),
    Case(
        'head of an error after an event',
        200,
        (REST[0], ERROR_HEAD, b'\n\n'),
        passed=REST[:1],
    ),
)


class Engines:
    """Engines of which the first breaks off and the second is faulty.

    ``sound_after`` is the number of attempts after which an engine is sound.
    """

    def __init__(self, case: Case, sound_after: int | None = None) -> None:
        self.case = case
        self.sound_after = sound_after
        self.generating: list[str] = []

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Respond as the engine at the address of the request."""
        if request.headers.get('X-Cranberryrelay-Stage'):
            return respond_with(PREFILL_RESPONSE)
        self.generating.append(request.url.host)
        if len(self.generating) == 1:
            return respond_with(SENT, breaks=True)
        if len(self.generating) - 1 == self.sound_after:
            return respond_with(REST)
        headers = {ID_HEADER: 'r1'}
        if self.case.not_run:
            headers['X-Cranberryrelay-Not-Executed'] = '1'
        body = Body(self.case.chunks, breaks=False)
        return httpx.Response(self.case.status, headers=headers, stream=body)


class ResumedStreamTest(TestCase):
    """A stream goes on with the events that follow, or is broken off."""

    # Guards against passing on what is not the rest of the stream.
    @params(*((case,) for case in CASES))
    def test_faulty_answer_is_not_passed_on(self, case: Case) -> None:
        passed, complete = trio.run(run_request, Engines(case), case.resumable)
        self.assertEqual(passed, b''.join((*SENT, *case.passed)))
        self.assertFalse(complete)

    # Guards against giving such a stream up while another attempt is allowed.
    @params(*((case,) for case in CASES if case.resumable and not case.passed))
    def test_third_engine_completes_the_stream(self, case: Case) -> None:
        outcome = trio.run(run_request, Engines(case, sound_after=2), True, 3)
        self.assertEqual(outcome, (b''.join(EVENTS), True))


async def run_request(
    engines: Engines, resumable: bool, attempts_limit: int = 2
) -> tuple[bytes, bool]:
    """Return what the caller received, and whether it ended as complete."""
    state = make_state(('d1', 'd2', 'd3'))
    async with (
        open_mock_context(state, engines.respond) as context,
        AsyncExitStack() as stack,
    ):
        admitted = admit(
            context.timers.now(),
            stack,
            resumable=resumable,
            attempts_limit=attempts_limit,
        )
        outcome = await ModelRun(context, admitted).run()
        reply = outcome.unwrap()
        assert isinstance(reply, StreamReply)
        passed = BytesIO()
        try:
            async for event in reply.events:
                passed.write(event)
        except BrokenStreamError:
            return passed.getvalue(), False
    return passed.getvalue(), True


class LostAttemptTest(TestCase):
    """A refusal after an attempt that was lost does not say "not run"."""

    # Guards against promising that a request has not run after an engine had
    # it and was lost, when nothing is left to send it to.
    @params(Role.PREFILL, Role.DECODE)
    def test_lost_attempt_may_have_run(self, missing: Role) -> None:
        failure = trio.run(lose_attempt, missing)
        self.assertIs(failure.ran, ExecutionState.MAY_HAVE_RUN)


async def lose_attempt(missing: Role) -> Failure:
    """Return the failure of a request whose first attempt is lost.

    Afterwards there is no engine of a role any more.
    """
    state = make_state(('d1',))

    def respond(request: httpx.Request) -> httpx.Response:
        if request.headers.get('X-Cranberryrelay-Stage'):
            return respond_with(PREFILL_RESPONSE)
        if missing is Role.PREFILL:
            state.remove_upstream('p1', 'test')
        raise httpx.ReadError('reset')

    async with (
        open_mock_context(state, respond) as context,
        AsyncExitStack() as stack,
    ):
        admitted = admit(context.timers.now(), stack, resumable=True)
        outcome = await ModelRun(context, admitted).run()
    return outcome.unwrap_err()


def admit(
    now: float,
    stack: AsyncExitStack,
    *,
    resumable: bool,
    attempts_limit: int = 2,
) -> AdmittedRequest:
    """Make a request that has just been admitted."""
    route = make_route(RequestKind.STREAM)
    return AdmittedRequest(
        request=make_arrival('r1', WORK)._replace(arrived_at=now),
        route=route._replace(
            resumable=resumable, attempts_limit=attempts_limit
        ),
        service='s',
        revision=1,
        deadline=now + 5,
        stack=stack,
    )
