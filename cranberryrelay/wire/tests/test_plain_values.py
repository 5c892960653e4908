"""Limits on values of unknown form."""

from typing import Any, NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.wire import find_fault


def nest(levels: int) -> Any:
    """Return lists nested in each other."""
    nested: Any = 1
    for _ in range(levels):
        nested = [nested]
    return nested


class ValueCase(NamedTuple):
    """A row: a value, and a part of its fault; '' for a good one."""

    name: str
    plain: Any
    fault: str = ''


VALUE_CASES = (
    ValueCase('usual', {'a': [1, 2.5, None, True, 'ä', {'b': []}]}),
    ValueCase('nested to the limit', nest(32)),
    ValueCase('nested deeper', nest(33), 'nested'),
    ValueCase('nested in a member', {'a': nest(32)}, 'nested'),
    ValueCase('nested far deeper', nest(300), 'nested'),
    ValueCase('largest integer', 2**63 - 1),
    ValueCase('larger integer', [2**63], '64 bits'),
    ValueCase('smallest integer', -(2**63)),
    ValueCase('smaller integer', {'a': -(2**63) - 1}, '64 bits'),
    ValueCase('not finite', [float('inf')], 'finite'),
    ValueCase('not a number', float('nan'), 'finite'),
    ValueCase('half a surrogate pair', ['\ud800'], 'surrogate'),
    ValueCase('name of a member', {'\udfff': 1}, 'surrogate'),
    ValueCase('name that is no text', {1: 1}, 'no text'),
    ValueCase('bytes', b'a', 'bytes'),
)


class PlainValueTest(TestCase):
    """Faults of values."""

    # Guards against values that an encoder or a peer's decoder fails on.
    @params(*((case,) for case in VALUE_CASES))
    def test_fault(self, case: ValueCase) -> None:
        fault = find_fault(case.plain)
        self.assertIn(case.fault, fault)
        self.assertEqual(bool(case.fault), bool(fault))
