"""Registers an instance in the store and introduces it to the others."""

import logging
from collections.abc import Iterator
from typing import Final, TypedDict

import msgspec
from result import Err

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay._hashing import hash_to_unit_interval
from cranberryrelay.relay._membership import InstanceLocation
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay._records import (
    STORE_ORIGIN,
    KindListing,
    KindRecord,
    RecordStore,
)
from cranberryrelay.wire import is_address

INSTANCE_KIND: Final = 'relay-instances'
REGISTER_RETRY_SECONDS: Final = 0.5

# Interval at which the era of the store is compared with that of the record.
ERA_CHECK_SECONDS: Final = 0.5

# Rate at which all instances together register in a new era, a part of the
# store's write rate.
REGISTRATIONS_PER_SECOND: Final = 100.0
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class LocationFields(TypedDict):
    """Value of the record that registers an instance."""

    # 'IP:port' for messages between instances.
    address: str

    # Its failure domain.
    domain: str


async def keep_registered(store: RecordStore, protocol: PeerProtocol) -> None:
    """Register the instance, introduce it, and register it in later eras.

    A store that is restored from an older copy may have lost the record.
    """
    settings = protocol.state.settings
    for ip in settings.seed_ips:
        address = f'{ip}:{settings.peer_port}'
        protocol.send_hello(address, address)
    await _create_record(store, protocol)
    listed = await _list_instances(store, protocol)
    locations = dict(read_locations(listed.records))
    send_hello_to_listed(protocol, locations)
    protocol.state.start_check.expect_peers(
        frozenset(locations) - {protocol.name}
    )
    registered_in = (
        listed.position if protocol.name in locations else STORE_ORIGIN
    )
    era = registered_in.era
    async for _ in protocol.timers.subscribe(ERA_CHECK_SECONDS):
        known_era = protocol.store_replica.known_era()
        if known_era > era:
            instances = protocol.state.live_instances
            spread_seconds = instances / REGISTRATIONS_PER_SECOND
            share = hash_to_unit_interval(protocol.name)
            await protocol.timers.pause(share * spread_seconds)
            await _create_record(store, protocol)
            _LOG.info('registered in a later era', extra={'era': known_era})
            era = known_era


async def _create_record(store: RecordStore, protocol: PeerProtocol) -> None:
    value = LocationFields(
        address=protocol.location.address, domain=protocol.location.domain
    )
    while True:
        created = await store.create(INSTANCE_KIND, protocol.name, value)
        if not isinstance(created, Err):
            return
        if created.unwrap_err().code is ResultCode.STORE_CONFLICT:
            return
        await protocol.timers.pause(REGISTER_RETRY_SECONDS)


async def _list_instances(
    store: RecordStore, protocol: PeerProtocol
) -> KindListing:
    while True:
        listed = await store.list_kind(INSTANCE_KIND)
        if not isinstance(listed, Err):
            return listed.unwrap()
        await protocol.timers.pause(REGISTER_RETRY_SECONDS)


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


def read_locations(
    records: tuple[KindRecord, ...],
) -> Iterator[tuple[str, InstanceLocation]]:
    """Yield the instances listed in the store; skip invalid records."""
    for record in records:
        detail = ''
        try:
            fields = msgspec.convert(record.value, LocationFields)
        except msgspec.ValidationError as error:
            detail = str(error)
        else:
            if not is_address(fields['address']):
                detail = f'invalid address {fields["address"]!r}'
        if detail:
            _LOG.warning(
                'invalid instance record',
                extra={'record': record.name, 'detail': detail},
            )
        else:
            yield record.name, InstanceLocation(**fields)
