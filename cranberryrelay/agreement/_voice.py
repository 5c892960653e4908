"""The voice of a failure domain: one instance that confirms revisions.

The voice is an object of the platform, taken and changed by conditional
update.  Its holder confirms a revision first in memory, then in the object,
so any word it gives after the object shows a revision includes it.  The
voice passes to another instance only when its holder released it, was
restarted, or has been gone from the platform's list for longer than the
list can lag.  A holder that was restarted knows nothing until it has taken
the voice again with a read of the latest version.
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
VOICE_READ_SECONDS: Final = 1.0
_RELEASED: Final = ''


class VoiceRecord(NamedTuple):
    """The value of a voice object."""

    # Instance that holds the voice; empty when released.
    holder: str

    # Incarnation of the holder.
    incarnation: str

    # Highest revision confirmed for the failure domain.
    confirmed: int


class Identity(NamedTuple):
    """Who a process is."""

    # The instance as the platform lists it.
    listed: ListedInstance

    # Differs at each start of the process.
    incarnation: str


def voice_key(domain: str) -> str:
    """Return the key of a failure domain's voice object."""
    return f'voices/{domain}'


def decode_voice(body: bytes) -> VoiceRecord:
    """Decode the value of a voice object."""
    return msgspec.json.decode(body, type=VoiceRecord)


class AbsenceClock:
    """Since when instances have been missing from the platform's list.

    A list can lag by ``LIST_LAG_SECONDS``.  An instance that was alive at
    some time and is missing from every read of the list up to one sent
    more than the lag later has stopped.
    """

    def __init__(self) -> None:
        self.absent_since: dict[str, float] = {}
        self.listed: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self.read_at = float('-inf')

    def record(
        self, instances: Iterable[ListedInstance], sent_at: float
    ) -> None:
        """Take in a list read that was sent at ``sent_at``."""
        self.read_at = sent_at
        everyone = tuple(instances)
        self.listed = frozenset(
            one.instance for one in everyone if one.sort == ENTRY_SORT
        )
        self.leaving = frozenset(
            one.instance for one in everyone if one.leaving
        )
        for name in self.listed:
            self.absent_since.pop(name, None)

    def is_gone(self, instance: str, now: float) -> bool:
        """Tell if an instance known to have lived has stopped."""
        if instance in self.listed:
            return False
        since = self.absent_since.setdefault(instance, now)
        return self.read_at - since > LIST_LAG_SECONDS


class VoicePart:
    """Takes, keeps and releases the voice of the own failure domain."""

    def __init__(self, me: Identity) -> None:
        self.me = me
        self.key = voice_key(me.listed.domain)
        self.record: VoiceRecord | None = None
        self.version = 0
        self.confirmed = 0
        self.holding = False
        self.busy = False
        self.read_at = float('-inf')
        self.leaving = False

    def word(self) -> int | None:
        """Return what this instance may say for its domain, if anything."""
        return self.confirmed if self.holding else None

    def on_tick(
        self,
        now: float,
        *,
        candidate: bool,
        applied: int,
        absence: AbsenceClock,
    ) -> list[Effect]:
        """Do the next step: confirm, take over, release or read."""
        if self.busy:
            return []
        if self.holding:
            return self._keep(applied)
        if not candidate or self.leaving:
            return []
        if self.record is None or now - self.read_at > VOICE_READ_SECONDS:
            return self._read(now)
        return self._take(now, absence)

    def on_read(self, done: ReadDone) -> None:
        """Take in the voice object."""
        self.busy = False
        if done.outcome.is_ok():
            stored = done.outcome.unwrap()
            self.record = decode_voice(stored.body)
            self.version = stored.version
        elif done.outcome.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
            self.record = VoiceRecord(_RELEASED, '', 0)
            self.version = 0

    def on_write(self, done: WriteDone) -> None:
        """Take in the answer to a write of the voice object.

        An answer that is lost leaves the version unknown: the holder keeps
        its word, which can only be too high for others, and reads again.
        """
        self.busy = False
        written = decode_voice(done.write.body)
        if done.outcome.is_ok():
            self.version = done.outcome.unwrap()
            self.record = written
            self.holding = self._is_me(written)
            self.confirmed = max(self.confirmed, written.confirmed)
            return
        code = done.outcome.unwrap_err().code
        if code is ResultCode.STORE_UNAVAILABLE:
            return
        self.holding = False
        self.record = None

    def _keep(self, applied: int) -> list[Effect]:
        if self.leaving:
            self.holding = False
            return self._write(VoiceRecord(_RELEASED, '', self.confirmed))
        assert self.record is not None
        if applied <= self.record.confirmed:
            return []
        self.confirmed = applied
        return self._write(self.record._replace(confirmed=applied))

    def _take(self, now: float, absence: AbsenceClock) -> list[Effect]:
        assert self.record is not None
        holder = self.record.holder
        mine = holder in {_RELEASED, self.me.listed.instance}
        if not mine and not absence.is_gone(holder, now):
            return []
        self.confirmed = self.record.confirmed
        taken = VoiceRecord(
            self.me.listed.instance,
            self.me.incarnation,
            self.record.confirmed,
        )
        return self._write(taken)

    def _is_me(self, record: VoiceRecord) -> bool:
        return record.incarnation == self.me.incarnation

    def _read(self, now: float) -> list[Effect]:
        self.busy = True
        self.read_at = now
        return [StoreRead(self.key)]

    def _write(self, record: VoiceRecord) -> list[Effect]:
        self.busy = True
        body = msgspec.json.encode(record)
        return [StoreWrite(self.key, body, self.version)]
