"""A proxy on loopback that delays, silences and resets connections."""

import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from enum import StrEnum
from typing import Final

import trio

CHUNK_BYTES: Final = 65_536

# Delay of each piece on a slow link, in seconds.
SLOW_SECONDS: Final = 0.3

# Has the kernel reset a connection instead of closing it.
_ABORT: Final = struct.pack('ii', 1, 0)


class LinkState(StrEnum):
    """What happens to the bytes on a link."""

    SOUND = 'sound'
    SLOW = 'slow'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSED = 'refused'


class LoopbackProxy:
    """One link; all its connections share the link's state."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.state = LinkState.SOUND
        self.changed = trio.Event()
        self.streams: set[trio.SocketStream] = set()

    def turn(self, state: LinkState) -> None:
        """Change the link's state."""
        self.state = state
        self.changed.set()
        self.changed = trio.Event()
        if state is LinkState.REFUSED:
            self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for stream in list(self.streams):
            _abort(stream)

    async def serve(self, caller: trio.SocketStream) -> None:
        """Carry one connection until either side ends it."""
        if self.state is LinkState.REFUSED:
            _abort(caller)
            return
        try:
            upstream = await trio.open_tcp_stream(*self.target)
        except OSError:
            # The process behind the link is down; so is the link.
            _abort(caller)
            return
        both = {caller, upstream}
        self.streams |= both
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.pump, caller, upstream, False)
                nursery.start_soon(self.pump, upstream, caller, True)
        finally:
            self.streams -= both
            _abort_all(both)

    async def pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        answers: bool,
    ) -> None:
        """Carry bytes one way, as the link's state allows."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                piece = await source.receive_some(CHUNK_BYTES)
                await self.hold(answers)
                if not piece:
                    await sink.send_eof()
                    return
                await sink.send_all(piece)
            return
        _abort(source)
        _abort(sink)

    async def hold(self, answers: bool) -> None:
        """Wait while the link holds bytes up."""
        if self.state is LinkState.SLOW:
            await trio.sleep(SLOW_SECONDS)
        while self.state is LinkState.SILENT or (
            answers and self.state is LinkState.ONE_WAY
        ):
            await self.changed.wait()


def _abort_all(streams: set[trio.SocketStream]) -> None:
    for stream in streams:
        _abort(stream)


def _abort(stream: trio.SocketStream) -> None:
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
    stream.socket.close()


@asynccontextmanager
async def open_proxy(
    port: int, target: tuple[str, int], host: str
) -> AsyncIterator[LoopbackProxy]:
    """Open a proxy on a port of loopback."""
    proxy = LoopbackProxy(target)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(trio.serve_listeners, proxy.serve, listeners)
        yield proxy
        nursery.cancel_scope.cancel()
