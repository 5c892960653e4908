"""Remembers peers that are no members any more but may still serve callers.

What such a peer knows can't be asked for: it is cut off, or it is stopping.
"""

from typing import NamedTuple


class LostPeer(NamedTuple):
    """A peer that is no longer a member."""

    # Its failure domain.
    domain: str

    # When it certainly serves no more, on the local clock.
    forget_at: float


class LostPeers:
    """Lost peers by name; owned by the task that owns the membership."""

    def __init__(self) -> None:
        self.peers: dict[str, LostPeer] = {}

    def add(self, name: str, domain: str, forget_at: float) -> None:
        """Add a peer that may serve callers until ``forget_at``."""
        self.peers[name] = LostPeer(domain, forget_at)

    def discard(self, name: str) -> None:
        """Forget a peer that is a member again."""
        self.peers.pop(name, None)

    def domains(self, now: float) -> dict[str, str]:
        """Return the failure domains of the lost peers by name."""
        self.peers = {
            name: peer
            for name, peer in self.peers.items()
            if peer.forget_at > now
        }
        return {name: peer.domain for name, peer in self.peers.items()}
