"""Removals of upstreams that are kept for repairs of peers."""

from collections import deque
from collections.abc import Iterator
from typing import Final, NamedTuple

from cranberryrelay.relay._records import STORE_ORIGIN, StorePosition

# Most removals that are kept for repairs of peers.
REMOVALS_LIMIT: Final = 512


class Removal(NamedTuple):
    """Removal of an upstream's record."""

    # Name of the upstream.
    name: str

    # State of the store by which the record was removed.
    position: StorePosition


class RemovalHistory:
    """The latest removals, and after which position none is missing.

    A listing shows which records there are, not which ones came and went since
    the last known position.
    """

    def __init__(self) -> None:
        self.removals: deque[Removal] = deque()
        self.positions: dict[str, StorePosition] = {}

        # State of the store after which all removals are known.
        self.complete_after = STORE_ORIGIN

    def record(self, removal: Removal) -> Removal | None:
        """Record a removal; return the one that was discarded at the limit.

        Returns None too if the upstream of that one was removed again later.
        """
        discarded = self._discard_oldest()
        self.positions[removal.name] = removal.position
        self.removals.append(removal)
        return discarded

    def record_gap_before(self, position: StorePosition) -> None:
        """Record that removals before a position may be missing."""
        self.complete_after = max(self.complete_after, position)

    def find_position(self, name: str) -> StorePosition:
        """Return by which state an upstream was removed, if it was."""
        return self.positions.get(name, STORE_ORIGIN)

    def names_after(self, position: StorePosition) -> Iterator[str]:
        """Yield the names of upstreams that were removed after a position."""
        for removal in self.removals:
            if removal.position > position:
                yield removal.name

    def _discard_oldest(self) -> Removal | None:
        if len(self.removals) < REMOVALS_LIMIT:
            return None
        oldest = self.removals.popleft()
        self.record_gap_before(oldest.position)
        if self.positions.get(oldest.name) != oldest.position:
            return None
        self.positions.pop(oldest.name)
        return oldest
