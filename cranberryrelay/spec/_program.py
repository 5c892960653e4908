"""Proves the safety properties and rejects each broken variant."""

import sys
from collections.abc import Callable
from typing import Final, NamedTuple

from cranberryrelay.spec._in_force import make_in_force_system
from cranberryrelay.spec._late_orders import make_late_orders_system
from cranberryrelay.spec._ledger import make_ledger_system
from cranberryrelay.spec._orders import make_orders_system
from cranberryrelay.spec._system import (
    TransitionSystem,
    find_counterexample,
    prove,
)

DEPTH: Final = 12


class SafetyProperty(NamedTuple):
    """A safety property with its specification and its broken variants."""

    # The property in words, as printed.
    name: str

    # Builds the specification of a variant; an empty name omits nothing.
    make_system: Callable[[str], TransitionSystem]

    # Names of the variants that must violate the property.
    variants: tuple[str, ...]


PROPERTIES: Final = (
    SafetyProperty(
        'a majority of voices shows every revision accepted before',
        make_in_force_system,
        (
            'voice taken without proof',
            'forgetful voice counted',
            'object before memory',
            'one domain accepts',
            'evidence aged from its answer',
        ),
    ),
    SafetyProperty(
        'no older order is obeyed by an engine that checks fencing',
        lambda variant: make_orders_system(
            checks_fencing=True, variant=variant
        ),
        ('no fence sent', 'one fence for a tenure', 'order before record'),
    ),
    SafetyProperty(
        'no older order is obeyed by an engine that ignores fencing',
        lambda variant: make_orders_system(
            checks_fencing=False, variant=variant
        ),
        (
            'former holders forgotten',
            'own sending forgotten',
            'order before record',
        ),
    ),
    SafetyProperty(
        'an order carried out late knew of all that had changed before',
        make_late_orders_system,
        ('no number of orders', 'no incarnation', 'orders not counted'),
    ),
    SafetyProperty(
        'a call that may not be repeated is dispatched at most once',
        make_ledger_system,
        (
            'append without condition',
            'dispatch before the ledger',
            'release of a call that may have run',
        ),
    ),
)


def check_property(safety_property: SafetyProperty) -> list[str]:
    """Check a property and its variants; returns a text per fault found."""
    proof = prove(safety_property.make_system(''))
    summary = 'proved by induction' if proof.proved else proof.reason
    sys.stdout.write(f'{safety_property.name}: {summary}\n')
    faults = [] if proof.proved else [f'{safety_property.name}: {proof.reason}']
    for variant in safety_property.variants:
        search = find_counterexample(
            safety_property.make_system(variant), DEPTH
        )
        trace = ' -> '.join(search.counterexample) or 'NOT CAUGHT'
        sys.stdout.write(f'  variant "{variant}": {trace}\n')
        if not search.counterexample:
            faults.append(f'{variant}: {search.reason}')
    sys.stdout.flush()
    return faults


def main() -> None:
    """Check all properties; the exit status is 1 if a fault is found."""
    faults = [
        fault
        for safety_property in PROPERTIES
        for fault in check_property(safety_property)
    ]
    sys.stdout.write(f'spec: {len(PROPERTIES)} rules, {len(faults)} faults\n')
    sys.exit(int(bool(faults)))
