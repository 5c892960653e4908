"""What the store and the peers tell of release notes and upstreams.

Both sources are merged by revision, so that what is older never replaces
what is newer, whoever tells it.
"""

import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err, Result

from cranberryrelay.codes import Failure
from cranberryrelay.relay._catalogue import RoutingTable, Upstream
from cranberryrelay.relay._peer_messages import NoteShare, UpstreamShare
from cranberryrelay.relay._records import (
    KindListing,
    KindRecord,
    RecordChange,
)
from cranberryrelay.relay._state import RelayState

# Removals that are remembered to be told to peers.
REMOVALS_LIMIT: Final = 512
FROM_STORE: Final = 'store'
FROM_PEER: Final = 'peer'
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class Decoders(NamedTuple):
    """Translation of the store's values."""

    # Decodes a release note.
    decode_table: Callable[[Any], Result[RoutingTable, Failure]]

    # Decodes an upstream's entry.
    decode_upstream: Callable[[KindRecord], Result[Upstream, Failure]]

    # Name of the record that holds the release note.
    note_name: str


class Removal(NamedTuple):
    """An entry that is gone."""

    # Name of the upstream.
    name: str

    # Revision of the store up to which that was learned.
    revision: int


class Knowledge:
    """Merges what is told into the state."""

    def __init__(self, state: RelayState, decoders: Decoders) -> None:
        self.state = state
        self.decoders = decoders
        self.note_value: Any = None
        self.entries: dict[str, KindRecord] = {}
        self.removals: deque[Removal] = deque(maxlen=REMOVALS_LIMIT)
        self.removed_at: dict[str, int] = {}
        self.upstream_revision = 0
        self.faulty: set[str] = set()

    def list_notes(self, listing: KindListing) -> None:
        """Take a listing of the configuration."""
        for record in listing.records:
            self.put_note(record, FROM_STORE)

    def change_notes(self, change: RecordChange) -> None:
        """Take changes of the configuration."""
        for record in change.changed:
            self.put_note(record, FROM_STORE)

    def put_note(self, record: KindRecord, source: str) -> None:
        """Take a release note if it is newer than the one in force."""
        if record.name != self.decoders.note_name:
            return
        table = self.decoders.decode_table(record.value)
        if isinstance(table, Err):
            _LOG.error(
                'note not readable',
                extra={
                    'detail': table.unwrap_err().detail,
                    'source': source,
                },
            )
            return
        if self.state.apply_table(table.unwrap(), source):
            self.note_value = record.value

    def list_upstreams(self, listing: KindListing) -> None:
        """Take a listing of all upstreams; those not in it are gone."""
        listed = {record.name for record in listing.records}
        for record in listing.records:
            self.put_upstream(record, FROM_STORE)
        for name in self.entries.keys() - listed:
            self.drop_upstream(name, listing.revision, FROM_STORE)
        self.state.listed_upstreams = True
        self.advance(listing.revision)

    def change_upstreams(self, change: RecordChange) -> None:
        """Take changes of upstreams from the store."""
        for record in change.changed:
            self.put_upstream(record, FROM_STORE)
        for name in change.removed:
            self.drop_upstream(name, change.revision, FROM_STORE)
        self.advance(change.revision)

    def put_upstream(self, record: KindRecord, source: str) -> None:
        """Take an upstream's entry if it is newer than the known one."""
        known = self.entries.get(record.name)
        if known and known.revision >= record.revision:
            return
        if self.removed_at.get(record.name, 0) >= record.revision:
            return
        self.entries[record.name] = record
        upstream = self.decoders.decode_upstream(record)
        if isinstance(upstream, Err):
            self.note_faulty(record.name, upstream.unwrap_err())
            self.state.remove_upstream(record.name, source)
            return
        self.faulty.discard(record.name)
        self.state.apply_upstream(upstream.unwrap(), source)

    def drop_upstream(self, name: str, revision: int, source: str) -> None:
        """Forget an upstream whose entry was removed."""
        known = self.entries.get(name)
        if known and known.revision > revision:
            return
        self.entries.pop(name, None)
        self.note_removal(Removal(name, revision))
        self.state.remove_upstream(name, source)

    def note_removal(self, removal: Removal) -> None:
        """Remember what is gone; forget the oldest beyond the limit."""
        if len(self.removals) == REMOVALS_LIMIT:
            oldest = self.removals.popleft()
            if self.removed_at.get(oldest.name) == oldest.revision:
                self.removed_at.pop(oldest.name)
        self.removed_at[removal.name] = removal.revision
        self.removals.append(removal)

    def advance(self, revision: int) -> None:
        """Note up to which revision the upstreams are known."""
        self.upstream_revision = max(self.upstream_revision, revision)

    def note_faulty(self, name: str, failure: Failure) -> None:
        """Log a faulty entry once."""
        if name in self.faulty:
            return
        self.faulty.add(name)
        _LOG.warning(
            'entry names no upstream',
            extra={'upstream': name, 'detail': failure.detail},
        )

    def share_note(self) -> NoteShare | None:
        """Return the release note in force for a peer."""
        if self.note_value is None:
            return None
        return NoteShare(self.note_value)

    def share_upstreams(self, after: int) -> UpstreamShare:
        """Return what has changed after a revision for a peer."""
        changed = [
            (record.name, record.revision, record.value)
            for record in self.entries.values()
            if record.revision > after
        ]
        removed = [
            one.name
            for one in self.removals
            if one.revision > after and one.name not in self.entries
        ]
        if len(self.removals) == REMOVALS_LIMIT:
            # Removals before the first one kept may be missing.
            after = max(after, self.removals[0].revision)
        return UpstreamShare(changed, removed, after, self.upstream_revision)

    def hear_note(self, share: NoteShare) -> None:
        """Take a release note from a peer."""
        record = KindRecord(self.decoders.note_name, 0, share.value)
        self.put_note(record, FROM_PEER)

    def hear_upstreams(self, share: UpstreamShare) -> None:
        """Take changes of upstreams from a peer.

        They complete what is known if they begin where that ends.
        """
        for name, revision, value in share.changed:
            self.put_upstream(KindRecord(name, revision, value), FROM_PEER)
        for name in share.removed:
            self.drop_upstream(name, share.revision, FROM_PEER)
        if (
            self.state.listed_upstreams
            and share.after <= self.upstream_revision
        ):
            self.advance(share.revision)
        if share.changed:
            self.state.listed_upstreams = True
