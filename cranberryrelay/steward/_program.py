"""The steward program: opens its sockets and runs it until stopped."""

from contextlib import ExitStack
from typing import Final

import fire
import trio

from cranberryrelay.platform import open_object_api
from cranberryrelay.programs import ProgramCommands, make_peer_codec
from cranberryrelay.settings import Settings
from cranberryrelay.steward._metrics import serve_metrics
from cranberryrelay.steward._shell import open_steward
from cranberryrelay.timing import open_timer_service
from cranberryrelay.wire import (
    open_authenticator,
    open_context,
    open_peer_network,
)

STORE_TIMEOUT_SECONDS: Final = 2.0


async def serve_steward(
    settings: Settings, incarnation: str, stop: trio.Event
) -> None:
    """Run a steward until ``stop`` is set, then release its leases."""
    with open_context() as context, ExitStack() as stack:
        authenticator = None
        if settings.keys.secret:
            authenticator = stack.enter_context(
                open_authenticator(context, settings.keys)
            )
        network = stack.enter_context(
            open_peer_network(
                settings.own_instance.instance,
                settings.own_instance.address,
                context,
                settings.keys,
                make_peer_codec(),
            )
        )
        async with (
            open_timer_service() as timers,
            open_object_api(settings.platform, STORE_TIMEOUT_SECONDS) as api,
            open_steward(settings, incarnation, api, network, timers) as shell,
            trio.open_nursery() as nursery,
        ):
            if authenticator is not None:
                nursery.start_soon(authenticator.run)
            if settings.steward_metrics_address:
                nursery.start_soon(
                    serve_metrics,
                    shell,
                    settings.steward_metrics_address,
                    stop,
                )
            await stop.wait()
            await shell.leave()
            nursery.cancel_scope.cancel()


def main() -> None:
    """Run the command line of the steward program."""
    fire.Fire(ProgramCommands('steward', serve_steward))
