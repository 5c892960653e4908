"""The filter that finds the kind of work and its rank in the note."""

from typing import Any, Final, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.entry._context import Identified, Ranked

DEFAULT_TOKENS: Final = 64
CHAT_PATH: Final = '/v1/chat/completions'


class ChatMessage(TypedDict):
    """A message of a chat."""

    # Who speaks.
    role: str

    # What is said.
    content: str


class CompletionBody(TypedDict):
    """The body of a completion or chat completion."""

    # Kind of work of the note in force.
    model: str

    # The prompt of a completion.
    prompt: NotRequired[str]

    # The messages of a chat completion.
    messages: NotRequired[list[ChatMessage]]

    # Tokens wanted at most.
    max_tokens: NotRequired[int]

    # True to send tokens as they come.
    stream: NotRequired[bool]


def rank(identified: Identified) -> Result[Ranked, Failure]:
    """Find the kind of work and its rank; the caller can not choose it.

    Errors: ``REQUEST_MALFORMED``, ``KIND_UNKNOWN``, ``KIND_NOT_ALLOWED``.
    """
    incoming = identified.pinned.incoming
    try:
        body: Any = msgspec.json.decode(incoming.body, type=CompletionBody)
    except msgspec.MsgspecError as error:
        return Err(fail(ResultCode.REQUEST_MALFORMED, str(error)))
    chat = incoming.path == CHAT_PATH
    prompt = _read_prompt(body, chat=chat)
    if not prompt:
        needed = 'messages' if chat else 'prompt'
        return Err(fail(ResultCode.REQUEST_MALFORMED, f'send {needed}'))
    notes = identified.pinned.notes
    kind = notes.kinds.get(body['model'])
    if kind is None:
        detail = f'use one of {", ".join(sorted(notes.kinds))} as the model'
        return Err(fail(ResultCode.KIND_UNKNOWN, detail))
    caller = identified.caller
    if kind.name not in caller.kinds:
        detail = f'{caller.name} may not use {kind.name}'
        return Err(fail(ResultCode.KIND_NOT_ALLOWED, detail))
    tokens = min(body.get('max_tokens', DEFAULT_TOKENS), kind.max_output_tokens)
    if tokens < 1:
        return Err(fail(ResultCode.REQUEST_MALFORMED, 'max_tokens below 1'))
    ranked = Ranked(
        identified=identified,
        kind=kind,
        rank=notes.ranks[caller.ranks.get(kind.name, kind.rank)],
        prompt=prompt,
        tokens=tokens,
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
