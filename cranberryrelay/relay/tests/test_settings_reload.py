"""Settings and limits that change while an instance is serving."""

import tempfile
from pathlib import Path
from typing import Any, Final
from unittest import TestCase

import trio
from nose2.tools import params
from quart_trio import QuartTrio
from trio.testing import MockClock

from cranberryrelay.relay import ClientLimits, InstanceSettings, RequestKind
from cranberryrelay.relay._caller_servers import head_seconds
from cranberryrelay.relay._state import (
    DEFAULT_IDLE_SECONDS,
    IDLE_MARGIN_SECONDS,
    RelayState,
)
from cranberryrelay.relay.tests.fixtures import (
    make_plain_table,
    make_route,
    make_settings,
    pick_port,
)
from cranberryrelay.relay_instance import SettingsReader
from cranberryrelay.serving import (
    DEFAULT_HEAD_SECONDS,
    HttpServerOptions,
    serve_http,
)
from cranberryrelay.standins import LOOPBACK

BOOT_SETTINGS: Final = """
node_name = "front-a-1"
ip = "127.0.0.1"
zone = "a"
port_range = [7380, 7395]
seeds = {seeds}
[listen]
front = "127.0.0.1:8000"
ready = "127.0.0.1:8001"
[platform]
address = "127.0.0.1:9000"
"""
REQUEST: Final = b'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n'


NESTED: Final = 'x = {}{}'.format('[' * 100_000, ']' * 100_000).encode()


class OddSettingsFileTest(TestCase):
    """Settings files that cannot be read."""

    # Guards against a process that ends as its settings file changes.
    @params(b'x = "\xff"', NESTED, b'', b'\0', b'x = 1979-99-99', b'[a')
    def test_settings_in_force_hold(self, content: bytes) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, 'boot.toml')
            path.write_bytes(content)
            reader = SettingsReader(str(path), '')
            with self.assertLogs('cranberryrelay.relay') as log:
                trio.run(reader.reload)
        self.assertEqual(
            [record.getMessage() for record in log.records],
            ['settings not taken'],
        )


class ApplySettingsTest(TestCase):
    """Reloaded settings that are applied to the state."""

    def test_new_bounds_apply_to_existing_budgets(self) -> None:
        state = RelayState(make_settings())
        for _ in range(20):
            state.retry_budget('s').count_request(0)
        self.assertTrue(state.take_retry('s', 0))
        bounds = state.settings.bounds._replace(repeat_ratio=0, repeat_slack=0)
        state.apply_settings(state.settings._replace(bounds=bounds))
        self.assertFalse(state.take_retry('s', 0))

    def test_addresses_change_only_at_restart(self) -> None:
        state = RelayState(make_settings())
        changed = state.settings._replace(peer_port=1, seed_ips=('10.0.0.1',))
        state.apply_settings(changed)
        self.assertEqual(state.settings.peer_port, 7380)
        self.assertEqual(state.settings.seed_ips, ('10.0.0.1',))

    def test_idle_limit_comes_from_the_note(self) -> None:
        state = RelayState(make_settings())
        self.assertEqual(state.idle_seconds(), DEFAULT_IDLE_SECONDS)
        route = make_route(RequestKind.IDEMPOTENT)
        limits = ClientLimits()._replace(idle_seconds=45)
        state.apply_table(make_plain_table(3, route, limits), 'test')
        self.assertEqual(state.idle_seconds(), 45 + IDLE_MARGIN_SECONDS)

    # Guards against heads of requests that are waited for without end.
    def test_head_limit_comes_from_the_note(self) -> None:
        state = RelayState(make_settings())
        self.assertEqual(head_seconds(state), DEFAULT_HEAD_SECONDS)
        route = make_route(RequestKind.IDEMPOTENT)
        limits = ClientLimits()._replace(header_seconds=4)
        state.apply_table(make_plain_table(3, route, limits), 'test')
        self.assertEqual(head_seconds(state), 4 + IDLE_MARGIN_SECONDS)


class SettingsReaderTest(TestCase):
    """The settings file changes without a signal."""

    @params(
        (BOOT_SETTINGS.format(seeds='["10.0.0.7:1"]'), 1),
        (BOOT_SETTINGS.format(seeds='"none"'), 0),
        ('no settings', 0),
    )
    def test_changed_file(self, text: str, sent_count: int) -> None:
        received: list[InstanceSettings] = []

        async def scenario(path: Path) -> None:
            reader = SettingsReader(str(path), BOOT_SETTINGS.format(seeds='[]'))
            replace_settings(path, text)
            with trio.move_on_after(9):
                await reader.watch()
            reader.sender.close()
            received.extend([one async for one in reader.receiver])

        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'local.toml'
            path.write_text(BOOT_SETTINGS.format(seeds='[]'))
            clock = MockClock(autojump_threshold=0)
            trio.run(scenario, path, clock=clock)
        self.assertEqual(len(received), sent_count)
        for settings in received:
            self.assertEqual(settings.seed_ips, ('10.0.0.7',))


class IdleLimitTest(TestCase):
    """The limit in force when a connection becomes idle applies to it."""

    def test_changed_limit_applies_to_open_connection(self) -> None:
        seconds = trio.run(measure_idle)
        self.assertLess(seconds, 5)


def replace_settings(path: Path, text: str) -> None:
    """Replace the content of the settings file."""
    path.write_text(text)


async def measure_idle() -> float:
    """Return how long an idle connection stays open, in seconds."""
    port = pick_port()
    limits = [60.0]
    app = QuartTrio('test')
    app.before_request(answer_any)
    place = HttpServerOptions(f'{LOOPBACK}:{port}', 1, lambda: limits[-1])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, app, place, trio.sleep_forever)
        stream = await connect(port)
        limits.append(0.2)
        await stream.send_all(REQUEST)
        started_at = trio.current_time()
        with trio.move_on_after(10):
            await read_to_end(stream)
        seconds = trio.current_time() - started_at
        nursery.cancel_scope.cancel()
    return seconds


async def read_to_end(stream: trio.SocketStream) -> None:
    """Read until the peer closes the connection."""
    received = await stream.receive_some()
    while received:
        received = await stream.receive_some()


async def answer_any() -> Any:
    """Answer any request."""
    return 'well'


async def connect(port: int) -> trio.SocketStream:
    """Connect once the app is served."""
    while True:
        try:
            return await trio.open_tcp_stream(LOOPBACK, port)
        except OSError:
            await trio.lowlevel.checkpoint()
