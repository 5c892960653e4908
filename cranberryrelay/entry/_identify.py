"""Identifies the caller by its bearer token; only token digests are stored."""

from typing import Final

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry._context import AdmittedRequest, IdentifiedRequest
from cranberryrelay.notes import digest_text

HEADER_BYTES_LIMIT: Final = 16_384
_SCHEME: Final = 'bearer'


def identify(admitted: AdmittedRequest) -> Result[IdentifiedRequest, Failure]:
    """Check the size limits and find the caller by its bearer token.

    Errors: ``CALLER_UNKNOWN``, ``HEADER_TOO_LARGE``, ``BODY_TOO_LARGE``.
    """
    incoming = admitted.incoming
    size = sum(len(name) + len(text) for name, text in incoming.headers.items())
    if size > HEADER_BYTES_LIMIT:
        detail = f'headers are over the limit of {HEADER_BYTES_LIMIT} bytes'
        return Err(fail(ResultCode.HEADER_TOO_LARGE, detail))
    if len(incoming.body) > admitted.notes.body_bytes:
        detail = (
            f'the body is over the limit of {admitted.notes.body_bytes} bytes'
        )
        return Err(fail(ResultCode.BODY_TOO_LARGE, detail))
    scheme, _, token = incoming.headers.get('authorization', '').partition(' ')
    digest = digest_text(token.strip())
    caller = admitted.notes.callers.get(digest)
    if scheme.lower() != _SCHEME or caller is None:
        detail = 'missing or unknown token; send Authorization: Bearer TOKEN'
        return Err(fail(ResultCode.CALLER_UNKNOWN, detail))
    return Ok(IdentifiedRequest(admitted, caller))
