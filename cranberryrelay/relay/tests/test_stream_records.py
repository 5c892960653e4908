"""Streams that callers take up after all instances were killed at once.

Guards against joining events of two software versions because the instances
that knew which one began a stream are gone, and against refusing streams that
could go on.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import TargetStore
from cranberryrelay.relay import Role
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._stream_records import (
    STREAMS_KIND,
    WRITE_SECONDS,
    StreamRecorder,
    StreamRecordFields,
    decode_record,
)
from cranberryrelay.relay.tests.fixtures import make_settings
from cranberryrelay.relay.tests.test_model_path import EVENTS, Engines
from cranberryrelay.relay.tests.test_software_versions import (
    Attempt,
    make_engine,
    make_state,
    run_attempt,
)
from cranberryrelay.standins import TargetStoreStandIn, make_target_store_app
from cranberryrelay.timing import open_timer_service

OLD = ('d1', 'old')
OTHER = ('d2', 'other')

# The stream 'at-old' has begun at the one version, 'at-other' at the other.
AT_OLD = 'at-old'
AT_OTHER = 'at-other'
RUN_SECONDS = 4 * WRITE_SECONDS
UNKNOWN = ResultCode.STREAM_VERSION_UNKNOWN


class Case(NamedTuple):
    """A row: decode engines before and after, and what becomes of a stream."""

    name: str
    before: tuple[tuple[str, str], ...]
    after: tuple[tuple[str, str], ...]
    stream_id: str
    code: ResultCode | None


CASES = (
    Case('begun at the other', (OLD, OTHER), (OLD, OTHER), AT_OTHER, None),
    Case('begun at the old', (OLD, OTHER), (OLD, OTHER), AT_OLD, None),
    Case('its version stays', (OLD, OTHER), (OTHER,), AT_OTHER, None),
    Case(
        'its version has left',
        (OLD, OTHER),
        (OTHER,),
        AT_OLD,
        ResultCode.NO_ENGINE,
    ),
    Case('never recorded', (OLD, OTHER), (OTHER,), 'r0', UNKNOWN),
    Case('one version all the time', (OLD,), (OLD,), 'r0', None),
    Case('replaced meanwhile', (OLD,), (OTHER,), 'r0', UNKNOWN),
    Case('first start', (), (OLD,), 'r0', None),
)


@asynccontextmanager
async def open_store(
    stand_in: TargetStoreStandIn | None = None,
) -> AsyncIterator[TargetStore]:
    """Open a store stand-in."""
    app: Any = make_target_store_app(stand_in or TargetStoreStandIn())
    transport = httpx.ASGITransport(app)
    async with httpx.AsyncClient(
        transport=transport, base_url='http://s'
    ) as http:
        yield TargetStore(http)


def start_instance(*engines: tuple[str, str]) -> RelayState:
    """Start an instance; the prefill engine has the first one's version."""
    state = make_state(*engines)
    version = engines[0][1]
    state.apply_upstream(make_engine('p1', version, Role.PREFILL), 'test')
    state.stream_versions.begin()
    return state


def first_era() -> int:
    """Return the era of a store that was never restored."""
    return 1


def be_first() -> int:
    """Return the index of the instance that does fleet-wide tasks."""
    return 0


async def run_recorder(
    store: TargetStore,
    state: RelayState,
    read_era: Callable[[], int] = first_era,
) -> None:
    """Run the recorder of an instance for a while, then kill it."""
    replica = SimpleNamespace(known_era=read_era)
    protocol = SimpleNamespace(state=state, store_replica=replica)
    duties: Any = SimpleNamespace(protocol=protocol, standby_index=be_first)
    async with open_timer_service() as timers:
        with trio.move_on_after(RUN_SECONDS):
            await StreamRecorder(store, duties, timers).run()


async def take_up(case: Case) -> tuple[int, ResultCode | None]:
    """Kill the instances of a row; take a stream up at a new one."""
    async with open_store() as store:
        before = RelayState(make_settings())
        versions = before.stream_versions
        now = trio.current_time()
        engines = [make_engine(*engine) for engine in case.before]
        versions.observe(engines, now)
        versions.record_begun(AT_OLD, make_engine(*OLD), now)
        versions.record_begun(AT_OTHER, make_engine(*OTHER), now)
        await run_recorder(store, before)
        state = start_instance(*case.after)
        await run_recorder(store, state)
        outcome = await run_attempt(
            state, Engines(''), Attempt(case.stream_id, 2)
        )
        failure = outcome.failure
        return outcome.last_event, failure.code if failure else None


async def take_up_before_loading() -> ResultCode | None:
    """Take a stream up at an instance that has learned nothing yet."""
    state = start_instance(OTHER)
    outcome = await run_attempt(state, Engines(''), Attempt('r0', 2))
    return outcome.failure.code if outcome.failure else None


async def restore_store(*, recorded_before: bool) -> StreamRecordFields | None:
    """Restore the store from a copy; return the record some time later."""
    stand_in = TargetStoreStandIn()
    state = start_instance(OLD, OTHER)
    upstreams = state.fleet.upstreams.values()
    state.stream_versions.observe(upstreams, trio.current_time())
    async with open_store(stand_in) as store, trio.open_nursery() as nursery:
        copied = stand_in.copy()
        if recorded_before:
            fields = StreamRecordFields(versions=['old'], streams={})
            await store.create(STREAMS_KIND, 's', fields)
            copied = stand_in.copy()
        nursery.start_soon(run_recorder, store, state, lambda: stand_in.era)
        await trio.sleep(RUN_SECONDS / 2)
        stand_in.restore(copied)
        await trio.sleep(RUN_SECONDS / 2)
        found = await store.read(STREAMS_KIND, 's')
        return decode_record(found.unwrap()) if found.is_ok() else None


async def load_invalid_record() -> bool:
    """Return whether an instance learns from the records that are valid."""
    async with open_store() as store:
        for name, streams in (('s', {'old': 'no base64'}), ('t', 7)):
            value = {'versions': ['old'], 'streams': streams}
            await store.create(STREAMS_KIND, name, value)
        state = start_instance(OLD)
        await run_recorder(store, state)
        return state.stream_versions.informed


class StreamRecordTest(TestCase):
    """The store knows what the instances knew."""

    @params(*((case,) for case in CASES))
    def test_stream_goes_on_at_its_version_or_not_at_all(
        self, case: Case
    ) -> None:
        last_event, code = trio.run(take_up, case)
        self.assertEqual(code, case.code)
        self.assertEqual(last_event, 0 if case.code else len(EVENTS))

    # Guards against taking the only version that is seen for the only one that
    # served, by an instance that has just started.
    def test_stream_is_unknown_until_versions_are_known(self) -> None:
        self.assertEqual(trio.run(take_up_before_loading), UNKNOWN)

    # Guards against a restored store that lacks a version or the whole record.
    @params(False, True)
    def test_record_is_written_again_after_a_restore(
        self, recorded_before: bool
    ) -> None:
        fields = trio.run(
            partial(restore_store, recorded_before=recorded_before)
        )
        assert fields is not None
        self.assertEqual(fields['versions'], ['old', 'other'])

    # Guards against instances that never serve resumed streams again because
    # of a record that cannot be read.
    def test_invalid_record_is_skipped(self) -> None:
        self.assertTrue(trio.run(load_invalid_record))
