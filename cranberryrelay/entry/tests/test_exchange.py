"""What an entry says of a request after attempts on engines."""

from unittest import TestCase

from nose2.tools import params

from cranberryrelay.codes import Ran, ResultCode, fail
from cranberryrelay.entry import (
    Assigned,
    AttemptFailed,
    GenerateBody,
    must_hand_on,
    ran_after_attempt,
    ran_after_status,
)

NOT = Ran.NOT_RUN
MAY = Ran.MAY_HAVE_RUN


def failed(ran: Ran) -> AttemptFailed:
    return AttemptFailed(fail(ResultCode.UPSTREAM_FAILED, '', ran), False)


class RanTest(TestCase):
    """The words "not run" need proof from every attempt."""

    @params(
        ('refused', NOT, failed(NOT), NOT),
        ('broken off', NOT, failed(MAY), MAY),
        ('broken off before', MAY, failed(NOT), MAY),
        ('prefilled, then no engine to decode', NOT, None, MAY),
    )
    def test_after_attempt(
        self, name: str, before: Ran, ended: AttemptFailed | None, after: Ran
    ) -> None:
        self.assertIs(ran_after_attempt(before, ended), after, name)

    @params((404, NOT), (503, NOT), (500, MAY), (502, MAY), (429, MAY))
    def test_after_status(self, status: int, ran: Ran) -> None:
        self.assertIs(ran_after_status(status), ran)


class HandOnTest(TestCase):
    """An answer is handed on only from an engine that prefills."""

    @params(
        ('prefill engine, first token', True, 1, 1, True),
        ('decoding engine, all tokens', False, 8, 8, False),
        ('decoding engine, ended early', False, 8, 5, False),
        ('prefill engine, ended before a token', True, 1, 0, False),
    )
    def test_hand_on(
        self, name: str, prefill: bool, end: int, received: int, expected: bool
    ) -> None:
        assigned = Assigned('e', 'a', 1, '1', prefill_only=prefill)
        body = GenerateBody('x', 'm', 'p', 0, end, 1, 'c', '')
        self.assertEqual(must_hand_on(assigned, body, received), expected)
