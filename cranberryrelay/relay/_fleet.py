"""The upstreams as this instance knows them, and how they have behaved.

What an upstream does to requests decides, as its health check may be good
while it fails.  One that can't be reached rests, and after its rest a single
request tries it.  One that fails part of its requests, or is slower than
predicted, is chosen less; both are forgotten with time.
"""

import random
from typing import Final, NamedTuple

from cranberryrelay.relay._catalogue import Role, Upstream

# An upstream that can't be reached rests so long, doubling each time.
FIRST_REST_SECONDS: Final = 0.5
LONGEST_REST_SECONDS: Final = 4.0

# Those that were told rest it up to so many times longer.
TOLD_SPREAD: Final = 3.0

# Failures in a row, other than being out of reach, that count as that.
FAILURES_TO_REST: Final = 3

# Weight of the newest outcome in the rates.
NEWEST_WEIGHT: Final = 0.15

# Time in which what was learned loses half of its weight, in seconds.
HALF_LIFE_SECONDS: Final = 4.0

# Slowness is learned between these, as a multiple of what was predicted.
SLOWNESS_LIMIT: Final = 8.0

# An engine may take so much longer than predicted without being slow.
USUAL_FACTOR: Final = 1.5
USUAL_SECONDS: Final = 0.04


class Conduct(NamedTuple):
    """How an upstream has behaved towards this instance."""

    # Failures since the last answer.
    failures: int = 0

    # It is avoided until then, on the own clock.
    rests_until: float = float('-inf')

    # Part of the newest requests that it failed.
    error_rate: float = 0

    # How much longer it takes than predicted; 1 for as predicted.
    slowness: float = 1

    # When the rates were learned, on the own clock.
    learned_at: float = 0


class RoleChanging(NamedTuple):
    """An engine that was ordered to change its role."""

    # It takes no work until then, on the own clock.
    until: float

    # Role that it has then; None if it is not known.
    role: Role | None


class Fleet:
    """Upstreams by name; one task owns it."""

    def __init__(self) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.conduct: dict[str, Conduct] = {}
        self.rng = random.Random()
        self.changing: dict[str, RoleChanging] = {}

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or take over what it says now."""
        known = self.upstreams.get(upstream.name)
        if known and known.born_ms != upstream.born_ms:
            self.conduct.pop(upstream.name, None)
            self.changing.pop(upstream.name, None)
        if known and known.role is not upstream.role:
            self.changing.pop(upstream.name, None)
        self.upstreams[upstream.name] = upstream

    def remove(self, name: str) -> None:
        """Remove an upstream that is gone."""
        self.upstreams.pop(name, None)
        self.conduct.pop(name, None)
        self.changing.pop(name, None)

    def spare(self, name: str, until: float, role: Role | None) -> None:
        """Leave an engine out until then; it has the role from then on.

        Its entry in the store may say so much later, if the store is away.
        """
        self.changing[name] = RoleChanging(until, role)

    def has_role(self, upstream: Upstream, role: Role, now: float) -> bool:
        """Tell if an upstream takes work of a role now."""
        changing = self.changing.get(upstream.name)
        if changing is None:
            return upstream.role is role
        if changing.until > now:
            return False
        return (changing.role or upstream.role) is role

    def candidates(
        self, service: str, role: Role, now: float
    ) -> list[Upstream]:
        """Return upstreams that may be sent work.

        Those that rest are left out while others remain.
        """
        able = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
            and not upstream.leaving
            and self.has_role(upstream, role, now)
        ]
        rested = [one for one in able if not self.rests(one.name, now)]
        return rested or able

    def rests(self, name: str, now: float) -> bool:
        """Tell if an upstream is avoided for now."""
        known = self.conduct.get(name)
        return known is not None and known.rests_until > now

    def learned(self, name: str, now: float) -> Conduct:
        """Return the conduct with its rates as far as they still count."""
        known = self.conduct.get(name)
        if known is None:
            return Conduct(learned_at=now)
        kept = 0.5 ** ((now - known.learned_at) / HALF_LIFE_SECONDS)
        return known._replace(
            error_rate=known.error_rate * kept,
            slowness=1 + (known.slowness - 1) * kept,
            learned_at=now,
        )

    def note_sent(self, name: str, now: float) -> None:
        """Let a single request try an upstream that has rested."""
        known = self.conduct.get(name)
        if known and known.failures:
            until = now + FIRST_REST_SECONDS
            if known.rests_until > float('-inf'):
                self.conduct[name] = known._replace(rests_until=until)

    def note_unreachable(
        self, name: str, now: float, *, told: bool = False
    ) -> None:
        """Have an upstream rest that can't be reached.

        Those that were told so rest it longer, each for another time, as the
        first that reaches it again tells them.
        """
        known = self.learned(name, now)
        rest = FIRST_REST_SECONDS * 2 ** min(known.failures, 5)
        rest = min(rest, LONGEST_REST_SECONDS)
        if told:
            rest *= 1 + self.rng.random() * TOLD_SPREAD
        self.conduct[name] = known._replace(
            failures=known.failures + 1, rests_until=now + rest
        )

    def has_failed(self, name: str) -> bool:
        """Tell if an upstream has not answered since its last failure."""
        known = self.conduct.get(name)
        return known is not None and known.failures > 0

    def note_recovered(self, name: str) -> None:
        """End the rest of an upstream that answers others again."""
        known = self.conduct.get(name)
        if known:
            self.conduct[name] = known._replace(
                failures=0, rests_until=float('-inf')
            )

    def note_failure(
        self, name: str, now: float, *, counts: bool = True
    ) -> None:
        """Note a request that an upstream failed or refused.

        ``counts`` is false for refusals and for what peers tell, as others
        may have had answers in between.
        """
        known = self.learned(name, now)
        rate = known.error_rate * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT
        known = known._replace(error_rate=rate)
        if not counts:
            self.conduct[name] = known
            return
        if known.failures + 1 >= FAILURES_TO_REST:
            self.conduct[name] = known
            self.note_unreachable(name, now)
            return
        self.conduct[name] = known._replace(failures=known.failures + 1)

    def note_answer(self, name: str, now: float) -> None:
        """Count an answer of an upstream."""
        known = self.conduct.get(name)
        if known is None:
            return
        learned = self.learned(name, now)
        self.conduct[name] = learned._replace(
            failures=0,
            rests_until=float('-inf'),
            error_rate=learned.error_rate * (1 - NEWEST_WEIGHT),
        )

    def note_speed(
        self, name: str, predicted: float, actual: float, now: float
    ) -> None:
        """Compare how long an engine took with what was predicted."""
        usual = predicted * USUAL_FACTOR + USUAL_SECONDS
        ratio = min(max(actual / usual, 1), SLOWNESS_LIMIT)
        known = self.learned(name, now)
        slowness = known.slowness * (1 - NEWEST_WEIGHT) + ratio * NEWEST_WEIGHT
        self.conduct[name] = known._replace(slowness=slowness)
