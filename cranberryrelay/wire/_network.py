"""Messaging between peers: one listening socket and one dealer per peer.

Frames on the wire: sender, receiver, kind, message.  A peer without a
listening socket, such as an entry, connects with its name as the routing
identity; replies to it go out through the listening socket.
"""

import logging
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any, Final, NamedTuple

import trio
import zmq

from cranberryrelay.wire._addresses import is_address
from cranberryrelay.wire._codec import ENCODING_ERRORS, Codec
from cranberryrelay.wire._sockets import (
    CurveKeys,
    FrameSocket,
    open_dealer,
    open_router,
)

# Most differences that are counted and logged, over all peers.
PASSED_OVER_LIMIT: Final = 4096
_ENVELOPE_FRAMES: Final = 5
_LOG: Final = logging.getLogger('cranberryrelay.wire')


class _Dealer(NamedTuple):
    socket: FrameSocket
    resources: ExitStack


class PeerNetwork:
    """Sockets of one process; one task sends and one task receives."""

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
        self.used_addresses: set[str] = set()
        self.inbound_peers: set[str] = set()
        self.malformed = 0

        # Messages of peers of another build, by peer and difference.
        self.passed_over: Counter[tuple[str, str]] = Counter()

        # Messages that could not be sent, by reason.
        self.unsendable: Counter[str] = Counter()
        self.messages_sent = 0
        self.bytes_sent = 0
        self.blocked_peers: frozenset[str] = frozenset()

    def send(
        self, peer: str, address: str | None, sender: str, message: Any
    ) -> bool:
        """Send without blocking; return False if the message is dropped."""
        if peer in self.blocked_peers:
            return False
        try:
            encoded = self.codec.encode(message)
        except ENCODING_ERRORS as error:
            self._count_unsendable(f'{type(message).__name__}: {error!r}')
            return False
        frames = [sender.encode(), peer.encode(), *encoded]
        self.messages_sent += 1
        self.bytes_sent += sum(len(frame) for frame in frames)
        if peer in self.inbound_peers:
            if self.router.send_now([peer.encode(), *frames]):
                return True
            self.inbound_peers.discard(peer)
        instance = peer.partition('/')[0]
        if address is None or instance == self.name:
            return False
        if address not in self.dealers and not is_address(address):
            self._count_unsendable(f'invalid address {address!r} of {peer!r}')
            return False
        return self._dealer_to(address).send_now(frames)

    def close_unused(self) -> None:
        """Close the connections that were not used since the last call."""
        for address in self.dealers.keys() - self.used_addresses:
            self.dealers.pop(address).resources.close()
        self.used_addresses.clear()

    def close(self) -> None:
        """Close all connections."""
        self.used_addresses.clear()
        self.close_unused()

    async def receive(self) -> AsyncIterator[tuple[str, Any]]:
        """Yield (sender, message) until closed; drop malformed frames."""
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
            self._count_malformed(
                'expected 5 frames: identity, sender, receiver, kind, message'
            )
            return None
        identity, sender_frame, receiver_frame, *rest = frames
        sender = sender_frame.decode(errors='replace')
        receiver = receiver_frame.decode(errors='replace')
        if sender.partition('/')[0] in self.blocked_peers:
            return None
        kind = rest[0]
        if self.codec.find_type(kind) is None:
            self._count_passed_over(sender, f'unknown kind {kind!r}')
            return None
        decoded = self.codec.decode(rest)
        if decoded.is_err():
            self._count_malformed(decoded.unwrap_err().detail)
            return None
        message, differences = decoded.unwrap()
        if differences:
            self._count_passed_over(sender, differences)
        if identity == sender_frame:
            self.inbound_peers.add(sender)
        if receiver != self.name:
            self._forward(receiver, sender, rest)
            return None
        return sender, message

    def _forward(self, receiver: str, sender: str, rest: list[bytes]) -> None:
        if receiver in self.inbound_peers:
            frames = [sender.encode(), receiver.encode(), *rest]
            self.router.send_now([receiver.encode(), *frames])

    def _count_passed_over(self, sender: str, difference: str) -> None:
        """Count what a peer of another build sent and is not known here.

        It is logged once for each peer.
        """
        counted = (sender, difference)
        if counted not in self.passed_over:
            if len(self.passed_over) >= PASSED_OVER_LIMIT:
                return
            _LOG.info(
                'peer of another build',
                extra={'peer': sender, 'difference': difference},
            )
        self.passed_over[counted] += 1

    def _count_unsendable(self, reason: str) -> None:
        """Count a message that cannot be sent; log each reason once."""
        if reason not in self.unsendable:
            if len(self.unsendable) >= PASSED_OVER_LIMIT:
                return
            _LOG.error('message not sent', extra={'detail': reason})
        self.unsendable[reason] += 1

    def _count_malformed(self, detail: str) -> None:
        self.malformed += 1
        _LOG.warning('malformed frame dropped', extra={'detail': detail})

    def _dealer_to(self, address: str) -> FrameSocket:
        self.used_addresses.add(address)
        dealer = self.dealers.get(address)
        if dealer is None:
            resources = ExitStack()
            socket = resources.enter_context(
                open_dealer(self.context, address, self.keys)
            )
            dealer = _Dealer(socket, resources)
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
    """Open the sockets of a process; ``address`` is its own 'IP:port'."""
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
