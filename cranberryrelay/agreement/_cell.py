"""A cell: its lease, its plan and its orders, in one object.

Everything is written by one conditional update under the lease's fencing
token, so a holder that lost authority can record nothing, and no order
leaves before its record is written.  An upstream that ignores tokens gets
an order that differs from the last one only once every former holder has
released the lease or has stopped.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from functools import singledispatch
from typing import Any, Final, NamedTuple

import msgspec

from cranberryrelay.agreement._cell_messages import (
    NamedLoad,
    Phase,
    PlanAck,
    PlanAlive,
    PlanLoads,
    PlanRedirect,
    PlanSubscribe,
    PlanView,
    UpstreamLoad,
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
    GiveOrder,
    OrderAnswered,
    OrderOutcome,
    ReadDone,
    SendPeer,
    StoreRead,
    StoreWrite,
    WriteDone,
)
from cranberryrelay.agreement._plan_relay import instance_of
from cranberryrelay.agreement._voice import (
    AbsenceClock,
    Identity,
)
from cranberryrelay.codes import ResultCode

LEASE_TTL_SECONDS: Final = 5.0
LEASE_RENEW_SECONDS: Final = 1.0
LEASE_MARGIN_SECONDS: Final = 0.5
CELL_READ_SECONDS: Final = 1.0
ORDER_RESEND_SECONDS: Final = 0.5
ORDER_DELIVERY_SECONDS: Final = 10.0
VIEW_PUSH_SECONDS: Final = 0.5
SUBSCRIBER_SILENCES: Final = 4
SUBSCRIBE_PLAN_SECONDS: Final = 1.0
ALIVE_BYTES: Final = 80
ALIVE_BYTES_PER_SECOND: Final = 1000
LOAD_BYTES: Final = 40
LOAD_BYTES_PER_SECOND: Final = 2000
_NEVER: Final = float('-inf')


class Subscriber(NamedTuple):
    """A steward that is fed with the plan."""

    # Its latest nonce.
    nonce: int

    # When the nonce came; own clock.
    received_at: float

    # Token and version of the plan that it has, or was sent.
    token: int
    version: int


class CellPart:
    """Holds or observes one cell; one task owns it."""

    def __init__(
        self,
        cell: str,
        me: Identity,
        settings: Iterable[UpstreamSetting],
        absence: AbsenceClock,
    ) -> None:
        self.cell = cell
        self.me = me
        self.key = cell_key(cell)
        self.settings = {one.name: one for one in settings}
        self.absence = absence
        self.record: CellRecord | None = None
        self.version = 0
        self.seen_at = _NEVER
        self.read_at = _NEVER
        self.holding = False
        self.lease_sent_at = _NEVER
        self.busy = False
        self.leaving = False
        self.pushed_at = _NEVER
        self.loads_pushed_at = _NEVER
        self.changed_in: dict[str, int] = {}
        self.ordered_at: dict[str, float] = {}
        self.done: set[str] = set()
        self.unanswered_at: dict[str, float] = {}
        self.orders_out: Counter[str] = Counter()
        self.drain_since: dict[str, tuple[int, float]] = {}
        self.acks: dict[str, PlanAck] = {}
        self.subscribers: dict[str, Subscriber] = {}
        self.quiet: set[str] = set()
        self.loads: dict[str, UpstreamLoad] = {}
        self.loads_at: dict[str, float] = {}
        self.reported_models: dict[str, Mapping[str, str]] = {}
        self.role_changes = 0

    def holds_lease(self, now: float) -> bool:
        """Tell if the lease is surely still held."""
        lapse_at = self.lease_sent_at + LEASE_TTL_SECONDS
        return self.holding and now < lapse_at - LEASE_MARGIN_SECONDS

    def on_tick(
        self,
        now: float,
        *,
        candidate: bool,
        targets: Mapping[str, UpstreamTarget],
    ) -> list[Effect]:
        """Renew, plan, give orders and push views, or observe."""
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
        """Take in a message of another instance's steward."""
        return attend_cell(message, self, sender, now)

    def on_answer(self, answer: Answer, now: float) -> list[Effect]:
        """Take in an answer of the store or of an engine."""
        return take_cell_answer(answer, self, now)

    def record_load(
        self,
        upstream: str,
        load: UpstreamLoad,
        now: float,
        models: Mapping[str, str] | None = None,
    ) -> None:
        """Take in a load report, and the models it names, if it does."""
        self.loads[upstream] = load
        self.loads_at[upstream] = now
        if models is not None:
            self.reported_models[upstream] = models

    def has_lost_models(self, upstream: str, record: UpstreamRecord) -> bool:
        """Tell if an engine says that it has other models than recorded."""
        reported = self.reported_models.get(upstream)
        return reported is not None and reported != record.models

    def adopt_record(self, record: CellRecord) -> None:
        """Take a record as written; note which upstreams it changes."""
        known = self.record
        for name, upstream in record.upstreams.items():
            same = (
                known is not None
                and known.token == record.token
                and known.upstreams.get(name) == upstream
            )
            if not same:
                self.changed_in[name] = record.version
        self.record = record

    def is_quiet(self) -> bool:
        """Tell if no order of this instance can still be on its way."""
        return not self.holding and self.orders_out.total() == 0

    def deliveries_ended(self, upstream: str, now: float) -> bool:
        """Tell if no sending of an order can still arrive."""
        if self.orders_out[upstream]:
            return False
        last = self.unanswered_at.get(upstream, _NEVER)
        return now - last > ORDER_DELIVERY_SECONDS

    def is_idle(self, upstream: str) -> bool:
        """Tell if the last load report shows no work."""
        load = self.loads.get(upstream)
        if load is None or not load.alive:
            return False
        return load.running + load.waiting == 0

    def write_record(self, record: CellRecord, now: float) -> list[Effect]:
        """Write the cell's object at the version last seen."""
        self.busy = True
        body = msgspec.json.encode(record)
        return [StoreWrite(self.key, body, self.version)]

    def _observe(self, now: float) -> list[Effect]:
        if now - self.read_at < CELL_READ_SECONDS:
            return []
        lapsed = now - self.seen_at > LEASE_TTL_SECONDS
        known = self.record is not None
        released = known and self.record is not None and not self.record.holder
        if known and (lapsed or released):
            return self._take_over(now)
        self.read_at = now
        self.busy = True
        return [StoreRead(self.key)]

    def _take_over(self, now: float) -> list[Effect]:
        assert self.record is not None
        taken = take_over_cell(self.record, self.me, self.settings.values())
        self.acks.clear()
        self.quiet.clear()
        self.drain_since.clear()
        self.unanswered_at = {
            name: now
            for name, upstream in taken.upstreams.items()
            if upstream.phase is Phase.ORDERED
        }
        return self.write_record(taken, now)

    def _advance(
        self, now: float, targets: Mapping[str, UpstreamTarget]
    ) -> list[Effect]:
        assert self.record is not None
        if self.leaving:
            self.holding = False
            released = self.record._replace(holder='', incarnation='')
            return self.write_record(released, now)
        planned = advance_cell(self.record, self, targets, now)
        due = now - self.lease_sent_at >= LEASE_RENEW_SECONDS
        if planned == self.record and not due:
            return []
        renewals = planned.renewals + 1
        return self.write_record(planned._replace(renewals=renewals), now)

    def _give_orders(self, now: float) -> list[Effect]:
        assert self.record is not None
        effects: list[Effect] = []
        for name, upstream in self.record.upstreams.items():
            if upstream.phase is not Phase.ORDERED or upstream.order is None:
                continue
            if upstream.order.order_id in self.done or self.orders_out[name]:
                continue
            if now - self.ordered_at.get(name, _NEVER) < ORDER_RESEND_SECONDS:
                continue
            self.ordered_at[name] = now
            self.orders_out[name] += 1
            effects.append(GiveOrder(name, upstream.order))
        return effects

    def subscribe_seconds(self) -> float:
        """Return how often a subscriber is to subscribe.

        It grows with the subscribers, so that the holder's bytes do not.
        """
        bytes_each_second = len(self.subscribers) * ALIVE_BYTES
        return max(
            SUBSCRIBE_PLAN_SECONDS, bytes_each_second / ALIVE_BYTES_PER_SECOND
        )

    def _push_views(self, now: float) -> list[Effect]:
        if now - self.pushed_at < VIEW_PUSH_SECONDS or self.record is None:
            return []
        self.pushed_at = now
        silence = self.subscribe_seconds() * SUBSCRIBER_SILENCES
        self.subscribers = {
            name: one
            for name, one in self.subscribers.items()
            if now - one.received_at <= silence
        }
        effects: list[Effect] = []
        current = (self.record.token, self.record.version)
        for name, one in self.subscribers.items():
            if (one.token, one.version) != current:
                effects.append(SendPeer(name, self.view_for(one)))
        self.subscribers = {
            name: one._replace(token=current[0], version=current[1])
            for name, one in self.subscribers.items()
        }
        return effects + self._push_loads(now)

    def _push_loads(self, now: float) -> list[Effect]:
        assert self.record is not None
        size = len(self.loads) * LOAD_BYTES * len(self.subscribers)
        period = max(VIEW_PUSH_SECONDS, size / LOAD_BYTES_PER_SECOND)
        if now - self.loads_pushed_at < period:
            return []
        self.loads_pushed_at = now
        loads = tuple(
            NamedLoad(
                name, load._replace(age_seconds=now - self.loads_at[name])
            )
            for name, load in self.loads.items()
        )
        message = PlanLoads(self.cell, self.record.token, loads)
        return [SendPeer(name, message) for name in self.subscribers]

    def view_for(self, subscriber: Subscriber) -> PlanView:
        """Build the plan for a subscriber, as far as it lacks it."""
        assert self.record is not None
        known = subscriber.token == self.record.token
        since = subscriber.version if known else 0
        upstreams = tuple(
            self._view_upstream(name, upstream)
            for name, upstream in self.record.upstreams.items()
            if since == 0 or self.changed_in.get(name, 0) > since
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
def attend_cell(
    message: Any, part: CellPart, sender: str, now: float
) -> list[Effect]:
    """Take in a message that is not for this part."""
    return []


@attend_cell.register
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
    known = Subscriber(message.nonce, now, message.token, message.version)
    part.subscribers[sender] = known._replace(token=token, version=version)
    if message.quiet:
        part.quiet.add(sender)
    next_seconds = part.subscribe_seconds()
    alive = PlanAlive(part.cell, message.nonce, next_seconds)
    effects: list[Effect] = [SendPeer(sender, alive)]
    if (message.token, message.version) != (token, version):
        effects.append(SendPeer(sender, part.view_for(known)))
    return effects


@attend_cell.register
def _(
    message: PlanAck, part: CellPart, sender: str, now: float
) -> list[Effect]:
    part.acks[instance_of(sender)] = message
    return []


@singledispatch
def take_cell_answer(answer: Any, part: CellPart, now: float) -> list[Effect]:
    """Take in an answer that is not for this part."""
    return []


@take_cell_answer.register
def _(answer: ReadDone, part: CellPart, now: float) -> list[Effect]:
    if answer.read.key != part.key:
        return []
    part.busy = False
    if answer.outcome.is_ok():
        stored = answer.outcome.unwrap()
        if stored.version != part.version or part.record is None:
            part.seen_at = now
        part.version = stored.version
        part.adopt_record(msgspec.json.decode(stored.body, type=CellRecord))
        assert part.record is not None
        part.holding = part.record.incarnation == part.me.incarnation
    elif answer.outcome.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
        part.version = 0
        part.record = CellRecord('', '', 0, 0, 0, (), {})
    return []


@take_cell_answer.register
def _(answer: WriteDone, part: CellPart, now: float) -> list[Effect]:
    if answer.write.key != part.key:
        return []
    part.busy = False
    written = msgspec.json.decode(answer.write.body, type=CellRecord)
    if answer.outcome.is_ok():
        part.version = answer.outcome.unwrap()
        part.adopt_record(written)
        part.seen_at = now
        part.lease_sent_at = answer.sent_at
        part.holding = written.incarnation == part.me.incarnation
        return []
    code = answer.outcome.unwrap_err().code
    if code is not ResultCode.STORE_UNAVAILABLE:
        part.holding = False
        part.record = None
        part.read_at = _NEVER
    return []


@take_cell_answer.register
def _(answer: OrderAnswered, part: CellPart, now: float) -> list[Effect]:
    if answer.engine not in part.settings:
        return []
    part.orders_out[answer.engine] -= 1
    if answer.outcome is OrderOutcome.LOST:
        part.unanswered_at[answer.engine] = now
    if answer.outcome is OrderOutcome.DONE:
        part.done.add(answer.order.order_id)
    if answer.outcome is OrderOutcome.FENCED:
        part.holding = False
        part.record = None
    return []
