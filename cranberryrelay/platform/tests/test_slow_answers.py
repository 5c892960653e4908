"""A store and an engine that send a byte of their answer now and then.

Guards against calls that never end, as each byte arrives within the time that
is given for one: the tasks that watch, register, write or order would stop.
"""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import open_engine_control, open_target_store
from cranberryrelay.relay import Role, RoleOrder, Upstream
from cranberryrelay.relay.tests.fixtures import at
from cranberryrelay.standins import LOOPBACK

STALLED_SECONDS: Final = 0.02
BYTE_SECONDS: Final = 0.5
ANSWER: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n%b' % bytes(
    9000
)


async def trickle(stream: trio.SocketStream) -> None:
    """Answer a request, one byte after another."""
    await stream.receive_some()
    for byte in ANSWER:
        await stream.send_all(bytes((byte,)))
        await trio.sleep(BYTE_SECONDS)


class SlowCall(NamedTuple):
    """A row: a call, and the time in which it ends, in seconds."""

    name: str
    make: Callable[[str], Awaitable[Any]]
    limit_seconds: float


async def read_record(address: str) -> Any:
    """Read a record of the store."""
    async with open_target_store(f'http://{address}') as store:
        return await store.read('kind', 'name')


async def create_record(address: str) -> Any:
    """Create a record in the store."""
    async with open_target_store(f'http://{address}') as store:
        return await store.create('kind', 'name', {})


async def watch(address: str) -> Any:
    """Watch a kind of records for three seconds."""
    async with open_target_store(f'http://{address}') as store:
        return await store.watch_kind('kind', at(1), 3)


async def report(address: str) -> Any:
    """Request the report of an engine."""
    async with open_engine_control() as control:
        return await control.report(make_engine(address), ignore)


async def order(address: str) -> Any:
    """Order an engine to change its role."""
    async with open_engine_control() as control:
        sent = RoleOrder(make_engine(address), Role.PREFILL, 'front-a-1', 1, 0)
        return await control.order(sent, ignore)


def make_engine(address: str) -> Upstream:
    """Make an engine at an address."""
    return Upstream('u1', 1, 's', address, 'a', 6, False, Role.DECODE)


def ignore(_: Any) -> None:
    """Ignore what an answer says of the engine."""


CALLS: Final = (
    SlowCall('read', read_record, 4),
    SlowCall('create', create_record, 4),
    SlowCall('watch', watch, 7),
    SlowCall('report', report, 1.2),
    SlowCall('order', order, 1.2),
)
UNKNOWN: Final = frozenset(
    (ResultCode.STORE_OUTCOME_UNKNOWN, ResultCode.UPSTREAM_FAILED)
)


async def measure(call: SlowCall) -> tuple[ResultCode, float]:
    """Return the code of a call, and when it ended."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(partial(serve, listeners))
        began_at = trio.current_time()
        result = await call.make(f'{LOOPBACK}:{port}')
        seconds = trio.current_time() - began_at
        nursery.cancel_scope.cancel()
    return result.unwrap_err().code, seconds


async def serve(listeners: list[trio.SocketListener]) -> None:
    """Answer each connection until cancelled."""
    await trio.serve_listeners(end_quietly, listeners)


async def end_quietly(stream: trio.SocketStream) -> None:
    """Answer slowly until the caller closes the connection."""
    try:
        await trickle(stream)
    except trio.BrokenResourceError:
        return


class SlowAnswerTest(TestCase):
    """Calls to the store and to engines end, whatever the other side does."""

    @params(*((call,) for call in CALLS))
    def test_call_ends(self, call: SlowCall) -> None:
        clock = MockClock(autojump_threshold=STALLED_SECONDS)
        code, seconds = trio.run(measure, call, clock=clock)
        self.assertIn(code, UNKNOWN)
        self.assertLessEqual(seconds, call.limit_seconds + 0.1)
