"""The idle limits that callers may go by, while the limit in force changes."""

from collections.abc import Callable


class IdleLimits:
    """Remembers each idle limit for as long as a caller may go by it.

    A connection may be reused under any limit that was in force since it became
    idle: a raised limit counts for it at once, a lowered one not at all.
    """

    def __init__(self, read_idle_seconds: Callable[[], float]) -> None:
        self.read_idle_seconds = read_idle_seconds

        # When each limit was last seen in force, in seconds, by the limit.
        self.seen_at: dict[float, float] = {}

    def find_longest(self, idle_since: float, now: float) -> float:
        """Return the longest limit seen in force since a time, in seconds.

        Called whenever a connection becomes idle, and as its time ends.
        """
        self.seen_at[self.read_idle_seconds()] = now
        self.seen_at = {
            limit: seen_at
            for limit, seen_at in self.seen_at.items()
            if seen_at + limit >= now
        }
        return max(
            limit
            for limit, seen_at in self.seen_at.items()
            if seen_at >= idle_since
        )
