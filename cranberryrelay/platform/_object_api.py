"""What the system relies on from the platform's object API."""

from typing import Final, NamedTuple, Protocol

from result import Result

from cranberryrelay.codes import Failure

ENTRY_SORT: Final = 'entry'
VALUE_BYTES_LIMIT: Final = 1_000_000


class StoredObject(NamedTuple):
    """An object as the platform keeps it."""

    # Slash-separated key.
    key: str

    # Rises with each write of the object, from 1.
    version: int

    # The value, up to a megabyte.
    body: bytes


class ListedInstance(NamedTuple):
    """An entry of the platform's lagging list of instances."""

    # Name of the instance; one incarnation of it lives at a time.
    instance: str

    # Failure domain that the instance is in.
    domain: str

    # Address of the instance's steward, 'IP:port'.
    address: str

    # True once the platform means to stop it.
    leaving: bool = False

    # 'entry' for the system's own instances, else 'engine' or 'service'.
    sort: str = ENTRY_SORT


class ObjectApi(Protocol):
    """Calls of the object API; each of them counts against its rates.

    Errors of every call: ``STORE_UNAVAILABLE`` when the call was not taken,
    ``STORE_OUTCOME_UNKNOWN`` when no answer came.
    """

    async def read(self, key: str) -> Result[StoredObject, Failure]:
        """Read the latest version, never a cached one.

        Errors: ``STORE_NOT_FOUND``.
        """

    async def write(
        self, key: str, body: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """Write if the object still has the expected version; 0 creates.

        Returns the new version.  Errors: ``STORE_CONFLICT``.
        """

    async def list_objects(
        self, prefix: str
    ) -> Result[list[StoredObject], Failure]:
        """List the objects below a prefix in the order of their keys."""

    async def watch(
        self, key: str, after_version: int, wait_seconds: float
    ) -> Result[StoredObject, Failure]:
        """Wait for a version above ``after_version``; it may lag.

        Errors: ``STORE_NOT_FOUND`` when nothing changed in time.
        """

    async def list_instances(self) -> Result[list[ListedInstance], Failure]:
        """Read the lagging list of live and leaving instances."""
