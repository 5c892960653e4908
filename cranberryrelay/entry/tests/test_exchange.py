"""Tests of the execution state after attempts and of the decode handoff."""

from contextlib import aclosing
from unittest import TestCase, mock

import httpx
import trio
from nose2.tools import params
from result import Ok

from cranberryrelay.codes import ExecutionState, ResultCode, fail
from cranberryrelay.entry import (
    AttemptFailed,
    EngineAssignment,
    GenerateBody,
    ReassignSlot,
    SlotGrant,
    execution_state_after_attempt,
    execution_state_after_status,
    needs_decode_handoff,
    request_next_engine,
    run_attempt,
)

NOT_RUN = ExecutionState.NOT_RUN
MAY_HAVE_RUN = ExecutionState.MAY_HAVE_RUN


def make_failed_attempt(ran: ExecutionState) -> AttemptFailed:
    return AttemptFailed(fail(ResultCode.UPSTREAM_FAILED, '', ran), False)


class ExecutionStateTest(TestCase):
    """Guards against "not run" in an answer when some attempt may have run."""

    @params(
        ('refused', NOT_RUN, make_failed_attempt(NOT_RUN), NOT_RUN),
        (
            'interrupted',
            NOT_RUN,
            make_failed_attempt(MAY_HAVE_RUN),
            MAY_HAVE_RUN,
        ),
        (
            'interrupted earlier',
            MAY_HAVE_RUN,
            make_failed_attempt(NOT_RUN),
            MAY_HAVE_RUN,
        ),
        ('prefilled, no decode engine found', NOT_RUN, None, MAY_HAVE_RUN),
    )
    def test_after_attempt(
        self,
        name: str,
        state_before: ExecutionState,
        failed_attempt: AttemptFailed | None,
        after: ExecutionState,
    ) -> None:
        self.assertIs(
            execution_state_after_attempt(state_before, failed_attempt),
            after,
            name,
        )

    @params(
        (404, NOT_RUN),
        (503, NOT_RUN),
        (500, MAY_HAVE_RUN),
        (502, MAY_HAVE_RUN),
        (429, MAY_HAVE_RUN),
    )
    def test_after_status(self, status: int, ran: ExecutionState) -> None:
        self.assertIs(execution_state_after_status(status), ran)


async def find_state_after_answer(status: int) -> ExecutionState:
    """Return the execution state of an attempt that an engine answered so."""
    transport = httpx.MockTransport(lambda _: httpx.Response(status))
    assignment = EngineAssignment('e', 'a:1', 1, '1', prefill_only=False)
    body = GenerateBody('x', 'm', 'p', 0, 8, 1, 'c', '')
    async with (
        httpx.AsyncClient(transport=transport) as client,
        aclosing(run_attempt(client, assignment, body)) as events,
    ):
        failed = [one async for one in events if isinstance(one, AttemptFailed)]
    return failed[0].failure.ran


class AttemptStatusTest(TestCase):
    """Guards against "not run" after an engine's error that does not say so."""

    @params((404, NOT_RUN), (503, NOT_RUN), (500, MAY_HAVE_RUN))
    def test_refused_attempt(self, status: int, ran: ExecutionState) -> None:
        self.assertIs(trio.run(find_state_after_answer, status), ran)


class DecodeHandoffTest(TestCase):
    """Guards against a handoff of answers that a decode engine generated."""

    @params(
        ('prefill engine, first token', True, 1, 1, True),
        ('decode engine, all tokens', False, 8, 8, False),
        ('decode engine, ended early', False, 8, 5, False),
        ('prefill engine, ended before a token', True, 1, 0, False),
    )
    def test_decode_handoff(
        self, name: str, prefill: bool, end: int, received: int, expected: bool
    ) -> None:
        assignment = EngineAssignment('e', 'a', 1, '1', prefill_only=prefill)
        body = GenerateBody('x', 'm', 'p', 0, end, 1, 'c', '')
        self.assertEqual(
            needs_decode_handoff(assignment, body, received), expected
        )


class NextEngineTest(TestCase):
    """Guards against a charge on the retry budget for what did not run."""

    @params((NOT_RUN, True), (MAY_HAVE_RUN, False))
    def test_execution_state_is_passed_on(
        self, ran: ExecutionState, not_run: bool
    ) -> None:
        grant = SlotGrant(7, EngineAssignment('e', 'a', 1, '1', False))
        actor = mock.Mock(ask=mock.AsyncMock(return_value=Ok(grant)))
        trio.run(
            request_next_engine, actor, grant, make_failed_attempt(ran), 'x'
        )
        actor.ask.assert_awaited_once_with(
            ReassignSlot(7, False, 'x', not_run=not_run)
        )
