"""Planned stop of the HTTP server.

Guards against idle keep-alive connections that delay a planned stop until the
end of its grace period.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from unittest import TestCase

import httpx
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from cranberryrelay.relay._context import RelayContext
from cranberryrelay.relay._front_app import make_readiness_app
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_settings,
    pick_port,
)
from cranberryrelay.standins import LOOPBACK
from cranberryrelay.timing import open_timer_service

STOP_SECONDS = 5.0
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


@asynccontextmanager
async def run_server(stop: trio.Event) -> AsyncIterator[str]:
    """Serve the readiness app on a free loopback port; yield the address."""
    config = Config()
    config.bind = [f'{LOOPBACK}:{pick_port()}']
    config.graceful_timeout = STOP_SECONDS
    config.keep_alive_timeout = 60
    config.accesslog = None
    config.errorlog = None
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient() as client,
        trio.open_nursery() as nursery,
    ):
        dialect: Any = None
        context = RelayContext(
            RelayState(make_settings()), client, dialect, timers
        )
        app = make_readiness_app(context)
        nursery.start_soon(_serve, app, config, stop)
        await trio.sleep(0.3)
        yield config.bind[0]


async def _serve(app: Any, config: Config, stop: trio.Event) -> None:
    await serve(app, config, shutdown_trigger=stop.wait)


class PlannedStopTest(TestCase):
    """Runs the HTTP server on the loopback interface."""

    def test_idle_connections_are_closed(self) -> None:
        self.assertLess(trio.run(measure_close_seconds), 1)


async def measure_close_seconds() -> float:
    """Return the seconds from a planned stop until an idle connection ends."""
    stop = trio.Event()
    async with run_server(stop) as address:
        host, _, port = address.partition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(REQUEST)
            await trio.sleep(0.3)
            await stream.receive_some()
            stop.set()
            stopped_at = trio.current_time()
            await stream.receive_some()
            return trio.current_time() - stopped_at
