"""Holds the state of an instance, owned by the event loop of the process.

It is changed by synchronous methods only, so every change is atomic.
"""

import logging
import random
from contextlib import suppress
from typing import Final, NamedTuple

import trio

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.relay._account_buffer import AccountBuffer
from cranberryrelay.relay._admission_queue import AdmissionQueue
from cranberryrelay.relay._backlog import Backlog
from cranberryrelay.relay._body_budget import (
    ANSWER_LIMITS,
    REQUEST_LIMITS,
    BodyBudget,
)
from cranberryrelay.relay._catalogue import (
    EngineTraits,
    Role,
    RoutingTable,
    Upstream,
)
from cranberryrelay.relay._crash_suspects import CrashSuspects
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._forward_targets import ActiveCount, ForwardTargets
from cranberryrelay.relay._peer_update import PeerUpdate, make_peer_update
from cranberryrelay.relay._placement import PlacementContext
from cranberryrelay.relay._planned_stop import PlannedStop
from cranberryrelay.relay._prefix_index import CachedSegment, PrefixIndex
from cranberryrelay.relay._rate_limits import RateLimits
from cranberryrelay.relay._requests import PromptSegment
from cranberryrelay.relay._retry_budget import RetryBudget
from cranberryrelay.relay._settings import InstanceSettings
from cranberryrelay.relay._start_check import StartCheck
from cranberryrelay.relay._stream_inquiry import LoneInstance, StreamLookup
from cranberryrelay.relay._stream_versions import StreamVersions
from cranberryrelay.relay._telemetry import RelayTelemetry
from cranberryrelay.relay._upstream_reach import UpstreamReach

# Idle timeout of client connections while no release note is known.
DEFAULT_IDLE_SECONDS: Final = 20.0

# Added to the timeouts of the release note for connections and heads, so that
# bytes in transit when they expire are still accepted.
IDLE_MARGIN_SECONDS: Final = 0.5

# Settings that take effect only at a restart, as sockets depend on them.
FIXED_SETTINGS: Final = (
    'name',
    'domain',
    'ip',
    'front_address',
    'ready_address',
    'peer_port',
    'forward_port',
    'store_url',
)
_LOG: Final = logging.getLogger('cranberryrelay.relay')

# Failures that may come from the links of this instance.
_LOST_LINK_CODES: Final = frozenset(
    (
        ResultCode.UPSTREAM_UNREACHABLE,
        ResultCode.UPSTREAM_CLOSED,
        ResultCode.UPSTREAM_FAILED,
        ResultCode.UPSTREAM_TIMEOUT,
        ResultCode.STREAM_BROKEN,
    )
)


class ActiveRequest(NamedTuple):
    """A request in progress."""

    # Path of the request.
    path: str

    # Time at which its headers were read, in seconds on the local clock.
    started_at: float


