"""Decides when an instance that has just started may serve.

The store may hold an older release note than the one in force: if it was
restored from an older copy, until the operator writes the newer note again. The
running instances still know that note, so a new one serves only once a running
one has told it its revision, or none is running: each instance that the store
names has said that it waits as well, or has not answered in time.
"""

import logging
from typing import Final, NamedTuple

# Time to wait for an answer of a running instance, from when a note is known.
PEER_ANSWER_SECONDS: Final = 1.0

# Revision in the heartbeats of an instance that does not serve yet.
NO_REVISION: Final = -1
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class StartNotice(NamedTuple):
    """Tells that the sender has started and waits before it serves."""

    # Revision of the newest release note that it has read.
    revision: int


class StartCheck:
    """Compares the first note of an instance with those in force at peers."""

    def __init__(self) -> None:
        self.passed = True
        self.peer_revision = NO_REVISION
        self.waiting_since: float | None = None

        # Peers that the store names; None until it has been read.
        self.named_peers: frozenset[str] | None = None

        # Newest release note that each waiting peer has read, by name.
        self.waiting_peers: dict[str, int] = {}

    def begin(self) -> None:
        """Make the instance wait for an answer of its peers."""
        self.passed = False

    def expect_peers(self, names: frozenset[str]) -> None:
        """Record which peers the store names."""
        self.named_peers = names

    def record_peer(self, revision: int) -> None:
        """Record the revision in force at a peer."""
        self.peer_revision = max(self.peer_revision, revision)

    def record_waiting(self, peer: str, notice: StartNotice) -> None:
        """Record a peer that waits as well."""
        self.waiting_peers[peer] = notice.revision

    def confirmed(self, revision: int) -> int:
        """Return the revision that peers may rely on."""
        return revision if self.passed else NO_REVISION

    def nobody_serves(self, revision: int) -> bool:
        """Return whether all named peers wait, with no newer note than this."""
        if not self.named_peers or self.peer_revision > NO_REVISION:
            return False
        if not self.named_peers <= self.waiting_peers.keys():
            return False
        return max(self.waiting_peers.values()) <= revision

    def record_absence(self, seconds: float) -> None:
        """Leave out of the wait a time in which no peer could be heard."""
        if self.waiting_since is not None:
            self.waiting_since += seconds

    def update(self, revision: int, now: float) -> None:
        """Pass once the revision in force is confirmed or nobody serves."""
        if self.passed or revision == NO_REVISION:
            return
        if self.waiting_since is None:
            self.waiting_since = now
        confirmed = NO_REVISION < self.peer_revision <= revision
        alone = self.nobody_serves(revision)
        waited = now - self.waiting_since
        if confirmed or alone or waited >= PEER_ANSWER_SECONDS:
            self.passed = True
            _LOG.info(
                'start check passed',
                extra={
                    'revision': revision,
                    'peer_revision': self.peer_revision,
                    'waiting_peers': len(self.waiting_peers),
                    'waited_seconds': round(waited, 3),
                },
            )
