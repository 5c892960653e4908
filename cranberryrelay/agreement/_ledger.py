"""Ledger of calls that must not run more than once.

Each partition is a log of objects; a conditional create appends an object at
the next position.  A writer appends only after it has read all earlier
objects.  If two instances append at the same time, one of them finds the
position occupied, reads that object and decides again, so they can't both
reserve a key.  Ownership of partitions by hash only serves group commit; no
reservation depends on it.
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
GROUP_COMMIT_SECONDS: Final = 0.05

# Longest body of an outcome that is stored and replayed.
OUTCOME_BYTES_LIMIT: Final = 4096
_POSITION_DIGITS: Final = 10
_HEX_BASE: Final = 16


class Verdict(StrEnum):
    """Decision of the ledger on a call."""

    # The key is reserved for this attempt; it may be dispatched once.
    RUN = 'run'

    # The call has run; its stored outcome is returned.
    REPLAY = 'replay'

    # The key is reserved for another attempt, which has no outcome yet.
    UNRESOLVED = 'unresolved'

    # The key was used for a call with another route or body.
    MISMATCH = 'mismatch'

    # The ledger could not be read or written, or its queue is full.
    UNAVAILABLE = 'unavailable'


class Outcome(NamedTuple):
    """Outcome of a reserved call."""

    # HTTP status of the service's response; 0 if the call was not run.
    status: int

    # Media type of the response.
    media_type: str

    # Body of the response, up to ``OUTCOME_BYTES_LIMIT``.
    body: bytes


class Reserve(NamedTuple):
    """Request to reserve a key for a call before it is dispatched."""

    # Digest of the caller and its Idempotency-Key header.
    key: str

    # Digest of the call's route and body.
    call_digest: str

    # Unique id of this attempt.
    attempt_id: str


class Reserved(NamedTuple):
    """The ledger's reply to a Reserve message."""

    # Id of the attempt.
    attempt_id: str

    # Decision on the call.
    verdict: Verdict

    # Outcome of the earlier run if it is replayed; else None.
    outcome: Outcome | None = None


class Settle(NamedTuple):
    """Report of the outcome of a reserved call."""

    # Digest of the caller and its Idempotency-Key header.
    key: str

    # Id of the attempt that holds the reservation.
    attempt_id: str

    # Outcome of the call.
    outcome: Outcome


class Settled(NamedTuple):
    """Acknowledgement of a Settle message: its outcome is in the ledger."""

    # Id of the attempt.
    attempt_id: str


class LedgerEntry(NamedTuple):
    """An entry of a partition's log: a reservation or its outcome."""

    # Digest of the caller and its Idempotency-Key header.
    key: str

    # Digest of the call's route and body; empty for an outcome.
    call_digest: str

    # Id of the attempt.
    attempt_id: str

    # Outcome of the call; None for a reservation.
    outcome: Outcome | None = None


class LedgerBatch(NamedTuple):
    """Value of one object of a partition's log."""

    # Unique id of the write, which identifies it if its answer was lost.
    writer: str

    # Entries in the order in which they apply.
    entries: tuple[LedgerEntry, ...]


class Reservation(NamedTuple):
    """State of a reserved key."""

    # Digest of the call's route and body.
    call_digest: str

    # Id of the attempt that holds the reservation.
    attempt_id: str

    # Outcome of the call; None while it is unknown.
    outcome: Outcome | None


class PendingRequest(NamedTuple):
    """A message that is queued until the log decides it, and its sender."""

    # Name of the instance or entry that sent it.
    sender: str

    # Request for a reservation, or report of an outcome.
    message: Reserve | Settle


def partition_of(key: str) -> int:
    """Return the partition to which a key digest belongs."""
    return int(key[:8], _HEX_BASE) % PARTITION_COUNT


def ledger_key(partition: int, position: int) -> str:
    """Return the object key of a position in a partition's log."""
    return f'ledger/{partition}/{position:0{_POSITION_DIGITS}}'


