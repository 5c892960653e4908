"""Which revision was in force for the requests that ran here.

Requests are kept in runs of one revision until a segment takes them to the
store.
"""

import logging
from typing import Final, NamedTuple, TypedDict

# Requests held at most; later ones are left out, which is logged.
HELD_LIMIT: Final = 20_000
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class AccountEntry(NamedTuple):
    """A request and the revision in force at its admission."""

    # Id of the caller's attempt.
    request_id: str

    # Revision in force.
    revision: int


class SegmentFields(TypedDict):
    """A segment of the account as it lies in the store."""

    # Instance that wrote it.
    instance: str

    # Unix time of writing, for people.
    written_at: float

    # Seal of the segment before it of the same incarnation; '' for the first.
    previous: str

    # Ids of requests by the revision that was in force, as text.
    requests: dict[str, list[str]]


class AccountBook:
    """Requests that no segment holds yet."""

    def __init__(self) -> None:
        self.entries: list[AccountEntry] = []
        self.given_up = 0

    def note(self, request_id: str, revision: int) -> None:
        """Note a request at its admission.

        Beyond the limit it is left out of the account, which is logged when
        that begins and, with the number, when it ends.
        """
        if len(self.entries) >= HELD_LIMIT:
            if not self.given_up:
                _LOG.error('account full', extra={'held': HELD_LIMIT})
            self.given_up += 1
            return
        self.entries.append(AccountEntry(request_id, revision))

    def take(self) -> list[AccountEntry]:
        """Take out all entries."""
        if self.given_up:
            _LOG.error('requests not accounted', extra={'count': self.given_up})
            self.given_up = 0
        taken = self.entries
        self.entries = []
        return taken


def group_by_revision(entries: list[AccountEntry]) -> dict[str, list[str]]:
    """Group the ids of requests by revision."""
    grouped: dict[str, list[str]] = {}
    for entry in entries:
        grouped.setdefault(str(entry.revision), []).append(entry.request_id)
    return grouped
