"""Decodes store records: the operator's configuration and the upstreams."""

from types import MappingProxyType
from typing import Annotated, Any, Final

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay import (
    ClientLimits,
    EngineTraits,
    KindRecord,
    Rank,
    RequestKind,
    Role,
    Route,
    RoutingTable,
    Service,
    ServiceShare,
    UnreadableValue,
    Upstream,
    make_routing_table,
)
from cranberryrelay.wire import INTEGER_MAX, find_fault, is_address

CONFIGURATION_KIND: Final = 'config'
CONFIGURATION_NAME: Final = 'main'
UPSTREAM_KIND: Final = 'servers'
_MS_PER_SECOND: Final = 1000.0
_REQUEST_KINDS: Final = MappingProxyType(
    {
        'safe': RequestKind.IDEMPOTENT,
        'unsafe': RequestKind.AT_MOST_ONCE,
        'streaming': RequestKind.STREAM,
    }
)
_ROLES_BY_STAGE: Final = MappingProxyType(
    {'prefill': Role.PREFILL, 'decode': Role.DECODE}
)
# Entries of all upstreams are sent to peers in one message.
_ENTRY_BYTES_LIMIT: Final = 16_384
_NAME_LIMIT: Final = 256
_Count = Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]
_KNOWN_STATES: Final = ('ready', 'draining')


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    # Which requests may be repeated: 'safe', 'unsafe' or 'streaming'.
    kind: str
    timeout_ms: float = 10_000
    target_latency_ms: float = 1000
    # Rank of the requests.
    priority: int = 1
    service: str = ''
    weighted_split: list[_Share] = []
    max_attempts: int = 1
    resumable: bool = False
    # Longest pause between events of a stream that is on time; 0 for none.
    gap_aim_ms: float = 0


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 1
    kv_capacity_tokens: int = 0
    # How long an engine keeps a transfer handle that is not used.
    handle_ttl_s: float = 5
    # Time during which a role change makes an engine unavailable.
    reconfig_s: float = 3


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Configuration(msgspec.Struct, frozen=True):
    # Revision of the release note.
    version: _Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


class _Entry(msgspec.Struct, frozen=True):
    service: str
    address: str
    # Failure domain.
    zone: str
    slots: _Count
    # 'ready' or 'draining'.
    state: str
    # Role of an engine; '' for a plain service.
    stage: str = ''
    # Start time in Unix milliseconds; 0 if unknown.
    born: _Count = 0
    # Version of the engine's software.
    version: str | int | float = ''
    # Number of the report, rising since the start.
    sequence: _Count = 0


def decode_configuration(value: Any) -> Result[RoutingTable, Failure]:
    """Decode a configuration into a routing table.

    The version becomes the revision; routes of an unknown kind are left out.
    Errors: ``NOTE_BAD_VALUE``.
    """
    fault = find_value_fault(value)
    if fault:
        return Err(fail(ResultCode.NOTE_BAD_VALUE, fault))
    try:
        configuration = msgspec.convert(value, _Configuration)
    except msgspec.ValidationError as error:
        return Err(fail(ResultCode.NOTE_BAD_VALUE, str(error)))
    limits = ClientLimits(
        header_bytes=configuration.limits.max_header_bytes,
        body_bytes=configuration.limits.max_body_bytes,
        header_seconds=configuration.limits.header_timeout_ms / _MS_PER_SECOND,
        idle_seconds=configuration.limits.idle_timeout_ms / _MS_PER_SECOND,
    )
    routes = [
        _to_route(route)
        for route in configuration.routes
        if route.kind in _REQUEST_KINDS
    ]
    services = [_to_service(service) for service in configuration.services]
    return Ok(
        make_routing_table(configuration.version, routes, services, limits)
    )


def decode_upstream(record: KindRecord) -> Result[Upstream, Failure]:
    """Decode the record of an upstream.

    Errors: ``UPSTREAM_ENTRY_FAULTY``.
    """
    fault = find_value_fault(record.value, _ENTRY_BYTES_LIMIT)
    if fault:
        return Err(fail(ResultCode.UPSTREAM_ENTRY_FAULTY, fault))
    try:
        entry = msgspec.convert(record.value, _Entry)
    except msgspec.ValidationError as error:
        return Err(fail(ResultCode.UPSTREAM_ENTRY_FAULTY, str(error)))
    fault = _find_entry_fault(record.name, entry)
    if fault:
        return Err(fail(ResultCode.UPSTREAM_ENTRY_FAULTY, fault))
    return Ok(
        Upstream(
            name=record.name,
            started_at_ms=entry.born,
            service=entry.service,
            address=entry.address,
            domain=entry.zone,
            slots=entry.slots,
            leaving=entry.state == 'draining',
            role=_ROLES_BY_STAGE.get(entry.stage, Role.PLAIN),
            report_number=entry.sequence,
            software_version=str(entry.version),
        )
    )


def _find_entry_fault(name: str, entry: _Entry) -> str:
    """Return why an entry names no upstream to use; '' if it does."""
    # The name is sent in a header of each request.
    if not name.isprintable() or len(name.strip()) != len(name):
        return 'the name does not fit a header'
    if not 0 < len(name) <= _NAME_LIMIT:
        return f'the name has {len(name)} characters'
    if entry.state not in _KNOWN_STATES:
        return f'invalid state {entry.state!r}'
    if not is_address(entry.address):
        return f'invalid address {entry.address!r}'
    if entry.stage and entry.stage not in _ROLES_BY_STAGE:
        return f'unknown stage {entry.stage!r}'
    return ''


def find_value_fault(value: Any, limit: int | None = None) -> str:
    """Return why a record's value must not be used; '' if it may be.

    ``limit`` is the number of bytes that it may take in a message to a peer.
    """
    if isinstance(value, UnreadableValue):
        return value.detail
    fault = find_fault(value)
    if fault or limit is None:
        return fault
    size = len(msgspec.msgpack.encode(value))
    return '' if size <= limit else f'the value has {size} bytes'


def _to_route(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(share.service, share.weight)
        for share in route.weighted_split
        if share.weight > 0
    )
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_REQUEST_KINDS[route.kind],
        timeout_seconds=route.timeout_ms / _MS_PER_SECOND,
        target_seconds=route.target_latency_ms / _MS_PER_SECOND,
        rank=Rank(min(max(route.priority, 0), max(Rank))),
        shares=shares or (ServiceShare(route.service, 1),),
        attempts_limit=max(route.max_attempts, 1),
        resumable=route.resumable,
        event_gap_target_seconds=route.gap_aim_ms / _MS_PER_SECOND,
    )


def _to_service(service: _Service) -> Service:
    traits = None if service.engine is None else _to_traits(service.engine)
    return Service(service.name, service.max_connections, traits)


def _to_traits(engine: _Engine) -> EngineTraits:
    return EngineTraits(
        slots=engine.slots,
        kv_capacity_tokens=engine.kv_capacity_tokens,
        handle_ttl_seconds=engine.handle_ttl_s,
        role_change_seconds=engine.reconfig_s,
    )