class LedgerWriter:
    """Writes the log of one partition; owned by a single task."""

    def __init__(self, partition: int, incarnation: str) -> None:
        self.partition = partition
        self.incarnation = incarnation
        self.position = 1
        self.caught_up = False
        self.busy = False
        self.write_attempts = 0
        self.reservations: dict[str, Reservation] = {}
        self.pending: list[PendingRequest] = []
        self.in_flight: tuple[PendingRequest, ...] = ()
        self.abandoned: dict[str, str] = {}
        self.catch_up_pending = False
        self.written_at = float('-inf')

    def on_tick(self, now: float) -> list[Effect]:
        """Read the next object of the log, or write the pending batch."""
        if self.busy or not (
            self.pending or self.abandoned or self.catch_up_pending
        ):
            return []
        if not self.caught_up:
            return self._read()
        if now - self.written_at < GROUP_COMMIT_SECONDS:
            return []
        return self._write(now)

    def receive(self, sender: str, message: Any, now: float) -> list[Effect]:
        """Queue a reservation or an outcome."""
        return [
            *handle_ledger_message(message, self, sender),
            *self.on_tick(now),
        ]

    def on_answer(self, answer: Answer, now: float) -> list[Effect]:
        """Handle an answer from the store."""
        effects = handle_ledger_answer(answer, self)
        return effects + self.on_tick(now)

    def owns_key(self, key: str) -> bool:
        """Return whether an object key belongs to this partition's log."""
        return key.startswith(f'ledger/{self.partition}/')

    def apply(self, batch: LedgerBatch) -> None:
        """Apply a batch that is in the log."""
        for entry in batch.entries:
            apply_entry(self.reservations, entry)

    def _read(self) -> list[Effect]:
        self.busy = True
        return [StoreRead(ledger_key(self.partition, self.position))]

    def _write(self, now: float) -> list[Effect]:
        effects = self._answer_decided()
        ready = [request for request in self.pending if self._is_ready(request)]
        batch = tuple(ready[:BATCH_LIMIT])
        self.pending = [
            request for request in self.pending if request not in batch
        ]
        releases = tuple(
            LedgerEntry(key, '', attempt_id, NOT_RUN_OUTCOME)
            for attempt_id, key in self.abandoned.items()
            if is_open_reservation(self.reservations, key, attempt_id)
        )
        if not releases:
            self.abandoned.clear()
        if not (batch or releases):
            return effects
        self.in_flight = batch
        self.written_at = now
        self.write_attempts += 1
        self.busy = True
        entries = tuple(_make_entry(request.message) for request in batch)
        writer = f'{self.incarnation}.{self.write_attempts}'
        body = msgspec.json.encode(LedgerBatch(writer, entries + releases))
        key = ledger_key(self.partition, self.position)
        return [*effects, StoreWrite(key, body, 0, writer)]

    def _answer_decided(self) -> list[Effect]:
        """Answer what the log already decides; keep the rest pending."""
        effects: list[Effect] = []
        kept: list[PendingRequest] = []
        keys_in_batch: set[str] = set()
        settling_keys = {
            request.message.key
            for request in self.pending
            if isinstance(request.message, Settle)
        }
        for request in self.pending:
            reply = reply_from_log(self.reservations, request.message)
            if is_unresolved(reply) and request.message.key in settling_keys:
                kept.append(request)
                continue
            if reply is None and request.message.key in keys_in_batch:
                reply = _answer_duplicate(request.message)
            if reply is None:
                keys_in_batch.add(request.message.key)
                kept.append(request)
            else:
                effects.append(SendPeer(request.sender, reply))
        self.pending = kept
        return effects

    def _is_ready(self, request: PendingRequest) -> bool:
        """Return whether a message still has to be written."""
        return reply_from_log(self.reservations, request.message) is None

    def finish_write(self) -> list[Effect]:
        """Confirm the requests whose entries are now in the log."""
        answers: list[Effect] = [
            SendPeer(request.sender, _confirm(request.message))
            for request in self.in_flight
        ]
        self.in_flight = ()
        self.position += 1
        self.catch_up_pending = False
        return answers

    def refuse_write(self, *, outcome_unknown: bool) -> list[Effect]:
        """Refuse the reservations of a failed write; requeue its outcomes.

        A reservation that may have been written is marked as abandoned, so
        that a later write releases it.
        """
        effects: list[Effect] = []
        for request in self.in_flight:
            if isinstance(request.message, Reserve):
                if outcome_unknown:
                    self.abandoned[request.message.attempt_id] = (
                        request.message.key
                    )
                refusal = Reserved(
                    request.message.attempt_id, Verdict.UNAVAILABLE
                )
                effects.append(SendPeer(request.sender, refusal))
            else:
                self.pending.append(request)
        self.in_flight = ()
        return effects


NOT_RUN_OUTCOME: Final = Outcome(0, '', b'')


def apply_entry(
    reservations: dict[str, Reservation], entry: LedgerEntry
) -> None:
    """Apply a log entry; an outcome applies only to its own reservation."""
    known = reservations.get(entry.key)
    if entry.outcome is None:
        if known is None:
            reservation = Reservation(entry.call_digest, entry.attempt_id, None)
            reservations[entry.key] = reservation
        return
    if known is None or known.attempt_id != entry.attempt_id:
        return
    if known.outcome is not None:
        return
    if entry.outcome.status == 0:
        reservations.pop(entry.key)
    else:
        reservations[entry.key] = known._replace(outcome=entry.outcome)


