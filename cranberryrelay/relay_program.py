"""The program of one instance on the target platform."""

import logging
import signal
import sys
from pathlib import Path
from typing import Any, Final

import fire
import msgspec
import trio
from result import Err, Result

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
    load_boot_settings,
    open_engine_control,
    open_target_store,
    parse_boot_settings,
)
from cranberryrelay.programs import WRONG_SETTINGS_STATUS, make_incarnation
from cranberryrelay.relay import (
    AccountFinding,
    Decoders,
    EngineControl,
    InstanceSettings,
    RecordStore,
    ServingParts,
    explain_request,
    read_archived,
    serve_relay,
)
from cranberryrelay.timing import open_timer_service

NOT_EXPLAINED_STATUS: Final = 1

# The settings file is looked at this often, as it may change without a signal.
LOOK_SECONDS: Final = 2.0
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class RelayCommands:
    """Commands of the instance's program."""

    def run(self, path: str = '') -> None:
        """Serve until SIGTERM; the path defaults to the platform's."""
        path = path or find_boot_path()
        settings = read_settings(path)
        incarnation = make_incarnation()
        with open_bounded_logs(settings.name, incarnation):
            _LOG.info('start', extra={'domain': settings.domain})
            trio.run(_serve, settings, path, incarnation)
            _LOG.info('stop')

    def explain(self, request_id: str, store: str) -> str:
        """Tell which revision was in force when a request ran.

        ``store`` is the URL of the platform's store; no instance is asked.
        """
        found = trio.run(_explain, str(request_id), store)
        if isinstance(found, Err):
            failure = found.unwrap_err()
            sys.stderr.write(f'{failure.code.value} {failure.detail}\n')
            sys.exit(NOT_EXPLAINED_STATUS)
        finding = found.unwrap()
        return (
            f'{finding.request_id}: revision {finding.revision}, admitted by '
            f'{finding.instance}, segment {finding.segment}'
        )

    def note(self, revision: int, store: str) -> str:
        """Print the release note of a revision as JSON.

        ``store`` is the URL of the platform's store; no instance is asked.
        """
        found = trio.run(_read_note, revision, store)
        if isinstance(found, Err):
            failure = found.unwrap_err()
            sys.stderr.write(f'{failure.code.value} {failure.detail}\n')
            sys.exit(NOT_EXPLAINED_STATUS)
        return msgspec.json.encode(found.unwrap()).decode()

    def check_settings(self, path: str = '') -> str:
        """Check the settings and start nothing."""
        read_settings(path or find_boot_path())
        return 'settings: no fault'


def read_settings(path: str) -> InstanceSettings:
    """Read settings, or write the fault and exit with status 2."""
    loaded = load_boot_settings(path)
    if isinstance(loaded, Err):
        failure = loaded.unwrap_err()
        sys.stderr.write(f'{failure.code.value} {failure.detail}\n')
        sys.exit(WRONG_SETTINGS_STATUS)
    return loaded.unwrap()


async def _read_note(revision: int, url: str) -> Result[Any, Failure]:
    async with open_target_store(url) as store:
        return await read_archived(store, revision)


async def _explain(
    request_id: str, url: str
) -> Result[AccountFinding, Failure]:
    async with open_target_store(url) as store:
        return await explain_request(store, request_id)


async def _serve(
    settings: InstanceSettings, path: str, incarnation: str
) -> None:
    stop = trio.Event()
    async with (
        open_target_store(settings.store_url) as store,
        open_engine_control() as control,
        trio.open_nursery() as nursery,
    ):
        sender, receiver = trio.open_memory_channel[InstanceSettings](1)
        reader = SettingsReader(path, sender)
        nursery.start_soon(_heed_signals, stop, reader)
        nursery.start_soon(reader.watch)
        parts = make_parts(settings, store, control, incarnation)
        await serve_relay(parts._replace(new_settings=receiver), stop)
        nursery.cancel_scope.cancel()


def make_parts(
    settings: InstanceSettings,
    store: RecordStore,
    control: EngineControl,
    incarnation: str,
) -> ServingParts:
    """Put an instance together with the adapter of the platform."""
    return ServingParts(
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
        new_settings=trio.open_memory_channel[InstanceSettings](0)[1],
    )


class SettingsReader:
    """Reads the settings again when told, and when the file has changed."""

    def __init__(
        self, path: str, sender: trio.MemorySendChannel[InstanceSettings]
    ) -> None:
        self.path = path
        self.sender = sender
        self.text = read_text(path)

    async def watch(self) -> None:
        """Look at the file for ever."""
        async with open_timer_service() as timers:
            async for _ in timers.subscribe(LOOK_SECONDS):
                text = read_text(self.path)
                if text != self.text and text:
                    await self.read()

    async def read(self) -> None:
        """Read the file; settings with a fault change nothing."""
        self.text = read_text(self.path)
        loaded = parse_boot_settings(self.text)
        if isinstance(loaded, Err):
            failure = loaded.unwrap_err()
            _LOG.error(
                'settings not taken',
                extra={'code': failure.code.value, 'detail': failure.detail},
            )
            return
        await self.sender.send(loaded.unwrap())


def read_text(path: str) -> str:
    """Return the text of a file; '' if it can't be read at this moment."""
    try:
        return Path(path).read_text()
    except OSError as error:
        _LOG.warning('settings not readable', extra={'detail': str(error)})
        return ''


async def _heed_signals(stop: trio.Event, reader: SettingsReader) -> None:
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        async for number in received:
            if number == signal.SIGHUP:
                await reader.read()
            else:
                stop.set()


def main() -> None:
    """Run the command line."""
    fire.Fire(RelayCommands)


if __name__ == '__main__':
    main()
