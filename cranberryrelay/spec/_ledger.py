"""The ledger of calls that may not be repeated, in small.

Two writers, three attempts with one key.  ``end`` is the length of the log,
``read_W`` how much of it a writer has read, ``sees_W`` whether it has seen
an open booking, ``booked`` the attempt whose booking is open (0 for none).
``granted_A`` says that an attempt was told to run, ``ran_A`` that it was
dispatched, ``gave_up_A`` that it never will be.  The rule: at most one
attempt is ever dispatched.
"""

from collections.abc import Mapping
from functools import partial
from typing import Any, Final

import z3

from cranberryrelay.spec._system import Action, Formula, State, System

WRITERS: Final = (0, 1)
ATTEMPTS: Final = (1, 2, 3)
NEVER: Final = z3.BoolVal(val=False)
YES: Final = z3.BoolVal(val=True)
Step = tuple[Formula, Mapping[str, Any]]


def make_ledger_system(variant: str = '') -> System:
    """Make the system; a variant leaves one safety rule out."""
    variables: dict[str, Any] = {'end': z3.Int, 'booked': z3.Int}
    start: dict[str, Any] = {'end': 0, 'booked': 0}
    for writer in WRITERS:
        variables[f'read_{writer}'] = z3.Int
        variables[f'sees_{writer}'] = z3.Bool
        start[f'read_{writer}'] = 0
        start[f'sees_{writer}'] = NEVER
    for attempt in ATTEMPTS:
        for flag in ('granted', 'ran', 'gave_up'):
            variables[f'{flag}_{attempt}'] = z3.Bool
            start[f'{flag}_{attempt}'] = NEVER
    actions = [
        Action(f'read {writer}', partial(read, writer=writer))
        for writer in WRITERS
    ]
    for attempt in ATTEMPTS:
        actions.extend(
            [
                Action(
                    f'run {attempt}',
                    partial(run, attempt=attempt, variant=variant),
                ),
                Action(f'give up {attempt}', partial(give_up, attempt=attempt)),
                Action(
                    f'release {attempt}',
                    partial(release, attempt=attempt, variant=variant),
                ),
            ]
        )
        actions.extend(
            Action(
                f'book {attempt} by {writer}',
                partial(book, attempt=attempt, writer=writer, variant=variant),
            )
            for writer in WRITERS
        )
    return System(variables, start, actions, _rule, _invariant)


def read(state: State, writer: int) -> Step:
    """Read the rest of the log."""
    return YES, {
        f'read_{writer}': state.end,
        f'sees_{writer}': state.booked != 0,
    }


def book(state: State, attempt: int, writer: int, variant: str) -> Step:
    """Append a booking by conditional create at the next place."""
    whole = getattr(state, f'read_{writer}') == state.end
    if variant == 'append without condition':
        whole = YES
    guard = z3.And(
        whole,
        z3.Not(getattr(state, f'sees_{writer}')),
        z3.Not(_flag(state, 'granted', attempt)),
    )
    return guard, {
        'end': state.end + 1,
        'booked': attempt,
        f'read_{writer}': state.end + 1,
        f'sees_{writer}': YES,
        f'granted_{attempt}': YES,
    }


def run(state: State, attempt: int, variant: str) -> Step:
    """Dispatch an attempt that was told to run."""
    told = _flag(state, 'granted', attempt)
    if variant == 'dispatch before the ledger':
        told = YES
    guard = z3.And(
        told,
        z3.Not(_flag(state, 'gave_up', attempt)),
        z3.Not(_flag(state, 'ran', attempt)),
    )
    return guard, {f'ran_{attempt}': YES}


def give_up(state: State, attempt: int) -> Step:
    """Give an attempt up before it is dispatched, or crash."""
    waits = z3.Not(_flag(state, 'ran', attempt))
    return waits, {f'gave_up_{attempt}': YES}


def release(state: State, attempt: int, variant: str) -> Step:
    """Append that an attempt was given up and never ran."""
    sure = _flag(state, 'gave_up', attempt)
    if variant == 'release of a call that may have run':
        sure = YES
    return z3.And(state.booked == attempt, sure), {
        'booked': 0,
        'end': state.end + 1,
    }


def _flag(state: State, name: str, attempt: int) -> Formula:
    return getattr(state, f'{name}_{attempt}')


def _rule(state: State) -> Formula:
    return z3.And(
        *[
            z3.Not(z3.And(_flag(state, 'ran', one), _flag(state, 'ran', two)))
            for one in ATTEMPTS
            for two in ATTEMPTS
            if one < two
        ]
    )


def _invariant(state: State) -> Formula:
    parts: list[Formula] = []
    for attempt in ATTEMPTS:
        live = z3.And(
            _flag(state, 'granted', attempt),
            z3.Not(_flag(state, 'gave_up', attempt)),
        )
        ran = _flag(state, 'ran', attempt)
        parts.extend(
            [
                z3.Implies(live, state.booked == attempt),
                z3.Implies(ran, live),
            ]
        )
    for writer in WRITERS:
        upto = getattr(state, f'read_{writer}')
        sees = getattr(state, f'sees_{writer}')
        parts.extend(
            [
                upto <= state.end,
                z3.Implies(upto == state.end, sees == (state.booked != 0)),
            ]
        )
    return z3.And(*parts)
