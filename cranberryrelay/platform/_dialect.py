"""Translates the headers of requests and answers on the target platform."""

import re
from http import HTTPStatus
from typing import Annotated, Final

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.platform._json_parts import decode_json
from cranberryrelay.relay import (
    IncomingRequest,
    ModelRequest,
    PrefillResult,
    PromptSegment,
    RawHeaders,
    ResponseMetadata,
    UpstreamCall,
)
from cranberryrelay.wire import INTEGER_MAX

_PREFIX: Final = b'x-cranberryrelay-'
_REQUEST_ID: Final = b'X-Cranberryrelay-Request-Id'
_DEADLINE: Final = b'X-Cranberryrelay-Deadline-Ms'
_MODEL: Final = b'X-Cranberryrelay-Model'
_TOKEN_COUNTS: Final = b'X-Cranberryrelay-Token-Count'
_PROMPT_PARTS: Final = b'X-Cranberryrelay-Prompt-Prefix'
_LAST_EVENT: Final = b'Last-Event-Id'
_RESUMES: Final = b'Resumes'
_EXPECT_INSTANCE: Final = b'X-Cranberryrelay-Expect-Instance'
_PRIORITY: Final = b'X-Cranberryrelay-Request-Priority'
_STAGE: Final = b'X-Cranberryrelay-Stage'
_KV_SOURCE: Final = b'X-Cranberryrelay-Kv-Source'
_KV_BACKUP: Final = b'X-Cranberryrelay-Kv-Backup'
_SERVER_LIMIT: Final = b'Server-Limit'
_SERVER_LEAVING: Final = b'Server-Leaving'
_RETRY_AFTER: Final = b'Retry-After'
_NOT_EXECUTED: Final = b'X-Cranberryrelay-Not-Executed'

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)

# Headers that only this project may set; removed from callers' requests.
_INTERNAL_HEADERS: Final = frozenset(
    (
        _DEADLINE.lower(),
        _EXPECT_INSTANCE.lower(),
        _PRIORITY.lower(),
        _STAGE.lower(),
        _KV_SOURCE.lower(),
        b'x-cranberryrelay-expect-version',
        b'x-cranberryrelay-pin-ms',
        b'x-cranberryrelay-kv-hold',
        _KV_BACKUP.lower(),
        b'kv-fetch',
        b'x-cranberryrelay-kv-fetch',
    )
)
# Most digits of a number, so that it fits 64 bits, and of a number of tokens,
# whose sums are sent to other instances.
_NUMBER_DIGITS: Final = 18
_TOKENS_DIGITS: Final = 12
_HEADER_WORD: Final = re.compile('[!-~]+')
_DECIMAL_NUMBER: Final = re.compile(r'\d{1,9}(\.\d{1,9})?', re.ASCII)
_MISDIRECTED: Final = 421

# Value of a header that states something by being there.
_STATED: Final = '1'
_MS_PER_SECOND: Final = 1000


class _Prefill(msgspec.Struct, frozen=True):
    transfer_handle: str
    tokens: Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)] = 0


