"""pyzmq sockets on trio, with bounded queues and optional CURVE keys.

pyzmq has no trio support.  The file descriptor of a socket is edge-triggered,
so a task receives until ``zmq.Again`` before it waits for the descriptor.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final, NamedTuple

import trio
import zmq

HIGH_WATER_MARK: Final = 1000
FRAME_BYTES_LIMIT: Final = 1_000_000

# libzmq reconnects when the peer leaves heartbeats unanswered this long.
HEARTBEAT_MS: Final = 2000
HEARTBEAT_TIMEOUT_MS: Final = 3000

# Longest wait before the socket is checked again for a missed wakeup.
_POLL_SECONDS: Final = 1.0


class CurveKeys(NamedTuple):
    """CURVE key pair; both keys are empty when CURVE is off."""

    # Public key in Z85, shared by all instances of the deployment.
    public: bytes = b''

    # Matching secret key in Z85.
    secret: bytes = b''


def make_keys() -> CurveKeys:
    """Generate a key pair for a deployment."""
    public, secret = zmq.curve_keypair()
    return CurveKeys(public, secret)


class FrameSocket:
    """Non-blocking multipart socket with at most one receiving task."""

    def __init__(self, socket: 'zmq.Socket[bytes]') -> None:
        self.socket = socket
        self.dropped = 0
        self.wait_scope: trio.CancelScope | None = None

    def send_now(self, frames: list[bytes]) -> bool:
        """Send without blocking; return False if the message is dropped.

        A message is dropped when the queue to the peer is full or, on a
        ROUTER socket, when the peer is not connected.
        """
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped += 1
            return False
        finally:
            self._wake_receiver()
        return True

    async def receive(self) -> list[bytes]:
        """Wait for the next multipart message and return its frames.

        Raises ``trio.ClosedResourceError`` once the socket is closed.
        """
        while not self.socket.closed:
            try:
                return self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                await self._wait_readable()
        raise trio.ClosedResourceError

    def _wake_receiver(self) -> None:
        """Wake the receiver: a send may consume the descriptor's edge event."""
        if self.wait_scope is not None and self._has_frames():
            self.wait_scope.cancel()

    def _has_frames(self) -> bool:
        events: Any = self.socket.getsockopt(zmq.EVENTS)
        return bool(events & zmq.POLLIN)

    async def _wait_readable(self) -> None:
        if self._has_frames():
            return
        descriptor: Any = self.socket.getsockopt(zmq.FD)
        with trio.move_on_after(_POLL_SECONDS) as scope:
            self.wait_scope = scope
            await trio.lowlevel.wait_readable(descriptor)
        self.wait_scope = None


@contextmanager
def open_context() -> Iterator['zmq.Context[zmq.Socket[bytes]]']:
    """Open the zmq context of the process."""
    context = zmq.Context()
    try:
        yield context
    finally:
        context.destroy(linger=0)


@contextmanager
def open_router(
    context: 'zmq.Context[zmq.Socket[bytes]]',
    address: str,
    keys: CurveKeys,
) -> Iterator[FrameSocket]:
    """Open a listening socket on ``address``, an 'IP:port'."""
    socket = _make_socket(context, zmq.ROUTER)
    if keys.secret:
        socket.curve_server = True
        socket.curve_secretkey = keys.secret
        socket.curve_publickey = keys.public
    socket.router_mandatory = True
    socket.bind(f'tcp://{address}')
    try:
        yield FrameSocket(socket)
    finally:
        socket.close()


@contextmanager
def open_dealer(
    context: 'zmq.Context[zmq.Socket[bytes]]',
    address: str,
    keys: CurveKeys,
    server_public: bytes = b'',
    identity: str = '',
) -> Iterator[FrameSocket]:
    """Connect to the peer at ``address``, an 'IP:port'.

    ``identity`` is the routing id that the peer sees; libzmq assigns one if it
    is empty.  The peer's public key is ``server_public``, or that of ``keys``
    if it is empty.
    """
    socket = _make_socket(context, zmq.DEALER)
    if identity:
        socket.identity = identity.encode()
    if keys.secret:
        socket.curve_serverkey = server_public or keys.public
        socket.curve_secretkey = keys.secret
        socket.curve_publickey = keys.public
    socket.connect(f'tcp://{address}')
    try:
        yield FrameSocket(socket)
    finally:
        socket.close()


def _make_socket(
    context: 'zmq.Context[zmq.Socket[bytes]]', kind: int
) -> 'zmq.Socket[bytes]':
    socket = context.socket(kind)
    socket.linger = 0
    socket.sndhwm = HIGH_WATER_MARK
    socket.rcvhwm = HIGH_WATER_MARK
    socket.maxmsgsize = FRAME_BYTES_LIMIT
    socket.heartbeat_ivl = HEARTBEAT_MS
    socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
    return socket
