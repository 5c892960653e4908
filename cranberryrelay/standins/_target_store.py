"""Stand-in for the target platform's store: records by kind and name."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

KINDS_PATH: Final = '/v1/objects/<kind>'
RECORD_PATH: Final = '/v1/objects/<kind>/<name>'

# Most records on a page of a listing.
PAGE_RECORDS: Final = 500
_MILLISECONDS_PER_SECOND: Final = 1000


class StoreChange(NamedTuple):
    """A write or removal of a record."""

    # Revision of the store after the change.
    revision: int

    # Kind of the record.
    kind: str

    # The record as written, or as it was before its removal.
    record: dict[str, Any]

    # True for a removal.
    removed: bool


class TargetStoreFaults(NamedTuple):
    """Faults that the store injects."""

    # Every call fails with status 503.
    outage: bool = False

    # Number of upcoming writes that take effect but fail with status 500.
    lost_answers: int = 0


class StoreCopy(NamedTuple):
    """A copy of the records, from which the store can be restored."""

    # Records by kind and name.
    records: dict[tuple[str, str], dict[str, Any]]

    # Revision of the store when the copy was made.
    revision: int


class TargetStoreStandIn:
    """Records with revisions and a history of changes to watch."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[StoreChange] = []
        self.compacted_revision = 0
        self.revision = 0

        # Incremented each time the store is restored from a copy.
        self.era = 1
        self.faults = TargetStoreFaults()
        self.changed = trio.Event()
        self.page_records = PAGE_RECORDS

        # Called with the kind after each page of a listing has been made.
        self.on_page: Callable[[str], None] = _do_nothing

    def put(self, kind: str, name: str, value: Any) -> dict[str, Any]:
        """Write a record unconditionally."""
        self.revision += 1
        metadata = {'name': name, 'revision': self.revision}
        record = {'metadata': metadata, 'spec': value, 'status': None}
        self.records[(kind, name)] = record
        self.record_change(
            StoreChange(self.revision, kind, record, removed=False)
        )
        return record

    def remove(self, kind: str, name: str) -> None:
        """Remove a record if it exists."""
        record = self.records.pop((kind, name), None)
        if record is not None:
            self.revision += 1
            self.record_change(
                StoreChange(self.revision, kind, record, removed=True)
            )

    def record_change(self, change: StoreChange) -> None:
        """Append a change to the history and wake up the watches."""
        self.history.append(change)
        self.changed.set()
        self.changed = trio.Event()

    def compact_history(self) -> None:
        """Discard all changes so far, as the platform may do."""
        self.compacted_revision = self.revision
        self.history.clear()

    def copy(self) -> StoreCopy:
        """Copy all records."""
        return StoreCopy(dict(self.records), self.revision)

    def restore(self, copied: StoreCopy) -> None:
        """Lose all that was written since the copy, revisions too."""
        self.records = dict(copied.records)
        self.revision = copied.revision
        self.era += 1
        self.compact_history()
        self.changed.set()
        self.changed = trio.Event()

    def find_changes(self, kind: str, after_revision: int) -> list[StoreChange]:
        """Return the changes of a kind after a revision, oldest first."""
        return [
            change
            for change in self.history
            if change.kind == kind and change.revision > after_revision
        ]


