"""Distributes release notes and evidence of freshness between instances.

Two instances of each failure domain, the watchers, read the store.  The
other instances subscribe to a parent in the tree of their domain.  A watcher
that cannot read the store requests the votes of all failure domains and
subscribes to instances of other domains as well.
"""

from functools import singledispatch
from typing import Any, Final, NamedTuple

from cranberryrelay.agreement._effects import (
    Answer,
    Effect,
    InstancesListed,
    ListInstances,
    LoadNotes,
    NotesLoaded,
    ReadDone,
    SendPeer,
    StoreRead,
    WriteDone,
)
from cranberryrelay.agreement._evidence import (
    DomainVote,
    Evidence,
    combine_votes,
)
from cranberryrelay.agreement._follower import Follower
from cranberryrelay.agreement._membership import (
    CONTACTS_PER_DOMAIN,
    MembershipIndex,
)
from cranberryrelay.agreement._spread_messages import (
    AskVoice,
    ChangesPush,
    EvidencePush,
    MembersPush,
    SnapshotPush,
    Subscribe,
    VoiceWord,
)
from cranberryrelay.agreement._voice import (
    AbsenceTracker,
    DomainVoter,
    Identity,
)
from cranberryrelay.codes import ResultCode
from cranberryrelay.notes import (
    decode_revision,
    encode_snapshot,
    take_snapshot,
)
from cranberryrelay.platform import ENTRY_SORT, ListedInstance

HEAD_KEY: Final = 'notes/head'
HEAD_READ_INTERVAL_SECONDS: Final = 0.5
LIST_READ_INTERVAL_SECONDS: Final = 2.0
VOTE_REQUEST_INTERVAL_SECONDS: Final = 0.5
STORE_TIMEOUT_SECONDS: Final = 0.8
CHILD_TIMEOUT_SECONDS: Final = 3.0
RECORDS_PER_PUSH: Final = 64
SNAPSHOT_PIECE_BYTES: Final = 250_000
_NEVER: Final = float('-inf')
_NONCES_KEPT: Final = 8


class Child(NamedTuple):
    """The state of an instance that subscribes to this one."""

    # Nonce of its latest subscription.
    nonce: int

    # When that subscription was received, in seconds of the own clock.
    received_at: float

    # Revision that it has, or was sent.
    revision: int

    # Digest of the list of instances that it has, or was sent.
    members: str

    # Failure domain of the child.
    domain: str

    # ``sent_at`` of the evidence last sent to it, in seconds of the own
    # clock.
    evidence_sent_at: float = _NEVER


