"""Exchanges heartbeats and membership messages with the other instances."""

import logging
from collections.abc import Iterable
from functools import singledispatch
from typing import Any, Final

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay._anti_entropy import REPAIR_DELAY_SECONDS, AntiEntropy
from cranberryrelay.relay._catalogue import Role
from cranberryrelay.relay._crash_suspects import SuspectNews
from cranberryrelay.relay._departures import DepartureNews
from cranberryrelay.relay._forward_reports import (
    ForwardReports,
    forward_address,
)
from cranberryrelay.relay._group_hub import (
    HUB_IDLE_HEARTBEAT_SECONDS,
    GroupHub,
    HubReport,
)
from cranberryrelay.relay._membership import (
    InstanceLocation,
    Membership,
    record_absence,
)
from cranberryrelay.relay._news_exchange import NewsExchange
from cranberryrelay.relay._peer_messages import (
    EngineChanging,
    Farewell,
    GroupBeat,
    Hello,
    LoadBeat,
    NoteShare,
    UpstreamShare,
    UpstreamSnapshot,
)
from cranberryrelay.relay._peer_update import PeerUpdate, make_peer_update
from cranberryrelay.relay._rate_limits import LimitNews
from cranberryrelay.relay._start_check import NO_REVISION, StartNotice
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._store_replica import StoreReplica
from cranberryrelay.relay._stream_inquiry import (
    LostMembers,
    StreamAnswer,
    StreamInquiry,
    StreamQuestion,
)
from cranberryrelay.relay._stream_versions import (
    RETAINED_SECONDS,
    LeavingStreams,
    StreamSummary,
)
from cranberryrelay.timing import TimerService
from cranberryrelay.wire import PeerNetwork

# Interval between heartbeats while loads change. In emulated runs, twice the
# interval made another 2 to 10 percent of the urgent requests late.
HEARTBEAT_SECONDS: Final = 0.075

# Interval between heartbeats of hubs to hubs of other failure domains, as
# traffic between failure domains is charged by the byte and most requests are
# served in their own.
INTER_HUB_HEARTBEAT_SECONDS: Final = 0.15

# Longest interval between heartbeats in a full mesh.
IDLE_HEARTBEAT_SECONDS: Final = 1.0

# Connections that have been unused for this long are closed. Each peer that
# gets heartbeats at all is sent several in this time.
UNUSED_CONNECTION_SECONDS: Final = 4.0

# Longest time between two heartbeat ticks that counts as silence of the peers.
# In the rest of a longer one this instance was suspended and heard nobody.
ABSENCE_SECONDS: Final = 0.5

# Count of sent changes that differs from any, so that a heartbeat is due.
UNANSWERED: Final = -1

_LOG: Final = logging.getLogger('cranberryrelay.relay')


