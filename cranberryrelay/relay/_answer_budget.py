"""Limits the memory for answers that are read whole before they are passed on.

Each answer may take a small part of its own. What goes beyond that comes out of
one budget of the instance: upstreams that send bytes without end use up only
that, and an answer of a usual size needs none of it.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

# Largest answer that is read whole, in bytes.
ANSWER_BYTES_LIMIT: Final = 4_000_000

# Bytes that each answer may take outside the budget.
OWN_BYTES: Final = 65_536

# Bytes of all answers together beyond their own parts; the smallest instances
# have 200 MB of memory.
SHARED_BYTES_LIMIT: Final = 32_000_000


class AnswerBudget:
    """Bytes that all answers of the instance take out of the budget."""

    def __init__(self) -> None:
        self.shared_bytes = 0

    @contextmanager
    def open_buffer(self) -> Iterator['AnswerBuffer']:
        """Open a buffer for one answer; its bytes are free once it closes."""
        buffer = AnswerBuffer(self)
        try:
            yield buffer
        finally:
            buffer.clear()


class AnswerBuffer:
    """One answer, as far as it has arrived."""

    def __init__(self, budget: AnswerBudget) -> None:
        self.budget = budget
        self.body = bytearray()

        # Bytes that have arrived, also once they are taken.
        self.length = 0

    def add(self, part: bytes) -> bool:
        """Add a part of the answer; return False if it would be too large."""
        length = self.length + len(part)
        growth = find_shared_bytes(length) - find_shared_bytes(self.length)
        shared_bytes = self.budget.shared_bytes + growth
        if length > ANSWER_BYTES_LIMIT or shared_bytes > SHARED_BYTES_LIMIT:
            return False
        self.budget.shared_bytes = shared_bytes
        self.length = length
        self.body += part
        return True

    def take(self) -> bytes:
        """Return the answer; it counts until the buffer is cleared."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def clear(self) -> None:
        """Drop the answer, which counts no more."""
        self.budget.shared_bytes -= find_shared_bytes(self.length)
        self.length = 0
        self.body = bytearray()


def find_shared_bytes(length: int) -> int:
    """Return how many bytes an answer of a length takes out of the budget."""
    return max(length - OWN_BYTES, 0)
