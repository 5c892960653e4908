"""Exchanges at once what the instances learn about the upstreams.

Unlike what heartbeats carry, this must not wait for the next one: segments that
crash engines, rates that upstreams name, and upstreams that say they leave.
"""

from typing import Any, Protocol

from cranberryrelay.relay._crash_suspects import SuspectNews
from cranberryrelay.relay._departures import DepartureNews
from cranberryrelay.relay._group_hub import GroupHub
from cranberryrelay.relay._membership import Membership
from cranberryrelay.relay._peer_update import make_peer_update
from cranberryrelay.relay._rate_limits import LimitNews
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._stream_inquiry import StreamInquiry
from cranberryrelay.relay._stream_versions import LeavingStreams
from cranberryrelay.timing import TimerService

News = SuspectNews | LimitNews | DepartureNews


class PeerSender(Protocol):
    """What the exchange needs of the peer protocol."""

    state: RelayState
    membership: Membership
    timers: TimerService
    group_hub: GroupHub
    stream_inquiry: StreamInquiry

    def direct_recipients(self) -> list[str]:
        """Return the peers that are sent urgent messages directly."""

    def send(self, name: str, message: Any) -> None:
        """Send a message to a peer, if it is known."""


class NewsExchange:
    """Sends, applies and forwards news.

    Each instance forwards only what was new to it, so that news does not
    circulate.
    """

    def __init__(self, peers: PeerSender) -> None:
        self.peers = peers

    def send_news(self) -> None:
        """Tell the other instances what is new here."""
        state = self.peers.state
        now = self.peers.timers.now()
        self.send_to(
            self.peers.direct_recipients(),
            state.crash_suspects.take_news(now),
            state.rate_limits.take_news(),
            state.fleet.departures.take_news(),
        )

    def queue_begun_streams(self) -> None:
        """Queue streams for the next heartbeat if several versions serve."""
        state = self.peers.state
        now = self.peers.timers.now()
        versions = state.stream_versions
        versions.observe(state.fleet.upstreams.values(), now)
        state.peer_update.begun_streams.extend(
            versions.take_announcements(state.live_instances, now)
        )

    def announce_while_leaving(self) -> None:
        """Tell the others of streams that this instance still begins."""
        self.queue_begun_streams()
        streams = self.peers.state.peer_update.begun_streams
        if streams:
            message = LeavingStreams(list(streams))
            streams.clear()
            for name in self.peers.direct_recipients():
                self.peers.send(name, message)

    def handle_leaving_streams(self, message: LeavingStreams) -> None:
        """Record streams of an instance that stops; forward them as hub."""
        now = self.peers.timers.now()
        self.peers.state.stream_versions.apply_announced(message.streams, now)
        if self.peers.membership.uses_hubs:
            update = make_peer_update()._replace(begun_streams=message.streams)
            self.peers.group_hub.queue_update(update)

    def send_upstream_news(self, name: str) -> None:
        """Tell an instance all that upstreams were found or said to do."""
        state = self.peers.state
        now = self.peers.timers.now()
        self.send_to(
            [name],
            state.crash_suspects.summarize(now),
            state.rate_limits.summarize(),
            state.fleet.departures.summarize(),
        )

    def send_summary(self, name: str) -> None:
        """Tell an instance that has just started all that is known."""
        self.send_upstream_news(name)
        state = self.peers.state
        if state.stream_versions.informed:
            # The ages go first, as the summary has none: what it names without
            # one counts as seen now.
            self.peers.send(name, self.peers.stream_inquiry.describe_versions())
            self.peers.send(name, state.stream_versions.summarize())

    def handle_suspect_news(self, sender: str, news: SuspectNews) -> None:
        """Apply and forward a peer's news on suspect segments."""
        now = self.peers.timers.now()
        suspects = self.peers.state.crash_suspects
        self.forward(sender, suspects.apply_news(news, now))

    def handle_limit_news(self, sender: str, news: LimitNews) -> None:
        """Apply and forward a peer's news on limits of upstreams."""
        now = self.peers.timers.now()
        limits = self.peers.state.rate_limits
        self.forward(sender, limits.apply_news(news, now))

    def handle_departure_news(self, sender: str, news: DepartureNews) -> None:
        """Apply and forward a peer's news on upstreams that leave."""
        now = self.peers.timers.now()
        fleet = self.peers.state.fleet
        self.forward(sender, fleet.apply_departure_news(news, now))

    def forward(self, sender: str, news: News) -> None:
        """Send news to those that the sender has not told, with hubs."""
        membership = self.peers.membership
        if not membership.uses_hubs:
            return
        recipients = list(self.peers.group_hub.members)
        if membership.in_own_domain(sender):
            recipients = self.peers.direct_recipients()
        self.send_to([name for name in recipients if name != sender], news)

    def send_to(self, names: list[str], *messages: News) -> None:
        """Send the messages that say something."""
        for message in messages:
            if not message.is_empty():
                for name in names:
                    self.peers.send(name, message)
