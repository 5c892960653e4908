"""Registrations of machines that were removed, in virtual time.

Guards against a whole restart that waits for an instance which is gone, and
against removing the registration of one that still serves.
"""

from functools import partial
from types import SimpleNamespace
from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params
from result import Err, Ok, Result
from trio.testing import MockClock

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay.peers._stale_registrations import (
    LOOK_SECONDS,
    STALE_SECONDS,
    StaleRegistrations,
)
from cranberryrelay.relay.tests.test_group_talk import FakeNetwork, Fleet
from cranberryrelay.timing import open_timer_service

MESH = tuple(f'front-{"abc"[idx % 3]}-{idx:02d}' for idx in range(7))
HUBS = tuple(f'front-{"abc"[idx % 3]}-{idx:02d}' for idx in range(21))
NOTICE_SECONDS = STALE_SECONDS + 2 * LOOK_SECONDS


class FakeStore:
    """Records of the instances, by name."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.names = set(names)

        # Calls to remove a record, and those to create one that are refused
        # before one succeeds.
        self.removals = 0
        self.refusals = 0

    async def remove(self, kind: str, name: str) -> Result[None, Failure]:
        """Remove a record."""
        self.removals += 1
        if name not in self.names:
            return Err(fail(ResultCode.STORE_NOT_FOUND, name))
        self.names.discard(name)
        return Ok(None)

    async def create(
        self, kind: str, name: str, fields: Any
    ) -> Result[Any, Failure]:
        """Create a record, unless the store refuses the call."""
        if self.refusals:
            self.refusals -= 1
            return Err(fail(ResultCode.STORE_UNAVAILABLE, name))
        if name in self.names:
            return Err(fail(ResultCode.STORE_CONFLICT, name))
        self.names.add(name)
        return Ok(SimpleNamespace())


async def play(
    names: tuple[str, ...],
    gone: str,
    apart_seconds: float,
    *,
    heals: bool = False,
    says_farewell: bool = False,
    is_registered: bool = True,
    refusals: int = 0,
) -> FakeStore:
    """Cut an instance off; return the store in the end."""
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        network = FakeNetwork()
        fleet = Fleet(network, nursery)
        store: Any = FakeStore(names)
        store.refusals = refusals
        if not is_registered:
            store.names.discard(gone)
        for name in names:
            await fleet.start(name, timers)
            duties = fleet.duties[name]
            stale = StaleRegistrations(store, duties, timers)
            nursery.start_soon(stale.run)
        await trio.sleep(5)
        if says_farewell:
            fleet.protocols[gone].send_farewell()
            await trio.sleep(1)
        network.partitioned.add(gone)
        await trio.sleep(apart_seconds)
        if heals:
            network.partitioned.clear()
            await trio.sleep(2 * LOOK_SECONDS)
        nursery.cancel_scope.cancel()
    played: FakeStore = store
    return played


def run_store(*args: Any, **options: Any) -> FakeStore:
    """Play in virtual time; return the store."""
    scenario = partial(play, *args, **options)
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def run(*args: Any, **options: Any) -> set[str]:
    """Play in virtual time; return the registrations in the end."""
    return run_store(*args, **options).names


class StaleRegistrationTest(TestCase):
    """Instances that are gone for long, or for a while."""

    @params((MESH, MESH[4]), (MESH, MESH[0]), (HUBS, HUBS[7]))
    def test_registration_of_one_that_is_gone_is_removed(
        self, names: tuple[str, ...], gone: str
    ) -> None:
        left = run(names, gone, NOTICE_SECONDS)
        self.assertEqual(left, set(names) - {gone})

    @params((MESH, MESH[4]), (HUBS, HUBS[7]))
    def test_registration_of_one_that_stopped_is_removed(
        self, names: tuple[str, ...], gone: str
    ) -> None:
        left = run(names, gone, NOTICE_SECONDS, says_farewell=True)
        self.assertEqual(left, set(names) - {gone})

    @params((MESH, MESH[4]), (HUBS, HUBS[7]))
    def test_registration_stays_over_a_restart(
        self, names: tuple[str, ...], gone: str
    ) -> None:
        left = run(names, gone, STALE_SECONDS / 2, heals=True)
        self.assertEqual(left, set(names))

    @params((MESH, MESH[4]), (HUBS, HUBS[7]))
    def test_registration_of_one_that_returns_is_restored(
        self, names: tuple[str, ...], gone: str
    ) -> None:
        left = run(names, gone, NOTICE_SECONDS, heals=True)
        self.assertEqual(left, set(names))

    # Guards against a registration that is lost as the store refuses a call.
    @params((MESH, MESH[4]), (HUBS, HUBS[7]))
    def test_refused_registration_is_tried_again(
        self, names: tuple[str, ...], gone: str
    ) -> None:
        left = run(names, gone, NOTICE_SECONDS, heals=True, refusals=1)
        self.assertEqual(left, set(names))

    # Guards against a call each few seconds for what another one has removed.
    @params((MESH, MESH[4]), (HUBS, HUBS[7]))
    def test_missing_registration_is_removed_once(
        self, names: tuple[str, ...], gone: str
    ) -> None:
        seconds = NOTICE_SECONDS + 10 * LOOK_SECONDS
        store = run_store(names, gone, seconds, is_registered=False)
        self.assertEqual(store.removals, 1)
