"""Runs an instance with one defect, which the soak must detect.

The first argument is a key of DEFECTS and selects the defect.
"""

import sys
from collections.abc import AsyncIterator
from types import MappingProxyType
from typing import Any, Final

import trio
from result import Result

from cranberryrelay.codes import Failure
from cranberryrelay.relay import _model_path, _plain_path, _state
from cranberryrelay.relay._front_app import RelayApp
from cranberryrelay.relay_program import main

# Idle time from which the reuse of a connection counts as late; callers other
# than those at the idle limit use their connections again sooner.
LATE_REUSE_SECONDS: Final = 0.5


def patch_method(owner: type, name: str, method: Any) -> None:
    """Replace a method of a class."""
    setattr(owner, name, method)


def retry_every_call() -> None:
    """Retry every failed call, also one that must not be repeated."""

    def should_repeat(self: Any, ended: Result[Any, Failure]) -> bool:
        return ended.is_err()

    patch_method(_plain_path.PlainRun, 'should_repeat', should_repeat)


def ignore_newer_notes() -> None:
    """Apply the first note only."""
    apply = _state.RelayState.apply_table

    def apply_first(self: Any, table: Any, source: str) -> bool:
        return self.table is None and apply(self, table, source)

    patch_method(_state.RelayState, 'apply_table', apply_first)


def drop_third_event() -> None:
    """Drop the third event of each stream."""
    pass_events = _model_path.ModelRun.pass_events

    async def pass_all_but_third(
        self: Any, answer: Any
    ) -> AsyncIterator[bytes]:
        number = 0
        async for event in pass_events(self, answer):
            number += 1
            if number != 3:
                yield event

    patch_method(_model_path.ModelRun, 'pass_events', pass_all_but_third)


def ignore_leaving_state() -> None:
    """Treat leaving upstreams as staying."""
    apply = _state.RelayState.apply_upstream

    def apply_as_staying(self: Any, upstream: Any, source: str) -> None:
        apply(self, upstream._replace(leaving=False), source)

    patch_method(_state.RelayState, 'apply_upstream', apply_as_staying)


def cut_reused_connections() -> None:
    """Cut the answer of a request that reuses a connection after a while."""
    call = RelayApp.__call__
    idle_from: dict[Any, float] = {}

    async def call_and_cut(
        self: Any, scope: Any, receive: Any, send: Any
    ) -> None:
        now = trio.current_time()
        caller = scope.get('client')
        late = now - idle_from.get(caller, now) > LATE_REUSE_SECONDS

        async def send_or_cut(message: Any) -> None:
            if late:
                # The sender is a method of the exchange on the connection.
                send.__self__.writer.stream.reset()
            await send(message)

        await call(self, scope, receive, send_or_cut)
        idle_from[caller] = trio.current_time()

    patch_method(RelayApp, '__call__', call_and_cut)


DEFECTS: Final = MappingProxyType(
    {
        'repeats': retry_every_call,
        'notes': ignore_newer_notes,
        'events': drop_third_event,
        'leaving': ignore_leaving_state,
        'reuses': cut_reused_connections,
    }
)

if __name__ == '__main__':
    DEFECTS[sys.argv.pop(1)]()
    main()
