"""TCP proxy on loopback that delays, blocks and resets connections."""

import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from enum import StrEnum
from typing import Final

import trio

CHUNK_BYTES: Final = 65_536

# Delay of each chunk on a slow link.
SLOW_DELAY_SECONDS: Final = 0.3

# SO_LINGER with a timeout of 0: close() resets the connection.
_ZERO_LINGER: Final = struct.pack('ii', 1, 0)


class LinkState(StrEnum):
    """How a link treats bytes; ONE_WAY blocks those from the target only."""

    SOUND = 'sound'
    SLOW = 'slow'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSED = 'refused'


class LoopbackProxy:
    """One link; its state applies to all its connections."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.state = LinkState.SOUND
        self.state_changed = trio.Event()
        self.streams: set[trio.SocketStream] = set()

    def change_state(self, state: LinkState) -> None:
        """Change the link's state; REFUSED also resets all connections."""
        self.state = state
        self.state_changed.set()
        self.state_changed = trio.Event()
        if state is LinkState.REFUSED:
            self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for stream in list(self.streams):
            _reset(stream)

    async def serve(self, caller: trio.SocketStream) -> None:
        """Forward one connection until either side ends it."""
        if self.state is LinkState.REFUSED:
            _reset(caller)
            return
        try:
            upstream = await trio.open_tcp_stream(*self.target)
        except OSError:
            # A target that is down counts as a link that is down.
            _reset(caller)
            return
        pair = {caller, upstream}
        self.streams |= pair
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.forward, caller, upstream, False)
                nursery.start_soon(self.forward, upstream, caller, True)
        finally:
            self.streams -= pair
            _reset_all(pair)

    async def forward(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_response: bool,
    ) -> None:
        """Forward bytes in one direction, subject to the link's state."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                chunk = await source.receive_some(CHUNK_BYTES)
                await self.delay(is_response)
                if not chunk:
                    await sink.send_eof()
                    return
                await sink.send_all(chunk)
            return
        _reset(source)
        _reset(sink)

    async def delay(self, is_response: bool) -> None:
        """Wait as long as the link's state delays or blocks bytes."""
        if self.state is LinkState.SLOW:
            await trio.sleep(SLOW_DELAY_SECONDS)
        while self.state is LinkState.SILENT or (
            is_response and self.state is LinkState.ONE_WAY
        ):
            await self.state_changed.wait()


def _reset_all(streams: set[trio.SocketStream]) -> None:
    for stream in streams:
        _reset(stream)


def _reset(stream: trio.SocketStream) -> None:
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    stream.socket.close()


@asynccontextmanager
async def open_proxy(
    port: int, target: tuple[str, int], host: str
) -> AsyncIterator[LoopbackProxy]:
    """Open a proxy that listens on a port of the host."""
    proxy = LoopbackProxy(target)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(trio.serve_listeners, proxy.serve, listeners)
        yield proxy
        nursery.cancel_scope.cancel()
