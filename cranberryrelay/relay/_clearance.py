"""Holds back requests whose prompt may crash the engine that answers it."""

from typing import Final

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay._admission_queue import (
    QUEUED_TIME_SHARE,
    RECHECK_SECONDS,
)
from cranberryrelay.relay._catalogue import Role, Upstream
from cranberryrelay.relay._context import AdmittedRequest, RelayContext
from cranberryrelay.relay._crash_suspects import TRIAL_SECONDS, Clearance
from cranberryrelay.relay._hashing import hash_to_unit_interval

# Time that a broken run waits to learn whether its engine has crashed. Other
# requests find a crashed engine unreachable well within it.
CONFIRMATION_SECONDS: Final = 0.3

# Trials are delayed by up to this time, by request, so that instances that wait
# for the same engine learn of each other's trials.
TRIAL_JITTER_SECONDS: Final = 0.3

# Decode engines that must be available for a trial, so that a crash leaves some
# to serve the other requests.
TRIAL_ENGINES: Final = 2

# A service with a single decode engine runs a trial only this long after a
# crash, as the entry of a second engine that has crashed may be missing.
LONE_ENGINE_PAUSE_SECONDS: Final = 5.0


class ClearanceGate:
    """Decides when one request may be sent to engines."""

    def __init__(
        self, context: RelayContext, admitted: AdmittedRequest
    ) -> None:
        self.context = context
        self.admitted = admitted
        self.suspects = context.state.crash_suspects
        model_request = admitted.request.model_request
        segments = model_request.shared_segments() if model_request else ()
        self.digests = frozenset(segment.digest for segment in segments)

        # Suspect segments of the trial that this request is, until its end.
        self.own_trial: frozenset[str] = frozenset()
        self.own_trial_until = float('-inf')

        # Start of the trial, once nothing else is in its way.
        self.trial_starts_at: float | None = None

        # Time until which to wait for word on an engine that broke a run off.
        self.unconfirmed_until = float('-inf')
        self.interrupted_by = ''

    async def wait(self) -> Result[None, Failure]:
        """Wait until the request may be sent.

        Errors: ``PROMPT_REFUSED``, ``PROMPT_SUSPECT`` if the wait was too long.
        """
        now = self.context.timers.now()
        remaining = self.admitted.remaining_seconds(now)
        wait_until = now + remaining * QUEUED_TIME_SHARE
        while True:
            failure = self.find_obstacle(now)
            if failure is None:
                return Ok(None)
            if failure.code is ResultCode.PROMPT_REFUSED or now >= wait_until:
                return Err(failure)
            await self.context.timers.pause(RECHECK_SECONDS)
            now = self.context.timers.now()

    def record_interrupted(self, engine: Upstream) -> None:
        """Record that an engine broke the run off at its start."""
        now = self.context.timers.now()
        if self.suspects.unproven_among(self.digests, now):
            self.interrupted_by = engine.incarnation_id()
            self.unconfirmed_until = now + CONFIRMATION_SECONDS
            self.suspects.record_interrupted(
                self.interrupted_by, self.digests, now
            )
            self.context.state.announce_news()

    def record_proven(self) -> None:
        """Record that an engine has survived the start of the answer."""
        self.suspects.prove(self.digests, self.context.timers.now())
        self.context.state.announce_news()

    def find_obstacle(self, now: float) -> Failure | None:
        """Return why the request may not be sent now; starts its trial."""
        clearance = self.suspects.judge(self.digests, now)
        suspects = self.suspects.suspects_among(self.digests, now)
        names = ', '.join(sorted(suspects))
        if clearance is Clearance.REFUSED:
            detail = f'engines crashed on prompts with segments {names}'
            return fail(ResultCode.PROMPT_REFUSED, detail)
        if clearance is Clearance.TRIAL_ONLY and not self.in_trial(
            suspects, now
        ):
            detail = f'segments {names} wait for a trial after a crash'
            return fail(ResultCode.PROMPT_SUSPECT, detail)
        if now < self.unconfirmed_until and not self.suspects.is_gone(
            self.interrupted_by
        ):
            detail = f'{self.interrupted_by} broke the run off; it may be down'
            return fail(ResultCode.PROMPT_SUSPECT, detail)
        return None

    def in_trial(self, suspects: frozenset[str], now: float) -> bool:
        """Return whether this request is the trial, starting it if it may."""
        if now < self.own_trial_until and suspects <= self.own_trial:
            return True
        if not self.may_begin_trial(suspects, now):
            self.trial_starts_at = None
            return False
        if self.trial_starts_at is None:
            jitter = hash_to_unit_interval(self.admitted.request.request_id)
            self.trial_starts_at = now + jitter * TRIAL_JITTER_SECONDS
        if now < self.trial_starts_at:
            return False
        self.own_trial = suspects
        self.own_trial_until = now + TRIAL_SECONDS
        self.suspects.begin_trial(suspects, now)
        self.context.state.announce_news()
        return True

    def may_begin_trial(self, suspects: frozenset[str], now: float) -> bool:
        """Return whether no trial runs and a crash would leave engines."""
        if self.suspects.is_on_trial(suspects, now):
            return False
        fleet = self.context.state.fleet
        service = self.admitted.service
        engines = fleet.eligible(service, Role.DECODE, now)
        if len(engines) < TRIAL_ENGINES:
            since_crash = now - self.suspects.last_crash_at
            return since_crash > LONE_ENGINE_PAUSE_SECONDS
        in_reach = [
            one
            for one in engines
            if not fleet.is_in_backoff(one.name, now)
            and not self.suspects.is_gone(one.incarnation_id())
        ]
        return len(in_reach) >= TRIAL_ENGINES
