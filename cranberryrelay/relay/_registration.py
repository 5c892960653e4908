"""Makes an instance known to the others."""

import logging
from collections.abc import Iterator
from typing import Final, TypedDict

import msgspec
from result import Err

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay._peers import PeerTalk
from cranberryrelay.relay._records import KindRecord, RecordStore
from cranberryrelay.relay._roster import Place

INSTANCE_KIND: Final = 'relay-instances'
REGISTER_PAUSE_SECONDS: Final = 0.5
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class PlaceFields(TypedDict):
    """Value of the record that makes an instance known."""

    # 'IP:port' of its messages to other instances.
    address: str

    # Its failure domain.
    domain: str


async def register(store: RecordStore, talk: PeerTalk) -> None:
    """Make the instance known in the store and greet those known there."""
    settings = talk.state.settings
    for ip in settings.seed_ips:
        address = f'{ip}:{settings.peer_port}'
        talk.greet(address, address)
    value = PlaceFields(address=talk.place.address, domain=talk.place.domain)
    while True:
        created = await store.create(INSTANCE_KIND, talk.name, value)
        if not isinstance(created, Err):
            break
        if created.unwrap_err().code is ResultCode.STORE_CONFLICT:
            break
        await talk.timers.pause(REGISTER_PAUSE_SECONDS)
    while True:
        listed = await store.list_kind(INSTANCE_KIND)
        if not isinstance(listed, Err):
            break
        await talk.timers.pause(REGISTER_PAUSE_SECONDS)
    greet_listed(talk, dict(_read_places(listed.unwrap().records)))


def greet_listed(talk: PeerTalk, listed: dict[str, Place]) -> None:
    """Greet those that the store names and that are to know this instance.

    In a large fleet these are the hubs, and those that this instance would
    speak for if it became one.
    """
    talk.note_told(listed)
    roster = talk.roster
    names = set(listed)
    if roster.grouped:
        now = talk.timers.now()
        names = {
            *roster.later_names(),
            *roster.line(roster.domain, now),
            *roster.other_hubs(now),
        }
    for name in names - {talk.name}:
        talk.greet(name, listed[name].address, not roster.grouped)


def _read_places(
    records: tuple[KindRecord, ...],
) -> Iterator[tuple[str, Place]]:
    """Yield the instances that the store names; skip what names none."""
    for record in records:
        try:
            fields = msgspec.convert(record.value, PlaceFields)
        except msgspec.ValidationError as error:
            _LOG.warning(
                'record names no instance',
                extra={'record': record.name, 'detail': str(error)},
            )
            continue
        yield record.name, Place(**fields)
