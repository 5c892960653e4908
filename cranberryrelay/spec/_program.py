"""Proves the rules and shows that each broken variant is caught."""

import sys
from collections.abc import Callable
from typing import Final, NamedTuple

from cranberryrelay.spec._in_force import make_in_force_system
from cranberryrelay.spec._late_orders import make_late_orders_system
from cranberryrelay.spec._ledger import make_ledger_system
from cranberryrelay.spec._orders import make_orders_system
from cranberryrelay.spec._system import System, find_violation, prove

DEPTH: Final = 12


class Rule(NamedTuple):
    """A safety rule, its system and the variants that break it."""

    # The rule in words.
    name: str

    # Makes the system of a variant; the empty variant is the real one.
    make: Callable[[str], System]

    # Variants that must break the rule.
    variants: tuple[str, ...]


RULES: Final = (
    Rule(
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
    Rule(
        'no older order is obeyed by an engine that checks fencing',
        lambda variant: make_orders_system(
            checks_fencing=True, variant=variant
        ),
        ('no fence sent', 'one fence for a tenure', 'order before record'),
    ),
    Rule(
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
    Rule(
        'an order carried out late knew of all that had changed before',
        make_late_orders_system,
        ('no number of orders', 'no incarnation', 'orders not counted'),
    ),
    Rule(
        'a call that may not be repeated is dispatched at most once',
        make_ledger_system,
        (
            'append without condition',
            'dispatch before the ledger',
            'release of a call that may have run',
        ),
    ),
)


def check_rule(rule: Rule) -> list[str]:
    """Check a rule and its variants; returns what is not as it must be."""
    verdict = prove(rule.make(''))
    proof = 'proved by induction' if verdict.proved else verdict.reason
    sys.stdout.write(f'{rule.name}: {proof}\n')
    faults = [] if verdict.proved else [f'{rule.name}: {verdict.reason}']
    for variant in rule.variants:
        caught = find_violation(rule.make(variant), DEPTH)
        told = ' -> '.join(caught.steps) or 'NOT CAUGHT'
        sys.stdout.write(f'  variant "{variant}": {told}\n')
        if not caught.steps:
            faults.append(f'{variant}: {caught.reason}')
    sys.stdout.flush()
    return faults


def main() -> None:
    """Check all rules; exit status 1 if any is not as it must be."""
    faults = [fault for rule in RULES for fault in check_rule(rule)]
    sys.stdout.write(f'spec: {len(RULES)} rules, {len(faults)} faults\n')
    sys.exit(int(bool(faults)))
