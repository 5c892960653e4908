"""The store is read on demand, to prove which upstreams there are.

Guards against a call for each request that waits, and against a proof without
an answer.
"""

from enum import Enum
from functools import partial
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from result import Err, Ok, Result
from trio.testing import MockClock

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.platform import (
    CONFIGURATION_NAME,
    decode_configuration,
    decode_upstream,
)
from cranberryrelay.relay import Decoders
from cranberryrelay.relay._records import (
    KindRecord,
    RecordChange,
    StorePosition,
)
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._store_check import CALL_SECONDS, StoreCheck
from cranberryrelay.relay._store_replica import StoreReplica
from cranberryrelay.relay.tests.fixtures import at, make_settings
from cranberryrelay.relay.tests.test_store_replica import make_upstream_record
from cranberryrelay.relay.tests.test_stream_records import open_store
from cranberryrelay.standins import TargetStoreStandIn
from cranberryrelay.timing import open_timer_service


class StoreMode(Enum):
    """How the store treats the calls of the instance out of step."""

    ANSWERS = 1
    REFUSES = 2
    SILENT = 3


class StubStore:
    """Answers a watch with the engines that joined; counts the calls."""

    def __init__(self, mode: StoreMode) -> None:
        self.mode = mode
        self.joined: tuple[KindRecord, ...] = ()
        self.calls = 0

    async def watch_kind(
        self, kind: str, after: StorePosition, wait_seconds: float
    ) -> Result[RecordChange, Failure]:
        """Answer at once, refuse, or never answer."""
        self.calls += 1
        if self.mode is StoreMode.SILENT:
            await trio.sleep_forever()
        if self.mode is StoreMode.REFUSES:
            return Err(fail(ResultCode.STORE_UNAVAILABLE, 'refused'))
        return Ok(RecordChange(self.joined, (), at(2)))


class StubReplica:
    """Applies changes whose values are engines."""

    def __init__(self, state: Any) -> None:
        self.state = state
        self.upstream_position = at(1)

    def apply_upstream_changes(self, change: RecordChange) -> None:
        """Apply the engines that joined."""
        for record in change.changed:
            self.state.apply_upstream(record.value, 'test')


class CheckCase(NamedTuple):
    """A row: how the store treats a call, and what becomes of the check."""

    name: str
    mode: StoreMode
    watches: bool
    confirmed: bool

    # Calls made for ``CHECKS`` checks at the same time.
    calls: int


CHECKS = 50
CHECK_CASES = (
    CheckCase('answers', StoreMode.ANSWERS, True, True, 1),
    CheckCase('refuses', StoreMode.REFUSES, True, False, 1),
    CheckCase('silent', StoreMode.SILENT, True, False, 1),
    CheckCase('member of a hub', StoreMode.ANSWERS, False, False, 0),
)


async def check_store(case: CheckCase) -> tuple[set[bool], int]:
    """Check the store for several requests; return the outcomes and calls."""
    store = StubStore(case.mode)
    duties: Any = SimpleNamespace(
        protocol=SimpleNamespace(store_replica=StubReplica(None)),
        needs_watch=lambda: case.watches,
    )
    outcomes: set[bool] = set()
    stub: Any = store
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        check = StoreCheck(stub, 'servers', duties, timers)
        nursery.start_soon(check.run)

        async def confirm() -> None:
            now = timers.now()
            outcomes.add(await check.confirm(now, CALL_SECONDS / 2))

        async with trio.open_nursery() as requests:
            for _ in range(CHECKS):
                requests.start_soon(confirm)
        nursery.cancel_scope.cancel()
    return outcomes, store.calls


async def check_target_store(*, restored: bool) -> tuple[bool, list[str]]:
    """Check a store in which an engine has joined since it was listed.

    Return whether the check proves something, and the versions known then.
    """
    stand_in = TargetStoreStandIn()
    record = make_upstream_record('i-1', 1).value
    stand_in.put('servers', 'i-1', {**record, 'version': 'old'})
    state = RelayState(make_settings())
    decoders = Decoders(
        decode_configuration, decode_upstream, CONFIGURATION_NAME
    )
    replica = StoreReplica(state, decoders)
    duties: Any = SimpleNamespace(
        protocol=SimpleNamespace(store_replica=replica),
        needs_watch=lambda: True,
    )
    async with (
        open_store(stand_in) as store,
        open_timer_service() as timers,
        trio.open_nursery() as nursery,
    ):
        listed = await store.list_kind('servers')
        replica.apply_upstream_listing(listed.unwrap())
        copied = stand_in.copy()
        stand_in.put('servers', 'i-2', {**record, 'version': 'other'})
        if restored:
            stand_in.restore(copied)
        check = StoreCheck(store, 'servers', duties, timers)
        nursery.start_soon(check.run)
        confirmed = await check.confirm(timers.now(), CALL_SECONDS)
        nursery.cancel_scope.cancel()
    return confirmed, state.stream_versions.known_versions()['s']


class StoreCheckTest(TestCase):
    """The store is read on demand."""

    # A call for each stream that is taken up, and a proof without an answer.
    @params(*((case,) for case in CHECK_CASES))
    def test_one_call_serves_all_that_wait(self, case: CheckCase) -> None:
        clock = MockClock(autojump_threshold=0)
        outcomes, calls = trio.run(check_store, case, clock=clock)
        self.assertEqual(outcomes, {case.confirmed})
        self.assertEqual(calls, case.calls)

    # An engine that joined while the watch was silent and stays unknown.
    def test_check_learns_of_an_engine_that_joined(self) -> None:
        outcome = trio.run(partial(check_target_store, restored=False))
        self.assertEqual(outcome, (True, ['old', 'other']))

    # A proof by a store that was restored and has lost what came later.
    def test_restored_store_proves_nothing_until_it_is_listed(self) -> None:
        outcome = trio.run(partial(check_target_store, restored=True))
        self.assertEqual(outcome, (False, ['old']))
