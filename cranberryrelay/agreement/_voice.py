"""The vote of a failure domain on the revisions of release notes.

Each failure domain has one vote, cast by one instance, its voter.  The vote
record is an object of the platform, which the voter acquires and changes by
conditional update.  The voter confirms a revision in memory first, then in
the record, so each vote that it sends after the record shows a revision
includes that revision.  Another process becomes the voter only if the
current one released the vote, was restarted (as a new incarnation of the
same instance), or has been missing from the platform's list for longer than
the list can lag.  A restarted voter has no vote to send until it has read
the latest version of the record and acquired it again.

On the wire and in the store the vote has the name voice (``AskVoice``,
``VoiceWord`` and the keys ``voices/...``).
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

import msgspec

from cranberryrelay.agreement._effects import (
    Effect,
    ReadDone,
    StoreRead,
    StoreWrite,
    WriteDone,
)
from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import ENTRY_SORT, ListedInstance

LIST_LAG_SECONDS: Final = 4.0
VOTE_READ_INTERVAL_SECONDS: Final = 1.0
_RELEASED: Final = ''


class VoteRecord(NamedTuple):
    """The value of a vote record; stored as an array."""

    # Name of the instance that is the voter; empty when released.
    holder: str

    # Incarnation of the voter.
    incarnation: str

    # Highest revision that the voter confirmed for the failure domain.
    confirmed: int


class Identity(NamedTuple):
    """An instance and its incarnation."""

    # The instance as the platform lists it.
    listed: ListedInstance

    # Unique for each start of the process.
    incarnation: str


def vote_key(domain: str) -> str:
    """Return the store key of a failure domain's vote record."""
    return f'voices/{domain}'


def decode_vote(body: bytes) -> VoteRecord:
    """Decode the value of a vote record."""
    return msgspec.json.decode(body, type=VoteRecord)


class AbsenceTracker:
    """Records since when instances are missing from the platform's list.

    The list can lag by ``LIST_LAG_SECONDS``.  An instance that was alive at
    some time has stopped if it is missing from every read of the list from
    then on, up to and including one sent more than that lag later.
    """

    def __init__(self) -> None:
        self.absent_since: dict[str, float] = {}
        self.listed: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self.read_at = float('-inf')

    def record(
        self, instances: Iterable[ListedInstance], sent_at: float
    ) -> None:
        """Apply the result of a list read that was sent at ``sent_at``."""
        self.read_at = sent_at
        all_instances = tuple(instances)
        self.listed = frozenset(
            listed.instance
            for listed in all_instances
            if listed.sort == ENTRY_SORT
        )
        self.leaving = frozenset(
            listed.instance for listed in all_instances if listed.leaving
        )
        for name in self.listed:
            self.absent_since.pop(name, None)

    def has_stopped(self, instance: str, now: float) -> bool:
        """Return whether an instance known to have run has stopped."""
        if instance in self.listed:
            return False
        since = self.absent_since.setdefault(instance, now)
        return self.read_at - since > LIST_LAG_SECONDS


class DomainVoter:
    """Acquires, casts and releases the vote of its own failure domain."""

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.key = vote_key(me.listed.domain)
        self.record: VoteRecord | None = None
        self.version = 0
        self.confirmed = 0
        self.is_voter = False
        self.request_in_flight = False
        self.read_at = float('-inf')
        self.leaving = False

    def current_vote(self) -> int | None:
        """Return the highest confirmed revision; None if not the voter."""
        return self.confirmed if self.is_voter else None

    def on_tick(
        self,
        now: float,
        *,
        candidate: bool,
        applied: int,
        absence: AbsenceTracker,
    ) -> list[Effect]:
        """Confirm, release, read or acquire the vote record, as is due."""
        if self.request_in_flight:
            return []
        if self.is_voter:
            return self._confirm_or_release(applied)
        if not candidate or self.leaving:
            return []
        if (
            self.record is None
            or now - self.read_at > VOTE_READ_INTERVAL_SECONDS
        ):
            return self._read(now)
        return self._claim(now, absence)

    def on_read(self, answer: ReadDone) -> None:
        """Handle the result of a read of the vote record."""
        self.request_in_flight = False
        if answer.outcome.is_ok():
            stored = answer.outcome.unwrap()
            self.record = decode_vote(stored.body)
            self.version = stored.version
        elif answer.outcome.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
            self.record = VoteRecord(_RELEASED, '', 0)
            self.version = 0

    def on_write(self, answer: WriteDone) -> None:
        """Handle the result of a write of the vote record.

        If the store was unavailable, the voter keeps its vote, which can
        only be higher than the record, never lower.  After any other
        failure, such as a lost answer, the version is unknown: the instance
        stops voting and reads the record again.
        """
        self.request_in_flight = False
        written = decode_vote(answer.write.body)
        if answer.outcome.is_ok():
            self.version = answer.outcome.unwrap()
            self.record = written
            self.is_voter = self._is_own(written)
            self.confirmed = max(self.confirmed, written.confirmed)
            return
        code = answer.outcome.unwrap_err().code
        if code is ResultCode.STORE_UNAVAILABLE:
            return
        self.is_voter = False
        self.record = None

    def _confirm_or_release(self, applied: int) -> list[Effect]:
        if self.leaving:
            self.is_voter = False
            return self._write(VoteRecord(_RELEASED, '', self.confirmed))
        assert self.record is not None
        if applied <= self.record.confirmed:
            return []
        self.confirmed = applied
        return self._write(self.record._replace(confirmed=applied))

    def _claim(self, now: float, absence: AbsenceTracker) -> list[Effect]:
        assert self.record is not None
        holder = self.record.holder
        claimable = holder in {_RELEASED, self.me.listed.instance}
        if not claimable and not absence.has_stopped(holder, now):
            return []
        self.confirmed = self.record.confirmed
        claimed = VoteRecord(
            self.me.listed.instance,
            self.me.incarnation,
            self.record.confirmed,
        )
        return self._write(claimed)

    def _is_own(self, record: VoteRecord) -> bool:
        return record.incarnation == self.me.incarnation

    def _read(self, now: float) -> list[Effect]:
        self.request_in_flight = True
        self.read_at = now
        return [StoreRead(self.key)]

    def _write(self, record: VoteRecord) -> list[Effect]:
        self.request_in_flight = True
        body = msgspec.json.encode(record)
        return [StoreWrite(self.key, body, self.version)]
