"""The stored record of a cell: its lease, its plan and its orders."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from cranberryrelay.agreement._cell_messages import UpstreamPhase
from cranberryrelay.agreement._effects import EngineOrder
from cranberryrelay.agreement._voice import Identity

# Weight of the lease's token in the fencing token of an order.
FENCING_TOKEN_STRIDE: Final = 1_000_000_000


class UpstreamSetting(NamedTuple):
    """An upstream as configured in the settings."""

    # Name of the upstream.
    name: str

    # Kind of the upstream: 'engine' or 'service'.
    sort: str

    # Cell that it belongs to; for a service, the name of the service.
    cell: str

    # 'IP:port'.
    address: str

    # Failure domain that it is in.
    domain: str

    # True if it refuses orders with an outdated fencing token.
    checks_fencing: bool


class UpstreamTarget(NamedTuple):
    """Role and models that an engine should have by the note in force."""

    # Role: prefill, decode or mixed.
    role: str

    # Versions of the models that it should load, by model.
    models: Mapping[str, str]


class UpstreamRecord(NamedTuple):
    """An upstream in a cell's record."""

    # Phase of its service in the cell.
    phase: UpstreamPhase

    # Its current role.
    role: str

    # Versions of the models that it has loaded, by model.
    models: Mapping[str, str]

    # Order that is planned or sent; None while it serves.
    order: EngineOrder | None = None


class CellRecord(NamedTuple):
    """The value of a cell's object."""

    # Instance that holds the lease; empty if released.
    holder: str

    # Incarnation of the holder; empty if released.
    incarnation: str

    # Fencing token of the lease; incremented at each change of holder.
    token: int

    # Version of the plan; incremented at each change of the plan.
    version: int

    # Number of renewals, by which observers see that the lease is alive.
    renewals: int

    # Former holders that are not known to have stopped; their orders may
    # still be in flight.
    former_holders: tuple[str, ...]

    # Upstreams of the cell, by name.
    upstreams: Mapping[str, UpstreamRecord]


def cell_key(cell: str) -> str:
    """Return the key of a cell's object."""
    return f'cells/{cell}'


def order_fencing_token(token: int, version: int) -> int:
    """Return the fencing token of an order.

    It rises with each change of holder and with each new order, so that a
    delayed copy of an earlier order of the same holder is refused, too.
    """
    return token * FENCING_TOKEN_STRIDE + version


def take_over_cell(
    record: CellRecord,
    me: Identity,
    settings: Iterable[UpstreamSetting],
) -> CellRecord:
    """Build a new holder's record with a higher token and the same orders."""
    token = record.token + 1
    former_holders = set(record.former_holders)
    if record.holder and record.incarnation != me.incarnation:
        former_holders.add(record.holder)
    former_holders.discard(me.listed.instance)
    upstreams = {
        setting.name: UpstreamRecord(
            UpstreamPhase.SERVING, _initial_role(setting), {}
        )
        for setting in settings
    }
    configured = upstreams.keys() & record.upstreams.keys()
    for name in configured:
        upstream = record.upstreams[name]
        fencing_token = order_fencing_token(token, record.version + 1)
        upstreams[name] = _refresh_order_token(upstream, fencing_token)
    return record._replace(
        holder=me.listed.instance,
        incarnation=me.incarnation,
        token=token,
        version=record.version + 1,
        renewals=0,
        former_holders=tuple(sorted(former_holders)),
        upstreams=upstreams,
    )


def _initial_role(setting: UpstreamSetting) -> str:
    return 'mixed' if setting.sort == 'engine' else ''


def _refresh_order_token(
    upstream: UpstreamRecord, fencing_token: int
) -> UpstreamRecord:
    if upstream.order is None:
        return upstream
    return upstream._replace(order=upstream.order._replace(token=fencing_token))
