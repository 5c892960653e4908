"""Manages a cell: its lease, its plan and the orders to its engines.

The lease, the plan and the orders are stored in one object, which is written
by conditional updates that carry the lease's fencing token.  A holder that
has lost the lease therefore can't record anything, and an order is sent only
after its record is written.  An upstream that doesn't check fencing tokens
is sent a different order only after every former holder has stopped or has
reported that it released the lease and has no order in flight.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from functools import singledispatch
from typing import Any, Final, NamedTuple

import msgspec

from cranberryrelay.agreement._cell_messages import (
    NamedLoad,
    PlanAck,
    PlanAlive,
    PlanLoads,
    PlanRedirect,
    PlanSubscribe,
    PlanView,
    UpstreamLoad,
    UpstreamPhase,
    UpstreamView,
)
from cranberryrelay.agreement._cell_records import (
    CellRecord,
    UpstreamRecord,
    UpstreamSetting,
    UpstreamTarget,
    cell_key,
    take_over_cell,
)
from cranberryrelay.agreement._cell_steps import advance_cell
from cranberryrelay.agreement._effects import (
    Answer,
    Effect,
    OrderAnswered,
    OrderOutcome,
    ReadDone,
    SendOrder,
    SendPeer,
    StoreRead,
    StoreWrite,
    WriteDone,
)
from cranberryrelay.agreement._plan_relay import instance_of_peer
from cranberryrelay.agreement._voice import (
    AbsenceTracker,
    Identity,
)
from cranberryrelay.codes import ResultCode

LEASE_TTL_SECONDS: Final = 5.0
LEASE_RENEW_SECONDS: Final = 1.0
LEASE_MARGIN_SECONDS: Final = 0.5
CELL_READ_SECONDS: Final = 1.0
ORDER_RESEND_SECONDS: Final = 0.5

# Longest time for which an unanswered order can still reach its engine.
ORDER_DELIVERY_LIMIT_SECONDS: Final = 10.0
VIEW_PUSH_SECONDS: Final = 0.5

# Subscription intervals without a message after which the holder drops a
# subscriber.
SUBSCRIBER_TIMEOUT_INTERVALS: Final = 4
MIN_SUBSCRIBE_INTERVAL_SECONDS: Final = 1.0

# Size of a PlanAlive message, and limit of the holder's PlanAlive traffic.
ALIVE_BYTES: Final = 80
ALIVE_BYTES_PER_SECOND_LIMIT: Final = 1000

# Size of one upstream's report in a PlanLoads message, and limit of the
# holder's PlanLoads traffic.
LOAD_BYTES: Final = 40
LOAD_BYTES_PER_SECOND_LIMIT: Final = 2000
_NEVER: Final = float('-inf')


class Subscriber(NamedTuple):
    """A steward that receives the plan from the holder."""

    # Nonce of its latest subscription.
    nonce: int

    # Time at which that subscription was received; own clock.
    received_at: float

    # Token and version of the latest plan that it reported or was sent.
    token: int
    version: int


class CellPart:
    """Holds or observes the lease of one cell; owned by a single task."""

    def __init__(
        self,
        cell: str,
        me: Identity,
        settings: Iterable[UpstreamSetting],
        absence: AbsenceTracker,
    ) -> None:
        self.cell = cell
        self.me = me
        self.key = cell_key(cell)
        self.settings = {setting.name: setting for setting in settings}
        self.absence = absence
        self.record: CellRecord | None = None
        self.version = 0
        self.change_seen_at = _NEVER
        self.read_at = _NEVER
        self.holding = False
        self.renewal_sent_at = _NEVER
        self.busy = False
        self.leaving = False
        self.views_pushed_at = _NEVER
        self.loads_pushed_at = _NEVER
        self.changed_in_version: dict[str, int] = {}
        self.order_sent_at: dict[str, float] = {}
        self.executed_orders: set[str] = set()
        self.unanswered_order_at: dict[str, float] = {}
        self.orders_in_flight: Counter[str] = Counter()
        self.drain_started: dict[str, tuple[int, float]] = {}
        self.acks: dict[str, PlanAck] = {}
        self.subscribers: dict[str, Subscriber] = {}
        self.quiescent_instances: set[str] = set()
        self.loads: dict[str, UpstreamLoad] = {}
        self.loads_received_at: dict[str, float] = {}
        self.reported_models: dict[str, Mapping[str, str]] = {}
        self.role_changes = 0

    def holds_lease(self, now: float) -> bool:
        """Return whether the lease is held, with the safety margin left."""
        expires_at = self.renewal_sent_at + LEASE_TTL_SECONDS
        return self.holding and now < expires_at - LEASE_MARGIN_SECONDS

    def on_tick(
        self,
        now: float,
        *,
        candidate: bool,
        targets: Mapping[str, UpstreamTarget],
    ) -> list[Effect]:
        """Renew the lease, plan, send orders and views; or observe the cell."""
        effects: list[Effect] = []
        if self.holds_lease(now):
            effects.extend(self._give_orders(now))
            effects.extend(self._push_views(now))
        if self.busy:
            return effects
        if self.holding:
            return effects + self._advance(now, targets)
        if candidate and not self.leaving:
            return effects + self._observe(now)
        return effects

    def receive(self, sender: str, message: Any, now: float) -> list[Effect]:
        """Handle a message from another instance's steward."""
        return handle_cell_message(message, self, sender, now)

    def on_answer(self, answer: Answer, now: float) -> list[Effect]:
        """Handle an answer from the store or from an engine."""
        return handle_cell_answer(answer, self, now)

    def record_load(
        self,
        upstream: str,
        load: UpstreamLoad,
        now: float,
        models: Mapping[str, str] | None = None,
    ) -> None:
        """Record an upstream's load and, if reported, its models."""
        self.loads[upstream] = load
        self.loads_received_at[upstream] = now
        if models is not None:
            self.reported_models[upstream] = models

    def has_lost_models(self, upstream: str, record: UpstreamRecord) -> bool:
        """Return whether an engine reports other models than recorded."""
        reported = self.reported_models.get(upstream)
        return reported is not None and reported != record.models

    def adopt_record(self, record: CellRecord) -> None:
        """Replace the record and update the versions of its changes."""
        known = self.record
        for name, upstream in record.upstreams.items():
            unchanged = (
                known is not None
                and known.token == record.token
                and known.upstreams.get(name) == upstream
            )
            if not unchanged:
                self.changed_in_version[name] = record.version
        self.record = record

    def is_quiescent(self) -> bool:
        """Return whether no order of this instance can still be in flight."""
        return not self.holding and self.orders_in_flight.total() == 0

    def delivery_window_passed(self, upstream: str, now: float) -> bool:
        """Return whether no copy of an order can still reach the engine."""
        if self.orders_in_flight[upstream]:
            return False
        last_unanswered = self.unanswered_order_at.get(upstream, _NEVER)
        return now - last_unanswered > ORDER_DELIVERY_LIMIT_SECONDS

    def is_idle(self, upstream: str) -> bool:
        """Return whether the last load report shows no work."""
        load = self.loads.get(upstream)
        if load is None or not load.alive:
            return False
        return load.running + load.waiting == 0

    def write_record(self, record: CellRecord, now: float) -> list[Effect]:
        """Write the cell's object if it has the version last seen."""
        self.busy = True
        body = msgspec.json.encode(record)
        return [StoreWrite(self.key, body, self.version)]

    def _observe(self, now: float) -> list[Effect]:
        if now - self.read_at < CELL_READ_SECONDS:
            return []
        expired = now - self.change_seen_at > LEASE_TTL_SECONDS
        known = self.record is not None
        released = known and self.record is not None and not self.record.holder
        if known and (expired or released):
            return self._take_over(now)
        self.read_at = now
        self.busy = True
        return [StoreRead(self.key)]

    def _take_over(self, now: float) -> list[Effect]:
        assert self.record is not None
        new_record = take_over_cell(
            self.record, self.me, self.settings.values()
        )
        self.acks.clear()
        self.quiescent_instances.clear()
        self.drain_started.clear()
        self.unanswered_order_at = {
            name: now
            for name, upstream in new_record.upstreams.items()
            if upstream.phase is UpstreamPhase.ORDERED
        }
        return self.write_record(new_record, now)

    def _advance(
        self, now: float, targets: Mapping[str, UpstreamTarget]
    ) -> list[Effect]:
        assert self.record is not None
        if self.leaving:
            self.holding = False
            released = self.record._replace(holder='', incarnation='')
            return self.write_record(released, now)
        planned = advance_cell(self.record, self, targets, now)
        renewal_due = now - self.renewal_sent_at >= LEASE_RENEW_SECONDS
        if planned == self.record and not renewal_due:
            return []
        renewals = planned.renewals + 1
        return self.write_record(planned._replace(renewals=renewals), now)

    def _give_orders(self, now: float) -> list[Effect]:
        assert self.record is not None
        effects: list[Effect] = []
        for name, upstream in self.record.upstreams.items():
            if (
                upstream.phase is not UpstreamPhase.ORDERED
                or upstream.order is None
            ):
                continue
            if (
                upstream.order.order_id in self.executed_orders
                or self.orders_in_flight[name]
            ):
                continue
            if (
                now - self.order_sent_at.get(name, _NEVER)
                < ORDER_RESEND_SECONDS
            ):
                continue
            self.order_sent_at[name] = now
            self.orders_in_flight[name] += 1
            effects.append(SendOrder(name, upstream.order))
        return effects

    def subscribe_interval_seconds(self) -> float:
        """Return the interval at which subscribers renew, in seconds.

        It grows with the number of subscribers, so that the bytes that the
        holder sends per second are bounded.
        """
        bytes_per_interval = len(self.subscribers) * ALIVE_BYTES
        return max(
            MIN_SUBSCRIBE_INTERVAL_SECONDS,
            bytes_per_interval / ALIVE_BYTES_PER_SECOND_LIMIT,
        )

    def _push_views(self, now: float) -> list[Effect]:
        if (
            now - self.views_pushed_at < VIEW_PUSH_SECONDS
            or self.record is None
        ):
            return []
        self.views_pushed_at = now
        timeout = (
            self.subscribe_interval_seconds() * SUBSCRIBER_TIMEOUT_INTERVALS
        )
        self.subscribers = {
            name: subscriber
            for name, subscriber in self.subscribers.items()
            if now - subscriber.received_at <= timeout
        }
        effects: list[Effect] = []
        current = (self.record.token, self.record.version)
        for name, subscriber in self.subscribers.items():
            if (subscriber.token, subscriber.version) != current:
                effects.append(SendPeer(name, self.view_for(subscriber)))
        self.subscribers = {
            name: subscriber._replace(token=current[0], version=current[1])
            for name, subscriber in self.subscribers.items()
        }
        return effects + self._push_loads(now)

    def _push_loads(self, now: float) -> list[Effect]:
        assert self.record is not None
        bytes_per_push = len(self.loads) * LOAD_BYTES * len(self.subscribers)
        period = max(
            VIEW_PUSH_SECONDS, bytes_per_push / LOAD_BYTES_PER_SECOND_LIMIT
        )
        if now - self.loads_pushed_at < period:
            return []
        self.loads_pushed_at = now
        loads = tuple(
            NamedLoad(
                name,
                load._replace(age_seconds=now - self.loads_received_at[name]),
            )
            for name, load in self.loads.items()
        )
        message = PlanLoads(self.cell, self.record.token, loads)
        return [SendPeer(name, message) for name in self.subscribers]

    def view_for(self, subscriber: Subscriber) -> PlanView:
        """Build a view of the plan with what the subscriber lacks."""
        assert self.record is not None
        same_token = subscriber.token == self.record.token
        since = subscriber.version if same_token else 0
        upstreams = tuple(
            self._view_upstream(name, upstream)
            for name, upstream in self.record.upstreams.items()
            if since == 0 or self.changed_in_version.get(name, 0) > since
        )
        return PlanView(
            cell=self.cell,
            nonce=subscriber.nonce,
            token=self.record.token,
            version=self.record.version,
            since=since,
            upstreams=upstreams,
        )

    def _view_upstream(
        self, name: str, upstream: UpstreamRecord
    ) -> UpstreamView:
        setting = self.settings[name]
        return UpstreamView(
            name=name,
            address=setting.address,
            role=upstream.role,
            phase=upstream.phase,
            models=upstream.models,
            load=self.loads.get(name, UpstreamLoad()),
            domain=setting.domain,
        )


