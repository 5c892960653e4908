"""Decodes the documents of the target platform's store.

Any writer may have made a record. One that cannot be read is passed on with an
``UnreadableValue`` at its position, and costs no other record.
"""

import logging
from collections.abc import Iterable, Iterator
from functools import partial
from typing import Annotated, Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.platform._json_parts import (
    decode_json,
    find_member,
    split_elements,
    split_members,
)
from cranberryrelay.relay import (
    KindRecord,
    RecordChange,
    StorePosition,
    UnreadableValue,
)
from cranberryrelay.wire import INTEGER_MAX

_LOG: Final = logging.getLogger('cranberryrelay.relay')
_Revision = Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    # Revision of the store at the last write of the record.
    revision: _Revision = 0


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    # Value of the record; ``status`` is used if it is absent.
    spec: Any = None
    status: Any = None


class _Page(msgspec.Struct, frozen=True):
    items: list[_Object]
    store_revision: _Revision
    truncated: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    removed: bool = False


class _Events(msgspec.Struct, frozen=True):
    events: list[_Event]
    store_revision: _Revision


class StoreAnswer(NamedTuple):
    """A successful answer of the store."""

    # Era of the store in which it was given.
    era: int

    # Body of the answer.
    body: bytes


class StorePage(NamedTuple):
    """A page of a listing."""

    # The records of the page, in the order of their names.
    records: tuple[KindRecord, ...]

    # State of the store at which the page was made.
    position: StorePosition

    # Whether more records follow.
    truncated: bool


def decode_page(answer: StoreAnswer) -> Result[StorePage, Failure]:
    """Decode a page of a listing; errors: ``FRAME_MALFORMED``."""
    decoded = decode_json(answer.body, _Page)
    if isinstance(decoded, Err):
        decoded = _decode_page_parts(answer.body)
    return decoded.map(partial(_to_page, answer.era))


def decode_change(answer: StoreAnswer) -> Result[RecordChange, Failure]:
    """Decode the answer to a watch; errors: ``FRAME_MALFORMED``."""
    decoded = decode_json(answer.body, _Events)
    if isinstance(decoded, Err):
        decoded = _decode_events_parts(answer.body)
    return decoded.map(partial(_to_change, answer.era))


def decode_record(answer: StoreAnswer) -> Result[KindRecord, Failure]:
    """Decode one record; errors: ``FRAME_MALFORMED`` if it has no name."""
    found = _decode_object(answer.body, 0)
    return found.map(lambda stored: _to_record(stored, answer.era))


def _to_page(era: int, page: _Page) -> StorePage:
    return StorePage(
        records=tuple(_to_record(one, era) for one in page.items),
        position=StorePosition(era, page.store_revision),
        truncated=page.truncated,
    )


def _to_change(era: int, answer: _Events) -> RecordChange:
    changed = [event.object for event in answer.events if not event.removed]
    # Of several events of a record the last one tells whether it exists.
    is_removed = {
        event.object.metadata.name: event.removed for event in answer.events
    }
    return RecordChange(
        changed=tuple(_to_record(one, era) for one in changed),
        removed=tuple(name for name, gone in is_removed.items() if gone),
        position=StorePosition(era, answer.store_revision),
    )


def _to_record(stored: _Object, era: int) -> KindRecord:
    metadata = stored.metadata
    value = stored.status if stored.spec is None else stored.spec
    position = StorePosition(era, metadata.revision)
    return KindRecord(metadata.name, position, value)


def _decode_page_parts(body: bytes) -> Result[_Page, Failure]:
    members = dict(split_members(body))
    revision = _decode_revision(members, 'items')
    truncated = decode_json(members.get('truncated', b'false'), bool)
    if isinstance(revision, Err) or isinstance(truncated, Err):
        return revision.and_then(lambda _: truncated)
    latest: int = revision.unwrap()
    items = _drop_nameless(
        _decode_object(one, latest) for one in split_elements(members['items'])
    )
    return Ok(_Page(list(items), latest, truncated=truncated.unwrap()))


def _decode_events_parts(body: bytes) -> Result[_Events, Failure]:
    members = dict(split_members(body))
    revision = _decode_revision(members, 'events')
    if isinstance(revision, Err):
        return revision
    latest: int = revision.unwrap()
    events = _drop_nameless(
        _decode_event(one, latest) for one in split_elements(members['events'])
    )
    return Ok(_Events(list(events), latest))


def _decode_revision(
    members: dict[str, bytes], wanted: str
) -> Result[int, Failure]:
    """Return the store's revision of an answer that has a wanted member."""
    if wanted not in members:
        return Err(fail(ResultCode.FRAME_MALFORMED, f'there is no {wanted}'))
    return decode_json(members.get('store_revision', b''), _Revision)


def _decode_event(body: bytes, latest: int) -> Result[_Event, Failure]:
    removed = decode_json(find_member(body, 'removed'), bool)
    decoded = _decode_object(find_member(body, 'object'), latest)
    return decoded.map(
        lambda stored: _Event(stored, removed=removed.unwrap_or(False))
    )


def _decode_object(body: bytes, latest: int) -> Result[_Object, Failure]:
    """Decode an object; one that cannot be read has an ``UnreadableValue``.

    One without a readable revision changed at the latest one or before.
    Errors: ``FRAME_MALFORMED`` if its name cannot be read.
    """
    decoded = decode_json(body, _Object)
    if not isinstance(decoded, Err):
        return decoded
    detail = decoded.unwrap_err().detail
    metadata = find_member(body, 'metadata')
    revision = decode_json(find_member(metadata, 'revision'), _Revision)
    name = decode_json(find_member(metadata, 'name'), str)
    return name.map(
        lambda known: _Object(
            _Metadata(known, revision.unwrap_or(latest)),
            UnreadableValue(detail),
        )
    )


def _drop_nameless(decoded: Iterable[Result[Any, Failure]]) -> Iterator[Any]:
    """Yield what was decoded; log how many records have no name."""
    nameless = 0
    for one in decoded:
        if isinstance(one, Err):
            nameless += 1
        else:
            yield one.unwrap()
    if nameless:
        _LOG.warning('store records without a name', extra={'count': nameless})
