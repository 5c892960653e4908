"""Specification of orders that an engine of the target platform runs late.

The sender first queries the engine; the order then carries the number of
orders that the engine had executed at the query, and the engine's
incarnation.  For message S these are ``expect_S`` and ``born_S``; ``seen_S``
is the number of changes of the engine before the query.  A message may be
delivered any number of times until it is dropped, also after a restart of the
engine.  The safety property: the sender of an order that the engine executes
knew of all earlier changes of the engine.
"""

from collections.abc import Mapping
from functools import partial
from typing import Any, Final

import z3

from cranberryrelay.spec._system import Action, Formula, State, TransitionSystem

MESSAGES: Final = ('0', '1', '2')
Z3_FALSE: Final = z3.BoolVal(val=False)
Z3_TRUE: Final = z3.BoolVal(val=True)
Step = tuple[Formula, Mapping[str, Any]]


def make_late_orders_system(variant: str = '') -> TransitionSystem:
    """Build the specification; a named variant omits one safeguard."""
    variables: dict[str, Any] = {
        'sequence': z3.Int,
        'born': z3.Int,
        'changes': z3.Int,
        'conflict': z3.Bool,
    }
    initial: dict[str, Any] = {
        'sequence': 0,
        'born': 0,
        'changes': 0,
        'conflict': Z3_FALSE,
    }
    actions = [Action('start again', restart_engine)]
    for suffix in MESSAGES:
        variables[f'flying_{suffix}'] = z3.Bool
        initial[f'flying_{suffix}'] = Z3_FALSE
        for field in ('expect', 'born', 'seen'):
            variables[f'{field}_{suffix}'] = z3.Int
            initial[f'{field}_{suffix}'] = 0
        for name, step in (
            ('send', send_order),
            ('land', deliver),
            ('drop', drop_message),
        ):
            step_of_message = partial(step, suffix=suffix, variant=variant)
            actions.append(Action(f'{name} {suffix}', step_of_message))
    return TransitionSystem(
        variables,
        initial,
        actions,
        lambda state: z3.Not(state.conflict),
        _invariant,
    )


def restart_engine(state: State) -> Step:
    """Start a new incarnation, which has executed no orders."""
    changes = {
        'sequence': z3.IntVal(0),
        'born': state.born + 1,
        'changes': state.changes + 1,
    }
    return Z3_TRUE, changes


def send_order(state: State, suffix: str, variant: str) -> Step:
    """Query the engine, then send it an order."""
    changes = {
        f'flying_{suffix}': Z3_TRUE,
        f'expect_{suffix}': state.sequence,
        f'born_{suffix}': state.born,
        f'seen_{suffix}': state.changes,
    }
    return z3.Not(getattr(state, f'flying_{suffix}')), changes


def deliver(state: State, suffix: str, variant: str) -> Step:
    """Execute an order if its count and incarnation match the engine's."""
    same_count = getattr(state, f'expect_{suffix}') == state.sequence
    same_incarnation = getattr(state, f'born_{suffix}') == state.born
    if variant == 'no number of orders':
        same_count = Z3_TRUE
    if variant == 'no incarnation':
        same_incarnation = Z3_TRUE
    executed = z3.And(same_count, same_incarnation)
    increment = 0 if variant == 'orders not counted' else 1
    saw_all_changes = getattr(state, f'seen_{suffix}') == state.changes
    changes = {
        'sequence': z3.If(executed, state.sequence + increment, state.sequence),
        'changes': z3.If(executed, state.changes + 1, state.changes),
        'conflict': z3.Or(
            state.conflict, z3.And(executed, z3.Not(saw_all_changes))
        ),
    }
    return getattr(state, f'flying_{suffix}'), changes


def drop_message(state: State, suffix: str, variant: str) -> Step:
    """Drop a message in flight."""
    return getattr(state, f'flying_{suffix}'), {f'flying_{suffix}': Z3_FALSE}


def _invariant(state: State) -> Formula:
    """Build the invariant: a sender whose order matches knew all changes."""
    parts = [z3.Not(state.conflict)]
    for suffix in MESSAGES:
        incarnation = getattr(state, f'born_{suffix}')
        expected_count = getattr(state, f'expect_{suffix}')
        same_incarnation = incarnation == state.born
        matches = z3.And(same_incarnation, expected_count == state.sequence)
        saw_all_changes = getattr(state, f'seen_{suffix}') == state.changes
        consistent = z3.And(
            incarnation <= state.born,
            z3.Implies(same_incarnation, expected_count <= state.sequence),
            z3.Implies(matches, saw_all_changes),
        )
        parts.append(z3.Implies(getattr(state, f'flying_{suffix}'), consistent))
    return z3.And(*parts)
