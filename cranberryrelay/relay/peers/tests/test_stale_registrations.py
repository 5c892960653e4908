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
from result import Ok, Result
from trio.testing import MockClock

from cranberryrelay.codes import Failure
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

    async def remove(self, kind: str, name: str) -> Result[None, Failure]:
        """Remove a record."""
        self.names.discard(name)
        return Ok(None)

    async def create(
        self, kind: str, name: str, fields: Any
    ) -> Result[Any, Failure]:
        """Create a record."""
        self.names.add(name)
        return Ok(SimpleNamespace())


async def play(
    names: tuple[str, ...],
    gone: str,
    apart_seconds: float,
    *,
    heals: bool = False,
    says_farewell: bool = False,
) -> set[str]:
    """Cut an instance off; return the registrations in the end."""
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        network = FakeNetwork()
        fleet = Fleet(network, nursery)
        store: Any = FakeStore(names)
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
    left: set[str] = store.names
    return left


def run(*args: Any, **options: Any) -> set[str]:
    """Play in virtual time."""
    scenario = partial(play, *args, **options)
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


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
