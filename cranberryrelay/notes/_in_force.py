"""The typed view of the records in force that the data path works with."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from cranberryrelay.notes._folded_notes import RecordChange

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
    return amend_view(empty, revision, changes)


def amend_view(
    view: NotesInForce, revision: int, changes: Iterable[RecordChange]
) -> NotesInForce:
    """Build the view after some records have changed.

    Tables that change are copied, so requests that were admitted under the
    view before keep it.
    """
    copied: dict[str, Any] = {'revision': revision}
    for change in changes:
        section, _, name = change.key.partition('.')
        if section == 'limits':
            copied.update(_view_limits(change.after or {}))
            continue
        if section not in copied:
            copied[section] = dict(getattr(view, section))
        _amend_table(copied[section], section, name, change)
    return view._replace(**copied)


def _amend_table(
    table: dict[str, Any], section: str, name: str, change: RecordChange
) -> None:
    if section == 'callers':
        for gone in (change.before or {}).get('token_sha256', ()):
            table.pop(gone, None)
        if change.after is not None:
            caller = _view_caller(name, change.after)
            tokens = change.after['token_sha256']
            table.update(dict.fromkeys(tokens, caller))
        return
    if change.after is None:
        table.pop(name, None)
    else:
        table[name] = _VIEWS[section](name, change.after)


def _view_model(name: str, fields: Mapping[str, Any]) -> ModelRule:
    adapters = tuple(fields.get('adapters', ()))
    return ModelRule(name, fields['cell'], fields['version'], adapters)


def _view_service(name: str, fields: Mapping[str, Any]) -> ServiceRule:
    timeout_ms = fields.get('timeout_ms', DEFAULT_SERVICE_TIMEOUT_MS)
    return ServiceRule(name, frozenset(fields.get('once', ())), timeout_ms)


def _view_caller(name: str, fields: Mapping[str, Any]) -> CallerRule:
    return CallerRule(
        name=name,
        kinds=frozenset(fields.get('kinds', ())),
        services=frozenset(fields.get('services', ())),
        weight=fields.get('weight', 1),
        ranks=fields.get('ranks', {}),
    )


def _view_limits(fields: Mapping[str, Any]) -> dict[str, int]:
    return {
        'body_bytes': fields.get('body_bytes', DEFAULT_BODY_BYTES),
        'request_ms': fields.get('request_ms', DEFAULT_REQUEST_MS),
    }


def _view_rank(name: str, fields: Mapping[str, Any]) -> RankRule:
    return RankRule(name, **fields)


def _view_kind(name: str, fields: Mapping[str, Any]) -> KindRule:
    return KindRule(name, **fields)


def _view_role(name: str, fields: Mapping[str, Any]) -> Mapping[str, Any]:
    return fields


_ViewRecord = Callable[[str, Mapping[str, Any]], Any]
_VIEWS: Final[Mapping[str, _ViewRecord]] = MappingProxyType(
    {
        'models': _view_model,
        'ranks': _view_rank,
        'kinds': _view_kind,
        'services': _view_service,
        'roles': _view_role,
    }
)