class RelayState:
    """State of one instance."""

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        self.table: RoutingTable | None = None
        self.fleet = Fleet()
        self.backlog = Backlog()
        self.prefix_index = PrefixIndex()
        self.peer_update = make_peer_update()
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.account_buffer = AccountBuffer()
        self.answer_budget = BodyBudget(ANSWER_LIMITS)
        self.request_budget = BodyBudget(REQUEST_LIMITS)
        self.telemetry = RelayTelemetry()
        self.admission_queue = AdmissionQueue()
        self.crash_suspects = CrashSuspects()
        self.rate_limits = RateLimits(settings.name)
        self.stream_versions = StreamVersions()
        self.stream_lookup: StreamLookup = LoneInstance()
        self.start_check = StartCheck()
        self.reach = UpstreamReach()
        self.forward_targets = ForwardTargets(random.Random())
        self.forwarded = ActiveCount()
        self.upstreams_listed = False
        channel = trio.open_memory_channel[None](1)
        self.heartbeat_sender = channel[0]
        self.heartbeat_requests = channel[1]
        self.draining = False
        self.planned_stop = PlannedStop()
        self.active: dict[int, ActiveRequest] = {}
        self.live_instances = 1
        self.unreachable_kinds: set[str] = set()

    def request_heartbeat(self) -> None:
        """Request an immediate heartbeat with the current load report."""
        with suppress(trio.WouldBlock):
            self.heartbeat_sender.send_nowait(None)

    def placement_context(self, body_bytes: int = 0) -> PlacementContext:
        """Return the input of placement for a request of this size."""
        return PlacementContext(
            self.fleet,
            self.backlog,
            self.prefix_index,
            self.settings.domain,
            body_bytes,
            self.may_send,
            self.rate_limits.limits,
        )

    def may_send(self, upstream: str, now: float) -> bool:
        """Return whether the rate that an upstream names allows a request."""
        return self.rate_limits.may_send(upstream, self.live_instances, now)

    def record_attempt(self, name: str, now: float) -> None:
        """Record that a request was sent to an upstream."""
        self.fleet.record_attempt(name, now)
        self.rate_limits.record_sent(name, self.live_instances, now)

    def apply_settings(self, settings: InstanceSettings) -> None:
        """Apply reloaded settings.

        The settings in ``FIXED_SETTINGS`` keep their values until a restart.
        """
        fixed = [
            key
            for key in FIXED_SETTINGS
            if getattr(settings, key) != getattr(self.settings, key)
        ]
        if fixed:
            _LOG.warning('settings need a restart', extra={'keys': fixed})
        self.settings = settings._replace(
            **{key: getattr(self.settings, key) for key in FIXED_SETTINGS}
        )
        for budget in self.retry_budgets.values():
            budget.update_bounds(
                settings.bounds.repeat_ratio,
                settings.bounds.repeat_slack,
                settings.bounds.repeat_window_seconds,
            )
        _LOG.info('settings in force', extra={'seeds': settings.seed_ips})

    def idle_seconds(self) -> float:
        """Return the idle timeout of a client connection in seconds."""
        if self.table is None:
            return DEFAULT_IDLE_SECONDS
        return self.table.limits.idle_seconds + IDLE_MARGIN_SECONDS

    def revision(self) -> int:
        """Return the revision of the release note in force; -1 for none."""
        return self.table.revision if self.table else -1

    def is_ready(self) -> bool:
        """Return whether the instance accepts new requests."""
        known = self.table is not None and self.upstreams_listed
        return known and self.start_check.passed and not self.draining

    def record_store_contact(self, kind: str, reachable: bool) -> None:
        """Record whether the store answered the last call for a kind."""
        if reachable:
            self.unreachable_kinds.discard(kind)
        else:
            self.unreachable_kinds.add(kind)

    def is_store_reachable(self) -> bool:
        """Return whether the store answered the last call for every kind."""
        return not self.unreachable_kinds

    def apply_table(self, table: RoutingTable, source: str) -> bool:
        """Apply a routing table if it is newer than the one in force.

        Return whether it was applied.
        """
        known = self.revision()
        if table.revision <= known:
            return False
        self.table = table
        self.telemetry.update_revision(table.revision)
        _LOG.info(
            'note in force',
            extra={
                'revision': table.revision,
                'previous': known,
                'source': source,
                'routes': sum(len(one) for one in table.routes.values()),
            },
        )
        return True

    def apply_upstream(self, upstream: Upstream, source: str) -> None:
        """Add or update an upstream; a restart empties its prefix cache."""
        known = self.fleet.upstreams.get(upstream.name)
        if known == upstream:
            return
        if known and known.started_at_ms != upstream.started_at_ms:
            self.prefix_index.remove_engine(upstream.name)
            self.rate_limits.remove(upstream.name)
            self.record_gone(known)
        upstream = self.fleet.put(upstream)
        self.stream_versions.record_listed(upstream)
        _LOG.info(
            'upstream changed',
            extra={
                'upstream': upstream.name,
                'role': upstream.role,
                'leaving': upstream.leaving,
                'address': upstream.address,
                'report_number': upstream.report_number,
                'software_version': upstream.software_version,
                'source': source,
            },
        )

    def remove_upstream(
        self, name: str, source: str, ended: bool = True
    ) -> None:
        """Remove an upstream; ``ended`` tells whether its process has left."""
        known = self.fleet.upstreams.get(name)
        if known is None:
            return
        if ended and not known.leaving:
            self.record_gone(known)
        self.fleet.remove(name)
        self.rate_limits.remove(name)
        self.prefix_index.remove_engine(name)
        _LOG.info('upstream gone', extra={'upstream': name, 'source': source})

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return the traits of a service's engines; None if it has none."""
        known = self.table.services.get(service) if self.table else None
        return known.engine if known else None

    def record_cached_segment(self, segment: CachedSegment) -> None:
        """Record a prompt segment that a peer had an engine prefill."""
        upstream = self.fleet.upstreams.get(segment.engine)
        traits = upstream and self.engine_traits(upstream.service)
        if traits:
            prefilled = (PromptSegment(segment.digest, segment.tokens),)
            self.prefix_index.record(
                segment.engine, prefilled, traits.kv_capacity_tokens
            )

    def apply_peer_update(self, update: PeerUpdate, now: float) -> None:
        """Apply what a peer reports about upstreams."""
        for segment in update.cached_parts:
            self.record_cached_segment(segment)
        self.stream_versions.apply_announced(update.begun_streams, now)
        for name in update.unreachable:
            self.record_gone(self.fleet.upstreams.get(name))
            if not self.fleet.is_in_backoff(name, now):
                self.fleet.record_unreachable(name, now, reported_by_peer=True)
        for name in update.failed:
            self.fleet.record_failure(name, now, counts_toward_backoff=False)
        for name in update.recovered:
            self.fleet.record_recovery(name)
            recovered = self.fleet.upstreams.get(name)
            if recovered is not None:
                self.crash_suspects.record_answer(
                    recovered.incarnation_id(), now
                )

    def record_failure(self, name: str, failure: Failure, now: float) -> None:
        """Record a failure of an upstream and add it to the peer update.

        An upstream that was replaced at its address is removed instead.
        """
        self.telemetry.count_failure(failure.code)
        if failure.code in _LOST_LINK_CODES:
            self.reach.record_failure(name, now)
        if failure.code is ResultCode.UPSTREAM_UNREACHABLE:
            if not self.reach.cut_off:
                self.record_gone(self.fleet.upstreams.get(name))
            if not self.fleet.is_in_backoff(name, now):
                self.peer_update.unreachable.append(name)
            self.fleet.record_unreachable(name, now)
        elif failure.code is ResultCode.UPSTREAM_REPLACED:
            self.remove_upstream(name, 'its address')
        else:
            refused = failure.code is ResultCode.UPSTREAM_REFUSED
            self.peer_update.add_failure(name)
            self.fleet.record_failure(
                name, now, counts_toward_backoff=not refused
            )

    def record_gone(self, upstream: Upstream | None) -> None:
        """Record that an upstream cannot be reached or has ended."""
        if upstream is not None:
            self.crash_suspects.record_gone(upstream.incarnation_id())
            self.announce_news()

    def announce_news(self) -> None:
        """Tell the other instances at once what is new about upstreams."""
        if (
            self.crash_suspects.has_news()
            or self.rate_limits.news
            or self.fleet.departures.news
        ):
            self.request_heartbeat()

    def record_success(self, name: str, now: float) -> None:
        """Record an answer; add a recovery to the peer update."""
        self.reach.record_contact(now)
        known = self.fleet.upstreams.get(name)
        if known is not None:
            self.crash_suspects.record_answer(known.incarnation_id(), now)
            self.announce_news()
        if self.fleet.has_failed(name):
            self.peer_update.recovered.append(name)
        self.fleet.record_success(name, now)

    def begin_role_change(
        self, name: str, role: Role | None, now: float
    ) -> None:
        """Exclude an engine until its role change ends; empties its cache."""
        upstream = self.fleet.upstreams.get(name)
        traits = upstream and self.engine_traits(upstream.service)
        if traits:
            until = now + traits.role_change_seconds
            self.fleet.begin_role_change(name, until, role)
            self.prefix_index.remove_engine(name)

    def take_retry(self, service: str, now: float) -> bool:
        """Take a retry from the budget of a service; False if it is spent."""
        return self.retry_budget(service).take(self.live_instances, now)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return this instance's part of the retry budget of a service."""
        known = self.retry_budgets.get(service)
        if known is None:
            bounds = self.settings.bounds
            known = RetryBudget(
                bounds.repeat_ratio,
                bounds.repeat_slack,
                bounds.repeat_window_seconds,
            )
            self.retry_budgets[service] = known
        return known
