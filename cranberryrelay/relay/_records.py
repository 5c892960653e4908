"""Interface to the platform's store, and the records that it returns."""

from typing import Any, NamedTuple, Protocol

from result import Result

from cranberryrelay.codes import Failure


class KindRecord(NamedTuple):
    """A record in the store, with the revision of its last change."""

    # Name, unique within the kind.
    name: str

    # Store revision of the record's last change.
    revision: int

    # The value, as plain JSON types.
    value: Any


class KindListing(NamedTuple):
    """A snapshot of all records of a kind."""

    # The records of the kind.
    records: tuple[KindRecord, ...]

    # Store revision at which the snapshot was taken.
    revision: int


class RecordChange(NamedTuple):
    """Changes of the records of a kind between two store revisions."""

    # Records that were created or replaced.
    changed: tuple[KindRecord, ...]

    # Names of records that were removed.
    removed: tuple[str, ...]

    # Store revision up to which the changes are complete.
    revision: int


class RecordStore(Protocol):
    """Calls to the platform's store.

    Errors of every call: ``STORE_UNAVAILABLE`` if the call had no effect,
    ``STORE_OUTCOME_UNKNOWN`` if no answer was received.
    """

    async def list_kind(self, kind: str) -> Result[KindListing, Failure]:
        """List all records of a kind."""

    async def watch_kind(
        self, kind: str, after_revision: int, wait_seconds: float
    ) -> Result[RecordChange, Failure]:
        """Wait up to ``wait_seconds`` for changes after a store revision.

        Errors: ``STORE_HISTORY_GONE`` if the kind must be listed again.
        """

    async def read(self, kind: str, name: str) -> Result[KindRecord, Failure]:
        """Read one record; ``STORE_NOT_FOUND`` if it does not exist."""

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Result[KindRecord, Failure]:
        """Create a record; ``STORE_CONFLICT`` if the name exists already."""

    async def replace(
        self, kind: str, record: KindRecord
    ) -> Result[KindRecord, Failure]:
        """Replace a record if its revision in the store is unchanged.

        Errors: ``STORE_CONFLICT`` if it changed, ``STORE_NOT_FOUND``.
        """

    async def remove(self, kind: str, name: str) -> Result[None, Failure]:
        """Remove a record."""
