"""Runs an instance with one defect, which the soak must detect.

The first argument is a key of DEFECTS and selects the defect.
"""

import sys
from collections.abc import AsyncIterator
from types import MappingProxyType
from typing import Any, Final

from result import Result

from cranberryrelay.codes import Failure
from cranberryrelay.relay import _model_path, _plain_path, _state
from cranberryrelay.relay_program import main


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


DEFECTS: Final = MappingProxyType(
    {
        'repeats': retry_every_call,
        'notes': ignore_newer_notes,
        'events': drop_third_event,
        'leaving': ignore_leaving_state,
    }
)

if __name__ == '__main__':
    DEFECTS[sys.argv.pop(1)]()
    main()
