"""HTTP responses that the stand-ins share."""

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


async def reply_failure_or_hang(failure: Failure) -> Response:
    """Reply with the status of a failure.

    Never replies to a failure without a status, as if the answer were lost.
    """
    for code, status in _STATUS_BY_CODE:
        if failure.code is code:
            return Response(failure.detail, status)
    await trio.sleep_forever()
    return Response('')


def reply_outcome(outcome: Result[object, Failure]) -> Response:
    """Reply with the value of an outcome as JSON, or with its failure."""
    if isinstance(outcome, Err):
        return reply_failure(outcome.unwrap_err())
    return reply_json(outcome.unwrap())


def reply_failure(failure: Failure) -> Response:
    """Reply with the status of a failure; 504 if it has none."""
    statuses = dict(_STATUS_BY_CODE)
    status = statuses.get(failure.code, HTTPStatus.GATEWAY_TIMEOUT)
    return Response(failure.detail, status)


def reply_json(value: object) -> Response:
    """Reply with a value encoded as JSON."""
    return Response(msgspec.json.encode(value), mimetype='application/json')


async def read_body() -> bytes:
    """Read the body of the request."""
    body: object = await request.get_data(as_text=False)
    return body if isinstance(body, bytes) else b''
