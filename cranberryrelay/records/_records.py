"""Encodes named tuples as JSON objects for interfaces with other software."""

from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail

Record = TypeVar('Record')


def encode_record(record: Any) -> bytes:
    """Encode a named tuple as a JSON object with sorted keys."""
    return msgspec.json.encode(record._asdict(), order='sorted')


def decode_record(
    body: bytes | str, record_type: type[Record]
) -> Result[Record, Failure]:
    """Decode a JSON object as a ``record_type``.

    Unknown keys are ignored and missing ones read as null.  Returns
    ``FRAME_MALFORMED`` if the body is not such an object.
    """
    try:
        fields: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))
    return _convert(fields, record_type)


def _convert(fields: dict[str, Any], record_type: Any) -> Result[Any, Failure]:
    ordered = [fields.get(name) for name in record_type._fields]
    try:
        return Ok(msgspec.convert(ordered, record_type))
    except msgspec.ValidationError as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))
