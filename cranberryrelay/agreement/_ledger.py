"""The ledger of calls that may not be repeated.

Each partition is a log of objects, every one made by a conditional create
at the next place.  Whoever appends has read all that stands before, so two
instances that append at once can not both book a key: one of them finds its
place taken, reads it and decides again.  Ownership by hash only serves
group commit; no booking depends on it.
"""

from collections.abc import Mapping
from enum import StrEnum
from functools import singledispatch
from typing import Any, Final, NamedTuple

import msgspec

from cranberryrelay.agreement._effects import (
    Answer,
    Effect,
    ReadDone,
    SendPeer,
    StoreRead,
    StoreWrite,
    WriteDone,
)
from cranberryrelay.codes import ResultCode

PARTITION_COUNT: Final = 8
BATCH_LIMIT: Final = 512
GROUP_SECONDS: Final = 0.05
OUTCOME_BYTES_LIMIT: Final = 4096
_PLACE_DIGITS: Final = 10
_HEX_BASE: Final = 16


class Verdict(StrEnum):
    """What the ledger says of a call."""

    # Booked for this exchange; it may be dispatched, once.
    RUN = 'run'

    # It ran; the outcome is returned again.
    REPLAY = 'replay'

    # Another exchange is booked and has no outcome.
    UNRESOLVED = 'unresolved'

    # The key was used with another body.
    MISMATCH = 'mismatch'

    # The ledger could not be written.
    UNAVAILABLE = 'unavailable'


class Outcome(NamedTuple):
    """How a booked call ended."""

    # HTTP status of the service's answer; 0 when it was not run.
    status: int

    # Media type of the answer.
    media_type: str

    # The answer, up to ``OUTCOME_BYTES_LIMIT``.
    body: bytes


class Reserve(NamedTuple):
    """Ask to book a call before it is dispatched."""

    # Digest of the caller and its Idempotency-Key.
    key: str

    # Digest of the call's route and body.
    call: str

    # Fresh id of this attempt.
    exchange: str


class Reserved(NamedTuple):
    """The ledger's verdict on a call."""

    # Id of the attempt.
    exchange: str

    # What may be done.
    verdict: Verdict

    # Outcome of the earlier run, to replay.
    outcome: Outcome | None = None


class Settle(NamedTuple):
    """Report how a booked call ended."""

    # Digest of the caller and its Idempotency-Key.
    key: str

    # Id of the attempt that was booked.
    exchange: str

    # How it ended.
    outcome: Outcome


class Settled(NamedTuple):
    """The outcome is in the ledger."""

    # Id of the attempt.
    exchange: str


class LedgerEntry(NamedTuple):
    """One line of a partition's log: a booking, or its outcome."""

    # Digest of the caller and its Idempotency-Key.
    key: str

    # Digest of the call; empty for an outcome.
    call: str

    # Id of the attempt.
    exchange: str

    # How the call ended; None for a booking.
    outcome: Outcome | None = None


class LedgerBatch(NamedTuple):
    """The value of one object of a partition's log."""

    # Differs for every write, to know a lost answer's write again.
    writer: str

    # The lines, in order.
    entries: tuple[LedgerEntry, ...]


class Booking(NamedTuple):
    """What the ledger knows of a key."""

    # Digest of the call.
    call: str

    # Id of the attempt that is booked.
    exchange: str

    # How it ended; None while that is not known.
    outcome: Outcome | None


class Waiting(NamedTuple):
    """A message that waits for the log, and who sent it."""

    # The instance or entry that asked.
    sender: str

    # A reservation or an outcome.
    message: Reserve | Settle


def partition_of(key: str) -> int:
    """Return the partition of a key digest."""
    return int(key[:8], _HEX_BASE) % PARTITION_COUNT


def ledger_key(partition: int, place: int) -> str:
    """Return the key of the object at a place of a partition's log."""
    return f'ledger/{partition}/{place:0{_PLACE_DIGITS}}'


