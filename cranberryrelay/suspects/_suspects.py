"""Limits the engine crashes that a poison request can cause.

A request that was running on an engine when the engine crashed is a suspect;
it is identified by its fingerprint.  After one crash the request must run
alone on an engine; after two it is refused until its record expires.  Crashes
are reported to the other instances.  The relay applies the same to segments of
prompts, with their digests as fingerprints.
"""

from typing import Final, NamedTuple

CRASHES_TO_REFUSE: Final = 2
SUSPECT_TTL_SECONDS: Final = 900.0
SUSPECTS_LIMIT: Final = 2048


class SuspectRecord(NamedTuple):
    """The engine crashes during which a request was running."""

    # Ids of the crashes.
    crashes: frozenset[str]

    # Time at which the record expires, in seconds on the local clock.
    expires_at: float

    # Time of the last crash, in seconds on the local clock.
    last_crash_at: float


class SuspectCrash(NamedTuple):
    """Reports to other instances that a request ran on a crashed engine."""

    # Digest of the caller, the kind of work and the prompt.
    fingerprint: str

    # Id of the crash, so that a repeated report is counted once.
    crash: str

    # True if no other request was running on the engine.
    alone: bool


class SuspectRegistry:
    """The suspects known to one instance.

    Not safe for concurrent use: a single task owns it.
    """

    def __init__(self) -> None:
        self.records: dict[str, SuspectRecord] = {}
        self.expiry_by_crash: dict[tuple[str, str], float] = {}
        self.engines_running_suspects: set[str] = set()

    def record(self, crash: SuspectCrash, now: float) -> bool:
        """Count a crash against its request; return whether it was new."""
        self._expire(now)
        counted = (crash.fingerprint, crash.crash)
        if counted in self.expiry_by_crash:
            return False
        expires_at = now + SUSPECT_TTL_SECONDS
        self.expiry_by_crash[counted] = expires_at
        previous = self._find_valid(crash.fingerprint, now)
        record = SuspectRecord(frozenset((crash.crash,)), expires_at, now)
        if previous is not None:
            record = SuspectRecord(
                record.crashes | previous.crashes,
                max(expires_at, previous.expires_at),
                max(now, previous.last_crash_at),
            )
        self.records[crash.fingerprint] = record
        return True

    def must_refuse(self, fingerprint: str, now: float) -> bool:
        """Return whether a request has reached the limit of crashes."""
        record = self._find_valid(fingerprint, now)
        return record is not None and len(record.crashes) >= CRASHES_TO_REFUSE

    def must_isolate(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is a suspect and must run alone."""
        return self._find_valid(fingerprint, now) is not None

    def valid_records(self, now: float) -> dict[str, SuspectRecord]:
        """Return the records that have not expired, by fingerprint."""
        return {
            fingerprint: record
            for fingerprint, record in self.records.items()
            if record.expires_at > now
        }

    def last_crash_at(self, fingerprint: str, now: float) -> float:
        """Return the time of a request's last crash; -inf if it has none."""
        record = self._find_valid(fingerprint, now)
        return record.last_crash_at if record else float('-inf')

    def retract(self, crash: str) -> None:
        """Remove a crash that did not happen from all records."""
        for fingerprint, record in list(self.records.items()):
            crashes = record.crashes - {crash}
            if not crashes:
                self.records.pop(fingerprint)
            elif crashes != record.crashes:
                self.records[fingerprint] = record._replace(crashes=crashes)
        self.expiry_by_crash = {
            counted: expires_at
            for counted, expires_at in self.expiry_by_crash.items()
            if counted[1] != crash
        }

    def clear(self, fingerprint: str) -> None:
        """Remove the record of a request that was answered completely."""
        self.records.pop(fingerprint, None)

    def _find_valid(self, fingerprint: str, now: float) -> SuspectRecord | None:
        record = self.records.get(fingerprint)
        return record if record and record.expires_at > now else None

    def _expire(self, now: float) -> None:
        at_limit = len(self.expiry_by_crash) >= SUSPECTS_LIMIT
        self.expiry_by_crash = {
            crash: expires_at
            for crash, expires_at in self.expiry_by_crash.items()
            if expires_at > now
        }
        if at_limit:
            self.records = self.valid_records(now)
