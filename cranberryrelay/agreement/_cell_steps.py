"""The steps of an upstream: serving, draining, ordered, leaving.

A step looks at what the cell's holder knows and returns the upstream's next
record; it writes nothing itself.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final, NamedTuple

from cranberryrelay.agreement._cell_messages import Phase
from cranberryrelay.agreement._cell_records import (
    CellRecord,
    UpstreamRecord,
    UpstreamTarget,
    fence_number,
)
from cranberryrelay.agreement._effects import EngineOrder
from cranberryrelay.agreement._voice import LIST_LAG_SECONDS

if TYPE_CHECKING:
    from cranberryrelay.agreement._cell import CellPart

ENGINES_PER_DRAIN: Final = 4


class StepContext(NamedTuple):
    """What the step of one upstream may look at."""

    # Name of the upstream.
    name: str

    # The cell.
    part: 'CellPart'

    # What the upstream should be; None for no opinion.
    target: UpstreamTarget | None

    # The cell's record.
    record: CellRecord

    # Version of the plan if the upstream changes.
    next_version: int

    # The time; own clock.
    now: float

    # True if a different order may be given.
    free: bool


def advance_cell(
    record: CellRecord,
    part: 'CellPart',
    targets: Mapping[str, UpstreamTarget],
    now: float,
) -> CellRecord:
    """Move each upstream to its next phase where that is allowed."""
    former = tuple(
        name
        for name in record.former
        if not part.absence.is_gone(name, now) and name not in part.quiet
    )
    upstreams: dict[str, UpstreamRecord] = {}
    version = record.version
    for name, upstream in record.upstreams.items():
        leaving = name in part.absence.leaving
        step = _step_leaving if leaving else _choose_step(upstream)
        free = part.settings[name].checks_fencing or (
            not former and part.deliveries_ended(name, now)
        )
        so_far = record._replace(upstreams={**record.upstreams, **upstreams})
        context = StepContext(
            name, part, targets.get(name), so_far, version + 1, now, free
        )
        upstreams[name] = step(upstream, context)
        if upstreams[name] != upstream:
            version += 1
    return record._replace(former=former, upstreams=upstreams, version=version)


def _choose_step(
    upstream: UpstreamRecord,
) -> Callable[[UpstreamRecord, StepContext], UpstreamRecord]:
    steps = {
        Phase.SERVING: _step_serving,
        Phase.DRAINING: _step_draining,
        Phase.ORDERED: _step_ordered,
        Phase.LEAVING: _step_back,
    }
    return steps[upstream.phase]


def _step_serving(
    upstream: UpstreamRecord, context: StepContext
) -> UpstreamRecord:
    target = context.target
    if target is None:
        return upstream
    if upstream.models and context.part.has_lost_models(context.name, upstream):
        return upstream._replace(models={})
    if (target.role, target.models) == (upstream.role, upstream.models):
        return upstream
    order = EngineOrder(
        order_id=f'{context.record.token}.{context.next_version}',
        token=fence_number(context.record.token, context.next_version),
        role=target.role,
        models=target.models,
    )
    if upstream.models and not may_start_drain(context.record):
        return upstream
    context.part.drain_since.pop(context.name, None)
    return upstream._replace(phase=Phase.DRAINING, order=order)


def may_start_drain(record: CellRecord) -> bool:
    """Tell if one more engine may stop serving; never all at once."""
    away = sum(
        1
        for upstream in record.upstreams.values()
        if upstream.phase is not Phase.SERVING
    )
    return away < max(len(record.upstreams) // ENGINES_PER_DRAIN, 1)


def _step_draining(
    upstream: UpstreamRecord, context: StepContext
) -> UpstreamRecord:
    part = context.part
    if context.name not in part.drain_since:
        since = (context.record.version, context.now)
        part.drain_since[context.name] = since
    if not is_drained(context) or not context.free:
        return upstream
    if upstream.order is None:
        return upstream._replace(phase=Phase.SERVING)
    return upstream._replace(phase=Phase.ORDERED)


def _step_ordered(
    upstream: UpstreamRecord, context: StepContext
) -> UpstreamRecord:
    order = upstream.order
    if order is None or order.order_id not in context.part.done:
        return upstream
    context.part.done.discard(order.order_id)
    context.part.reported_models.pop(context.name, None)
    if order.role != upstream.role:
        context.part.role_changes += 1
    return UpstreamRecord(Phase.SERVING, order.role, order.models)


def _step_leaving(
    upstream: UpstreamRecord, context: StepContext
) -> UpstreamRecord:
    return upstream._replace(phase=Phase.LEAVING, order=None)


def _step_back(
    upstream: UpstreamRecord, context: StepContext
) -> UpstreamRecord:
    return UpstreamRecord(Phase.SERVING, upstream.role, {})


def is_drained(context: StepContext) -> bool:
    """Tell if nothing can reach or still run on a draining upstream.

    Every entry listed later than the list's lag after the drain was
    recorded must have applied it and be done, and the upstream be idle.
    """
    part = context.part
    version, since = part.drain_since[context.name]
    if not context.record.upstreams[context.name].models:
        return part.is_idle(context.name)
    if part.absence.read_at - since <= LIST_LAG_SECONDS:
        return False
    for instance in part.absence.listed:
        ack = part.acks.get(instance)
        if ack is None or ack.token != context.record.token:
            return False
        if ack.version < version or context.name in ack.busy:
            return False
    return part.is_idle(context.name)