class LedgerPart:
    """Appends to one partition's log; one task owns it."""

    def __init__(self, partition: int, incarnation: str) -> None:
        self.partition = partition
        self.incarnation = incarnation
        self.place = 1
        self.caught_up = False
        self.busy = False
        self.attempts = 0
        self.bookings: dict[str, Booking] = {}
        self.waiting: list[Waiting] = []
        self.writing: tuple[Waiting, ...] = ()
        self.abandoned: dict[str, str] = {}
        self.unsure = False
        self.written_at = float('-inf')

    def on_tick(self, now: float) -> list[Effect]:
        """Read on, or write the batch that has gathered."""
        if self.busy or not (self.waiting or self.abandoned or self.unsure):
            return []
        if not self.caught_up:
            return self._read()
        if now - self.written_at < GROUP_SECONDS:
            return []
        return self._write(now)

    def receive(self, sender: str, message: Any, now: float) -> list[Effect]:
        """Take in a reservation or an outcome."""
        return [*attend_ledger(message, self, sender), *self.on_tick(now)]

    def on_answer(self, answer: Answer, now: float) -> list[Effect]:
        """Take in an answer of the store."""
        effects = take_ledger_answer(answer, self)
        return effects + self.on_tick(now)

    def owns_key(self, key: str) -> bool:
        """Tell if an object key is of this partition's log."""
        return key.startswith(f'ledger/{self.partition}/')

    def apply(self, batch: LedgerBatch) -> None:
        """Take in a batch that stands in the log."""
        for entry in batch.entries:
            apply_entry(self.bookings, entry)

    def _read(self) -> list[Effect]:
        self.busy = True
        return [StoreRead(ledger_key(self.partition, self.place))]

    def _write(self, now: float) -> list[Effect]:
        effects = self._answer_known()
        ready = [one for one in self.waiting if self._is_ready(one)]
        batch = tuple(ready[:BATCH_LIMIT])
        self.waiting = [one for one in self.waiting if one not in batch]
        releases = tuple(
            LedgerEntry(key, '', exchange, NOT_RUN_OUTCOME)
            for exchange, key in self.abandoned.items()
            if is_open_booking(self.bookings, key, exchange)
        )
        if not releases:
            self.abandoned.clear()
        if not (batch or releases):
            return effects
        self.writing = batch
        self.written_at = now
        self.attempts += 1
        self.busy = True
        entries = tuple(_as_entry(one.message) for one in batch)
        writer = f'{self.incarnation}.{self.attempts}'
        body = msgspec.json.encode(LedgerBatch(writer, entries + releases))
        key = ledger_key(self.partition, self.place)
        return [*effects, StoreWrite(key, body, 0, writer)]

    def _answer_known(self) -> list[Effect]:
        """Answer what the log already decides; keep the rest waiting."""
        effects: list[Effect] = []
        kept: list[Waiting] = []
        seen: set[str] = set()
        settling = {
            one.message.key
            for one in self.waiting
            if isinstance(one.message, Settle)
        }
        for one in self.waiting:
            verdict = judge(self.bookings, one.message)
            if is_unresolved(verdict) and one.message.key in settling:
                kept.append(one)
                continue
            if verdict is None and one.message.key in seen:
                verdict = _postpone(one.message)
            if verdict is None:
                seen.add(one.message.key)
                kept.append(one)
            else:
                effects.append(SendPeer(one.sender, verdict))
        self.waiting = kept
        return effects

    def _is_ready(self, one: Waiting) -> bool:
        """Tell if a message can be written now."""
        return judge(self.bookings, one.message) is None

    def finish_write(self) -> list[Effect]:
        """Answer everybody whose line is now in the log."""
        answers: list[Effect] = [
            SendPeer(one.sender, _confirm(one.message)) for one in self.writing
        ]
        self.writing = ()
        self.place += 1
        self.unsure = False
        return answers

    def refuse_write(self, *, unsure: bool) -> list[Effect]:
        """Answer that nothing was booked, or give it up if that is unsure."""
        effects: list[Effect] = []
        for one in self.writing:
            if isinstance(one.message, Reserve):
                if unsure:
                    self.abandoned[one.message.exchange] = one.message.key
                refusal = Reserved(one.message.exchange, Verdict.UNAVAILABLE)
                effects.append(SendPeer(one.sender, refusal))
            else:
                self.waiting.append(one)
        self.writing = ()
        return effects


NOT_RUN_OUTCOME: Final = Outcome(0, '', b'')


def apply_entry(bookings: dict[str, Booking], entry: LedgerEntry) -> None:
    """Apply one line of the log; an outcome fits only its own booking."""
    known = bookings.get(entry.key)
    if entry.outcome is None:
        if known is None:
            booking = Booking(entry.call, entry.exchange, None)
            bookings[entry.key] = booking
        return
    if known is None or known.exchange != entry.exchange:
        return
    if known.outcome is not None:
        return
    if entry.outcome.status == 0:
        bookings.pop(entry.key)
    else:
        bookings[entry.key] = known._replace(outcome=entry.outcome)


