"""Messages of a peer that cannot be decoded, handled or sent.

Guards against the end of the tasks that talk to the peers, and of the process
with them.
"""

import logging
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from datetime import UTC
from typing import Any, NamedTuple
from unittest import TestCase

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from cranberryrelay.codes import ResultCode
from cranberryrelay.demo import find_free_ports
from cranberryrelay.relay._membership import InstanceLocation
from cranberryrelay.relay._peer_messages import (
    PEER_MESSAGE_TYPES,
    EngineChanging,
    Farewell,
    Hello,
    NoteShare,
    UpstreamShare,
)
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay.tests.fixtures import at
from cranberryrelay.relay.tests.test_odd_records import make_replica
from cranberryrelay.timing import open_timer_service
from cranberryrelay.wire import (
    CurveKeys,
    PeerNetwork,
    make_codec,
    open_context,
    open_peer_network,
)

CODEC = make_codec(list(PEER_MESSAGE_TYPES))
DEPTH = 100_000
NESTED = b'%b\x01' % (b'\x91' * DEPTH)
NESTED_OBJECTS = b'\x91%b' % (b'\x81\xa1a' * DEPTH)
PEER = 'front-b-1'


class FrameCase(NamedTuple):
    """A row: the kind and the body of a message that cannot be decoded."""

    name: str
    kind: bytes
    body: bytes


FRAME_CASES = (
    FrameCase('nested value of a note', b'NoteShare', b'\x91%b' % NESTED),
    FrameCase('nested message', b'NoteShare', NESTED),
    FrameCase('nested unknown field', b'Farewell', b'\x92\xa1a%b' % NESTED),
    FrameCase('nested objects', b'NoteShare', NESTED_OBJECTS),
    FrameCase('nested load report', b'LoadBeat', b'\x91%b' % NESTED),
    FrameCase('text that is not UTF-8', b'Farewell', b'\x91\xa1\xff'),
    FrameCase('truncated', b'Farewell', b'\x91'),
    FrameCase('empty', b'Farewell', b''),
)


class DecodeTest(TestCase):
    """Frames that cannot be decoded."""

    # Guards against a RecursionError in the task that receives messages.
    @params(*((case,) for case in FRAME_CASES))
    def test_frames_are_malformed(self, case: FrameCase) -> None:
        failure = CODEC.decode([case.kind, case.body]).unwrap_err()
        self.assertIs(failure.code, ResultCode.FRAME_MALFORMED)


@contextmanager
def open_network() -> Iterator[PeerNetwork]:
    """Open the network of an instance on the loopback."""
    address = f'127.0.0.1:{find_free_ports(1)[0]}'
    with ExitStack() as stack:
        context = stack.enter_context(open_context())
        yield stack.enter_context(
            open_peer_network('one', address, context, CurveKeys(), CODEC)
        )


class SendCase(NamedTuple):
    """A row: an address, and a message that cannot be sent there."""

    name: str
    address: str
    message: Any


FAREWELL = Farewell('10.0.0.1:7380')
SEND_CASES = (
    SendCase('integer above 64 bits', '127.0.0.1:1', NoteShare(2**70)),
    SendCase('half a surrogate pair', '127.0.0.1:1', NoteShare('\ud800')),
    SendCase('unknown type', '127.0.0.1:1', NoteShare(object)),
    SendCase('port out of range', '127.0.0.1:99999', FAREWELL),
    SendCase('port that is no number', '127.0.0.1:\xb2', FAREWELL),
    SendCase('no port', '127.0.0.1', FAREWELL),
    SendCase('no address', '', FAREWELL),
)


class SendTest(TestCase):
    """Messages that cannot be sent."""

    # Guards against the end of the heartbeats or of the registration.
    @params(*((case,) for case in SEND_CASES))
    def test_message_is_dropped(self, case: SendCase) -> None:
        with (
            open_network() as network,
            self.assertLogs('cranberryrelay.wire') as log,
        ):
            log.records.clear()
            sent = [
                network.send(PEER, case.address, 'one', case.message)
                for _ in range(3)
            ]
        self.assertEqual(sent, [False, False, False])
        self.assertEqual(len(log.records), 1)


class SilentNetwork:
    """Network that yields messages once and sends none."""

    def __init__(self, received: list[Any]) -> None:
        self.received = received

    def send(self, *_: Any) -> bool:
        """Drop a message."""
        return False

    async def receive(self) -> Any:
        """Yield the messages, all of one peer."""
        for message in self.received:
            yield PEER, message


async def receive_all(
    received: list[Any], guarded: bool = True
) -> PeerProtocol:
    """Return a protocol that has handled messages of one peer.

    Unless it is guarded, an unexpected error of a handler is raised.
    """
    network: Any = SilentNetwork(received)
    async with open_timer_service() as timers:
        replica = make_replica()
        protocol = PeerProtocol(replica.state, replica, network, timers)
        if guarded:
            await protocol.receive()
        else:
            for message in received:
                protocol.handle_message(PEER, message)
    return protocol


class HandleTest(TestCase):
    """Messages that are decoded but cannot be handled."""

    # Guards against the end of the task that receives messages: what follows
    # the message that fails must still count.
    def test_messages_after_one_that_fails_count(self) -> None:
        location = InstanceLocation('10.0.0.2:7380', 'b')
        nowhere: Any = None
        broken = Hello(location, {'x': nowhere}, False)
        good = Hello(InstanceLocation('10.0.0.3:7380', 'b'), {}, False)
        with self.assertLogs('cranberryrelay.relay') as log:
            protocol = trio.run(receive_all, [broken, good])
        self.assertEqual(
            protocol.membership.peers[PEER].location.address, '10.0.0.3:7380'
        )
        code = str(ResultCode.MESSAGE_NOT_HANDLED.value)
        self.assertIn(
            code, [str(getattr(one, 'code', '')) for one in log.records]
        )


peer_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5)
    | st.datetimes(timezones=st.just(UTC)),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=10,
)


class MessageFuzzTest(TestCase):
    """Arbitrary bodies as messages of every kind."""

    def setUp(self) -> None:
        """Keep the lines on odd notes out of the report of the tests."""
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against any message that ends a task.
    @given(
        kind=st.sampled_from([one.__name__ for one in PEER_MESSAGE_TYPES]),
        fields=st.lists(peer_values, max_size=7),
    )
    @settings(derandomize=True, deadline=None, max_examples=400)
    def test_any_body(self, kind: str, fields: list[Any]) -> None:
        body = msgspec.msgpack.encode(fields)
        decoded = CODEC.decode([kind.encode(), body])
        if decoded.is_ok():
            trio.run(receive_all, [decoded.unwrap().message], False)

    # Guards against any value of a record that ends a task, or that is sent on
    # to a peer which cannot decode it.
    @given(found=peer_values, name=st.text(max_size=4))
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_shared_record(self, found: Any, name: str) -> None:
        share = UpstreamShare([(name, at(5), found)], [], at(0), at(9))
        decoded = CODEC.decode(CODEC.encode(share)).unwrap().message
        protocol = trio.run(
            receive_all,
            [decoded, NoteShare(found), EngineChanging(name)],
            False,
        )
        replica = protocol.store_replica
        self.assertEqual(replica.state.fleet.upstreams, {})
        CODEC.encode(replica.make_upstream_repair(at(0)))
        self.assertIsNone(replica.make_note_share())
