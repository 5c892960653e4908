"""Exchanges what the instances learn about segments that crash engines."""

from typing import Any, Protocol

from cranberryrelay.relay._crash_suspects import SuspectNews
from cranberryrelay.relay._group_hub import GroupHub
from cranberryrelay.relay._membership import Membership
from cranberryrelay.relay._state import RelayState
from cranberryrelay.timing import TimerService


class PeerSender(Protocol):
    """What the exchange needs of the peer protocol."""

    state: RelayState
    membership: Membership
    timers: TimerService
    group_hub: GroupHub

    def direct_recipients(self) -> list[str]:
        """Return the peers that are sent urgent messages directly."""

    def send(self, name: str, message: Any) -> None:
        """Send a message to a peer, if it is known."""


class SuspectExchange:
    """Sends, applies and forwards news about suspect segments."""

    def __init__(self, peers: PeerSender) -> None:
        self.peers = peers

    def send_news(self) -> None:
        """Tell the other instances what is new here."""
        suspects = self.peers.state.crash_suspects
        if suspects.has_news():
            news = suspects.take_news(self.peers.timers.now())
            for name in self.peers.direct_recipients():
                self.peers.send(name, news)

    def handle_news(self, sender: str, news: SuspectNews) -> None:
        """Apply a peer's news; forward what was new to those it lacks.

        Each instance forwards a piece of news once, so it does not circulate.
        """
        suspects = self.peers.state.crash_suspects
        new = suspects.apply_news(news, self.peers.timers.now())
        membership = self.peers.membership
        if not membership.uses_hubs or new.is_empty():
            return
        recipients = list(self.peers.group_hub.members)
        if membership.in_own_domain(sender):
            recipients = self.peers.direct_recipients()
        for name in recipients:
            if name != sender:
                self.peers.send(name, new)

    def send_summary(self, name: str) -> None:
        """Tell an instance that has just started of all suspect segments."""
        suspects = self.peers.state.crash_suspects
        summary = suspects.summarize(self.peers.timers.now())
        if not summary.is_empty():
            self.peers.send(name, summary)
