"""Local replica of the store's release note and upstreams.

Records from the store and from peers are merged by revision, so that an older
one never replaces a newer one, whatever its source.
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

# Most removals that are kept for repairs of peers.
REMOVALS_LIMIT: Final = 512
FROM_STORE: Final = 'store'
FROM_PEER: Final = 'peer'
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class Decoders(NamedTuple):
    """Decoders of the values in the store."""

    # Decodes a release note.
    decode_table: Callable[[Any], Result[RoutingTable, Failure]]

    # Decodes the record of an upstream.
    decode_upstream: Callable[[KindRecord], Result[Upstream, Failure]]

    # Name of the record that holds the release note.
    note_name: str


class Removal(NamedTuple):
    """Removal of an upstream's record."""

    # Name of the upstream.
    name: str

    # Revision of the store by which the record was removed.
    revision: int


class StoreReplica:
    """Merges records from the store and from peers into the state."""

    def __init__(self, state: RelayState, decoders: Decoders) -> None:
        self.state = state
        self.decoders = decoders
        self.note_value: Any = None
        self.upstream_records: dict[str, KindRecord] = {}
        self.removals: deque[Removal] = deque(maxlen=REMOVALS_LIMIT)
        self.removal_revisions: dict[str, int] = {}
        self.upstream_revision = 0
        self.invalid_names: set[str] = set()

    def apply_note_listing(self, listing: KindListing) -> None:
        """Apply a listing of the configuration."""
        for record in listing.records:
            self.apply_note(record, FROM_STORE)

    def apply_note_changes(self, change: RecordChange) -> None:
        """Apply changes of the configuration."""
        for record in change.changed:
            self.apply_note(record, FROM_STORE)

    def apply_note(self, record: KindRecord, source: str) -> None:
        """Apply a release note if it is newer than the one in force."""
        if record.name != self.decoders.note_name:
            return
        table = self.decoders.decode_table(record.value)
        if isinstance(table, Err):
            _LOG.error(
                'invalid release note',
                extra={
                    'detail': table.unwrap_err().detail,
                    'source': source,
                },
            )
            return
        if self.state.apply_table(table.unwrap(), source):
            self.note_value = record.value

    def apply_upstream_listing(self, listing: KindListing) -> None:
        """Apply a listing of all upstreams; remove those that it lacks."""
        listed = {record.name for record in listing.records}
        for record in listing.records:
            self.apply_upstream_record(record, FROM_STORE)
        for name in self.upstream_records.keys() - listed:
            self.remove_upstream(name, listing.revision, FROM_STORE)
        self.state.upstreams_listed = True
        self.advance_revision(listing.revision)

    def apply_upstream_changes(self, change: RecordChange) -> None:
        """Apply changes of upstreams from the store."""
        for record in change.changed:
            self.apply_upstream_record(record, FROM_STORE)
        for name in change.removed:
            self.remove_upstream(name, change.revision, FROM_STORE)
        self.advance_revision(change.revision)

    def apply_upstream_record(self, record: KindRecord, source: str) -> None:
        """Apply the record of an upstream if it is newer than the known one."""
        known = self.upstream_records.get(record.name)
        known_revision = max(
            known.revision if known else 0,
            self.removal_revisions.get(record.name, 0),
        )
        if known_revision >= record.revision:
            self.log_older_record(record, known_revision, source)
            return
        self.upstream_records[record.name] = record
        upstream = self.decoders.decode_upstream(record)
        if isinstance(upstream, Err):
            self.log_invalid_record(record.name, upstream.unwrap_err())
            self.state.remove_upstream(record.name, source)
            return
        self.invalid_names.discard(record.name)
        self.state.apply_upstream(upstream.unwrap(), source)

    def remove_upstream(self, name: str, revision: int, source: str) -> None:
        """Remove an upstream, unless a newer record of it is known."""
        known = self.upstream_records.get(name)
        if known and known.revision > revision:
            removed = KindRecord(name, revision, None)
            self.log_older_record(removed, known.revision, source)
            return
        self.upstream_records.pop(name, None)
        self.record_removal(Removal(name, revision))
        self.state.remove_upstream(name, source)

    def record_removal(self, removal: Removal) -> None:
        """Record a removal; discard the oldest one at the limit."""
        if len(self.removals) == REMOVALS_LIMIT:
            oldest = self.removals.popleft()
            if self.removal_revisions.get(oldest.name) == oldest.revision:
                self.removal_revisions.pop(oldest.name)
        self.removal_revisions[removal.name] = removal.revision
        self.removals.append(removal)

    def advance_revision(self, revision: int) -> None:
        """Advance the revision up to which the upstreams are known."""
        self.upstream_revision = max(self.upstream_revision, revision)

    def log_older_record(
        self, record: KindRecord, known_revision: int, source: str
    ) -> None:
        """Log a record or removal that the store sent and that is ignored.

        Peers send older ones all the time, the store hardly ever.
        """
        if source == FROM_STORE and record.revision < known_revision:
            _LOG.warning(
                'older upstream record ignored',
                extra={
                    'upstream': record.name,
                    'revision': record.revision,
                    'known_revision': known_revision,
                },
            )

    def log_invalid_record(self, name: str, failure: Failure) -> None:
        """Log an invalid record once per upstream."""
        if name in self.invalid_names:
            return
        self.invalid_names.add(name)
        _LOG.warning(
            'invalid upstream record',
            extra={'upstream': name, 'detail': failure.detail},
        )

    def make_note_share(self) -> NoteShare | None:
        """Return the release note in force for a peer; None without one."""
        if self.note_value is None:
            return None
        return NoteShare(self.note_value)

    def make_upstream_share(self, after: int) -> UpstreamShare:
        """Return the upstreams that changed after a revision for a peer."""
        changed = [
            (record.name, record.revision, record.value)
            for record in self.upstream_records.values()
            if record.revision > after
        ]
        removed = [
            removal.name
            for removal in self.removals
            if removal.revision > after
            and removal.name not in self.upstream_records
        ]
        if len(self.removals) == REMOVALS_LIMIT:
            # Removals older than the first one kept may be missing.
            after = max(after, self.removals[0].revision)
        return UpstreamShare(changed, removed, after, self.upstream_revision)

    def apply_note_share(self, share: NoteShare) -> None:
        """Apply a release note from a peer."""
        record = KindRecord(self.decoders.note_name, 0, share.value)
        self.apply_note(record, FROM_PEER)

    def apply_upstream_share(self, share: UpstreamShare) -> None:
        """Apply changes of upstreams from a peer.

        The known revision advances only if the changes leave no gap after it.
        """
        for name, revision, value in share.changed:
            self.apply_upstream_record(
                KindRecord(name, revision, value), FROM_PEER
            )
        for name in share.removed:
            self.remove_upstream(name, share.revision, FROM_PEER)
        if (
            self.state.upstreams_listed
            and share.after <= self.upstream_revision
        ):
            self.advance_revision(share.revision)
        if share.changed:
            self.state.upstreams_listed = True