class NoteDistributor:
    """Distributes release notes and evidence; owned by one task."""

    def __init__(
        self,
        me: Identity,
        seeds: tuple[ListedInstance, ...],
        domains: tuple[str, ...],
    ) -> None:
        self.me = me
        self.domains = domains
        self.follower = Follower(me.listed, seeds)
        self.voter = DomainVoter(me)
        self.absence = AbsenceTracker()
        self.children: dict[str, Child] = {}
        self.all_members = MembershipIndex(seeds)
        self.head_read_at = _NEVER
        self.head_answered_at = _NEVER
        self.list_read_at = _NEVER
        self.votes_requested_at = _NEVER
        self.vote_nonce = 0
        self.requested_at_by_nonce: dict[int, float] = {}
        self.votes: dict[str, DomainVote] = {}
        self.loading = False

    @property
    def applied_revision(self) -> int:
        """Return the revision that this instance has applied."""
        return self.follower.folded.revision

    def is_watcher(self) -> bool:
        """Return whether this instance reads the store for its domain."""
        watchers = self.follower.members.find_watchers(self.me.listed.domain)
        return self.me.listed.instance in watchers

    def on_tick(self, now: float) -> list[Effect]:
        """Return the effects that are due at ``now``."""
        effects: list[Effect] = []
        watching = self.is_watcher() or not self._is_listed()
        if watching:
            effects.extend(self._read_store(now))
        if not watching or self._is_store_unresponsive(now):
            effects.extend(self.follower.on_tick(now))
        if watching and self._is_store_unresponsive(now):
            effects.extend(self._request_votes(now))
        effects.extend(
            self.voter.on_tick(
                now,
                candidate=watching and self.applied_revision > 0,
                applied=self.applied_revision,
                absence=self.absence,
            )
        )
        self._drop_expired_children(now)
        return effects + self.update_children(now)

    def receive(self, sender: str, message: Any, now: float) -> list[Effect]:
        """Handle a message from another instance."""
        return handle_spread_message(
            message, self, sender, now
        ) + self.update_children(now)

    def on_answer(self, answer: Answer, now: float) -> list[Effect]:
        """Handle an answer of the store."""
        return handle_spread_answer(answer, self, now) + self.update_children(
            now
        )

    def update_children(self, now: float) -> list[Effect]:
        """Send children what they lack and fresher evidence."""
        effects: list[Effect] = []
        evidence = self.freshest_evidence(now)
        for name, child in self.children.items():
            effects.extend(self._update_child(name, child, evidence))
        return effects

    def freshest_evidence(self, now: float) -> Evidence | None:
        """Return the freshest evidence, including the own domain's vote."""
        combined = combine_votes(
            [*self.votes.values(), *self._own_vote(now)], len(self.domains)
        )
        if combined is not None:
            self.follower.evidence_table.record(combined)
        return self.follower.evidence_table.freshest(self.applied_revision)

    def find_address(self, instance: str) -> str | None:
        """Return the address of an instance; None if it is not known."""
        for index in (self.follower.members, self.all_members):
            listed = index.by_name.get(instance)
            if listed is not None:
                return listed.address
        return None

    def _own_vote(self, now: float) -> list[DomainVote]:
        confirmed = self.voter.current_vote()
        if confirmed is None:
            return []
        return [DomainVote(self.me.listed.domain, now, confirmed)]

    def _update_child(
        self, name: str, child: Child, evidence: Evidence | None
    ) -> list[Effect]:
        effects: list[Effect] = []
        if child.revision < self.applied_revision:
            effects.extend(
                SendPeer(name, message)
                for message in self._missing_updates(child)
            )
            child = child._replace(revision=self.applied_revision)
        digest = self.all_members.scope_digest(child.domain)
        if child.members != digest:
            scoped = self.all_members.scope(child.domain)
            effects.append(SendPeer(name, MembersPush(scoped)))
            child = child._replace(members=digest)
        if evidence is not None and evidence.sent_at > child.evidence_sent_at:
            offset = evidence.sent_at - child.received_at
            push = EvidencePush(child.nonce, offset, evidence.revision)
            effects.append(SendPeer(name, push))
            child = child._replace(evidence_sent_at=evidence.sent_at)
        self.children[name] = child
        return effects

    def _missing_updates(
        self, child: Child
    ) -> list[ChangesPush | SnapshotPush]:
        missing = tuple(
            record
            for record in self.follower.tail
            if record.revision > child.revision
        )
        complete = missing and missing[0].revision == child.revision + 1
        if complete and len(missing) <= RECORDS_PER_PUSH:
            return [ChangesPush(missing)]
        body = encode_snapshot(take_snapshot(self.follower.folded))
        starts = range(0, len(body), SNAPSHOT_PIECE_BYTES)
        return [
            SnapshotPush(
                self.applied_revision,
                index,
                len(starts),
                body[start : start + SNAPSHOT_PIECE_BYTES],
            )
            for index, start in enumerate(starts)
        ]

    def _is_listed(self) -> bool:
        order = self.follower.members.tree_order(self.me.listed.domain)
        return self.me.listed.instance in order

    def _is_store_unresponsive(self, now: float) -> bool:
        return now - self.head_answered_at > STORE_TIMEOUT_SECONDS

    def _read_store(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if now - self.head_read_at >= HEAD_READ_INTERVAL_SECONDS:
            self.head_read_at = now
            effects.append(StoreRead(HEAD_KEY))
        if now - self.list_read_at >= LIST_READ_INTERVAL_SECONDS:
            self.list_read_at = now
            effects.append(ListInstances())
        return effects

    def _request_votes(self, now: float) -> list[Effect]:
        if now - self.votes_requested_at < VOTE_REQUEST_INTERVAL_SECONDS:
            return []
        self.votes_requested_at = now
        self.vote_nonce += 1
        self.requested_at_by_nonce[self.vote_nonce] = now
        self.requested_at_by_nonce.pop(self.vote_nonce - _NONCES_KEPT, None)
        names: list[str] = []
        for domain in self.domains:
            candidates = self.all_members.tree_order(domain)
            names.extend(candidates[:CONTACTS_PER_DOMAIN])
        return [
            SendPeer(name, AskVoice(self.vote_nonce))
            for name in names
            if name != self.me.listed.instance
        ]

    def _drop_expired_children(self, now: float) -> None:
        expired = [
            name
            for name, child in self.children.items()
            if now - child.received_at > CHILD_TIMEOUT_SECONDS
        ]
        for name in expired:
            self.children.pop(name)


@singledispatch
def handle_spread_message(
    message: Any, distributor: NoteDistributor, sender: str, now: float
) -> list[Effect]:
    """Handle a message; types without a handler here come from a parent."""
    distributor.follower.receive(message, now, sender)
    if isinstance(message, MembersPush):
        distributor.all_members = distributor.follower.members
    return []


@handle_spread_message.register
def _(
    message: Subscribe, distributor: NoteDistributor, sender: str, now: float
) -> list[Effect]:
    known = distributor.children.get(sender)
    digest_matches = (
        message.digest == distributor.follower.folded.digest.hexdigest()
    )
    revision = message.revision
    if revision == distributor.applied_revision and not digest_matches:
        revision = 0
    distributor.children[sender] = Child(
        nonce=message.nonce,
        received_at=now,
        revision=revision,
        members=message.members,
        domain=message.domain,
        evidence_sent_at=known.evidence_sent_at if known else _NEVER,
    )
    return []


@handle_spread_message.register
def _(
    message: AskVoice, distributor: NoteDistributor, sender: str, now: float
) -> list[Effect]:
    confirmed = distributor.voter.current_vote()
    if confirmed is None:
        return []
    domain = distributor.me.listed.domain
    return [SendPeer(sender, VoiceWord(message.nonce, domain, confirmed))]


@handle_spread_message.register
def _(
    message: VoiceWord, distributor: NoteDistributor, sender: str, now: float
) -> list[Effect]:
    requested_at = distributor.requested_at_by_nonce.get(message.nonce)
    if requested_at is None or message.domain not in distributor.domains:
        return []
    known = distributor.votes.get(message.domain)
    if known is None or known.sent_at < requested_at:
        distributor.votes[message.domain] = DomainVote(
            message.domain, requested_at, message.confirmed
        )
    return []


@singledispatch
def handle_spread_answer(
    answer: Any, distributor: NoteDistributor, now: float
) -> list[Effect]:
    """Handle an answer; types without a handler are not used here."""
    return []


@handle_spread_answer.register
def _(
    answer: ReadDone, distributor: NoteDistributor, now: float
) -> list[Effect]:
    if answer.read.key == distributor.voter.key:
        distributor.voter.on_read(answer)
        return []
    if answer.read.key != HEAD_KEY:
        return []
    return _handle_head(answer, distributor)


@handle_spread_answer.register
def _(
    answer: WriteDone, distributor: NoteDistributor, now: float
) -> list[Effect]:
    if answer.write.key == distributor.voter.key:
        distributor.voter.on_write(answer)
    return []


@handle_spread_answer.register
def _(
    answer: InstancesListed, distributor: NoteDistributor, now: float
) -> list[Effect]:
    if answer.outcome.is_err():
        return []
    instances = tuple(answer.outcome.unwrap())
    distributor.absence.record(instances, answer.sent_at)
    entries = tuple(listed for listed in instances if listed.sort == ENTRY_SORT)
    if entries != distributor.all_members.instances:
        distributor.all_members = MembershipIndex(entries)
        scoped = distributor.all_members.scope(distributor.me.listed.domain)
        distributor.follower.members = MembershipIndex(scoped)
    return []


@handle_spread_answer.register
def _(
    answer: NotesLoaded, distributor: NoteDistributor, now: float
) -> list[Effect]:
    distributor.loading = False
    if answer.outcome.is_ok():
        folded, tail = answer.outcome.unwrap()
        distributor.follower.adopt_if_newer(folded, tail)
    return []


def _handle_head(
    answer: ReadDone, distributor: NoteDistributor
) -> list[Effect]:
    if answer.outcome.is_err():
        code = answer.outcome.unwrap_err().code
        if code is ResultCode.STORE_NOT_FOUND:
            distributor.head_answered_at = max(
                distributor.head_answered_at, answer.sent_at
            )
        return []
    decoded = decode_revision(answer.outcome.unwrap().body)
    if decoded.is_err():
        return []
    distributor.head_answered_at = max(
        distributor.head_answered_at, answer.sent_at
    )
    record = decoded.unwrap()
    distributor.follower.evidence_table.record(
        Evidence(answer.sent_at, record.revision)
    )
    distributor.follower.apply_records((record,))
    if (
        distributor.applied_revision < record.revision
        and not distributor.loading
    ):
        distributor.loading = True
        return [LoadNotes(distributor.applied_revision)]
    return []
