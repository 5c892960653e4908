"""Acceptance of notes and the evidence for them, in small.

Three failure domains with two instances each.  ``held_D_I`` says that an
instance believes it holds its domain's voice, ``memory_D_I`` what it has
confirmed in memory, ``stored_D`` what the voice object shows.  A question
to the voices begins with ``ask``; ``asked_D`` keeps what the objects showed
then.  The rule: answers of a majority show every revision that had been
accepted when the question was asked.
"""

from collections.abc import Mapping
from functools import partial
from itertools import combinations
from typing import Any, Final

import z3

from cranberryrelay.spec._system import Action, Formula, State, System

DOMAINS: Final = (0, 1, 2)
SIDES: Final = (0, 1)
NEVER: Final = z3.BoolVal(val=False)
YES: Final = z3.BoolVal(val=True)
Step = tuple[Formula, Mapping[str, Any]]


def make_in_force_system(variant: str = '') -> System:
    """Make the system; a variant leaves one safety rule out."""
    variables: dict[str, Any] = {'head': z3.Int}
    start: dict[str, Any] = {'head': 0}
    for domain in DOMAINS:
        for name in ('holder', 'stored', 'asked', 'heard'):
            variables[f'{name}_{domain}'] = z3.Int
            start[f'{name}_{domain}'] = 0
        variables[f'answered_{domain}'] = z3.Bool
        start[f'answered_{domain}'] = NEVER
        for side in SIDES:
            place = f'{domain}_{side}'
            variables[f'held_{place}'] = z3.Bool
            variables[f'alive_{place}'] = z3.Bool
            variables[f'memory_{place}'] = z3.Int
            start[f'held_{place}'] = z3.BoolVal(val=side == 0)
            start[f'alive_{place}'] = YES
            start[f'memory_{place}'] = 0
    steps = {
        'confirm': confirm,
        'store': store,
        'take': take,
        'restart': restart,
        'stop': stop,
        'answer': answer,
    }
    actions = [Action('publish', _publish), Action('ask', _ask)]
    for name, step in steps.items():
        actions.extend(
            Action(
                f'{name} {domain}_{side}',
                partial(step, domain=domain, side=side, variant=variant),
            )
            for domain in DOMAINS
            for side in SIDES
        )
    rule = partial(_rule, variant=variant)
    return System(variables, start, actions, rule, _invariant)


def confirm(state: State, domain: int, side: int, variant: str) -> Step:
    """Confirm the head in memory."""
    place = f'{domain}_{side}'
    held = getattr(state, f'held_{place}')
    return held, {f'memory_{place}': state.head}


def store(state: State, domain: int, side: int, variant: str) -> Step:
    """Show in the voice object what is confirmed in memory."""
    place = f'{domain}_{side}'
    held = getattr(state, f'held_{place}')
    holds = getattr(state, f'holder_{domain}') == side
    shown = getattr(state, f'memory_{place}')
    if variant == 'object before memory':
        shown = state.head
    return z3.And(held, holds), {f'stored_{domain}': shown}


def take(state: State, domain: int, side: int, variant: str) -> Step:
    """Take the voice once its holder has stopped, or again as its holder."""
    place = f'{domain}_{side}'
    other = f'{domain}_{1 - side}'
    stopped = z3.Not(getattr(state, f'alive_{other}'))
    own = getattr(state, f'holder_{domain}') == side
    released = z3.Not(getattr(state, f'held_{other}'))
    free = z3.And(z3.Or(stopped, own), released)
    if variant == 'voice taken without proof':
        free = YES
    return z3.And(getattr(state, f'alive_{place}'), free), {
        f'holder_{domain}': side,
        f'held_{place}': YES,
        f'memory_{place}': getattr(state, f'stored_{domain}'),
    }


def restart(state: State, domain: int, side: int, variant: str) -> Step:
    """Start an instance again; it has forgotten everything."""
    place = f'{domain}_{side}'
    held = NEVER
    if variant == 'forgetful voice counted':
        held = getattr(state, f'held_{place}')
    return YES, {
        f'alive_{place}': YES,
        f'held_{place}': held,
        f'memory_{place}': 0,
    }


def stop(state: State, domain: int, side: int, variant: str) -> Step:
    """Stop an instance."""
    place = f'{domain}_{side}'
    return YES, {f'alive_{place}': NEVER, f'held_{place}': NEVER}


def answer(state: State, domain: int, side: int, variant: str) -> Step:
    """Answer the question for the domain."""
    place = f'{domain}_{side}'
    return getattr(state, f'held_{place}'), {
        f'answered_{domain}': YES,
        f'heard_{domain}': getattr(state, f'memory_{place}'),
    }


def _publish(state: State) -> Step:
    return YES, {'head': state.head + 1}


def _ask(state: State) -> Step:
    changes: dict[str, Any] = {}
    for domain in DOMAINS:
        changes[f'answered_{domain}'] = NEVER
        changes[f'asked_{domain}'] = getattr(state, f'stored_{domain}')
    return YES, changes


def _rule(state: State, variant: str) -> Formula:
    moment = 'asked'
    if variant == 'evidence aged from its answer':
        moment = 'stored'
    shown = [getattr(state, f'{moment}_{domain}') for domain in DOMAINS]
    accepted = _median(shown)
    if variant == 'one domain accepts':
        accepted = _highest(shown)
    return z3.And(
        *[
            z3.Implies(
                z3.And(_answered(state, first), _answered(state, second)),
                _highest(
                    [
                        getattr(state, f'heard_{first}'),
                        getattr(state, f'heard_{second}'),
                    ]
                )
                >= accepted,
            )
            for first, second in combinations(DOMAINS, 2)
        ]
    )


def _invariant(state: State) -> Formula:
    parts = [state.head >= 0]
    for domain in DOMAINS:
        stored = getattr(state, f'stored_{domain}')
        asked = getattr(state, f'asked_{domain}')
        heard = getattr(state, f'heard_{domain}')
        parts.extend(
            [
                asked >= 0,
                stored >= asked,
                stored <= state.head,
                z3.Implies(_answered(state, domain), heard >= asked),
            ]
        )
        for side in SIDES:
            place = f'{domain}_{side}'
            memory = getattr(state, f'memory_{place}')
            held = z3.And(
                getattr(state, f'alive_{place}'),
                getattr(state, f'holder_{domain}') == side,
                memory >= stored,
            )
            parts.append(memory <= state.head)
            parts.append(z3.Implies(getattr(state, f'held_{place}'), held))
    return z3.And(*parts)


def _answered(state: State, domain: int) -> Formula:
    return getattr(state, f'answered_{domain}')


def _highest(terms: list[Any]) -> Any:
    best = terms[0]
    for term in terms[1:]:
        best = z3.If(term > best, term, best)
    return best


def _median(terms: list[Any]) -> Any:
    first, second, third = terms
    low = z3.If(first < second, first, second)
    high = z3.If(first < second, second, first)
    return z3.If(third < low, low, z3.If(third > high, high, third))
