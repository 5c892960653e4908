"""Parses requests for model work and assigns their kind of work and rank."""

from typing import Any, Final, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry._context import IdentifiedRequest, RankedRequest

DEFAULT_TOKENS: Final = 64
CHAT_PATH: Final = '/v1/chat/completions'


class ChatMessage(TypedDict):
    """A message of a chat."""

    # Role of the author, such as 'user'.
    role: str

    # Text of the message.
    content: str


class CompletionBody(TypedDict):
    """The body of a completion or chat completion."""

    # Name of a kind of work in the note in force.
    model: str

    # The prompt of a completion.
    prompt: NotRequired[str]

    # The messages of a chat completion.
    messages: NotRequired[list[ChatMessage]]

    # Maximum number of output tokens.
    max_tokens: NotRequired[int]

    # True to stream tokens as they are generated.
    stream: NotRequired[bool]


def assign_rank(
    identified: IdentifiedRequest,
) -> Result[RankedRequest, Failure]:
    """Look up the kind of work and its rank; callers can not choose a rank.

    Errors: ``REQUEST_MALFORMED``, ``KIND_UNKNOWN``, ``KIND_NOT_ALLOWED``.
    """
    incoming = identified.admitted.incoming
    try:
        body: Any = msgspec.json.decode(incoming.body, type=CompletionBody)
    except msgspec.MsgspecError as error:
        return Err(fail(ResultCode.REQUEST_MALFORMED, str(error)))
    chat = incoming.path == CHAT_PATH
    prompt = _read_prompt(body, chat=chat)
    if not prompt:
        needed = 'messages' if chat else 'prompt'
        return Err(
            fail(ResultCode.REQUEST_MALFORMED, f'{needed} is missing or empty')
        )
    notes = identified.admitted.notes
    kind = notes.kinds.get(body['model'])
    if kind is None:
        detail = f'unknown model; use one of {", ".join(sorted(notes.kinds))}'
        return Err(fail(ResultCode.KIND_UNKNOWN, detail))
    caller = identified.caller
    if kind.name not in caller.kinds:
        detail = f'caller {caller.name} may not use model {kind.name}'
        return Err(fail(ResultCode.KIND_NOT_ALLOWED, detail))
    max_tokens = min(
        body.get('max_tokens', DEFAULT_TOKENS), kind.max_output_tokens
    )
    if max_tokens < 1:
        return Err(
            fail(ResultCode.REQUEST_MALFORMED, 'max_tokens must be at least 1')
        )
    ranked = RankedRequest(
        identified=identified,
        kind=kind,
        rank=notes.ranks[caller.rank_overrides.get(kind.name, kind.rank)],
        prompt=prompt,
        max_tokens=max_tokens,
        stream=body.get('stream', False),
        chat=chat,
    )
    return Ok(ranked)


def _read_prompt(body: CompletionBody, *, chat: bool) -> str:
    if not chat:
        return body.get('prompt', '')
    return '\n'.join(
        f'{message["role"]}: {message["content"]}'
        for message in body.get('messages', [])
    )
