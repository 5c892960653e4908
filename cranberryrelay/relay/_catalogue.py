"""Defines the immutable routing data: routes, services and upstreams."""

from enum import IntEnum, StrEnum
from typing import Final, NamedTuple

from cranberryrelay.relay._hashing import hash_to_unit_interval

DEFAULT_TIMEOUT_SECONDS: Final = 10.0


class RequestKind(StrEnum):
    """Whether and how a request may be retried."""

    # May be executed more than once.
    IDEMPOTENT = 'idempotent'

    # Must be executed at most once.
    AT_MOST_ONCE = 'at_most_once'

    # Answered by a stream of numbered events.
    STREAM = 'stream'


class Role(StrEnum):
    """Kind of work that an upstream serves."""

    PREFILL = 'prefill'
    DECODE = 'decode'

    # Member of a plain service, which has no engine roles.
    PLAIN = 'plain'


class Rank(IntEnum):
    """Urgency of a request; a lower number is more urgent."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class ServiceShare(NamedTuple):
    """A service that a route sends requests to."""

    # Name of the service.
    service: str

    # Weight of the service relative to the other shares of the route.
    weight: float


class Route(NamedTuple):
    """Routing rule for the requests of one host and path prefix."""

    # Name of the route.
    name: str

    # Host of the request, in lower case and without a port.
    host: str

    # Prefix of the path; begins and ends with a slash.
    path_prefix: str

    # Whether and how a request may be retried.
    kind: RequestKind

    # Timeout of a request, in seconds.
    timeout_seconds: float

    # Latency target: an answer within it has its full worth, in seconds.
    target_seconds: float

    # Urgency of its requests.
    rank: Rank

    # Services with their weights.
    shares: tuple[ServiceShare, ...]

    # Maximum number of upstreams that may execute one request.
    attempts_limit: int

    # Whether a broken stream may be resumed at another upstream.
    resumable: bool

    # Longest gap between two events that meets the target, in seconds; 0 if
    # there is no target.
    event_gap_target_seconds: float

    def pick_service(self, request_id: str) -> str:
        """Pick a service by weight, by a hash of the request ID.

        The same request gets the same service at every instance. For a stream
        that is resumed, the ID is that of the attempt that began it.
        """
        total = sum(share.weight for share in self.shares)
        point = hash_to_unit_interval(request_id) * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class EngineTraits(NamedTuple):
    """Properties shared by the engines of a service."""

    # Number of requests that an engine runs concurrently.
    slots: int

    # Capacity of an engine's KV cache, in tokens.
    kv_capacity_tokens: int

    # How long an engine keeps a transfer handle that is not fetched, in
    # seconds.
    handle_ttl_seconds: float

    # How long an engine is unavailable during a role change, in seconds.
    role_change_seconds: float


class Service(NamedTuple):
    """A service and the properties shared by its upstreams."""

    # Name of the service.
    name: str

    # Maximum number of connections to an upstream, over all clients.
    connections_limit: int

    # Properties of its engines; None for a plain service.
    engine: EngineTraits | None


class ClientLimits(NamedTuple):
    """Limits on the requests and connections of callers."""

    # Maximum size of the request line and the headers, in bytes.
    header_bytes: int = 16_384

    # Maximum size of the body, in bytes.
    body_bytes: int = 4_194_304

    # Timeout for receiving the headers, in seconds.
    header_seconds: float = 3.0

    # Idle timeout of a connection, in seconds.
    idle_seconds: float = 15.0


class RoutingTable(NamedTuple):
    """Routing data of one release note, indexed for the data path."""

    # Revision of the release note; increases with each release note.
    revision: int

    # Routes by host, ordered by descending length of the path prefix.
    routes: dict[str, tuple[Route, ...]]

    # Services by name.
    services: dict[str, Service]

    # Limits on requests and connections of callers.
    limits: ClientLimits

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; None if none."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class Upstream(NamedTuple):
    """One incarnation of an engine or of a process of a plain service."""

    # Name of the incarnation.
    name: str

    # Start time in Unix milliseconds; 0 if the upstream does not report it.
    started_at_ms: int

    # Service that it belongs to.
    service: str

    # Address as 'IP:port'.
    address: str

    # Failure domain.
    domain: str

    # Number of requests that it runs concurrently.
    slots: int

    # Whether it has announced that it will shut down.
    leaving: bool

    # Kind of work that it currently serves.
    role: Role

    # Number of its report to the store, rising since its start; 0 if the
    # upstream does not number them.
    report_number: int = 0

    # Version of its software, not of the model's weights; '' if unknown.
    # Versions have no order.
    software_version: str = ''

    def incarnation_id(self) -> str:
        """Return an id that changes even if a restart keeps the name."""
        return f'{self.name}/{self.started_at_ms}'


def name_of_incarnation(incarnation: str) -> str:
    """Return the name in an id of ``Upstream.incarnation_id``."""
    return incarnation.rpartition('/')[0]


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


def make_routing_table(
    revision: int,
    routes: list[Route],
    services: list[Service],
    limits: ClientLimits,
) -> RoutingTable:
    """Build the routing table: routes by host and services by name."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in by_host.items()
    }
    named = {service.name: service for service in services}
    return RoutingTable(revision, ordered, named, limits)
