"""Reads answers that are kept whole, up to a limit.

A faulty server may send bytes without end, and compressed ones grow when they
are unpacked. So an answer is taken as it arrives, and the connection is closed
at the limit.
"""

from typing import Any, Final, NamedTuple

import httpx

# Encoding of a body that is sent as it is.
_PLAIN: Final = 'identity'


class AnswerTooLargeError(httpx.RemoteProtocolError):
    """The body of an answer exceeds the limit of its reader."""


class WholeAnswer(NamedTuple):
    """An answer whose body has been read."""

    # HTTP status.
    status: int

    # Headers.
    headers: httpx.Headers

    # Body, as it arrived.
    body: bytes


async def request_whole(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    limit_bytes: int,
    **arguments: Any,
) -> WholeAnswer:
    """Send a request and read its answer, of at most ``limit_bytes``.

    ``arguments`` are those of ``httpx.AsyncClient.stream``. Raises
    ``httpx.HTTPError``, also for an answer in an encoding, which was not asked
    for; ``AnswerTooLargeError``; and ``httpx.InvalidURL``.
    """
    headers = {**arguments.pop('headers', {}), 'Accept-Encoding': _PLAIN}
    async with client.stream(
        method, url, headers=headers, **arguments
    ) as response:
        encoding = response.headers.get('Content-Encoding', _PLAIN)
        if encoding != _PLAIN:
            raise httpx.DecodingError(f'unexpected encoding {encoding!r}')
        body = await _read_limited(response, limit_bytes)
    return WholeAnswer(response.status_code, response.headers, body)


async def _read_limited(response: httpx.Response, limit_bytes: int) -> bytes:
    stream = response.stream
    assert isinstance(stream, httpx.AsyncByteStream)
    body = bytearray()
    async for part in stream:
        body += part
        if len(body) > limit_bytes:
            raise AnswerTooLargeError(f'the body exceeds {limit_bytes} bytes')
    return bytes(body)
