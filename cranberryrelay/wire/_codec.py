"""Encodes a typed message as two frames: its class name and msgpack body."""

from collections.abc import Mapping
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail

Message = TypeVar('Message')


class Codec(NamedTuple, Generic[Message]):
    """Encodes and decodes a fixed set of message types."""

    # Message types by class name, which is sent as the kind.
    types: Mapping[str, type[Message]]

    def encode(self, message: Message) -> list[bytes]:
        """Encode a message as a kind frame and a body frame."""
        kind = type(message).__name__
        return [kind.encode(), msgspec.msgpack.encode(message)]

    def decode(self, frames: list[bytes]) -> Result[Message, Failure]:
        """Decode a message; ``FRAME_MALFORMED`` if the frames are invalid."""
        if len(frames) != 2:
            return Err(
                fail(
                    ResultCode.FRAME_MALFORMED,
                    'expected 2 frames: kind and message',
                )
            )
        message_type = self.types.get(frames[0].decode(errors='replace'))
        if message_type is None:
            return Err(fail(ResultCode.FRAME_MALFORMED, 'unknown message kind'))
        try:
            message: Any = msgspec.msgpack.decode(frames[1], type=message_type)
        except msgspec.MsgspecError as error:
            return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))
        return Ok(message)


def make_codec(types: list[type[Message]]) -> Codec[Message]:
    """Make a codec for the given message types."""
    return Codec(
        {message_type.__name__: message_type for message_type in types}
    )
