"""Decides when an instance that has just started may serve.

The store may hold an older release note than the one in force: if it was
restored from an older copy, until the operator writes the newer note again. The
running instances still know that note, so a new one serves only once a running
one has told it its revision, or none has answered.
"""

import logging
from typing import Final

# Time to wait for an answer of a running instance, from when a note is known.
PEER_ANSWER_SECONDS: Final = 1.0

# Revision in the heartbeats of an instance that does not serve yet.
NO_REVISION: Final = -1
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class StartCheck:
    """Compares the first note of an instance with those in force at peers."""

    def __init__(self) -> None:
        self.passed = True
        self.peer_revision = NO_REVISION
        self.waiting_since: float | None = None

    def begin(self) -> None:
        """Make the instance wait for an answer of its peers."""
        self.passed = False

    def record_peer(self, revision: int) -> None:
        """Record the revision in force at a peer."""
        self.peer_revision = max(self.peer_revision, revision)

    def confirmed(self, revision: int) -> int:
        """Return the revision that peers may rely on."""
        return revision if self.passed else NO_REVISION

    def update(self, revision: int, now: float) -> None:
        """Pass once the revision in force is confirmed or nobody answers."""
        if self.passed or revision == NO_REVISION:
            return
        if self.waiting_since is None:
            self.waiting_since = now
        confirmed = NO_REVISION < self.peer_revision <= revision
        waited = now - self.waiting_since
        if confirmed or waited >= PEER_ANSWER_SECONDS:
            self.passed = True
            _LOG.info(
                'start check passed',
                extra={
                    'revision': revision,
                    'peer_revision': self.peer_revision,
                    'waited_seconds': round(waited, 3),
                },
            )
