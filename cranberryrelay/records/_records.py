"""Named tuples as JSON objects, for interfaces that others read."""

from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail

Record = TypeVar('Record')


def encode_record(record: Any) -> bytes:
    """Encode a named tuple as a JSON object with sorted keys."""
    return msgspec.json.encode(record._asdict(), order='sorted')


def decode_record(
    body: bytes | str, kind: type[Record]
) -> Result[Record, Failure]:
    """Decode a JSON object as a named tuple; ``FRAME_MALFORMED`` if not."""
    try:
        fields: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))
    return _convert(fields, kind)


def _convert(fields: dict[str, Any], kind: Any) -> Result[Any, Failure]:
    ordered = [fields.get(name) for name in kind._fields]
    try:
        return Ok(msgspec.convert(ordered, kind))
    except msgspec.ValidationError as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))
