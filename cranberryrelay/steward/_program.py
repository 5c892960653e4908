"""The steward's program: settings, sockets, signals and metrics."""

import signal
import sys
import uuid
from contextlib import ExitStack
from typing import Any

import fire
import trio
from result import Result

from cranberryrelay.agreement import MESSAGE_TYPES
from cranberryrelay.codes import Failure
from cranberryrelay.logs import open_logs
from cranberryrelay.platform import open_object_api
from cranberryrelay.policy import SuspectCrash
from cranberryrelay.settings import Settings, load_settings
from cranberryrelay.steward._metrics import serve_metrics
from cranberryrelay.steward._shell import open_steward
from cranberryrelay.timing import open_timer_service
from cranberryrelay.wire import (
    Codec,
    make_codec,
    open_authenticator,
    open_context,
    open_peer_network,
)

STORE_TIMEOUT_SECONDS = 2.0
INCARNATION_DIGITS = 8


def make_peer_codec() -> Codec[Any]:
    """Make the codec of all messages between the system's processes."""
    return make_codec([*MESSAGE_TYPES, SuspectCrash])


async def serve_steward(
    settings: Settings, incarnation: str, stop: trio.Event
) -> None:
    """Run a steward until ``stop`` is set, then release what it holds."""
    with open_context() as context, ExitStack() as stack:
        guard = None
        if settings.keys.secret:
            guard = stack.enter_context(
                open_authenticator(context, settings.keys)
            )
        network = stack.enter_context(
            open_peer_network(
                settings.me.instance,
                settings.me.address,
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
            if guard is not None:
                nursery.start_soon(guard.run)
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


async def stop_on_signal(stop: trio.Event) -> None:
    """Set ``stop`` at SIGTERM or SIGINT."""
    signals = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*signals) as received:
        async for _ in received:
            stop.set()
            return


def explain_faults(loaded: Result[Settings, list[Failure]]) -> str:
    """Write the faults of a settings file, a line each."""
    return ''.join(
        f'{failure.code.value} {failure.detail}\n'
        for failure in loaded.unwrap_err()
    )


class StewardCommands:
    """Commands of cranberryrelay-steward."""

    def run(self, path: str) -> None:
        """Run a steward with the settings at ``path``."""
        settings = read_checked_settings(path)
        with open_logs('steward', settings.me.instance):
            trio.run(_run, settings)

    def check_settings(self, path: str) -> str:
        """Check the settings at ``path`` and start nothing."""
        read_checked_settings(path)
        return 'settings: no fault'


def read_checked_settings(path: str) -> Settings:
    """Read settings, or write their faults and exit with status 2."""
    loaded = load_settings(path)
    if loaded.is_err():
        sys.stderr.write(explain_faults(loaded))
        sys.exit(2)
    return loaded.unwrap()


async def _run(settings: Settings) -> None:
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, stop)
        await serve_steward(settings, make_incarnation(), stop)
        nursery.cancel_scope.cancel()


def make_incarnation() -> str:
    """Make a name that differs at each start of a process."""
    return f'{uuid.uuid4().hex[:INCARNATION_DIGITS]}'


def main() -> None:
    """Run the command line."""
    fire.Fire(StewardCommands)
