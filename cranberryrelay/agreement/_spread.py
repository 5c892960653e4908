"""Spread of release notes between instances, and evidence for them.

Two instances of each failure domain watch the store.  The others subscribe
along a tree in their domain.  A watcher that can not read the store asks
the voices of all domains and subscribes in other domains as well.
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
    Evidence,
    VoiceHeard,
    combine_voices,
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
    AbsenceClock,
    Identity,
    VoicePart,
)
from cranberryrelay.codes import ResultCode
from cranberryrelay.notes import (
    decode_revision,
    encode_snapshot,
    take_snapshot,
)
from cranberryrelay.platform import ENTRY_SORT, ListedInstance

HEAD_KEY: Final = 'notes/head'
HEAD_READ_SECONDS: Final = 0.5
LIST_READ_SECONDS: Final = 2.0
ASK_VOICES_SECONDS: Final = 0.5
STORE_SILENCE_SECONDS: Final = 0.8
CHILD_SILENCE_SECONDS: Final = 3.0
RECORDS_PER_PUSH: Final = 64
PIECE_BYTES: Final = 250_000
_NEVER: Final = float('-inf')
_NONCES_KEPT: Final = 8


class Child(NamedTuple):
    """A subscriber."""

    # Its latest nonce.
    nonce: int

    # When the nonce came; own clock.
    received_at: float

    # Revision that it has, or was sent.
    revision: int

    # Digest of the list of instances that it has, or was sent.
    members: str

    # Failure domain of the child.
    domain: str

    # Sending time of the evidence it was last sent; own clock.
    evidence_at: float = _NEVER


class SpreadPart:
    """Spreads release notes; one task owns it."""

    def __init__(
        self,
        me: Identity,
        seeds: tuple[ListedInstance, ...],
        domains: tuple[str, ...],
    ) -> None:
        self.me = me
        self.domains = domains
        self.follower = Follower(me.listed, seeds)
        self.voice = VoicePart(me)
        self.absence = AbsenceClock()
        self.children: dict[str, Child] = {}
        self.everyone = MembershipIndex(seeds)
        self.head_read_at = _NEVER
        self.head_heard_at = _NEVER
        self.list_read_at = _NEVER
        self.asked_at = _NEVER
        self.ask_nonce = 0
        self.asked_by_nonce: dict[int, float] = {}
        self.heard: dict[str, VoiceHeard] = {}
        self.loading = False

    @property
    def applied(self) -> int:
        """Return the revision that is applied here."""
        return self.follower.folded.revision

    def is_watcher(self) -> bool:
        """Tell if this instance reads the store for its domain."""
        watchers = self.follower.members.find_watchers(self.me.listed.domain)
        return self.me.listed.instance in watchers

    def on_tick(self, now: float) -> list[Effect]:
        """Do whatever is due."""
        effects: list[Effect] = []
        watching = self.is_watcher() or not self._is_listed()
        if watching:
            effects.extend(self._read_store(now))
        if not watching or self._store_is_silent(now):
            effects.extend(self.follower.on_tick(now))
        if watching and self._store_is_silent(now):
            effects.extend(self._ask_voices(now))
        effects.extend(
            self.voice.on_tick(
                now,
                candidate=watching and self.applied > 0,
                applied=self.applied,
                absence=self.absence,
            )
        )
        self._drop_silent_children(now)
        return effects + self.feed_children(now)

    def receive(self, sender: str, message: Any, now: float) -> list[Effect]:
        """Take in a message of another instance."""
        return spread(message, self, sender, now) + self.feed_children(now)

    def on_answer(self, answer: Answer, now: float) -> list[Effect]:
        """Take in an answer of the store."""
        return take_answer(answer, self, now) + self.feed_children(now)

    def feed_children(self, now: float) -> list[Effect]:
        """Send children what they lack and fresher evidence."""
        effects: list[Effect] = []
        evidence = self.own_evidence(now)
        for name, child in self.children.items():
            effects.extend(self._feed_child(name, child, evidence))
        return effects

    def own_evidence(self, now: float) -> Evidence | None:
        """Return the freshest evidence, the own voice counted."""
        combined = combine_voices(
            [*self.heard.values(), *self._own_voice(now)], len(self.domains)
        )
        if combined is not None:
            self.follower.book.record(combined)
        return self.follower.book.freshest(self.applied)

    def find_parent_address(self, instance: str) -> str | None:
        """Return the address of an instance, if it is known."""
        for index in (self.follower.members, self.everyone):
            listed = index.by_name.get(instance)
            if listed is not None:
                return listed.address
        return None

    def _own_voice(self, now: float) -> list[VoiceHeard]:
        word = self.voice.word()
        if word is None:
            return []
        return [VoiceHeard(self.me.listed.domain, now, word)]

    def _feed_child(
        self, name: str, child: Child, evidence: Evidence | None
    ) -> list[Effect]:
        effects: list[Effect] = []
        if child.revision < self.applied:
            effects.extend(
                SendPeer(name, message) for message in self._lacking(child)
            )
            child = child._replace(revision=self.applied)
        digest = self.everyone.scope_digest(child.domain)
        if child.members != digest:
            scoped = self.everyone.scope(child.domain)
            effects.append(SendPeer(name, MembersPush(scoped)))
            child = child._replace(members=digest)
        if evidence is not None and evidence.sent_at > child.evidence_at:
            offset = evidence.sent_at - child.received_at
            push = EvidencePush(child.nonce, offset, evidence.revision)
            effects.append(SendPeer(name, push))
            child = child._replace(evidence_at=evidence.sent_at)
        self.children[name] = child
        return effects

    def _lacking(self, child: Child) -> list[ChangesPush | SnapshotPush]:
        lacking = tuple(
            record
            for record in self.follower.tail
            if record.revision > child.revision
        )
        complete = lacking and lacking[0].revision == child.revision + 1
        if complete and len(lacking) <= RECORDS_PER_PUSH:
            return [ChangesPush(lacking)]
        body = encode_snapshot(take_snapshot(self.follower.folded))
        starts = range(0, len(body), PIECE_BYTES)
        return [
            SnapshotPush(
                self.applied,
                place,
                len(starts),
                body[start : start + PIECE_BYTES],
            )
            for place, start in enumerate(starts)
        ]

    def _is_listed(self) -> bool:
        order = self.follower.members.order_domain(self.me.listed.domain)
        return self.me.listed.instance in order

    def _store_is_silent(self, now: float) -> bool:
        return now - self.head_heard_at > STORE_SILENCE_SECONDS

    def _read_store(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if now - self.head_read_at >= HEAD_READ_SECONDS:
            self.head_read_at = now
            effects.append(StoreRead(HEAD_KEY))
        if now - self.list_read_at >= LIST_READ_SECONDS:
            self.list_read_at = now
            effects.append(ListInstances())
        return effects

    def _ask_voices(self, now: float) -> list[Effect]:
        if now - self.asked_at < ASK_VOICES_SECONDS:
            return []
        self.asked_at = now
        self.ask_nonce += 1
        self.asked_by_nonce[self.ask_nonce] = now
        self.asked_by_nonce.pop(self.ask_nonce - _NONCES_KEPT, None)
        names: list[str] = []
        for domain in self.domains:
            contacts = self.everyone.order_domain(domain)
            names.extend(contacts[:CONTACTS_PER_DOMAIN])
        return [
            SendPeer(name, AskVoice(self.ask_nonce))
            for name in names
            if name != self.me.listed.instance
        ]

    def _drop_silent_children(self, now: float) -> None:
        silent = [
            name
            for name, child in self.children.items()
            if now - child.received_at > CHILD_SILENCE_SECONDS
        ]
        for name in silent:
            self.children.pop(name)


@singledispatch
def spread(
    message: Any, part: SpreadPart, sender: str, now: float
) -> list[Effect]:
    """Take in a message; what is not from a child is from a parent."""
    part.follower.receive(message, now, sender)
    if isinstance(message, MembersPush):
        part.everyone = part.follower.members
    return []


@spread.register
def _(
    message: Subscribe, part: SpreadPart, sender: str, now: float
) -> list[Effect]:
    known = part.children.get(sender)
    whole = message.digest == part.follower.folded.digest.value()
    revision = message.revision
    if revision == part.applied and not whole:
        revision = 0
    part.children[sender] = Child(
        nonce=message.nonce,
        received_at=now,
        revision=revision,
        members=message.members,
        domain=message.domain,
        evidence_at=known.evidence_at if known else _NEVER,
    )
    return []


@spread.register
def _(
    message: AskVoice, part: SpreadPart, sender: str, now: float
) -> list[Effect]:
    word = part.voice.word()
    if word is None:
        return []
    domain = part.me.listed.domain
    return [SendPeer(sender, VoiceWord(message.nonce, domain, word))]


@spread.register
def _(
    message: VoiceWord, part: SpreadPart, sender: str, now: float
) -> list[Effect]:
    asked_at = part.asked_by_nonce.get(message.nonce)
    if asked_at is None or message.domain not in part.domains:
        return []
    known = part.heard.get(message.domain)
    if known is None or known.sent_at < asked_at:
        part.heard[message.domain] = VoiceHeard(
            message.domain, asked_at, message.confirmed
        )
    return []


@singledispatch
def take_answer(answer: Any, part: SpreadPart, now: float) -> list[Effect]:
    """Take in an answer of the store that is not for this part."""
    return []


@take_answer.register
def _(answer: ReadDone, part: SpreadPart, now: float) -> list[Effect]:
    if answer.read.key == part.voice.key:
        part.voice.on_read(answer)
        return []
    if answer.read.key != HEAD_KEY:
        return []
    return _take_head(answer, part)


@take_answer.register
def _(answer: WriteDone, part: SpreadPart, now: float) -> list[Effect]:
    if answer.write.key == part.voice.key:
        part.voice.on_write(answer)
    return []


@take_answer.register
def _(answer: InstancesListed, part: SpreadPart, now: float) -> list[Effect]:
    if answer.outcome.is_err():
        return []
    instances = tuple(answer.outcome.unwrap())
    part.absence.record(instances, answer.sent_at)
    entries = tuple(one for one in instances if one.sort == ENTRY_SORT)
    if entries != part.everyone.instances:
        part.everyone = MembershipIndex(entries)
        scoped = part.everyone.scope(part.me.listed.domain)
        part.follower.members = MembershipIndex(scoped)
    return []


@take_answer.register
def _(answer: NotesLoaded, part: SpreadPart, now: float) -> list[Effect]:
    part.loading = False
    if answer.outcome.is_ok():
        folded, tail = answer.outcome.unwrap()
        part.follower.adopt(folded, tail)
    return []


def _take_head(answer: ReadDone, part: SpreadPart) -> list[Effect]:
    if answer.outcome.is_err():
        code = answer.outcome.unwrap_err().code
        if code is ResultCode.STORE_NOT_FOUND:
            part.head_heard_at = max(part.head_heard_at, answer.sent_at)
        return []
    decoded = decode_revision(answer.outcome.unwrap().body)
    if decoded.is_err():
        return []
    part.head_heard_at = max(part.head_heard_at, answer.sent_at)
    record = decoded.unwrap()
    part.follower.book.record(Evidence(answer.sent_at, record.revision))
    part.follower.apply_records((record,))
    if part.applied < record.revision and not part.loading:
        part.loading = True
        return [LoadNotes(part.applied)]
    return []
