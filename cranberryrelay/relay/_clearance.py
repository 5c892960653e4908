"""Holds back requests that may crash the upstream that runs them."""

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
from cranberryrelay.relay._request_digest import digest_request

# Time that a broken run waits to learn whether its upstream has crashed, unless
# a probe tells.
CONFIRMATION_SECONDS: Final = 0.3

# Trials are delayed by up to this time, by request, so that instances that wait
# for the same engine learn of each other's trials.
TRIAL_JITTER_SECONDS: Final = 0.3

# Upstreams that must be available for a trial, so that a crash leaves some to
# serve the other requests.
TRIAL_ENGINES: Final = 2

# A service with a single upstream runs a trial only this long after a crash, as
# the entry of a second upstream that has crashed may be missing.
LONE_ENGINE_PAUSE_SECONDS: Final = 5.0


class ClearanceGate:
    """Decides when one request may be sent to upstreams of a role."""

    def __init__(
        self, context: RelayContext, admitted: AdmittedRequest, role: Role
    ) -> None:
        self.context = context
        self.admitted = admitted
        self.role = role
        self.suspects = context.state.crash_suspects
        model_request = admitted.request.model_request
        segments = model_request.shared_segments() if model_request else ()
        self.digests = frozenset(
            (
                digest_request(admitted.request),
                *(segment.digest for segment in segments),
            )
        )

        # Suspects of the trial that this request is, until its end.
        self.own_trial: frozenset[str] = frozenset()
        self.own_trial_until = float('-inf')

        # Start of the trial, once nothing else is in its way.
        self.trial_starts_at: float | None = None

        # Time until which to wait for word on an upstream that broke a run off.
        self.unconfirmed_until = float('-inf')
        self.interrupted_by: Upstream | None = None

        # Whether a probe of that upstream is due; it is probed once.
        self.probe_due = False

    async def wait(self) -> Result[None, Failure]:
        """Wait until the request may be sent.

        Errors: ``CRASH_REFUSED``, ``CRASH_SUSPECT`` if the wait was too long.
        """
        await self.confirm_crash()
        now = self.context.timers.now()
        remaining = self.admitted.remaining_seconds(now)
        wait_until = now + remaining * QUEUED_TIME_SHARE
        while True:
            failure = self.find_obstacle(now)
            if failure is None:
                return Ok(None)
            if failure.code is ResultCode.CRASH_REFUSED or now >= wait_until:
                return Err(failure)
            await self.context.timers.pause(RECHECK_SECONDS)
            now = self.context.timers.now()

    def record_interrupted(self, engine: Upstream, sent_at: float) -> None:
        """Record that an upstream broke the run off at its start."""
        now = self.context.timers.now()
        if self.suspects.unproven_among(self.digests, now):
            self.interrupted_by = engine
            self.probe_due = True
            self.unconfirmed_until = now + CONFIRMATION_SECONDS
            self.suspects.record_interrupted(
                engine.incarnation_id(), self.digests, now, sent_at
            )
            self.context.state.announce_news()

    async def confirm_crash(self) -> None:
        """Learn whether the upstream that broke the run off has ended."""
        engine = self.interrupted_by
        probe = self.context.probe
        if engine is None or probe is None or not self.probe_due:
            return
        self.probe_due = False
        if self.suspects.is_gone(engine.incarnation_id()):
            return
        accepted = await probe(engine.address)
        if accepted is None:
            return
        if accepted:
            self.interrupted_by = None
            return
        failure = fail(
            ResultCode.UPSTREAM_UNREACHABLE,
            f'{engine.name}: refused a connection after it broke a run off',
        )
        self.context.state.record_failure(
            engine.name, failure, self.context.timers.now()
        )

    def record_proven(self) -> None:
        """Record that an upstream has survived the start of the answer."""
        self.suspects.prove(self.digests, self.context.timers.now())
        self.context.state.announce_news()

    def find_obstacle(self, now: float) -> Failure | None:
        """Return why the request may not be sent now; starts its trial."""
        clearance = self.suspects.judge(self.digests, now)
        suspects = self.suspects.suspects_among(self.digests, now)
        names = ', '.join(sorted(suspects))
        if clearance is Clearance.REFUSED:
            detail = f'upstreams crashed on requests with {names}'
            return fail(ResultCode.CRASH_REFUSED, detail)
        if clearance is Clearance.TRIAL_ONLY and not self.in_trial(
            suspects, now
        ):
            detail = f'requests with {names} wait for a trial after a crash'
            return fail(ResultCode.CRASH_SUSPECT, detail)
        engine = self.interrupted_by
        if (
            engine is not None
            and now < self.unconfirmed_until
            and not self.suspects.is_gone(engine.incarnation_id())
        ):
            detail = f'{engine.name} broke the run off; it may be down'
            return fail(ResultCode.CRASH_SUSPECT, detail)
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
        engines = fleet.eligible(service, self.role, now)
        if len(engines) < TRIAL_ENGINES:
            since_crash = now - self.suspects.last_crash_at
            return since_crash > LONE_ENGINE_PAUSE_SECONDS
        in_reach = [
            one
            for one in engines
            if fleet.accepts_requests(one, now)
            and not fleet.is_in_backoff(one.name, now)
            and not self.suspects.is_gone(one.incarnation_id())
        ]
        return len(in_reach) >= TRIAL_ENGINES
