"""Schema of a release note: its sections and the fields of their records."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, NotRequired, TypedDict


class ModelFields(TypedDict):
    """Fields of a model, which a cell of engines serves."""

    # Cell of engines that serves the model.
    cell: str

    # Version of the model weights.
    version: str

    # Names of the adapters that requests may use.
    adapters: NotRequired[list[str]]


class KindFields(TypedDict):
    """Fields of a kind of work: its model, rank and latency targets."""

    # Name of a model in the records in force.
    model: str

    # Name of a rank in the records in force.
    rank: str

    # Adapter that the model uses, if any.
    adapter: NotRequired[str]

    # Target for the time to first token, in milliseconds.
    first_token_ms: NotRequired[int]

    # Target for the time between two tokens, in milliseconds.
    between_tokens_ms: NotRequired[int]

    # Maximum number of output tokens of one request.
    max_output_tokens: NotRequired[int]


class RankFields(TypedDict):
    """Fields of a rank: its urgency and its share of each cell in overload."""

    # Urgency, from 1 (most urgent) to 3 (least urgent).
    level: int

    # Share of a cell's capacity that no other rank can take, from 0 to 1.
    floor: float

    # Largest share of a cell's capacity that the rank may use, from 0 to 1.
    ceiling: NotRequired[float]

    # Maximum number of requests of the rank queued at one entry.
    queue: NotRequired[int]


class CallerFields(TypedDict):
    """Fields of a caller: its credentials and what it is allowed to use."""

    # SHA-256 of each of the caller's bearer tokens, in hexadecimal.
    token_sha256: list[str]

    # Names of the kinds of work that the caller may use.
    kinds: NotRequired[list[str]]

    # Names of the services that the caller may use.
    services: NotRequired[list[str]]

    # Weight in fair queueing among the callers of a rank.
    weight: NotRequired[int]

    # Ranks that replace the rank of a kind of work, by kind of work.
    ranks: NotRequired[dict[str, str]]


class ServiceFields(TypedDict):
    """Fields of a service that callers reach through an entry."""

    # Calls that must run at most once, such as 'POST /renewals'.
    once: NotRequired[list[str]]

    # Timeout of one call, in milliseconds.
    timeout_ms: NotRequired[int]


class RoleFields(TypedDict):
    """Fields that bound the roles of a cell's engines and its shares."""

    # Minimum number of engines in the role prefill.
    prefill_min: NotRequired[int]

    # Maximum number of engines in the role prefill.
    prefill_max: NotRequired[int]

    # Maximum number of role changes within any ten minutes.
    changes_per_ten_minutes: NotRequired[int]

    # Share of the cell's engines that a kind of work may use, by kind of work.
    shares: NotRequired[dict[str, float]]


class LimitFields(TypedDict):
    """Fields that limit the requests of callers."""

    # Maximum size of a request body, in bytes.
    body_bytes: NotRequired[int]

    # Maximum duration of one request, in milliseconds.
    request_ms: NotRequired[int]


SECTIONS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'models': ModelFields,
        'kinds': KindFields,
        'ranks': RankFields,
        'callers': CallerFields,
        'services': ServiceFields,
        'roles': RoleFields,
        'limits': LimitFields,
    }
)

# Section that holds the records named by a field, by (section, field).
REFERENCES: Final[Mapping[tuple[str, str], str]] = MappingProxyType(
    {
        ('kinds', 'model'): 'models',
        ('kinds', 'rank'): 'ranks',
        ('callers', 'kinds'): 'kinds',
        ('callers', 'services'): 'services',
    }
)
