"""Fits records of another build of the program to the types of this one.

Records travel as arrays in the order of their fields. A build may add fields
at the end, each with an immutable default; it never removes, moves or
reinterprets one. A record of an older build gets the defaults when it is
converted; of one of a newer build, the fields that are not known here are left
out first.
"""

from collections.abc import Callable
from functools import cache, partial
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

# Is told of each difference between a record and its type.
DifferenceObserver = Callable[[str], None]


def fit_outermost(
    content: Any, expected: Any, observe: DifferenceObserver
) -> Any:
    """Return plain content without fields that the outermost type lacks."""
    if not isinstance(content, list):
        return content
    known = len(find_field_types(expected))
    _observe_unknown(content, expected, observe)
    return content[:known]


def fit_to_type(
    content: Any, expected: Any, observe: DifferenceObserver
) -> Any:
    """Return plain content without the fields that a type does not have.

    What does not fit for another reason is left as it is, for the conversion to
    reject.
    """
    fields = find_field_types(expected)
    if fields:
        return _fit_record(content, expected, observe)
    origin, arguments = get_origin(expected), get_args(expected)
    if origin in {Union, UnionType}:
        return _fit_optional(content, arguments, observe)
    if isinstance(content, dict) and origin is dict:
        fit = partial(fit_to_type, expected=arguments[1], observe=observe)
        return {key: fit(one) for key, one in content.items()}
    if isinstance(content, list) and origin is list:
        return [fit_to_type(one, arguments[0], observe) for one in content]
    if isinstance(content, list) and origin is tuple:
        return [
            fit_to_type(one, argument, observe)
            for one, argument in zip(content, arguments, strict=False)
        ]
    return content


@cache
def find_field_types(expected: Any) -> tuple[Any, ...]:
    """Return the types of a record's fields, in order; none for other types."""
    names: tuple[str, ...] = getattr(expected, '_fields', ())
    hints = get_type_hints(expected) if names else {}
    return tuple(hints[name] for name in names)


def _fit_record(
    content: Any, expected: Any, observe: DifferenceObserver
) -> Any:
    if not isinstance(content, list):
        return content
    fields = find_field_types(expected)
    _observe_unknown(content, expected, observe)
    return [
        fit_to_type(one, field_type, observe)
        for one, field_type in zip(content, fields, strict=False)
    ]


def _observe_unknown(
    content: list[Any], expected: Any, observe: DifferenceObserver
) -> None:
    unknown = len(content) - len(find_field_types(expected))
    if unknown > 0:
        observe(f'{expected.__name__} has {unknown} fields more')


def _fit_optional(
    content: Any, arguments: tuple[Any, ...], observe: DifferenceObserver
) -> Any:
    others = [one for one in arguments if one is not NoneType]
    if content is None or len(others) != 1:
        return content
    return fit_to_type(content, others[0], observe)
