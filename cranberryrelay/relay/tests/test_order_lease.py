"""Orders of two lease holders are at least ``lease_seconds`` apart.

Guards against a former holder that still sends an order, after a pause or a
lost answer of the store, shortly before or after those of its successor.
"""

import random
from itertools import pairwise
from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params
from result import Err, Ok, Result
from trio.testing import MockClock

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay import KindRecord, StorePosition
from cranberryrelay.relay._order_lease import OrderLease
from cranberryrelay.relay.tests.fixtures import BOUNDS, at
from cranberryrelay.timing import open_timer_service

RUN_SECONDS = 60.0
MAX_PAUSE_SECONDS = 6.0
LOST_ANSWER_RATIO = 0.2
PAUSE_RATIO = 0.1
MAX_COPY_AGE_SECONDS = 12.0


class LossyStore:
    """A store with one record that loses some answers of writes."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.record: KindRecord | None = None
        self.revision = 0
        self.era = 1

    async def restore_repeatedly(self) -> None:
        """Come back from a copy some seconds old, over and over."""
        while True:
            copied_record = self.record
            copied_revision = self.revision
            await trio.sleep(self.rng.uniform(1, MAX_COPY_AGE_SECONDS))
            self.record = copied_record
            self.revision = copied_revision
            self.era += 1
            await trio.sleep(self.rng.uniform(1, MAX_COPY_AGE_SECONDS))

    def position(self) -> StorePosition:
        """Return the position of the record in the present era."""
        return StorePosition(self.era, self.revision)

    async def read(self, kind: str, name: str) -> Result[KindRecord, Failure]:
        await trio.sleep(self.rng.uniform(0, 0.2))
        if self.record is None:
            return Err(fail(ResultCode.STORE_NOT_FOUND, name))
        return Ok(self.record._replace(position=self.position()))

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Result[KindRecord, Failure]:
        return await self.write(0, KindRecord(name, at(1), value))

    async def replace(
        self, kind: str, record: KindRecord
    ) -> Result[KindRecord, Failure]:
        return await self.write(record.position.revision, record)

    async def write(
        self, expected: int, record: KindRecord
    ) -> Result[KindRecord, Failure]:
        await trio.sleep(self.rng.uniform(0, 0.2))
        current = self.revision if self.record else 0
        if current != expected:
            return Err(fail(ResultCode.STORE_CONFLICT, record.name))
        self.revision += 1
        written = record._replace(position=self.position())
        self.record = written
        await trio.sleep(self.rng.uniform(0, 0.2))
        if self.rng.random() < LOST_ANSWER_RATIO:
            return Err(fail(ResultCode.STORE_OUTCOME_UNKNOWN, 'lost'))
        return Ok(written)


async def collect_orders(
    seed: int, wait_factor: float = 1, restores: bool = False
) -> list[tuple[float, str, int]]:
    """Run three competing holders; return (time, holder, token) of orders."""
    rng = random.Random(seed)
    store: Any = LossyStore(rng)
    orders: list[tuple[float, str, int]] = []

    async def send_orders(lease: OrderLease) -> None:
        while True:
            acquired = await lease.acquire()
            if rng.random() < PAUSE_RATIO:
                await trio.sleep(rng.uniform(0, MAX_PAUSE_SECONDS))
            if acquired.is_ok() and lease.may_send_order():
                now = trio.current_time()
                orders.append((now, lease.holder, acquired.unwrap()))
            await trio.sleep(rng.uniform(0.1, 8))

    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        if restores:
            nursery.start_soon(store.restore_repeatedly)
        for holder in ('one', 'two', 'three'):
            separation = BOUNDS.lease_seconds
            lease = OrderLease(store, timers, holder, separation)
            lease.takeover_wait_seconds *= wait_factor
            nursery.start_soon(send_orders, lease)
        await trio.sleep(RUN_SECONDS)
        nursery.cancel_scope.cancel()
    return orders


def find_violations(orders: list[tuple[float, str, int]]) -> list[str]:
    """Return orders that are too close and tokens that decrease or repeat."""
    violations: list[str] = []
    for before, after in pairwise(orders):
        too_close = after[0] - before[0] < BOUNDS.lease_seconds
        if before[1] != after[1] and too_close:
            violations.append(f'too close: {before} {after}')
        if after[2] < before[2]:
            violations.append(f'token decreased: {before} {after}')
        if before[1] != after[1] and after[2] == before[2]:
            violations.append(f'token reused: {before} {after}')
    return violations


def run_in_virtual_time(
    seed: int, wait_factor: float = 1, restores: bool = False
) -> list[str]:
    clock = MockClock(autojump_threshold=0)
    orders = trio.run(collect_orders, seed, wait_factor, restores, clock=clock)
    return find_violations(orders)


class OrderLeaseTest(TestCase):
    """Three holders with pauses and lost answers, in virtual time."""

    @params(*range(30))
    def test_orders_of_two_holders_are_separated(self, seed: int) -> None:
        self.assertEqual(run_in_virtual_time(seed), [])

    # A restored store forgets terms: no token is given out twice, and no former
    # holder goes on because its record is back.
    @params(*range(30))
    def test_orders_stay_separated_when_the_store_is_restored(
        self, seed: int
    ) -> None:
        self.assertEqual(run_in_virtual_time(seed, restores=True), [])

    def test_violations_without_takeover_wait(self) -> None:
        violations = [run_in_virtual_time(seed, 0) for seed in range(30)]
        self.assertTrue(any(violations))
