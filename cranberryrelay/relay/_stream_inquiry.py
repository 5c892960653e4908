"""Asks the other instances which software version began a stream.

That an instance has not heard of a stream, or of a second version, proves
nothing: it may have been cut off or frozen while others heard of it. So the
question is sent once a caller is there, and only answers to it count. They
prove that no other version began the stream if every instance that may have
begun it has answered; otherwise the store has to.
"""

import logging
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from math import inf, nextafter
from typing import Any, Final, NamedTuple, Protocol

import trio

from cranberryrelay.relay._hashing import digest_text
from cranberryrelay.relay._membership import InstanceLocation, Membership
from cranberryrelay.relay._stream_versions import (
    AnnouncedStreams,
    StreamVersions,
)
from cranberryrelay.timing import TimerService, limit_time
from cranberryrelay.wire import PeerNetwork

# Time that the answers of live peers are waited for.
ANSWER_SECONDS: Final = 0.25

# Time that the store's answer is waited for.
STORE_ANSWER_SECONDS: Final = 0.5

# Interval at which a hub tells its members that it has lost some, and the time
# for which they go by it; it is not told that none is lost any more.
TELL_SECONDS: Final = 1.0
TOLD_TTL_SECONDS: Final = 3.0
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class StreamQuestion(NamedTuple):
    """Asks which version began a stream, and which versions served."""

    # When it was sent, on the sender's clock; the answer names it.
    asked_at: float

    # 'IP:port' of the sender, which a hub of another domain may not know.
    address: str

    # Digest of the request id that began the stream.
    stream: int


class StreamAnswer(NamedTuple):
    """Answer to a ``StreamQuestion``, or what an instance is told unasked."""

    # ``asked_at`` of the question; None without one.
    asked_at: float | None

    # The stream, if the sender knows which version began it.
    streams: list[AnnouncedStreams]

    # Seconds since the sender last saw each software version, by service.
    versions: dict[str, dict[str, float]]

    # Whether the sender knows the versions that served before it started.
    informed: bool

    # Other instances of the sender's failure domain that it, as their hub, does
    # not hear: what they know is missing.
    lost_members: int = 0


class LostMembers(NamedTuple):
    """Tells the members of a failure domain what their hub does not know."""

    # How many instances of the failure domain the hub does not hear.
    members: int


class ToldLoss(NamedTuple):
    """What a hub has told its members of lost ones."""

    # How many instances it does not hear.
    members: int

    # When that arrived, on the local clock.
    received_at: float


NOTHING_TOLD: Final = ToldLoss(0, -inf)


class StreamLookup(Protocol):
    """Learns from others about a stream that is unknown here."""

    async def look_up(
        self, stream_id: str, service: str, limit_seconds: float
    ) -> bool:
        """Learn about a stream of a service within a time limit.

        Return whether every version that can have begun it is known now.
        """


class StoreConfirmation(Protocol):
    """Reads from the store which engines serve."""

    async def confirm(
        self, asked_at: float, limit_seconds: float, *, must_call: bool = False
    ) -> bool:
        """Return whether the store answered a call sent after ``asked_at``.

        What it answered has been applied. ``must_call`` is true if nobody else
        can tell.
        """


class LoneInstance:
    """An instance without peers, which began all streams itself."""

    async def look_up(
        self, stream_id: str, service: str, limit_seconds: float
    ) -> bool:
        """Return that nobody else can know more."""
        return True


class InquirySender(Protocol):
    """What an inquiry needs of the peer protocol."""

    name: str
    location: InstanceLocation
    membership: Membership
    network: PeerNetwork
    timers: TimerService


class OpenInquiry(NamedTuple):
    """A question whose answers are awaited."""

    # Group of each peer that was asked, by name. One answer of a group counts
    # for all of it.
    groups: dict[str, str]

    # Groups of which nobody has answered.
    missing: set[str]

    # Groups that are expected to answer soon, and have not.
    awaited: set[str]

    # Groups that have answered, but not for all of their instances.
    incomplete: set[str]

    # Set once nothing is awaited any more.
    done: trio.Event