class PeerProtocol:
    """Exchanges heartbeats and membership messages with peers."""

    def __init__(
        self,
        state: RelayState,
        store_replica: StoreReplica,
        network: PeerNetwork,
        timers: TimerService,
    ) -> None:
        self.state = state
        self.store_replica = store_replica
        self.network = network
        self.timers = timers
        settings = state.settings
        self.name = settings.name
        self.location = InstanceLocation(
            f'{settings.ip}:{settings.peer_port}', settings.domain
        )
        self.membership = Membership(self.name, settings.domain)
        self.group_hub = GroupHub(state.backlog)
        self.last_tick_at = float('inf')
        self.last_heartbeat_at = float('-inf')
        self.sent_changes = 0
        self.last_group_heartbeat_at = float('-inf')
        self.last_summary_at = float('-inf')
        self.sent_group_changes = 0
        self.connections_closed_at = float('-inf')
        self.hub_heartbeat: GroupBeat | None = None
        self.logged_hub = ''
        self.anti_entropy = AntiEntropy(
            store_replica, self.membership, self.send
        )
        self.news_exchange = NewsExchange(self)
        self.forward_reports = ForwardReports(state, self.membership)
        self.stream_inquiry = StreamInquiry(state.stream_versions, self)
        state.stream_lookup = self.stream_inquiry

    def send_hello(self, name: str, address: str, answer: bool = True) -> None:
        """Introduce this instance at an address, unless it is leaving."""
        if address == self.location.address or self.membership.leaving:
            return
        known = self.membership.peers_for_newcomer(self.timers.now())
        hello = Hello(self.location, known, answer)
        self.network.send(name, address, self.name, hello)

    def add_peers(self, locations: dict[str, InstanceLocation]) -> list[str]:
        """Add peers; return those that were new or had moved."""
        now = self.timers.now()
        new_names = [
            name
            for name, location in locations.items()
            if name != self.name
            and self.membership.add_peer(name, location, now)
        ]
        for name in new_names:
            address = locations[name].address
            _LOG.info('peer', extra={'peer': name, 'address': address})
        return new_names

    async def receive(self) -> None:
        """Handle messages until cancelled."""
        async for sender, message in self.network.receive():
            try:
                self.handle_message(sender, message)
            except Exception:
                record_unhandled(self.state, sender, message)

    def handle_message(self, sender: str, message: Any) -> None:
        """Handle one message of a peer."""
        now = self.timers.now()
        if self.membership.has_returned(sender, now):
            # News that was sent meanwhile may be lost, also on the way here. A
            # peer that heard this instance all the while does not know it, so
            # it is asked for what it knows.
            self.news_exchange.send_summary(sender)
            address = self.membership.peers[sender].location.address
            self.send_hello(sender, address)
        self.membership.record_message(sender, now)
        dispatch_message(message, self, sender)

    def handle_hello(self, sender: str, hello: Hello) -> None:
        """Add a peer and the instances that it knows."""
        self.add_peers({sender: hello.location})
        self.membership.record_message(sender, self.timers.now())
        if hello.answer:
            self.send_hello(sender, hello.location.address, answer=False)
            self.news_exchange.send_summary(sender)
            self.state.request_heartbeat()
        elif self.membership.uses_hubs and self.membership.is_hub(
            self.timers.now()
        ):
            # An instance that starts asks only its seeds for answers.
            self.news_exchange.send_upstream_news(sender)
        for name in self.add_peers(hello.known):
            self.send_hello(name, hello.known[name].address)
        self.update_live_instances()

    def handle_load_beat(self, sender: str, heartbeat: LoadBeat) -> None:
        """Apply a peer's load report; send it the records that it lacks."""
        if sender not in self.membership.peers:
            return
        now = self.timers.now()
        self.state.start_check.record_peer(heartbeat.revision)
        self.state.backlog.apply_report(sender, heartbeat.loads, now)
        if heartbeat.cut_off:
            heartbeat = heartbeat._replace(
                update=heartbeat.update.without_failures()
            )
        self.state.apply_peer_update(heartbeat.update, now)
        self.forward_reports.record_load_beat(sender, heartbeat, now)
        self.membership.record_load_beat(sender)
        delay = REPAIR_DELAY_SECONDS
        if self.membership.uses_hubs and self.membership.in_own_domain(sender):
            if sender not in self.group_hub.members:
                # Until it is answered, the new member may act as hub as well.
                self.sent_group_changes = UNANSWERED
            self.group_hub.record_member(sender, heartbeat.update, now)
            self.redirect_to_hub(sender, now)
            delay = 0
        self.anti_entropy.repair_peer(sender, heartbeat, delay)

    def handle_group_beat(self, sender: str, heartbeat: GroupBeat) -> None:
        """Apply the loads and the peer update that a hub reports."""
        if sender not in self.membership.peers:
            return
        now = self.timers.now()
        self.state.start_check.record_peer(heartbeat.revision)
        backlog = self.state.backlog
        self.state.apply_peer_update(heartbeat.update, now)
        self.forward_reports.record_group_beat(sender, heartbeat, now)
        if self.membership.in_own_domain(sender):
            backlog.apply_fleet_report(sender, heartbeat.loads, now)
            self.apply_hub_heartbeat(heartbeat)
            return
        backlog.apply_report(sender, heartbeat.loads, now)
        report = HubReport(heartbeat.instances, heartbeat.store_reachable, now)
        self.group_hub.record_hub_report(sender, report, heartbeat.update)
        self.redirect_to_hub(sender, now)
        self.anti_entropy.repair_peer(sender, heartbeat, REPAIR_DELAY_SECONDS)

    def apply_hub_heartbeat(self, heartbeat: GroupBeat) -> None:
        """Apply what this instance's hub reports about the fleet."""
        self.state.live_instances = max(heartbeat.instances, 1)
        self.membership.reported_fleet_size = heartbeat.instances
        self.hub_heartbeat = heartbeat

    def redirect_to_hub(self, sender: str, now: float) -> None:
        """Introduce the hub to a peer that mistakes this instance for it."""
        if self.membership.own_hub(now) is not None:
            address = self.membership.peers[sender].location.address
            self.send_hello(sender, address, answer=False)

    async def run_heartbeats(self) -> None:
        """Send heartbeats until this instance is about to stop.

        From then on only the streams that it begins are announced.
        """
        async for now in self.timers.subscribe(HEARTBEAT_SECONDS):
            record_tick(self, now)
            for name in self.membership.remove_unresponsive(now):
                forget_peer(self, name)
                _LOG.info('peer removed', extra={'peer': name})
            self.group_hub.remove_expired(now)
            self.state.crash_suspects.drop_unconfirmed(now)
            self.update_live_instances()
            if self.membership.leaving:
                self.news_exchange.announce_while_leaving()
                continue
            check_start(self, now)
            self.news_exchange.send_news()
            self.news_exchange.queue_begun_streams()
            if self.is_heartbeat_due(now):
                self.send_heartbeat(now)
            if self.membership.uses_hubs:
                self.log_hub(self.membership.own_hub(now) or self.name)
                self.send_group_heartbeats(now)
                self.close_unused_connections(now)

    def log_hub(self, hub: str) -> None:
        """Log the hub of this instance when it changes."""
        if hub != self.logged_hub:
            self.logged_hub = hub
            live = self.state.live_instances
            _LOG.info('hub', extra={'hub': hub, 'instances': live})

    def close_unused_connections(self, now: float) -> None:
        """Close connections that were needed only for a hello."""
        if now - self.connections_closed_at >= UNUSED_CONNECTION_SECONDS:
            self.connections_closed_at = now
            self.network.close_unused()

    async def send_requested_heartbeats(self) -> None:
        """Send a heartbeat whenever the data path requests one."""
        async for _ in self.state.heartbeat_requests:
            if not self.membership.leaving:
                self.news_exchange.send_news()
                self.send_heartbeat(self.timers.now())

    def is_heartbeat_due(self, now: float) -> bool:
        """Return whether there are unsent changes or an interval has passed."""
        longest_interval = (
            HUB_IDLE_HEARTBEAT_SECONDS
            if self.membership.uses_hubs
            else IDLE_HEARTBEAT_SECONDS
        )
        if now - self.last_heartbeat_at >= longest_interval:
            return True
        if self.membership.is_looking_for_hub(now):
            return True
        changed = self.state.backlog.change_count != self.sent_changes
        return changed or not self.state.peer_update.is_empty()

    def send_heartbeat(self, now: float) -> None:
        """Send this instance's load report to all peers, or to its hub."""
        state = self.state
        update = take_peer_update(state, now)
        heartbeat = LoadBeat(
            loads=state.backlog.own_loads(now),
            update=update,
            revision=self.state.start_check.confirmed(self.state.revision()),
            upstream_position=self.store_replica.upstream_position,
            cut_off=state.reach.cut_off,
            forward_address=forward_address(state),
        )
        self.last_heartbeat_at = now
        self.sent_changes = state.backlog.change_count
        if self.membership.uses_hubs:
            self.group_hub.queue_update(update)
            self.send_expecting_answer(
                self.membership.hub_candidates(self.location.domain, now),
                heartbeat,
                now,
            )
        else:
            self.send_expecting_answer(
                list(self.membership.peers), heartbeat, now
            )

    def send_expecting_answer(
        self, names: Iterable[str], message: Any, now: float
    ) -> None:
        """Send a message that the peers answer with heartbeats of their own.

        With hubs, peers that are not responsive are sent a hello too, as they
        may not know this instance.
        """
        for name in names:
            if self.membership.uses_hubs and not self.membership.is_responsive(
                name, now
            ):
                address = self.membership.peers[name].location.address
                self.send_hello(name, address, answer=False)
            self.membership.record_unanswered(name, now)
            self.send(name, message)

    def send_group_heartbeats(self, now: float) -> None:
        """Send heartbeats to members, and to other hubs if this is a hub."""
        group_hub = self.group_hub
        is_hub = self.membership.is_hub(now)
        if not is_hub:
            group_hub.take_hub_update()
        if not is_hub and not group_hub.members:
            group_hub.take_member_update()
            return
        if is_hub:
            self.stream_inquiry.tell_members(group_hub.members, now)
        backlog = self.state.backlog
        changes = backlog.change_count + backlog.report_count
        idle = now - self.last_group_heartbeat_at >= HUB_IDLE_HEARTBEAT_SECONDS
        if changes == self.sent_group_changes and not idle:
            return
        self.last_group_heartbeat_at = now
        self.sent_group_changes = changes
        heartbeat = GroupBeat(
            loads={},
            update=group_hub.take_member_update(),
            revision=self.state.start_check.confirmed(self.state.revision()),
            upstream_position=self.store_replica.upstream_position,
            instances=self.state.live_instances,
            store_reachable=self.state.is_store_reachable()
            or group_hub.is_store_reachable_elsewhere(),
            cut_off=self.forward_reports.is_domain_cut_off(now),
            forward_targets=self.forward_reports.for_members(now),
        )
        loads_by_member = group_hub.loads_for_members(group_hub.members, now)
        for name, loads in loads_by_member.items():
            self.send(name, heartbeat._replace(loads=loads))
        if (
            not is_hub
            or now - self.last_summary_at < INTER_HUB_HEARTBEAT_SECONDS
        ):
            return
        self.last_summary_at = now
        summary = heartbeat._replace(
            loads=group_hub.domain_loads(now),
            update=group_hub.take_hub_update(),
            instances=group_hub.domain_instances(),
            store_reachable=self.state.is_store_reachable(),
            forward_targets=self.forward_reports.for_hubs(now),
        )
        self.send_expecting_answer(
            self.membership.other_hub_candidates(now), summary, now
        )

    def send_farewell(self) -> None:
        """Tell the peers that this instance is about to stop."""
        names = self.direct_recipients()
        self.membership.leaving = True
        for name in names:
            self.send(name, Farewell(self.location.address))

    def announce_role_change(self, engine: str, role: Role | None) -> None:
        """Make all instances avoid an engine that changes its role."""
        self.state.begin_role_change(engine, role, self.timers.now())
        for name in self.direct_recipients():
            self.send(name, EngineChanging(engine, role))

    def handle_engine_changing(
        self, sender: str, message: EngineChanging
    ) -> None:
        """Avoid an engine that changes its role; forward it to the members."""
        now = self.timers.now()
        self.state.begin_role_change(message.engine, message.role, now)
        if self.membership.uses_hubs and not self.membership.in_own_domain(
            sender
        ):
            for name in self.group_hub.members:
                self.send(name, message)

    def direct_recipients(self) -> list[str]:
        """Return the peers that are sent urgent messages directly."""
        if not self.membership.uses_hubs:
            return list(self.membership.peers)
        now = self.timers.now()
        names = {
            *self.group_hub.members,
            *self.membership.hub_candidates(self.location.domain, now),
        }
        if self.membership.is_hub(now):
            names.update(self.membership.other_hub_candidates(now))
        return sorted(names)

    def send(self, name: str, message: Any) -> None:
        """Send a message to a peer, if it is known."""
        peer = self.membership.peers.get(name)
        if peer is not None:
            address = peer.location.address
            self.network.send(name, address, self.name, message)

    def update_live_instances(self) -> None:
        """Count the live instances, among which the budgets are divided.

        After a start, the instances listed in the store are counted for a
        while too.
        """
        now = self.timers.now()
        live = len(self.membership.live_names(now)) + 1
        if not self.membership.uses_hubs:
            self.state.live_instances = live
        elif self.membership.is_hub(now):
            fleet = self.group_hub.fleet_instances()
            self.state.live_instances = max(live, fleet)
        elif self.hub_heartbeat is None:
            self.state.live_instances = live


