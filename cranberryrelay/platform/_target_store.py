"""HTTP client of the target platform's store of records by kind and name."""

import logging
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import quote

import httpx
import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.platform._dialect import parse_whole_number
from cranberryrelay.platform._store_documents import (
    StoreAnswer,
    decode_change,
    decode_page,
    decode_record,
)
from cranberryrelay.relay import (
    KindListing,
    KindRecord,
    RecordChange,
    StorePosition,
)
from cranberryrelay.timing import limit_time
from cranberryrelay.wire import (
    AnswerTooLargeError,
    KeptConnectionTransport,
    WholeAnswer,
    request_whole,
)

CONNECT_SECONDS: Final = 1.0
CALL_SECONDS: Final = 2.0

# Time for the whole of an answer, in addition to the time until it begins.
ANSWER_SECONDS: Final = 2.0
CONNECTIONS_LIMIT: Final = 8

# Largest answer, in bytes. The store ends a page of a listing at about 1 MB, or
# with the object that goes beyond it, which takes up to another megabyte.
ANSWER_BYTES_LIMIT: Final = 8_388_608

# Header of every answer: how often the store was restored from an older copy,
# plus a constant.
ERA_HEADER: Final = 'Store-Era'
_LOG: Final = logging.getLogger('cranberryrelay.relay')
_MS_PER_SECOND: Final = 1000
# Errors raised before the request is sent, so it was certainly not executed.
_NOT_SENT_ERRORS: Final = (
    httpx.InvalidURL,
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)
_DOTS: Final = ('.', '..')
_CODES_BY_STATUS: Final[Mapping[int, ResultCode]] = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: ResultCode.STORE_NOT_FOUND,
        HTTPStatus.CONFLICT: ResultCode.STORE_CONFLICT,
        HTTPStatus.GONE: ResultCode.STORE_HISTORY_GONE,
        HTTPStatus.SERVICE_UNAVAILABLE: ResultCode.STORE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS: ResultCode.STORE_UNAVAILABLE,
    }
)


