"""Finds the requests that crash upstreams, from what all instances see.

What identifies a suspect is a digest: of a request as a whole, or of a segment
of a prompt.  An engine that crashes on a segment does so before it sends more
than one event of the answer.  The digests of all runs that an upstream had
begun and broke off are therefore suspects, except those with which a run has
got further on any upstream.  A suspect may run once at a time in the whole
fleet, as a trial; after a crash of a run that was sent later than the crash
before, requests with it are refused.  Upstreams that end together, as when a
failure domain is lost, thus count as one crash.

A run also breaks off when only the connection is lost.  An instance to which
the upstream goes on answering then refutes the crash.
"""

import logging
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum, auto
from typing import Final, NamedTuple

from cranberryrelay.relay._answer_history import AnswerHistory
from cranberryrelay.suspects import SuspectCrash, SuspectRegistry

# Events after which an engine has survived the start of an answer.
PROOF_EVENTS: Final = 2

# An engine that is found gone within this time of breaking off a run has
# crashed on it.  Its entry in the store is removed after three heartbeats.
CONFIRMATION_WINDOW_SECONDS: Final = 5.0

# A digest with which a run succeeded within this time is not a suspect.
PROOF_TTL_SECONDS: Final = 300.0
PROOFS_LIMIT: Final = 8192

# Engines that are remembered as gone.
GONE_LIMIT: Final = 256

# Longest time that a trial takes: the prefill and the start of the answer, or a
# call of a plain service.
TRIAL_SECONDS: Final = 2.0

_LOG: Final = logging.getLogger('cranberryrelay.relay')


class Clearance(Enum):
    """Whether a request may be sent to an engine."""

    GRANTED = auto()

    # Only while no other request with the same suspects runs anywhere.
    TRIAL_ONLY = auto()

    REFUSED = auto()


class CrashReport(NamedTuple):
    """A crash of an upstream during which a suspect was running."""

    # Digest of the suspect.
    digest: str

    # Id of the crash: the upstream's incarnation.
    engine: str

    # Time since the crash, in seconds.
    age_seconds: float

    # Time since the run was sent, in seconds.
    sent_age_seconds: float


class SuspectNews(NamedTuple):
    """What an instance tells the others about suspects."""

    # Crashes that were not known before.
    crashes: list[CrashReport]

    # Digests of suspects that have run without a crash.
    proven: list[str]

    # Digests of suspects of which a trial begins.
    trials: list[str]

    # Incarnations that went on answering after their reported crash.
    refuted: list[str]

    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not any(self)


class InterruptedRun(NamedTuple):
    """A run that an upstream broke off before it had proven its digests."""

    # Digests of what may have been the cause.
    digests: frozenset[str]

    # Time at which it was sent, in seconds on the local clock.
    sent_at: float

    # Time at which it broke off, in seconds on the local clock.
    interrupted_at: float


class EngineCrash(NamedTuple):
    """A crash that the other instances have not been told of."""

    # Digest of the suspect.
    digest: str

    # Id of the crash: the upstream's incarnation.
    engine: str

    # Time of the crash, in seconds on the local clock.
    crashed_at: float

    # Time at which the run was sent, in seconds on the local clock.
    sent_at: float


