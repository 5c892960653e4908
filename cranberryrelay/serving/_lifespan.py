"""Start and end of an ASGI app, by the lifespan protocol."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final

import trio

from cranberryrelay.serving._http_connection import App

_STARTED: Final = 'lifespan.startup.complete'
_ENDED: Final = 'lifespan.shutdown.complete'


class Lifespan:
    """Messages between the server and an app that starts and ends."""

    def __init__(self, app: App) -> None:
        self.app = app
        self.state: dict[str, Any] = {}
        self.started = trio.Event()
        self.ended = trio.Event()
        channel = trio.open_memory_channel[dict[str, str]](2)
        self.sender = channel[0]
        self.receiver = channel[1]

    async def run(self) -> None:
        """Run the app; one that ends at once has no use for the protocol."""
        scope = {
            'type': 'lifespan',
            'asgi': {'spec_version': '2.0', 'version': '3.0'},
            'state': self.state,
        }
        try:
            await self.app(scope, self.receiver.receive, self.record)
        finally:
            self.started.set()
            self.ended.set()

    async def record(self, message: dict[str, Any]) -> None:
        """Record a message of the app."""
        if message['type'] == _STARTED:
            self.started.set()
        elif message['type'] == _ENDED:
            self.ended.set()


@asynccontextmanager
async def open_lifespan(app: App) -> AsyncIterator[dict[str, Any]]:
    """Start the app, and end it when the context ends; yield its state."""
    lifespan = Lifespan(app)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lifespan.run)
        lifespan.sender.send_nowait({'type': 'lifespan.startup'})
        await lifespan.started.wait()
        yield lifespan.state
        lifespan.sender.send_nowait({'type': 'lifespan.shutdown'})
        await lifespan.ended.wait()
        nursery.cancel_scope.cancel()
