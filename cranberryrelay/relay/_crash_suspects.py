"""Finds the prompt segments that crash engines, from what all instances see.

An engine that crashes on a segment does so before it sends more than one event
of the answer.  The segments of all runs that it had begun and broke off at that
point are therefore suspects, except those with which a run has got further on
any engine.  A suspect may run once at a time in the whole fleet, as a trial;
after a second crash, requests with it are refused.
"""

import logging
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum, auto
from typing import Final, NamedTuple

from cranberryrelay.policy import (
    SUSPECT_TTL_SECONDS,
    SuspectCrash,
    SuspectRegistry,
)

# Events after which an engine has survived the start of an answer.
PROOF_EVENTS: Final = 2

# An engine that is found gone within this time of breaking off a run has
# crashed on it.  Its entry in the store is removed after three heartbeats.
CONFIRMATION_WINDOW_SECONDS: Final = 5.0

# A segment that has run within this time is not a suspect.
PROOF_TTL_SECONDS: Final = 300.0
PROOFS_LIMIT: Final = 8192

# Engines that are remembered as gone.
GONE_LIMIT: Final = 256

# Longest time that the prefill and the start of the answer of a trial take.
TRIAL_SECONDS: Final = 2.0

_LOG: Final = logging.getLogger('cranberryrelay.relay')


class Clearance(Enum):
    """Whether a request may be sent to an engine."""

    GRANTED = auto()

    # Only while no other request with the same suspects runs anywhere.
    TRIAL_ONLY = auto()

    REFUSED = auto()


class SegmentCrash(NamedTuple):
    """A crash of an engine during which a prompt segment was running."""

    # Digest of the segment.
    digest: str

    # Id of the crash: the engine's incarnation.
    engine: str

    # Time since the crash, in seconds.
    age_seconds: float


class SuspectNews(NamedTuple):
    """What an instance tells the others about suspect segments."""

    # Crashes that were not known before.
    crashes: list[SegmentCrash]

    # Digests of suspect segments that have run without a crash.
    proven: list[str]

    # Digests of suspect segments of which a trial begins.
    trials: list[str]

    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not any(self)


class InterruptedRun(NamedTuple):
    """A run that an engine broke off before it had proven its segments."""

    # Digests of the segments that may have been the cause.
    digests: frozenset[str]

    # Time at which it broke off, in seconds on the local clock.
    interrupted_at: float


class EngineCrash(NamedTuple):
    """A crash that the other instances have not been told of."""

    # Digest of the suspect segment.
    digest: str

    # Id of the crash: the engine's incarnation.
    engine: str

    # Time of the crash, in seconds on the local clock.
    crashed_at: float


