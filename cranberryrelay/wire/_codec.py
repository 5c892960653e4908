"""Encodes a typed message as two frames: its class name and msgpack body.

Processes of two builds may run side by side, see ``_record_forms``.
"""

from collections.abc import Mapping
from typing import Any, Final, Generic, NamedTuple, TypeVar

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.wire._record_forms import fit_outermost, fit_to_type

Message = TypeVar('Message')

# Raised for integers of more than 64 bits, invalid text, unknown types and deep
# nesting.
ENCODING_ERRORS: Final = (
    OverflowError,
    UnicodeError,
    TypeError,
    RecursionError,
    msgspec.MsgspecError,
)

# Nesting in a message of unknown form takes stack.
_DECODING_ERRORS: Final = (msgspec.MsgspecError, RecursionError)


class DecodedMessage(NamedTuple, Generic[Message]):
    """A message, and how its form differed from the one known here."""

    # The message.
    message: Message

    # Differences that were passed over; '' for none.
    differences: str = ''


class Codec(NamedTuple, Generic[Message]):
    """Encodes and decodes a fixed set of message types."""

    # Message types by class name, which is sent as the kind.
    types: Mapping[str, type[Message]]

    def encode(self, message: Message) -> list[bytes]:
        """Encode a message as a kind frame and a body frame.

        Raises one of ``ENCODING_ERRORS`` for a value that has no form.
        """
        kind = type(message).__name__
        return [kind.encode(), msgspec.msgpack.encode(message)]

    def find_type(self, kind: bytes) -> type[Message] | None:
        """Return the type that a kind frame names; None for an unknown kind."""
        return self.types.get(kind.decode(errors='replace'))

    def decode(
        self, frames: list[bytes]
    ) -> Result[DecodedMessage[Message], Failure]:
        """Decode a message, also one of a build with other fields.

        Errors: ``FRAME_MALFORMED`` if the frames are invalid.
        """
        if len(frames) != 2:
            return Err(
                fail(
                    ResultCode.FRAME_MALFORMED,
                    'expected 2 frames: kind and message',
                )
            )
        message_type = self.find_type(frames[0])
        if message_type is None:
            return Err(fail(ResultCode.FRAME_MALFORMED, 'unknown message kind'))
        try:
            message: Any = msgspec.msgpack.decode(frames[1], type=message_type)
        except _DECODING_ERRORS:
            return _decode_fitted(frames[1], message_type)
        return Ok(DecodedMessage(message))


def _decode_fitted(
    body: bytes, message_type: type[Message]
) -> Result[DecodedMessage[Message], Failure]:
    differences: list[str] = []
    try:
        content = msgspec.msgpack.decode(body)
    except _DECODING_ERRORS as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))
    # Looking at each record inside a message takes most of the time.
    for fit in (fit_outermost, fit_to_type):
        differences.clear()
        fitted = fit(content, message_type, differences.append)
        try:
            message: Any = msgspec.convert(fitted, message_type)
        except _DECODING_ERRORS as error:
            failure = fail(ResultCode.FRAME_MALFORMED, str(error))
        else:
            passed_over = ', '.join(dict.fromkeys(differences))
            return Ok(DecodedMessage(message, passed_over))
    return Err(failure)


def make_codec(types: list[type[Message]]) -> Codec[Message]:
    """Make a codec for the given message types."""
    return Codec(
        {message_type.__name__: message_type for message_type in types}
    )
