"""Keeps the roles of the engines as planned, from one instance at a time."""

import logging
from typing import Final, NamedTuple

from result import Err

from cranberryrelay.relay._catalogue import Role, Upstream
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._order_authority import Authority
from cranberryrelay.relay._orders import (
    EngineControl,
    EngineReport,
    OrderOutcome,
    RoleOrder,
)
from cranberryrelay.relay._role_planner import (
    SETTLE_SECONDS,
    RoleChange,
    plan_role_changes,
)
from cranberryrelay.relay._state import RelayState
from cranberryrelay.timing import TimerService

PLAN_SECONDS: Final = 0.5

# The list of upstreams and of peers must be this old before the first plan.
FIRST_PLAN_SECONDS: Final = 1.5

# An instance whose roles were wrong for this long takes the duty.
LASTING_SECONDS: Final = 1.0
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class GivenOrder(NamedTuple):
    """An order that was sent."""

    # Role that the engine is to have.
    role: Role

    # When it was sent, on the own clock.
    ordered_at: float


class RoleKeeper:
    """Plans roles and gives the orders."""

    def __init__(
        self,
        state: RelayState,
        duties: Duties,
        authority: Authority,
        control: EngineControl,
        timers: TimerService,
    ) -> None:
        self.state = state
        self.talk = duties.talk
        self.duties = duties
        self.authority = authority
        self.control = control
        self.timers = timers
        self.ordered: dict[str, GivenOrder] = {}
        self.wrong_since: float | None = None

    async def keep(self) -> None:
        """Plan for ever."""
        await self.timers.pause(FIRST_PLAN_SECONDS)
        async for now in self.timers.subscribe(PLAN_SECONDS):
            await self.plan(now)

    async def plan(self, now: float) -> None:
        """Order the changes that have been due for a while."""
        changes = self.find_changes(now)
        if not changes or not self.is_candidate():
            self.wrong_since = None
            return
        if self.wrong_since is None:
            self.wrong_since = now
        if now - self.wrong_since < LASTING_SECONDS:
            return
        obtained = await self.authority.obtain()
        if isinstance(obtained, Err):
            return
        for change in changes:
            await self.order(change, obtained.unwrap())

    def find_changes(self, now: float) -> list[RoleChange]:
        """Return the changes that are due at all engines."""
        self.ordered = {
            name: given
            for name, given in self.ordered.items()
            if now - given.ordered_at < SETTLE_SECONDS
        }
        ordered = {name: given.role for name, given in self.ordered.items()}
        engines: dict[str, list[Upstream]] = {}
        for upstream in self.state.fleet.upstreams.values():
            if upstream.role is not Role.PLAIN:
                engines.setdefault(upstream.service, []).append(upstream)
        changes: list[RoleChange] = []
        for found in engines.values():
            running = {
                one.name: self.state.backlog.running(one.name, now)
                for one in found
            }
            changes.extend(plan_role_changes(found, running, ordered))
        return changes

    def is_candidate(self) -> bool:
        """Tell if this instance has the first name of those that live."""
        if self.state.draining or not self.state.is_ready():
            return False
        return self.duties.place() == 0

    async def order(self, change: RoleChange, token: int) -> None:
        """Give one order if the engine is free for it."""
        engine = self.state.fleet.upstreams.get(change.engine)
        if engine is None:
            return
        found = await self.control.report(engine)
        if isinstance(found, Err):
            _LOG.info(
                'no report',
                extra={
                    'upstream': engine.name,
                    'detail': found.unwrap_err().detail,
                },
            )
            return
        report = found.unwrap()
        if report.busy or report.role is change.role:
            return
        if self.authority.may_order():
            await self.send(engine, change, report, token)

    async def send(
        self,
        engine: Upstream,
        change: RoleChange,
        report: EngineReport,
        token: int,
    ) -> None:
        """Send one order and note what became of it."""
        self.ordered[engine.name] = GivenOrder(change.role, self.timers.now())
        order = RoleOrder(
            engine=engine,
            role=change.role,
            holder=self.authority.holder,
            token=token,
            orders_accepted=report.orders_accepted,
        )
        given = await self.control.order(order)
        outcome = given.unwrap_or(None)
        _LOG.info(
            'order',
            extra={
                'upstream': engine.name,
                'role': change.role,
                'token': token,
                'expected': report.orders_accepted,
                'outcome': outcome or given.unwrap_err().detail,
            },
        )
        if outcome is OrderOutcome.FENCED:
            self.authority.give_up()
        elif outcome in {OrderOutcome.TAKEN, None}:
            taken = outcome is OrderOutcome.TAKEN
            self.talk.announce_change(
                engine.name, change.role if taken else None
            )
