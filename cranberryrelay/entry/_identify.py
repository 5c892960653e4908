"""The filter that finds out who asks; only hashes of tokens are kept."""

from typing import Final

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry._context import Identified, Pinned
from cranberryrelay.notes import digest_text

HEADER_BYTES_LIMIT: Final = 16_384
_SCHEME: Final = 'bearer'


def identify(pinned: Pinned) -> Result[Identified, Failure]:
    """Find the caller by its bearer token.

    Errors: ``CALLER_UNKNOWN``, ``HEADER_TOO_LARGE``, ``BODY_TOO_LARGE``.
    """
    incoming = pinned.incoming
    size = sum(len(name) + len(text) for name, text in incoming.headers.items())
    if size > HEADER_BYTES_LIMIT:
        detail = f'keep headers under {HEADER_BYTES_LIMIT} bytes'
        return Err(fail(ResultCode.HEADER_TOO_LARGE, detail))
    if len(incoming.body) > pinned.notes.body_bytes:
        detail = f'keep the body under {pinned.notes.body_bytes} bytes'
        return Err(fail(ResultCode.BODY_TOO_LARGE, detail))
    scheme, _, token = incoming.headers.get('authorization', '').partition(' ')
    digest = digest_text(token.strip())
    caller = pinned.notes.callers.get(digest)
    if scheme.lower() != _SCHEME or caller is None:
        detail = 'send Authorization: Bearer TOKEN'
        return Err(fail(ResultCode.CALLER_UNKNOWN, detail))
    return Ok(Identified(pinned, caller))
