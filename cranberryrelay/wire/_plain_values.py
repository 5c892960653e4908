"""Limits on values of unknown form that are passed on to other processes."""

import math
import re
from collections.abc import Iterable
from functools import singledispatch
from typing import Any, Final

# Decoders and encoders take stack for each level of nesting and raise
# ``RecursionError`` where little of it is left.
DEPTH_LIMIT: Final = 32

# Integers that every form on the wire can hold.
INTEGER_MIN: Final = -9_223_372_036_854_775_808
INTEGER_MAX: Final = 9_223_372_036_854_775_807

# Not valid in UTF-8.
_SURROGATE: Final = re.compile('[\ud800-\udfff]')
_NO_FAULT: Final = ''


@singledispatch
def find_fault(plain: Any, levels: int = DEPTH_LIMIT) -> str:
    """Return why a value cannot be sent as plain JSON types; '' if it can.

    ``levels`` is the number of levels that may be nested in each other.
    """
    return f'{type(plain).__name__} is no JSON type'


@find_fault.register
def _(plain: None, levels: int = DEPTH_LIMIT) -> str:
    return _NO_FAULT


@find_fault.register
def _(plain: int, levels: int = DEPTH_LIMIT) -> str:
    if INTEGER_MIN <= plain <= INTEGER_MAX:
        return _NO_FAULT
    return 'an integer exceeds 64 bits'


@find_fault.register
def _(plain: float, levels: int = DEPTH_LIMIT) -> str:
    return _NO_FAULT if math.isfinite(plain) else 'a number is not finite'


@find_fault.register
def _(plain: str, levels: int = DEPTH_LIMIT) -> str:
    return 'half a surrogate pair' if _SURROGATE.search(plain) else _NO_FAULT


@find_fault.register
def _(plain: list, levels: int = DEPTH_LIMIT) -> str:  # type: ignore[type-arg]
    return _find_in(plain, levels)


@find_fault.register
def _(plain: dict, levels: int = DEPTH_LIMIT) -> str:  # type: ignore[type-arg]
    if not all(isinstance(key, str) for key in plain):
        return 'the name of a member is no text'
    return _find_in(plain.keys(), levels) or _find_in(plain.values(), levels)


def _find_in(members: Iterable[Any], levels: int) -> str:
    if not levels:
        return f'nested deeper than {DEPTH_LIMIT} levels'
    for one in members:
        # Most texts are ASCII; this is the shorter way for them.
        if isinstance(one, str) and one.isascii():
            continue
        fault = find_fault(one, levels - 1)
        if fault:
            return fault
    return _NO_FAULT
