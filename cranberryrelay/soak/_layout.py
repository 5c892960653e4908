"""Assigns names and ports to a soak's processes and makes their settings."""

import random
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from cranberryrelay.standins import FIRST_PORT, LAST_PORT, LOOPBACK

# Size of the port range of one run.
PORT_RANGE_SIZE: Final = 200
HOST: Final = 'soak.example'
DOMAINS: Final = ('north', 'south', 'west')
MODEL_SERVICE: Final = 'drafts'
PLAIN_SERVICE: Final = 'desk'

# Bounds in the settings of the instances.
DRAIN_SECONDS: Final = 2.0
CONFIG_APPLY_SECONDS: Final = 2.0
GRACE_SECONDS: Final = 8.0
LEASE_SECONDS: Final = 3.0

# Idle limits that the notes set in turn: shorter and longer ones alternate.
IDLE_SECONDS: Final = (1.2, 0.6, 1.6, 0.9)

# Step between versions of the note: versions of the platform have gaps too.
VERSION_STEP: Final = 3

# Time limits of the routes.
CALL_SECONDS: Final = 3.0
STREAM_SECONDS: Final = 5.0
_MILLISECONDS: Final = 1000
_LIMIT_SECONDS: Final = MappingProxyType(
    {
        'unsafe': CALL_SECONDS,
        'safe': CALL_SECONDS,
        'streaming': STREAM_SECONDS,
    }
)
_PORTS_PER_INSTANCE: Final = 5
_PORTS_PER_UPSTREAM: Final = 2


class InstanceConfig(NamedTuple):
    """Name, failure domain and addresses of an instance."""

    # Name of the instance.
    name: str

    # Failure domain.
    domain: str

    # IP address on loopback, unique to the instance.
    ip: str

    # Port that accepts requests of callers.
    front_port: int

    # Port of the readiness check.
    ready_port: int

    # Port of the proxy between callers and the instance.
    caller_port: int

    # Port of the proxy between the instance and the store.
    store_port: int

    # Port for forwarded requests.
    forward_port: int


class UpstreamConfig(NamedTuple):
    """Name, role, failure domain and ports of an upstream."""

    # Name of the upstream.
    name: str

    # Role: 'prefill', 'decode' or 'plain'.
    role: str

    # Failure domain.
    domain: str

    # Port on which the upstream serves.
    port: int

    # Port of the proxy that its entry in the store names.
    proxy_port: int


class Layout(NamedTuple):
    """Addresses of all processes of a run."""

    # Folder for settings, logs and records of runs.
    folder: Path

    # Port of the store itself, not of its proxies.
    store_port: int

    # Port for messages between instances, the same on each of them.
    peer_port: int

    # Configurations of the instances.
    instances: tuple[InstanceConfig, ...]

    # Configurations of the upstreams.
    upstreams: tuple[UpstreamConfig, ...]

    def instance(self, name: str) -> InstanceConfig:
        """Return the configuration of the named instance."""
        return next(one for one in self.instances if one.name == name)

    def upstream(self, name: str) -> UpstreamConfig:
        """Return the configuration of the named upstream."""
        return next(one for one in self.upstreams if one.name == name)


@contextmanager
def open_layout(folder: Path, instances: int, engines: int) -> Iterator[Layout]:
    """Assign loopback ports that no other run uses."""
    with _reserve_ports() as ports:
        yield make_layout(folder, instances, engines, ports)


def make_layout(
    folder: Path, instances: int, engines: int, ports: Iterator[int]
) -> Layout:
    """Assign names and ports to instances, engines and two plain upstreams.

    Every third engine has the role 'decode', the others 'prefill'.
    """
    roles = ['decode' if idx % 3 == 0 else 'prefill' for idx in range(engines)]
    roles += ['plain', 'plain']
    return Layout(
        folder=folder,
        store_port=next(ports),
        peer_port=next(ports),
        instances=tuple(
            InstanceConfig(
                f'front-{idx:02d}',
                DOMAINS[idx % len(DOMAINS)],
                f'127.0.1.{idx + 1}',
                *(next(ports) for _ in range(_PORTS_PER_INSTANCE)),
            )
            for idx in range(instances)
        ),
        upstreams=tuple(
            UpstreamConfig(
                f'{role}-{idx:02d}',
                role,
                DOMAINS[idx % len(DOMAINS)],
                *(next(ports) for _ in range(_PORTS_PER_UPSTREAM)),
            )
            for idx, role in enumerate(roles)
        ),
    )


