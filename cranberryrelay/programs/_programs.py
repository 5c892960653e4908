"""Startup and shutdown code shared by the entry and the steward."""

import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from cranberryrelay.agreement import MESSAGE_TYPES
from cranberryrelay.logs import open_logs
from cranberryrelay.policy import SuspectCrash
from cranberryrelay.settings import Settings, load_settings
from cranberryrelay.startup import (
    INVALID_SETTINGS_EXIT_STATUS,
    make_incarnation,
)
from cranberryrelay.wire import Codec, make_codec

# Runs a program with its settings, incarnation and graceful stop event.
Serve = Callable[[Settings, str, trio.Event], Awaitable[None]]


class ProgramCommands:
    """Commands of a server program with one settings file."""

    def __init__(self, name: str, serve: Serve) -> None:
        self._name = name
        self._serve = serve

    def run(self, path: str) -> None:
        """Run with the settings at ``path`` until SIGTERM or SIGINT."""
        settings = read_checked_settings(path)
        with open_logs(self._name, settings.own_instance.instance):
            trio.run(_run_until_stopped, self._serve, settings)

    def check_settings(self, path: str) -> str:
        """Check the settings at ``path`` without starting the program."""
        read_checked_settings(path)
        return 'settings: no fault'


def read_checked_settings(path: str) -> Settings:
    """Read settings; on faults write them to stderr and exit with status 2."""
    loaded = load_settings(path)
    if loaded.is_err():
        for failure in loaded.unwrap_err():
            sys.stderr.write(f'{failure.code.value} {failure.detail}\n')
        sys.exit(INVALID_SETTINGS_EXIT_STATUS)
    return loaded.unwrap()


def make_peer_codec() -> Codec[Any]:
    """Make the codec for all messages between the processes."""
    return make_codec([*MESSAGE_TYPES, SuspectCrash])


async def _run_until_stopped(serve: Serve, settings: Settings) -> None:
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, stop)
        await serve(settings, make_incarnation(), stop)
        nursery.cancel_scope.cancel()


async def _stop_on_signal(stop: trio.Event) -> None:
    signals = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*signals) as received:
        async for _ in received:
            stop.set()
            return
