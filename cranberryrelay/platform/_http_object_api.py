"""HTTP client of the platform's object API."""

import logging
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Any, Final

import httpx
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.platform._dialect import parse_whole_number
from cranberryrelay.platform._json_parts import decode_json, split_elements
from cranberryrelay.platform._object_api import ListedInstance, StoredObject
from cranberryrelay.wire import WholeAnswer, request_whole

# Largest answer, in bytes; an object takes up to a megabyte.
ANSWER_BYTES_LIMIT: Final = 67_108_864

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
_LOG: Final = logging.getLogger('cranberryrelay.platform')


class HttpObjectApi:
    """Calls the object API over HTTP and counts the calls."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client
        self.calls = 0

    async def read(self, key: str) -> Result[StoredObject, Failure]:
        """Read the latest version of an object."""
        reply = await self._call('GET', f'/objects/{key}')
        return reply.and_then(lambda answer: _to_object(key, answer))

    async def write(
        self, key: str, body: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """Write an object if its version matches; version 0 creates it."""
        headers = {_VERSION_HEADER: str(expected_version)}
        reply = await self._call(
            'PUT', f'/objects/{key}', content=body, headers=headers
        )
        return reply.and_then(_read_version)

    async def list_objects(
        self, prefix: str
    ) -> Result[list[StoredObject], Failure]:
        """List the objects with a key prefix."""
        reply = await self._call('GET', '/objects', params={'prefix': prefix})
        return reply.and_then(
            lambda answer: _decode_items(answer.body, StoredObject)
        )

    async def watch(
        self, key: str, after_version: int, wait_seconds: float
    ) -> Result[StoredObject, Failure]:
        """Wait for a version above ``after_version``."""
        query = {'after': str(after_version), 'wait': str(wait_seconds)}
        reply = await self._call('GET', f'/watch/{key}', params=query)
        return reply.and_then(lambda answer: _to_object(key, answer))

    async def list_instances(self) -> Result[list[ListedInstance], Failure]:
        """List the instances; the list may be out of date."""
        reply = await self._call('GET', '/instances')
        return reply.and_then(
            lambda answer: _decode_items(answer.body, ListedInstance)
        )

    async def _call(
        self, method: str, path: str, **arguments: Any
    ) -> Result[WholeAnswer, Failure]:
        self.calls += 1
        try:
            answer = await request_whole(
                self.client, method, path, ANSWER_BYTES_LIMIT, **arguments
            )
        except _NOT_SENT_ERRORS as error:
            return Err(fail(ResultCode.STORE_UNAVAILABLE, repr(error)))
        except httpx.HTTPError as error:
            return Err(fail(ResultCode.STORE_OUTCOME_UNKNOWN, repr(error)))
        for status, code in _CODES_BY_STATUS:
            if answer.status == status:
                return Err(fail(code, f'{method} {path}'))
        if httpx.codes.is_success(answer.status):
            return Ok(answer)
        detail = f'{method} {path} returned status {answer.status}'
        return Err(fail(ResultCode.STORE_OUTCOME_UNKNOWN, detail))


def _read_version(answer: WholeAnswer) -> Result[int, Failure]:
    version = parse_whole_number(answer.headers.get(_VERSION_HEADER, ''))
    if version is None:
        detail = f'the answer has no valid {_VERSION_HEADER}'
        return Err(fail(ResultCode.STORE_OUTCOME_UNKNOWN, detail))
    return Ok(version)


def _to_object(key: str, answer: WholeAnswer) -> Result[StoredObject, Failure]:
    version = _read_version(answer)
    return version.map(lambda number: StoredObject(key, number, answer.body))


def _decode_items(body: bytes, schema: Any) -> Result[list[Any], Failure]:
    """Decode a list; items that cannot be read are left out and logged.

    Errors: ``FRAME_MALFORMED`` if it is no list.
    """
    whole = decode_json(body, list[schema])
    decoded = [decode_json(one, schema) for one in _split_faulty(whole, body)]
    if not decoded:
        return whole
    invalid = [one.unwrap_err().detail for one in decoded if one.is_err()]
    _LOG.warning(
        'invalid items left out',
        extra={'count': len(invalid), 'detail': invalid[0]},
    )
    return Ok([one.unwrap() for one in decoded if one.is_ok()])


def _split_faulty(whole: Result[Any, Failure], body: bytes) -> Iterator[bytes]:
    """Return the items of a list that cannot be decoded whole."""
    if whole.is_ok() or not body.lstrip().startswith(b'['):
        return iter(())
    return split_elements(body)


@asynccontextmanager
async def open_object_api(
    url: str, timeout_seconds: float
) -> AsyncIterator[HttpObjectApi]:
    """Open an HTTP client of the object API at ``url``."""
    async with httpx.AsyncClient(
        base_url=url, timeout=timeout_seconds, trust_env=False
    ) as client:
        yield HttpObjectApi(client)