@contextmanager
def _reserve_ports() -> Iterator[Iterator[int]]:
    """Reserve a random port range by binding its first port."""
    rng = random.SystemRandom()
    while True:
        first = rng.randrange(FIRST_PORT, LAST_PORT, PORT_RANGE_SIZE)
        reservation = _bind_port(first)
        if reservation is not None:
            break
    with reservation:
        yield iter(range(first + 1, first + PORT_RANGE_SIZE))


def _bind_port(port: int) -> socket.socket | None:
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        reservation.bind((LOOPBACK, port))
    except OSError:
        # Another run has reserved the range.
        reservation.close()
        return None
    return reservation


def write_boot(layout: Layout, instance: InstanceConfig) -> Path:
    """Write the settings file of an instance; return its path."""
    seeds = [
        f'"{other.ip}:{layout.peer_port}"'
        for other in layout.instances[:2]
        if other != instance
    ]
    zones = ', '.join(f'{domain} = "soak"' for domain in DOMAINS)
    text = f"""
node_name = "{instance.name}"
ip = "{instance.ip}"
zone = "{instance.domain}"
port_range = [{layout.peer_port}, {instance.forward_port}]
heartbeat_ms = 1200
seeds = [{', '.join(seeds)}]
zones = {{ {zones} }}

[listen]
front = "{instance.ip}:{instance.front_port}"
ready = "{instance.ip}:{instance.ready_port}"

[platform]
address = "{LOOPBACK}:{instance.store_port}"

[bounds]
stable_window_ms = 3000
drain_ms = {DRAIN_SECONDS * _MILLISECONDS}
grace_s = {GRACE_SECONDS}
config_apply_ms = {CONFIG_APPLY_SECONDS * _MILLISECONDS}
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 50
lease_ms = {LEASE_SECONDS * _MILLISECONDS}
fencing_enforced = true
"""
    path = layout.folder / f'{instance.name}.toml'
    path.write_text(text)
    return path


def make_entry(
    upstream: UpstreamConfig, state: str = 'ready', incarnation: int = 1
) -> dict[str, Any]:
    """Make the store's entry for an upstream."""
    entry = {
        'service': PLAIN_SERVICE if upstream.role == 'plain' else MODEL_SERVICE,
        'address': f'{LOOPBACK}:{upstream.proxy_port}',
        'zone': upstream.domain,
        'slots': 64,
        'state': state,
        'born': incarnation,
    }
    if upstream.role != 'plain':
        entry['stage'] = upstream.role
    return entry


def find_idle_seconds(version: int) -> float:
    """Return the idle limit of a version of the note, in seconds."""
    return IDLE_SECONDS[version // VERSION_STEP % len(IDLE_SECONDS)]


def make_note(version: int) -> dict[str, Any]:
    """Make a configuration; its only probe route is that of its own version."""
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
            'timeout_ms': _MILLISECONDS * _LIMIT_SECONDS[kind],
            'target_latency_ms': 500,
            'priority': 0 if kind == 'streaming' else 1,
            'max_attempts': 2,
            'resumable': name == 'tag',
            'gap_aim_ms': 200,
        }
        for name, kind, service in rows
    ]
    engine = {'slots': 64, 'kv_capacity_tokens': 400_000}
    idle_seconds = find_idle_seconds(version)
    return {
        'version': version,
        'limits': {'idle_timeout_ms': _MILLISECONDS * idle_seconds},
        'routes': routes,
        'services': [
            {'name': MODEL_SERVICE, 'engine': engine},
            {'name': PLAIN_SERVICE},
        ],
    }
