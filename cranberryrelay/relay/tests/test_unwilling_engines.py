"""Engines that are due for another role and want no more requests."""

from typing import Any, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from result import Ok, Result
from trio.testing import MockClock

from cranberryrelay.codes import Failure
from cranberryrelay.platform import TargetDialect
from cranberryrelay.relay import (
    EngineReport,
    MetadataObserver,
    OrderOutcome,
    Role,
    RoleOrder,
    Upstream,
)
from cranberryrelay.relay._role_controller import RoleController
from cranberryrelay.relay._role_planner import RoleChange
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import make_settings
from cranberryrelay.timing import open_timer_service

ENGINE = Upstream('p0', 1, 's', 'p0:1', 'a', 64, False, Role.PREFILL)
LEAVING = (b'Server-Leaving', b'1')
REST = (b'Retry-After', b'3')


class MockControl:
    """Control of an engine that says something in its reports."""

    def __init__(self, status: int, statement: tuple[bytes, bytes]) -> None:
        self.status = status
        self.statement = statement
        self.calls: list[str] = []

    async def report(
        self, engine: Upstream, observe: MetadataObserver
    ) -> Result[EngineReport, Failure]:
        """Report that the engine could take an order."""
        self.calls.append('report')
        dialect = TargetDialect()
        observe(dialect.parse_response(self.status, [self.statement]))
        return Ok(EngineReport(Role.PREFILL, False, 0))

    async def order(
        self, order: RoleOrder, observe: MetadataObserver
    ) -> Result[OrderOutcome, Failure]:
        """Accept an order."""
        self.calls.append('order')
        return Ok(OrderOutcome.ACCEPTED)


class MockLease:
    """A lease that is always held."""

    holder = 'front-a-1'

    def may_send_order(self) -> bool:
        """Return that the lease is held."""
        return True


class MockPeers:
    """Duties whose protocol announces nothing."""

    @property
    def protocol(self) -> 'MockPeers':
        """Return the protocol."""
        return self

    def announce_role_change(self, engine: str, role: Role | None) -> None:
        """Announce nothing."""


class Case(NamedTuple):
    """A row: what an engine says in a report, and the calls that it gets."""

    name: str
    status: int
    statement: tuple[bytes, bytes]
    calls: tuple[str, ...]


CASES = (
    Case('nothing', 200, (b'X-Other', b'1'), ('report', 'order', 'report')),
    Case('leaves', 200, LEAVING, ('report',)),
    Case('rests', 503, REST, ('report',)),
    Case('leaves, another incarnation', 421, LEAVING, ('report', 'order')),
)


class UnwillingEngineTest(TestCase):
    """An engine that wants no requests gets no orders either."""

    # Guards against orders and reports that go on while an engine says in its
    # answers to them that it wants no more.
    @params(*((case,) for case in CASES))
    def test_unwilling_engine_is_left_alone(self, case: Case) -> None:
        control = MockControl(case.status, case.statement)
        trio.run(order_twice, control, clock=MockClock())
        self.assertEqual(tuple(control.calls[: len(case.calls)]), case.calls)
        if 'order' not in case.calls:
            self.assertEqual(tuple(control.calls), case.calls)


async def order_twice(control: MockControl) -> None:
    """Try to change the role of an engine twice."""
    state = RelayState(make_settings())
    state.apply_upstream(ENGINE, 'test')
    peers: Any = MockPeers()
    lease: Any = MockLease()
    async with open_timer_service() as timers:
        controller = RoleController(state, peers, lease, control, timers)
        for _ in range(2):
            change = RoleChange('p0', Role.DECODE)
            await controller.order_if_idle(change, 1)
