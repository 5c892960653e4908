"""Estimates which prompt segments are in the prefix cache of each engine.

Engines evict the least recently used segments; the index models this with a
share of their memory.  It is fed by the prompts that this instance sends and
by those that peers report.
"""

from collections import OrderedDict
from typing import Final, NamedTuple

from cranberryrelay.relay._requests import PromptSegment

# Share of an engine's memory that is assumed to hold reusable segments; the
# rest holds running requests and segments that are never requested again.
CACHED_SHARE: Final = 0.5


class CachedSegment(NamedTuple):
    """A prompt segment that an engine has prefilled."""

    # Name of the engine's incarnation.
    engine: str

    # Digest of the segment.
    digest: str

    # Length of the segment in tokens.
    tokens: int


class _EngineCache:
    """Estimated cache of one engine, least recently used segment first."""

    def __init__(self) -> None:
        self.segments: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0

    def touch(self, segment: PromptSegment, capacity_tokens: int) -> None:
        """Mark a segment as most recently used; evict others if needed."""
        self.tokens += segment.tokens - self.segments.pop(segment.digest, 0)
        self.segments[segment.digest] = segment.tokens
        while self.tokens > capacity_tokens and len(self.segments) > 1:
            _, evicted = self.segments.popitem(last=False)
            self.tokens -= evicted


class PrefixIndex:
    """Estimated prefix caches by engine."""

    def __init__(self) -> None:
        self.engines: dict[str, _EngineCache] = {}

    def record(
        self,
        engine: str,
        segments: tuple[PromptSegment, ...],
        capacity_tokens: int,
    ) -> None:
        """Record that an engine prefills the segments."""
        cache = self.engines.setdefault(engine, _EngineCache())
        limit = int(capacity_tokens * CACHED_SHARE)
        for segment in segments:
            cache.touch(segment, limit)

    def cached_tokens(
        self, engine: str, segments: tuple[PromptSegment, ...]
    ) -> int:
        """Return how many tokens of a prompt are expected to be cache hits.

        A segment counts only if all segments before it are cached too.
        """
        cache = self.engines.get(engine)
        if cache is None:
            return 0
        total = 0
        for segment in segments:
            if segment.digest not in cache.segments:
                break
            total += segment.tokens
        return total

    def remove_engine(self, engine: str) -> None:
        """Drop the cache of an engine that has left or restarted."""
        self.engines.pop(engine, None)
