"""What an instance finds out about engines and others want to know."""

from typing import Final, NamedTuple

from cranberryrelay.relay._prefix_index import CachedPart

# An upstream's failures in one beat beyond this many are not told.
FAILURES_LIMIT: Final = 4


class News(NamedTuple):
    """What was learned since the last beat."""

    # Parts that engines were given to read.
    parts: list[CachedPart]

    # Upstreams that could not be reached.
    unreachable: list[str]

    # Upstreams that failed or refused a request, once for each.
    failed: list[str]

    # Upstreams that answer again.
    recovered: list[str]

    def extend(self, other: 'News') -> None:
        """Add what was learned elsewhere."""
        self.parts.extend(other.parts)
        _add_new(self.unreachable, other.unreachable)
        _add_new(self.recovered, other.recovered)
        for name in other.failed:
            self.add_failure(name)

    def add_failure(self, name: str) -> None:
        """Add a request that an upstream failed."""
        if self.failed.count(name) < FAILURES_LIMIT:
            self.failed.append(name)

    def is_empty(self) -> bool:
        """Tell if there is nothing to tell."""
        return not any(self)


def make_news() -> News:
    """Make news with nothing in them."""
    return News([], [], [], [])


def _add_new(known: list[str], names: list[str]) -> None:
    known.extend(name for name in names if name not in known)
