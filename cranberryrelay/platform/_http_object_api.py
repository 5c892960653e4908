"""HTTP client of the platform's object API."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Any, Final

import httpx
import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.platform._object_api import ListedInstance, StoredObject

_CODES_BY_STATUS: Final = (
    (HTTPStatus.NOT_FOUND, ResultCode.STORE_NOT_FOUND),
    (HTTPStatus.PRECONDITION_FAILED, ResultCode.STORE_CONFLICT),
    (HTTPStatus.SERVICE_UNAVAILABLE, ResultCode.STORE_UNAVAILABLE),
    (HTTPStatus.TOO_MANY_REQUESTS, ResultCode.STORE_UNAVAILABLE),
)
_VERSION_HEADER: Final = 'X-Version'
# Errors raised before the request is sent, so it was certainly not executed.
_NOT_SENT_ERRORS: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


class HttpObjectApi:
    """Calls the object API over HTTP and counts the calls."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client
        self.calls = 0

    async def read(self, key: str) -> Result[StoredObject, Failure]:
        """Read the latest version of an object."""
        reply = await self._call('GET', f'/objects/{key}')
        return reply.map(lambda response: _to_object(key, response))

    async def write(
        self, key: str, body: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """Write an object if its version matches; version 0 creates it."""
        headers = {_VERSION_HEADER: str(expected_version)}
        reply = await self._call(
            'PUT', f'/objects/{key}', content=body, headers=headers
        )
        return reply.map(
            lambda response: int(response.headers[_VERSION_HEADER])
        )

    async def list_objects(
        self, prefix: str
    ) -> Result[list[StoredObject], Failure]:
        """List the objects with a key prefix."""
        reply = await self._call('GET', '/objects', params={'prefix': prefix})
        return reply.and_then(_to_objects)

    async def watch(
        self, key: str, after_version: int, wait_seconds: float
    ) -> Result[StoredObject, Failure]:
        """Wait for a version above ``after_version``."""
        query = {'after': str(after_version), 'wait': str(wait_seconds)}
        reply = await self._call('GET', f'/watch/{key}', params=query)
        return reply.map(lambda response: _to_object(key, response))

    async def list_instances(self) -> Result[list[ListedInstance], Failure]:
        """List the instances; the list may be out of date."""
        reply = await self._call('GET', '/instances')
        return reply.and_then(_to_instances)

    async def _call(
        self, method: str, path: str, **arguments: Any
    ) -> Result[httpx.Response, Failure]:
        self.calls += 1
        try:
            response = await self.client.request(method, path, **arguments)
        except _NOT_SENT_ERRORS as error:
            return Err(fail(ResultCode.STORE_UNAVAILABLE, repr(error)))
        except httpx.HTTPError as error:
            return Err(fail(ResultCode.STORE_OUTCOME_UNKNOWN, repr(error)))
        for status, code in _CODES_BY_STATUS:
            if response.status_code == status:
                return Err(fail(code, f'{method} {path}'))
        if response.is_success:
            return Ok(response)
        detail = f'{method} {path} returned status {response.status_code}'
        return Err(fail(ResultCode.STORE_OUTCOME_UNKNOWN, detail))


def _to_object(key: str, response: httpx.Response) -> StoredObject:
    version = int(response.headers[_VERSION_HEADER])
    return StoredObject(key, version, response.content)


def _to_objects(
    response: httpx.Response,
) -> Result[list[StoredObject], Failure]:
    try:
        return Ok(
            msgspec.json.decode(response.content, type=list[StoredObject])
        )
    except msgspec.MsgspecError as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))


def _to_instances(
    response: httpx.Response,
) -> Result[list[ListedInstance], Failure]:
    try:
        return Ok(
            msgspec.json.decode(response.content, type=list[ListedInstance])
        )
    except msgspec.MsgspecError as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))


@asynccontextmanager
async def open_object_api(
    url: str, timeout_seconds: float
) -> AsyncIterator[HttpObjectApi]:
    """Open an HTTP client of the object API at ``url``."""
    async with httpx.AsyncClient(
        base_url=url, timeout=timeout_seconds, trust_env=False
    ) as client:
        yield HttpObjectApi(client)