def record_unhandled(state: RelayState, sender: str, message: Any) -> None:
    """Count and log a message that raised an unexpected error."""
    code = ResultCode.MESSAGE_NOT_HANDLED
    state.telemetry.count_failure(code)
    kind = type(message).__name__
    _LOG.exception(
        'message not handled',
        extra={'peer': sender, 'kind': kind, 'code': code.value},
    )


def take_peer_update(state: RelayState, now: float) -> PeerUpdate:
    """Return what peers are told now, and clear it.

    Failures that may come from this instance's own links are held back, and
    dropped if it is cut off.
    """
    update = state.peer_update
    state.peer_update = make_peer_update()
    if state.reach.cut_off:
        return update.without_failures()
    if state.reach.is_doubtful(state.backlog, now):
        state.peer_update = update.only_failures()
        return update.without_failures()
    return update


def record_tick(protocol: PeerProtocol, now: float) -> None:
    """Record that this instance looks at its peers now."""
    absent_seconds = now - protocol.last_tick_at - ABSENCE_SECONDS
    protocol.last_tick_at = now
    if absent_seconds > 0:
        record_absence(protocol.membership, absent_seconds, now)
        protocol.group_hub.record_absence(absent_seconds, now)
        protocol.state.start_check.record_absence(absent_seconds)
        protocol.state.crash_suspects.record_absence(now)
        _LOG.warning(
            'process was suspended',
            extra={'seconds': round(absent_seconds + ABSENCE_SECONDS, 3)},
        )


