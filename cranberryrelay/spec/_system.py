"""Transition systems for z3: proofs by induction, counterexamples.

A rule is proved for any number of steps: the invariant holds at the start,
every action keeps it, and it implies the rule.  A broken variant must
yield a run from the start to a state that violates the rule.
"""

from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any, Final, NamedTuple

import z3

State = Any
Formula = Any


class Action(NamedTuple):
    """One kind of step."""

    # Name of the step.
    name: str

    # Gives the guard and the next values, from the state and parameters.
    step: Callable[[State], tuple[Formula, Mapping[str, Any]]]


class System(NamedTuple):
    """A protocol in small."""

    # Sort of each variable: z3.Int or z3.Bool.
    variables: Mapping[str, Any]

    # Value of each variable at the start.
    start: Mapping[str, Any]

    # The kinds of steps.
    actions: list[Action]

    # What must always hold.
    rule: Callable[[State], Formula]

    # What every step keeps, and what implies the rule.
    invariant: Callable[[State], Formula]


class Verdict(NamedTuple):
    """What z3 found."""

    # True if the rule is proved.
    proved: bool

    # Names of the steps to a violation, if one was looked for and found.
    steps: tuple[str, ...]

    # What did not hold, if it is not proved.
    reason: str


SOLVER_MILLISECONDS: Final = 120_000


def make_state(system: System, step: int) -> State:
    """Make the variables of a state."""
    return SimpleNamespace(
        **{
            name: sort(f'{name}@{step}')
            for name, sort in system.variables.items()
        }
    )


def prove(system: System) -> Verdict:
    """Prove the rule by induction."""
    before = make_state(system, 0)
    after = make_state(system, 1)
    starts = _equals(before, system.start)
    if _is_possible(starts, z3.Not(system.invariant(before))):
        return Verdict(False, (), 'the start breaks the invariant')
    if _is_possible(system.invariant(before), z3.Not(system.rule(before))):
        return Verdict(False, (), 'the invariant does not imply the rule')
    for action in system.actions:
        moved = take_step(system, action, before, after)
        broken = z3.Not(system.invariant(after))
        if _is_possible(system.invariant(before), moved, broken):
            return Verdict(False, (), f'{action.name} breaks the invariant')
    return Verdict(True, (), '')


def find_violation(system: System, depth: int) -> Verdict:
    """Look for a run of at most ``depth`` steps that breaks the rule."""
    solver = _make_solver()
    states = [make_state(system, step) for step in range(depth + 1)]
    solver.add(_equals(states[0], system.start))
    chosen = [z3.Int(f'chosen@{step}') for step in range(depth)]
    for step in range(depth):
        moves = [
            z3.And(
                chosen[step] == place,
                take_step(system, action, states[step], states[step + 1]),
            )
            for place, action in enumerate(system.actions)
        ]
        solver.add(z3.Or(*moves))
        solver.push()
        solver.add(z3.Not(system.rule(states[step + 1])))
        if solver.check() == z3.sat:
            model = solver.model()
            names = tuple(
                system.actions[model[choice].as_long()].name
                for choice in chosen[: step + 1]
            )
            return Verdict(False, names, 'the rule is broken')
        solver.pop()
    return Verdict(False, (), f'no violation within {depth} steps')


def take_step(
    system: System, action: Action, before: State, after: State
) -> Formula:
    """Build the formula of one step; what it does not set stays."""
    guard, changes = action.step(before)
    kept = {
        name: getattr(before, name)
        for name in system.variables
        if name not in changes
    }
    return z3.And(guard, _equals(after, {**kept, **changes}))


def _equals(state: State, fields: Mapping[str, Any]) -> Formula:
    return z3.And(
        *[getattr(state, name) == field for name, field in fields.items()]
    )


def _is_possible(*formulas: Formula) -> bool:
    solver = _make_solver()
    solver.add(*formulas)
    outcome = solver.check()
    if outcome == z3.unknown:
        raise TimeoutError('z3 gave no answer in time')
    return bool(outcome == z3.sat)


def _make_solver() -> Any:
    solver = z3.Solver()
    solver.set('timeout', SOLVER_MILLISECONDS)
    solver.set('random_seed', 1)
    return solver
