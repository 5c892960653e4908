"""Changes of the store between two pages of a listing.

Guards against an instance that takes a listing for complete up to its last
page, and misses what changed on the pages that it had read before.
"""

from collections.abc import Callable
from typing import NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params

from cranberryrelay.relay.tests.test_restored_store import (
    put_engine,
    read_fleet,
)
from cranberryrelay.relay.tests.test_store_replica import make_replica
from cranberryrelay.relay.tests.test_stream_records import open_store
from cranberryrelay.standins import TargetStoreStandIn

KIND = 'servers'

# Two pages.
NAMES = ('i-1', 'i-3', 'i-5', 'i-7')
FIRST_PAGE = 'i-1'
LAST_PAGE = 'i-7'


class Case(NamedTuple):
    """A row: what changes after the first page."""

    name: str

    # Changes the store.
    change: Callable[[TargetStoreStandIn], None]


def drain(name: str) -> Callable[[TargetStoreStandIn], None]:
    """Return a change: an engine begins to leave."""
    return lambda store: put_engine(store, name, 'draining', 2)


def remove(name: str) -> Callable[[TargetStoreStandIn], None]:
    """Return a change: an engine has left."""
    return lambda store: store.remove(KIND, name)


def add(name: str) -> Callable[[TargetStoreStandIn], None]:
    """Return a change: an engine starts."""
    return lambda store: put_engine(store, name)


def replace(name: str) -> Callable[[TargetStoreStandIn], None]:
    """Return a change: an engine leaves and starts again."""

    def change(store: TargetStoreStandIn) -> None:
        store.remove(KIND, name)
        put_engine(store, name)

    return change


CASES = tuple(
    Case(f'{change.__name__} {name}', change(name))
    for change, names in (
        (drain, (FIRST_PAGE, LAST_PAGE)),
        (remove, (FIRST_PAGE, LAST_PAGE)),
        (replace, (FIRST_PAGE, LAST_PAGE)),
        (add, ('i-0', 'i-2', 'i-9')),
    )
    for name in names
)


async def list_then_watch(
    case: Case, listings: int
) -> tuple[dict[str, bool], dict[str, bool]]:
    """Return the engines that an instance knows, and those of the store.

    They change during the last of the listings.
    """
    replica = make_replica()
    stand_in = TargetStoreStandIn()
    stand_in.page_records = len(NAMES) // 2
    for name in NAMES:
        put_engine(stand_in, name)
    pending = [case.change]

    def change_once(_: str) -> None:
        if pending:
            pending.pop()(stand_in)

    async with open_store(stand_in) as store:
        for remaining in reversed(range(listings)):
            if not remaining:
                stand_in.on_page = change_once
            listed = await store.list_kind(KIND)
            replica.apply_upstream_listing(listed.unwrap())
        after = replica.upstream_position
        watched = await store.watch_kind(KIND, after, 0)
        replica.apply_upstream_changes(watched.unwrap())
    stored = {
        name: record['spec']['state'] == 'draining'
        for (_, name), record in stand_in.records.items()
    }
    return read_fleet(replica), stored


class ListingPageTest(TestCase):
    """The watch that follows a listing brings what the pages lack."""

    # Requests were sent for as long as it ran to an upstream that began to
    # leave between two pages.
    @params(*((case, listings) for case in CASES for listings in (1, 2)))
    def test_changes_between_pages_are_known(
        self, case: Case, listings: int
    ) -> None:
        known, stored = trio.run(list_then_watch, case, listings)
        self.assertEqual(known, stored)
