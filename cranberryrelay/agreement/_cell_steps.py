"""Phase transitions of an upstream: serving, draining, ordered, leaving.

A step reads the state of the cell's holder and returns the upstream's next
record; it doesn't write to the store.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final, NamedTuple

from cranberryrelay.agreement._cell_messages import UpstreamPhase
from cranberryrelay.agreement._cell_records import (
    CellRecord,
    UpstreamRecord,
    UpstreamTarget,
    order_fencing_token,
)
from cranberryrelay.agreement._effects import EngineOrder
from cranberryrelay.agreement._voice import LIST_LAG_SECONDS

if TYPE_CHECKING:
    from cranberryrelay.agreement._cell import CellPart

# One engine in this many, but at least one, may be out of service at a time,
# so that the engines of a cell don't all stop serving at once.
ENGINES_PER_DRAIN: Final = 4


class StepContext(NamedTuple):
    """Input of the step of one upstream."""

    # Name of the upstream.
    name: str

    # State of the cell.
    part: 'CellPart'

    # Role and models that the upstream should have; None for no change.
    target: UpstreamTarget | None

    # The cell's record.
    record: CellRecord

    # Version of the plan if the step changes the upstream.
    next_version: int

    # Current time; own clock.
    now: float

    # True if a different order may be sent.
    order_allowed: bool


def advance_cell(
    record: CellRecord,
    part: 'CellPart',
    targets: Mapping[str, UpstreamTarget],
    now: float,
) -> CellRecord:
    """Move each upstream to its next phase if that is allowed."""
    former_holders = tuple(
        name
        for name in record.former_holders
        if not part.absence.has_stopped(name, now)
        and name not in part.quiescent_instances
    )
    upstreams: dict[str, UpstreamRecord] = {}
    version = record.version
    for name, upstream in record.upstreams.items():
        leaving = name in part.absence.leaving
        step = _step_leaving if leaving else _choose_step(upstream)
        order_allowed = part.settings[name].checks_fencing or (
            not former_holders and part.delivery_window_passed(name, now)
        )
        current_record = record._replace(
            upstreams={**record.upstreams, **upstreams}
        )
        context = StepContext(
            name,
            part,
            targets.get(name),
            current_record,
            version + 1,
            now,
            order_allowed,
        )
        upstreams[name] = step(upstream, context)
        if upstreams[name] != upstream:
            version += 1
    return record._replace(
        former_holders=former_holders, upstreams=upstreams, version=version
    )


def _choose_step(
    upstream: UpstreamRecord,
) -> Callable[[UpstreamRecord, StepContext], UpstreamRecord]:
    steps = {
        UpstreamPhase.SERVING: _step_serving,
        UpstreamPhase.DRAINING: _step_draining,
        UpstreamPhase.ORDERED: _step_ordered,
        UpstreamPhase.LEAVING: _step_return,
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
        token=order_fencing_token(context.record.token, context.next_version),
        role=target.role,
        models=target.models,
    )
    if upstream.models and not may_start_drain(context.record):
        return upstream
    context.part.drain_started.pop(context.name, None)
    return upstream._replace(phase=UpstreamPhase.DRAINING, order=order)


def may_start_drain(record: CellRecord) -> bool:
    """Return whether one more engine may stop serving."""
    not_serving = sum(
        1
        for upstream in record.upstreams.values()
        if upstream.phase is not UpstreamPhase.SERVING
    )
    return not_serving < max(len(record.upstreams) // ENGINES_PER_DRAIN, 1)


def _step_draining(
    upstream: UpstreamRecord, context: StepContext
) -> UpstreamRecord:
    part = context.part
    if context.name not in part.drain_started:
        since = (context.record.version, context.now)
        part.drain_started[context.name] = since
    if not is_drained(context) or not context.order_allowed:
        return upstream
    if upstream.order is None:
        return upstream._replace(phase=UpstreamPhase.SERVING)
    return upstream._replace(phase=UpstreamPhase.ORDERED)


def _step_ordered(
    upstream: UpstreamRecord, context: StepContext
) -> UpstreamRecord:
    order = upstream.order
    if order is None or order.order_id not in context.part.executed_orders:
        return upstream
    context.part.executed_orders.discard(order.order_id)
    context.part.reported_models.pop(context.name, None)
    if order.role != upstream.role:
        context.part.role_changes += 1
    return UpstreamRecord(UpstreamPhase.SERVING, order.role, order.models)


def _step_leaving(
    upstream: UpstreamRecord, context: StepContext
) -> UpstreamRecord:
    return upstream._replace(phase=UpstreamPhase.LEAVING, order=None)


def _step_return(
    upstream: UpstreamRecord, context: StepContext
) -> UpstreamRecord:
    return UpstreamRecord(UpstreamPhase.SERVING, upstream.role, {})


def is_drained(context: StepContext) -> bool:
    """Return whether a draining upstream has no work and gets none.

    Each entry in a list of instances that was read later than the list's lag
    after the drain was recorded must have acknowledged the drain and have no
    work left on the upstream, and the upstream must report no work.  An
    upstream without models gets no work, so only its report counts.
    """
    part = context.part
    version, since = part.drain_started[context.name]
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
