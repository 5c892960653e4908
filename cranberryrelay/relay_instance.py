"""Program of one instance on the target platform, without a command line.

It imports only what an instance runs, as a fleet starts many at a time.
"""

import logging
import signal
import sys
from typing import Final, TypeVar

import trio
from result import Err, Ok, Result

from cranberryrelay.codes import Failure
from cranberryrelay.logs import open_bounded_logs
from cranberryrelay.platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAM_KIND,
    TargetDialect,
    decode_configuration,
    decode_upstream,
    find_boot_path,
    open_engine_control,
    open_target_store,
    parse_boot_settings,
    read_boot_text,
)
from cranberryrelay.relay import (
    Decoders,
    EngineControl,
    InstanceSettings,
    RecordStore,
    RelayDependencies,
    serve_relay,
)
from cranberryrelay.startup import (
    INVALID_SETTINGS_EXIT_STATUS,
    make_incarnation,
)
from cranberryrelay.timing import open_timer_service

# Interval at which the settings file is checked, as it may change without a
# signal.
POLL_SECONDS: Final = 2.0
_LOG: Final = logging.getLogger('cranberryrelay.relay')
_Found = TypeVar('_Found')


def run_instance(path: str = '') -> None:
    """Serve until SIGTERM or SIGINT.

    ``path`` is the settings file and defaults to the platform's. Exits with
    ``INVALID_SETTINGS_EXIT_STATUS`` if it cannot be used.
    """
    path = path or find_boot_path()
    text = unwrap_or_exit(read_boot_text(path), INVALID_SETTINGS_EXIT_STATUS)
    settings = unwrap_or_exit(
        parse_boot_settings(text), INVALID_SETTINGS_EXIT_STATUS
    )
    incarnation = make_incarnation()
    with open_bounded_logs(settings.name, incarnation):
        _LOG.info('start', extra={'domain': settings.domain})
        reader = SettingsReader(path, text)
        trio.run(_serve, settings, reader, incarnation)
        _LOG.info('stop')


def unwrap_or_exit(result: Result[_Found, Failure], status: int) -> _Found:
    """Return the value, or write the failure to stderr and exit."""
    if isinstance(result, Err):
        failure = result.unwrap_err()
        sys.stderr.write(f'{failure.code.value} {failure.detail}\n')
        sys.exit(status)
    return result.unwrap()


async def _serve(
    settings: InstanceSettings, reader: 'SettingsReader', incarnation: str
) -> None:
    stop = trio.Event()
    async with (
        open_target_store(settings.store_url) as store,
        open_engine_control() as control,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(_handle_signals, stop, reader)
        nursery.start_soon(reader.watch)
        dependencies = make_dependencies(
            settings, store, control, incarnation, reader.receiver
        )
        await serve_relay(dependencies, stop)
        nursery.cancel_scope.cancel()


def make_dependencies(
    settings: InstanceSettings,
    store: RecordStore,
    control: EngineControl,
    incarnation: str,
    new_settings: trio.MemoryReceiveChannel[InstanceSettings],
) -> RelayDependencies:
    """Return the dependencies of an instance on the target platform."""
    return RelayDependencies(
        settings=settings,
        store=store,
        control=control,
        dialect=TargetDialect(),
        decoders=Decoders(
            decode_configuration, decode_upstream, CONFIGURATION_NAME
        ),
        note_kind=CONFIGURATION_KIND,
        upstream_kind=UPSTREAM_KIND,
        incarnation=f'{settings.name}-{incarnation}',
        new_settings=new_settings,
    )


class SettingsReader:
    """Reloads the settings on request and when their file changes."""

    def __init__(self, path: str, text: str) -> None:
        self.path = path
        self.text = text
        channel = trio.open_memory_channel[InstanceSettings](1)
        self.sender = channel[0]
        self.receiver = channel[1]

    async def watch(self) -> None:
        """Poll the file for changes until cancelled."""
        async with open_timer_service() as timers:
            async for _ in timers.subscribe(POLL_SECONDS):
                if read_boot_text(self.path) != Ok(self.text):
                    await self.reload()

    async def reload(self) -> None:
        """Read the file and send its settings; invalid ones are only logged."""
        text = read_boot_text(self.path)
        self.text = text.unwrap_or(self.text)
        loaded = text.and_then(parse_boot_settings)
        if isinstance(loaded, Err):
            failure = loaded.unwrap_err()
            _LOG.error(
                'settings not taken',
                extra={'code': failure.code.value, 'detail': failure.detail},
            )
            return
        await self.sender.send(loaded.unwrap())


async def _handle_signals(stop: trio.Event, reader: SettingsReader) -> None:
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        async for signum in received:
            if signum == signal.SIGHUP:
                await reader.reload()
            else:
                stop.set()


def main() -> None:
    """Run the program; its only argument may name the settings file."""
    run_instance(*sys.argv[1:2])


if __name__ == '__main__':
    main()
