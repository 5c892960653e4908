"""The network drops malformed frames and rejects unknown CURVE keys."""

from contextlib import ExitStack
from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params

from cranberryrelay.agreement import AskVoice, VoiceWord
from cranberryrelay.codes import ResultCode
from cranberryrelay.demo import find_free_ports
from cranberryrelay.wire import (
    Codec,
    CurveKeys,
    make_codec,
    make_keys,
    open_authenticator,
    open_context,
    open_dealer,
    open_peer_network,
)

CODEC: Codec[Any] = make_codec([AskVoice, VoiceWord])


class CodecTest(TestCase):
    """A codec decodes its own messages and rejects all other frames."""

    def test_round_trip(self) -> None:
        message = VoiceWord(1, 'domain', 7)
        decoded = CODEC.decode(CODEC.encode(message)).unwrap()
        self.assertEqual(decoded, (message, ''))

    @params(
        ([],),
        ([b'AskVoice'],),
        ([b'Nothing', b'\x91\x01'],),
        ([b'AskVoice', b'\xff'],),
        ([b'AskVoice', b'\x91\xa1x'],),
        ([b'\xff\xfe', b''],),
    )
    def test_malformed_frames(self, frames: list[bytes]) -> None:
        failure = CODEC.decode(frames).unwrap_err()
        self.assertIs(failure.code, ResultCode.FRAME_MALFORMED)


async def send_and_receive(
    server: CurveKeys,
    client: CurveKeys,
    frames: list[bytes],
    copies: int = 1,
) -> tuple[list[Any], int]:
    """Return the messages a network received and its malformed count.

    A well-formed message follows ``frames`` on the same connection.
    """
    address = f'127.0.0.1:{find_free_ports(1)[0]}'
    received: list[Any] = []
    with open_context() as context, ExitStack() as stack:
        async with trio.open_nursery() as nursery:
            if server.secret:
                authenticator = stack.enter_context(
                    open_authenticator(context, server)
                )
                nursery.start_soon(authenticator.run)
            network = stack.enter_context(
                open_peer_network('one', address, context, server, CODEC)
            )
            keys = client._replace(public=client.public)
            dealer = stack.enter_context(
                open_dealer(context, address, keys, server.public)
            )
            for _ in range(copies):
                dealer.send_now(frames)
            dealer.send_now([b'two', b'one', *CODEC.encode(AskVoice(2))])
            with trio.move_on_after(0.7):
                async for _, message in network.receive():
                    received.append(message)
            nursery.cancel_scope.cancel()
        return received, network.malformed


class NetworkTest(TestCase):
    """Malformed frames and foreign keys don't reach the receiver."""

    def test_malformed_frames_are_counted(self) -> None:
        bad_frames = [b'two', b'one', b'AskVoice', b'\xff']
        received, malformed = trio.run(
            send_and_receive, CurveKeys(), CurveKeys(), bad_frames
        )
        self.assertEqual(received, [AskVoice(2)])
        self.assertEqual(malformed, 1)

    # Guards against a log line for each message of a kind that only a newer
    # build knows, and against losing what follows.
    def test_unknown_kind_is_passed_over(self) -> None:
        frames = [b'two', b'one', b'NewKind', b'\x91\x01']
        with self.assertLogs('cranberryrelay.wire', 'INFO') as logs:
            received, malformed = trio.run(
                send_and_receive, CurveKeys(), CurveKeys(), frames, 3
            )
        self.assertEqual(received, [AskVoice(2)])
        self.assertEqual(malformed, 0)
        lines = [one for one in logs.output if 'another build' in one]
        self.assertEqual(len(lines), 1)

    @params(True, False)
    def test_only_matching_keys_connect(self, same: bool) -> None:
        server = make_keys()
        client = server if same else make_keys()
        frames = [b'two', b'one', *CODEC.encode(AskVoice(1))]
        received, _ = trio.run(send_and_receive, server, client, frames)
        expected = [AskVoice(1), AskVoice(2)] if same else []
        self.assertEqual(received, expected)


class ClosedSocketTest(TestCase):
    """Receiving on a closed socket raises, so that the task ends cleanly."""

    def test_receive_raises_on_closed_socket(self) -> None:
        async def scenario() -> None:
            address = f'127.0.0.1:{find_free_ports(1)[0]}'
            with open_context() as context:
                with open_dealer(context, address, CurveKeys()) as dealer:
                    dealer.socket.close()
                with self.assertRaises(trio.ClosedResourceError):
                    await dealer.receive()

        trio.run(scenario)
