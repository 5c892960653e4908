"""What must hold after every step of a local network."""

from collections.abc import Iterator

from cranberryrelay.agreement import EVIDENCE_BOUND_SECONDS
from cranberryrelay.testkit._local_network import (
    STEP_SECONDS,
    LocalNetwork,
    OrderedEngine,
)


def find_stale_admissions(network: LocalNetwork) -> Iterator[str]:
    """Find instances that admit work under a revision that is too old."""
    latest_acceptance = network.now - EVIDENCE_BOUND_SECONDS - STEP_SECONDS
    needed = max(
        (
            revision
            for revision, accepted_at in network.accepted_at.items()
            if accepted_at < latest_acceptance
        ),
        default=0,
    )
    for name in network.instances:
        lowest = min(
            network.admits(name, entry=True) or needed,
            network.admits(name, entry=False) or needed,
        )
        if lowest < needed:
            yield f'{name} admits {lowest}, accepted {needed}'


def find_double_holders(network: LocalNetwork) -> Iterator[str]:
    """Find cells for which two instances believe in their lease."""
    upstreams = next(iter(network.all_settings.values())).upstreams
    cells = sorted({upstream.cell for upstream in upstreams})
    for cell in cells:
        holders = [
            name
            for name, instance in network.instances.items()
            if not instance.paused
            and instance.steward.cells[cell].holds_lease(network.now)
        ]
        if len(holders) > 1:
            yield f'{cell} is held by {holders}'


def find_conflicting_orders(engine: OrderedEngine) -> Iterator[str]:
    """Find orders that an engine obeyed after a later, different one."""
    obeyed = [landed.order for landed in engine.landed if landed.obeyed]
    highest = 0
    content_by_token: dict[int, set[str]] = {}
    for order in obeyed:
        if order.token < highest:
            content = f'{order.order_id} {order.role} {order.models}'
            known = content_by_token.get(highest, set())
            if content not in known:
                yield f'{engine.name} obeyed {order} after {highest}'
        highest = max(highest, order.token)
        content = f'{order.order_id} {order.role} {order.models}'
        content_by_token.setdefault(highest, set()).add(content)


def find_cut_work(network: LocalNetwork) -> Iterator[str]:
    """Find engines whose running work was cut by an order."""
    for engine in network.engines.values():
        if engine.cut:
            yield f'{engine.name} cut {engine.cut} requests'
