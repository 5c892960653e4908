"""Peer updates: what an instance learns about engines and reports to others."""

from typing import Final, NamedTuple

from cranberryrelay.relay._prefix_index import CachedSegment
from cranberryrelay.relay._stream_versions import AnnouncedStreams

# Most failures of an upstream that one heartbeat reports.
FAILURES_LIMIT: Final = 4


class PeerUpdate(NamedTuple):
    """Peer update: what was learned since the last heartbeat."""

    # Prompt parts that engines were sent to read and will have cached.
    cached_parts: list[CachedSegment]

    # Upstreams that could not be reached.
    unreachable: list[str]

    # Upstreams that failed or refused a request, one entry per request.
    failed: list[str]

    # Upstreams that answer again.
    recovered: list[str]

    # Streams that engines have begun, if several software versions serve.
    begun_streams: list[AnnouncedStreams]

    def merge(self, other: 'PeerUpdate') -> None:
        """Add the entries of another peer update."""
        self.cached_parts.extend(other.cached_parts)
        self.begun_streams.extend(other.begun_streams)
        _append_missing(self.unreachable, other.unreachable)
        _append_missing(self.recovered, other.recovered)
        for name in other.failed:
            self.add_failure(name)

    def without_failures(self) -> 'PeerUpdate':
        """Return the update without failures of upstreams."""
        return self._replace(unreachable=[], failed=[])

    def only_failures(self) -> 'PeerUpdate':
        """Return an update with only the failures of upstreams."""
        return make_peer_update()._replace(
            unreachable=self.unreachable, failed=self.failed
        )

    def add_failure(self, name: str) -> None:
        """Add a request that failed at an upstream."""
        if self.failed.count(name) < FAILURES_LIMIT:
            self.failed.append(name)

    def is_empty(self) -> bool:
        """Return whether there is nothing to report."""
        return not any(self)


def make_peer_update() -> PeerUpdate:
    """Return an empty peer update."""
    return PeerUpdate([], [], [], [], [])


def _append_missing(known: list[str], names: list[str]) -> None:
    known.extend(name for name in names if name not in known)
