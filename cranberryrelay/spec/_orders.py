"""Specification of leases, fencing tokens and orders to one engine.

There are two instances.  In the names of state variables I is an instance
and C one of its messages.  ``token``, ``holder``, ``order``, ``open`` and
``former_I`` are the fields of the cell's object in the store.  ``believes_I``
is true while the instance believes that it holds the lease, and ``known_I``
is the order that it knows to be open.  ``flying_I_C`` is true while a message
of the instance is in flight, with the fencing token ``fence_sent_I_C`` and
the order ``sent_I_C``; the message may be delivered any number of times until
it is dropped.  The safety property: the engine never obeys an order older
than one it obeyed before.
"""

from collections.abc import Mapping
from functools import partial
from typing import Any, Final, NamedTuple

import z3

from cranberryrelay.spec._system import Action, Formula, State, TransitionSystem

INSTANCES: Final = (0, 1)
COPIES: Final = (0, 1)
MESSAGES: Final = tuple(
    f'{instance}_{copy}' for instance in INSTANCES for copy in COPIES
)
Z3_FALSE: Final = z3.BoolVal(val=False)
Z3_TRUE: Final = z3.BoolVal(val=True)
Step = tuple[Formula, Mapping[str, Any]]


def make_orders_system(
    *, checks_fencing: bool, variant: str = ''
) -> TransitionSystem:
    """Build the specification of an engine that checks or ignores fencing."""
    variables, initial = _make_variables()
    actions: list[Action] = []
    by_instance = {
        'take over': acquire_lease,
        'record': record_order,
        'finish': record_completion,
        'clear former': clear_former_holder,
        'learn': step_down,
    }
    by_message = {'send': send_order, 'land': deliver, 'drop': drop_message}
    for steps, suffixes in (
        (by_instance, tuple(map(str, INSTANCES))),
        (by_message, MESSAGES),
    ):
        for name, step in steps.items():
            actions.extend(
                Action(
                    f'{name} {suffix}',
                    partial(
                        step,
                        suffix=suffix,
                        checks_fencing=checks_fencing,
                        variant=variant,
                    ),
                )
                for suffix in suffixes
            )
    return TransitionSystem(
        variables,
        initial,
        actions,
        lambda state: z3.Not(state.conflict),
        partial(_invariant, checks_fencing=checks_fencing),
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
    initial: dict[str, Any] = {
        'token': 1,
        'holder': 0,
        'order': 0,
        'open': Z3_FALSE,
        'fence': 1,
        'engine_fence': 0,
        'engine_order': 0,
        'conflict': Z3_FALSE,
    }
    for instance in INSTANCES:
        for flag in ('former', 'believes', 'knows_open'):
            variables[f'{flag}_{instance}'] = z3.Bool
            initial[f'{flag}_{instance}'] = Z3_FALSE
        for number in ('known', 'known_fence'):
            variables[f'{number}_{instance}'] = z3.Int
            initial[f'{number}_{instance}'] = 0
    for message in MESSAGES:
        variables[f'flying_{message}'] = z3.Bool
        initial[f'flying_{message}'] = Z3_FALSE
        for field in ('sent', 'fence_sent'):
            variables[f'{field}_{message}'] = z3.Int
            initial[f'{field}_{message}'] = 0
    initial['believes_0'] = Z3_TRUE
    return variables, initial


def acquire_lease(
    state: State, suffix: str, checks_fencing: bool, variant: str
) -> Step:
    """Acquire the lease; the open order gets a higher fencing token."""
    instance = int(suffix)
    changes: dict[str, Any] = {
        'token': state.token + 1,
        'holder': instance,
        'fence': state.fence + 1,
        f'believes_{instance}': Z3_TRUE,
        f'known_{instance}': state.order,
        f'known_fence_{instance}': state.fence + 1,
        f'knows_open_{instance}': state.open,
    }
    for other in INSTANCES:
        was_holder = state.holder == other
        former = z3.Or(was_holder, getattr(state, f'former_{other}'))
        changes[f'former_{other}'] = Z3_FALSE if other == instance else former
    return state.holder != instance, changes


def record_order(
    state: State, suffix: str, checks_fencing: bool, variant: str
) -> Step:
    """Record a new order, which must precede sending it."""
    instance = int(suffix)
    former_holders = z3.Or(
        *[getattr(state, f'former_{other}') for other in INSTANCES]
    )
    own_in_flight = _has_message_in_flight(state, instance)
    no_competing_orders = z3.And(z3.Not(former_holders), z3.Not(own_in_flight))
    if variant == 'former holders forgotten':
        no_competing_orders = z3.Not(own_in_flight)
    if variant == 'own sending forgotten':
        no_competing_orders = z3.Not(former_holders)
    if variant == 'order before record':
        no_competing_orders = Z3_TRUE
    is_holder = state.holder == instance
    guard = z3.And(
        getattr(state, f'believes_{instance}'),
        z3.Or(z3.BoolVal(val=checks_fencing), no_competing_orders),
        z3.Or(is_holder, z3.BoolVal(val=variant == 'order before record')),
        z3.Or(z3.Not(state.open), z3.Not(is_holder)),
    )
    fence = state.fence + 1
    if variant == 'one fence for a tenure':
        fence = state.fence
    return guard, {
        'order': z3.If(is_holder, state.order + 1, state.order),
        'open': z3.Or(is_holder, state.open),
        'fence': z3.If(is_holder, fence, state.fence),
        f'known_{instance}': state.order + 1,
        f'known_fence_{instance}': fence,
        f'knows_open_{instance}': Z3_TRUE,
    }


def send_order(
    state: State, suffix: str, checks_fencing: bool, variant: str
) -> Step:
    """Send the order that the instance knows to be open."""
    instance = int(suffix.partition('_')[0])
    guard = z3.And(
        getattr(state, f'believes_{instance}'),
        getattr(state, f'knows_open_{instance}'),
        z3.Not(getattr(state, f'flying_{suffix}')),
    )
    fence = getattr(state, f'known_fence_{instance}')
    if variant == 'no fence sent':
        fence = state.engine_fence
    return guard, {
        f'flying_{suffix}': Z3_TRUE,
        f'sent_{suffix}': getattr(state, f'known_{instance}'),
        f'fence_sent_{suffix}': fence,
    }


def deliver(
    state: State, suffix: str, checks_fencing: bool, variant: str
) -> Step:
    """Deliver a message; the same message may be delivered again."""
    fence = getattr(state, f'fence_sent_{suffix}')
    sent = getattr(state, f'sent_{suffix}')
    rejected = z3.And(
        z3.BoolVal(val=checks_fencing), fence < state.engine_fence
    )
    is_older = z3.And(z3.Not(rejected), sent < state.engine_order)
    is_higher = fence > state.engine_fence
    return getattr(state, f'flying_{suffix}'), {
        'engine_fence': z3.If(is_higher, fence, state.engine_fence),
        'engine_order': z3.If(rejected, state.engine_order, sent),
        'conflict': z3.Or(state.conflict, is_older),
    }


def drop_message(
    state: State, suffix: str, checks_fencing: bool, variant: str
) -> Step:
    """Drop a message that was answered or can no longer be delivered."""
    return getattr(state, f'flying_{suffix}'), {f'flying_{suffix}': Z3_FALSE}


def record_completion(
    state: State, suffix: str, checks_fencing: bool, variant: str
) -> Step:
    """Record that the engine has completed the open order."""
    instance = int(suffix)
    guard = z3.And(
        state.holder == instance,
        getattr(state, f'believes_{instance}'),
        state.open,
        state.engine_order == state.order,
    )
    return guard, {'open': Z3_FALSE, f'knows_open_{instance}': Z3_FALSE}


def clear_former_holder(
    state: State, suffix: str, checks_fencing: bool, variant: str
) -> Step:
    """Clear a former holder that has stopped or can send nothing any more."""
    instance = int(suffix)
    inactive = z3.And(
        z3.Not(getattr(state, f'believes_{instance}')),
        z3.Not(_has_message_in_flight(state, instance)),
    )
    return z3.And(state.holder != instance, inactive), {
        f'former_{instance}': Z3_FALSE
    }


def step_down(
    state: State, suffix: str, checks_fencing: bool, variant: str
) -> Step:
    """Let an instance detect that it lost the lease, or stop."""
    instance = int(suffix)
    return state.holder != instance, {
        f'believes_{instance}': Z3_FALSE,
        f'knows_open_{instance}': Z3_FALSE,
    }


def _has_message_in_flight(state: State, instance: int) -> Formula:
    return z3.Or(
        *[getattr(state, f'flying_{instance}_{copy}') for copy in COPIES]
    )


class _FencedOrder(NamedTuple):
    """An order with its fencing token, if one exists at some place."""

    # True while the order exists there.
    exists: Formula

    # The fencing token and the number of the order.
    fence: Any
    order: Any


def _list_fenced_orders(state: State) -> list[_FencedOrder]:
    fenced_orders = [
        _FencedOrder(Z3_TRUE, state.fence, state.order),
        _FencedOrder(Z3_TRUE, state.engine_fence, state.engine_order),
    ]
    fenced_orders.extend(
        _FencedOrder(
            z3.And(
                getattr(state, f'believes_{instance}'),
                getattr(state, f'knows_open_{instance}'),
            ),
            getattr(state, f'known_fence_{instance}'),
            getattr(state, f'known_{instance}'),
        )
        for instance in INSTANCES
    )
    fenced_orders.extend(
        _FencedOrder(
            getattr(state, f'flying_{message}'),
            getattr(state, f'fence_sent_{message}'),
            getattr(state, f'sent_{message}'),
        )
        for message in MESSAGES
    )
    return fenced_orders


def _invariant(state: State, checks_fencing: bool) -> Formula:
    """Build the invariant: no older order has a higher fencing token.

    For an engine that ignores fencing, only the latest order is in flight.
    """
    fenced_orders = _list_fenced_orders(state)
    parts = [z3.Not(state.conflict)]
    for candidate in fenced_orders:
        is_bounded = z3.And(
            candidate.fence <= state.fence, candidate.order <= state.order
        )
        parts.append(z3.Implies(candidate.exists, is_bounded))
    if not checks_fencing:
        return z3.And(*parts, *_allow_latest_order_only(state))
    for first in fenced_orders:
        for second in fenced_orders:
            both_exist = z3.And(first.exists, second.exists)
            ordered = z3.Implies(
                first.fence >= second.fence, first.order >= second.order
            )
            parts.append(z3.Implies(both_exist, ordered))
    return z3.And(*parts)


def _allow_latest_order_only(state: State) -> list[Formula]:
    """Require that only the latest recorded order can be delivered."""
    parts = [z3.Implies(z3.Not(state.open), state.engine_order == state.order)]
    for instance in INSTANCES:
        believes = getattr(state, f'believes_{instance}')
        knows_latest = getattr(state, f'known_{instance}') == state.order
        can_send = z3.And(believes, getattr(state, f'knows_open_{instance}'))
        may_send = z3.Or(_has_message_in_flight(state, instance), believes)
        sends_without_lease = z3.And(may_send, state.holder != instance)
        parts.append(z3.Implies(can_send, knows_latest))
        parts.append(
            z3.Implies(
                sends_without_lease, getattr(state, f'former_{instance}')
            )
        )
        parts.extend(
            z3.Implies(
                getattr(state, f'flying_{instance}_{copy}'),
                getattr(state, f'sent_{instance}_{copy}') == state.order,
            )
            for copy in COPIES
        )
    return parts
