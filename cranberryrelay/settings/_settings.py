"""Loads TOML settings files and checks them before a program starts."""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from cranberryrelay.agreement import UpstreamSetting
from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.platform import ListedInstance
from cranberryrelay.wire import CurveKeys


class PeerFields(TypedDict):
    """Settings of one instance of the deployment."""

    # Name of the instance.
    instance: str

    # Name of the instance's failure domain.
    domain: str

    # 'IP:port' of the instance's steward.
    address: str


class UpstreamFields(TypedDict):
    """Settings of one upstream of the deployment."""

    # Name of the upstream.
    name: str

    # Type of the upstream: 'engine' or 'service'.
    sort: str

    # Cell that an engine belongs to, or the name of the service.
    cell: str

    # 'IP:port' of the upstream.
    address: str

    # Name of the upstream's failure domain.
    domain: NotRequired[str]

    # True if the upstream rejects orders with an old fencing token.
    checks_fencing: NotRequired[bool]


class KeyFields(TypedDict):
    """CURVE keys of the deployment, in Z85."""

    # Public key that all instances share.
    public: str

    # Matching secret key.
    secret: str


class SettingsFields(TypedDict):
    """The settings file of one instance."""

    # Name of this instance; must be listed under peers.
    instance: str

    # URL of the platform's object API.
    platform: str

    # 'IP:port' on which the entry listens for callers.
    entry_address: NotRequired[str]

    # 'IP:port' on which the steward serves metrics; empty for none.
    steward_metrics_address: NotRequired[str]

    # Names of the deployment's failure domains.
    domains: list[str]

    # Instances known at startup, including this one.
    peers: list[PeerFields]

    # Engines and services of the deployment.
    upstreams: list[UpstreamFields]

    # CURVE keys; without them peers are not authenticated.
    keys: NotRequired[KeyFields]

    # Requests that an engine runs concurrently.
    engine_slots: NotRequired[int]


DEFAULT_ENTRY_ADDRESS: Final = '127.0.0.1:8080'
DEFAULT_METRICS_ADDRESS: Final = ''
DEFAULT_ENGINE_SLOTS: Final = 16
_PORT_LIMIT: Final = 65_535


class Settings(NamedTuple):
    """Checked settings of one instance."""

    # Name, failure domain and steward address of this instance.
    own_instance: ListedInstance

    # URL of the platform's object API.
    platform: str

    # 'IP:port' on which the entry listens for callers.
    entry_address: str

    # 'IP:port' on which the steward serves metrics; empty for none.
    steward_metrics_address: str

    # Names of the deployment's failure domains.
    domains: tuple[str, ...]

    # Instances known at startup, including this one.
    peers: tuple[ListedInstance, ...]

    # Engines and services of the deployment.
    upstreams: tuple[UpstreamSetting, ...]

    # CURVE keys; empty if peers are not authenticated.
    keys: CurveKeys

    # Requests that an engine runs concurrently.
    engine_slots: int


class SettingsFault(NamedTuple):
    """A fault in a settings file."""

    # Dotted key of the faulty setting.
    key: str

    # What is wrong with the value and how to fix it.
    detail: str


