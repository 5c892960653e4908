"""Bytes that follow an answer on a kept connection.

Guards against taking such bytes for the next answer, and against closing
connections on which nothing follows.
"""

from typing import NamedTuple
from unittest import TestCase

import httpx
from nose2.tools import params

from cranberryrelay.wire import AnswerBytes

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
WHOLE = b'%bok' % HEAD
CHUNKS = b'2\r\nok\r\n0\r\n\r\n'
REFUSAL = b'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n'
LENGTH = {'Content-Length': '2'}
CHUNKED = {'Transfer-Encoding': 'chunked'}


class Case(NamedTuple):
    """A row: an answer as it is read, and whether bytes follow it."""

    name: str
    headers: dict[str, str]
    segments: tuple[bytes, ...]
    is_followed: bool
    status: int = 200
    method: str = 'POST'


CASES = (
    Case('length', LENGTH, (HEAD, b'ok'), False),
    Case('length, one segment', LENGTH, (WHOLE,), False),
    Case('length, split head', LENGTH, (WHOLE[:18], WHOLE[18:]), False),
    Case('length, followed', LENGTH, (WHOLE, REFUSAL), True),
    Case('length, one byte follows', LENGTH, (HEAD, b'ok\n'), True),
    Case('chunks', CHUNKED, (HEAD, CHUNKS), False),
    Case('chunks, split end', CHUNKED, (HEAD, CHUNKS[:-2], b'\r\n'), False),
    Case('no chunk', CHUNKED, (HEAD, b'0\r\n\r\n'), False),
    Case('chunks, followed', CHUNKED, (HEAD, CHUNKS, REFUSAL), True),
    Case('no body', {}, (HEAD,), False, status=204),
    Case('no body, followed', {}, (HEAD, REFUSAL), True, status=204),
    Case('head only', LENGTH, (HEAD,), False, method='HEAD'),
    Case('head only, chunked', CHUNKED, (HEAD,), False, method='HEAD'),
    Case('ends with its connection', {}, (HEAD, b'ok', REFUSAL), False),
)


class AnswerBytesTest(TestCase):
    """What follows an answer is found by how the answer is framed."""

    # Guards against both, see above.
    @params(*((case,) for case in CASES))
    def test_following_bytes(self, case: Case) -> None:
        answer = AnswerBytes()
        response = httpx.Response(case.status, headers=case.headers)
        answer.add(case.segments[0])
        answer.record_head(response, case.method)
        for segment in case.segments[1:]:
            answer.add(segment)
        self.assertIs(answer.is_followed(), case.is_followed)