def is_open_booking(
    bookings: Mapping[str, Booking], key: str, exchange: str
) -> bool:
    """Tell if the key is booked for the exchange and has no outcome."""
    known = bookings.get(key)
    return (
        known is not None
        and known.exchange == exchange
        and known.outcome is None
    )


def judge(
    bookings: Mapping[str, Booking], message: Reserve | Settle
) -> Reserved | Settled | None:
    """Say what the log decides of a message, None if it must be written."""
    known = bookings.get(message.key)
    if isinstance(message, Settle):
        open_booking = is_open_booking(bookings, message.key, message.exchange)
        return None if open_booking else Settled(message.exchange)
    if known is None:
        return None
    if known.call != message.call:
        return Reserved(message.exchange, Verdict.MISMATCH)
    if known.outcome is not None:
        return Reserved(message.exchange, Verdict.REPLAY, known.outcome)
    if known.exchange == message.exchange:
        return Reserved(message.exchange, Verdict.RUN)
    return Reserved(message.exchange, Verdict.UNRESOLVED)


def is_unresolved(verdict: Reserved | Settled | None) -> bool:
    """Tell if a verdict says that an earlier attempt has no outcome."""
    return (
        isinstance(verdict, Reserved) and verdict.verdict is Verdict.UNRESOLVED
    )


def _postpone(message: Reserve | Settle) -> Reserved | Settled:
    if isinstance(message, Settle):
        return Settled(message.exchange)
    return Reserved(message.exchange, Verdict.UNRESOLVED)


def _confirm(message: Reserve | Settle) -> Reserved | Settled:
    if isinstance(message, Settle):
        return Settled(message.exchange)
    return Reserved(message.exchange, Verdict.RUN)


def _as_entry(message: Reserve | Settle) -> LedgerEntry:
    if isinstance(message, Settle):
        return LedgerEntry(message.key, '', message.exchange, message.outcome)
    return LedgerEntry(message.key, message.call, message.exchange)


@singledispatch
def attend_ledger(message: Any, part: LedgerPart, sender: str) -> list[Effect]:
    """Take in a message that is not for the ledger."""
    return []


@attend_ledger.register(Reserve)
@attend_ledger.register(Settle)
def _(message: Reserve | Settle, part: LedgerPart, sender: str) -> list[Effect]:
    if isinstance(message, Reserve) and len(part.waiting) >= BATCH_LIMIT:
        refusal = Reserved(message.exchange, Verdict.UNAVAILABLE)
        return [SendPeer(sender, refusal)]
    part.waiting.append(Waiting(sender, message))
    return []


@singledispatch
def take_ledger_answer(answer: Any, part: LedgerPart) -> list[Effect]:
    """Take in an answer that is not for the ledger."""
    return []


@take_ledger_answer.register
def _(answer: ReadDone, part: LedgerPart) -> list[Effect]:
    if answer.read.key != ledger_key(part.partition, part.place):
        return []
    part.busy = False
    if answer.outcome.is_ok():
        body = answer.outcome.unwrap().body
        part.apply(msgspec.json.decode(body, type=LedgerBatch))
        part.place += 1
        return []
    if answer.outcome.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
        part.caught_up = True
        part.unsure = False
        return []
    return _refuse_waiting(part)


@take_ledger_answer.register
def _(answer: WriteDone, part: LedgerPart) -> list[Effect]:
    if not part.owns_key(answer.write.key):
        return []
    part.busy = False
    if answer.outcome.is_ok():
        part.apply(msgspec.json.decode(answer.write.body, type=LedgerBatch))
        return part.finish_write()
    code = answer.outcome.unwrap_err().code
    if code is ResultCode.STORE_CONFLICT:
        part.waiting = [*part.writing, *part.waiting]
        part.writing = ()
        part.caught_up = False
        part.unsure = True
        return []
    unsure = code is ResultCode.STORE_OUTCOME_UNKNOWN
    part.caught_up = part.caught_up and not unsure
    part.unsure = unsure
    return part.refuse_write(unsure=unsure)


def _refuse_waiting(part: LedgerPart) -> list[Effect]:
    effects: list[Effect] = []
    kept: list[Waiting] = []
    for one in part.waiting:
        if isinstance(one.message, Reserve):
            refusal = Reserved(one.message.exchange, Verdict.UNAVAILABLE)
            effects.append(SendPeer(one.sender, refusal))
        else:
            kept.append(one)
    part.waiting = kept
    return effects
