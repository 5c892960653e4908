"""Inductive proofs and bounded model checking of transition systems, by z3.

A safety property is proved for any number of steps with an inductive
invariant: the initial state satisfies it, every action preserves it, and it
implies the property.  For a broken variant, bounded model checking must find
a counterexample: a run from the initial state to a state that violates the
property.
"""

from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any, Final, NamedTuple

import z3

State = Any
Formula = Any


class Action(NamedTuple):
    """One kind of transition."""

    # Name of the action, as printed in counterexamples.
    name: str

    # Returns the guard and the next values of the changed state variables.
    step: Callable[[State], tuple[Formula, Mapping[str, Any]]]


class TransitionSystem(NamedTuple):
    """A specification of a protocol as a transition system."""

    # Constructor of each state variable, by name: z3.Int or z3.Bool.
    variables: Mapping[str, Any]

    # Initial value of each state variable, by name.
    initial: Mapping[str, Any]

    # The actions; each step is one of them.
    actions: list[Action]

    # The property that must hold in each reachable state.
    safety_property: Callable[[State], Formula]

    # The inductive invariant, which implies the safety property.
    invariant: Callable[[State], Formula]


class CheckResult(NamedTuple):
    """The result of a proof or of a search for a counterexample."""

    # True if the safety property is proved.
    proved: bool

    # Names of the actions that lead to a violation; empty if none was found.
    counterexample: tuple[str, ...]

    # Why the property is not proved; empty if it is.
    reason: str


SOLVER_MILLISECONDS: Final = 120_000


def make_state(system: TransitionSystem, step: int) -> State:
    """Create the solver variables of the state after ``step`` steps."""
    return SimpleNamespace(
        **{
            name: sort(f'{name}@{step}')
            for name, sort in system.variables.items()
        }
    )


def prove(system: TransitionSystem) -> CheckResult:
    """Prove the safety property by induction over the steps."""
    before = make_state(system, 0)
    after = make_state(system, 1)
    is_initial = _equals(before, system.initial)
    if _is_satisfiable(is_initial, z3.Not(system.invariant(before))):
        return CheckResult(False, (), 'the start breaks the invariant')
    if _is_satisfiable(
        system.invariant(before), z3.Not(system.safety_property(before))
    ):
        return CheckResult(False, (), 'the invariant does not imply the rule')
    for action in system.actions:
        transition = encode_step(system, action, before, after)
        violated = z3.Not(system.invariant(after))
        if _is_satisfiable(system.invariant(before), transition, violated):
            return CheckResult(False, (), f'{action.name} breaks the invariant')
    return CheckResult(True, (), '')


def find_counterexample(system: TransitionSystem, depth: int) -> CheckResult:
    """Search for a run of at most ``depth`` steps to a violation."""
    solver = _make_solver()
    states = [make_state(system, step) for step in range(depth + 1)]
    solver.add(_equals(states[0], system.initial))
    action_indexes = [z3.Int(f'chosen@{step}') for step in range(depth)]
    for step in range(depth):
        transitions = [
            z3.And(
                action_indexes[step] == index,
                encode_step(system, action, states[step], states[step + 1]),
            )
            for index, action in enumerate(system.actions)
        ]
        solver.add(z3.Or(*transitions))
        solver.push()
        solver.add(z3.Not(system.safety_property(states[step + 1])))
        if solver.check() == z3.sat:
            model = solver.model()
            names = tuple(
                system.actions[model[chosen].as_long()].name
                for chosen in action_indexes[: step + 1]
            )
            return CheckResult(False, names, 'the rule is broken')
        solver.pop()
    return CheckResult(False, (), f'no violation within {depth} steps')


def encode_step(
    system: TransitionSystem, action: Action, before: State, after: State
) -> Formula:
    """Encode one step; variables that it does not set keep their values."""
    guard, changes = action.step(before)
    unchanged = {
        name: getattr(before, name)
        for name in system.variables
        if name not in changes
    }
    return z3.And(guard, _equals(after, {**unchanged, **changes}))


def _equals(state: State, fields: Mapping[str, Any]) -> Formula:
    return z3.And(
        *[getattr(state, name) == field for name, field in fields.items()]
    )


def _is_satisfiable(*formulas: Formula) -> bool:
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
