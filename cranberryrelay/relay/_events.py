"""Splits a byte stream of server-sent events and parses their numbers."""

import re
from typing import Final, NamedTuple

from cranberryrelay.codes import Failure

# Largest event of a stream, in bytes; a few tokens take far less.
EVENT_BYTES_LIMIT: Final = 1_000_000
_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'
_COMMENT: Final = b':'

# Most digits of an event's number.
_NUMBER_DIGITS: Final = 18

# Start of a line of an event: the name of a field, or a comment.
_LINE_START: Final = re.compile(rb'([a-z][a-z0-9-]*)?:')


class Event(NamedTuple):
    """A complete event of a stream."""

    # Number of the event from its id field; None if it has none, or if its
    # lines are not those of an event.
    number: int | None

    # Bytes of the event, including the empty line that ends it.
    content: bytes

    def follows(self, last_number: int | None) -> bool:
        """Return whether this continues a stream after an event.

        Each event has a higher number than the one before; comments have none.
        """
        if self.content.startswith(_COMMENT):
            return True
        if self.number is None:
            return False
        return last_number is None or self.number > last_number


class EventSplitter:
    """Buffers an incomplete event until the rest of it arrives."""

    def __init__(self) -> None:
        self.incomplete = b''

    @property
    def too_large(self) -> bool:
        """Return whether the incomplete event exceeds the limit."""
        return len(self.incomplete) > EVENT_BYTES_LIMIT

    def is_broken_by(self, chunk: bytes | Failure | None) -> bool:
        """Return whether a chunk, or the end (None), breaks the stream off."""
        return isinstance(chunk, Failure) or (
            chunk is None and bool(self.incomplete)
        )

    def feed(self, chunk: bytes) -> list[Event]:
        """Add a chunk and return the events that it completes."""
        parts = (self.incomplete + chunk).split(_END)
        self.incomplete = parts.pop()
        return [_make_event(text + _END) for text in parts]


def _make_event(content: bytes) -> Event:
    lines = content.removesuffix(_END).split(b'\n')
    if not all(_LINE_START.match(line) for line in lines):
        return Event(None, content)
    for line in lines:
        if line.startswith(_ID_FIELD):
            number = line[len(_ID_FIELD) :].strip()
            if number.isdigit() and len(number) <= _NUMBER_DIGITS:
                return Event(int(number), content)
    return Event(None, content)
