"""Tells whether this instance can reach upstreams at all.

An instance whose links to all upstreams are cut sees each of them fail, as if
they had all ended.  Failures of several upstreams, or silence of several, are
only the reason to check: new connections to some upstreams of each failure
domain decide.  Connections that were opened before may live on while new ones
are refused, so their answers do not count.
"""

import logging
import random
from collections.abc import Iterable
from typing import Final

import trio

from cranberryrelay.relay._backlog import Backlog
from cranberryrelay.relay._catalogue import Upstream
from cranberryrelay.relay._connection_probe import ConnectionProbe

# Interval at which the state is looked at.
LOOK_SECONDS: Final = 0.1

# Interval between checks while cut off, so that the end of a cut is noticed
# within a second, and the shortest one otherwise.
CUT_OFF_CHECK_SECONDS: Final = 0.3
CHECK_SECONDS: Final = 0.5

# Failures count together for this long.
FAILURE_WINDOW_SECONDS: Final = 1.0

# Calls are silent if nothing at all has arrived for this long. A single sound
# upstream may pause for longer, several at a time seldom do.
SILENCE_SECONDS: Final = 0.4

# Upstreams that must fail or be silent, as one may have ended by itself.
SUSPICIOUS_UPSTREAMS: Final = 2

# Upstreams of a failure domain to which a check opens connections.
CHECKED_PER_DOMAIN: Final = 2
CHECKED_LIMIT: Final = 8
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class UpstreamReach:
    """What the data path has seen of the links; owned by the event loop."""

    def __init__(self) -> None:
        self.cut_off = False
        self.failed_at: dict[str, float] = {}
        self.last_contact_at = float('-inf')

    def record_contact(self, now: float) -> None:
        """Record that bytes of some upstream arrived."""
        self.last_contact_at = now

    def record_failure(self, upstream: str, now: float) -> None:
        """Record that an upstream could not be reached."""
        recent = self.recent_failures(now)
        self.failed_at = {**recent, upstream: now}

    def recent_failures(self, now: float) -> dict[str, float]:
        """Return the times of the failures that count, by upstream."""
        oldest = now - FAILURE_WINDOW_SECONDS
        return {
            upstream: failed_at
            for upstream, failed_at in self.failed_at.items()
            if failed_at > oldest
        }

    def is_doubtful(self, backlog: Backlog, now: float) -> bool:
        """Return whether the links may be to blame for recent failures.

        They are not once something has arrived after the last failure.
        """
        if self.is_suspicious(backlog, now):
            return True
        failures = self.recent_failures(now).values()
        return self.last_contact_at < max(failures, default=float('-inf'))

    def is_suspicious(self, backlog: Backlog, now: float) -> bool:
        """Return whether several upstreams have failed or are silent."""
        if len(self.recent_failures(now)) >= SUSPICIOUS_UPSTREAMS:
            return True
        latest = now - SILENCE_SECONDS
        if self.last_contact_at > latest:
            return False
        silent = sum(
            any(call.sent_at < latest for call in calls)
            for calls in backlog.own_calls.values()
        )
        return silent >= SUSPICIOUS_UPSTREAMS


class ReachMonitor:
    """Checks the links of an instance when they are suspicious."""

    def __init__(
        self,
        reach: UpstreamReach,
        backlog: Backlog,
        probe: ConnectionProbe,
        rng: random.Random,
    ) -> None:
        self.reach = reach
        self.backlog = backlog
        self.probe = probe
        self.rng = rng
        self.checked_at = float('-inf')

    def is_check_due(self, now: float) -> bool:
        """Return whether to check the links now."""
        age = now - self.checked_at
        if self.reach.cut_off:
            return age >= CUT_OFF_CHECK_SECONDS
        return age >= CHECK_SECONDS and self.reach.is_suspicious(
            self.backlog, now
        )

    async def check(self, upstreams: Iterable[Upstream], now: float) -> bool:
        """Open connections to some upstreams; return whether the state changed.

        The instance is cut off if none of several accepts one.
        """
        self.checked_at = now
        checked = self.choose(upstreams)
        accepted: list[str] = []
        async with trio.open_nursery() as nursery:
            for upstream in checked:
                nursery.start_soon(self.check_one, upstream, accepted)
        cut_off = len(checked) >= SUSPICIOUS_UPSTREAMS and not accepted
        if not cut_off:
            self.reach.failed_at.clear()
            self.reach.record_contact(now)
        if cut_off is self.reach.cut_off:
            return False
        self.reach.cut_off = cut_off
        _LOG.warning(
            'cut off from upstreams' if cut_off else 'upstreams reached again',
            extra={
                'checked': [one.name for one in checked],
                'accepted': accepted,
                'last_contact_age': round(now - self.reach.last_contact_at, 3),
            },
        )
        return True

    async def check_one(self, upstream: Upstream, accepted: list[str]) -> None:
        """Add an upstream that accepts a connection."""
        if await self.probe(upstream.address):
            accepted.append(upstream.name)

    def choose(self, upstreams: Iterable[Upstream]) -> list[Upstream]:
        """Choose upstreams at random, some of each failure domain."""
        shuffled = list(upstreams)
        self.rng.shuffle(shuffled)
        taken: dict[str, int] = {}
        chosen: list[Upstream] = []
        for upstream in shuffled:
            count = taken.get(upstream.domain, 0)
            if count < CHECKED_PER_DOMAIN:
                taken[upstream.domain] = count + 1
                chosen.append(upstream)
        return chosen[:CHECKED_LIMIT]
