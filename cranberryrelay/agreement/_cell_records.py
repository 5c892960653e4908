"""A cell's object: its lease, its plan and its orders as one record."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from cranberryrelay.agreement._cell_messages import Phase
from cranberryrelay.agreement._effects import EngineOrder
from cranberryrelay.agreement._voice import Identity

FENCE_STEP: Final = 1_000_000_000


class UpstreamSetting(NamedTuple):
    """An upstream as the settings name it."""

    # Name of the upstream.
    name: str

    # 'engine' or 'service'.
    sort: str

    # Cell that it belongs to; for services the service's name.
    cell: str

    # 'IP:port'.
    address: str

    # Failure domain that it is in.
    domain: str

    # True if it refuses orders with an old fencing token.
    checks_fencing: bool


class UpstreamTarget(NamedTuple):
    """What an engine should be under the note in force."""

    # Prefill, decode or mixed.
    role: str

    # Versions of the models to load, by model.
    models: Mapping[str, str]


class UpstreamRecord(NamedTuple):
    """An upstream in the cell's object."""

    # What it is doing for the cell.
    phase: Phase

    # Role that it has.
    role: str

    # Versions of the models it has, by model.
    models: Mapping[str, str]

    # Order that is planned or given; None when it serves.
    order: EngineOrder | None = None


class CellRecord(NamedTuple):
    """The value of a cell's object."""

    # Instance that holds the lease; empty when released.
    holder: str

    # Incarnation of the holder.
    incarnation: str

    # Fencing token; rises with each change of holder.
    token: int

    # Version of the plan; rises with each change of it.
    version: int

    # Counts renewals, so that observers see the object change.
    renewals: int

    # Former holders that are not known to have stopped.
    former: tuple[str, ...]

    # The upstreams of the cell, by name.
    upstreams: Mapping[str, UpstreamRecord]


def cell_key(cell: str) -> str:
    """Return the key of a cell's object."""
    return f'cells/{cell}'


def fence_number(token: int, version: int) -> int:
    """Return the fencing number of an order.

    It rises with each change of holder and with each new order, so a late
    copy of an order of the same holder is refused as well.
    """
    return token * FENCE_STEP + version


def take_over_cell(
    record: CellRecord,
    me: Identity,
    settings: Iterable[UpstreamSetting],
) -> CellRecord:
    """Build the record of a new holder: a higher token, the same orders."""
    token = record.token + 1
    former = set(record.former)
    if record.holder and record.incarnation != me.incarnation:
        former.add(record.holder)
    former.discard(me.listed.instance)
    upstreams = {
        one.name: UpstreamRecord(Phase.SERVING, _first_role(one), {})
        for one in settings
    }
    configured = upstreams.keys() & record.upstreams.keys()
    for name in configured:
        upstream = record.upstreams[name]
        fence = fence_number(token, record.version + 1)
        upstreams[name] = _renew_order(upstream, fence)
    return record._replace(
        holder=me.listed.instance,
        incarnation=me.incarnation,
        token=token,
        version=record.version + 1,
        renewals=0,
        former=tuple(sorted(former)),
        upstreams=upstreams,
    )


def _first_role(setting: UpstreamSetting) -> str:
    return 'mixed' if setting.sort == 'engine' else ''


def _renew_order(upstream: UpstreamRecord, fence: int) -> UpstreamRecord:
    if upstream.order is None:
        return upstream
    return upstream._replace(order=upstream.order._replace(token=fence))
