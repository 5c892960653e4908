"""Reads the settings file that the platform provides to each process."""

import os
import tomllib
from pathlib import Path
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay import InstanceSettings, PlatformBounds

BOOT_VARIABLE: Final = 'CRANBERRYRELAY_BOOT'
_MS_PER_SECOND: Final = 1000.0


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: float = 0
    max_fds: int = 0


class _Store(msgspec.Struct, frozen=True):
    address: str
    writes_per_s: float = 0
    reads_per_s: float = 0


class _Bounds(msgspec.Struct, frozen=True):
    # Time without disturbance after which the deployment counts as stable.
    stable_window_ms: float = 3000
    drain_ms: float = 2000
    grace_s: float = 8
    # Time within which a release note must be in force on all instances.
    config_apply_ms: float = 2000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    lease_ms: float = 3000
    # Grace period for calls delayed by a frozen process or a network cut.
    thaw_ms: float = 300
    # Window within which the reuse of a cached prompt part is priced.
    again_s: float = 10
    # True if engines reject orders with an outdated fencing token.
    fencing_enforced: bool = False


class _Boot(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    # Failure domain.
    zone: str
    listen: _Listen
    # The platform's store.
    platform: _Store
    # Two ports: for messages between instances and for forwarded requests.
    port_range: tuple[int, int]
    # Interval between the reports of an upstream.
    heartbeat_ms: float = 1200
    # 'IP:port' of other instances; only the IP addresses are used.
    seeds: list[str] = []
    # Keyed by failure domain; the values are not used.
    zones: dict[str, str] = {}
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def find_boot_path() -> str:
    """Return the path of the settings file; '' if the variable is unset."""
    return os.environ.get(BOOT_VARIABLE, '')


def read_boot_text(path: str) -> Result[str, Failure]:
    """Read the settings file; errors: ``SETTINGS_UNREADABLE``."""
    try:
        return Ok(Path(path).read_text())
    except (OSError, UnicodeError) as error:
        return Err(fail(ResultCode.SETTINGS_UNREADABLE, str(error)))


def parse_boot_settings(text: str) -> Result[InstanceSettings, Failure]:
    """Parse and validate the settings file; unknown keys are ignored.

    Errors: ``SETTINGS_UNREADABLE`` for invalid TOML, ``SETTINGS_INVALID`` with
    the key for a missing key or a wrong type.
    """
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return Err(fail(ResultCode.SETTINGS_UNREADABLE, str(error)))
    return _decode_settings(document)


def _decode_settings(
    document: dict[str, Any],
) -> Result[InstanceSettings, Failure]:
    try:
        boot = msgspec.convert(document, _Boot)
    except msgspec.ValidationError as error:
        return Err(fail(ResultCode.SETTINGS_INVALID, str(error)))
    return Ok(_to_settings(boot))


def _to_settings(boot: _Boot) -> InstanceSettings:
    bounds = boot.bounds
    return InstanceSettings(
        name=boot.node_name,
        domain=boot.zone,
        ip=boot.ip,
        front_address=boot.listen.front,
        ready_address=boot.listen.ready,
        peer_port=boot.port_range[0],
        forward_port=boot.port_range[1],
        store_url=f'http://{boot.platform.address}',
        seed_ips=tuple(seed.rpartition(':')[0] for seed in boot.seeds),
        domains=tuple(sorted(boot.zones)),
        heartbeat_seconds=boot.heartbeat_ms / _MS_PER_SECOND,
        bounds=PlatformBounds(
            stable_seconds=bounds.stable_window_ms / _MS_PER_SECOND,
            drain_seconds=bounds.drain_ms / _MS_PER_SECOND,
            grace_seconds=bounds.grace_s,
            note_spread_seconds=bounds.config_apply_ms / _MS_PER_SECOND,
            repeat_ratio=bounds.retry_budget_ratio,
            repeat_window_seconds=bounds.budget_window_s,
            repeat_slack=bounds.budget_slack,
            lease_seconds=bounds.lease_ms / _MS_PER_SECOND,
            thaw_seconds=bounds.thaw_ms / _MS_PER_SECOND,
            reuse_seconds=bounds.again_s,
            engines_check_fencing=bounds.fencing_enforced,
        ),
    )
