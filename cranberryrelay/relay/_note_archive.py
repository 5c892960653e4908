"""Keeps each release note that was in force, under its revision.

The platform holds the newest note only, and the account names revisions, so
their content is kept in records of their own.  The two living instances with
the first names write them, the second a little later in case the first ends.
"""

import logging
from typing import Any, Final, NamedTuple

from result import Err, Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.timing import TimerService

ARCHIVE_KIND: Final = 'relay-notes'
LOOK_SECONDS: Final = 0.5

# The second instance writes this much later, in seconds.
SECOND_SECONDS: Final = 3.0
WRITERS: Final = 2

# Notes that wait while the store is away; the oldest are given up.
WAITING_LIMIT: Final = 64
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class WaitingNote(NamedTuple):
    """A note that came into force and is not known to be kept."""

    # The note as the store held it, as plain JSON types.
    value: Any

    # When it came into force here, on the own clock.
    since: float


class NoteArchive:
    """Writes notes that came into force."""

    def __init__(
        self, store: RecordStore, duties: Duties, timers: TimerService
    ) -> None:
        self.store = store
        self.talk = duties.talk
        self.duties = duties
        self.timers = timers
        self.waiting: dict[int, WaitingNote] = {}
        self.seen = -1

    async def keep(self) -> None:
        """Write notes for ever."""
        async for now in self.timers.subscribe(LOOK_SECONDS):
            self.take_note(now)
            for revision in self.find_due(now):
                await self.write(revision)

    def take_note(self, now: float) -> None:
        """Take the note in force if it is new."""
        table = self.talk.state.table
        if table is None or table.revision <= self.seen:
            return
        self.seen = table.revision
        value = self.talk.knowledge.note_value
        self.waiting[table.revision] = WaitingNote(value, now)
        if len(self.waiting) > WAITING_LIMIT:
            given_up = min(self.waiting)
            self.waiting.pop(given_up)
            _LOG.error('note not archived', extra={'revision': given_up})

    def find_due(self, now: float) -> list[int]:
        """Return the revisions to write now; forget those that others write."""
        place = self.duties.place()
        if place >= WRITERS:
            self.waiting.clear()
            return []
        latest = now - place * SECOND_SECONDS
        return [
            revision
            for revision, note in self.waiting.items()
            if note.since <= latest
        ]

    async def write(self, revision: int) -> None:
        """Write one note; it waits on if the store did not take it."""
        value = self.waiting[revision].value
        created = await self.store.create(ARCHIVE_KIND, str(revision), value)
        if isinstance(created, Err):
            failure = created.unwrap_err()
            if failure.code is not ResultCode.STORE_CONFLICT:
                return
        self.waiting.pop(revision, None)


async def read_archived(
    store: RecordStore, revision: int
) -> Result[Any, Failure]:
    """Return the note of a revision; ``STORE_NOT_FOUND`` if it is not kept."""
    found = await store.read(ARCHIVE_KIND, str(revision))
    return found.map(lambda record: record.value)
