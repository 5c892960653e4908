"""Which instance watches the store, and which does what one is enough for."""

from typing import Final

from cranberryrelay.relay._peers import PeerTalk

# A member whose hub is ahead for this long watches the store by itself, in
# seconds.
BEHIND_SECONDS: Final = 1.0

# Names of a failure domain that watch while its hub has lost the store.
DEPUTIES: Final = 3

# Hubs let changes of upstreams come together for this long, in seconds, as
# each answer of a watch is a call; a small part of the bounds on changes.
GATHER_SECONDS: Final = 0.3

# Place of an instance that others speak for.
NO_PLACE: Final = 1_000_000


class Duties:
    """Reads from the roster what falls to this instance."""

    def __init__(self, talk: PeerTalk) -> None:
        self.talk = talk
        self.roster = talk.roster
        self.behind_since: float | None = None

    def needs_watch(self) -> bool:
        """Tell if this instance is to watch the store by itself.

        Members rely on their hub.  If no hub is in touch with the store, the
        next names of each failure domain try.
        """
        now = self.talk.timers.now()
        if not self.roster.grouped or self.roster.is_hub(now):
            return True
        beat = self.talk.hub_beat
        if beat is None or self.roster.leaving or self.is_behind(now):
            return True
        return not beat.in_touch and self.roster.place_near() < DEPUTIES

    def gather_seconds(self) -> float:
        """Return how long to let changes in the store come together."""
        return GATHER_SECONDS if self.roster.grouped else 0

    def is_behind(self, now: float) -> bool:
        """Tell if the own hub has been ahead for long."""
        if not self.is_hub_ahead():
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now
        since = self.behind_since
        return since is not None and now - since > BEHIND_SECONDS

    def is_hub_ahead(self) -> bool:
        """Tell if the own hub knows something newer."""
        beat = self.talk.hub_beat
        if beat is None:
            return False
        knowledge = self.talk.knowledge
        if beat.revision > knowledge.state.revision():
            return True
        return beat.upstream_revision > knowledge.upstream_revision

    def place(self) -> int:
        """Return how many living instances come before for shared duties."""
        now = self.talk.timers.now()
        name = self.roster.name
        if not self.roster.grouped:
            return sum(one < name for one in self.roster.live_names(now))
        if not self.roster.is_hub(now):
            return NO_PLACE
        return sum(
            one < name and self.roster.is_confirmed(one, now)
            for one in self.roster.other_hubs(now)
        )
