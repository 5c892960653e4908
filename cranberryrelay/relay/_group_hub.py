"""What a hub passes on: the loads of its failure domain, and those of others.

Each member is told of everything but its own work, which it knows better; the
hubs of other failure domains are told of this one's as a sum.  So a message
grows with the number of engines and not with that of instances.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from cranberryrelay.relay._backlog import Backlog, EngineLoad
from cranberryrelay.relay._news import News, make_news
from cranberryrelay.relay._roster import LIVE_SECONDS

# Something is sent at least this often, so that silence is noticed, in
# seconds.
HUB_BEAT_SECONDS: Final = 0.4


class OtherHub(NamedTuple):
    """What the hub of another failure domain told last."""

    # Instances that live in its failure domain.
    instances: int

    # True if the store answers it.
    in_touch: bool

    # When it was heard, on the own clock.
    heard_at: float


class GroupHub:
    """Collects from members and other hubs; one task owns it."""

    def __init__(self, backlog: Backlog) -> None:
        self.backlog = backlog
        self.members: dict[str, float] = {}
        self.others: dict[str, OtherHub] = {}
        self.for_members = make_news()
        self.for_hubs = make_news()

    def hear_member(self, name: str, news: News, now: float) -> None:
        """Take what a member of the own failure domain tells."""
        self.members[name] = now
        self.tell_all(news)

    def tell_all(self, news: News) -> None:
        """Have members and other hubs told of what was learned here."""
        self.for_members.extend(news)
        self.for_hubs.extend(news)

    def hear_hub(self, name: str, told: OtherHub, news: News) -> None:
        """Take what the hub of another failure domain tells."""
        self.others[name] = told
        self.for_members.extend(news)

    def drop_silent(self, now: float) -> None:
        """Forget members and other hubs that were silent for long."""
        oldest = now - LIVE_SECONDS
        for name, heard_at in list(self.members.items()):
            if heard_at < oldest:
                self.members.pop(name)
        for name, told in list(self.others.items()):
            if told.heard_at < oldest:
                self.others.pop(name)

    def domain_instances(self) -> int:
        """Return the number of living instances of the own failure domain."""
        return len(self.members) + 1

    def fleet_instances(self) -> int:
        """Return the number of living instances of the fleet.

        It is too high for a moment after a hub has changed, so that budgets
        are not exceeded.
        """
        others = sum(told.instances for told in self.others.values())
        return self.domain_instances() + others

    def others_in_touch(self) -> bool:
        """Tell if the store answers in any other failure domain."""
        return any(told.in_touch for told in self.others.values())

    def domain_loads(self, now: float) -> dict[str, EngineLoad]:
        """Return the work sent by the own failure domain."""
        return self.backlog.combine(now, self.members)

    def loads_for_members(
        self, names: Iterable[str], now: float
    ) -> dict[str, dict[str, EngineLoad]]:
        """Return for each member the work sent by all others."""
        total = self.backlog.combine(now, self.backlog.peers)
        return {
            name: total | self.backlog.combine_without(name, now)
            for name in names
        }

    def take_for_members(self) -> News:
        """Return what members are to be told, and begin anew."""
        news = self.for_members
        self.for_members = make_news()
        return news

    def take_for_hubs(self) -> News:
        """Return what other hubs are to be told, and begin anew."""
        news = self.for_hubs
        self.for_hubs = make_news()
        return news
