"""The entry process: wires up the core, its sockets and the HTTP server."""

import random
from typing import Final

import fire
import httpx
import trio

from cranberryrelay.entry._actor import CoreActor, open_core_actor
from cranberryrelay.entry._core import EntryCore
from cranberryrelay.entry._http_app import make_entry_app
from cranberryrelay.entry._messages import StartDraining
from cranberryrelay.entry._pipeline import Pipeline
from cranberryrelay.entry._telemetry import Telemetry
from cranberryrelay.programs import ProgramCommands, make_peer_codec
from cranberryrelay.serving import HttpServerOptions, serve_http
from cranberryrelay.settings import Settings
from cranberryrelay.timing import TimerService, open_timer_service
from cranberryrelay.wire import open_context, open_peer_client

SHUTDOWN_GRACE_SECONDS: Final = 1.0
DRAIN_NOTICE_SECONDS: Final = 0.5
FINAL_REPORT_TIMEOUT_SECONDS: Final = 3.0
UPSTREAM_CONNECTIONS_LIMIT: Final = 2000

# Applies to connections from callers.
IDLE_CONNECTION_TIMEOUT_SECONDS: Final = 20.0
_POLL_SECONDS: Final = 0.1


async def serve_entry(
    settings: Settings, incarnation: str, stop: trio.Event
) -> None:
    """Serve callers until ``stop`` is set, then drain running requests."""
    limits = httpx.Limits(max_connections=UPSTREAM_CONNECTIONS_LIMIT)
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
            async with open_core_actor(core, peers, timers) as actor:
                pipeline = Pipeline(actor, client, timers, Telemetry())
                await _serve_http(settings, pipeline, stop)
                await wait_account_saved(actor, timers)
        nursery.cancel_scope.cancel()


async def wait_account_saved(actor: CoreActor, timers: TimerService) -> None:
    """Wait, up to a timeout, until the account has saved all requests."""
    deadline = timers.now() + FINAL_REPORT_TIMEOUT_SECONDS
    while actor.core.account_ranges.unsaved and timers.now() < deadline:
        await timers.pause(_POLL_SECONDS)


async def _serve_http(
    settings: Settings, pipeline: Pipeline, stop: trio.Event
) -> None:
    server_options = HttpServerOptions(
        settings.entry_address,
        SHUTDOWN_GRACE_SECONDS,
        lambda: IDLE_CONNECTION_TIMEOUT_SECONDS,
    )
    drain_trigger = DrainTrigger(pipeline, stop)
    await serve_http(
        make_entry_app(pipeline), server_options, drain_trigger.wait
    )


class DrainTrigger:
    """Delays the server's shutdown until running requests have ended.

    Readiness fails first, so that load balancers stop sending requests.  The
    HTTP server would also wait for idle keep-alive connections of callers, so
    the core's count of requests decides when the server may stop.
    """

    def __init__(self, pipeline: Pipeline, stop: trio.Event) -> None:
        self.pipeline = pipeline
        self.stop = stop

    async def wait(self) -> None:
        """Return when the server may stop accepting connections."""
        await self.stop.wait()
        await self.pipeline.actor.tell(StartDraining())
        await self.pipeline.timers.pause(DRAIN_NOTICE_SECONDS)
        while self.pipeline.actor.core.has_work():
            await self.pipeline.timers.pause(_POLL_SECONDS)


def main() -> None:
    """Run the command line."""
    fire.Fire(ProgramCommands('entry', serve_entry))
