"""Which instances there are, and which of them speak for others.

A small fleet exchanges beats between all pairs.  In a larger one the first
living instance of each failure domain, by name, is its hub: the others report
to it, and it tells them and the hubs of the other failure domains what it
knows.  Nobody is appointed.  Each instance asks the first names in order until
one answers, so that a hub that ends is replaced by the next name within a
second, and two that both act as hub cost messages only.
"""

from typing import Final, NamedTuple

# Fleets up to this size exchange beats between all pairs: at 16 instances that
# costs as many messages an instance as a hub of 100 instances handles.
PAIRS_LIMIT: Final = 16

# A peer that was silent for this long is not counted as live, in seconds.
LIVE_SECONDS: Final = 3.0

# A peer that was heard within this time is there, in seconds; hubs send at
# least two beats in it.
CONFIRMED_SECONDS: Final = 1.0

# A peer that did not answer is asked again this often, in seconds.
RETRY_SECONDS: Final = 5.0

# A peer that did not answer for this long is forgotten, in seconds.
FORGET_SECONDS: Final = 60.0

# Names in order that are asked until one answers.
LINE_LIMIT: Final = 3


class Place(NamedTuple):
    """Where an instance is."""

    # 'IP:port' of its messages.
    address: str

    # Failure domain.
    domain: str


class Peer(NamedTuple):
    """Another instance."""

    # Where it is.
    place: Place

    # When it was named first, on the own clock.
    told_at: float

    # When it was heard last, on the own clock.
    heard_at: float = float('-inf')

    # Since when it has been asked without an answer; None if it has not.
    asked_at: float | None = None

    # When it was sent what it lacked, on the own clock.
    shared_at: float = float('-inf')

    # Since when it has been behind; None if it is not.
    behind_since: float | None = None


class Roster:
    """The instances as one of them knows them; one task owns it."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.peers: dict[str, Peer] = {}

        # Living instances of the fleet as the own hub tells.
        self.told_size = 0

        # Set once this instance is about to stop and speaks for nobody.
        self.leaving = False

    @property
    def grouped(self) -> bool:
        """Tell if the fleet is large enough for hubs."""
        return max(len(self.peers) + 1, self.told_size) > PAIRS_LIMIT

    def note_told(self, name: str, place: Place, now: float) -> bool:
        """Note that there is a peer; False if it was known."""
        known = self.peers.get(name)
        if known is not None and known.place == place:
            return False
        self.peers[name] = Peer(place, now)
        return True

    def note_heard(self, name: str, now: float) -> bool:
        """Note that a peer was heard; False if it is not known."""
        known = self.peers.get(name)
        if known is None:
            return False
        self.peers[name] = known._replace(heard_at=now, asked_at=None)
        return True

    def note_asked(self, name: str, now: float) -> None:
        """Note that a peer was sent something that it answers."""
        known = self.peers[name]
        if known.asked_at is None:
            self.peers[name] = known._replace(asked_at=now)

    def note_reported(self, name: str) -> None:
        """Note a beat that is for peers in pairs or for a hub.

        What comes before in the own failure domain and sends one has no hub's
        view of the fleet, so that its size must be known in another way.
        """
        place = self.peers[name].place
        if place.domain == self.domain and name < self.name:
            self.told_size = 0

    def drop(self, name: str) -> None:
        """Forget a peer."""
        self.peers.pop(name, None)

    def drop_silent(self, now: float) -> list[str]:
        """Forget the peers that have not answered for long; return them."""
        silent = [
            name
            for name, peer in self.peers.items()
            if peer.asked_at is not None
            and now - peer.asked_at > FORGET_SECONDS
        ]
        for name in silent:
            self.drop(name)
        return silent

    def is_confirmed(self, name: str, now: float) -> bool:
        """Tell if a peer was heard a moment ago."""
        return now - self.peers[name].heard_at < CONFIRMED_SECONDS

    def is_silent(self, name: str, now: float) -> bool:
        """Tell if a peer does not answer; it is tried now and then."""
        asked_at = self.peers[name].asked_at
        if asked_at is None:
            return False
        asked_for = now - asked_at
        if asked_for < CONFIRMED_SECONDS:
            return False
        return asked_for % RETRY_SECONDS >= CONFIRMED_SECONDS

    def live_names(self, now: float) -> list[str]:
        """Return the peers that were heard or named a moment ago."""
        oldest = now - LIVE_SECONDS
        return [
            name
            for name, peer in self.peers.items()
            if max(peer.heard_at, peer.told_at) > oldest
        ]

    def is_near(self, name: str) -> bool:
        """Tell if a peer is in the own failure domain."""
        peer = self.peers.get(name)
        return peer is not None and peer.place.domain == self.domain

    def later_names(self) -> list[str]:
        """Return the names of the own failure domain that come after."""
        return [
            name
            for name in self.peers
            if name > self.name and self.is_near(name)
        ]

    def place_near(self) -> int:
        """Return how many names of the own failure domain come before."""
        return sum(
            name < self.name and self.is_near(name) for name in self.peers
        )

    def line(self, domain: str, now: float) -> list[str]:
        """Return the names to send to so that a domain's hub is reached.

        Empty for the own failure domain if this instance is its hub.
        """
        chosen: list[str] = []
        for name in self._in_order(domain):
            if self.is_silent(name, now):
                continue
            chosen.append(name)
            if self.is_confirmed(name, now) or len(chosen) == LINE_LIMIT:
                break
        return chosen

    def hub(self, now: float) -> str | None:
        """Return the own hub; None if this instance is it."""
        for name in self.line(self.domain, now):
            if self.is_confirmed(name, now):
                return name
        return None

    def is_hub(self, now: float) -> bool:
        """Tell if this instance speaks for its failure domain."""
        return not self.leaving and self.hub(now) is None

    def other_domains(self) -> list[str]:
        """Return the other failure domains that have instances."""
        found = {peer.place.domain for peer in self.peers.values()}
        return sorted(found - {self.domain})

    def other_hubs(self, now: float) -> list[str]:
        """Return the names to send to so that the other hubs are reached."""
        return [
            name
            for domain in self.other_domains()
            for name in self.line(domain, now)
        ]

    def describe_known(self, now: float) -> dict[str, Place]:
        """Return the peers that a newcomer is to know.

        In a large fleet the first living names of each failure domain.
        """
        if not self.grouped:
            return {name: peer.place for name, peer in self.peers.items()}
        domains = (*self.other_domains(), self.domain)
        return {
            name: self.peers[name].place
            for domain in domains
            for name in self.line(domain, now)
        }

    def _in_order(self, domain: str) -> list[str]:
        names = sorted(
            name
            for name, peer in self.peers.items()
            if peer.place.domain == domain
        )
        if domain == self.domain and not self.leaving:
            return [name for name in names if name < self.name]
        return names