class TargetStore:
    """Calls the store over HTTP and counts the calls by HTTP method."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client
        self.calls: dict[str, int] = {}

        # Latest era of the store in any answer; -1 before the first one.
        self.latest_era = -1

    async def list_kind(self, kind: str) -> Result[KindListing, Failure]:
        """List all records of a kind; reads all pages.

        The position is that of the first page: what changes while the others
        are read may be missing on a page that was read before.

        Errors: ``STORE_HISTORY_GONE`` if the store is restored between pages.
        """
        records: list[KindRecord] = []
        position: StorePosition | None = None
        after = ''
        while True:
            query = {'after': after} if after else {}
            answer = await self._get(_object_path(kind), query)
            page = answer.and_then(decode_page)
            if isinstance(page, Err):
                return page
            listed = page.unwrap()
            position = position or listed.position
            if listed.position.era != position.era:
                return Err(_history_gone(kind, listed.position.era))
            records.extend(listed.records)
            if not listed.truncated:
                _log_changes(kind, position, listed.position)
                return Ok(KindListing(tuple(records), position))
            last = listed.records[-1].name if listed.records else after
            if last == after:
                detail = f'no record follows {after!r} on a truncated page'
                return Err(fail(ResultCode.FRAME_MALFORMED, detail))
            after = last

    async def watch_kind(
        self, kind: str, after: StorePosition, wait_seconds: float
    ) -> Result[RecordChange, Failure]:
        """Wait for changes after a state of the store (long poll).

        Errors: ``STORE_HISTORY_GONE`` if the store no longer has the changes
        since that state, was restored, or has too many changes for one answer;
        the kind must then be listed again.
        """
        query = {
            'watch': str(after.revision),
            'wait_ms': str(int(wait_seconds * _MS_PER_SECOND)),
        }
        answer = await self._get(
            _object_path(kind), query, wait_seconds + CALL_SECONDS
        )
        if isinstance(answer, Err):
            return answer.map_err(_list_instead)
        if answer.unwrap().era != after.era:
            return Err(_history_gone(kind, answer.unwrap().era))
        return answer.and_then(decode_change)

    async def read(self, kind: str, name: str) -> Result[KindRecord, Failure]:
        """Read one record; errors: ``STORE_NOT_FOUND``."""
        answer = await self._get(_object_path(kind, name), {})
        return answer.and_then(decode_record)

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Result[KindRecord, Failure]:
        """Create a record; errors: ``STORE_CONFLICT`` if the name exists."""
        return await self._write(
            'POST',
            _object_path(kind),
            {'metadata': {'name': name}, 'spec': value},
        )

    async def replace(
        self, kind: str, record: KindRecord
    ) -> Result[KindRecord, Failure]:
        """Replace a record if its revision is unchanged.

        Errors: ``STORE_CONFLICT``, ``STORE_NOT_FOUND``.
        """
        metadata = {
            'name': record.name,
            'revision': record.position.revision,
        }
        return await self._write(
            'PUT',
            _object_path(kind, record.name),
            {'metadata': metadata, 'spec': record.value},
        )

    async def remove(self, kind: str, name: str) -> Result[None, Failure]:
        """Delete a record, whatever its revision."""
        reply = await self._call('DELETE', _object_path(kind, name))
        return reply.map(lambda _: None)

    def record_era(self, era: int) -> None:
        """Record the era of an answer; log it if the store was restored."""
        if self.latest_era >= 0 and era != self.latest_era:
            message = (
                'store restored'
                if era > self.latest_era
                else 'answer of an earlier store era'
            )
            extra = {'era': era, 'latest_era': self.latest_era}
            _LOG.warning(message, extra=extra)
        self.latest_era = max(self.latest_era, era)

    async def _write(
        self, method: str, path: str, document: dict[str, Any]
    ) -> Result[KindRecord, Failure]:
        reply = await self._call(
            method,
            path,
            content=msgspec.json.encode(document),
            headers={'Content-Type': 'application/json'},
        )
        return reply.and_then(decode_record)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_seconds: float = CALL_SECONDS,
    ) -> Result[StoreAnswer, Failure]:
        timeout = httpx.Timeout(timeout_seconds, connect=CONNECT_SECONDS)
        return await self._call(
            'GET', path, timeout_seconds, params=query, timeout=timeout
        )

    async def _call(
        self,
        method: str,
        path: str,
        timeout_seconds: float = CALL_SECONDS,
        **arguments: Any,
    ) -> Result[StoreAnswer, Failure]:
        """Make a call; ends in limited time, however slowly bytes arrive."""
        with limit_time(timeout_seconds + ANSWER_SECONDS):
            return await self._request(method, path, **arguments)
        detail = f'{method} {path}: the answer was not whole in time'
        return Err(fail(ResultCode.STORE_OUTCOME_UNKNOWN, detail))

    async def _request(
        self, method: str, path: str, **arguments: Any
    ) -> Result[StoreAnswer, Failure]:
        self.calls[method] = self.calls.get(method, 0) + 1
        try:
            answer = await request_whole(
                self.client, method, path, ANSWER_BYTES_LIMIT, **arguments
            )
        except _NOT_SENT_ERRORS as error:
            return Err(fail(ResultCode.STORE_UNAVAILABLE, repr(error)))
        except AnswerTooLargeError as too_large:
            return Err(fail(ResultCode.ANSWER_TOO_LARGE, repr(too_large)))
        except httpx.HTTPError as error:
            return Err(fail(ResultCode.STORE_OUTCOME_UNKNOWN, repr(error)))
        era = _read_era(answer)
        self.record_era(era)
        if httpx.codes.is_success(answer.status):
            return Ok(StoreAnswer(era, answer.body))
        code = _CODES_BY_STATUS.get(
            answer.status, ResultCode.STORE_OUTCOME_UNKNOWN
        )
        detail = f'{method} {path} returned status {answer.status}'
        return Err(fail(code, detail))


def _read_era(answer: WholeAnswer) -> int:
    """Return the store's era; 0 if the answer has no valid one."""
    return parse_whole_number(answer.headers.get(ERA_HEADER, '')) or 0


def _object_path(kind: str, name: str = '') -> str:
    base = f'/v1/objects/{kind}'
    if not name:
        return base
    # A service, and so a record, may have any name that an engine states.
    part = quote(name, safe='')
    return f'{base}/{part.replace(".", "%2E") if name in _DOTS else part}'


def _list_instead(failure: Failure) -> Failure:
    """Return the failure of a watch; a listing comes in smaller answers."""
    if failure.code is ResultCode.ANSWER_TOO_LARGE:
        return fail(ResultCode.STORE_HISTORY_GONE, failure.detail)
    return failure


def _history_gone(kind: str, era: int) -> Failure:
    detail = f'the store was restored: {kind} is now in era {era}'
    return fail(ResultCode.STORE_HISTORY_GONE, detail)


def _log_changes(kind: str, first: StorePosition, last: StorePosition) -> None:
    """Log that the store changed between the pages of a listing."""
    if last != first:
        extra = {'kind': kind, 'first_page': first, 'last_page': last}
        _LOG.info('store changed during a listing', extra=extra)


@asynccontextmanager
async def open_target_store(url: str) -> AsyncIterator[TargetStore]:
    """Open an HTTP client of the store at ``url``."""
    async with httpx.AsyncClient(
        base_url=url,
        timeout=httpx.Timeout(CALL_SECONDS, connect=CONNECT_SECONDS),
        transport=KeptConnectionTransport(
            httpx.Limits(max_connections=CONNECTIONS_LIMIT)
        ),
        trust_env=False,
    ) as client:
        yield TargetStore(client)
