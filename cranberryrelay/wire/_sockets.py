"""pyzmq sockets on trio: bounded, authenticated when keys are given.

pyzmq has no trio support.  Its file descriptor is edge-triggered, so the
socket is drained until ``Again`` before the task waits for it.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final, NamedTuple

import trio
import zmq

HIGH_WATER_MARK: Final = 1000
FRAME_BYTES_LIMIT: Final = 1_000_000

# A connection that went silent is opened again after this time.
HEARTBEAT_MS: Final = 2000
HEARTBEAT_TIMEOUT_MS: Final = 3000

# The socket is looked at this often in case a wakeup was missed, in seconds.
_POLL_SECONDS: Final = 1.0


class CurveKeys(NamedTuple):
    """Keys for CURVE; all of them empty to go without."""

    # Public key shared by all instances of the deployment.
    public: bytes = b''

    # Secret key that goes with it.
    secret: bytes = b''


def make_keys() -> CurveKeys:
    """Make a pair of keys for a deployment."""
    public, secret = zmq.curve_keypair()
    return CurveKeys(public, secret)


class FrameSocket:
    """A socket that one task owns."""

    def __init__(self, socket: 'zmq.Socket[bytes]') -> None:
        self.socket = socket
        self.dropped = 0
        self.waiting: trio.CancelScope | None = None

    def send_now(self, frames: list[bytes]) -> bool:
        """Send without waiting; False when the peer's queue is full."""
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped += 1
            return False
        finally:
            self._wake_receiver()
        return True

    async def receive(self) -> list[bytes]:
        """Wait for the next frames.

        Raises ``trio.ClosedResourceError`` once the socket is closed.
        """
        while not self.socket.closed:
            try:
                return self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                await self._wait_readable()
        raise trio.ClosedResourceError

    def _wake_receiver(self) -> None:
        """Wake the receiver, as a send may use up the descriptor's signal."""
        if self.waiting is not None and self._has_frames():
            self.waiting.cancel()

    def _has_frames(self) -> bool:
        events: Any = self.socket.getsockopt(zmq.EVENTS)
        return bool(events & zmq.POLLIN)

    async def _wait_readable(self) -> None:
        if self._has_frames():
            return
        descriptor: Any = self.socket.getsockopt(zmq.FD)
        with trio.move_on_after(_POLL_SECONDS) as scope:
            self.waiting = scope
            await trio.lowlevel.wait_readable(descriptor)
        self.waiting = None


@contextmanager
def open_context() -> Iterator['zmq.Context[zmq.Socket[bytes]]']:
    """Open the process's zmq context."""
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
    """Open the socket that peers connect to, on 'IP:port'."""
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
    """Open a socket to the peer at 'IP:port', with an identity if named.

    The peer has the same keys unless ``server_public`` names another one.
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
