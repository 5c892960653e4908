"""Subscribes to release notes and applies revisions, snapshots and evidence.

Entries and stewards both have a follower.  Its revision only increases,
except that a rejected record resets it to 0.
"""

from collections import deque
from functools import singledispatch
from typing import Any, Final

from cranberryrelay.agreement._effects import Effect, SendPeer
from cranberryrelay.agreement._evidence import Evidence, EvidenceTable
from cranberryrelay.agreement._membership import (
    MembershipIndex,
    digest_members,
)
from cranberryrelay.agreement._spread_messages import (
    ChangesPush,
    EvidencePush,
    MembersPush,
    SnapshotPush,
    Subscribe,
)
from cranberryrelay.notes import (
    FoldedNotes,
    NotesInForce,
    RecordChange,
    RevisionRecord,
    build_view,
    decode_snapshot,
    restore_snapshot,
    update_view,
)
from cranberryrelay.platform import ListedInstance

SUBSCRIBE_INTERVAL_SECONDS: Final = 1.0
PARENT_TIMEOUT_SECONDS: Final = 1.2
TAIL_LENGTH: Final = 256
_NONCES_KEPT: Final = 4


class Follower:
    """Notes in force, evidence and members, as known to one process."""

    def __init__(
        self, me: ListedInstance, seeds: tuple[ListedInstance, ...]
    ) -> None:
        self.me = me
        self.members = MembershipIndex(seeds)
        self.members_digest = ''
        self.folded = FoldedNotes()
        self.tail: deque[RevisionRecord] = deque(maxlen=TAIL_LENGTH)
        self.evidence_table = EvidenceTable()
        self.nonce = 0
        self.sent_at_by_nonce: dict[int, float] = {}
        self.parents: list[str] = []
        self.fallback_index = 0
        self.subscribed_at = float('-inf')
        self.evidence_received_at: dict[str, float] = {}
        self.started_at: float | None = None
        self.rejected_count = 0
        self.pending_changes: list[RecordChange] = []
        self.rebuild_view = True
        self.pieces: dict[int, bytes] = {}
        self.pieces_revision = 0

    def on_tick(
        self, now: float, parents: list[str] | None = None
    ) -> list[Effect]:
        """Renew the subscription if due, with a fallback parent if needed.

        ``parents`` replaces those derived from the list of instances.
        """
        if now - self.subscribed_at < SUBSCRIBE_INTERVAL_SECONDS:
            return []
        self.parents = parents or self.members.list_parents(self.me)
        if not self.parents:
            return []
        if self.started_at is None:
            self.started_at = now
        self.subscribed_at = now
        self.nonce += 1
        self.sent_at_by_nonce[self.nonce] = now
        self.sent_at_by_nonce.pop(self.nonce - _NONCES_KEPT, None)
        return [self._subscribe(parent) for parent in self._choose_parents(now)]

    def _choose_parents(self, now: float) -> list[str]:
        """Return the first parent, and another one while that times out."""
        preferred = self.parents[0]
        if not self._is_overdue(self.evidence_received_at.get(preferred), now):
            self.fallback_index = 0
            return [preferred]
        received_at = max(self.evidence_received_at.values(), default=None)
        if self._is_overdue(received_at, now) or self.fallback_index == 0:
            self.fallback_index += 1
        fallback = self.parents[self.fallback_index % len(self.parents)]
        return [preferred] if fallback == preferred else [preferred, fallback]

    def _is_overdue(self, received_at: float | None, now: float) -> bool:
        since = self.started_at if received_at is None else received_at
        return since is None or now - since > PARENT_TIMEOUT_SECONDS

    def receive(self, message: Any, now: float, sender: str) -> None:
        """Handle a message from a parent."""
        if isinstance(message, EvidencePush):
            self.evidence_received_at[sender] = now
        handle_parent_message(message, self, now)

    def apply_records(self, records: tuple[RevisionRecord, ...]) -> None:
        """Apply records in order, up to the first gap between revisions.

        Records that are already applied are skipped.  If a record is
        rejected, all notes are dropped.
        """
        for record in records:
            if record.revision <= self.folded.revision:
                continue
            if record.revision != self.folded.revision + 1:
                return
            applied = self.folded.apply(record)
            if applied.is_err():
                self.rejected_count += 1
                self.folded = FoldedNotes()
                self.rebuild_view = True
                self.tail.clear()
                return
            self.pending_changes.extend(applied.unwrap())
            self.tail.append(record)

    def adopt_if_newer(
        self, folded: FoldedNotes, tail: tuple[RevisionRecord, ...] = ()
    ) -> None:
        """Replace the folded notes by ``folded`` if it is newer."""
        if folded.revision > self.folded.revision:
            self.folded = folded
            self.rebuild_view = True
            self.tail = deque(tail, maxlen=TAIL_LENGTH)

    def refresh_view(self, view: NotesInForce | None) -> NotesInForce:
        """Return the typed view of the applied notes.

        Applies the pending changes to ``view`` if possible; otherwise
        rebuilds the view from all records.
        """
        changes = self.pending_changes
        self.pending_changes = []
        if view is None or self.rebuild_view:
            self.rebuild_view = False
            return build_view(self.folded.revision, self.folded.records)
        if view.revision == self.folded.revision:
            return view
        return update_view(view, self.folded.revision, changes)

    def add_snapshot_piece(self, message: SnapshotPush) -> None:
        """Store a piece of a snapshot; adopt the snapshot once complete."""
        if message.revision != self.pieces_revision:
            self.pieces = {}
            self.pieces_revision = message.revision
        self.pieces[message.piece] = message.body
        if len(self.pieces) < message.pieces:
            return
        body = b''.join(self.pieces[index] for index in sorted(self.pieces))
        self.pieces = {}
        restored = decode_snapshot(body).and_then(restore_snapshot)
        if restored.is_ok():
            self.adopt_if_newer(restored.unwrap())
        else:
            self.rejected_count += 1

    def _subscribe(self, parent: str) -> SendPeer:
        message = Subscribe(
            nonce=self.nonce,
            revision=self.folded.revision,
            digest=self.folded.digest.hexdigest(),
            members=self.members_digest,
            domain=self.me.domain,
        )
        return SendPeer(parent, message)


@singledispatch
def handle_parent_message(message: Any, follower: Follower, now: float) -> None:
    """Handle a message from a parent; count and ignore unknown types."""
    follower.rejected_count += 1


@handle_parent_message.register
def _(message: EvidencePush, follower: Follower, now: float) -> None:
    requested_at = follower.sent_at_by_nonce.get(message.nonce)
    if requested_at is None:
        return
    sent_at = min(requested_at + message.offset_seconds, now)
    follower.evidence_table.record(Evidence(sent_at, message.revision))


@handle_parent_message.register
def _(message: ChangesPush, follower: Follower, now: float) -> None:
    follower.apply_records(message.records)


@handle_parent_message.register
def _(message: SnapshotPush, follower: Follower, now: float) -> None:
    follower.add_snapshot_piece(message)


@handle_parent_message.register
def _(message: MembersPush, follower: Follower, now: float) -> None:
    follower.members = MembershipIndex(message.instances)
    follower.members_digest = digest_members(message.instances)
