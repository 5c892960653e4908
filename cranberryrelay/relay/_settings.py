"""Settings of an instance, independent of the platform's format."""

from typing import NamedTuple


class PlatformBounds(NamedTuple):
    """Bounds that the deployment sets for the behaviour of the system."""

    # The system counts as stable after this long without a disturbance, in
    # seconds.
    stable_seconds: float

    # A leaving upstream must get no new work after this long, in seconds.
    drain_seconds: float

    # Time from SIGTERM to SIGKILL, in seconds.
    grace_seconds: float

    # A release note must be in force everywhere within this long, in seconds.
    note_spread_seconds: float

    # Retries allowed per request of a service, as a ratio.
    repeat_ratio: float

    # Window over which the retry budget counts requests and retries, in
    # seconds.
    repeat_window_seconds: float

    # Retries allowed per window in addition to the ratio.
    repeat_slack: float

    # Minimum time between orders of two different lease holders, in seconds.
    lease_seconds: float

    # Grace for calls delayed by a paused process or a network partition, in
    # seconds.
    thaw_seconds: float

    # Computing a cached prompt part again within this long is charged, in
    # seconds.
    reuse_seconds: float

    # True if engines reject orders with an old fencing token.
    engines_check_fencing: bool


class InstanceSettings(NamedTuple):
    """Validated settings of one instance."""

    # Name of the instance, unique among all instances.
    name: str

    # Failure domain of the instance.
    domain: str

    # IP address of the instance, without a port.
    ip: str

    # 'IP:port' that serves callers.
    front_address: str

    # 'IP:port' that serves the readiness check.
    ready_address: str

    # Port for messages between instances, the same on all instances.
    peer_port: int

    # Port that serves the requests that peers forward.
    forward_port: int

    # URL of the platform's store.
    store_url: str

    # Addresses of some instances to contact first; may be out of date.
    seed_ips: tuple[str, ...]

    # Names of all failure domains.
    domains: tuple[str, ...]

    # Interval between reports of an upstream, in seconds.
    heartbeat_seconds: float

    # Bounds set by the deployment.
    bounds: PlatformBounds
