"""Limits the memory for bodies that are read whole before they are passed on.

Each body may take a small part of its own. What goes beyond that comes out of
one budget of the instance: upstreams that send bytes without end use up only
that, and a body of a usual size needs none of it. Bodies of requests have a
budget of their own.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from cranberryrelay.codes import Failure, ResultCode, fail

# Largest body of an answer and of a request, in bytes.
ANSWER_BYTES_LIMIT: Final = 4_000_000
REQUEST_BYTES_LIMIT: Final = 16_000_000

# Bytes that each body may take outside the budget.
OWN_BYTES: Final = 65_536

# Bytes of all bodies together beyond their own parts; the smallest instances
# have 200 MB of memory.
SHARED_BYTES_LIMIT: Final = 32_000_000


class BodyLimits(NamedTuple):
    """Limits of a kind of bodies."""

    # Largest body, in bytes.
    body_bytes: int

    # Code for a body that is larger.
    too_large: ResultCode

    # Code for a body for which the budget has no room.
    no_room: ResultCode


ANSWER_LIMITS: Final = BodyLimits(
    ANSWER_BYTES_LIMIT,
    ResultCode.ANSWER_TOO_LARGE,
    ResultCode.ANSWER_TOO_LARGE,
)
REQUEST_LIMITS: Final = BodyLimits(
    REQUEST_BYTES_LIMIT,
    ResultCode.BODY_TOO_LARGE,
    ResultCode.BODIES_TOO_LARGE,
)


class BodyBudget:
    """Bytes that all bodies of a kind take out of the budget."""

    def __init__(self, limits: BodyLimits) -> None:
        self.limits = limits
        self.shared_bytes = 0

    @contextmanager
    def open_buffer(self) -> Iterator['BodyBuffer']:
        """Open a buffer for one body; its bytes are free once it closes."""
        buffer = BodyBuffer(self)
        try:
            yield buffer
        finally:
            buffer.clear()


class BodyBuffer:
    """One body, as far as it has arrived."""

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.body = bytearray()

        # Bytes that have arrived, also once they are taken.
        self.length = 0

    def add(self, part: bytes) -> Failure | None:
        """Add a part of the body; return a failure if it is too much."""
        limits = self.budget.limits
        length = self.length + len(part)
        if length > limits.body_bytes:
            detail = f'the body exceeds {limits.body_bytes} bytes'
            return fail(limits.too_large, detail)
        growth = find_shared_bytes(length) - find_shared_bytes(self.length)
        shared_bytes = self.budget.shared_bytes + growth
        if growth and shared_bytes > SHARED_BYTES_LIMIT:
            detail = (
                f'all bodies exceed {SHARED_BYTES_LIMIT} bytes, '
                f'{length} of them are of this one'
            )
            return fail(limits.no_room, detail)
        self.budget.shared_bytes = shared_bytes
        self.length = length
        self.body += part
        return None

    def take(self) -> bytes:
        """Return the body; it counts until the buffer is cleared."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def clear(self) -> None:
        """Drop the body, which counts no more."""
        self.budget.shared_bytes -= find_shared_bytes(self.length)
        self.length = 0
        self.body = bytearray()


def find_shared_bytes(length: int) -> int:
    """Return how many bytes a body of a length takes out of the budget."""
    return max(length - OWN_BYTES, 0)