class CrashSuspects:
    """The suspects known to one instance; owned by a single task."""

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
        self.new_refutations: list[str] = []
        self.answers = AnswerHistory()
        self.reported_crashes: dict[str, float] = {}

        # Unconfirmed runs are kept until then, in seconds on the local clock.
        self.kept_until = float('-inf')

    def judge(self, digests: Iterable[str], now: float) -> Clearance:
        """Return whether a request with these digests may be sent."""
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
        self,
        engine: str,
        digests: Iterable[str],
        now: float,
        sent_at: float | None = None,
    ) -> None:
        """Record a run that broke off early; a crash if its engine is gone."""
        unproven = self.unproven_among(digests, now)
        if not unproven:
            return
        run = InterruptedRun(unproven, now if sent_at is None else sent_at, now)
        self.interrupted.setdefault(engine, []).append(run)
        if self.is_gone(engine):
            self.record_gone(engine)

    def record_gone(self, engine: str) -> None:
        """Record that an engine cannot be reached or has left or restarted."""
        self.gone[engine] = None
        if len(self.gone) > GONE_LIMIT:
            self.gone.pop(next(iter(self.gone)))
        for run in self.interrupted.pop(engine, []):
            for digest in self.unproven_among(run.digests, run.interrupted_at):
                crash = EngineCrash(
                    digest, engine, run.interrupted_at, run.sent_at
                )
                if self._record_crash(crash):
                    self.new_crashes.append(crash)

    def is_gone(self, engine: str) -> bool:
        """Return whether an engine was found gone and has not answered."""
        return engine in self.gone

    def record_answer(self, engine: str, now: float) -> None:
        """Record that an engine answers, so that it is not gone.

        Refutes a crash across which it went on answering.
        """
        self.gone.pop(engine, None)
        self.answers.record(engine, now)
        crashed_at = self.reported_crashes.get(engine)
        if crashed_at is not None and self.answers.spans(engine, crashed_at):
            self._refute(engine)
            self._announce_refutation(engine)

    def record_absence(self, now: float) -> None:
        """Allow the whole time for confirmation after a suspension.

        What tells that an engine has ended may still wait to be read.
        """
        self.kept_until = now + CONFIRMATION_WINDOW_SECONDS

    def drop_unconfirmed(self, now: float) -> None:
        """Drop the runs whose engine was not found gone in time."""
        if now < self.kept_until:
            return
        oldest = now - CONFIRMATION_WINDOW_SECONDS
        for engine, runs in list(self.interrupted.items()):
            if runs[-1].interrupted_at < oldest:
                self.interrupted.pop(engine)
        for engine, crashed_at in list(self.reported_crashes.items()):
            if crashed_at < oldest:
                self.reported_crashes.pop(engine)

    def prove(self, digests: Iterable[str], now: float) -> None:
        """Record a run that got past the start of its answer."""
        for digest in digests:
            if self.registry.must_isolate(digest, now):
                self.new_proofs.append(digest)
            self._add_proof(digest, now)

    def is_on_trial(self, digests: Iterable[str], now: float) -> bool:
        """Return whether a trial of any of these digests is running."""
        return any(self.trials_until.get(one, 0) > now for one in digests)

    def begin_trial(self, digests: frozenset[str], now: float) -> None:
        """Record the start of a trial here, and tell the other instances."""
        self._add_trials(digests, now)
        self.new_trials.extend(sorted(digests))

    def apply_news(self, news: SuspectNews, now: float) -> SuspectNews:
        """Apply the news of a peer; return the part that was new here."""
        new = make_suspect_news()
        new.crashes.extend(
            report for report in news.crashes if self._apply_report(report, now)
        )
        for engine in news.refuted:
            if self._refute(engine):
                new.refuted.append(engine)
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
        return bool(
            self.new_crashes
            or self.new_proofs
            or self.new_trials
            or self.new_refutations
        )

    def take_news(self, now: float) -> SuspectNews:
        """Return what has not been told to the others yet, and clear it."""
        crashes = [
            CrashReport(
                one.digest,
                one.engine,
                now - one.crashed_at,
                now - one.sent_at,
            )
            for one in self.new_crashes
        ]
        news = SuspectNews(
            crashes, self.new_proofs, self.new_trials, self.new_refutations
        )
        self.new_crashes = []
        self.new_proofs = []
        self.new_trials = []
        self.new_refutations = []
        return news

    def summarize(self, now: float) -> SuspectNews:
        """Return all valid records, for an instance that has just started."""
        summary = make_suspect_news()
        for digest, record in self.registry.valid_records(now).items():
            age = now - record.last_crash_at
            summary.crashes.extend(
                CrashReport(digest, engine, age, age)
                for engine in sorted(record.crashes)
            )
        return summary

    def _apply_report(self, report: CrashReport, now: float) -> bool:
        crash = EngineCrash(
            report.digest,
            report.engine,
            now - report.age_seconds,
            now - report.sent_age_seconds,
        )
        if self._is_proven(crash.digest, now):
            self.new_proofs.append(crash.digest)
            return False
        if self.answers.spans(crash.engine, crash.crashed_at):
            self._announce_refutation(crash.engine)
            return False
        return self._record_crash(crash)

    def _record_crash(self, crash: EngineCrash) -> bool:
        crashed_at = crash.crashed_at
        if crash.sent_at < self.registry.last_crash_at(
            crash.digest, crashed_at
        ):
            return False
        counted = SuspectCrash(crash.digest, crash.engine, alone=False)
        if not self.registry.record(counted, crashed_at):
            return False
        self.last_crash_at = max(self.last_crash_at, crashed_at)
        self.reported_crashes[crash.engine] = crashed_at
        _LOG.info(
            'crash suspected',
            extra={
                'suspect': crash.digest,
                'upstream': crash.engine,
                'refused': self.registry.must_refuse(crash.digest, crashed_at),
            },
        )
        return True

    def _announce_refutation(self, engine: str) -> None:
        if engine not in self.new_refutations:
            self.new_refutations.append(engine)

    def _refute(self, engine: str) -> bool:
        if self.reported_crashes.pop(engine, None) is None:
            return False
        self.registry.retract(engine)
        _LOG.info('crash refuted', extra={'upstream': engine})
        return True

    def _is_proven(self, digest: str, now: float) -> bool:
        proven_at = self.proven_at.get(digest, float('-inf'))
        return now - proven_at <= PROOF_TTL_SECONDS

    def _add_proof(self, digest: str, now: float) -> None:
        if self.registry.must_isolate(digest, now):
            _LOG.info('crash suspect cleared', extra={'suspect': digest})
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
    return SuspectNews([], [], [], [])
