"""Removes the registrations of instances that are gone for good.

An instance that starts waits for an answer of each instance that the store
names. A machine that was removed never answers, so its registration would cost
each later restart of the whole fleet the longest wait.
"""

import logging
from typing import Any, Final, NamedTuple

from result import Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._membership import InstanceLocation
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.relay._registration import INSTANCE_KIND, LocationFields
from cranberryrelay.timing import TimerService

# Interval between looks at the peers.
LOOK_SECONDS: Final = 5.0

# Silence after which a peer counts as gone; a restart takes some seconds.
STALE_SECONDS: Final = 20.0
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class KnownPeer(NamedTuple):
    """A peer when it was last a member."""

    # Its address and failure domain.
    location: InstanceLocation

    # When that was, on the local clock.
    seen_at: float


class StaleRegistrations:
    """Removes registrations, and restores those of peers that return."""

    def __init__(
        self, store: RecordStore, duties: Duties, timers: TimerService
    ) -> None:
        self.store = store
        self.duties = duties
        self.membership = duties.membership
        self.timers = timers

        # Peers that this instance looks after, and some that are none any more.
        self.known: dict[str, KnownPeer] = {}

        # Locations of the peers whose registrations were removed here.
        self.removed: dict[str, InstanceLocation] = {}

    async def run(self) -> None:
        """Look at the peers now and then, until cancelled."""
        async for now in self.timers.subscribe(LOOK_SECONDS):
            for name in self.find_returned(now):
                await self.restore(name)
            for gone in self.find_gone(now):
                await self.remove(gone)

    def find_gone(self, now: float) -> list[str]:
        """Return the peers that are gone and that this instance looks after.

        None if most are silent: then it may be this instance that is cut off.
        """
        names = self.find_watched(now)
        for name in names:
            location = self.membership.peers[name].location
            self.known[name] = KnownPeer(location, now)
        silent = [name for name in names if self.is_silent(name, now)]
        if not names or 2 * len(silent) > len(names):
            return []
        stopped = [
            name
            for name, known in self.known.items()
            if name not in self.membership.peers
            and now - known.seen_at > STALE_SECONDS
        ]
        return [name for name in silent + stopped if name not in self.removed]

    def find_watched(self, now: float) -> list[str]:
        """Return the peers whose heartbeats arrive here, if that is its task.

        In a full mesh the first live instance looks after all; with hubs each
        hub looks after the members of its failure domain.
        """
        membership = self.membership
        if not membership.uses_hubs:
            is_first = self.duties.standby_index() == 0
            return list(membership.peers) if is_first else []
        if not membership.is_hub(now):
            return []
        return list(membership.ordered_names.get(membership.domain, ()))

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether a peer has not been heard for long."""
        peer = self.membership.peers[name]
        heard_at = max(peer.last_message_at, peer.learned_at)
        return now - heard_at > STALE_SECONDS

    def find_returned(self, now: float) -> list[str]:
        """Return the peers that are heard again after their removal."""
        return [
            name
            for name in self.removed
            if name in self.membership.peers
            and self.membership.is_responsive(name, now)
        ]

    async def remove(self, name: str) -> None:
        """Remove a registration; one that cannot be is tried again.

        Another instance that looked after the peer may have removed it.
        """
        outcome = await self.store.remove(INSTANCE_KIND, name)
        is_gone = has_outcome(outcome, ResultCode.STORE_NOT_FOUND)
        _LOG.info(
            'stale registration removed', extra={'peer': name, 'ok': is_gone}
        )
        if is_gone:
            self.removed[name] = self.known.pop(name).location

    async def restore(self, name: str) -> None:
        """Register a peer again that has been heard since.

        One that cannot be is tried again; it may have registered itself.
        """
        location = self.removed[name]
        fields = LocationFields(
            address=location.address, domain=location.domain
        )
        outcome = await self.store.create(INSTANCE_KIND, name, fields)
        is_registered = has_outcome(outcome, ResultCode.STORE_CONFLICT)
        _LOG.info(
            'registration restored', extra={'peer': name, 'ok': is_registered}
        )
        if is_registered:
            self.removed.pop(name)


def has_outcome(outcome: Result[Any, Failure], same_as: ResultCode) -> bool:
    """Return whether a call has, or finds, the outcome that it is made for."""
    failure = outcome.err()
    return failure is None or failure.code is same_as
