"""Archives each release note that was in force, by revision.

The platform stores only the newest note, while the account refers to notes by
revision, so the content of each note is archived in a record of its own.  The
two live instances with the first names write these records, the second one
after a delay in case the first one ends.
"""

import logging
from typing import Any, Final, NamedTuple

from result import Err, Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.timing import TimerService

ARCHIVE_KIND: Final = 'relay-notes'
POLL_SECONDS: Final = 0.5

# Delay of the second instance after the first.
BACKUP_DELAY_SECONDS: Final = 3.0
WRITER_COUNT: Final = 2

# Notes kept for writing while the store is unavailable; beyond this limit the
# oldest is dropped.
PENDING_LIMIT: Final = 64
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class PendingNote(NamedTuple):
    """A note that came into force and is not known to be archived."""

    # Value of the note's record in the store, as plain JSON types.
    value: Any

    # Local clock time at which this instance first found the note in force,
    # in seconds.
    since: float


class NoteArchive:
    """Writes the notes that came into force to the store."""

    def __init__(
        self, store: RecordStore, duties: Duties, timers: TimerService
    ) -> None:
        self.store = store
        self.peers = duties.protocol
        self.duties = duties
        self.timers = timers
        self.pending: dict[int, PendingNote] = {}
        self.latest_revision = -1

    async def run(self) -> None:
        """Write due notes periodically until cancelled."""
        async for now in self.timers.subscribe(POLL_SECONDS):
            self.add_current_note(now)
            for revision in self.find_due_revisions(now):
                await self.write(revision)

    def add_current_note(self, now: float) -> None:
        """Add the note in force to the pending notes if it is new."""
        table = self.peers.state.table
        if table is None or table.revision <= self.latest_revision:
            return
        self.latest_revision = table.revision
        value = self.peers.store_replica.note_value
        self.pending[table.revision] = PendingNote(value, now)
        if len(self.pending) > PENDING_LIMIT:
            dropped = min(self.pending)
            self.pending.pop(dropped)
            _LOG.error('note not archived', extra={'revision': dropped})

    def find_due_revisions(self, now: float) -> list[int]:
        """Return the pending revisions that this instance must write now.

        Pending notes are discarded if other instances write them.
        """
        position = self.duties.standby_index()
        if position >= WRITER_COUNT:
            self.pending.clear()
            return []
        due_before = now - position * BACKUP_DELAY_SECONDS
        return [
            revision
            for revision, note in self.pending.items()
            if note.since <= due_before
        ]

    async def write(self, revision: int) -> None:
        """Write one note; it stays pending if the store did not accept it."""
        value = self.pending[revision].value
        created = await self.store.create(ARCHIVE_KIND, str(revision), value)
        if isinstance(created, Err):
            failure = created.unwrap_err()
            if failure.code is not ResultCode.STORE_CONFLICT:
                return
        self.pending.pop(revision, None)


async def read_archived_note(
    store: RecordStore, revision: int
) -> Result[Any, Failure]:
    """Return the note of a revision; ``STORE_NOT_FOUND`` if not archived."""
    found = await store.read(ARCHIVE_KIND, str(revision))
    return found.map(lambda record: record.value)
