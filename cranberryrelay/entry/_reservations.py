"""Bookings: calls that may not be repeated, from the entry's side."""

from functools import singledispatch
from typing import Any, Final, NamedTuple

from result import Err, Ok

from cranberryrelay.agreement import (
    Effect,
    Outcome,
    Reserve,
    Reserved,
    SendPeer,
    Settle,
    Verdict,
)
from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.entry._messages import Book, CloseBooking, Reply

LEDGER_SECONDS: Final = 3.0


class PendingBooking(NamedTuple):
    """A booking that waits for the ledger."""

    # Number of the question.
    number: int

    # What was asked for.
    book: Book

    # When it is given up.
    give_up_at: float


class BookingPart:
    """The bookings that wait for the ledger; the entry's core owns it."""

    def __init__(self, steward: str) -> None:
        self.steward = steward
        self.pending: dict[str, PendingBooking] = {}

    def on_tick(self, now: float) -> list[Effect | Reply]:
        """Refuse what the ledger did not answer in time, and release it."""
        effects: list[Effect | Reply] = []
        for pending in tuple(self.pending.values()):
            if pending.give_up_at < now:
                self.pending.pop(pending.book.exchange)
                effects.append(refuse_booking(pending.number))
                effects.append(self.release(pending.book))
        return effects

    def abandon(self, number: int) -> list[Effect | Reply]:
        """Release the booking of a question that nobody waits for."""
        for pending in tuple(self.pending.values()):
            if pending.number == number:
                self.pending.pop(pending.book.exchange)
                return [self.release(pending.book)]
        return []

    def release(self, book: Book) -> SendPeer:
        """Tell the ledger that a call was given up before its dispatch."""
        outcome = Outcome(0, '', b'')
        settle = Settle(book.key, book.exchange, outcome)
        return SendPeer(self.steward, settle)

    def receive(self, message: Reserved) -> list[Effect | Reply]:
        """Pass a verdict of the ledger on to whoever waits for it."""
        pending = self.pending.pop(message.exchange, None)
        if pending is None:
            return []
        if message.verdict is Verdict.UNAVAILABLE:
            return [refuse_booking(pending.number)]
        return [Reply(pending.number, Ok(message))]


def refuse_booking(number: int) -> Reply:
    """Refuse a call that could not be booked; it was not run."""
    detail = 'try again with the same Idempotency-Key'
    return Reply(number, Err(fail(ResultCode.LEDGER_UNAVAILABLE, detail)))


@singledispatch
def answer_booking(
    question: Any, part: BookingPart, number: int, now: float
) -> list[Effect | Reply]:
    """Answer a question of a request's filter."""
    raise TypeError(f'no such question: {question!r}')


@answer_booking.register
def _(
    question: Book, part: BookingPart, number: int, now: float
) -> list[Effect | Reply]:
    pending = PendingBooking(number, question, now + LEDGER_SECONDS)
    part.pending[question.exchange] = pending
    reserve = Reserve(question.key, question.call, question.exchange)
    return [SendPeer(part.steward, reserve)]


@answer_booking.register
def _(
    question: CloseBooking, part: BookingPart, number: int, now: float
) -> list[Effect | Reply]:
    settle = Settle(question.key, question.exchange, question.outcome)
    return [SendPeer(part.steward, settle), Reply(number, Ok(None))]
