"""Messages between peers: one socket to receive on, one to each peer.

Frames on the wire: sender, receiver, kind, message.  A peer that connects
without being connected to, such as an entry, gives its name as its identity
and is answered on the socket it came in by.
"""

import logging
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any, Final, NamedTuple

import trio
import zmq

from cranberryrelay.wire._codec import Codec
from cranberryrelay.wire._sockets import (
    CurveKeys,
    FrameSocket,
    open_dealer,
    open_router,
)

_ENVELOPE_FRAMES: Final = 5
_LOG: Final = logging.getLogger('cranberryrelay.wire')


class _Dealer(NamedTuple):
    socket: FrameSocket
    opened: ExitStack


class PeerNetwork:
    """A process's sockets to its peers; one task sends, one receives."""

    def __init__(
        self,
        name: str,
        context: 'zmq.Context[zmq.Socket[bytes]]',
        router: FrameSocket,
        keys: CurveKeys,
        codec: Codec[Any],
    ) -> None:
        self.name = name
        self.context = context
        self.router = router
        self.keys = keys
        self.codec = codec
        self.dealers: dict[str, _Dealer] = {}
        self.used: set[str] = set()
        self.direct: set[str] = set()
        self.malformed = 0
        self.messages_sent = 0
        self.bytes_sent = 0
        self.cut: frozenset[str] = frozenset()

    def send(
        self, peer: str, address: str | None, sender: str, message: Any
    ) -> bool:
        """Send without waiting; False when the message is dropped."""
        if peer in self.cut:
            return False
        frames = [
            sender.encode(),
            peer.encode(),
            *self.codec.encode(message),
        ]
        self.messages_sent += 1
        self.bytes_sent += sum(len(frame) for frame in frames)
        if peer in self.direct:
            if self.router.send_now([peer.encode(), *frames]):
                return True
            self.direct.discard(peer)
        instance = peer.partition('/')[0]
        if address is None or instance == self.name:
            return False
        return self._dealer_to(address).send_now(frames)

    def close_unused(self) -> None:
        """Close connections that were not used since the last such call."""
        for address in self.dealers.keys() - self.used:
            self.dealers.pop(address).opened.close()
        self.used.clear()

    def close(self) -> None:
        """Close all connections."""
        self.used.clear()
        self.close_unused()

    async def receive(self) -> AsyncIterator[tuple[str, Any]]:
        """Yield (sender, message) until closed; drops malformed frames."""
        while not self.router.socket.closed:
            try:
                frames = await self.router.receive()
            except trio.ClosedResourceError:
                return
            decoded = self._decode(frames)
            if decoded is not None:
                yield decoded

    def _decode(self, frames: list[bytes]) -> tuple[str, Any] | None:
        if len(frames) != _ENVELOPE_FRAMES:
            self._count_malformed('wrong frame count')
            return None
        identity, sender_frame, receiver_frame, *rest = frames
        sender = sender_frame.decode(errors='replace')
        receiver = receiver_frame.decode(errors='replace')
        if sender.partition('/')[0] in self.cut:
            return None
        message = self.codec.decode(rest)
        if message.is_err():
            self._count_malformed(message.unwrap_err().detail)
            return None
        if identity == sender_frame:
            self.direct.add(sender)
        if receiver != self.name:
            self._pass_on(receiver, sender, rest)
            return None
        return sender, message.unwrap()

    def _pass_on(self, receiver: str, sender: str, rest: list[bytes]) -> None:
        if receiver in self.direct:
            frames = [sender.encode(), receiver.encode(), *rest]
            self.router.send_now([receiver.encode(), *frames])

    def _count_malformed(self, detail: str) -> None:
        self.malformed += 1
        _LOG.warning('malformed frame dropped', extra={'detail': detail})

    def _dealer_to(self, address: str) -> FrameSocket:
        self.used.add(address)
        dealer = self.dealers.get(address)
        if dealer is None:
            opened = ExitStack()
            socket = opened.enter_context(
                open_dealer(self.context, address, self.keys)
            )
            dealer = _Dealer(socket, opened)
            self.dealers[address] = dealer
        return dealer.socket


@contextmanager
def open_peer_network(
    name: str,
    address: str,
    context: 'zmq.Context[zmq.Socket[bytes]]',
    keys: CurveKeys,
    codec: Codec[Any],
) -> Iterator[PeerNetwork]:
    """Open the sockets of a process that listens on 'IP:port'."""
    if not keys.secret:
        _LOG.warning(
            'peers are NOT authenticated: set keys.public and keys.secret'
        )
    with open_router(context, address, keys) as router:
        network = PeerNetwork(name, context, router, keys, codec)
        try:
            yield network
        finally:
            network.close()
