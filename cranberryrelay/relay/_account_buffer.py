"""Buffers the account: the note revision in force for each request.

Requests that this instance admitted are held here until a segment, which
groups them by revision, is written to the store.
"""

import logging
from typing import Final, NamedTuple, TypedDict

# Requests held at most; further requests are dropped, which is logged.
BUFFER_LIMIT: Final = 20_000
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class AccountEntry(NamedTuple):
    """A request and the note revision in force at its admission."""

    # Request id of the caller's attempt.
    request_id: str

    # Note revision in force.
    revision: int


class SegmentFields(TypedDict):
    """A segment of the account as stored."""

    # Name of the instance that wrote the segment.
    instance: str

    # Unix time of writing in seconds; informational only.
    written_at: float

    # Digest of the previous segment of the same incarnation; '' for the first.
    previous: str

    # Request ids by the note revision in force, written as text.
    requests: dict[str, list[str]]


class AccountBuffer:
    """Holds the requests that are not in a segment yet."""

    def __init__(self) -> None:
        self.entries: list[AccountEntry] = []
        self.dropped = 0

    def add(self, request_id: str, revision: int) -> None:
        """Add a request at its admission.

        Requests beyond the limit are missing from the account.  This is
        logged when the first one is dropped, and with their number when the
        buffer is drained.
        """
        if len(self.entries) >= BUFFER_LIMIT:
            if not self.dropped:
                _LOG.error('account buffer full', extra={'held': BUFFER_LIMIT})
            self.dropped += 1
            return
        self.entries.append(AccountEntry(request_id, revision))

    def remove(self, request_id: str) -> None:
        """Remove a request that another instance runs."""
        self.entries = [
            entry for entry in self.entries if entry.request_id != request_id
        ]

    def drain(self) -> list[AccountEntry]:
        """Remove and return all entries."""
        if self.dropped:
            _LOG.error(
                'requests missing from account', extra={'count': self.dropped}
            )
            self.dropped = 0
        drained = self.entries
        self.entries = []
        return drained


def group_by_revision(entries: list[AccountEntry]) -> dict[str, list[str]]:
    """Group request ids by note revision."""
    grouped: dict[str, list[str]] = {}
    for entry in entries:
        grouped.setdefault(str(entry.revision), []).append(entry.request_id)
    return grouped
