"""Bytes of a TCP connection, sent and received without a detour.

``trio.SocketStream`` tries each call before it waits and lets other tasks run
after each one that succeeds. Here a receiver waits first, as there is mostly
nothing yet, and what fits into the buffer of the connection is sent at once.
"""

import select
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import Final

import trio

# Bytes that are read from a socket at a time.
READ_BYTES: Final = 65_536

# Option of a socket: level, name and content.
SocketOption = tuple[int, int, int]

# Linger of no time: the connection is reset when it is closed.
_NO_LINGER: Final = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class ByteStream:
    """A connection; one task receives and one sends at a time."""

    def __init__(self, plain_socket: socket.socket) -> None:
        plain_socket.setblocking(False)
        self.socket = plain_socket
        self.is_closed = False
        self.readable = select.poll()
        self.readable.register(plain_socket, select.POLLIN)

    async def receive(self) -> bytes:
        """Wait for bytes; none at the end of the connection.

        Raises ``trio.BrokenResourceError`` if it was reset, and
        ``trio.ClosedResourceError`` if it is closed meanwhile.
        """
        while True:
            self._check_open()
            await trio.lowlevel.wait_readable(self.socket)
            try:
                return self.socket.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError from error

    async def send_all(self, content: bytes) -> None:
        """Send bytes; waits only if they do not fit into the buffer.

        Raises the same errors as ``receive``.
        """
        unsent = self.send_now(content)
        while unsent:
            await trio.lowlevel.wait_writable(self.socket)
            unsent = self.send_now(unsent)

    def send_now(self, content: bytes | memoryview) -> bytes | memoryview:
        """Send what fits into the buffer; return the rest.

        Raises the same errors as ``receive``.
        """
        self._check_open()
        try:
            sent_bytes = self.socket.send(content)
        except BlockingIOError:
            return content
        except OSError as error:
            raise trio.BrokenResourceError from error
        if sent_bytes == len(content):
            return b''
        return memoryview(content)[sent_bytes:]

    def is_readable(self) -> bool:
        """Return whether bytes, or the end of the connection, have arrived."""
        return self.is_closed or bool(self.readable.poll(0))

    def end(self) -> None:
        """Tell the other side that no more bytes follow, and close."""
        if not self.is_closed:
            # Fails if the other side has ended the connection.
            with suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)
        self.close()

    def reset(self) -> None:
        """Close the connection such that the other side sees it broken off."""
        if not self.is_closed:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
        self.close()

    def close(self) -> None:
        """Close the connection; tasks that wait for it get an error."""
        if not self.is_closed:
            self.is_closed = True
            trio.lowlevel.notify_closing(self.socket)
            self.socket.close()

    def _check_open(self) -> None:
        if self.is_closed:
            raise trio.ClosedResourceError


async def connect(
    host: str, port: int, options: Iterable[SocketOption] = ()
) -> ByteStream:
    """Open a connection to an IP address; raises ``OSError``."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setblocking(False)
    try:
        await _connect(opened, host, port, options)
    except BaseException:
        opened.close()
        raise
    return ByteStream(opened)


async def _connect(
    opened: socket.socket,
    host: str,
    port: int,
    options: Iterable[SocketOption],
) -> None:
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for level, name, content in options:
        opened.setsockopt(level, name, content)
    try:
        opened.connect((host, port))
    except BlockingIOError:
        await trio.lowlevel.wait_writable(opened)
    code = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, f'no connection to {host}:{port}')
