"""Local replica of the store's release note and upstreams.

Records from the store and from peers are merged by the position at which they
were last changed, so that an older one never replaces a newer one, whatever its
source. After a restore of the store all its records are newer.
"""

import logging
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err, Result

from cranberryrelay.codes import Failure
from cranberryrelay.relay._catalogue import RoutingTable, Upstream
from cranberryrelay.relay._peer_messages import (
    NoteShare,
    UpstreamShare,
    UpstreamSnapshot,
)
from cranberryrelay.relay._records import (
    STORE_ORIGIN,
    KindListing,
    KindRecord,
    RecordChange,
    StorePosition,
)
from cranberryrelay.relay._removal_history import Removal, RemovalHistory
from cranberryrelay.relay._state import RelayState

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


class Departed(NamedTuple):
    """An upstream whose record was removed."""

    # The upstream as last known.
    upstream: Upstream

    # State of the store by which its record was removed.
    position: StorePosition

    def is_outdated(self, found: Upstream, position: StorePosition) -> bool:
        """Return whether a record was written before the removal was lost.

        In the same era a record at a later position was written later. In a
        later era only the upstream's own count of its reports tells.
        """
        return (
            position.era > self.position.era
            and found.started_at_ms == self.upstream.started_at_ms
            and 0 < found.report_number <= self.upstream.report_number
        )


