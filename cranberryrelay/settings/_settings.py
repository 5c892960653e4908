"""Settings of the programs: TOML files, checked before anything starts."""

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
    """An instance of the deployment."""

    # Name of the instance.
    instance: str

    # Failure domain.
    domain: str

    # 'IP:port' of its steward.
    address: str


class UpstreamFields(TypedDict):
    """An upstream of the deployment."""

    # Name of the upstream.
    name: str

    # 'engine' or 'service'.
    sort: str

    # Cell of engines, or the service's name.
    cell: str

    # 'IP:port'.
    address: str

    # Failure domain.
    domain: NotRequired[str]

    # True if it refuses orders with an old fencing token.
    checks_fencing: NotRequired[bool]


class KeyFields(TypedDict):
    """CURVE keys of the deployment, in Z85."""

    # Public key.
    public: str

    # Secret key.
    secret: str


class SettingsFields(TypedDict):
    """The settings file of one instance."""

    # Name of this instance, one of the peers.
    instance: str

    # URL of the platform's object API.
    platform: str

    # 'IP:port' for callers.
    entry_address: NotRequired[str]

    # 'IP:port' for metrics of the steward.
    steward_metrics_address: NotRequired[str]

    # Failure domains of the deployment.
    domains: list[str]

    # Instances known at the start.
    peers: list[PeerFields]

    # Upstreams.
    upstreams: list[UpstreamFields]

    # Keys between the instances.
    keys: NotRequired[KeyFields]

    # Requests that an engine runs at once.
    engine_slots: NotRequired[int]


DEFAULT_ENTRY_ADDRESS: Final = '127.0.0.1:8080'
DEFAULT_METRICS_ADDRESS: Final = ''
DEFAULT_ENGINE_SLOTS: Final = 16
_PORT_LIMIT: Final = 65_535


class Settings(NamedTuple):
    """Checked settings of one instance."""

    # This instance.
    me: ListedInstance

    # URL of the platform's object API.
    platform: str

    # 'IP:port' for callers.
    entry_address: str

    # 'IP:port' for the steward's metrics; empty for none.
    steward_metrics_address: str

    # Failure domains of the deployment.
    domains: tuple[str, ...]

    # Instances known at the start.
    peers: tuple[ListedInstance, ...]

    # Upstreams.
    upstreams: tuple[UpstreamSetting, ...]

    # Keys between the instances.
    keys: CurveKeys

    # Requests that an engine runs at once.
    engine_slots: int


class SettingsFault(NamedTuple):
    """A fault of the settings file."""

    # Dotted key of the faulty setting.
    key: str

    # What was wrong and what to do instead.
    detail: str


def load_settings(path: str) -> Result[Settings, list[Failure]]:
    """Load and check a settings file; lists every fault by its key."""
    try:
        text = Path(path).read_text()
    except OSError as error:
        return Err([fail(ResultCode.SETTINGS_UNREADABLE, str(error))])
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, list[Failure]]:
    """Parse and check the text of a settings file."""
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
    """Find all faults of a settings document."""
    yield from _find_unknown('', document, SettingsFields)
    for field, schema in SettingsFields.__annotations__.items():
        yield from _find_type_faults(document, field, schema)
    yield from _find_listed_faults(document, 'peers', PeerFields)
    yield from _find_listed_faults(document, 'upstreams', UpstreamFields)
    yield from _find_meaning_faults(document)


def _find_type_faults(
    document: dict[str, Any], field: str, schema: Any
) -> Iterator[SettingsFault]:
    optional = 'NotRequired' in str(schema)
    if field not in document:
        if not optional:
            yield SettingsFault(field, 'missing: add it')
        return
    plain = schema.__args__[0] if optional else schema
    try:
        msgspec.convert(document[field], plain)
    except msgspec.ValidationError as error:
        yield SettingsFault(field, str(error))


def _find_listed_faults(
    document: dict[str, Any], field: str, schema: Any
) -> Iterator[SettingsFault]:
    entries = document.get(field, [])
    if not isinstance(entries, list):
        return
    for position, entry in enumerate(entries):
        if not isinstance(entry, dict):
            continue
        prefix = f'{field}[{position}].'
        yield from _find_unknown(prefix, entry, schema)
        if 'address' in entry:
            yield from _find_address_faults(prefix, entry, 'address')


def _find_unknown(
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
        yield SettingsFault(f'{prefix}{field}', 'use IP:port')


def _find_meaning_faults(document: dict[str, Any]) -> Iterator[SettingsFault]:
    for field in ('entry_address', 'steward_metrics_address'):
        if document.get(field):
            yield from _find_address_faults('', document, field)
    peers = document.get('peers', [])
    names = [one.get('instance') for one in peers if isinstance(one, dict)]
    if document.get('instance') not in names:
        yield SettingsFault('instance', 'name one of the peers')
    domains = document.get('domains', [])
    for position, peer in enumerate(peers):
        if isinstance(peer, dict) and peer.get('domain') not in domains:
            key = f'peers[{position}].domain'
            yield SettingsFault(key, 'name one of the domains')
    for place, upstream in enumerate(document.get('upstreams', [])):
        sort = upstream.get('sort') if isinstance(upstream, dict) else None
        if sort not in {'engine', 'service'}:
            yield SettingsFault(
                f'upstreams[{place}].sort', 'use engine or service'
            )


def _build_settings(document: dict[str, Any]) -> Settings:
    peers = tuple(
        ListedInstance(one['instance'], one['domain'], one['address'])
        for one in document['peers']
    )
    me = next(one for one in peers if one.instance == document['instance'])
    upstreams = tuple(
        UpstreamSetting(
            name=one['name'],
            sort=one['sort'],
            cell=one['cell'],
            address=one['address'],
            domain=one.get('domain', ''),
            checks_fencing=one.get('checks_fencing', False),
        )
        for one in document['upstreams']
    )
    keys = document.get('keys', {})
    return Settings(
        me=me,
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
