"""Specification of how release notes are accepted and kept fresh.

There are three failure domains with two instances each.  In the names of
state variables D is a domain and I an instance of it.  ``held_D_I`` is true
while the instance believes that it holds its domain's vote (named voice in
the texts of this specification), ``memory_D_I`` is the revision that it has
confirmed in memory, and ``stored_D`` is the revision that the domain's vote
record shows.  The action ``ask`` begins a request to the voters;
``asked_D`` holds what the vote records showed at that time.  The safety
property: the answers of a majority show every revision that had been
accepted when the request began.
"""

from collections.abc import Mapping
from functools import partial
from itertools import combinations
from typing import Any, Final

import z3

from cranberryrelay.spec._system import Action, Formula, State, TransitionSystem

DOMAINS: Final = (0, 1, 2)
INSTANCES: Final = (0, 1)
Z3_FALSE: Final = z3.BoolVal(val=False)
Z3_TRUE: Final = z3.BoolVal(val=True)
Step = tuple[Formula, Mapping[str, Any]]


def make_in_force_system(variant: str = '') -> TransitionSystem:
    """Build the specification; a named variant omits one safeguard."""
    variables: dict[str, Any] = {'head': z3.Int}
    initial: dict[str, Any] = {'head': 0}
    for domain in DOMAINS:
        for name in ('holder', 'stored', 'asked', 'heard'):
            variables[f'{name}_{domain}'] = z3.Int
            initial[f'{name}_{domain}'] = 0
        variables[f'answered_{domain}'] = z3.Bool
        initial[f'answered_{domain}'] = Z3_FALSE
        for instance in INSTANCES:
            suffix = f'{domain}_{instance}'
            variables[f'held_{suffix}'] = z3.Bool
            variables[f'alive_{suffix}'] = z3.Bool
            variables[f'memory_{suffix}'] = z3.Int
            initial[f'held_{suffix}'] = z3.BoolVal(val=instance == 0)
            initial[f'alive_{suffix}'] = Z3_TRUE
            initial[f'memory_{suffix}'] = 0
    steps = {
        'confirm': confirm_in_memory,
        'store': update_vote_record,
        'take': acquire_vote,
        'restart': restart_instance,
        'stop': stop_instance,
        'answer': answer_request,
    }
    actions = [
        Action('publish', _publish_revision),
        Action('ask', _begin_request),
    ]
    for name, step in steps.items():
        actions.extend(
            Action(
                f'{name} {domain}_{instance}',
                partial(
                    step, domain=domain, instance=instance, variant=variant
                ),
            )
            for domain in DOMAINS
            for instance in INSTANCES
        )
    safety_property = partial(_safety_property, variant=variant)
    return TransitionSystem(
        variables, initial, actions, safety_property, _invariant
    )


def confirm_in_memory(
    state: State, domain: int, instance: int, variant: str
) -> Step:
    """Confirm the latest published revision in memory."""
    suffix = f'{domain}_{instance}'
    held = getattr(state, f'held_{suffix}')
    return held, {f'memory_{suffix}': state.head}


def update_vote_record(
    state: State, domain: int, instance: int, variant: str
) -> Step:
    """Write the revision confirmed in memory to the vote record."""
    suffix = f'{domain}_{instance}'
    held = getattr(state, f'held_{suffix}')
    is_holder = getattr(state, f'holder_{domain}') == instance
    confirmed = getattr(state, f'memory_{suffix}')
    if variant == 'object before memory':
        confirmed = state.head
    return z3.And(held, is_holder), {f'stored_{domain}': confirmed}


def acquire_vote(
    state: State, domain: int, instance: int, variant: str
) -> Step:
    """Acquire the vote, as its holder or after the other instance stopped."""
    suffix = f'{domain}_{instance}'
    other = f'{domain}_{1 - instance}'
    other_stopped = z3.Not(getattr(state, f'alive_{other}'))
    is_holder = getattr(state, f'holder_{domain}') == instance
    other_released = z3.Not(getattr(state, f'held_{other}'))
    may_acquire = z3.And(z3.Or(other_stopped, is_holder), other_released)
    if variant == 'voice taken without proof':
        may_acquire = Z3_TRUE
    return z3.And(getattr(state, f'alive_{suffix}'), may_acquire), {
        f'holder_{domain}': instance,
        f'held_{suffix}': Z3_TRUE,
        f'memory_{suffix}': getattr(state, f'stored_{domain}'),
    }


def restart_instance(
    state: State, domain: int, instance: int, variant: str
) -> Step:
    """Restart an instance; it loses what it had in memory."""
    suffix = f'{domain}_{instance}'
    held = Z3_FALSE
    if variant == 'forgetful voice counted':
        held = getattr(state, f'held_{suffix}')
    return Z3_TRUE, {
        f'alive_{suffix}': Z3_TRUE,
        f'held_{suffix}': held,
        f'memory_{suffix}': 0,
    }


def stop_instance(
    state: State, domain: int, instance: int, variant: str
) -> Step:
    """Stop an instance."""
    suffix = f'{domain}_{instance}'
    return Z3_TRUE, {f'alive_{suffix}': Z3_FALSE, f'held_{suffix}': Z3_FALSE}


def answer_request(
    state: State, domain: int, instance: int, variant: str
) -> Step:
    """Answer the request on behalf of the domain."""
    suffix = f'{domain}_{instance}'
    return getattr(state, f'held_{suffix}'), {
        f'answered_{domain}': Z3_TRUE,
        f'heard_{domain}': getattr(state, f'memory_{suffix}'),
    }


def _publish_revision(state: State) -> Step:
    return Z3_TRUE, {'head': state.head + 1}


def _begin_request(state: State) -> Step:
    changes: dict[str, Any] = {}
    for domain in DOMAINS:
        changes[f'answered_{domain}'] = Z3_FALSE
        changes[f'asked_{domain}'] = getattr(state, f'stored_{domain}')
    return Z3_TRUE, changes


def _safety_property(state: State, variant: str) -> Formula:
    basis = 'asked'
    if variant == 'evidence aged from its answer':
        basis = 'stored'
    confirmed = [getattr(state, f'{basis}_{domain}') for domain in DOMAINS]
    accepted = _median(confirmed)
    if variant == 'one domain accepts':
        accepted = _highest(confirmed)
    return z3.And(
        *[
            z3.Implies(
                z3.And(
                    _has_answered(state, first), _has_answered(state, second)
                ),
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
        answered = getattr(state, f'heard_{domain}')
        parts.extend(
            [
                asked >= 0,
                stored >= asked,
                stored <= state.head,
                z3.Implies(_has_answered(state, domain), answered >= asked),
            ]
        )
        for instance in INSTANCES:
            suffix = f'{domain}_{instance}'
            memory = getattr(state, f'memory_{suffix}')
            held = z3.And(
                getattr(state, f'alive_{suffix}'),
                getattr(state, f'holder_{domain}') == instance,
                memory >= stored,
            )
            parts.append(memory <= state.head)
            parts.append(z3.Implies(getattr(state, f'held_{suffix}'), held))
    return z3.And(*parts)


def _has_answered(state: State, domain: int) -> Formula:
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
