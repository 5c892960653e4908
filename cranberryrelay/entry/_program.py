"""The entry's program: settings, sockets, signals and the HTTP server."""

import random
from typing import Final

import fire
import httpx
import trio

from cranberryrelay.entry._actor import EntryLink, open_entry_link
from cranberryrelay.entry._core import EntryCore
from cranberryrelay.entry._http_app import make_entry_app
from cranberryrelay.entry._messages import StartDraining
from cranberryrelay.entry._pipeline import Pipeline
from cranberryrelay.entry._telemetry import Telemetry
from cranberryrelay.programs import ProgramCommands, make_peer_codec
from cranberryrelay.serving import HttpPlace, serve_http
from cranberryrelay.settings import Settings
from cranberryrelay.timing import TimerService, open_timer_service
from cranberryrelay.wire import open_context, open_peer_client

LAST_BYTES_SECONDS: Final = 1.0
NOT_READY_SECONDS: Final = 0.5
LAST_REPORT_SECONDS: Final = 3.0
CONNECTIONS_LIMIT: Final = 2000

# An idle connection of a caller is closed after this time, in seconds.
IDLE_SECONDS: Final = 20.0
_POLL_SECONDS: Final = 0.1


async def serve_entry(
    settings: Settings, incarnation: str, stop: trio.Event
) -> None:
    """Serve callers until ``stop`` is set, then finish what is running."""
    limits = httpx.Limits(max_connections=CONNECTIONS_LIMIT)
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(
            trust_env=False, limits=limits, timeout=None
        ) as client,
        trio.open_nursery() as nursery,
    ):
        core = EntryCore(settings, incarnation, random.Random(incarnation))
        with (
            open_context() as context,
            open_peer_client(
                core.name,
                context,
                settings.keys,
                make_peer_codec(),
                nursery,
            ) as peers,
        ):
            async with open_entry_link(core, peers, timers) as link:
                pipeline = Pipeline(link, client, timers, Telemetry())
                await _serve_http(settings, pipeline, stop)
                await wait_reported(link, timers)
        nursery.cancel_scope.cancel()


async def wait_reported(link: EntryLink, timers: TimerService) -> None:
    """Wait until the account has what ran here, for a while at most."""
    give_up_at = timers.now() + LAST_REPORT_SECONDS
    while link.core.ranges.unsaved and timers.now() < give_up_at:
        await timers.pause(_POLL_SECONDS)


async def _serve_http(
    settings: Settings, pipeline: Pipeline, stop: trio.Event
) -> None:
    place = HttpPlace(
        settings.entry_address, LAST_BYTES_SECONDS, lambda: IDLE_SECONDS
    )
    draining = DrainTrigger(pipeline, stop)
    await serve_http(make_entry_app(pipeline), place, draining.wait)


class DrainTrigger:
    """Tells callers' balancer first, then waits for what is running.

    The HTTP server would wait for idle connections that callers keep open,
    so the entry's own count decides when nothing is left.
    """

    def __init__(self, pipeline: Pipeline, stop: trio.Event) -> None:
        self.pipeline = pipeline
        self.stop = stop

    async def wait(self) -> None:
        """Return when the server is to stop taking connections."""
        await self.stop.wait()
        await self.pipeline.link.tell(StartDraining())
        await self.pipeline.timers.pause(NOT_READY_SECONDS)
        while self.pipeline.link.core.has_work():
            await self.pipeline.timers.pause(_POLL_SECONDS)


def main() -> None:
    """Run the command line."""
    fire.Fire(ProgramCommands('entry', serve_entry))