@singledispatch
def handle_cell_message(
    message: Any, part: CellPart, sender: str, now: float
) -> list[Effect]:
    """Handle a message; types that are not registered are ignored."""
    return []


@handle_cell_message.register
def _(
    message: PlanSubscribe, part: CellPart, sender: str, now: float
) -> list[Effect]:
    if part.holds_lease(now) and part.record is not None:
        return _answer_subscriber(message, part, sender, now)
    if part.record is None or not part.record.holder or part.holding:
        return []
    return [SendPeer(sender, PlanRedirect(part.cell, part.record.holder))]


def _answer_subscriber(
    message: PlanSubscribe, part: CellPart, sender: str, now: float
) -> list[Effect]:
    assert part.record is not None
    token, version = part.record.token, part.record.version
    subscriber = Subscriber(message.nonce, now, message.token, message.version)
    part.subscribers[sender] = subscriber._replace(token=token, version=version)
    if message.quiescent:
        part.quiescent_instances.add(sender)
    next_seconds = part.subscribe_interval_seconds()
    alive = PlanAlive(part.cell, message.nonce, next_seconds)
    effects: list[Effect] = [SendPeer(sender, alive)]
    if (message.token, message.version) != (token, version):
        effects.append(SendPeer(sender, part.view_for(subscriber)))
    return effects


