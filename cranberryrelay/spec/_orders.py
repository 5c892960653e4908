"""Leases, fencing and orders to one engine, in small.

Two instances.  ``token``, ``holder``, ``order``, ``open`` and ``former_I``
are the cell's object; ``believes_I`` says that an instance takes itself for
the holder and ``known_I`` which order it knows to be open.  ``flying_I_C`` is
a sending of its on the way, with fence ``fence_sent_I_C`` and order
``sent_I_C``; it may arrive any number of times until it is dropped.  The
rule: the engine never obeys an order older than one it obeyed before.
"""

from collections.abc import Mapping
from functools import partial
from typing import Any, Final, NamedTuple

import z3

from cranberryrelay.spec._system import Action, Formula, State, System

INSTANCES: Final = (0, 1)
COPIES: Final = (0, 1)
SENDINGS: Final = tuple(f'{one}_{copy}' for one in INSTANCES for copy in COPIES)
NEVER: Final = z3.BoolVal(val=False)
YES: Final = z3.BoolVal(val=True)
Step = tuple[Formula, Mapping[str, Any]]


def make_orders_system(*, checks_fencing: bool, variant: str = '') -> System:
    """Make the system for an engine that checks fencing or ignores it."""
    variables, start = _make_variables()
    actions: list[Action] = []
    by_instance = {
        'take over': take_over,
        'record': record,
        'finish': finish,
        'clear former': clear_former,
        'learn': learn,
    }
    by_sending = {'send': send, 'land': land, 'drop': drop}
    for steps, places in (
        (by_instance, tuple(map(str, INSTANCES))),
        (by_sending, SENDINGS),
    ):
        for name, step in steps.items():
            actions.extend(
                Action(
                    f'{name} {place}',
                    partial(
                        step,
                        place=place,
                        checks=checks_fencing,
                        variant=variant,
                    ),
                )
                for place in places
            )
    return System(
        variables,
        start,
        actions,
        lambda state: z3.Not(state.conflict),
        partial(_invariant, checks=checks_fencing),
    )


def _make_variables() -> tuple[dict[str, Any], dict[str, Any]]:
    variables: dict[str, Any] = {
        'token': z3.Int,
        'holder': z3.Int,
        'order': z3.Int,
        'open': z3.Bool,
        'fence': z3.Int,
        'engine_fence': z3.Int,
        'engine_order': z3.Int,
        'conflict': z3.Bool,
    }
    start: dict[str, Any] = {
        'token': 1,
        'holder': 0,
        'order': 0,
        'open': NEVER,
        'fence': 1,
        'engine_fence': 0,
        'engine_order': 0,
        'conflict': NEVER,
    }
    for one in INSTANCES:
        for flag in ('former', 'believes', 'knows_open'):
            variables[f'{flag}_{one}'] = z3.Bool
            start[f'{flag}_{one}'] = NEVER
        for number in ('known', 'known_fence'):
            variables[f'{number}_{one}'] = z3.Int
            start[f'{number}_{one}'] = 0
    for sending in SENDINGS:
        variables[f'flying_{sending}'] = z3.Bool
        start[f'flying_{sending}'] = NEVER
        for field in ('sent', 'fence_sent'):
            variables[f'{field}_{sending}'] = z3.Int
            start[f'{field}_{sending}'] = 0
    start['believes_0'] = YES
    return variables, start


def take_over(state: State, place: str, checks: bool, variant: str) -> Step:
    """Take the lease; the order that is open is given a higher fence."""
    one = int(place)
    changes: dict[str, Any] = {
        'token': state.token + 1,
        'holder': one,
        'fence': state.fence + 1,
        f'believes_{one}': YES,
        f'known_{one}': state.order,
        f'known_fence_{one}': state.fence + 1,
        f'knows_open_{one}': state.open,
    }
    for other in INSTANCES:
        was = state.holder == other
        former = z3.Or(was, getattr(state, f'former_{other}'))
        changes[f'former_{other}'] = NEVER if other == one else former
    return state.holder != one, changes


def record(state: State, place: str, checks: bool, variant: str) -> Step:
    """Record a new order; only then may it be sent."""
    one = int(place)
    others = z3.Or(*[getattr(state, f'former_{other}') for other in INSTANCES])
    own = _flies(state, one)
    alone = z3.And(z3.Not(others), z3.Not(own))
    if variant == 'former holders forgotten':
        alone = z3.Not(own)
    if variant == 'own sending forgotten':
        alone = z3.Not(others)
    if variant == 'order before record':
        alone = YES
    holds = state.holder == one
    guard = z3.And(
        getattr(state, f'believes_{one}'),
        z3.Or(z3.BoolVal(val=checks), alone),
        z3.Or(holds, z3.BoolVal(val=variant == 'order before record')),
        z3.Or(z3.Not(state.open), z3.Not(holds)),
    )
    fence = state.fence + 1
    if variant == 'one fence for a tenure':
        fence = state.fence
    return guard, {
        'order': z3.If(holds, state.order + 1, state.order),
        'open': z3.Or(holds, state.open),
        'fence': z3.If(holds, fence, state.fence),
        f'known_{one}': state.order + 1,
        f'known_fence_{one}': fence,
        f'knows_open_{one}': YES,
    }


