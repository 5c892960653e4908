"""What an instance finds out about engines and others want to know."""

from typing import NamedTuple

from cranberryrelay.relay._prefix_index import CachedPart


class News(NamedTuple):
    """What was learned since the last beat."""

    # Parts that engines were given to read.
    parts: list[CachedPart]

    # Upstreams that could not be reached.
    unreachable: list[str]

    def extend(self, other: 'News') -> None:
        """Add what was learned elsewhere."""
        self.parts.extend(other.parts)
        fresh = [
            name for name in other.unreachable if name not in self.unreachable
        ]
        self.unreachable.extend(fresh)
