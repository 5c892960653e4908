"""Parsing and validation of the text of a release note."""

import tomllib
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import ResultCode
from cranberryrelay.notes._schema import SECTIONS

NOTE_BYTES_LIMIT: Final = 262_144
_TOP_LEVEL_KEYS: Final = frozenset(('note', 'summary', 'set', 'withdrawn'))

# Fields of one record by name, as written in the release note.
RecordFields = dict[str, Any]


class NoteContent(NamedTuple):
    """What one release note adds, changes and withdraws."""

    # Name of the release note; at most one note of a name is in force.
    name: str

    # Purpose of the release note, as free text for operators.
    summary: str

    # Fields of added or changed records by record key, such as
    # 'models.digest'.
    added: dict[str, RecordFields]

    # Keys of the records that the release note removes.
    withdrawn: tuple[str, ...]


class NoteFault(NamedTuple):
    """An error in the text of a release note."""

    # Result code that classifies the error.
    code: ResultCode

    # Line in the text, from 1; 0 if the error has no single line.
    line: int

    # Dotted key of the faulty entry.
    key: str

    # What is wrong and how to correct it.
    detail: str


def parse_release_note(text: str) -> Result[NoteContent, list[NoteFault]]:
    """Parse and validate the text of a release note.

    Returns the content, or all errors found, each with its line and key.
    """
    if len(text.encode()) > NOTE_BYTES_LIMIT:
        detail = f'the release note may have {NOTE_BYTES_LIMIT} bytes at most'
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
    for key in document.keys() - _TOP_LEVEL_KEYS:
        yield _make_fault(
            ResultCode.NOTE_UNKNOWN_KEY, text, key, 'unknown key: remove it'
        )
    name = document.get('note')
    if not isinstance(name, str) or not name:
        detail = 'must be a non-empty string'
        yield _make_fault(ResultCode.NOTE_BAD_VALUE, text, 'note', detail)
    yield from _find_withdrawn_faults(document, text)
    sections = document.get('set', {})
    if not isinstance(sections, dict):
        detail = 'must be a table of sections'
        yield _make_fault(ResultCode.NOTE_BAD_VALUE, text, 'set', detail)
        return
    for section, entries in sections.items():
        yield from _find_section_faults(section, entries, text)


def _find_withdrawn_faults(
    document: Mapping[str, Any], text: str
) -> Iterator[NoteFault]:
    keys = document.get('withdrawn', [])
    if not isinstance(keys, list):
        detail = 'must be a list of record keys'
        yield _make_fault(ResultCode.NOTE_BAD_VALUE, text, 'withdrawn', detail)
        return
    for key in keys:
        section, _, name = str(key).partition('.')
        if section not in SECTIONS or not name:
            detail = f'{key} is not a record key such as models.NAME'
            yield _make_fault(
                ResultCode.NOTE_BAD_VALUE, text, 'withdrawn', detail
            )


def _find_section_faults(
    section: str, entries: Any, text: str
) -> Iterator[NoteFault]:
    key = f'set.{section}'
    if section not in SECTIONS:
        detail = f'unknown section: use one of {", ".join(SECTIONS)}'
        yield _make_fault(ResultCode.NOTE_UNKNOWN_KEY, text, key, detail)
        return
    if not isinstance(entries, dict):
        detail = 'must be a table of records'
        yield _make_fault(ResultCode.NOTE_BAD_VALUE, text, key, detail)
        return
    for name, fields in entries.items():
        yield from _find_record_faults(f'{key}.{name}', section, fields, text)


def _find_record_faults(
    key: str, section: str, fields: Any, text: str
) -> Iterator[NoteFault]:
    schema = SECTIONS[section]
    if isinstance(fields, dict):
        for field in fields.keys() - schema.__annotations__.keys():
            field_key = f'{key}.{field}'
            yield _make_fault(
                ResultCode.NOTE_UNKNOWN_KEY,
                text,
                field_key,
                'unknown key: remove it',
            )
    try:
        msgspec.convert(fields, schema)
    except msgspec.ValidationError as error:
        yield _make_fault(ResultCode.NOTE_BAD_VALUE, text, key, str(error))
    else:
        yield from _find_range_faults(key, section, fields, text)


def _find_range_faults(
    key: str, section: str, fields: Mapping[str, Any], text: str
) -> Iterator[NoteFault]:
    if section != 'ranks':
        return
    if fields['level'] not in {1, 2, 3}:
        detail = 'must be 1, 2 or 3'
        level_key = f'{key}.level'
        yield _make_fault(ResultCode.NOTE_BAD_VALUE, text, level_key, detail)
    for field in ('floor', 'ceiling'):
        if not 0 <= fields.get(field, 0) <= 1:
            field_key = f'{key}.{field}'
            yield _make_fault(
                ResultCode.NOTE_BAD_VALUE,
                text,
                field_key,
                'must be from 0 to 1',
            )


def _make_fault(
    code: ResultCode, text: str, key: str, detail: str
) -> NoteFault:
    return NoteFault(code, locate_line(text, key), key, detail)


def locate_line(text: str, key: str) -> int:
    """Return the line, from 1, that sets a dotted key; 0 if none does.

    The key of a table is found at its header.
    """
    table_key, _, field_name = key.rpartition('.')
    current_table = ''
    header_line = 0
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith('['):
            current_table = stripped.strip('[]').replace('"', '')
            if current_table == key:
                header_line = number
            continue
        assigned = stripped.partition('=')[0].strip().strip('"')
        if assigned == field_name and current_table == table_key:
            return number
    return header_line
