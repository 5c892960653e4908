"""The typed, read-only view of the records in force for the data path."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from cranberryrelay.notes._folded_notes import RecordChange

DEFAULT_BODY_BYTES: Final = 1_000_000
DEFAULT_REQUEST_MS: Final = 60_000
DEFAULT_FIRST_TOKEN_MS: Final = 1300
DEFAULT_BETWEEN_TOKENS_MS: Final = 52
DEFAULT_MAX_OUTPUT_TOKENS: Final = 1024
DEFAULT_QUEUE_LENGTH: Final = 64
DEFAULT_SERVICE_TIMEOUT_MS: Final = 10_000


class RankRule(NamedTuple):
    """A rank of the records in force."""

    # Name of the rank.
    name: str

    # Urgency, from 1 (most urgent) to 3 (least urgent).
    level: int

    # Share of the capacity that no other rank can take, from 0 to 1.
    floor: float

    # Largest share of the capacity that the rank may use, from 0 to 1.
    ceiling: float = 1

    # Maximum number of requests of the rank queued at one entry.
    queue: int = DEFAULT_QUEUE_LENGTH


class KindRule(NamedTuple):
    """A kind of work of the records in force."""

    # Name of the kind of work, which callers send as the model name.
    name: str

    # Name of the model that serves it.
    model: str

    # Name of its rank.
    rank: str

    # Adapter that the model uses; empty if none.
    adapter: str = ''

    # Target for the time to first token, in milliseconds.
    first_token_ms: int = DEFAULT_FIRST_TOKEN_MS

    # Target for the time between two tokens, in milliseconds.
    between_tokens_ms: int = DEFAULT_BETWEEN_TOKENS_MS

    # Maximum number of output tokens of one request.
    max_output_tokens: int = DEFAULT_MAX_OUTPUT_TOKENS


class ModelRule(NamedTuple):
    """A model of the records in force."""

    # Name of the model.
    name: str

    # Cell of engines that serves the model.
    cell: str

    # Version of the model weights.
    version: str

    # Names of the adapters that requests may use.
    adapters: tuple[str, ...] = ()


class CallerRule(NamedTuple):
    """A caller of the records in force."""

    # Name of the caller.
    name: str

    # Names of the kinds of work that the caller may use.
    kinds: frozenset[str]

    # Names of the services that the caller may use.
    services: frozenset[str]

    # Weight in fair queueing among the callers of a rank.
    weight: int

    # Ranks that replace the rank of a kind of work, by kind of work.
    rank_overrides: Mapping[str, str]


class ServiceRule(NamedTuple):
    """A service of the records in force."""

    # Name of the service, which is the first segment of its routes.
    name: str

    # Calls that must run at most once, such as 'POST /renewals'.
    at_most_once_calls: frozenset[str]

    # Timeout of one call, in milliseconds.
    timeout_ms: int


class NotesInForce(NamedTuple):
    """The records in force at one revision, as a request uses them.

    Fields that hold a section of the release notes have its name.
    """

    # Last revision that the view includes.
    revision: int

    # Rules by name.
    ranks: Mapping[str, RankRule]
    kinds: Mapping[str, KindRule]
    models: Mapping[str, ModelRule]
    services: Mapping[str, ServiceRule]

    # Callers by the SHA-256 of a bearer token.
    callers: Mapping[str, CallerRule]

    # Fields of the section roles by cell.
    roles: Mapping[str, Mapping[str, Any]]

    # Maximum size of a request body, in bytes.
    body_bytes: int

    # Maximum duration of one request, in milliseconds.
    request_ms: int


def build_view(
    revision: int, records: Mapping[str, Mapping[str, Any]]
) -> NotesInForce:
    """Build the typed view of records that were validated."""
    empty = NotesInForce(
        revision=revision,
        ranks={},
        kinds={},
        models={},
        services={},
        callers={},
        roles={},
        body_bytes=DEFAULT_BODY_BYTES,
        request_ms=DEFAULT_REQUEST_MS,
    )
    changes = [
        RecordChange(key, None, dict(records[key])) for key in sorted(records)
    ]
    return update_view(empty, revision, changes)


def update_view(
    view: NotesInForce, revision: int, changes: Iterable[RecordChange]
) -> NotesInForce:
    """Return a view with the changed records applied.

    Copies the sections that change, so that the previous view stays as it was
    for the requests admitted under it.
    """
    updated: dict[str, Any] = {'revision': revision}
    for change in changes:
        section, _, name = change.key.partition('.')
        if section == 'limits':
            updated.update(_read_limits(change.after or {}))
            continue
        if section not in updated:
            updated[section] = dict(getattr(view, section))
        _update_table(updated[section], section, name, change)
    return view._replace(**updated)


def _update_table(
    table: dict[str, Any], section: str, name: str, change: RecordChange
) -> None:
    if section == 'callers':
        for token_digest in (change.before or {}).get('token_sha256', ()):
            table.pop(token_digest, None)
        if change.after is not None:
            caller = _build_caller(name, change.after)
            token_digests = change.after['token_sha256']
            table.update(dict.fromkeys(token_digests, caller))
        return
    if change.after is None:
        table.pop(name, None)
    else:
        table[name] = _RULE_BUILDERS[section](name, change.after)


def _build_model(name: str, fields: Mapping[str, Any]) -> ModelRule:
    adapters = tuple(fields.get('adapters', ()))
    return ModelRule(name, fields['cell'], fields['version'], adapters)


def _build_service(name: str, fields: Mapping[str, Any]) -> ServiceRule:
    timeout_ms = fields.get('timeout_ms', DEFAULT_SERVICE_TIMEOUT_MS)
    return ServiceRule(name, frozenset(fields.get('once', ())), timeout_ms)


def _build_caller(name: str, fields: Mapping[str, Any]) -> CallerRule:
    return CallerRule(
        name=name,
        kinds=frozenset(fields.get('kinds', ())),
        services=frozenset(fields.get('services', ())),
        weight=fields.get('weight', 1),
        rank_overrides=fields.get('ranks', {}),
    )


def _read_limits(fields: Mapping[str, Any]) -> dict[str, int]:
    return {
        'body_bytes': fields.get('body_bytes', DEFAULT_BODY_BYTES),
        'request_ms': fields.get('request_ms', DEFAULT_REQUEST_MS),
    }


def _build_rank(name: str, fields: Mapping[str, Any]) -> RankRule:
    return RankRule(name, **fields)


def _build_kind(name: str, fields: Mapping[str, Any]) -> KindRule:
    return KindRule(name, **fields)


def _build_role(name: str, fields: Mapping[str, Any]) -> Mapping[str, Any]:
    return fields


_RuleBuilder = Callable[[str, Mapping[str, Any]], Any]
_RULE_BUILDERS: Final[Mapping[str, _RuleBuilder]] = MappingProxyType(
    {
        'models': _build_model,
        'ranks': _build_rank,
        'kinds': _build_kind,
        'services': _build_service,
        'roles': _build_role,
    }
)
