"""Invariants that must hold after every step of a simulated network."""

from collections.abc import Iterator

from cranberryrelay.agreement import EVIDENCE_BOUND_SECONDS
from cranberryrelay.testkit._local_network import (
    STEP_SECONDS,
    SimulatedEngine,
    SimulatedNetwork,
)


def find_stale_admissions(network: SimulatedNetwork) -> Iterator[str]:
    """Find instances that admit work under an outdated revision.

    An instance must not use a revision older than one that was accepted more
    than ``EVIDENCE_BOUND_SECONDS`` ago, with one time step of tolerance.
    """
    latest_acceptance = network.now - EVIDENCE_BOUND_SECONDS - STEP_SECONDS
    required = max(
        (
            revision
            for revision, accepted_at in network.accepted_at.items()
            if accepted_at < latest_acceptance
        ),
        default=0,
    )
    for name in network.instances:
        admitted = min(
            network.get_admitted_revision(name, entry=True) or required,
            network.get_admitted_revision(name, entry=False) or required,
        )
        if admitted < required:
            yield f'{name} admits revision {admitted}, required: {required}'


def find_duplicate_lease_holders(network: SimulatedNetwork) -> Iterator[str]:
    """Find cells whose lease several instances believe they hold."""
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
            yield f'the lease of {cell} is held by {holders}'


def find_conflicting_orders(engine: SimulatedEngine) -> Iterator[str]:
    """Find orders that an engine executed after a different, later one."""
    executed = [
        delivery.order for delivery in engine.deliveries if delivery.executed
    ]
    highest_token = 0
    content_by_token: dict[int, set[str]] = {}
    for order in executed:
        if order.token < highest_token:
            content = f'{order.order_id} {order.role} {order.models}'
            known_contents = content_by_token.get(highest_token, set())
            if content not in known_contents:
                yield f'{engine.name} executed {order} after {highest_token}'
        highest_token = max(highest_token, order.token)
        content = f'{order.order_id} {order.role} {order.models}'
        content_by_token.setdefault(highest_token, set()).add(content)


def find_interrupted_work(network: SimulatedNetwork) -> Iterator[str]:
    """Find engines on which an order interrupted running requests."""
    for engine in network.engines.values():
        if engine.interrupted:
            yield f'{engine.name} interrupted {engine.interrupted} requests'
