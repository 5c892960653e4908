"""Splits JSON documents into their parts without decoding these.

A decoder rejects a whole document for one value that it cannot read. A document
that is split first loses only that value. The text between brackets, commas and
strings is not looked at, and nesting takes no stack.
"""

import re
from collections.abc import Iterator
from itertools import pairwise
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail

# A string, a comma, or a run of brackets: opening ones with the names between
# them, or closing ones. Runs keep deep nesting from being many tokens.
_TOKEN: Final = re.compile(
    rb"""
    (?P<opening> (?: [\[{] (?: \s* "[^"\\\[\]{}]*" \s* : )? \s* )+ )
    | (?P<closing> [\]}]+ )
    | (?P<comma> , )
    | "[^"\\]* (?: \\. [^"\\]* )* "
    """,
    flags=re.DOTALL | re.VERBOSE,
)
_MEMBER: Final = re.compile(
    rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:(.*)', flags=re.DOTALL
)


def decode_json(content: bytes, schema: Any) -> Result[Any, Failure]:
    """Decode a JSON document from outside; errors: ``FRAME_MALFORMED``."""
    try:
        return Ok(msgspec.json.decode(content, type=schema))
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        return Err(fail(ResultCode.FRAME_MALFORMED, str(error)))


def split_elements(document: bytes) -> Iterator[bytes]:
    """Yield the texts of an array's elements."""
    return (content for content in _split(document) if content.strip())


def split_members(document: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield names and texts of an object's members, if the name is readable."""
    for content in _split(document):
        member = _MEMBER.match(content)
        name = member and decode_json(member.group(1), str).ok()
        if member and name is not None:
            yield name, member.group(2)


def find_member(document: bytes, wanted: str) -> bytes:
    """Return the text of an object's first member of a name; b'' for none."""
    found = (text for name, text in split_members(document) if name == wanted)
    return next(found, b'')


def _split(document: bytes) -> Iterator[bytes]:
    """Yield the texts between the commas of the outermost brackets."""
    for start, end in pairwise(_find_boundaries(document)):
        yield document[start + 1 : end]


def _find_boundaries(document: bytes) -> Iterator[int]:
    """Yield the offsets of the outermost brackets and of their commas."""
    yield len(document) - len(document.lstrip())
    depth = 0
    for token in _TOKEN.finditer(document):
        run = token.group()
        if token.lastgroup == 'opening':
            depth += run.count(b'[') + run.count(b'{')
        elif token.lastgroup == 'closing':
            depth -= len(run)
            if depth <= 0:
                yield token.end() + depth - 1
                return
        elif depth == 1 and token.lastgroup == 'comma':
            yield token.start()
