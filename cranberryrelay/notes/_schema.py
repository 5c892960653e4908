"""The sections of a release note and the fields that each of them takes."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, NotRequired, TypedDict


class ModelFields(TypedDict):
    """A model that a cell of engines serves."""

    # Cell of engines that serves the model.
    cell: str

    # Version of the weights.
    version: str

    # Adapters that callers may ask for.
    adapters: NotRequired[list[str]]


class KindFields(TypedDict):
    """A kind of work: its model, its rank and its targets."""

    # Name of a model of the note in force.
    model: str

    # Name of a rank of the note in force.
    rank: str

    # Adapter of the model, if any.
    adapter: NotRequired[str]

    # Target for the first token, in milliseconds.
    first_token_ms: NotRequired[int]

    # Target between two tokens, in milliseconds.
    between_tokens_ms: NotRequired[int]

    # Upper bound on the tokens of one answer.
    max_output_tokens: NotRequired[int]


class RankFields(TypedDict):
    """A rank: its level and the part of each cell it keeps in a flood."""

    # 1 is the most urgent, 3 the least.
    level: int

    # Part of a cell's capacity that no other rank can take, 0 to 1.
    floor: float

    # Largest part of a cell's capacity the rank may hold, 0 to 1.
    ceiling: NotRequired[float]

    # Requests of the rank that may wait at one entry.
    queue: NotRequired[int]


class CallerFields(TypedDict):
    """A caller: the digests of its tokens and what it may ask for."""

    # SHA-256 of each bearer token, in hexadecimal.
    token_sha256: list[str]

    # Kinds of work that the caller may use.
    kinds: NotRequired[list[str]]

    # Services that the caller may use.
    services: NotRequired[list[str]]

    # Weight against the other callers of a rank.
    weight: NotRequired[int]

    # Ranks of this caller that differ from the kind's, by kind.
    ranks: NotRequired[dict[str, str]]


class ServiceFields(TypedDict):
    """A service behind the entry and the calls that may not be repeated."""

    # Calls that may not be repeated, such as 'POST /renewals'.
    once: NotRequired[list[str]]

    # Time limit of one call, in milliseconds.
    timeout_ms: NotRequired[int]


class RoleFields(TypedDict):
    """Bounds on the roles of a cell's engines, and its share of the fleet."""

    # Fewest engines in the role prefill.
    prefill_min: NotRequired[int]

    # Most engines in the role prefill.
    prefill_max: NotRequired[int]

    # Role changes allowed in any ten minutes.
    changes_per_ten_minutes: NotRequired[int]

    # Part of the cell's engines that a kind of work may use, by kind.
    shares: NotRequired[dict[str, float]]


class LimitFields(TypedDict):
    """Limits on what a caller may send."""

    # Largest request body, in bytes.
    body_bytes: NotRequired[int]

    # Longest time of one request, in milliseconds.
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

# Sections that a field refers to, by (section, field).
REFERENCES: Final[Mapping[tuple[str, str], str]] = MappingProxyType(
    {
        ('kinds', 'model'): 'models',
        ('kinds', 'rank'): 'ranks',
        ('callers', 'kinds'): 'kinds',
        ('callers', 'services'): 'services',
    }
)
