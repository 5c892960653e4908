"""Replies to callers: problems, whole answers and streams."""

from collections.abc import AsyncIterator
from typing import Any, Final

import msgspec
from quart import Response

from cranberryrelay.codes import CODE_TABLE, Failure
from cranberryrelay.entry._context import Pinned, Ranked
from cranberryrelay.entry._exchange import (
    BrokenAnswer,
    Piece,
    TokenText,
    WholeAnswer,
)

PROBLEM_TYPE: Final = 'application/problem+json'
_STREAM_END: Final = b'data: [DONE]\n\n'


def reply_headers(instance: str, pinned: Pinned | None) -> dict[str, str]:
    """Build the headers that every reply carries."""
    headers = {'X-Instance': instance}
    if pinned is not None:
        headers['X-Request-Id'] = pinned.name
        headers['X-Release-Revision'] = str(pinned.notes.revision)
    return headers


def describe_problem(failure: Failure, headers: dict[str, str]) -> bytes:
    """Build a problem document for a failure (RFC 9457)."""
    entry = CODE_TABLE[failure.code]
    return msgspec.json.encode(
        {
            'type': f'urn:cranberryrelay:code:{failure.code.value}',
            'title': entry.title,
            'status': entry.status,
            'detail': failure.detail,
            'code': failure.code.value,
            'ran': failure.ran,
            'request_id': headers.get('X-Request-Id', ''),
        }
    )


def reply_problem(failure: Failure, headers: dict[str, str]) -> Response:
    """Refuse a request."""
    entry = CODE_TABLE[failure.code]
    sent = dict(headers)
    if entry.retry_after_seconds:
        sent['Retry-After'] = str(entry.retry_after_seconds)
    return Response(
        describe_problem(failure, headers),
        status=entry.status,
        headers=sent,
        content_type=PROBLEM_TYPE,
    )


def reply_whole(
    ranked: Ranked, text: str, ended: WholeAnswer, headers: dict[str, str]
) -> Response:
    """Answer with a whole completion."""
    reason = _finish_reason(ranked, ended)
    choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
    if ranked.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    document = {
        **_document_head(ranked),
        'choices': [choice],
        'usage': {'completion_tokens': ended.tokens},
    }
    return Response(
        msgspec.json.encode(document),
        headers=headers,
        content_type='application/json',
    )


async def stream_events(
    ranked: Ranked,
    first: Piece,
    rest: AsyncIterator[Piece],
    headers: dict[str, str],
) -> AsyncIterator[bytes]:
    """Yield server-sent events; only a whole answer ends with [DONE]."""
    yield _as_event(ranked, first, headers)
    async for piece in rest:
        yield _as_event(ranked, piece, headers)


def _as_event(ranked: Ranked, piece: Piece, headers: dict[str, str]) -> bytes:
    if isinstance(piece, TokenText):
        return _encode_event(_make_chunk(ranked, piece.text, None))
    if isinstance(piece, BrokenAnswer):
        problem = describe_problem(piece.failure, headers)
        return b'event: error\ndata: %b\n\n' % problem
    reason = _finish_reason(ranked, piece)
    last = _encode_event(_make_chunk(ranked, '', reason))
    return b''.join((last, _STREAM_END))


def _finish_reason(ranked: Ranked, ended: WholeAnswer) -> str:
    return 'length' if ended.tokens >= ranked.tokens else 'stop'


def _make_chunk(
    ranked: Ranked, text: str, finish_reason: str | None
) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
    if ranked.chat:
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    return {**_document_head(ranked), 'choices': [choice]}


def _document_head(ranked: Ranked) -> dict[str, Any]:
    pinned = ranked.identified.pinned
    sort = 'chat.completion' if ranked.chat else 'text_completion'
    return {
        'id': pinned.name,
        'object': sort,
        'model': ranked.kind.name,
        'created': int(pinned.request_id.admitted_at),
    }


def _encode_event(document: dict[str, Any]) -> bytes:
    return b'data: %b\n\n' % msgspec.json.encode(document)
