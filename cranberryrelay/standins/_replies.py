"""Replies of the stand-ins over HTTP."""

from http import HTTPStatus
from typing import Final

import msgspec
import trio
from quart import Response, request
from result import Err, Result

from cranberryrelay.codes import Failure, ResultCode

VERSION_HEADER: Final = 'X-Version'
_STATUS_BY_CODE: Final = (
    (ResultCode.STORE_NOT_FOUND, HTTPStatus.NOT_FOUND),
    (ResultCode.STORE_CONFLICT, HTTPStatus.PRECONDITION_FAILED),
    (ResultCode.STORE_UNAVAILABLE, HTTPStatus.SERVICE_UNAVAILABLE),
    (ResultCode.ORDER_FENCED, HTTPStatus.CONFLICT),
    (ResultCode.NOTE_TOO_LARGE, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
)


async def refuse_or_lose(failure: Failure) -> Response:
    """Refuse with the failure's status; never answer a lost answer."""
    for code, status in _STATUS_BY_CODE:
        if failure.code is code:
            return Response(failure.detail, status)
    await trio.sleep_forever()
    return Response('')


def reply_json(outcome: Result[object, Failure]) -> Response:
    """Reply with an outcome as JSON, or refuse."""
    if isinstance(outcome, Err):
        return refuse(outcome.unwrap_err())
    return as_json(outcome.unwrap())


def refuse(failure: Failure) -> Response:
    """Refuse with the failure's status."""
    statuses = dict(_STATUS_BY_CODE)
    status = statuses.get(failure.code, HTTPStatus.GATEWAY_TIMEOUT)
    return Response(failure.detail, status)


def as_json(payload: object) -> Response:
    """Reply with a payload as JSON."""
    return Response(msgspec.json.encode(payload), mimetype='application/json')


async def read_body() -> bytes:
    """Read the body of the request."""
    body: object = await request.get_data(as_text=False)
    return body if isinstance(body, bytes) else b''
