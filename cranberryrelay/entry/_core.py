"""The entry's decisions: admission under a note, and who answers what."""

import random
from functools import singledispatch
from typing import Any, Final

from result import Err, Ok

from cranberryrelay.agreement import (
    ChangesPush,
    Effect,
    EvidencePush,
    Follower,
    MembersPush,
    RangeBuilder,
    RangesSaved,
    RequestId,
    Reserved,
    SendPeer,
    SnapshotPush,
    check_admission,
    entry_of,
)
from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.entry._messages import (
    Abandon,
    Ask,
    Begin,
    Begun,
    Book,
    CloseBooking,
    Reply,
    StartDraining,
)
from cranberryrelay.entry._reservations import BookingPart, answer_booking
from cranberryrelay.entry._slots import SlotPart, answer_slot, take_plan
from cranberryrelay.notes import NotesInForce
from cranberryrelay.settings import Settings

REPORT_SECONDS: Final = 1.0
ACK_SECONDS: Final = 0.5
FOLLOWED_MESSAGES: Final = (
    ChangesPush,
    EvidencePush,
    MembersPush,
    SnapshotPush,
)
_NEVER: Final = float('-inf')


class EntryCore:
    """Everything that one entry knows and decides."""

    def __init__(
        self, settings: Settings, incarnation: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.steward = settings.me.instance
        self.name = entry_of(settings.me.instance)
        self.follower = Follower(settings.me, settings.peers)
        self.ranges = RangeBuilder(f'{self.steward}.{incarnation}')
        self.slots = SlotPart(settings, rng)
        self.bookings = BookingPart(self.steward)
        self.notes: NotesInForce | None = None
        self.reported_at = _NEVER
        self.acked_at = _NEVER
        self.draining = False

    def on_tick(self, now: float) -> list[Effect | Reply]:
        """Subscribe, report, acknowledge and give up what is late."""
        others = [
            name
            for name in self.follower.members.by_name
            if name != self.steward
        ]
        effects: list[Effect | Reply] = list(
            self.follower.on_tick(now, [self.steward, *others])
        )
        if now - self.reported_at >= REPORT_SECONDS:
            self.reported_at = now
            report = self.ranges.make_report()
            if report is not None:
                effects.append(SendPeer(self.steward, report))
        if now - self.acked_at >= ACK_SECONDS:
            self.acked_at = now
            effects.extend(self.slots.acknowledge_plans())
        effects.extend(self.bookings.on_tick(now))
        effects.extend(self.slots.on_tick(now))
        return effects

    def receive(
        self, message: Any, now: float, sender: str
    ) -> list[Effect | Reply]:
        """Take in a message from a steward."""
        if isinstance(message, FOLLOWED_MESSAGES):
            self.follower.receive(message, now, sender)
            notes = self.notes_in_force()
            if isinstance(message, MembersPush):
                entries = len(self.follower.members.instances)
                self.slots.take_notes(notes, entries)
            return []
        return take_message(message, self, now)

    def ask(self, asked: Ask, now: float, utc: float) -> list[Effect | Reply]:
        """Take in a question of a request's filter."""
        if isinstance(asked.question, Begin):
            return [self._begin(asked.number, now, utc)]
        return answer(asked.question, self, asked.number, now)

    def is_ready(self, now: float) -> bool:
        """Tell if requests are being admitted."""
        admitted = check_admission(
            self.follower.book, self.follower.folded.revision, now
        )
        return admitted.is_ok() and not self.draining

    def has_work(self) -> bool:
        """Tell if any request is waiting or running here."""
        return self.slots.has_work() or bool(self.bookings.pending)

    def notes_in_force(self) -> NotesInForce:
        """Return the typed view of the records applied here."""
        folded = self.follower.folded
        if self.notes is None or self.notes.revision != folded.revision:
            self.notes = self.follower.renew_view(self.notes)
            entries = len(self.follower.members.instances)
            self.slots.take_notes(self.notes, entries)
        return self.notes

    def _begin(self, number: int, now: float, utc: float) -> Reply:
        if self.draining:
            detail = 'use another instance'
            return Reply(number, Err(fail(ResultCode.DRAINING, detail)))
        revision = self.follower.folded.revision
        admitted = check_admission(self.follower.book, revision, now)
        if admitted.is_err():
            return Reply(number, Err(admitted.unwrap_err()))
        request_id = RequestId(
            domain=self.settings.me.domain,
            entry=self.ranges.entry,
            admitted_at=utc,
            sequence=self.ranges.admit(revision, utc),
        )
        return Reply(number, Ok(Begun(self.notes_in_force(), request_id)))


@singledispatch
def take_message(
    message: Any, core: EntryCore, now: float
) -> list[Effect | Reply]:
    """Take in a message of a steward; the slots' by default."""
    return take_plan(message, core.slots, now)


@take_message.register
def _(
    message: RangesSaved, core: EntryCore, now: float
) -> list[Effect | Reply]:
    core.ranges.take_saved(message.report)
    return []


@take_message.register
def _(message: Reserved, core: EntryCore, now: float) -> list[Effect | Reply]:
    return core.bookings.receive(message)


@singledispatch
def answer(
    question: Any, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    """Answer a question of a request's filter; the slots' by default."""
    return answer_slot(question, core.slots, number, now)


@answer.register(Book)
@answer.register(CloseBooking)
def _(
    question: Book | CloseBooking, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    return answer_booking(question, core.bookings, number, now)


@answer.register
def _(
    question: StartDraining, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    core.draining = True
    return [Reply(number, Ok(None))]


@answer.register
def _(
    question: Abandon, core: EntryCore, number: int, now: float
) -> list[Effect | Reply]:
    core.slots.abandon(question.number, now)
    return core.bookings.abandon(question.number)
