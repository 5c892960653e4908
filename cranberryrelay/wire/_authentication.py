"""ZAP handler (ZeroMQ RFC 27): decides which CURVE keys may connect.

Without a ZAP handler libzmq accepts any client that knows the server's
public key.  This handler accepts only the deployment's own key.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import zmq
from zmq.utils import z85

from cranberryrelay.wire._sockets import CurveKeys, FrameSocket

ZAP_ADDRESS: Final = 'inproc://zeromq.zap.01'
_VERSION: Final = b'1.0'
_REQUEST_FRAMES: Final = 7


class Authenticator:
    """Accepts a single public key; owned by one task."""

    def __init__(self, socket: FrameSocket, keys: CurveKeys) -> None:
        self.socket = socket
        self.allowed_key = z85.decode(keys.public)
        self.refused_count = 0

    async def run(self) -> None:
        """Answer ZAP requests until cancelled."""
        while True:
            frames = await self.socket.receive()
            self.socket.send_now(self.answer(frames))

    def answer(self, frames: list[bytes]) -> list[bytes]:
        """Answer a ZAP request: 200 for the deployment's key, else 400."""
        envelope = frames[:2]
        request = frames[2:]
        request_id = request[1] if len(request) > 1 else b''
        complete = len(request) >= _REQUEST_FRAMES
        if complete and request[-1] == self.allowed_key:
            status = [b'200', b'OK', b'peer', b'']
        else:
            self.refused_count += 1
            status = [b'400', b'unknown key', b'', b'']
        return [*envelope, _VERSION, request_id, *status]


@contextmanager
def open_authenticator(
    context: 'zmq.Context[zmq.Socket[bytes]]', keys: CurveKeys
) -> Iterator[Authenticator]:
    """Open the ZAP socket; call this before any other socket is bound."""
    socket = context.socket(zmq.ROUTER)
    socket.linger = 0
    socket.bind(ZAP_ADDRESS)
    try:
        yield Authenticator(FrameSocket(socket), keys)
    finally:
        socket.close()