def is_open_reservation(
    reservations: Mapping[str, Reservation], key: str, attempt_id: str
) -> bool:
    """Return whether the attempt holds the key and has no outcome yet."""
    known = reservations.get(key)
    return (
        known is not None
        and known.attempt_id == attempt_id
        and known.outcome is None
    )


def reply_from_log(
    reservations: Mapping[str, Reservation], message: Reserve | Settle
) -> Reserved | Settled | None:
    """Return the reply that the log decides; None if a write must decide."""
    known = reservations.get(message.key)
    if isinstance(message, Settle):
        is_open = is_open_reservation(
            reservations, message.key, message.attempt_id
        )
        return None if is_open else Settled(message.attempt_id)
    if known is None:
        return None
    if known.call_digest != message.call_digest:
        return Reserved(message.attempt_id, Verdict.MISMATCH)
    if known.outcome is not None:
        return Reserved(message.attempt_id, Verdict.REPLAY, known.outcome)
    if known.attempt_id == message.attempt_id:
        return Reserved(message.attempt_id, Verdict.RUN)
    return Reserved(message.attempt_id, Verdict.UNRESOLVED)


def is_unresolved(reply: Reserved | Settled | None) -> bool:
    """Return whether a reply says that an earlier attempt has no outcome."""
    return isinstance(reply, Reserved) and reply.verdict is Verdict.UNRESOLVED


def _answer_duplicate(message: Reserve | Settle) -> Reserved | Settled:
    if isinstance(message, Settle):
        return Settled(message.attempt_id)
    return Reserved(message.attempt_id, Verdict.UNRESOLVED)


def _confirm(message: Reserve | Settle) -> Reserved | Settled:
    if isinstance(message, Settle):
        return Settled(message.attempt_id)
    return Reserved(message.attempt_id, Verdict.RUN)


def _make_entry(message: Reserve | Settle) -> LedgerEntry:
    if isinstance(message, Settle):
        return LedgerEntry(message.key, '', message.attempt_id, message.outcome)
    return LedgerEntry(message.key, message.call_digest, message.attempt_id)


@singledispatch
def handle_ledger_message(
    message: Any, writer: LedgerWriter, sender: str
) -> list[Effect]:
    """Handle a message; types that are not registered are ignored."""
    return []


@handle_ledger_message.register(Reserve)
@handle_ledger_message.register(Settle)
def _(
    message: Reserve | Settle, writer: LedgerWriter, sender: str
) -> list[Effect]:
    if isinstance(message, Reserve) and len(writer.pending) >= BATCH_LIMIT:
        refusal = Reserved(message.attempt_id, Verdict.UNAVAILABLE)
        return [SendPeer(sender, refusal)]
    writer.pending.append(PendingRequest(sender, message))
    return []


@singledispatch
def handle_ledger_answer(answer: Any, writer: LedgerWriter) -> list[Effect]:
    """Handle an answer; types that are not registered are ignored."""
    return []


@handle_ledger_answer.register
def _(answer: ReadDone, writer: LedgerWriter) -> list[Effect]:
    if answer.read.key != ledger_key(writer.partition, writer.position):
        return []
    writer.busy = False
    if answer.outcome.is_ok():
        body = answer.outcome.unwrap().body
        writer.apply(msgspec.json.decode(body, type=LedgerBatch))
        writer.position += 1
        return []
    if answer.outcome.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
        writer.caught_up = True
        writer.catch_up_pending = False
        return []
    return _refuse_pending(writer)


@handle_ledger_answer.register
def _(answer: WriteDone, writer: LedgerWriter) -> list[Effect]:
    if not writer.owns_key(answer.write.key):
        return []
    writer.busy = False
    if answer.outcome.is_ok():
        writer.apply(msgspec.json.decode(answer.write.body, type=LedgerBatch))
        return writer.finish_write()
    code = answer.outcome.unwrap_err().code
    if code is ResultCode.STORE_CONFLICT:
        writer.pending = [*writer.in_flight, *writer.pending]
        writer.in_flight = ()
        writer.caught_up = False
        writer.catch_up_pending = True
        return []
    outcome_unknown = code is ResultCode.STORE_OUTCOME_UNKNOWN
    writer.caught_up = writer.caught_up and not outcome_unknown
    writer.catch_up_pending = outcome_unknown
    return writer.refuse_write(outcome_unknown=outcome_unknown)


def _refuse_pending(writer: LedgerWriter) -> list[Effect]:
    effects: list[Effect] = []
    kept: list[PendingRequest] = []
    for request in writer.pending:
        if isinstance(request.message, Reserve):
            refusal = Reserved(request.message.attempt_id, Verdict.UNAVAILABLE)
            effects.append(SendPeer(request.sender, refusal))
        else:
            kept.append(request)
    writer.pending = kept
    return effects
