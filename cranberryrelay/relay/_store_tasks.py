"""Starts the tasks that keep in the store what must outlive the instances."""

import trio

from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._note_archive import NoteArchive
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.relay._store_check import StoreCheck
from cranberryrelay.relay._stream_records import StreamRecorder


def start_store_tasks(
    nursery: trio.Nursery,
    store: RecordStore,
    upstream_kind: str,
    duties: Duties,
) -> None:
    """Start the archive, the records of streams, and checks on demand."""
    peers = duties.protocol
    check = StoreCheck(store, upstream_kind, duties, peers.timers)
    peers.stream_inquiry.store = check
    nursery.start_soon(check.run)
    nursery.start_soon(NoteArchive(store, duties, peers.timers).run)
    nursery.start_soon(StreamRecorder(store, duties, peers.timers).run)
