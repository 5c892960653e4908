"""All that an instance knows, owned by the process's one event loop.

Only synchronous methods change it, so that every change is atomic.
"""

import logging
from contextlib import suppress
from typing import Final, NamedTuple

import trio

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.relay._account_book import AccountBook
from cranberryrelay.relay._arrival import PromptPart
from cranberryrelay.relay._backlog import Backlog
from cranberryrelay.relay._catalogue import (
    EngineTraits,
    Role,
    RoutingTable,
    Upstream,
)
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._news import News, make_news
from cranberryrelay.relay._placement import Surroundings
from cranberryrelay.relay._prefix_index import CachedPart, PrefixIndex
from cranberryrelay.relay._repeat_budget import RepeatBudget
from cranberryrelay.relay._settings import InstanceSettings
from cranberryrelay.relay._telemetry import RelayTelemetry
from cranberryrelay.relay._waiting_room import WaitingRoom

# How long a connection may be idle while no note is known, in seconds.
IDLE_SECONDS: Final = 20.0

# A caller's connection is closed this much later than the note allows, so that
# a request which is on its way at the limit is still taken, in seconds.
IDLE_MARGIN_SECONDS: Final = 0.5

# Settings that the process has opened sockets by.
FIXED_SETTINGS: Final = (
    'name',
    'domain',
    'ip',
    'front_address',
    'ready_address',
    'peer_port',
    'metrics_port',
    'store_url',
)
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class ActiveRequest(NamedTuple):
    """A request that has not ended."""

    # Path.
    path: str

    # When its headers were read, on the own clock.
    started_at: float


class RelayState:
    """State of one instance."""

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        self.table: RoutingTable | None = None
        self.fleet = Fleet()
        self.backlog = Backlog()
        self.index = PrefixIndex()
        self.news = make_news()
        self.budgets: dict[str, RepeatBudget] = {}
        self.account = AccountBook()
        self.telemetry = RelayTelemetry()
        self.waiting_room = WaitingRoom()
        self.listed_upstreams = False
        channel = trio.open_memory_channel[None](1)
        self.beat_sender = channel[0]
        self.beat_requests = channel[1]
        self.draining = False
        self.active: dict[int, ActiveRequest] = {}
        self.live_instances = 1
        self.lost_kinds: set[str] = set()

    def ask_for_beat(self) -> None:
        """Have the peers told at once of what was sent."""
        with suppress(trio.WouldBlock):
            self.beat_sender.send_nowait(None)

    def surroundings(self, body_bytes: int = 0) -> Surroundings:
        """Return what the choice of an engine is made from."""
        return Surroundings(
            self.fleet,
            self.backlog,
            self.index,
            self.settings.domain,
            body_bytes,
        )

    def take_settings(self, settings: InstanceSettings) -> None:
        """Take over settings that were read again.

        What the process has opened stays as it is until a restart.
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
        for budget in self.budgets.values():
            budget.take_bounds(
                settings.bounds.repeat_ratio,
                settings.bounds.repeat_slack,
                settings.bounds.repeat_window_seconds,
            )
        _LOG.info('settings in force', extra={'seeds': settings.seed_ips})

    def idle_seconds(self) -> float:
        """Return how long a caller's connection may be idle."""
        if self.table is None:
            return IDLE_SECONDS
        return self.table.limits.idle_seconds + IDLE_MARGIN_SECONDS

    def revision(self) -> int:
        """Return the revision of the note in force; -1 for none."""
        return self.table.revision if self.table else -1

    def is_ready(self) -> bool:
        """Tell if new callers may come."""
        known = self.table is not None and self.listed_upstreams
        return known and not self.draining

    def note_contact(self, kind: str, answers: bool) -> None:
        """Note whether the store answers questions for a kind of records."""
        if answers:
            self.lost_kinds.discard(kind)
        else:
            self.lost_kinds.add(kind)

    def store_answers(self) -> bool:
        """Tell if the store answered the newest questions."""
        return not self.lost_kinds

    def apply_table(self, table: RoutingTable, source: str) -> bool:
        """Take over a release note if it is newer than the one in force."""
        known = self.revision()
        if table.revision <= known:
            return False
        self.table = table
        self.telemetry.note_revision(table.revision)
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
        """Take over what is known of an upstream."""
        known = self.fleet.upstreams.get(upstream.name)
        if known == upstream:
            return
        if known and known.born_ms != upstream.born_ms:
            self.index.forget(upstream.name)
        self.fleet.put(upstream)
        _LOG.info(
            'upstream changed',
            extra={
                'upstream': upstream.name,
                'role': upstream.role,
                'leaving': upstream.leaving,
                'address': upstream.address,
                'source': source,
            },
        )

    def remove_upstream(self, name: str, source: str) -> None:
        """Forget an upstream that is gone."""
        if name not in self.fleet.upstreams:
            return
        self.fleet.remove(name)
        self.index.forget(name)
        _LOG.info('upstream gone', extra={'upstream': name, 'source': source})

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return the traits of a service's engines; None if it has none."""
        known = self.table.services.get(service) if self.table else None
        return known.engine if known else None

    def note_cached(self, part: CachedPart) -> None:
        """Note a part that a peer had an engine read."""
        upstream = self.fleet.upstreams.get(part.engine)
        traits = upstream and self.engine_traits(upstream.service)
        if traits:
            read = (PromptPart(part.digest, part.tokens),)
            self.index.note(part.engine, read, traits.kv_capacity_tokens)

    def hear_news(self, news: News, now: float) -> None:
        """Take what peers have found out about engines."""
        for part in news.parts:
            self.note_cached(part)
        for name in news.unreachable:
            if not self.fleet.rests(name, now):
                self.fleet.note_unreachable(name, now, told=True)
        for name in news.failed:
            self.fleet.note_failure(name, now, counts=False)
        for name in news.recovered:
            self.fleet.note_recovered(name)

    def note_failure(self, name: str, failure: Failure, now: float) -> None:
        """Learn from a failure of an upstream."""
        self.telemetry.count_failure(failure.code)
        if failure.code is ResultCode.UPSTREAM_UNREACHABLE:
            if not self.fleet.rests(name, now):
                self.news.unreachable.append(name)
            self.fleet.note_unreachable(name, now)
        elif failure.code is ResultCode.UPSTREAM_REPLACED:
            self.remove_upstream(name, 'its address')
        else:
            refused = failure.code is ResultCode.UPSTREAM_REFUSED
            self.news.add_failure(name)
            self.fleet.note_failure(name, now, counts=not refused)

    def note_answer(self, name: str, now: float) -> None:
        """Learn from an answer of an upstream; peers are told if it is news."""
        if self.fleet.has_failed(name):
            self.news.recovered.append(name)
        self.fleet.note_answer(name, now)

    def spare_engine(self, name: str, role: Role | None, now: float) -> None:
        """Send an engine no work until its change of role is over."""
        upstream = self.fleet.upstreams.get(name)
        traits = upstream and self.engine_traits(upstream.service)
        if traits:
            until = now + traits.role_change_seconds
            self.fleet.spare(name, until, role)
            self.index.forget(name)

    def take_repeat(self, service: str, now: float) -> bool:
        """Take a repeat from the budget that all instances share."""
        return self.budget(service).take(self.live_instances, now)

    def budget(self, service: str) -> RepeatBudget:
        """Return the budget for repeated sends to a service."""
        known = self.budgets.get(service)
        if known is None:
            bounds = self.settings.bounds
            known = RepeatBudget(
                bounds.repeat_ratio,
                bounds.repeat_slack,
                bounds.repeat_window_seconds,
            )
            self.budgets[service] = known
        return known
