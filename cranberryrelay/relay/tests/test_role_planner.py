"""Guards the planned split of engines for long prompts, short answers.

A wrong count of decode engines starves prefill or decode; orders repeated
while a role change is pending make engines unavailable for no gain.
"""

from typing import NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.relay import Role, Upstream
from cranberryrelay.relay._role_planner import plan_role_changes


class Case(NamedTuple):
    """Engines by role, their slots, and the expected role changes."""

    name: str
    prefill: int
    decode: int
    expected: int
    role: Role | None = None
    pending: int = 0
    slots: int = 64


CASES = (
    Case('six engines', 2, 4, 2, Role.PREFILL),
    Case('already as planned', 4, 2, 0),
    Case('two role changes pending', 2, 4, 0, None, 2),
    Case('one of two decode engines is lost', 4, 1, 1, Role.DECODE),
    Case('no decode engine', 5, 0, 2, Role.DECODE),
    Case('nine engines', 3, 6, 3, Role.PREFILL),
    Case('no engine', 0, 0, 0),
    Case('few slots, most engines decode', 15, 30, 11, Role.PREFILL, 0, 32),
    Case('two of many are lost', 26, 17, 0, None, 0, 32),
    Case('many of many are lost', 26, 9, 6, Role.DECODE, 0, 32),
)


def make_engine(name: str, role: Role, slots: int) -> Upstream:
    return Upstream(name, 1, 's', '10.0.0.1:1', 'a', slots, False, role)


class RolePlannerTest(TestCase):
    """Planned role changes for a set of engines."""

    @params(*((case,) for case in CASES))
    def test_changes(self, case: Case) -> None:
        decode_names = [f'd{idx}' for idx in range(case.decode)]
        roles = dict.fromkeys(decode_names, Role.DECODE)
        for idx in range(case.prefill):
            roles[f'p{idx}'] = Role.PREFILL
        engines = [
            make_engine(name, role, case.slots) for name, role in roles.items()
        ]
        pending_roles = dict.fromkeys(
            decode_names[: case.pending], Role.PREFILL
        )
        changes = plan_role_changes(engines, {}, pending_roles)
        self.assertEqual(len(changes), case.expected)
        self.assertEqual(
            {change.role for change in changes},
            {case.role} - {None},
        )
