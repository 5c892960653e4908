"""Absurd numbers, statuses and bodies in headers and answers.

Guards against processes and requests that end by an exception because of a
number that a caller, an engine or the store states.
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import TargetDialect, TargetEngineControl
from cranberryrelay.platform._target_store import ERA_HEADER, TargetStore
from cranberryrelay.relay import (
    IncomingRequest,
    KindRecord,
    OrderOutcome,
    ResponseMetadata,
    Role,
    RoleOrder,
    Upstream,
)
from cranberryrelay.relay._events import EventSplitter
from cranberryrelay.relay.tests.fixtures import at, make_arrival

DIGITS = b'9' * 5000
HUGE = b'9' * 30
NESTED = b'%b%b' % (b'[' * 100_000, b']' * 100_000)
ENGINE = Upstream('u1', 1, 's', '10.0.0.1:1', 'a', 6, False, Role.DECODE)
ORDER = RoleOrder(ENGINE, Role.PREFILL, 'front-a-1', 1, 0)
ODD_NUMBERS = (DIGITS, b'\xb2', b'-1', b'1e999', b'nan', b'', b'1 2', b'+1')


def parse(name: bytes, content: bytes) -> IncomingRequest:
    """Parse a request of a model with one more header."""
    headers = (
        (name, content),
        (b'X-Cranberryrelay-Model', b'm'),
        (b'X-Cranberryrelay-Token-Count', b'5,6'),
        (b'X-Cranberryrelay-Prompt-Prefix', b'a1:800'),
    )
    return TargetDialect().parse_request(
        make_arrival('r1')._replace(headers=headers)
    )


class CallerNumberTest(TestCase):
    """Numbers in the headers of callers."""

    # Guards against an exception in place of an answer.
    @params(*((content,) for content in (*ODD_NUMBERS, HUGE)))
    def test_odd_number_is_passed_over(self, content: bytes) -> None:
        deadline = parse(b'X-Cranberryrelay-Deadline-Ms', content)
        self.assertIsNone(deadline.timeout_seconds)
        last = parse(b'Last-Event-Id', content)
        self.assertIsNone(last.last_event_number)

    # Guards against tokens in load reports that peers cannot be sent.
    @params(*((content,) for content in (*ODD_NUMBERS, HUGE)))
    def test_odd_count_of_tokens_is_no_model_request(
        self, content: bytes
    ) -> None:
        for counts in (b'%b,5' % content, b'5,%b' % content):
            request = parse(b'X-Cranberryrelay-Token-Count', counts)
            self.assertIsNone(request.model_request)
        parts = b'b2:%b' % content
        request = parse(b'X-Cranberryrelay-Prompt-Prefix', parts)
        assert request.model_request is not None
        self.assertEqual(request.model_request.segments, ())


class EngineNumberTest(TestCase):
    """Numbers in the headers of engines' answers."""

    # Guards against a rest or a rate that no engine can mean.
    @params(*((content,) for content in (*ODD_NUMBERS, HUGE)))
    def test_odd_number_is_passed_over(self, content: bytes) -> None:
        headers = [(b'Retry-After', content), (b'Server-Limit', content)]
        metadata = TargetDialect().parse_response(503, headers)
        self.assertIsNone(metadata.rest_seconds)
        self.assertIsNone(metadata.requests_per_second)


class EventNumberTest(TestCase):
    """Numbers of a stream's events."""

    # Guards against a stream that ends by an exception.
    @params(DIGITS, HUGE, b'\xb2', b'-1', b'1e9')
    def test_odd_number_is_none(self, number: bytes) -> None:
        events = EventSplitter().feed(b'id: %b\ndata: x\n\n' % number)
        self.assertEqual([event.number for event in events], [None])


class PrefillTest(TestCase):
    """Answers to prefill-only calls."""

    # Guards against an exception, and against a handle that no header holds.
    @params(
        NESTED,
        b'{"transfer_handle":"h","x":%b}' % NESTED,
        b'{"transfer_handle":"h","tokens":%b}' % HUGE,
        b'{"transfer_handle":"h","tokens":-1}',
        b'{"transfer_handle":"h","tokens":1e999}',
        b'{"transfer_handle":"\x5cud800"}',
        b'{"transfer_handle":"h\x5cr\x5cnX-Other: 1"}',
        b'{"transfer_handle":""}',
        b'{"transfer_handle":"\xff"}',
        b'\xff',
        b'',
    )
    def test_odd_answer_is_a_mismatch(self, body: bytes) -> None:
        failure = TargetDialect().decode_prefill(body).unwrap_err()
        self.assertIs(failure.code, ResultCode.ANSWER_MISMATCH)


