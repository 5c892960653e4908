"""Archives each release note that was in force, by revision.

The platform stores only the newest note, while the account refers to notes by
revision, so the content of each note is archived in a record of its own.  The
two live instances with the first names write these records, the second one
after a delay in case the first one ends.

A store that is restored from an older copy may lose archived notes, so every
instance retains the latest ones, and they are written again in each later era.
"""

import logging
from typing import Any, Final, NamedTuple

import msgspec
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

# Limits of the retained notes; beyond them the oldest is dropped.
RETAINED_NOTES: Final = 64
RETAINED_BYTES: Final = 16_777_216

# Era of a note that is not known to be archived.
NOT_ARCHIVED: Final = -2
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class RetainedNote(NamedTuple):
    """A note that came into force."""

    # Value of the note's record in the store, as JSON.
    content: bytes

    # Local clock time at which this instance first found the note in force,
    # in seconds.
    since: float

    # Latest era of the store in which it is archived, as far as this instance
    # knows or leaves that to others.
    era: int = NOT_ARCHIVED


class NoteArchive:
    """Writes the notes that came into force to the store."""

    def __init__(
        self, store: RecordStore, duties: Duties, timers: TimerService
    ) -> None:
        self.store = store
        self.peers = duties.protocol
        self.duties = duties
        self.timers = timers
        self.retained: dict[int, RetainedNote] = {}
        self.latest_revision = -1
        self.era = NOT_ARCHIVED
        self.era_since = float('-inf')

    async def run(self) -> None:
        """Write due notes periodically until cancelled."""
        async for now in self.timers.subscribe(POLL_SECONDS):
            self.update_era(now)
            self.add_current_note(now)
            for revision in self.find_due_revisions(now):
                await self.write(revision)

    def update_era(self, now: float) -> None:
        """Note a later era of the store and since when it is known."""
        era = self.peers.store_replica.known_era()
        if era > self.era:
            self.era = era
            self.era_since = now

    def add_current_note(self, now: float) -> None:
        """Retain the note in force if it is new."""
        table = self.peers.state.table
        if table is None or table.revision <= self.latest_revision:
            return
        self.latest_revision = table.revision
        content = msgspec.json.encode(self.peers.store_replica.note_value)
        self.retained[table.revision] = RetainedNote(content, now)
        while len(self.retained) > 1 and self.exceeds_limits():
            dropped = min(self.retained)
            if self.retained.pop(dropped).era < self.era:
                _LOG.error('note not archived', extra={'revision': dropped})

    def exceeds_limits(self) -> bool:
        """Return whether more notes are retained than the limits allow."""
        total = sum(len(note.content) for note in self.retained.values())
        return len(self.retained) > RETAINED_NOTES or total > RETAINED_BYTES

    def find_due_revisions(self, now: float) -> list[int]:
        """Return the revisions that this instance must write now.

        Notes that other instances write count as archived.
        """
        outdated = {
            revision: note
            for revision, note in self.retained.items()
            if note.era < self.era
        }
        position = self.duties.standby_index()
        if position >= WRITER_COUNT:
            for revision, note in outdated.items():
                self.retained[revision] = note._replace(era=self.era)
            return []
        due_before = now - position * BACKUP_DELAY_SECONDS
        return [
            revision
            for revision, note in outdated.items()
            if max(note.since, self.era_since) <= due_before
        ]

    async def write(self, revision: int) -> None:
        """Write one note; it is due again if the store did not accept it."""
        note = self.retained[revision]
        era = self.era
        value = msgspec.json.decode(note.content)
        created = await self.store.create(ARCHIVE_KIND, str(revision), value)
        if isinstance(created, Err):
            failure = created.unwrap_err()
            if failure.code is not ResultCode.STORE_CONFLICT:
                return
        self.retained[revision] = note._replace(era=era)


async def read_archived_note(
    store: RecordStore, revision: int
) -> Result[Any, Failure]:
    """Return the note of a revision; ``STORE_NOT_FOUND`` if not archived."""
    found = await store.read(ARCHIVE_KIND, str(revision))
    return found.map(lambda record: record.value)