class TargetDialect:
    """Translates between wire headers and the project's types; stateless."""

    def parse_request(self, arrival: IncomingRequest) -> IncomingRequest:
        """Return the arrival with the fields that its headers define."""
        deadline = _parse_number(arrival.headers, _DEADLINE)
        return arrival._replace(
            request_id=_find_header(arrival.headers, _REQUEST_ID),
            timeout_seconds=(
                None if deadline is None else deadline / _MS_PER_SECOND
            ),
            last_event_number=_parse_number(arrival.headers, _LAST_EVENT),
            resumed_request_id=_find_header(arrival.headers, _RESUMES),
            model_request=_parse_work(arrival.headers),
        )

    def make_call_headers(
        self, call: UpstreamCall
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send to an upstream.

        The headers of the caller are passed on, except for hop-by-hop headers
        and those that only this project may set.
        """
        dropped = (
            _HOP_BY_HOP_HEADERS
            | _INTERNAL_HEADERS
            | _connection_options(call.request.headers)
        )
        if call.resume_after is not None:
            dropped |= {_LAST_EVENT.lower()}
        headers = [
            (name, content)
            for name, content in call.request.headers
            if name.lower() not in dropped
        ]
        left = max(int(call.timeout_seconds * _MS_PER_SECOND), 1)
        headers.append((_DEADLINE, str(left).encode()))
        headers.append((_EXPECT_INSTANCE, call.upstream.encode()))
        headers.extend(_internal_headers(call))
        return headers

    def parse_response(
        self, status: int, headers: RawHeaders
    ) -> ResponseMetadata:
        """Parse the status and the headers of an upstream's answer."""
        dropped = _HOP_BY_HOP_HEADERS | _connection_options(headers)
        misdirected = status == _MISDIRECTED
        return ResponseMetadata(
            request_id=_find_header(headers, _REQUEST_ID),
            not_run=misdirected or bool(_find_header(headers, _NOT_EXECUTED)),
            misdirected=misdirected,
            headers=[
                pair for pair in headers if pair[0].lower() not in dropped
            ],
            requests_per_second=_parse_decimal(headers, _SERVER_LIMIT),
            leaving=_find_header(headers, _SERVER_LEAVING) == _STATED,
            rest_seconds=(
                _parse_decimal(headers, _RETRY_AFTER)
                if status == HTTPStatus.SERVICE_UNAVAILABLE
                else None
            ),
        )

    def decode_prefill(self, body: bytes) -> Result[PrefillResult, Failure]:
        """Decode the answer to a prefill-only call.

        Errors: ``ANSWER_MISMATCH``.
        """
        decoded = decode_json(body, _Prefill)
        if isinstance(decoded, Err):
            detail = decoded.unwrap_err().detail
            return Err(fail(ResultCode.ANSWER_MISMATCH, detail))
        prefill: _Prefill = decoded.unwrap()
        # The handle is sent in a header of the call that fetches the cache.
        if not _HEADER_WORD.fullmatch(prefill.transfer_handle):
            detail = 'the transfer handle does not fit a header'
            return Err(fail(ResultCode.ANSWER_MISMATCH, detail))
        return Ok(PrefillResult(prefill.transfer_handle, prefill.tokens))


def _internal_headers(call: UpstreamCall) -> list[tuple[bytes, bytes]]:
    headers: list[tuple[bytes, bytes]] = []
    if call.engine_priority is not None:
        headers.append((_PRIORITY, str(call.engine_priority).encode()))
    if call.prefill_only:
        headers.append((_STAGE, b'prefill'))
    if call.source is not None:
        kv_source = f'{call.source.address}/{call.source.transfer_handle}'
        headers.append((_KV_SOURCE, kv_source.encode()))
    if call.backup_address is not None:
        headers.append((_KV_BACKUP, call.backup_address.encode()))
    if call.resume_after is not None:
        headers.append((_LAST_EVENT, str(call.resume_after).encode()))
    return headers


def _find_header(headers: RawHeaders, wanted: bytes) -> str:
    lowered = wanted.lower()
    for name, content in headers:
        if name.lower() == lowered:
            return content.decode('latin-1').strip()
    return ''


def _parse_number(headers: RawHeaders, wanted: bytes) -> int | None:
    return parse_whole_number(_find_header(headers, wanted))


def parse_whole_number(text: str, limit: int = _NUMBER_DIGITS) -> int | None:
    """Return the number in a text; None if it is none of ``limit`` digits."""
    digits = text.isascii() and text.isdigit() and len(text) <= limit
    return int(text) if digits else None


def _parse_decimal(headers: RawHeaders, wanted: bytes) -> float | None:
    """Return the number that a header holds; None if it can't be read."""
    text = _find_header(headers, wanted)
    if not _DECIMAL_NUMBER.fullmatch(text):
        return None
    return float(text)


def _connection_options(headers: RawHeaders) -> frozenset[bytes]:
    """Return the header names that the Connection header lists."""
    options = _find_header(headers, b'connection').encode('latin-1').lower()
    return frozenset(option.strip() for option in options.split(b','))


def _parse_work(headers: RawHeaders) -> ModelRequest | None:
    model = _find_header(headers, _MODEL)
    counts = [
        parse_whole_number(count.strip(), _TOKENS_DIGITS)
        for count in _find_header(headers, _TOKEN_COUNTS).split(',')
    ]
    if not model or len(counts) != 2:
        return None
    prompt_tokens, output_tokens = counts
    if prompt_tokens is None or output_tokens is None:
        return None
    return ModelRequest(
        model=model,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        segments=_parse_parts(_find_header(headers, _PROMPT_PARTS)),
    )


def _parse_parts(text: str) -> tuple[PromptSegment, ...]:
    parts: list[PromptSegment] = []
    for entry in text.split(','):
        digest, _, count = entry.strip().partition(':')
        tokens = parse_whole_number(count, _TOKENS_DIGITS)
        if digest and tokens is not None:
            parts.append(PromptSegment(digest, tokens))
    return tuple(parts)
