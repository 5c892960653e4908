"""Builds HTTP responses: problem documents, completions and event streams."""

from collections.abc import AsyncIterator
from typing import Any, Final

import msgspec
from quart import Response

from cranberryrelay.codes import CODE_TABLE, Failure
from cranberryrelay.entry._context import AdmittedRequest, RankedRequest
from cranberryrelay.entry._exchange import (
    AnswerEvent,
    CompletedAnswer,
    FailedAnswer,
    TokenText,
)

PROBLEM_TYPE: Final = 'application/problem+json'
_STREAM_END: Final = b'data: [DONE]\n\n'


def make_reply_headers(
    instance: str, admitted: AdmittedRequest | None
) -> dict[str, str]:
    """Build the headers that are common to all responses."""
    headers = {'X-Instance': instance}
    if admitted is not None:
        headers['X-Request-Id'] = admitted.request_id_text
        headers['X-Release-Revision'] = str(admitted.notes.revision)
    return headers


def encode_problem(failure: Failure, headers: dict[str, str]) -> bytes:
    """Encode a failure as a problem document (RFC 9457)."""
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


def make_problem_response(
    failure: Failure, headers: dict[str, str]
) -> Response:
    """Build the response for a failed request."""
    entry = CODE_TABLE[failure.code]
    problem_headers = dict(headers)
    if entry.retry_after_seconds:
        problem_headers['Retry-After'] = str(entry.retry_after_seconds)
    return Response(
        encode_problem(failure, headers),
        status=entry.status,
        headers=problem_headers,
        content_type=PROBLEM_TYPE,
    )


def make_completion_response(
    ranked: RankedRequest,
    text: str,
    ended: CompletedAnswer,
    headers: dict[str, str],
) -> Response:
    """Build the response for a completed answer that is not streamed."""
    reason = _finish_reason(ranked, ended)
    choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
    if ranked.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    document = {
        **_make_document_head(ranked),
        'choices': [choice],
        'usage': {'completion_tokens': ended.token_count},
    }
    return Response(
        msgspec.json.encode(document),
        headers=headers,
        content_type='application/json',
    )


async def stream_events(
    ranked: RankedRequest,
    first: AnswerEvent,
    rest: AsyncIterator[AnswerEvent],
    headers: dict[str, str],
) -> AsyncIterator[bytes]:
    """Yield server-sent events; only a completed answer ends with [DONE]."""
    yield _encode_answer_event(ranked, first, headers)
    async for event in rest:
        yield _encode_answer_event(ranked, event, headers)


def _encode_answer_event(
    ranked: RankedRequest, event: AnswerEvent, headers: dict[str, str]
) -> bytes:
    if isinstance(event, TokenText):
        return _encode_event(_make_chunk(ranked, event.text, None))
    if isinstance(event, FailedAnswer):
        problem = encode_problem(event.failure, headers)
        return b'event: error\ndata: %b\n\n' % problem
    reason = _finish_reason(ranked, event)
    last = _encode_event(_make_chunk(ranked, '', reason))
    return b''.join((last, _STREAM_END))


def _finish_reason(ranked: RankedRequest, ended: CompletedAnswer) -> str:
    return 'length' if ended.token_count >= ranked.max_tokens else 'stop'


def _make_chunk(
    ranked: RankedRequest, text: str, finish_reason: str | None
) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
    if ranked.chat:
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    return {**_make_document_head(ranked), 'choices': [choice]}


def _make_document_head(ranked: RankedRequest) -> dict[str, Any]:
    admitted = ranked.identified.admitted
    object_type = 'chat.completion' if ranked.chat else 'text_completion'
    return {
        'id': admitted.request_id_text,
        'object': object_type,
        'model': ranked.kind.name,
        'created': int(admitted.request_id.admitted_at),
    }


def _encode_event(document: dict[str, Any]) -> bytes:
    return b'data: %b\n\n' % msgspec.json.encode(document)
