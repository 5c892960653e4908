"""In-memory stand-in for the platform's object API, with fault injection."""

from collections.abc import Mapping
from typing import NamedTuple

import trio
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.platform import (
    VALUE_BYTES_LIMIT,
    ListedInstance,
    StoredObject,
)


class StoreFaults(NamedTuple):
    """Faults that the store injects."""

    # Every call fails with ``STORE_UNAVAILABLE``.
    outage: bool = False

    # Delay of every call, in seconds.
    slow_seconds: float = 0

    # Number of upcoming writes that take effect but get no answer.
    lost_answers: int = 0

    # Watches return the version before the latest.
    stale_watch: bool = False

    # Watches never report a change.
    watch_gap: bool = False


class StoreStandIn:
    """Versioned objects with conditional updates, lists and watches.

    Methods that end in ``_now`` ignore the injected delay, so that a caller
    with a simulated clock can use them without trio.
    """

    def __init__(self, instances: tuple[ListedInstance, ...] = ()) -> None:
        self.versions_by_key: dict[str, list[StoredObject]] = {}
        self.instances = {listed.instance: listed for listed in instances}
        self.faults = StoreFaults()
        self.changed = trio.Event()
        self.reads = 0
        self.writes = 0

    def switch_faults(self, switches: Mapping[str, object]) -> None:
        """Set the named fault switches; the others keep their values."""
        self.faults = self.faults._replace(**switches)  # type: ignore[arg-type]

    def peek(self, key: str) -> StoredObject | None:
        """Return the latest version of an object without counting a call."""
        versions = self.versions_by_key.get(key)
        return versions[-1] if versions else None

    def read_now(self, key: str) -> Result[StoredObject, Failure]:
        """Read the latest version of an object without the injected delay."""
        self.reads += 1
        if self.faults.outage:
            return Err(_outage())
        found = self.peek(key)
        if found is None:
            return Err(fail(ResultCode.STORE_NOT_FOUND, key))
        return Ok(found)

    def write_now(
        self, key: str, body: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """Write if the version is as expected, without the injected delay.

        Errors: ``STORE_UNAVAILABLE``, ``NOTE_TOO_LARGE``, ``STORE_CONFLICT``,
        ``STORE_OUTCOME_UNKNOWN`` for a lost answer.
        """
        self.writes += 1
        if self.faults.outage:
            return Err(_outage())
        if len(body) > VALUE_BYTES_LIMIT:
            return Err(fail(ResultCode.NOTE_TOO_LARGE, key))
        found = self.peek(key)
        version = found.version if found else 0
        if version != expected_version:
            return Err(fail(ResultCode.STORE_CONFLICT, key))
        created = StoredObject(key, version + 1, body)
        self.versions_by_key[key] = [
            *self.versions_by_key.get(key, ()),
            created,
        ][-2:]
        self.changed.set()
        self.changed = trio.Event()
        if self.faults.lost_answers > 0:
            remaining = self.faults.lost_answers - 1
            self.faults = self.faults._replace(lost_answers=remaining)
            return Err(fail(ResultCode.STORE_OUTCOME_UNKNOWN, key))
        return Ok(created.version)

    def list_now(self, prefix: str) -> Result[list[StoredObject], Failure]:
        """List the objects under a prefix without the injected delay."""
        self.reads += 1
        if self.faults.outage:
            return Err(_outage())
        keys = sorted(
            key for key in self.versions_by_key if key.startswith(prefix)
        )
        return Ok([self.versions_by_key[key][-1] for key in keys])

    def list_instances_now(self) -> Result[list[ListedInstance], Failure]:
        """List the instances without the injected delay."""
        self.reads += 1
        if self.faults.outage:
            return Err(_outage())
        return Ok(list(self.instances.values()))

    async def read(self, key: str) -> Result[StoredObject, Failure]:
        """Read the latest version of an object."""
        await self._delay()
        return self.read_now(key)

    async def write(
        self, key: str, body: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """Write if the object has the expected version; 0 creates it."""
        await self._delay()
        return self.write_now(key, body, expected_version)

    async def list_objects(
        self, prefix: str
    ) -> Result[list[StoredObject], Failure]:
        """List the objects under a prefix."""
        await self._delay()
        return self.list_now(prefix)

    async def watch(
        self, key: str, after_version: int, wait_seconds: float
    ) -> Result[StoredObject, Failure]:
        """Wait for a version above ``after_version``.

        Errors: ``STORE_UNAVAILABLE``, ``STORE_NOT_FOUND`` after the timeout.
        """
        self.reads += 1
        await self._delay()
        if self.faults.outage:
            return Err(_outage())
        with trio.move_on_after(wait_seconds):
            while True:
                found = self._peek_watched(key)
                if found and found.version > after_version:
                    return Ok(found)
                await self.changed.wait()
        return Err(fail(ResultCode.STORE_NOT_FOUND, key))

    async def list_instances(self) -> Result[list[ListedInstance], Failure]:
        """List the instances."""
        await self._delay()
        return self.list_instances_now()

    def _peek_watched(self, key: str) -> StoredObject | None:
        versions = self.versions_by_key.get(key, [])
        if self.faults.watch_gap or not versions:
            return None
        return versions[0] if self.faults.stale_watch else versions[-1]

    async def _delay(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.faults.slow_seconds:
            await trio.sleep(self.faults.slow_seconds)


def _outage() -> Failure:
    return fail(ResultCode.STORE_UNAVAILABLE, 'outage')
