"""HTTP routes of the platform stand-in."""

import msgspec
from quart import Response, request

from cranberryrelay.platform import ListedInstance
from cranberryrelay.standins._replies import (
    VERSION_HEADER,
    read_body,
    reply_failure,
    reply_failure_or_hang,
    reply_outcome,
)
from cranberryrelay.standins._store import StoreStandIn


class PlatformRoutes:
    """Handlers of the object API and of the list of instances."""

    def __init__(self, store: StoreStandIn) -> None:
        self.store = store

    async def list_objects(self) -> Response:
        """List the objects under a prefix."""
        prefix = request.args.get('prefix', '')
        return reply_outcome(await self.store.list_objects(prefix))

    async def read_object(self, key: str) -> Response:
        """Read an object; its version is in a header."""
        outcome = await self.store.read(key)
        if outcome.is_err():
            return reply_failure(outcome.unwrap_err())
        stored = outcome.unwrap()
        headers = {VERSION_HEADER: str(stored.version)}
        return Response(stored.body, headers=headers)

    async def write_object(self, key: str) -> Response:
        """Write an object if it has the version in the request's header."""
        expected = int(request.headers[VERSION_HEADER])
        written = await self.store.write(key, await read_body(), expected)
        if written.is_err():
            return await reply_failure_or_hang(written.unwrap_err())
        version = str(written.unwrap())
        return Response('', headers={VERSION_HEADER: version})

    async def watch_object(self, key: str) -> Response:
        """Wait for a version of an object above ``after``."""
        after = int(request.args['after'])
        wait = float(request.args['wait'])
        outcome = await self.store.watch(key, after, wait)
        if outcome.is_err():
            return reply_failure(outcome.unwrap_err())
        stored = outcome.unwrap()
        headers = {VERSION_HEADER: str(stored.version)}
        return Response(stored.body, headers=headers)

    async def list_instances(self) -> Response:
        """List the active and the leaving instances."""
        return reply_outcome(await self.store.list_instances())

    async def put_instance(self, name: str) -> Response:
        """Add or replace an instance in the list; for tests and trials."""
        body = await read_body()
        self.store.instances[name] = msgspec.json.decode(
            body, type=ListedInstance
        )
        return Response('')

    async def delete_instance(self, name: str) -> Response:
        """Remove an instance from the list; for tests and trials."""
        self.store.instances.pop(name, None)
        return Response('')
