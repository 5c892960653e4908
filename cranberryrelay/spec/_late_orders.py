"""Orders that an engine of the target platform carries out late, in small.

An order bears the number of orders that the engine had taken when it was
asked, and the engine's incarnation.  ``expect_S``, ``born_S`` and ``seen_S``
are those of sending S, and how often the engine had changed until it was
asked; a sending may arrive any number of times until it is dropped, also
after the engine has started again.  The rule: what the engine carries out was
ordered in knowledge of all that had changed there before.
"""

from collections.abc import Mapping
from functools import partial
from typing import Any, Final

import z3

from cranberryrelay.spec._system import Action, Formula, State, System

SENDINGS: Final = ('0', '1', '2')
NEVER: Final = z3.BoolVal(val=False)
YES: Final = z3.BoolVal(val=True)
Step = tuple[Formula, Mapping[str, Any]]


def make_late_orders_system(variant: str = '') -> System:
    """Make the system; a variant leaves one part of the mechanism out."""
    variables: dict[str, Any] = {
        'sequence': z3.Int,
        'born': z3.Int,
        'changes': z3.Int,
        'conflict': z3.Bool,
    }
    start: dict[str, Any] = {
        'sequence': 0,
        'born': 0,
        'changes': 0,
        'conflict': NEVER,
    }
    actions = [Action('start again', start_again)]
    for place in SENDINGS:
        variables[f'flying_{place}'] = z3.Bool
        start[f'flying_{place}'] = NEVER
        for field in ('expect', 'born', 'seen'):
            variables[f'{field}_{place}'] = z3.Int
            start[f'{field}_{place}'] = 0
        for name, step in (('send', send), ('land', land), ('drop', drop)):
            bound = partial(step, place=place, variant=variant)
            actions.append(Action(f'{name} {place}', bound))
    return System(
        variables,
        start,
        actions,
        lambda state: z3.Not(state.conflict),
        _invariant,
    )


def start_again(state: State) -> Step:
    """Start a new incarnation, which has taken no order."""
    changes = {
        'sequence': z3.IntVal(0),
        'born': state.born + 1,
        'changes': state.changes + 1,
    }
    return YES, changes


def send(state: State, place: str, variant: str) -> Step:
    """Ask the engine, then send it an order."""
    changes = {
        f'flying_{place}': YES,
        f'expect_{place}': state.sequence,
        f'born_{place}': state.born,
        f'seen_{place}': state.changes,
    }
    return z3.Not(getattr(state, f'flying_{place}')), changes


def land(state: State, place: str, variant: str) -> Step:
    """Carry an order out if it names what the engine is."""
    expected = getattr(state, f'expect_{place}') == state.sequence
    same = getattr(state, f'born_{place}') == state.born
    if variant == 'no number of orders':
        expected = YES
    if variant == 'no incarnation':
        same = YES
    taken = z3.And(expected, same)
    raised = 0 if variant == 'orders not counted' else 1
    knew = getattr(state, f'seen_{place}') == state.changes
    changes = {
        'sequence': z3.If(taken, state.sequence + raised, state.sequence),
        'changes': z3.If(taken, state.changes + 1, state.changes),
        'conflict': z3.Or(state.conflict, z3.And(taken, z3.Not(knew))),
    }
    return getattr(state, f'flying_{place}'), changes


def drop(state: State, place: str, variant: str) -> Step:
    """Lose an order on its way."""
    return getattr(state, f'flying_{place}'), {f'flying_{place}': NEVER}


def _invariant(state: State) -> Formula:
    """State that an order which still fits was sent knowing everything."""
    parts = [z3.Not(state.conflict)]
    for place in SENDINGS:
        born = getattr(state, f'born_{place}')
        expect = getattr(state, f'expect_{place}')
        same = born == state.born
        fits = z3.And(same, expect == state.sequence)
        knew = getattr(state, f'seen_{place}') == state.changes
        sound = z3.And(
            born <= state.born,
            z3.Implies(same, expect <= state.sequence),
            z3.Implies(fits, knew),
        )
        parts.append(z3.Implies(getattr(state, f'flying_{place}'), sound))
    return z3.And(*parts)