class TargetStoreRoutes:
    """HTTP handlers of the store."""

    def __init__(self, store: TargetStoreStandIn) -> None:
        self.store = store

    async def list_or_watch(self, kind: str) -> Response:
        """List the records of a kind, or watch for changes of them."""
        if self.store.faults.outage:
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        after_revision = request.args.get('watch', type=int)
        if after_revision is not None:
            wait_seconds = (
                int(request.args['wait_ms']) / _MILLISECONDS_PER_SECOND
            )
            return await self.watch(kind, after_revision, wait_seconds)
        return self.list_page(kind, request.args.get('after', ''))

    def list_page(self, kind: str, after: str) -> Response:
        """List the records of a kind whose names follow a name."""
        limit = self.store.page_records
        found = [
            record
            for key, record in sorted(self.store.records.items())
            if key[0] == kind and key[1] > after
        ]
        page = {
            'items': found[:limit],
            'truncated': len(found) > limit,
            'store_revision': self.store.revision,
        }
        reply = _reply_json(page)
        self.store.on_page(kind)
        return reply

    async def watch(
        self, kind: str, after_revision: int, wait_seconds: float
    ) -> Response:
        """Wait for changes of a kind after a revision.

        Status 410 if changes after the revision may have been discarded, or
        if the store has not reached it, as after a restore.
        """
        store = self.store
        if not store.compacted_revision <= after_revision <= store.revision:
            return Response('', HTTPStatus.GONE)
        era = store.era
        with trio.move_on_after(wait_seconds):
            while not store.find_changes(kind, after_revision):
                await store.changed.wait()
                if store.era != era:
                    return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        changes = store.find_changes(kind, after_revision)
        events = [
            {'object': change.record, 'removed': change.removed}
            for change in changes
        ]
        revision = changes[-1].revision if changes else after_revision
        return _reply_json({'events': events, 'store_revision': revision})

    async def read(self, kind: str, name: str) -> Response:
        """Read a record; status 404 if it does not exist."""
        if self.store.faults.outage:
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        record = self.store.records.get((kind, name))
        if record is None:
            return Response('', HTTPStatus.NOT_FOUND)
        return _reply_json(record)

    async def create(self, kind: str) -> Response:
        """Create a record; status 409 if it exists."""
        submitted = await _read_json()
        name = submitted['metadata']['name']
        if self.store.faults.outage:
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        existing = self.store.records.get((kind, name))
        if existing:
            return _reply_json(existing, HTTPStatus.CONFLICT)
        return self.reply_to_write(
            self.store.put(kind, name, submitted['spec'])
        )

    async def replace(self, kind: str, name: str) -> Response:
        """Replace a record; status 409 if its revision has changed."""
        submitted = await _read_json()
        if self.store.faults.outage:
            return Response('', HTTPStatus.SERVICE_UNAVAILABLE)
        existing = self.store.records.get((kind, name))
        if existing is None:
            return Response('', HTTPStatus.NOT_FOUND)
        if (
            existing['metadata']['revision']
            != submitted['metadata']['revision']
        ):
            return _reply_json(existing, HTTPStatus.CONFLICT)
        return self.reply_to_write(
            self.store.put(kind, name, submitted['spec'])
        )

    async def add_era(self, response: Response) -> Response:
        """Name the store's era in an answer."""
        response.headers['Store-Era'] = str(self.store.era)
        return response

    def reply_to_write(self, record: dict[str, Any]) -> Response:
        """Reply to a write that took effect; status 500 to lose the answer."""
        remaining = self.store.faults.lost_answers
        if remaining:
            faults = self.store.faults._replace(lost_answers=remaining - 1)
            self.store.faults = faults
            return Response('', HTTPStatus.INTERNAL_SERVER_ERROR)
        return _reply_json(record)


def _do_nothing(_: str) -> None:
    """Do nothing after a page."""


async def _read_json() -> Any:
    body: Any = await request.get_data(as_text=False)
    return msgspec.json.decode(body)


def _reply_json(document: Any, status: int = HTTPStatus.OK) -> Response:
    body = msgspec.json.encode(document)
    return Response(body, status, content_type='application/json')


def make_target_store_app(store: TargetStoreStandIn) -> QuartTrio:
    """Make the HTTP app of a store."""
    app = QuartTrio('cranberryrelay.standins.target_store')
    routes = TargetStoreRoutes(store)
    app.after_request(routes.add_era)
    app.get(KINDS_PATH)(routes.list_or_watch)
    app.post(KINDS_PATH)(routes.create)
    app.get(RECORD_PATH)(routes.read)
    app.put(RECORD_PATH)(routes.replace)
    return app
