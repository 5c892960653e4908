"""Tests that writes to the store are retried on timeouts and conflicts."""

from pathlib import Path
from typing import Any, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from result import Err, Ok, Result
from trio.testing import MockClock

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay import KindRecord, StorePosition
from cranberryrelay.soak._layout import Layout
from cranberryrelay.soak._site import Site
from cranberryrelay.timing import open_timer_service

RECORD = KindRecord('main', StorePosition(1, 4), 'old')
OUTCOME_UNKNOWN = fail(ResultCode.STORE_OUTCOME_UNKNOWN, 'test')
CONFLICT = fail(ResultCode.STORE_CONFLICT, 'test')
NOT_FOUND = fail(ResultCode.STORE_NOT_FOUND, 'test')


class ScriptedStore:
    """A store that returns scripted results and records the calls."""

    def __init__(self, script: tuple[Any, ...]) -> None:
        self.script = list(script)
        self.calls: list[str] = []

    async def read(self, kind: str, name: str) -> Result[Any, Failure]:
        return self.answer('read')

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Result[Any, Failure]:
        return self.answer(f'create {value}')

    async def replace(
        self, kind: str, record: KindRecord
    ) -> Result[Any, Failure]:
        return self.answer(f'replace {record.position.revision} {record.value}')

    def answer(self, call: str) -> Result[Any, Failure]:
        """Record a call and return the next result of the script."""
        self.calls.append(call)
        found = self.script.pop(0)
        return Err(found) if isinstance(found, Failure) else Ok(found)


class Case(NamedTuple):
    """Results of the store, and the calls that they lead to."""

    name: str
    script: tuple[Any, ...]
    calls: tuple[str, ...]


CREATED = ('read', 'create new')
REPLACED = ('read', 'replace 4 new')
CASES = (
    Case('first write', (NOT_FOUND, RECORD), CREATED),
    Case('later write', (RECORD, RECORD), REPLACED),
    Case(
        'read timed out',
        (OUTCOME_UNKNOWN, RECORD, RECORD),
        ('read', *REPLACED),
    ),
    Case(
        'write timed out',
        (NOT_FOUND, OUTCOME_UNKNOWN, RECORD, RECORD),
        (*CREATED, *REPLACED),
    ),
    Case(
        'conflicting write',
        (RECORD, CONFLICT, RECORD, RECORD),
        (*REPLACED, *REPLACED),
    ),
)


class SiteTest(TestCase):
    """Writes are retried until the store acknowledges them."""

    @params(*((case,) for case in CASES))
    def test_put(self, case: Case) -> None:
        store: Any = ScriptedStore(case.script)
        trio.run(put, store, clock=MockClock(autojump_threshold=0))
        self.assertEqual(tuple(store.calls), case.calls)


async def put(store: Any) -> None:
    """Write one record."""
    layout = Layout(Path(), 0, 0, (), ())
    async with open_timer_service() as timers:
        await Site(layout, timers, store).put('kind', 'main', 'new')