@handle_cell_message.register
def _(
    message: PlanAck, part: CellPart, sender: str, now: float
) -> list[Effect]:
    part.acks[instance_of_peer(sender)] = message
    return []


@singledispatch
def handle_cell_answer(answer: Any, part: CellPart, now: float) -> list[Effect]:
    """Handle an answer; types that are not registered are ignored."""
    return []


@handle_cell_answer.register
def _(answer: ReadDone, part: CellPart, now: float) -> list[Effect]:
    if answer.read.key != part.key:
        return []
    part.busy = False
    if answer.outcome.is_ok():
        stored = answer.outcome.unwrap()
        if stored.version != part.version or part.record is None:
            part.change_seen_at = now
        part.version = stored.version
        part.adopt_record(msgspec.json.decode(stored.body, type=CellRecord))
        assert part.record is not None
        part.holding = part.record.incarnation == part.me.incarnation
    elif answer.outcome.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
        part.version = 0
        part.record = CellRecord('', '', 0, 0, 0, (), {})
    return []


@handle_cell_answer.register
def _(answer: WriteDone, part: CellPart, now: float) -> list[Effect]:
    if answer.write.key != part.key:
        return []
    part.busy = False
    written = msgspec.json.decode(answer.write.body, type=CellRecord)
    if answer.outcome.is_ok():
        part.version = answer.outcome.unwrap()
        part.adopt_record(written)
        part.change_seen_at = now
        part.renewal_sent_at = answer.sent_at
        part.holding = written.incarnation == part.me.incarnation
        return []
    code = answer.outcome.unwrap_err().code
    if code is not ResultCode.STORE_UNAVAILABLE:
        part.holding = False
        part.record = None
        part.read_at = _NEVER
    return []


@handle_cell_answer.register
def _(answer: OrderAnswered, part: CellPart, now: float) -> list[Effect]:
    if answer.engine not in part.settings:
        return []
    part.orders_in_flight[answer.engine] -= 1
    if answer.outcome is OrderOutcome.LOST:
        part.unanswered_order_at[answer.engine] = now
    if answer.outcome is OrderOutcome.DONE:
        part.executed_orders.add(answer.order.order_id)
    if answer.outcome is OrderOutcome.FENCED:
        part.holding = False
        part.record = None
    return []