class StoreReplica:
    """Merges records from the store and from peers into the state."""

    def __init__(self, state: RelayState, decoders: Decoders) -> None:
        self.state = state
        self.decoders = decoders
        self.note_value: Any = None
        self.upstream_records: dict[str, KindRecord] = {}
        self.removals = RemovalHistory()
        self.departed: dict[str, Departed] = {}
        self.upstream_position = STORE_ORIGIN
        self.invalid_names: set[str] = set()

        # Upstreams as last known whose records are invalid now.
        self.withdrawn: dict[str, Upstream] = {}
        self.logged_note_fault = ''

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
            self.log_invalid_note(table.unwrap_err().detail, source)
            return
        if self.state.apply_table(table.unwrap(), source):
            self.note_value = record.value

    def apply_upstream_listing(self, listing: KindListing) -> None:
        """Apply a listing of all upstreams; remove those that it lacks."""
        listed = {record.name for record in listing.records}
        for record in listing.records:
            self.apply_upstream_record(record, FROM_STORE)
        self.remove_missing(listed, listing.position, FROM_STORE)
        self.state.upstreams_listed = True
        self.skip_to_position(listing.position)

    def apply_upstream_changes(self, change: RecordChange) -> None:
        """Apply changes of upstreams from the store."""
        for record in change.changed:
            self.apply_upstream_record(record, FROM_STORE)
        for name in change.removed:
            self.remove_upstream(name, change.position, FROM_STORE)
        self.advance_position(change.position)

    def apply_upstream_record(self, record: KindRecord, source: str) -> None:
        """Apply the record of an upstream if it is newer than the known one."""
        known = self.upstream_records.get(record.name)
        known_position = max(
            known.position if known else STORE_ORIGIN,
            self.removals.find_position(record.name),
        )
        if known_position >= record.position:
            self.log_older_record(record, known_position, source)
            return
        upstream = self.decoders.decode_upstream(record)
        if isinstance(upstream, Err):
            self.withdraw_upstream(record, upstream.unwrap_err(), source)
            return
        self.upstream_records[record.name] = record
        self.invalid_names.discard(record.name)
        self.apply_upstream(upstream.unwrap(), record.position, source)

    def withdraw_upstream(
        self, record: KindRecord, failure: Failure, source: str
    ) -> None:
        """Use an upstream no more whose record has become invalid.

        Only the position of the record is kept, so that no older record comes
        back and peers are not sent a value that they cannot decode. That says
        nothing of the upstream's process: the requests that it runs go on.
        """
        name = record.name
        self.upstream_records[name] = record._replace(value=None)
        self.log_invalid_record(name, failure)
        known = self.state.fleet.upstreams.get(name)
        if known is not None:
            self.withdrawn[name] = known
            self.state.remove_upstream(name, source, ended=False)

    def apply_upstream(
        self, upstream: Upstream, position: StorePosition, source: str
    ) -> None:
        """Apply an upstream; what is final for an incarnation stays so.

        A restored store may still name an incarnation that has left, or name
        one as ready that has reported that it is leaving.
        """
        departed = self.departed.get(upstream.name)
        if departed and departed.is_outdated(upstream, position):
            _LOG.info(
                'report of an upstream that has left',
                extra={
                    'upstream': upstream.name,
                    'report_number': upstream.report_number,
                    'position': position,
                },
            )
            return
        known = self.state.fleet.upstreams.get(
            upstream.name
        ) or self.withdrawn.pop(upstream.name, None)
        if known is None and departed:
            known = departed.upstream
        if (
            known
            and known.leaving
            and known.started_at_ms == upstream.started_at_ms
        ):
            upstream = upstream._replace(leaving=True)
        self.departed.pop(upstream.name, None)
        self.state.apply_upstream(upstream, source)

    def remove_upstream(
        self, name: str, position: StorePosition, source: str
    ) -> None:
        """Remove an upstream, unless a newer record of it is known."""
        known = self.upstream_records.get(name)
        if known and known.position > position:
            removed = KindRecord(name, position, None)
            self.log_older_record(removed, known.position, source)
            return
        self.upstream_records.pop(name, None)
        discarded = self.removals.record(Removal(name, position))
        if discarded is not None:
            self.departed.pop(discarded.name, None)
        self.invalid_names.discard(name)
        withdrawn = self.withdrawn.pop(name, None)
        upstream = self.state.fleet.upstreams.get(name) or withdrawn
        if upstream is not None:
            self.departed[name] = Departed(upstream, position)
        self.state.remove_upstream(name, source)

    def remove_missing(
        self, found: set[str], position: StorePosition, source: str
    ) -> None:
        """Remove the upstreams that a list of all upstreams lacks."""
        for name in self.upstream_records.keys() - found:
            self.remove_upstream(name, position, source)

    def advance_position(self, position: StorePosition) -> None:
        """Advance the position up to which the upstreams are known."""
        self.upstream_position = max(self.upstream_position, position)

    def skip_to_position(self, position: StorePosition) -> None:
        """Advance the position past changes that are known by their result.

        Upstreams that came and went meanwhile were never known here, but a
        peer may know them.
        """
        if position > self.upstream_position:
            self.removals.record_gap_before(position)
            self.upstream_position = position

    def known_era(self) -> int:
        """Return the latest era of the store that this instance knows."""
        return self.upstream_position.era

    def log_older_record(
        self, record: KindRecord, known_position: StorePosition, source: str
    ) -> None:
        """Log a record or removal that the store sent and that is ignored.

        Peers send older ones all the time, the store hardly ever.
        """
        if source == FROM_STORE and record.position < known_position:
            _LOG.warning(
                'older upstream record ignored',
                extra={
                    'upstream': record.name,
                    'position': record.position,
                    'known_position': known_position,
                },
            )

    def log_invalid_record(self, name: str, failure: Failure) -> None:
        """Count an invalid record; log it once per upstream."""
        self.state.telemetry.count_invalid_record('upstream')
        if name in self.invalid_names:
            return
        self.invalid_names.add(name)
        _LOG.warning(
            'invalid upstream record',
            extra={'upstream': name, 'detail': failure.detail},
        )

    def log_invalid_note(self, detail: str, source: str) -> None:
        """Count an invalid note; log it if its fault differs from the last."""
        self.state.telemetry.count_invalid_record('note')
        if detail != self.logged_note_fault:
            self.logged_note_fault = detail
            extra = {'detail': detail, 'source': source}
            _LOG.error('invalid release note', extra=extra)

    def make_note_share(self) -> NoteShare | None:
        """Return the release note in force for a peer; None without one."""
        if self.note_value is None:
            return None
        return NoteShare(self.note_value)

    def make_upstream_repair(
        self, after: StorePosition
    ) -> UpstreamShare | UpstreamSnapshot:
        """Return the upstreams that changed after a position for a peer.

        After a position in an earlier era these are all upstreams. Where
        removals since the position may be unknown here, all names tell which
        upstreams are gone.
        """
        changed = [
            (record.name, record.position, record.value)
            for record in self.upstream_records.values()
            if record.position > after
        ]
        position = self.upstream_position
        if after.era == position.era and after < self.removals.complete_after:
            names = list(self.upstream_records)
            return UpstreamSnapshot(changed, names, after, position)
        removed = [
            name
            for name in self.removals.names_after(after)
            if name not in self.upstream_records
        ]
        return UpstreamShare(changed, removed, after, position)

    def apply_note_share(self, share: NoteShare) -> None:
        """Apply a release note from a peer."""
        record = KindRecord(self.decoders.note_name, STORE_ORIGIN, share.value)
        self.apply_note(record, FROM_PEER)

    def apply_upstream_share(self, share: UpstreamShare) -> None:
        """Apply changes of upstreams from a peer.

        The known position advances only if the changes leave no gap after it.
        Changes since an earlier era are all upstreams of the later one: the
        others are gone.
        """
        self.apply_shared_records(share.changed)
        for name in share.removed:
            self.remove_upstream(name, share.position, FROM_PEER)
        if share.after.era < share.position.era:
            shared = {name for name, _, _ in share.changed}
            self.remove_missing(shared, share.position, FROM_PEER)
            self.finish_repair(share, self.skip_to_position)
        else:
            self.finish_repair(share, self.advance_position)

    def apply_upstream_snapshot(self, snapshot: UpstreamSnapshot) -> None:
        """Apply changes of upstreams from a peer that names all upstreams."""
        self.apply_shared_records(snapshot.changed)
        found = set(snapshot.names)
        self.remove_missing(found, snapshot.position, FROM_PEER)
        self.finish_repair(snapshot, self.skip_to_position)

    def apply_shared_records(
        self, changed: list[tuple[str, StorePosition, Any]]
    ) -> None:
        """Apply records of upstreams from a peer."""
        for name, position, value in changed:
            self.apply_upstream_record(
                KindRecord(name, position, value), FROM_PEER
            )

    def finish_repair(
        self,
        repair: UpstreamShare | UpstreamSnapshot,
        advance: Callable[[StorePosition], None],
    ) -> None:
        """Advance the position, unless the repair leaves a gap after it.

        One that was meant for an earlier incarnation of this instance may
        contain few of the upstreams.
        """
        if repair.after > self.upstream_position:
            return
        if self.state.upstreams_listed:
            advance(repair.position)
        if repair.changed:
            self.state.upstreams_listed = True
