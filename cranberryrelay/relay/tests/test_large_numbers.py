"""Numbers of callers and engines that are larger than any real one.

Guards against a header of one caller, or an event of one engine, that ends an
instance as its heartbeat can't be encoded, or that ends requests without a
numbered answer.
"""

from typing import NamedTuple
from unittest import TestCase

import msgspec
import trio
from nose2.tools import params

from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import RequestKind, Role, StorePosition
from cranberryrelay.relay._context import BrokenStreamError
from cranberryrelay.relay._events import EventSplitter
from cranberryrelay.relay._peer_messages import PEER_MESSAGE_TYPES, LoadBeat
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import make_arrival
from cranberryrelay.relay.tests.test_kept_connections import (
    ClosingUpstream,
    Site,
    make_answer,
    open_site,
)
from cranberryrelay.wire import make_codec

BROKEN = 'broken'
DIGITS = (10, 14, 20, 40, 400, 5000)
NAMES = (
    'X-Cranberryrelay-Deadline-Ms',
    'X-Cranberryrelay-Token-Count',
    'X-Cranberryrelay-Prompt-Prefix',
    'Last-Event-Id',
)


class Case(NamedTuple):
    """A row: a header whose number has so many digits."""

    name: str
    digits: int

    def header(self) -> tuple[bytes, bytes]:
        """Return the header."""
        number = '9' * self.digits
        content = number
        if self.name == 'X-Cranberryrelay-Token-Count':
            content = f'{number},32'
        if self.name == 'X-Cranberryrelay-Prompt-Prefix':
            content = f'a1:{number},b2:600'
        return self.name.encode(), content.encode()


CASES = tuple(Case(name, digits) for name in NAMES for digits in DIGITS)


def encode_heartbeat(state: RelayState) -> None:
    """Encode what an instance tells its peers now."""
    heartbeat = LoadBeat(
        loads=state.backlog.own_loads(trio.current_time()),
        update=state.peer_update,
        revision=1,
        upstream_position=StorePosition(1, 1),
        cut_off=False,
        forward_address='',
    )
    make_codec(list(PEER_MESSAGE_TYPES)).encode(heartbeat)


async def send_case(case: Case) -> str:
    """Send a request; a heartbeat is encoded while it is at an engine."""
    roles = (Role.PREFILL, Role.DECODE)
    async with open_site(RequestKind.STREAM, *roles) as site:
        for upstream in site.upstreams:
            answer_after_heartbeat(upstream, site)
        try:
            outcome = await site.send('r0', headers=(case.header(),))
        except BrokenStreamError:
            outcome = BROKEN
        encode_heartbeat(site.state)
        return outcome


def answer_after_heartbeat(upstream: ClosingUpstream, site: Site) -> None:
    """Let an upstream answer r0 once a heartbeat has been encoded."""

    async def act(stream: trio.SocketStream) -> None:
        encode_heartbeat(site.state)
        await stream.send_all(make_answer(upstream.received[-1]))
        await stream.aclose()

    upstream.acts_on = 'r0'
    upstream.act = act


class LargeNumberTest(TestCase):
    """A number out of range costs at most the request that has it."""

    # Guards against a request without an answer, and an instance that ends.
    @params(*((case,) for case in CASES))
    def test_request_ends_with_a_code(self, case: Case) -> None:
        outcome = trio.run(send_case, case)
        expected = {'whole', 'NO_ENGINE not_run'}
        if case.name == 'Last-Event-Id':
            # The engine doesn't go on after such an event.
            expected.add(BROKEN)
        self.assertIn(outcome, expected)

    # Guards against an event that ends its stream by an unexpected error.
    @params(*DIGITS)
    def test_event_is_read(self, digits: int) -> None:
        sent = b'id: %b\ndata: x\n\n' % (b'9' * digits)
        event = EventSplitter().feed(sent)[0]
        self.assertEqual(event.content, sent)
        self.assertEqual(event.number is not None, digits <= 18)

    # Guards against a handle that can't be sent to the next engine.
    @params('a b', 'a\n', 'a\0', 'ü', '')
    def test_odd_handle_is_refused(self, transfer_handle: str) -> None:
        answer = {'transfer_handle': transfer_handle, 'tokens': 1}
        body = msgspec.json.encode(answer)
        self.assertTrue(TargetDialect().decode_prefill(body).is_err())

    # Guards against dropping numbers that are large but can be real.
    def test_large_numbers_are_read(self) -> None:
        headers = (
            (b'X-Cranberryrelay-Deadline-Ms', b'1' * 18),
            (b'Last-Event-Id', b'1' * 18),
            (b'X-Cranberryrelay-Model', b'm'),
            (b'X-Cranberryrelay-Token-Count', b'999999999,999999999'),
        )
        arrival = make_arrival('r0')._replace(headers=headers)
        request = TargetDialect().parse_request(arrival)
        self.assertEqual(request.last_event_number, int('1' * 18))
        self.assertIsNotNone(request.timeout_seconds)
        self.assertIsNotNone(request.model_request)