class CrashSuspects:
    """The suspect segments known to one instance; owned by a single task."""

    def __init__(self) -> None:
        self.registry = SuspectRegistry()
        self.proven_at: OrderedDict[str, float] = OrderedDict()
        self.trials_until: dict[str, float] = {}
        self.interrupted: dict[str, list[InterruptedRun]] = {}
        self.gone: dict[str, None] = {}
        self.last_crash_at = float('-inf')
        self.new_crashes: list[EngineCrash] = []
        self.new_proofs: list[str] = []
        self.new_trials: list[str] = []

    def judge(self, digests: Iterable[str], now: float) -> Clearance:
        """Return whether a request with these segments may be sent."""
        suspects = self.suspects_among(digests, now)
        if any(self.registry.must_refuse(one, now) for one in suspects):
            return Clearance.REFUSED
        return Clearance.TRIAL_ONLY if suspects else Clearance.GRANTED

    def suspects_among(
        self, digests: Iterable[str], now: float
    ) -> frozenset[str]:
        """Return the digests that are suspects."""
        if not self.registry.records:
            return frozenset()
        return frozenset(
            one for one in digests if self.registry.must_isolate(one, now)
        )

    def unproven_among(
        self, digests: Iterable[str], now: float
    ) -> frozenset[str]:
        """Return the digests with which no run has succeeded recently."""
        return frozenset(
            one for one in digests if not self._is_proven(one, now)
        )

    def record_interrupted(
        self, engine: str, digests: Iterable[str], now: float
    ) -> None:
        """Record a run that broke off early; a crash if its engine is gone."""
        unproven = self.unproven_among(digests, now)
        if not unproven:
            return
        run = InterruptedRun(unproven, now)
        self.interrupted.setdefault(engine, []).append(run)
        if self.is_gone(engine):
            self.record_gone(engine)

    def record_gone(self, engine: str) -> None:
        """Record that an engine cannot be reached or has left or restarted."""
        self.gone[engine] = None
        if len(self.gone) > GONE_LIMIT:
            self.gone.pop(next(iter(self.gone)))
        for run in self.interrupted.pop(engine, []):
            crashed_at = run.interrupted_at
            for digest in self.unproven_among(run.digests, crashed_at):
                if self._record_crash(digest, engine, crashed_at):
                    crash = EngineCrash(digest, engine, crashed_at)
                    self.new_crashes.append(crash)

    def is_gone(self, engine: str) -> bool:
        """Return whether an engine was found gone and has not answered."""
        return engine in self.gone

    def record_answer(self, engine: str) -> None:
        """Record that an engine answers, so that it is not gone."""
        self.gone.pop(engine, None)

    def drop_unconfirmed(self, now: float) -> None:
        """Drop the runs whose engine was not found gone in time."""
        oldest = now - CONFIRMATION_WINDOW_SECONDS
        for engine, runs in list(self.interrupted.items()):
            if runs[-1].interrupted_at < oldest:
                self.interrupted.pop(engine)

    def prove(self, digests: Iterable[str], now: float) -> None:
        """Record a run that got past the start of its answer."""
        for digest in digests:
            if self.registry.must_isolate(digest, now):
                self.new_proofs.append(digest)
            self._add_proof(digest, now)

    def is_on_trial(self, digests: Iterable[str], now: float) -> bool:
        """Return whether a trial of any of these segments is running."""
        return any(self.trials_until.get(one, 0) > now for one in digests)

    def begin_trial(self, digests: frozenset[str], now: float) -> None:
        """Record the start of a trial here, and tell the other instances."""
        self._add_trials(digests, now)
        self.new_trials.extend(sorted(digests))

    def apply_news(self, news: SuspectNews, now: float) -> SuspectNews:
        """Apply the news of a peer; return the part that was new here."""
        new = make_suspect_news()
        for crash in news.crashes:
            crashed_at = now - crash.age_seconds
            if self._is_proven(crash.digest, now):
                self.new_proofs.append(crash.digest)
            elif self._record_crash(crash.digest, crash.engine, crashed_at):
                new.crashes.append(crash)
        for digest in news.proven:
            if self.registry.must_isolate(digest, now):
                new.proven.append(digest)
            self._add_proof(digest, now)
        new.trials.extend(
            one for one in news.trials if not self.is_on_trial((one,), now)
        )
        self._add_trials(new.trials, now)
        return new

    def has_news(self) -> bool:
        """Return whether there is something to tell the other instances."""
        return bool(self.new_crashes or self.new_proofs or self.new_trials)

    def take_news(self, now: float) -> SuspectNews:
        """Return what has not been told to the others yet, and clear it."""
        crashes = [
            SegmentCrash(one.digest, one.engine, now - one.crashed_at)
            for one in self.new_crashes
        ]
        news = SuspectNews(crashes, self.new_proofs, self.new_trials)
        self.new_crashes = []
        self.new_proofs = []
        self.new_trials = []
        return news

    def summarize(self, now: float) -> SuspectNews:
        """Return all valid records, for an instance that has just started."""
        summary = make_suspect_news()
        for digest, record in self.registry.valid_records(now).items():
            age = SUSPECT_TTL_SECONDS - (record.expires_at - now)
            summary.crashes.extend(
                SegmentCrash(digest, engine, age)
                for engine in sorted(record.crashes)
            )
        return summary

    def _record_crash(
        self, digest: str, engine: str, crashed_at: float
    ) -> bool:
        report = SuspectCrash(digest, engine, alone=False)
        if not self.registry.record(report, crashed_at):
            return False
        self.last_crash_at = max(self.last_crash_at, crashed_at)
        _LOG.info(
            'segment suspected',
            extra={
                'segment': digest,
                'upstream': engine,
                'refused': self.registry.must_refuse(digest, crashed_at),
            },
        )
        return True

    def _is_proven(self, digest: str, now: float) -> bool:
        proven_at = self.proven_at.get(digest, float('-inf'))
        return now - proven_at <= PROOF_TTL_SECONDS

    def _add_proof(self, digest: str, now: float) -> None:
        if self.registry.must_isolate(digest, now):
            _LOG.info('segment cleared', extra={'segment': digest})
        self.registry.clear(digest)
        self.trials_until.pop(digest, None)
        self.proven_at[digest] = now
        self.proven_at.move_to_end(digest)
        if len(self.proven_at) > PROOFS_LIMIT:
            self.proven_at.popitem(last=False)

    def _add_trials(self, digests: Iterable[str], now: float) -> None:
        for known, until in list(self.trials_until.items()):
            if until <= now:
                self.trials_until.pop(known)
        for digest in digests:
            self.trials_until[digest] = now + TRIAL_SECONDS


def make_suspect_news() -> SuspectNews:
    """Return empty news."""
    return SuspectNews([], [], [])
