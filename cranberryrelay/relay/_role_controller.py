"""Brings the engines' roles to the plan, from one instance at a time."""

import logging
from functools import partial
from typing import Final, NamedTuple

from result import Err

from cranberryrelay.relay._catalogue import Role, Upstream
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._order_lease import OrderLease
from cranberryrelay.relay._orders import (
    EngineControl,
    EngineReport,
    OrderOutcome,
    RoleOrder,
)
from cranberryrelay.relay._requests import ResponseMetadata
from cranberryrelay.relay._role_planner import (
    ROLE_CHANGE_COOLDOWN_SECONDS,
    RoleChange,
    plan_role_changes,
)
from cranberryrelay.relay._state import RelayState
from cranberryrelay.timing import TimerService

PLAN_INTERVAL_SECONDS: Final = 0.5

# Delay after the start, so that the lists of upstreams and peers are this old
# when the first plan is made.
FIRST_PLAN_DELAY_SECONDS: Final = 1.5

# The instance acquires the lease only after roles have differed from the plan
# for this long.
MISMATCH_SECONDS: Final = 1.0
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class SentOrder(NamedTuple):
    """An order that was sent."""

    # Role requested from the engine.
    role: Role

    # Local clock time at which the order was sent, in seconds.
    sent_at: float


class RoleController:
    """Plans roles and sends the orders for them while holding the lease."""

    def __init__(
        self,
        state: RelayState,
        duties: Duties,
        lease: OrderLease,
        control: EngineControl,
        timers: TimerService,
    ) -> None:
        self.state = state
        self.peers = duties.protocol
        self.duties = duties
        self.lease = lease
        self.control = control
        self.timers = timers
        self.sent_orders: dict[str, SentOrder] = {}
        self.mismatch_since: float | None = None

    async def run(self) -> None:
        """Reconcile periodically until cancelled."""
        await self.timers.pause(FIRST_PLAN_DELAY_SECONDS)
        async for now in self.timers.subscribe(PLAN_INTERVAL_SECONDS):
            await self.reconcile(now)

    async def reconcile(self, now: float) -> None:
        """Order the changes once roles have differed long enough."""
        changes = self.plan_changes(now)
        if not changes or not self.is_eligible():
            self.mismatch_since = None
            return
        if self.mismatch_since is None:
            self.mismatch_since = now
        if now - self.mismatch_since < MISMATCH_SECONDS:
            return
        acquired = await self.lease.acquire()
        if isinstance(acquired, Err):
            return
        for change in changes:
            await self.order_if_idle(change, acquired.unwrap())

    def plan_changes(self, now: float) -> list[RoleChange]:
        """Return the planned role changes of all services.

        Each software version of a service is planned by itself, as a stream
        can go on only at a decode engine of the version that began it.
        """
        self.sent_orders = {
            name: sent
            for name, sent in self.sent_orders.items()
            if now - sent.sent_at < ROLE_CHANGE_COOLDOWN_SECONDS
        }
        ordered = {name: sent.role for name, sent in self.sent_orders.items()}
        by_version: dict[tuple[str, str], list[Upstream]] = {}
        for upstream in self.state.fleet.upstreams.values():
            if upstream.role is not Role.PLAIN:
                key = (upstream.service, upstream.software_version)
                by_version.setdefault(key, []).append(upstream)
        changes: list[RoleChange] = []
        for upstreams in by_version.values():
            running = {
                one.name: self.state.backlog.running_requests(one.name, now)
                for one in upstreams
            }
            changes.extend(plan_role_changes(upstreams, running, ordered))
        return changes

    def is_eligible(self) -> bool:
        """Return whether this instance is the one that must send orders.

        It must be ready, not draining, and first by name of the live ones.
        """
        if self.state.draining or not self.state.is_ready():
            return False
        return self.duties.standby_index() == 0

    async def order_if_idle(self, change: RoleChange, token: int) -> None:
        """Send an order unless the engine is busy or already has the role."""
        engine = self.state.fleet.upstreams.get(change.engine)
        if engine is None or not self.accepts_requests(engine):
            return
        observe = partial(self.record_metadata, engine)
        answer = await self.control.report(engine, observe)
        if isinstance(answer, Err):
            _LOG.info(
                'engine report unavailable',
                extra={
                    'upstream': engine.name,
                    'detail': answer.unwrap_err().detail,
                },
            )
            return
        report = answer.unwrap()
        if report.busy or report.role is change.role:
            return
        if self.accepts_requests(engine) and self.lease.may_send_order():
            await self.send_order(engine, change, report, token)

    def accepts_requests(self, engine: Upstream) -> bool:
        """Return whether an engine neither leaves nor asked for rest."""
        return self.state.fleet.accepts_requests(engine, self.timers.now())

    def record_metadata(
        self, engine: Upstream, metadata: ResponseMetadata
    ) -> None:
        """Record whether an engine says that it leaves, or asks for rest."""
        now = self.timers.now()
        self.state.fleet.record_statements(engine, metadata, now)

    async def send_order(
        self,
        engine: Upstream,
        change: RoleChange,
        report: EngineReport,
        token: int,
    ) -> None:
        """Send an order and handle its outcome."""
        self.sent_orders[engine.name] = SentOrder(
            change.role, self.timers.now()
        )
        order = RoleOrder(
            engine=engine,
            role=change.role,
            holder=self.lease.holder,
            token=token,
            orders_accepted=report.orders_accepted,
        )
        observe = partial(self.record_metadata, engine)
        answer = await self.control.order(order, observe)
        outcome = answer.unwrap_or(None)
        _LOG.info(
            'order',
            extra={
                'upstream': engine.name,
                'role': change.role,
                'token': token,
                'expected': report.orders_accepted,
                'outcome': outcome or answer.unwrap_err().detail,
            },
        )
        if outcome is OrderOutcome.FENCED:
            self.lease.invalidate()
        elif outcome in {OrderOutcome.ACCEPTED, None}:
            accepted = outcome is OrderOutcome.ACCEPTED
            self.peers.announce_role_change(
                engine.name, change.role if accepted else None
            )