def check_start(protocol: PeerProtocol, now: float) -> None:
    """Decide whether to serve; tell the peers while this instance waits.

    In a fleet with hubs not all instances hear each other, so they wait.
    """
    start_check = protocol.state.start_check
    if start_check.passed:
        return
    revision = protocol.state.revision()
    start_check.update(revision, now)
    if start_check.passed:
        # Peers that wait as well need not wait any longer.
        protocol.last_heartbeat_at = float('-inf')
        return
    if revision > NO_REVISION and not protocol.membership.uses_hubs:
        for name in protocol.membership.peers:
            protocol.send(name, StartNotice(revision))


def forget_peer(protocol: PeerProtocol, name: str) -> None:
    """Drop what a peer that has ended or is leaving has reported."""
    protocol.group_hub.members.pop(name, None)
    protocol.stream_inquiry.told_lost.pop(name, None)
    protocol.state.backlog.remove_peer(name)
    protocol.forward_reports.remove_peer(name)


@singledispatch
def dispatch_message(
    message: object, protocol: PeerProtocol, sender: str
) -> None:
    """Handle a message of a peer by its type."""
    _LOG.warning('unknown peer message type', extra={'peer': sender})


@dispatch_message.register
def _(message: Hello, protocol: PeerProtocol, sender: str) -> None:
    protocol.handle_hello(sender, message)


