"""A release note: its text, its typed content and the checks on it."""

import tomllib
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import ResultCode
from cranberryrelay.notes._schema import SECTIONS

NOTE_BYTES_LIMIT: Final = 262_144
_TOP_KEYS: Final = frozenset(('note', 'summary', 'set', 'withdrawn'))

# The fields of one record, as the release note gives them.
RecordFields = dict[str, Any]


class NoteContent(NamedTuple):
    """What one release note adds, changes and withdraws."""

    # Name of the release note; one of each name is in force at most.
    name: str

    # What the release note is for, for people.
    summary: str

    # Fields by record key, such as 'models.digest'.
    added: dict[str, RecordFields]

    # Keys of the records that this release note takes away.
    withdrawn: tuple[str, ...]


class NoteFault(NamedTuple):
    """A fault in a release note's text."""

    # The numbered code.
    code: ResultCode

    # Line in the text, from 1; 0 when the fault is in no single line.
    line: int

    # Dotted key of the faulty entry.
    key: str

    # What was wrong and what to do instead.
    detail: str


def parse_release_note(text: str) -> Result[NoteContent, list[NoteFault]]:
    """Parse and check the text of a release note.

    Returns the content, or every fault found with its line and key.
    """
    if len(text.encode()) > NOTE_BYTES_LIMIT:
        detail = f'keep the release note under {NOTE_BYTES_LIMIT} bytes'
        return Err([NoteFault(ResultCode.NOTE_TOO_LARGE, 0, '', detail)])
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = NoteFault(ResultCode.NOTE_SYNTAX, 0, '', str(error))
        return Err([fault])
    faults = list(_find_faults(document, text))
    if faults:
        return Err(faults)
    return Ok(_build_content(document))


def _build_content(document: Mapping[str, Any]) -> NoteContent:
    added = {
        f'{section}.{name}': fields
        for section, entries in document.get('set', {}).items()
        for name, fields in entries.items()
    }
    return NoteContent(
        name=document['note'],
        summary=document.get('summary', ''),
        added=added,
        withdrawn=tuple(document.get('withdrawn', ())),
    )


def _find_faults(document: Mapping[str, Any], text: str) -> Iterator[NoteFault]:
    for key in document.keys() - _TOP_KEYS:
        yield _fault(ResultCode.NOTE_UNKNOWN_KEY, text, key, 'remove it')
    name = document.get('note')
    if not isinstance(name, str) or not name:
        detail = 'give the release note a name'
        yield _fault(ResultCode.NOTE_BAD_VALUE, text, 'note', detail)
    yield from _find_withdrawn_faults(document, text)
    sections = document.get('set', {})
    if not isinstance(sections, dict):
        detail = 'make it a table of sections'
        yield _fault(ResultCode.NOTE_BAD_VALUE, text, 'set', detail)
        return
    for section, entries in sections.items():
        yield from _find_section_faults(section, entries, text)


def _find_withdrawn_faults(
    document: Mapping[str, Any], text: str
) -> Iterator[NoteFault]:
    keys = document.get('withdrawn', [])
    if not isinstance(keys, list):
        detail = 'make it a list of record keys'
        yield _fault(ResultCode.NOTE_BAD_VALUE, text, 'withdrawn', detail)
        return
    for key in keys:
        section, _, name = str(key).partition('.')
        if section not in SECTIONS or not name:
            detail = f'{key} is no record key such as models.NAME'
            yield _fault(ResultCode.NOTE_BAD_VALUE, text, 'withdrawn', detail)


def _find_section_faults(
    section: str, entries: Any, text: str
) -> Iterator[NoteFault]:
    key = f'set.{section}'
    if section not in SECTIONS:
        detail = f'use one of {", ".join(SECTIONS)}'
        yield _fault(ResultCode.NOTE_UNKNOWN_KEY, text, key, detail)
        return
    if not isinstance(entries, dict):
        detail = 'make it a table of records'
        yield _fault(ResultCode.NOTE_BAD_VALUE, text, key, detail)
        return
    for name, fields in entries.items():
        yield from _find_record_faults(f'{key}.{name}', section, fields, text)


def _find_record_faults(
    key: str, section: str, fields: Any, text: str
) -> Iterator[NoteFault]:
    schema = SECTIONS[section]
    if isinstance(fields, dict):
        for field in fields.keys() - schema.__annotations__.keys():
            unknown = f'{key}.{field}'
            yield _fault(
                ResultCode.NOTE_UNKNOWN_KEY, text, unknown, 'remove it'
            )
    try:
        msgspec.convert(fields, schema)
    except msgspec.ValidationError as error:
        yield _fault(ResultCode.NOTE_BAD_VALUE, text, key, str(error))
    else:
        yield from _find_range_faults(key, section, fields, text)


def _find_range_faults(
    key: str, section: str, fields: Mapping[str, Any], text: str
) -> Iterator[NoteFault]:
    if section != 'ranks':
        return
    if fields['level'] not in {1, 2, 3}:
        detail = 'use 1, 2 or 3'
        level_key = f'{key}.level'
        yield _fault(ResultCode.NOTE_BAD_VALUE, text, level_key, detail)
    for field in ('floor', 'ceiling'):
        if not 0 <= fields.get(field, 0) <= 1:
            part_key = f'{key}.{field}'
            yield _fault(
                ResultCode.NOTE_BAD_VALUE, text, part_key, 'use 0 to 1'
            )


def _fault(code: ResultCode, text: str, key: str, detail: str) -> NoteFault:
    return NoteFault(code, locate_line(text, key), key, detail)


def locate_line(text: str, key: str) -> int:
    """Find the line, from 1, that holds a dotted key; 0 if none does."""
    head, _, last = key.rpartition('.')
    table = ''
    best = 0
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith('['):
            table = stripped.strip('[]').replace('"', '')
            if table == key:
                best = number
            continue
        field = stripped.partition('=')[0].strip().strip('"')
        if field == last and table == head:
            return number
    return best
