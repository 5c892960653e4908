"""Writes of the soak's operator while the store is slow or others write."""

from pathlib import Path
from typing import Any, NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params
from result import Err, Ok, Result
from trio.testing import MockClock

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay import KindRecord
from cranberryrelay.soak._layout import Layout
from cranberryrelay.soak._site import Site
from cranberryrelay.timing import open_timer_service

RECORD = KindRecord('main', 4, 'old')
SLOW = fail(ResultCode.STORE_OUTCOME_UNKNOWN, 'test')
TAKEN = fail(ResultCode.STORE_CONFLICT, 'test')
NONE = fail(ResultCode.STORE_NOT_FOUND, 'test')


class ScriptedStore:
    """A store that answers by a script."""

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
        return self.answer(f'replace {record.revision} {record.value}')

    def answer(self, call: str) -> Result[Any, Failure]:
        """Return the next answer of the script."""
        self.calls.append(call)
        found = self.script.pop(0)
        return Err(found) if isinstance(found, Failure) else Ok(found)


class Case(NamedTuple):
    """A row: answers of the store, and the calls that they lead to."""

    name: str
    script: tuple[Any, ...]
    calls: tuple[str, ...]


CREATED = ('read', 'create new')
REPLACED = ('read', 'replace 4 new')
CASES = (
    Case('first write', (NONE, RECORD), CREATED),
    Case('later write', (RECORD, RECORD), REPLACED),
    Case('read not answered', (SLOW, RECORD, RECORD), ('read', *REPLACED)),
    Case(
        'write not answered',
        (NONE, SLOW, RECORD, RECORD),
        (*CREATED, *REPLACED),
    ),
    Case(
        'another wrote meanwhile',
        (RECORD, TAKEN, RECORD, RECORD),
        (*REPLACED, *REPLACED),
    ),
)


class SiteTest(TestCase):
    """Writes are made again until the store has acknowledged them."""

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
