"""Changes of the store that an instance reads in one answer.

An instance whose watch was cut off, or that batches changes, reads several
changes of an upstream at once. Guards against an upstream that stays unknown
although it has come back.
"""

from typing import NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params

from cranberryrelay.relay.tests.test_store_replica import (
    make_replica,
    make_upstream_record,
)
from cranberryrelay.relay.tests.test_stream_records import open_store
from cranberryrelay.standins import TargetStoreStandIn

KIND = 'servers'
NAME = 'i-1'
VALUE = make_upstream_record(NAME, 1).value


class Case(NamedTuple):
    """A row: what happens to the record between two answers."""

    name: str

    # Whether the record exists after each change.
    changes: tuple[bool, ...]


CASES = (
    Case('removed', (False,)),
    Case('removed and back', (False, True)),
    Case('removed, back and changed', (False, True, True)),
    Case('removed, back and removed', (False, True, False)),
    Case('changed and removed', (True, False)),
)


async def read_changes(case: Case) -> set[str]:
    """Return the upstreams that are known after the changes."""
    stand_in = TargetStoreStandIn()
    stand_in.put(KIND, NAME, VALUE)
    replica = make_replica()
    async with open_store(stand_in) as store:
        listed = await store.list_kind(KIND)
        replica.apply_upstream_listing(listed.unwrap())
        for slots, exists in enumerate(case.changes, start=1):
            if exists:
                stand_in.put(KIND, NAME, {**VALUE, 'slots': slots})
            else:
                stand_in.remove(KIND, NAME)
        after = replica.upstream_position
        watched = await store.watch_kind(KIND, after, 0)
        replica.apply_upstream_changes(watched.unwrap())
    return set(replica.state.fleet.upstreams)


class MissedChangesTest(TestCase):
    """Several changes of one record arrive together."""

    # A sound upstream that gets no requests until its entry changes again.
    @params(*((case,) for case in CASES))
    def test_last_change_counts(self, case: Case) -> None:
        known = trio.run(read_changes, case)
        self.assertEqual(known, {NAME} if case.changes[-1] else set())
