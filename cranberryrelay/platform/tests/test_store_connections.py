"""Kept connections to the store that it closes as a call is sent on them.

Guards against a call whose outcome counts as unknown though it was never sent,
and against one that is sent twice.
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from trio.testing import MockClock, wait_all_tasks_blocked

from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import TargetStore, open_target_store
from cranberryrelay.relay import KindRecord, StorePosition

LOOPBACK = '127.0.0.1'
SILENCE_SECONDS = 1.5
HEAD_END = b'\r\n\r\n'
RECORD = b'{"metadata":{"name":"n","revision":3},"spec":{}}'
ANSWER = b'HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n%b' % (
    len(RECORD),
    RECORD,
)
KNOWN = KindRecord('n', StorePosition(1, 3), {})


async def read_record(store: TargetStore) -> ResultCode:
    """Read a record; return the code of the outcome."""
    failure = (await store.read('k', 'n')).err()
    return failure.code if failure else ResultCode.ANSWERED


async def replace_record(store: TargetStore) -> ResultCode:
    """Replace a record that is unchanged; return the code of the outcome."""
    failure = (await store.replace('k', KNOWN)).err()
    return failure.code if failure else ResultCode.ANSWERED


class Case(NamedTuple):
    """A row: a call, when its connection is closed, and the outcome."""

    name: str
    call: Callable[[TargetStore], Awaitable[ResultCode]]
    is_sent: bool
    code: ResultCode


CASES = (
    Case('read, unsent', read_record, False, ResultCode.ANSWERED),
    Case('write, unsent', replace_record, False, ResultCode.ANSWERED),
    Case('read, sent', read_record, True, ResultCode.STORE_OUTCOME_UNKNOWN),
    Case('write, sent', replace_record, True, ResultCode.STORE_OUTCOME_UNKNOWN),
)


class ClosingStore:
    """Answers the calls; closes the first connection at the second call."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.calls = 0
        self.streams: list[trio.SocketStream] = []

    async def answer(self, stream: trio.SocketStream) -> None:
        """Answer the calls of one connection."""
        self.streams.append(stream)
        try:
            while HEAD_END in await stream.receive_some():
                self.calls += 1
                if self.calls == 2 and self.case.is_sent:
                    await stream.aclose()
                    return
                await stream.send_all(ANSWER)
        except trio.ClosedResourceError:
            return

    async def add_observer(self, request: Any) -> None:
        """Let the connection be closed before the request is sent on it."""
        if self.calls and not self.case.is_sent:
            request.extensions['trace'] = self.observe

    async def observe(self, event: str, info: dict[str, Any]) -> None:
        """Close the first connection once a call is about to be sent."""
        if event == 'http11.send_request_headers.started':
            await self.streams[0].aclose()


class SilentStore:
    """Answers each call after a silence, in virtual time."""

    def __init__(self, clock: MockClock) -> None:
        self.clock = clock
        self.calls = 0

    async def answer(self, stream: trio.SocketStream) -> None:
        """Answer the calls of one connection."""
        while HEAD_END in await stream.receive_some():
            self.calls += 1
            self.clock.jump(SILENCE_SECONDS)
            await wait_all_tasks_blocked()
            await stream.send_all(ANSWER)


async def call_silent(call: Any, clock: MockClock) -> tuple[ResultCode, int]:
    """Return the outcome of a call, and how many were received."""
    server = SilentStore(clock)
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
    port = listeners[0].socket.getsockname()[1]
    async with (
        trio.open_nursery() as nursery,
        open_target_store(f'http://{LOOPBACK}:{port}') as store,
    ):
        nursery.start_soon(trio.serve_listeners, server.answer, listeners)
        code = await call(store)
        nursery.cancel_scope.cancel()
    return code, server.calls


async def call_twice(case: Case) -> tuple[ResultCode, int]:
    """Return the outcome of the second call, and how many were received."""
    server = ClosingStore(case)
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
    port = listeners[0].socket.getsockname()[1]
    async with (
        trio.open_nursery() as nursery,
        open_target_store(f'http://{LOOPBACK}:{port}') as store,
    ):
        nursery.start_soon(trio.serve_listeners, server.answer, listeners)
        store.client.event_hooks = {'request': [server.add_observer]}
        assert await case.call(store) is ResultCode.ANSWERED
        code = await case.call(store)
        nursery.cancel_scope.cancel()
    return code, server.calls


class KeptConnectionTest(TestCase):
    """A call of the store is sent once."""

    # Guards against taking a call that was never sent for one that the store
    # may have executed, and against sending one again that it has received.
    @params(*((case,) for case in CASES))
    def test_closed_connection(self, case: Case) -> None:
        code, calls = trio.run(call_twice, case)
        self.assertEqual((code, calls), (case.code, 2))

    # Guards against giving up a call of a store that is silent for a second.
    @params(read_record, replace_record)
    def test_silence_is_waited_for(self, call: Any) -> None:
        clock = MockClock()
        outcome = trio.run(call_silent, call, clock, clock=clock)
        self.assertEqual(outcome, (ResultCode.ANSWERED, 1))