@dispatch_message.register
def _(message: LoadBeat, protocol: PeerProtocol, sender: str) -> None:
    protocol.handle_load_beat(sender, message)


@dispatch_message.register
def _(message: GroupBeat, protocol: PeerProtocol, sender: str) -> None:
    protocol.handle_group_beat(sender, message)


@dispatch_message.register
def _(message: NoteShare, protocol: PeerProtocol, sender: str) -> None:
    protocol.store_replica.apply_note_share(message)


@dispatch_message.register
def _(message: UpstreamShare, protocol: PeerProtocol, sender: str) -> None:
    protocol.store_replica.apply_upstream_share(message)


@dispatch_message.register
def _(message: UpstreamSnapshot, protocol: PeerProtocol, sender: str) -> None:
    protocol.store_replica.apply_upstream_snapshot(message)


@dispatch_message.register
def _(message: EngineChanging, protocol: PeerProtocol, sender: str) -> None:
    protocol.handle_engine_changing(sender, message)


@dispatch_message.register
def _(message: SuspectNews, protocol: PeerProtocol, sender: str) -> None:
    protocol.news_exchange.handle_suspect_news(sender, message)


@dispatch_message.register
def _(message: LimitNews, protocol: PeerProtocol, sender: str) -> None:
    protocol.news_exchange.handle_limit_news(sender, message)


@dispatch_message.register
def _(message: DepartureNews, protocol: PeerProtocol, sender: str) -> None:
    protocol.news_exchange.handle_departure_news(sender, message)


@dispatch_message.register
def _(message: StartNotice, protocol: PeerProtocol, sender: str) -> None:
    protocol.state.start_check.record_waiting(sender, message)


@dispatch_message.register
def _(message: StreamSummary, protocol: PeerProtocol, sender: str) -> None:
    versions = protocol.state.stream_versions
    versions.apply_summary(message, protocol.timers.now())
    versions.informed = True


@dispatch_message.register
def _(message: StreamQuestion, protocol: PeerProtocol, sender: str) -> None:
    protocol.stream_inquiry.handle_question(sender, message)


@dispatch_message.register
def _(message: StreamAnswer, protocol: PeerProtocol, sender: str) -> None:
    protocol.stream_inquiry.handle_answer(sender, message)


@dispatch_message.register
def _(message: LostMembers, protocol: PeerProtocol, sender: str) -> None:
    protocol.stream_inquiry.record_told(sender, message)


@dispatch_message.register
def _(message: LeavingStreams, protocol: PeerProtocol, sender: str) -> None:
    protocol.news_exchange.handle_leaving_streams(message)


@dispatch_message.register
def _(message: Farewell, protocol: PeerProtocol, sender: str) -> None:
    peer = protocol.membership.peers.get(sender)
    if peer is not None:
        # Callers take streams up elsewhere that it begins until its grace ends.
        grace_seconds = protocol.state.settings.bounds.grace_seconds
        forget_at = protocol.timers.now() + grace_seconds + RETAINED_SECONDS
        domain = peer.location.domain
        protocol.membership.lost.add(sender, domain, forget_at)
    protocol.membership.remove(sender)
    forget_peer(protocol, sender)
    protocol.update_live_instances()
