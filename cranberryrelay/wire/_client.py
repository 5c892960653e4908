"""Connections from a process without a listening socket to stewards."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from typing import Any, Final

import trio
import zmq

from cranberryrelay.wire._codec import Codec
from cranberryrelay.wire._sockets import CurveKeys, FrameSocket, open_dealer

_REPLY_FRAMES: Final = 4
INBOX_LIMIT: Final = 2000


class PeerClient:
    """Outgoing connections with the client's name as their identity."""

    def __init__(
        self,
        name: str,
        context: 'zmq.Context[zmq.Socket[bytes]]',
        keys: CurveKeys,
        codec: Codec[Any],
        stack: ExitStack,
        nursery: trio.Nursery,
    ) -> None:
        self.name = name
        self.context = context
        self.keys = keys
        self.codec = codec
        self.stack = stack
        self.nursery = nursery
        sender, receiver = trio.open_memory_channel[tuple[str, Any]](
            INBOX_LIMIT
        )
        self.inbox_sender = sender
        self.inbox = receiver
        self.dealers: dict[str, FrameSocket] = {}
        self.malformed = 0

    def send(self, peer: str, address: str, message: Any) -> bool:
        """Send without blocking; return False if the message is dropped.

        The first message to an address opens the connection.
        """
        dealer = self.dealers.get(address)
        if dealer is None:
            dealer = self.stack.enter_context(
                open_dealer(
                    self.context, address, self.keys, identity=self.name
                )
            )
            self.dealers[address] = dealer
            self.nursery.start_soon(self._receive, dealer)
        return dealer.send_now(
            [
                self.name.encode(),
                peer.encode(),
                *self.codec.encode(message),
            ]
        )

    async def _receive(self, dealer: FrameSocket) -> None:
        with suppress(trio.ClosedResourceError):
            # On shutdown the sockets close just before the tasks are cancelled.
            await self._receive_until_closed(dealer)

    async def _receive_until_closed(self, dealer: FrameSocket) -> None:
        while True:
            frames = await dealer.receive()
            if len(frames) != _REPLY_FRAMES:
                self.malformed += 1
                continue
            decoded = self.codec.decode(frames[2:])
            if decoded.is_err():
                self.malformed += 1
                continue
            sender = frames[0].decode(errors='replace')
            message = decoded.unwrap().message
            await self.inbox_sender.send((sender, message))


@contextmanager
def open_peer_client(
    name: str,
    context: 'zmq.Context[zmq.Socket[bytes]]',
    keys: CurveKeys,
    codec: Codec[Any],
    nursery: trio.Nursery,
) -> Iterator[PeerClient]:
    """Open a client whose connections close with the context."""
    with ExitStack() as stack:
        yield PeerClient(name, context, keys, codec, stack, nursery)
