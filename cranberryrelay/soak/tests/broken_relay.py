"""An instance with one part broken, to show that the soak can fail.

The first argument names the part.
"""

import sys
from collections.abc import AsyncIterator
from types import MappingProxyType
from typing import Any, Final

from result import Result

from cranberryrelay.codes import Failure
from cranberryrelay.relay import _model_path, _plain_path, _state
from cranberryrelay.relay_program import main


def replace(part: type, name: str, method: Any) -> None:
    """Replace a method of a part."""
    setattr(part, name, method)


def repeat_anything() -> None:
    """Send a call again whether it may run twice or not."""

    def should_repeat(self: Any, ended: Result[Any, Failure]) -> bool:
        return ended.is_err()

    replace(_plain_path.PlainRun, 'should_repeat', should_repeat)


def keep_the_first_note() -> None:
    """Never take a newer note over."""
    apply = _state.RelayState.apply_table

    def apply_first(self: Any, table: Any, source: str) -> bool:
        return self.table is None and apply(self, table, source)

    replace(_state.RelayState, 'apply_table', apply_first)


def lose_an_event() -> None:
    """Leave the third event of each stream out."""
    pass_events = _model_path.ModelRun.pass_events

    async def pass_most(self: Any, answer: Any) -> AsyncIterator[bytes]:
        number = 0
        async for event in pass_events(self, answer):
            number += 1
            if number != 3:
                yield event

    replace(_model_path.ModelRun, 'pass_events', pass_most)


def send_to_leaving_upstreams() -> None:
    """Take no notice of upstreams that are about to leave."""
    apply = _state.RelayState.apply_upstream

    def apply_staying(self: Any, upstream: Any, source: str) -> None:
        apply(self, upstream._replace(leaving=False), source)

    replace(_state.RelayState, 'apply_upstream', apply_staying)


PARTS: Final = MappingProxyType(
    {
        'repeats': repeat_anything,
        'notes': keep_the_first_note,
        'events': lose_an_event,
        'leaving': send_to_leaving_upstreams,
    }
)

if __name__ == '__main__':
    PARTS[sys.argv.pop(1)]()
    main()
