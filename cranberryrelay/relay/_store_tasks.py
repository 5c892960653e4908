"""Tasks that keep in the store what must outlive the instances."""

from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._note_archive import NoteArchive
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.relay._store_check import StoreCheck
from cranberryrelay.relay._stream_records import StreamRecorder
from cranberryrelay.relay._supervision import SupervisedTask
from cranberryrelay.relay.peers import StaleRegistrations


def make_store_tasks(
    store: RecordStore, upstream_kind: str, duties: Duties
) -> list[SupervisedTask]:
    """Make the archive, the records of streams, and checks on demand."""
    peers = duties.protocol
    check = StoreCheck(store, upstream_kind, duties, peers.timers)
    peers.stream_inquiry.store = check
    archive = NoteArchive(store, duties, peers.timers)
    recorder = StreamRecorder(store, duties, peers.timers)
    stale = StaleRegistrations(store, duties, peers.timers)
    return [
        SupervisedTask('store check', check.run),
        SupervisedTask('notes', archive.run),
        SupervisedTask('streams', recorder.run),
        SupervisedTask('stale registrations', stale.run),
    ]