def send(state: State, place: str, checks: bool, variant: str) -> Step:
    """Send the order that the instance knows to be open."""
    one = int(place.partition('_')[0])
    guard = z3.And(
        getattr(state, f'believes_{one}'),
        getattr(state, f'knows_open_{one}'),
        z3.Not(getattr(state, f'flying_{place}')),
    )
    fence = getattr(state, f'known_fence_{one}')
    if variant == 'no fence sent':
        fence = state.engine_fence
    return guard, {
        f'flying_{place}': YES,
        f'sent_{place}': getattr(state, f'known_{one}'),
        f'fence_sent_{place}': fence,
    }


def land(state: State, place: str, checks: bool, variant: str) -> Step:
    """Let a sending arrive; it may arrive again."""
    fence = getattr(state, f'fence_sent_{place}')
    sent = getattr(state, f'sent_{place}')
    fenced = z3.And(z3.BoolVal(val=checks), fence < state.engine_fence)
    older = z3.And(z3.Not(fenced), sent < state.engine_order)
    higher = fence > state.engine_fence
    return getattr(state, f'flying_{place}'), {
        'engine_fence': z3.If(higher, fence, state.engine_fence),
        'engine_order': z3.If(fenced, state.engine_order, sent),
        'conflict': z3.Or(state.conflict, older),
    }


def drop(state: State, place: str, checks: bool, variant: str) -> Step:
    """Let a sending be answered, or be surely gone."""
    return getattr(state, f'flying_{place}'), {f'flying_{place}': NEVER}


def finish(state: State, place: str, checks: bool, variant: str) -> Step:
    """Record that the open order is done."""
    one = int(place)
    guard = z3.And(
        state.holder == one,
        getattr(state, f'believes_{one}'),
        state.open,
        state.engine_order == state.order,
    )
    return guard, {'open': NEVER, f'knows_open_{one}': NEVER}


def clear_former(state: State, place: str, checks: bool, variant: str) -> Step:
    """Forget a former holder that has stopped or is known to be quiet."""
    one = int(place)
    quiet = z3.And(
        z3.Not(getattr(state, f'believes_{one}')),
        z3.Not(_flies(state, one)),
    )
    return z3.And(state.holder != one, quiet), {f'former_{one}': NEVER}


def learn(state: State, place: str, checks: bool, variant: str) -> Step:
    """Let an instance find out that it is not the holder, or stop."""
    one = int(place)
    return state.holder != one, {
        f'believes_{one}': NEVER,
        f'knows_open_{one}': NEVER,
    }


def _flies(state: State, one: int) -> Formula:
    return z3.Or(*[getattr(state, f'flying_{one}_{copy}') for copy in COPIES])


class _Ticket(NamedTuple):
    """An order with its fence, where one may exist."""

    # True while it exists.
    exists: Formula

    # Its fence and its order.
    fence: Any
    order: Any


def _tickets(state: State) -> list[_Ticket]:
    tickets = [
        _Ticket(YES, state.fence, state.order),
        _Ticket(YES, state.engine_fence, state.engine_order),
    ]
    tickets.extend(
        _Ticket(
            z3.And(
                getattr(state, f'believes_{one}'),
                getattr(state, f'knows_open_{one}'),
            ),
            getattr(state, f'known_fence_{one}'),
            getattr(state, f'known_{one}'),
        )
        for one in INSTANCES
    )
    tickets.extend(
        _Ticket(
            getattr(state, f'flying_{sending}'),
            getattr(state, f'fence_sent_{sending}'),
            getattr(state, f'sent_{sending}'),
        )
        for sending in SENDINGS
    )
    return tickets


def _invariant(state: State, checks: bool) -> Formula:
    """State that a higher fence never goes with an older order."""
    tickets = _tickets(state)
    parts = [z3.Not(state.conflict)]
    for ticket in tickets:
        within = z3.And(
            ticket.fence <= state.fence, ticket.order <= state.order
        )
        parts.append(z3.Implies(ticket.exists, within))
    if not checks:
        return z3.And(*parts, *_current_only(state))
    for first in tickets:
        for second in tickets:
            both = z3.And(first.exists, second.exists)
            ordered = z3.Implies(
                first.fence >= second.fence, first.order >= second.order
            )
            parts.append(z3.Implies(both, ordered))
    return z3.And(*parts)


def _current_only(state: State) -> list[Formula]:
    """State that nothing but the last recorded order can arrive."""
    parts = [z3.Implies(z3.Not(state.open), state.engine_order == state.order)]
    for one in INSTANCES:
        believes = getattr(state, f'believes_{one}')
        known = getattr(state, f'known_{one}') == state.order
        sends = z3.And(believes, getattr(state, f'knows_open_{one}'))
        may_send = z3.Or(_flies(state, one), believes)
        elsewhere = z3.And(may_send, state.holder != one)
        parts.append(z3.Implies(sends, known))
        parts.append(z3.Implies(elsewhere, getattr(state, f'former_{one}')))
        parts.extend(
            z3.Implies(
                getattr(state, f'flying_{one}_{copy}'),
                getattr(state, f'sent_{one}_{copy}') == state.order,
            )
            for copy in COPIES
        )
    return parts
