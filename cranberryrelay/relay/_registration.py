"""Registers an instance in the store and introduces it to the others."""

import logging
from collections.abc import Iterator
from typing import Final, TypedDict

import msgspec
from result import Err

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay._membership import InstanceLocation
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay._records import KindRecord, RecordStore

INSTANCE_KIND: Final = 'relay-instances'
REGISTER_RETRY_SECONDS: Final = 0.5
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class LocationFields(TypedDict):
    """Value of the record that registers an instance."""

    # 'IP:port' for messages between instances.
    address: str

    # Its failure domain.
    domain: str


async def register(store: RecordStore, protocol: PeerProtocol) -> None:
    """Register the instance in the store and introduce it to those listed."""
    settings = protocol.state.settings
    for ip in settings.seed_ips:
        address = f'{ip}:{settings.peer_port}'
        protocol.send_hello(address, address)
    value = LocationFields(
        address=protocol.location.address, domain=protocol.location.domain
    )
    while True:
        created = await store.create(INSTANCE_KIND, protocol.name, value)
        if not isinstance(created, Err):
            break
        if created.unwrap_err().code is ResultCode.STORE_CONFLICT:
            break
        await protocol.timers.pause(REGISTER_RETRY_SECONDS)
    while True:
        listed = await store.list_kind(INSTANCE_KIND)
        if not isinstance(listed, Err):
            break
        await protocol.timers.pause(REGISTER_RETRY_SECONDS)
    send_hello_to_listed(
        protocol, dict(_read_locations(listed.unwrap().records))
    )


def send_hello_to_listed(
    protocol: PeerProtocol, listed: dict[str, InstanceLocation]
) -> None:
    """Introduce this instance to the listed ones that need to know it.

    In a large fleet, these are the hubs and the members that this instance
    would have if it became a hub.
    """
    protocol.add_peers(listed)
    membership = protocol.membership
    names = set(listed)
    if membership.uses_hubs:
        now = protocol.timers.now()
        names = {
            *membership.successor_names(),
            *membership.hub_candidates(membership.domain, now),
            *membership.other_hub_candidates(now),
        }
    for name in names - {protocol.name}:
        protocol.send_hello(
            name, listed[name].address, not membership.uses_hubs
        )


def _read_locations(
    records: tuple[KindRecord, ...],
) -> Iterator[tuple[str, InstanceLocation]]:
    """Yield the instances listed in the store; skip invalid records."""
    for record in records:
        try:
            fields = msgspec.convert(record.value, LocationFields)
        except msgspec.ValidationError as error:
            _LOG.warning(
                'invalid instance record',
                extra={'record': record.name, 'detail': str(error)},
            )
            continue
        yield record.name, InstanceLocation(**fields)
