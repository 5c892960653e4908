"""Frames of typed messages: the kind's name and a msgpack array."""

from collections.abc import Mapping
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail

Message = TypeVar('Message')


class Codec(NamedTuple, Generic[Message]):
    """Encodes and decodes the message types that it was made for."""

    # Message types by the name of their kind.
    types: Mapping[str, type[Message]]

    def encode(self, message: Message) -> list[bytes]:
        """Encode a message into frames."""
        kind = type(message).__name__
        return [kind.encode(), msgspec.msgpack.encode(message)]

    def decode(self, frames: list[bytes]) -> Result[Message, Failure]:
        """Decode frames; ``FRAME_MALFORMED`` for anything unexpected."""
        if len(frames) != 2:
            return Err(fail(ResultCode.FRAME_MALFORMED, 'wrong frame count'))
        kind = self.types.get(frames[0].decode(errors='replace'))
        if kind is None:
            return Err(fail(ResultCode.FRAME_MALFORMED, 'unknown kind'))
        try:
            message: Any = msgspec.msgpack.decode(frames[1], type=kind)
        except msgspec.MsgspecError as error:
            return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))
        return Ok(message)


def make_codec(types: list[type[Message]]) -> Codec[Message]:
    """Make a codec of the given message types."""
    return Codec({kind.__name__: kind for kind in types})
