"""A follower of release notes: subscribes, applies, ages its evidence.

Both the entry and the steward follow.  Revisions only ever rise here.
"""

from collections import deque
from functools import singledispatch
from typing import Any, Final

from cranberryrelay.agreement._effects import Effect, SendPeer
from cranberryrelay.agreement._evidence import Evidence, EvidenceBook
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
    amend_view,
    decode_snapshot,
    restore_snapshot,
    view_records,
)
from cranberryrelay.platform import ListedInstance

SUBSCRIBE_SECONDS: Final = 1.0
PARENT_SILENCE_SECONDS: Final = 1.2
TAIL_LENGTH: Final = 256
_NONCES_KEPT: Final = 4


class Follower:
    """Notes in force, evidence and members as one process knows them."""

    def __init__(
        self, me: ListedInstance, seeds: tuple[ListedInstance, ...]
    ) -> None:
        self.me = me
        self.members = MembershipIndex(seeds)
        self.members_digest = ''
        self.folded = FoldedNotes()
        self.tail: deque[RevisionRecord] = deque(maxlen=TAIL_LENGTH)
        self.book = EvidenceBook()
        self.nonce = 0
        self.sent_by_nonce: dict[int, float] = {}
        self.parents: list[str] = []
        self.attempt = 0
        self.subscribed_at = float('-inf')
        self.fed_by: dict[str, float] = {}
        self.started_at: float | None = None
        self.rejected = 0
        self.changed: list[RecordChange] = []
        self.replaced = True
        self.pieces: dict[int, bytes] = {}
        self.pieces_of = 0

    def on_tick(
        self, now: float, parents: list[str] | None = None
    ) -> list[Effect]:
        """Subscribe again when it is time, elsewhere too if one is silent.

        ``parents`` replaces the ones found from the list of instances.
        """
        if now - self.subscribed_at < SUBSCRIBE_SECONDS:
            return []
        self.parents = parents or self.members.list_parents(self.me)
        if not self.parents:
            return []
        if self.started_at is None:
            self.started_at = now
        self.subscribed_at = now
        self.nonce += 1
        self.sent_by_nonce[self.nonce] = now
        self.sent_by_nonce.pop(self.nonce - _NONCES_KEPT, None)
        return [self._subscribe(parent) for parent in self._targets(now)]

    def _targets(self, now: float) -> list[str]:
        """Name the first parent, and another one while that is silent."""
        first = self.parents[0]
        if not self._is_silent(self.fed_by.get(first), now):
            self.attempt = 0
            return [first]
        fed_at = max(self.fed_by.values(), default=None)
        if self._is_silent(fed_at, now) or self.attempt == 0:
            self.attempt += 1
        other = self.parents[self.attempt % len(self.parents)]
        return [first] if other == first else [first, other]

    def _is_silent(self, fed_at: float | None, now: float) -> bool:
        since = self.started_at if fed_at is None else fed_at
        return since is None or now - since > PARENT_SILENCE_SECONDS

    def receive(self, message: Any, now: float, sender: str) -> None:
        """Take in a message from a parent."""
        if isinstance(message, EvidencePush):
            self.fed_by[sender] = now
        follow(message, self, now)

    def apply_records(self, records: tuple[RevisionRecord, ...]) -> None:
        """Apply the records that come next; ignore the ones already had."""
        for record in records:
            if record.revision <= self.folded.revision:
                continue
            if record.revision != self.folded.revision + 1:
                return
            applied = self.folded.apply(record)
            if applied.is_err():
                self.rejected += 1
                self.folded = FoldedNotes()
                self.replaced = True
                self.tail.clear()
                return
            self.changed.extend(applied.unwrap())
            self.tail.append(record)

    def adopt(
        self, folded: FoldedNotes, tail: tuple[RevisionRecord, ...] = ()
    ) -> None:
        """Take over folded notes if they are newer than the own ones."""
        if folded.revision > self.folded.revision:
            self.folded = folded
            self.replaced = True
            self.tail = deque(tail, maxlen=TAIL_LENGTH)

    def renew_view(self, view: NotesInForce | None) -> NotesInForce:
        """Return the typed view of what is applied, amended if it can be."""
        changes = self.changed
        self.changed = []
        if view is None or self.replaced:
            self.replaced = False
            return view_records(self.folded.revision, self.folded.records)
        if view.revision == self.folded.revision:
            return view
        return amend_view(view, self.folded.revision, changes)

    def take_piece(self, message: SnapshotPush) -> None:
        """Keep a piece of a snapshot; adopt it once it is whole."""
        if message.revision != self.pieces_of:
            self.pieces = {}
            self.pieces_of = message.revision
        self.pieces[message.piece] = message.body
        if len(self.pieces) < message.pieces:
            return
        body = b''.join(self.pieces[one] for one in sorted(self.pieces))
        self.pieces = {}
        restored = decode_snapshot(body).and_then(restore_snapshot)
        if restored.is_ok():
            self.adopt(restored.unwrap())
        else:
            self.rejected += 1

    def _subscribe(self, parent: str) -> SendPeer:
        message = Subscribe(
            nonce=self.nonce,
            revision=self.folded.revision,
            digest=self.folded.digest.value(),
            members=self.members_digest,
            domain=self.me.domain,
        )
        return SendPeer(parent, message)


@singledispatch
def follow(message: Any, follower: Follower, now: float) -> None:
    """Take in a message from a parent; others are counted and ignored."""
    follower.rejected += 1


@follow.register
def _(message: EvidencePush, follower: Follower, now: float) -> None:
    asked_at = follower.sent_by_nonce.get(message.nonce)
    if asked_at is None:
        return
    sent_at = min(asked_at + message.offset_seconds, now)
    follower.book.record(Evidence(sent_at, message.revision))


@follow.register
def _(message: ChangesPush, follower: Follower, now: float) -> None:
    follower.apply_records(message.records)


@follow.register
def _(message: SnapshotPush, follower: Follower, now: float) -> None:
    follower.take_piece(message)


@follow.register
def _(message: MembersPush, follower: Follower, now: float) -> None:
    follower.members = MembershipIndex(message.instances)
    follower.members_digest = digest_members(message.instances)
