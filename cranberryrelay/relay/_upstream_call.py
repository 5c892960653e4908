"""HTTP client for calls to upstreams."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Any, Final, NamedTuple

import httpx
from result import Err, Ok, Result

from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail
from cranberryrelay.relay._body_budget import BodyBuffer
from cranberryrelay.relay._requests import (
    Dialect,
    MetadataObserver,
    RawHeaders,
    ResponseMetadata,
    UpstreamCall,
)
from cranberryrelay.relay._unexpected_errors import record_unexpected
from cranberryrelay.timing import limit_time
from cranberryrelay.wire import KeptConnectionTransport, UnsentRequestError

# Opening a connection normally takes a millisecond and a few round trips.
CONNECT_TIMEOUT_SECONDS: Final = 0.25
CLOSE_TIMEOUT_SECONDS: Final = 1.0
CONNECTIONS_LIMIT: Final = 1500

# Idle connections are closed after this time, or before the upstream does so if
# it announces a shorter one.
IDLE_CONNECTION_SECONDS: Final = 4.0

# Failures before any part of the request was sent.
UNSENT_CODES: Final = frozenset(
    (ResultCode.UPSTREAM_UNREACHABLE, ResultCode.UPSTREAM_CLOSED)
)

# Errors after which nothing has been sent to the upstream.
_NOT_SENT: Final = (
    httpx.InvalidURL,
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


class UpstreamResponse(NamedTuple):
    """A response whose headers have arrived and whose body is open."""

    # HTTP status.
    status: int

    # Metadata from the headers.
    metadata: ResponseMetadata

    # Response of the HTTP client.
    http_response: httpx.Response

    async def close(self) -> None:
        """Close the connection, which cancels the work at the upstream."""
        await _close(self.http_response)

    def chunks(self) -> AsyncIterator[bytes]:
        """Return the chunks of the body; raises ``httpx.HTTPError``."""
        # ``aiter_raw`` would add two generators to each chunk.
        stream = self.http_response.stream
        assert isinstance(stream, httpx.AsyncByteStream)
        return aiter(stream)


class UpstreamClient(httpx.AsyncClient):
    """HTTP client that sends each request once, as it is.

    Cookies are the caller's, and so is a redirect or a challenge of the
    upstream: each goes to the caller, and none to another one.
    """

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        super().__init__(transport=transport, trust_env=False)
        self.transport = transport

    async def send(
        self, request: httpx.Request, **options: Any
    ) -> httpx.Response:
        """Send a request; the body of its answer is read by the caller."""
        for hook in self.event_hooks['request']:
            await hook(request)
        response = await self.transport.handle_async_request(request)
        response.request = request
        return response


def make_upstream_client() -> UpstreamClient:
    """Make the HTTP client for all calls to upstreams."""
    return UpstreamClient(
        KeptConnectionTransport(
            httpx.Limits(
                max_connections=CONNECTIONS_LIMIT,
                keepalive_expiry=IDLE_CONNECTION_SECONDS,
            )
        )
    )


async def open_response(
    client: httpx.AsyncClient,
    dialect: Dialect,
    call: UpstreamCall,
    stack: AsyncExitStack,
    observe: MetadataObserver | None = None,
) -> Result[UpstreamResponse, Failure]:
    """Send a call and wait for the headers of its response.

    The stack closes the response.  ``observe`` is told of the metadata of any
    response, also of one that is an error.  Errors: ``UPSTREAM_UNREACHABLE`` or
    ``UPSTREAM_CLOSED`` if nothing was sent, ``UPSTREAM_REFUSED`` if the
    upstream states that it did not run the request, ``UPSTREAM_REPLACED`` if a
    different incarnation now uses its address, ``UPSTREAM_TIMEOUT``,
    ``UPSTREAM_FAILED``, ``ANSWER_MISMATCH`` if the response belongs to another
    request.
    """
    with limit_time(call.timeout_seconds) as scope:
        sent = await send_call(client, dialect, call, stack)
        if observe is not None and sent.is_ok():
            observe(sent.unwrap().metadata)
    if scope.cancelled_caught:
        detail = (
            f'{call.upstream}: no response within {call.timeout_seconds:.3f} s'
        )
        return Err(fail(ResultCode.UPSTREAM_TIMEOUT, detail))
    return sent.and_then(lambda response: _check_response(call, response))


async def send_call(
    client: httpx.AsyncClient,
    dialect: Dialect,
    call: UpstreamCall,
    stack: AsyncExitStack,
    extra_headers: RawHeaders = (),
) -> Result[UpstreamResponse, Failure]:
    """Send a call; the response is not checked and the time not limited.

    Errors: ``UPSTREAM_UNREACHABLE``, ``UPSTREAM_CLOSED`` or ``INTERNAL_ERROR``
    if nothing was sent, ``UPSTREAM_FAILED``.
    """
    try:
        url = httpx.URL(f'http://{call.address}')
    except httpx.InvalidURL as odd_address:
        return Err(_to_failure(odd_address, call))
    try:
        headers = [*dialect.make_call_headers(call), *extra_headers]
        request = _build_request(url, call, headers)
    except Exception as odd:
        request_id = call.request.request_id
        return Err(record_unexpected(odd, request_id, is_sent=False))
    try:
        http_response = await client.send(request, stream=True)
    except httpx.HTTPError as error:
        return Err(_to_failure(error, call))
    stack.push_async_callback(_close, http_response)
    metadata = dialect.parse_response(
        http_response.status_code, http_response.headers.raw
    )
    return Ok(
        UpstreamResponse(http_response.status_code, metadata, http_response)
    )


def _build_request(
    url: httpx.URL, call: UpstreamCall, headers: RawHeaders
) -> httpx.Request:
    """Build the request of a call; ``url`` holds the address alone.

    The caller's target is sent as it is: as a part of the URL it would be
    normalized, or rejected.
    """
    incoming = call.request
    return httpx.Request(
        incoming.method,
        url,
        headers=list(headers),
        content=incoming.body,
        extensions={
            'target': incoming.target.encode('latin-1'),
            'timeout': {'connect': CONNECT_TIMEOUT_SECONDS},
        },
    )


def _to_failure(
    error: httpx.HTTPError | httpx.InvalidURL, call: UpstreamCall
) -> Failure:
    if isinstance(error, httpx.LocalProtocolError):
        # Raised for the head of a request, before it is sent.
        request_id = call.request.request_id
        return record_unexpected(error, request_id, is_sent=False)
    code = ResultCode.UPSTREAM_FAILED
    if isinstance(error, UnsentRequestError):
        code = ResultCode.UPSTREAM_CLOSED
    elif isinstance(error, _NOT_SENT):
        code = ResultCode.UPSTREAM_UNREACHABLE
    return fail(code, f'{call.upstream}: {error!r}')


def _check_response(
    call: UpstreamCall, response: UpstreamResponse
) -> Result[UpstreamResponse, Failure]:
    # A faulty upstream may repeat an earlier answer on a kept connection, so
    # nothing is believed of an answer to another request.
    if response.metadata.request_id != call.request.request_id:
        detail = f'{call.upstream} answered id "{response.metadata.request_id}"'
        return Err(fail(ResultCode.ANSWER_MISMATCH, detail))
    if response.metadata.misdirected:
        detail = (
            f'{call.upstream}: a different incarnation now uses its address'
        )
        return Err(fail(ResultCode.UPSTREAM_REPLACED, detail))
    if response.metadata.not_run:
        detail = f'{call.upstream}: not run, status {response.status}'
        return Err(
            fail(ResultCode.UPSTREAM_REFUSED, detail, ExecutionState.NOT_RUN)
        )
    return Ok(response)


async def read_body(
    response: UpstreamResponse, limit_seconds: float, buffer: BodyBuffer
) -> Result[bytes, Failure]:
    """Read the whole body; closes the connection if it is too large.

    The body counts until the buffer is closed. Errors: ``STREAM_BROKEN``,
    ``UPSTREAM_TIMEOUT``, ``ANSWER_TOO_LARGE``.
    """
    body = await _read_into(buffer, response, limit_seconds)
    if isinstance(body, Err):
        buffer.clear()
    return body


async def _read_into(
    buffer: BodyBuffer, response: UpstreamResponse, limit_seconds: float
) -> Result[bytes, Failure]:
    with limit_time(limit_seconds):
        try:
            async for chunk in response.chunks():
                excess = buffer.add(chunk)
                if excess is not None:
                    await response.close()
                    return Err(excess)
        except httpx.HTTPError as error:
            return Err(fail(ResultCode.STREAM_BROKEN, repr(error)))
        return Ok(buffer.take())
    return Err(
        fail(
            ResultCode.UPSTREAM_TIMEOUT,
            'the response body was not complete in time',
        )
    )


async def _close(http_response: httpx.Response) -> None:
    with limit_time(CLOSE_TIMEOUT_SECONDS) as scope:
        scope.shield = True
        await http_response.aclose()
