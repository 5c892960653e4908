"""The typed view of the records in force that the data path works with."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

DEFAULT_BODY_BYTES: Final = 1_000_000
DEFAULT_REQUEST_MS: Final = 60_000
DEFAULT_FIRST_TOKEN_MS: Final = 1300
DEFAULT_BETWEEN_TOKENS_MS: Final = 52
DEFAULT_OUTPUT_TOKENS: Final = 1024
DEFAULT_QUEUE: Final = 64
DEFAULT_SERVICE_TIMEOUT_MS: Final = 10_000


class RankRule(NamedTuple):
    """A rank of the note in force."""

    # Name of the rank.
    name: str

    # 1 is the most urgent, 3 the least.
    level: int

    # Part of the capacity that no other rank can take, 0 to 1.
    floor: float

    # Largest part of the capacity that the rank may hold, 0 to 1.
    ceiling: float = 1

    # Requests that may wait at one entry.
    queue: int = DEFAULT_QUEUE


class KindRule(NamedTuple):
    """A kind of work of the note in force."""

    # Name of the kind of work, which callers give as the model.
    name: str

    # Model that does the work.
    model: str

    # Name of its rank.
    rank: str

    # Adapter of the model, or the empty string.
    adapter: str = ''

    # Target for the first token, in milliseconds.
    first_token_ms: int = DEFAULT_FIRST_TOKEN_MS

    # Target between two tokens, in milliseconds.
    between_tokens_ms: int = DEFAULT_BETWEEN_TOKENS_MS

    # Upper bound on the tokens of one answer.
    max_output_tokens: int = DEFAULT_OUTPUT_TOKENS


class ModelRule(NamedTuple):
    """A model of the note in force."""

    # Name of the model.
    name: str

    # Cell of engines that serves it.
    cell: str

    # Version of its weights.
    version: str

    # Adapters that may be asked for.
    adapters: tuple[str, ...] = ()


class CallerRule(NamedTuple):
    """A caller of the note in force."""

    # Name of the caller.
    name: str

    # Kinds of work it may use.
    kinds: frozenset[str]

    # Services it may use.
    services: frozenset[str]

    # Weight against the other callers of a rank.
    weight: int

    # Ranks that differ from the kind's, by kind.
    ranks: Mapping[str, str]


class ServiceRule(NamedTuple):
    """A service of the note in force."""

    # Name of the service, the first part of its routes.
    name: str

    # Calls that may not be repeated, such as 'POST /renewals'.
    once: frozenset[str]

    # Time limit of a call, in milliseconds.
    timeout_ms: int


class NotesInForce(NamedTuple):
    """What one revision says, as a request sees it."""

    # The revision.
    revision: int

    # Rules by name.
    ranks: Mapping[str, RankRule]
    kinds: Mapping[str, KindRule]
    models: Mapping[str, ModelRule]
    services: Mapping[str, ServiceRule]

    # Callers by the SHA-256 of a bearer token.
    callers: Mapping[str, CallerRule]

    # Bounds on roles by cell.
    roles: Mapping[str, Mapping[str, Any]]

    # Largest request body, in bytes.
    body_bytes: int

    # Longest time of a request, in milliseconds.
    request_ms: int


def view_records(
    revision: int, records: Mapping[str, Mapping[str, Any]]
) -> NotesInForce:
    """Build the typed view of checked records."""
    limits = records.get('limits.request', {})
    return NotesInForce(
        revision=revision,
        ranks={
            name: RankRule(name, **fields)
            for name, fields in select_section(records, 'ranks')
        },
        kinds={
            name: KindRule(name, **fields)
            for name, fields in select_section(records, 'kinds')
        },
        models={
            name: _view_model(name, fields)
            for name, fields in select_section(records, 'models')
        },
        services={
            name: _view_service(name, fields)
            for name, fields in select_section(records, 'services')
        },
        callers=_view_callers(records),
        roles=dict(select_section(records, 'roles')),
        body_bytes=limits.get('body_bytes', DEFAULT_BODY_BYTES),
        request_ms=limits.get('request_ms', DEFAULT_REQUEST_MS),
    )


def select_section(
    records: Mapping[str, Mapping[str, Any]], section: str
) -> list[tuple[str, Mapping[str, Any]]]:
    """List the (name, fields) pairs of one section, by name."""
    prefix = f'{section}.'
    return [
        (key.removeprefix(prefix), records[key])
        for key in sorted(records)
        if key.startswith(prefix)
    ]


def _view_model(name: str, fields: Mapping[str, Any]) -> ModelRule:
    adapters = tuple(fields.get('adapters', ()))
    return ModelRule(name, fields['cell'], fields['version'], adapters)


def _view_service(name: str, fields: Mapping[str, Any]) -> ServiceRule:
    timeout_ms = fields.get('timeout_ms', DEFAULT_SERVICE_TIMEOUT_MS)
    return ServiceRule(name, frozenset(fields.get('once', ())), timeout_ms)


def _view_callers(
    records: Mapping[str, Mapping[str, Any]],
) -> dict[str, CallerRule]:
    callers: dict[str, CallerRule] = {}
    for name, fields in select_section(records, 'callers'):
        caller = CallerRule(
            name=name,
            kinds=frozenset(fields.get('kinds', ())),
            services=frozenset(fields.get('services', ())),
            weight=fields.get('weight', 1),
            ranks=fields.get('ranks', {}),
        )
        callers.update(dict.fromkeys(fields['token_sha256'], caller))
    return callers
