"""Requests that crash engines, and the bound on what they cost.

A fingerprint that was running on an engine when it crashed is a suspect.
After one crash it runs alone on an engine; after two it is refused until
its record expires.  Records are shared between instances.
"""

from typing import Final, NamedTuple

CRASHES_TO_REFUSE: Final = 2
SUSPECT_TTL_SECONDS: Final = 900.0
SUSPECTS_LIMIT: Final = 2048


class SuspectRecord(NamedTuple):
    """What is known of a request that ran when engines crashed."""

    # Engine crashes that it was running in.
    crashes: int

    # When the record expires, on the own clock.
    expires_at: float


class SuspectCrash(NamedTuple):
    """Tells other instances of a crash that a request was in."""

    # Digest of the caller, the kind of work and the prompt.
    fingerprint: str

    # Differs for each crash, so a crash is counted once.
    crash: str

    # True if no other request was running on the engine.
    alone: bool


class SuspectBook:
    """Suspects as one instance knows them; one task owns it."""

    def __init__(self) -> None:
        self.records: dict[str, SuspectRecord] = {}
        self.counted: dict[str, float] = {}
        self.running: set[str] = set()

    def record(self, crash: SuspectCrash, now: float) -> None:
        """Count a crash once for its request."""
        self._expire(now)
        if crash.crash in self.counted:
            return
        expires_at = now + SUSPECT_TTL_SECONDS
        self.counted[crash.crash] = expires_at
        known = self.records.get(crash.fingerprint)
        crashes = known.crashes + 1 if known else 1
        record = SuspectRecord(crashes, expires_at)
        self.records[crash.fingerprint] = record

    def must_refuse(self, fingerprint: str, now: float) -> bool:
        """Tell if a request crashed too many engines to run again."""
        known = self._known(fingerprint, now)
        return known is not None and known.crashes >= CRASHES_TO_REFUSE

    def must_isolate(self, fingerprint: str, now: float) -> bool:
        """Tell if a request may only run alone."""
        return self._known(fingerprint, now) is not None

    def clear(self, fingerprint: str) -> None:
        """Forget a request that was answered whole."""
        self.records.pop(fingerprint, None)

    def _known(self, fingerprint: str, now: float) -> SuspectRecord | None:
        known = self.records.get(fingerprint)
        return known if known and known.expires_at > now else None

    def _expire(self, now: float) -> None:
        over = len(self.counted) >= SUSPECTS_LIMIT
        self.counted = {
            crash: expires_at
            for crash, expires_at in self.counted.items()
            if expires_at > now
        }
        if over:
            self.records = {
                fingerprint: record
                for fingerprint, record in self.records.items()
                if record.expires_at > now
            }
