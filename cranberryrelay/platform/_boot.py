"""The settings file that the platform hands to each process."""

import os
import tomllib
from pathlib import Path
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay import InstanceSettings, PlatformBounds

BOOT_VARIABLE: Final = 'CRANBERRYRELAY_BOOT'
_MILLISECONDS: Final = 1000.0


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
    stable_window_ms: float = 3000
    drain_ms: float = 2000
    grace_s: float = 8
    config_apply_ms: float = 2000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    lease_ms: float = 3000
    thaw_ms: float = 300
    again_s: float = 10
    fencing_enforced: bool = False


class _Boot(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Store
    port_range: tuple[int, int]
    heartbeat_ms: float = 1200
    seeds: list[str] = []
    zones: dict[str, str] = {}
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def find_boot_path() -> str:
    """Return the path of the settings file, or '' if none is named."""
    return os.environ.get(BOOT_VARIABLE, '')


def read_boot_text(path: str) -> Result[str, Failure]:
    """Read the settings file; errors: ``SETTINGS_UNREADABLE``."""
    try:
        return Ok(Path(path).read_text())
    except OSError as error:
        return Err(fail(ResultCode.SETTINGS_UNREADABLE, str(error)))


def parse_boot_settings(text: str) -> Result[InstanceSettings, Failure]:
    """Check the text of the settings file; unknown keys are ignored.

    Errors: ``SETTINGS_UNREADABLE``, ``SETTINGS_INVALID`` with the key.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err(fail(ResultCode.SETTINGS_UNREADABLE, str(error)))
    return _convert(document)


def _convert(document: dict[str, Any]) -> Result[InstanceSettings, Failure]:
    try:
        boot = msgspec.convert(document, _Boot)
    except msgspec.ValidationError as error:
        return Err(fail(ResultCode.SETTINGS_INVALID, str(error)))
    return Ok(_as_settings(boot))


def _as_settings(boot: _Boot) -> InstanceSettings:
    bounds = boot.bounds
    return InstanceSettings(
        name=boot.node_name,
        domain=boot.zone,
        ip=boot.ip,
        front_address=boot.listen.front,
        ready_address=boot.listen.ready,
        peer_port=boot.port_range[0],
        metrics_port=boot.port_range[1],
        store_url=f'http://{boot.platform.address}',
        seed_ips=tuple(seed.rpartition(':')[0] for seed in boot.seeds),
        domains=tuple(sorted(boot.zones)),
        heartbeat_seconds=boot.heartbeat_ms / _MILLISECONDS,
        bounds=PlatformBounds(
            stable_seconds=bounds.stable_window_ms / _MILLISECONDS,
            drain_seconds=bounds.drain_ms / _MILLISECONDS,
            grace_seconds=bounds.grace_s,
            note_spread_seconds=bounds.config_apply_ms / _MILLISECONDS,
            repeat_ratio=bounds.retry_budget_ratio,
            repeat_window_seconds=bounds.budget_window_s,
            repeat_slack=bounds.budget_slack,
            lease_seconds=bounds.lease_ms / _MILLISECONDS,
            thaw_seconds=bounds.thaw_ms / _MILLISECONDS,
            reuse_seconds=bounds.again_s,
            engines_check_fencing=bounds.fencing_enforced,
        ),
    )
