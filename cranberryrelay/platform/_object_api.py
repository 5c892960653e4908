"""Interface of the platform's object API, and the types that it uses."""

from typing import Annotated, Final, NamedTuple, Protocol

import msgspec
from result import Result

from cranberryrelay.codes import Failure
from cranberryrelay.wire import INTEGER_MAX

ENTRY_SORT: Final = 'entry'
VALUE_BYTES_LIMIT: Final = 1_000_000


class StoredObject(NamedTuple):
    """An object in the platform's store."""

    # Slash-separated key.
    key: str

    # Version of the object: 1 when created, higher after each write.
    version: Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]

    # Value of the object, at most ``VALUE_BYTES_LIMIT`` bytes.
    body: bytes


class ListedInstance(NamedTuple):
    """An item of the platform's instance list, which may be out of date."""

    # Name of the instance; at most one incarnation runs at a time.
    instance: str

    # Failure domain of the instance.
    domain: str

    # 'IP:port' of the instance's steward.
    address: str

    # True once the platform has decided to stop the instance.
    leaving: bool = False

    # 'entry' for instances of this project, else 'engine' or 'service'.
    sort: str = ENTRY_SORT


class ObjectApi(Protocol):
    """Calls of the object API; each call counts against its rate limits.

    Errors of every call: ``STORE_UNAVAILABLE`` if the call was not executed,
    ``STORE_OUTCOME_UNKNOWN`` if no valid answer came, so it may have been.
    """

    async def read(self, key: str) -> Result[StoredObject, Failure]:
        """Read the latest version of an object, never a cached one.

        Errors: ``STORE_NOT_FOUND``.
        """

    async def write(
        self, key: str, body: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """Write an object if its version matches; version 0 creates it.

        Returns the new version.  Errors: ``STORE_CONFLICT``.
        """

    async def list_objects(
        self, prefix: str
    ) -> Result[list[StoredObject], Failure]:
        """List the objects with a key prefix, in the order of their keys."""

    async def watch(
        self, key: str, after_version: int, wait_seconds: float
    ) -> Result[StoredObject, Failure]:
        """Wait for a version above ``after_version``; may return late.

        Errors: ``STORE_NOT_FOUND`` if nothing changed in ``wait_seconds``.
        """

    async def list_instances(self) -> Result[list[ListedInstance], Failure]:
        """List live and leaving instances; the list may be out of date."""
