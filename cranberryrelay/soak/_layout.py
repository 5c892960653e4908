"""Addresses of a soak's processes, and the proxies between them."""

import random
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from cranberryrelay.standins import FIRST_PORT, LAST_PORT, LOOPBACK

# Ports of one run.
BLOCK_PORTS: Final = 200
HOST: Final = 'soak.example'
DOMAINS: Final = ('north', 'south', 'west')
MODEL_SERVICE: Final = 'drafts'
PLAIN_SERVICE: Final = 'desk'

# Bounds that the settings of the instances state, in seconds.
DRAIN_SECONDS: Final = 2.0
SPREAD_SECONDS: Final = 2.0
GRACE_SECONDS: Final = 8.0
LEASE_SECONDS: Final = 3.0

# Time limits of the routes, in seconds.
CALL_SECONDS: Final = 3.0
STREAM_SECONDS: Final = 5.0
_MILLISECONDS: Final = 1000
_LIMITS: Final = MappingProxyType(
    {
        'unsafe': CALL_SECONDS,
        'safe': CALL_SECONDS,
        'streaming': STREAM_SECONDS,
    }
)
_PORTS_EACH: Final = 5
_ENGINE_PORTS: Final = 2


class InstancePlace(NamedTuple):
    """Where an instance is."""

    # Its name.
    name: str

    # Its failure domain.
    domain: str

    # Its address, which no other instance has.
    ip: str

    # Port where it takes callers.
    front_port: int

    # Port where it is asked whether it is ready.
    ready_port: int

    # Port of the proxy that callers use.
    caller_port: int

    # Port of the proxy that it reaches the store by.
    store_port: int

    # Port of its metrics.
    metrics_port: int


class UpstreamPlace(NamedTuple):
    """Where an upstream is."""

    # Its name.
    name: str

    # 'prefill', 'decode' or 'plain'.
    role: str

    # Its failure domain.
    domain: str

    # Port where it serves.
    port: int

    # Port of the proxy that its entry in the store names.
    proxy_port: int


class Layout(NamedTuple):
    """All processes of a soak."""

    # Folder for settings, logs and runs.
    folder: Path

    # Port of the store itself.
    store_port: int

    # Port for messages between instances, the same at each of them.
    peer_port: int

    # Instances.
    instances: tuple[InstancePlace, ...]

    # Upstreams.
    upstreams: tuple[UpstreamPlace, ...]

    def instance(self, name: str) -> InstancePlace:
        """Return the place of an instance."""
        return next(one for one in self.instances if one.name == name)

    def upstream(self, name: str) -> UpstreamPlace:
        """Return the place of an upstream."""
        return next(one for one in self.upstreams if one.name == name)


@contextmanager
def open_layout(folder: Path, instances: int, engines: int) -> Iterator[Layout]:
    """Place processes on ports of loopback that no other run uses."""
    with _reserve_ports() as ports:
        yield make_layout(folder, instances, engines, ports)


def make_layout(
    folder: Path, instances: int, engines: int, ports: Iterator[int]
) -> Layout:
    """Place processes; a third of the engines generates.

    Two plain services are added.
    """
    roles = ['decode' if idx % 3 == 0 else 'prefill' for idx in range(engines)]
    roles += ['plain', 'plain']
    return Layout(
        folder=folder,
        store_port=next(ports),
        peer_port=next(ports),
        instances=tuple(
            InstancePlace(
                f'front-{idx:02d}',
                DOMAINS[idx % len(DOMAINS)],
                f'127.0.1.{idx + 1}',
                *(next(ports) for _ in range(_PORTS_EACH)),
            )
            for idx in range(instances)
        ),
        upstreams=tuple(
            UpstreamPlace(
                f'{role}-{idx:02d}',
                role,
                DOMAINS[idx % len(DOMAINS)],
                *(next(ports) for _ in range(_ENGINE_PORTS)),
            )
            for idx, role in enumerate(roles)
        ),
    )


@contextmanager
def _reserve_ports() -> Iterator[Iterator[int]]:
    """Reserve a block of ports by holding its first one."""
    rng = random.SystemRandom()
    while True:
        first = rng.randrange(FIRST_PORT, LAST_PORT, BLOCK_PORTS)
        held = _hold_port(first)
        if held is not None:
            break
    with held:
        yield iter(range(first + 1, first + BLOCK_PORTS))


def _hold_port(port: int) -> socket.socket | None:
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        held.bind((LOOPBACK, port))
    except OSError:
        # Another run has it.
        held.close()
        return None
    return held


def write_boot(layout: Layout, place: InstancePlace) -> Path:
    """Write the settings file of an instance; return its path."""
    seeds = [
        f'"{other.ip}:{layout.peer_port}"'
        for other in layout.instances[:2]
        if other != place
    ]
    zones = ', '.join(f'{domain} = "soak"' for domain in DOMAINS)
    text = f"""
node_name = "{place.name}"
ip = "{place.ip}"
zone = "{place.domain}"
port_range = [{layout.peer_port}, {place.metrics_port}]
heartbeat_ms = 1200
seeds = [{', '.join(seeds)}]
zones = {{ {zones} }}

[listen]
front = "{place.ip}:{place.front_port}"
ready = "{place.ip}:{place.ready_port}"

[platform]
address = "{LOOPBACK}:{place.store_port}"

[bounds]
stable_window_ms = 3000
drain_ms = {DRAIN_SECONDS * _MILLISECONDS}
grace_s = {GRACE_SECONDS}
config_apply_ms = {SPREAD_SECONDS * _MILLISECONDS}
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 50
lease_ms = {LEASE_SECONDS * _MILLISECONDS}
fencing_enforced = true
"""
    path = layout.folder / f'{place.name}.toml'
    path.write_text(text)
    return path


def make_entry(
    place: UpstreamPlace, state: str = 'ready', born: int = 1
) -> dict[str, Any]:
    """Make the entry of an upstream in the store."""
    entry = {
        'service': PLAIN_SERVICE if place.role == 'plain' else MODEL_SERVICE,
        'address': f'{LOOPBACK}:{place.proxy_port}',
        'zone': place.domain,
        'slots': 64,
        'state': state,
        'born': born,
    }
    if place.role != 'plain':
        entry['stage'] = place.role
    return entry


def make_note(version: int) -> dict[str, Any]:
    """Make a configuration; only its newest probe route exists."""
    rows = (
        ('charge', 'unsafe', PLAIN_SERVICE),
        ('read', 'safe', PLAIN_SERVICE),
        ('draft', 'streaming', MODEL_SERVICE),
        ('tag', 'streaming', MODEL_SERVICE),
        (f'note-{version}', 'safe', PLAIN_SERVICE),
    )
    routes = [
        {
            'name': name,
            'host': HOST,
            'path_prefix': f'/{name}/',
            'kind': kind,
            'service': service,
            'timeout_ms': _MILLISECONDS * _LIMITS[kind],
            'target_latency_ms': 500,
            'priority': 0 if kind == 'streaming' else 1,
            'max_attempts': 2,
            'resumable': name == 'tag',
            'gap_aim_ms': 200,
        }
        for name, kind, service in rows
    ]
    engine = {'slots': 64, 'kv_capacity_tokens': 400_000}
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': MODEL_SERVICE, 'engine': engine},
            {'name': PLAIN_SERVICE},
        ],
    }