class Answer(NamedTuple):
    """A row: an answer over HTTP."""

    status: int
    body: bytes = b'{}'
    era: bytes = b'1'


async def call(
    answer: Answer, use: Callable[[httpx.AsyncClient], Awaitable[Any]]
) -> Any:
    """Return what a call gives at a server with one answer."""

    def respond(_: httpx.Request) -> httpx.Response:
        headers = [(ERA_HEADER.encode(), answer.era)]
        return httpx.Response(
            answer.status, headers=headers, content=answer.body
        )

    transport = httpx.MockTransport(respond)
    url = 'http://10.0.0.1'
    async with httpx.AsyncClient(transport=transport, base_url=url) as client:
        return await use(client)


class EngineControlTest(TestCase):
    """Reports of engines and answers to orders."""

    # Guards against the end of the task that controls the engines' roles.
    @params(
        Answer(200, NESTED),
        Answer(200, b'{"stage":"decode","x":%b}' % NESTED),
        Answer(200, b'{"stage":"decode","sequence":%b}' % HUGE),
        Answer(200, b'{"stage":"decode","sequence":-1}'),
        Answer(200, b'{"stage":"\xff"}'),
        Answer(599),
        Answer(299, b'{"stage":"decode"}'),
    )
    def test_odd_report_is_a_failure(self, *answer: Any) -> None:
        def report(client: httpx.AsyncClient) -> Awaitable[Any]:
            return TargetEngineControl(client).report(ENGINE, ignore)

        found = trio.run(call, Answer(*answer), report)
        self.assertIs(found.unwrap_err().code, ResultCode.UPSTREAM_FAILED)

    @params(599, 299, 451)
    def test_order_with_an_odd_status_is_refused(self, status: int) -> None:
        def order(client: httpx.AsyncClient) -> Awaitable[Any]:
            return TargetEngineControl(client).order(ORDER, ignore)

        found = trio.run(call, Answer(status), order)
        self.assertIs(found.unwrap(), OrderOutcome.REFUSED)


def ignore(_: ResponseMetadata) -> None:
    """Ignore what an answer says of the engine."""


class StoreHeadTest(TestCase):
    """Statuses and headers of the store's answers, and names in its paths."""

    # Guards against the end of the tasks that read and write the store.
    @params(520, 599, 451)
    def test_odd_status_is_an_unknown_outcome(self, status: int) -> None:
        found = trio.run(call, Answer(status), read_one)
        self.assertIs(found.unwrap_err().code, ResultCode.STORE_OUTCOME_UNKNOWN)

    # Guards against the end of these tasks, and against a position that peers
    # cannot be sent.
    @params(DIGITS, HUGE, b'\xb2', b'-1', b'1.5', b'')
    def test_odd_era_is_none(self, era: bytes) -> None:
        body = b'{"metadata":{"name":"n","revision":3},"spec":7}'
        found = trio.run(call, Answer(200, body, era), read_one)
        self.assertEqual(found.unwrap().position.era, 0)

    # Guards against the call of another record, or of none, for the name of a
    # service that an engine states.
    @params('a/b', '..', 'a?b=1', 'a#b', 'a\n', 'ä', 'a%2fb', 'x' * 70_000)
    def test_name_is_one_part_of_the_path(self, name: str) -> None:
        paths: list[bytes] = []

        def respond(request: httpx.Request) -> httpx.Response:
            paths.append(request.url.raw_path)
            return httpx.Response(404)

        async def scenario() -> ResultCode:
            transport = httpx.MockTransport(respond)
            async with httpx.AsyncClient(
                transport=transport, base_url='http://10.0.0.1'
            ) as client:
                record = KindRecord(name, at(1), {})
                replaced = await TargetStore(client).replace('kind', record)
            return replaced.unwrap_err().code

        code = trio.run(scenario)
        if paths:
            self.assertIs(code, ResultCode.STORE_NOT_FOUND)
            self.assertEqual(
                httpx.URL(f'http://h{paths[0].decode()}').query, b''
            )
            self.assertEqual(paths[0].count(b'/'), 4)
        else:
            self.assertIs(code, ResultCode.STORE_UNAVAILABLE)


def read_one(client: httpx.AsyncClient) -> Awaitable[Any]:
    """Read a record of the store."""
    return TargetStore(client).read('kind', 'n')