class StreamInquiry:
    """Asks peers and answers their questions; owned by one task."""

    def __init__(
        self, versions: StreamVersions, protocol: InquirySender
    ) -> None:
        self.versions = versions
        self.protocol = protocol
        self.membership = protocol.membership
        self.timers = protocol.timers
        self.store: StoreConfirmation | None = None
        self.open: dict[float, OpenInquiry] = {}
        self.last_asked_at = -inf

        # What instances that act as this one's hub have told of lost members.
        self.told_lost: dict[str, ToldLoss] = {}

        # When the members were last told.
        self.told_at = -inf

    async def look_up(
        self, stream_id: str, service: str, limit_seconds: float
    ) -> bool:
        """Ask peers about a stream, and the store if some do not answer."""
        asked_at = max(self.timers.now(), nextafter(self.last_asked_at, inf))
        self.last_asked_at = asked_at
        digest = digest_text(stream_id)
        confirmed = False
        with self.open_inquiry(asked_at) as inquiry:
            self.send_question(inquiry, asked_at, digest)
            with limit_time(min(ANSWER_SECONDS, limit_seconds)):
                await inquiry.done.wait()
            if inquiry.missing and self.may_store_decide(digest, service):
                confirmed = await self.ask_store(
                    asked_at, limit_seconds, must_call=bool(inquiry.incomplete)
                )
        _LOG.info(
            'stream looked up',
            extra={
                'stream_id': stream_id,
                'asked': len(inquiry.groups),
                'unanswered': sorted(inquiry.missing),
                'incomplete': sorted(inquiry.incomplete),
                'store_confirmed': confirmed,
                'known': digest in self.versions.streams,
                'versions': self.versions.known_versions(),
                'seconds': round(self.timers.now() - asked_at, 3),
            },
        )
        return confirmed or not inquiry.missing

    @contextmanager
    def open_inquiry(self, asked_at: float) -> Iterator[OpenInquiry]:
        """Accept answers to a question until the block ends."""
        inquiry = self.make_inquiry(asked_at)
        self.open[asked_at] = inquiry
        try:
            yield inquiry
        finally:
            self.open.pop(asked_at)

    def send_question(
        self, inquiry: OpenInquiry, asked_at: float, digest: int
    ) -> None:
        """Ask the peers of an inquiry about a stream."""
        own_address = self.protocol.location.address
        question = StreamQuestion(asked_at, own_address, digest)
        for name in inquiry.groups:
            address = self.membership.peers[name].location.address
            self.send(name, address, question)

    def send(self, name: str, address: str, message: Any) -> None:
        """Send a message to an instance, known or not."""
        self.protocol.network.send(name, address, self.protocol.name, message)

    def may_store_decide(self, digest: int, service: str) -> bool:
        """Return whether knowing all engines tells where a stream may go on.

        It does not once several versions are known.
        """
        if digest in self.versions.streams:
            return False
        return not self.versions.is_mixed(service)

    async def ask_store(
        self, asked_at: float, limit_seconds: float, *, must_call: bool
    ) -> bool:
        """Return whether the store has named all engines since the question."""
        if self.store is None:
            return False
        left = limit_seconds - (self.timers.now() - asked_at)
        limit = min(STORE_ANSWER_SECONDS, left)
        return await self.store.confirm(asked_at, limit, must_call=must_call)

    def make_inquiry(self, now: float) -> OpenInquiry:
        """Return who must be asked.

        In a full mesh, each peer. With hubs, the hub of each failure domain, as
        members learn of engines from it.
        """
        membership = self.membership
        lost = membership.lost.domains(now)
        if membership.uses_hubs:
            groups = {
                name: membership.peers[name].location.domain
                for name in self.hub_names(now)
            }
            missing = {*membership.other_domains(), *lost.values()}
            if membership.predecessor_count() or self.count_lost(now):
                # Nobody answers for the own domain if this instance has just
                # replaced its hub, which may not have ended, or if it is the
                # hub and has lost a member.
                missing.add(membership.domain)

            # Members hear nothing of other domains, so none counts as silent.
            awaited = missing & set(groups.values())
        else:
            groups = {name: name for name in membership.peers}
            missing = {*groups, *lost}
            # If all are silent, it may be this instance that was cut off.
            awaited = set(membership.live_names(now)) or set(groups)
        inquiry = OpenInquiry(groups, missing, awaited, set(), trio.Event())
        if not awaited:
            inquiry.done.set()
        return inquiry

    def count_lost(self, now: float, asker: str = '') -> int:
        """Return how many others of its failure domain a hub does not hear.

        One that is cut off may serve on. A member answers for what its hub has
        told it, and in a full mesh each instance answers for itself.
        """
        membership = self.membership
        if not membership.uses_hubs:
            return 0
        hub = membership.own_hub(now)
        if hub is not None:
            told = self.told_lost.get(hub, NOTHING_TOLD)
            is_recent = now - told.received_at < TOLD_TTL_SECONDS
            return told.members if is_recent else 0
        silent = [
            name
            for name in membership.ordered_names.get(membership.domain, ())
            if name != asker and not membership.is_responsive(name, now)
        ]
        lost = list(membership.lost.domains(now).values())
        return len(silent) + lost.count(membership.domain)

    def tell_members(self, names: Iterable[str], now: float) -> None:
        """Tell the members of lost ones, as a hub; nothing while none is."""
        if now - self.told_at < TELL_SECONDS:
            return
        count = self.count_lost(now)
        if not count:
            return
        self.told_at = now
        for name in names:
            peer = self.membership.peers.get(name)
            if peer is not None:
                self.send(name, peer.location.address, LostMembers(count))

    def record_told(self, hub: str, message: LostMembers) -> None:
        """Record what a hub does not know."""
        self.told_lost[hub] = ToldLoss(message.members, self.timers.now())

    def hub_names(self, now: float) -> Iterable[str]:
        """Return the instances to ask in a fleet with hubs."""
        membership = self.membership
        return (
            *membership.hub_candidates(membership.domain, now),
            *membership.other_hub_candidates(now),
        )

    def handle_question(self, sender: str, question: StreamQuestion) -> None:
        """Tell a peer what is known."""
        versions = self.versions
        known = [question.stream] if question.stream in versions.streams else []
        answer = self.describe_versions()._replace(
            asked_at=question.asked_at,
            streams=versions.group(known),
            lost_members=self.count_lost(self.timers.now(), sender),
        )
        self.send(sender, question.address, answer)

    def describe_versions(self) -> StreamAnswer:
        """Return which versions served, to be told unasked."""
        ages = self.versions.version_ages(self.timers.now())
        return StreamAnswer(None, [], ages, self.versions.informed)

    def handle_answer(self, sender: str, answer: StreamAnswer) -> None:
        """Record what a peer knows."""
        now = self.timers.now()
        self.versions.apply_announced(answer.streams, now)
        # Ages count from the question, so that a version that instances tell
        # each other of again and again does not stay recent.
        as_of = now if answer.asked_at is None else answer.asked_at
        self.versions.apply_ages(answer.versions, as_of)
        if not answer.informed:
            return
        self.versions.informed = True
        if answer.asked_at is not None:
            self.record_answer(sender, answer.asked_at, answer)

    def record_answer(
        self, sender: str, asked_at: float, answer: StreamAnswer
    ) -> None:
        """Count the answer of an informed peer to a question that is open."""
        inquiry = self.open.get(asked_at)
        group = inquiry and inquiry.groups.get(sender)
        if inquiry is None or group is None:
            return
        if answer.lost_members:
            inquiry.incomplete.add(group)
        else:
            inquiry.missing.discard(group)
        inquiry.awaited.discard(group)
        if answer.streams or not inquiry.awaited:
            inquiry.done.set()
