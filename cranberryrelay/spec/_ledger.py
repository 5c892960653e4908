"""Specification of the ledger of calls that must not be repeated.

Two writers book three attempts with one idempotency key.  In the names of
state variables W is a writer and A an attempt.  ``end`` is the length of the
log, ``read_W`` the length that a writer has read, ``sees_W`` is true if the
writer has seen an open booking, and ``booked`` is the attempt whose booking
is open (0 for none).  ``granted_A`` is true once an attempt may run,
``ran_A`` once it was dispatched, and ``gave_up_A`` once it was abandoned and
will never be dispatched.  The safety property: at most one attempt is
dispatched.
"""

from collections.abc import Mapping
from functools import partial
from typing import Any, Final

import z3

from cranberryrelay.spec._system import Action, Formula, State, TransitionSystem

WRITERS: Final = (0, 1)
ATTEMPTS: Final = (1, 2, 3)
Z3_FALSE: Final = z3.BoolVal(val=False)
Z3_TRUE: Final = z3.BoolVal(val=True)
Step = tuple[Formula, Mapping[str, Any]]


def make_ledger_system(variant: str = '') -> TransitionSystem:
    """Build the specification; a named variant omits one safeguard."""
    variables: dict[str, Any] = {'end': z3.Int, 'booked': z3.Int}
    initial: dict[str, Any] = {'end': 0, 'booked': 0}
    for writer in WRITERS:
        variables[f'read_{writer}'] = z3.Int
        variables[f'sees_{writer}'] = z3.Bool
        initial[f'read_{writer}'] = 0
        initial[f'sees_{writer}'] = Z3_FALSE
    for attempt in ATTEMPTS:
        for flag in ('granted', 'ran', 'gave_up'):
            variables[f'{flag}_{attempt}'] = z3.Bool
            initial[f'{flag}_{attempt}'] = Z3_FALSE
    actions = [
        Action(f'read {writer}', partial(read_log, writer=writer))
        for writer in WRITERS
    ]
    for attempt in ATTEMPTS:
        actions.extend(
            [
                Action(
                    f'run {attempt}',
                    partial(dispatch, attempt=attempt, variant=variant),
                ),
                Action(f'give up {attempt}', partial(abandon, attempt=attempt)),
                Action(
                    f'release {attempt}',
                    partial(append_release, attempt=attempt, variant=variant),
                ),
            ]
        )
        actions.extend(
            Action(
                f'book {attempt} by {writer}',
                partial(
                    append_booking,
                    attempt=attempt,
                    writer=writer,
                    variant=variant,
                ),
            )
            for writer in WRITERS
        )
    return TransitionSystem(
        variables, initial, actions, _safety_property, _invariant
    )


def read_log(state: State, writer: int) -> Step:
    """Read the rest of the log."""
    return Z3_TRUE, {
        f'read_{writer}': state.end,
        f'sees_{writer}': state.booked != 0,
    }


def append_booking(
    state: State, attempt: int, writer: int, variant: str
) -> Step:
    """Append a booking by conditional create at the end of the log."""
    is_up_to_date = getattr(state, f'read_{writer}') == state.end
    if variant == 'append without condition':
        is_up_to_date = Z3_TRUE
    guard = z3.And(
        is_up_to_date,
        z3.Not(getattr(state, f'sees_{writer}')),
        z3.Not(_flag(state, 'granted', attempt)),
    )
    return guard, {
        'end': state.end + 1,
        'booked': attempt,
        f'read_{writer}': state.end + 1,
        f'sees_{writer}': Z3_TRUE,
        f'granted_{attempt}': Z3_TRUE,
    }


def dispatch(state: State, attempt: int, variant: str) -> Step:
    """Dispatch an attempt whose booking was granted."""
    granted = _flag(state, 'granted', attempt)
    if variant == 'dispatch before the ledger':
        granted = Z3_TRUE
    guard = z3.And(
        granted,
        z3.Not(_flag(state, 'gave_up', attempt)),
        z3.Not(_flag(state, 'ran', attempt)),
    )
    return guard, {f'ran_{attempt}': Z3_TRUE}


def abandon(state: State, attempt: int) -> Step:
    """Abandon an attempt before it is dispatched, also by a crash."""
    not_dispatched = z3.Not(_flag(state, 'ran', attempt))
    return not_dispatched, {f'gave_up_{attempt}': Z3_TRUE}


def append_release(state: State, attempt: int, variant: str) -> Step:
    """Append the release of an attempt that was abandoned and never ran."""
    abandoned = _flag(state, 'gave_up', attempt)
    if variant == 'release of a call that may have run':
        abandoned = Z3_TRUE
    return z3.And(state.booked == attempt, abandoned), {
        'booked': 0,
        'end': state.end + 1,
    }


def _flag(state: State, name: str, attempt: int) -> Formula:
    return getattr(state, f'{name}_{attempt}')


def _safety_property(state: State) -> Formula:
    return z3.And(
        *[
            z3.Not(
                z3.And(_flag(state, 'ran', first), _flag(state, 'ran', second))
            )
            for first in ATTEMPTS
            for second in ATTEMPTS
            if first < second
        ]
    )


def _invariant(state: State) -> Formula:
    parts: list[Formula] = []
    for attempt in ATTEMPTS:
        active = z3.And(
            _flag(state, 'granted', attempt),
            z3.Not(_flag(state, 'gave_up', attempt)),
        )
        ran = _flag(state, 'ran', attempt)
        parts.extend(
            [
                z3.Implies(active, state.booked == attempt),
                z3.Implies(ran, active),
            ]
        )
    for writer in WRITERS:
        read_end = getattr(state, f'read_{writer}')
        sees_booking = getattr(state, f'sees_{writer}')
        parts.extend(
            [
                read_end <= state.end,
                z3.Implies(
                    read_end == state.end, sees_booking == (state.booked != 0)
                ),
            ]
        )
    return z3.And(*parts)
