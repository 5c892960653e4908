"""Answers libzmq's question whether a CURVE key may connect (RFC 27).

Without an answer libzmq lets every key in that knows the server's public
key; here only the deployment's own key may connect.
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
    """Lets one key in; one task owns it."""

    def __init__(self, socket: FrameSocket, keys: CurveKeys) -> None:
        self.socket = socket
        self.allowed = z85.decode(keys.public)
        self.refused = 0

    async def run(self) -> None:
        """Answer questions for ever."""
        while True:
            frames = await self.socket.receive()
            self.socket.send_now(self.answer(frames))

    def answer(self, frames: list[bytes]) -> list[bytes]:
        """Answer one question: 200 for the deployment's key, else 400."""
        envelope = frames[:2]
        request = frames[2:]
        request_id = request[1] if len(request) > 1 else b''
        known = len(request) >= _REQUEST_FRAMES
        if known and request[-1] == self.allowed:
            status = [b'200', b'OK', b'peer', b'']
        else:
            self.refused += 1
            status = [b'400', b'unknown key', b'', b'']
        return [*envelope, _VERSION, request_id, *status]


@contextmanager
def open_authenticator(
    context: 'zmq.Context[zmq.Socket[bytes]]', keys: CurveKeys
) -> Iterator[Authenticator]:
    """Open the socket that libzmq asks; before any other is bound."""
    socket = context.socket(zmq.ROUTER)
    socket.linger = 0
    socket.bind(ZAP_ADDRESS)
    try:
        yield Authenticator(FrameSocket(socket), keys)
    finally:
        socket.close()