def load_settings(path: str) -> Result[Settings, list[Failure]]:
    """Load and check a settings file.

    Returns ``SETTINGS_UNREADABLE``, or one ``SETTINGS_INVALID`` per fault.
    """
    try:
        text = Path(path).read_text()
    except OSError as error:
        return Err([fail(ResultCode.SETTINGS_UNREADABLE, str(error))])
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, list[Failure]]:
    """Parse and check the text of a settings file.

    Returns the same failures as ``load_settings``.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([fail(ResultCode.SETTINGS_UNREADABLE, str(error))])
    faults = list(find_settings_faults(document))
    if faults:
        return Err(
            [
                fail(
                    ResultCode.SETTINGS_INVALID, f'{fault.key}: {fault.detail}'
                )
                for fault in faults
            ]
        )
    return Ok(_build_settings(document))


def find_settings_faults(document: dict[str, Any]) -> Iterator[SettingsFault]:
    """Yield every fault of a parsed settings file."""
    yield from _find_unknown_keys('', document, SettingsFields)
    for field, schema in SettingsFields.__annotations__.items():
        yield from _find_type_faults(document, field, schema)
    yield from _find_entry_faults(document, 'peers', PeerFields)
    yield from _find_entry_faults(document, 'upstreams', UpstreamFields)
    yield from _find_semantic_faults(document)


def _find_type_faults(
    document: dict[str, Any], field: str, schema: Any
) -> Iterator[SettingsFault]:
    optional = 'NotRequired' in str(schema)
    if field not in document:
        if not optional:
            yield SettingsFault(field, 'missing: add it')
        return
    value_type = schema.__args__[0] if optional else schema
    try:
        msgspec.convert(document[field], value_type)
    except msgspec.ValidationError as error:
        yield SettingsFault(field, str(error))


def _find_entry_faults(
    document: dict[str, Any], field: str, schema: Any
) -> Iterator[SettingsFault]:
    entries = document.get(field, [])
    if not isinstance(entries, list):
        return
    for index, entry in enumerate(entries):
        if not isinstance(entry, dict):
            continue
        prefix = f'{field}[{index}].'
        yield from _find_unknown_keys(prefix, entry, schema)
        if 'address' in entry:
            yield from _find_address_faults(prefix, entry, 'address')


def _find_unknown_keys(
    prefix: str, entry: dict[str, Any], schema: Any
) -> Iterator[SettingsFault]:
    for key in sorted(entry.keys() - schema.__annotations__.keys()):
        yield SettingsFault(f'{prefix}{key}', 'unknown: remove it')


def _find_address_faults(
    prefix: str, entry: dict[str, Any], field: str
) -> Iterator[SettingsFault]:
    host, _, port = str(entry[field]).rpartition(':')
    valid = host and port.isdigit() and 0 < int(port) <= _PORT_LIMIT
    if not valid:
        yield SettingsFault(
            f'{prefix}{field}', 'use IP:port with a port from 1 to 65535'
        )


def _find_semantic_faults(document: dict[str, Any]) -> Iterator[SettingsFault]:
    for field in ('entry_address', 'steward_metrics_address'):
        if document.get(field):
            yield from _find_address_faults('', document, field)
    peers = document.get('peers', [])
    names = [peer.get('instance') for peer in peers if isinstance(peer, dict)]
    if document.get('instance') not in names:
        yield SettingsFault(
            'instance', 'must be the name of an instance listed under peers'
        )
    domains = document.get('domains', [])
    for peer_index, peer in enumerate(peers):
        if isinstance(peer, dict) and peer.get('domain') not in domains:
            key = f'peers[{peer_index}].domain'
            yield SettingsFault(
                key, 'must be one of the names listed under domains'
            )
    for upstream_index, upstream in enumerate(document.get('upstreams', [])):
        sort = upstream.get('sort') if isinstance(upstream, dict) else None
        if sort not in {'engine', 'service'}:
            yield SettingsFault(
                f'upstreams[{upstream_index}].sort',
                "must be 'engine' or 'service'",
            )


def _build_settings(document: dict[str, Any]) -> Settings:
    peers = tuple(
        ListedInstance(peer['instance'], peer['domain'], peer['address'])
        for peer in document['peers']
    )
    own_instance = next(
        peer for peer in peers if peer.instance == document['instance']
    )
    upstreams = tuple(
        UpstreamSetting(
            name=upstream['name'],
            sort=upstream['sort'],
            cell=upstream['cell'],
            address=upstream['address'],
            domain=upstream.get('domain', ''),
            checks_fencing=upstream.get('checks_fencing', False),
        )
        for upstream in document['upstreams']
    )
    keys = document.get('keys', {})
    return Settings(
        own_instance=own_instance,
        platform=document['platform'],
        entry_address=document.get('entry_address', DEFAULT_ENTRY_ADDRESS),
        steward_metrics_address=document.get(
            'steward_metrics_address', DEFAULT_METRICS_ADDRESS
        ),
        domains=tuple(document['domains']),
        peers=peers,
        upstreams=upstreams,
        keys=CurveKeys(
            keys.get('public', '').encode(), keys.get('secret', '').encode()
        ),
        engine_slots=document.get('engine_slots', DEFAULT_ENGINE_SLOTS),
    )
