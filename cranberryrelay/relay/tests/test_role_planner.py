"""The roles of engines, by the pattern of long prompts, short answers."""

from typing import NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.relay import Role, Upstream
from cranberryrelay.relay._role_planner import plan_role_changes


class Case(NamedTuple):
    """A row: engines by role, their slots, and the changes expected."""

    name: str
    reading: int
    decoding: int
    expected: int
    role: Role | None = None
    ordered: int = 0
    slots: int = 64


CASES = (
    Case('six engines', 2, 4, 2, Role.PREFILL),
    Case('already as planned', 4, 2, 0),
    Case('two ordered and not yet changed', 2, 4, 0, None, 2),
    Case('one of two that decode is lost', 4, 1, 1, Role.DECODE),
    Case('none decodes', 5, 0, 2, Role.DECODE),
    Case('nine engines', 3, 6, 3, Role.PREFILL),
    Case('no engine', 0, 0, 0),
    Case('few slots, most decode', 15, 30, 11, Role.PREFILL, 0, 32),
    Case('two of many are lost', 26, 17, 0, None, 0, 32),
    Case('many of many are lost', 26, 9, 6, Role.DECODE, 0, 32),
)


def make_engine(name: str, role: Role, slots: int) -> Upstream:
    return Upstream(name, 1, 's', '10.0.0.1:1', 'a', slots, False, role)


class RolePlannerTest(TestCase):
    """Plans from engines alone."""

    @params(*((case,) for case in CASES))
    def test_changes(self, case: Case) -> None:
        decoding = [f'd{idx}' for idx in range(case.decoding)]
        roles = dict.fromkeys(decoding, Role.DECODE)
        for idx in range(case.reading):
            roles[f'p{idx}'] = Role.PREFILL
        engines = [
            make_engine(name, role, case.slots) for name, role in roles.items()
        ]
        ordered = dict.fromkeys(decoding[: case.ordered], Role.PREFILL)
        changes = plan_role_changes(engines, {}, ordered)
        self.assertEqual(len(changes), case.expected)
        self.assertEqual(
            {change.role for change in changes},
            {case.role} - {None},
        )
