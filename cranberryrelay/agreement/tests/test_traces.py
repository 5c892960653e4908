"""Replays recorded traces, also with single safety rules disabled.

Each variant disables one safety rule; the trace that is listed with it must
then fail, which proves that the trace detects a violation of the rule.
"""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import TestCase, mock

from nose2.tools import params
from result import Ok

from cranberryrelay.testkit import (
    Replay,
    TraceMismatchError,
    load_traces,
)

TRACES = {trace.name: trace for trace in load_traces()}
CELL = 'cranberryrelay.agreement._cell.'
STEPS = 'cranberryrelay.agreement._cell_steps.'
VOICE = 'cranberryrelay.agreement._voice.'
EVIDENCE = 'cranberryrelay.agreement._evidence.'
NETWORK = 'cranberryrelay.testkit._local_network.'


def always(answer: Any) -> Callable[..., Any]:
    """Return a function that accepts any arguments and returns ``answer``."""
    return lambda *arguments, **named: answer


# Patch targets and their replacements, by variant.
VARIANTS: dict[str, dict[str, Any]] = {
    'evidence never ages': {
        f'{NETWORK}check_admission': lambda book, applied, now: Ok(applied),
    },
    'majority of one domain': {f'{EVIDENCE}majority_size': always(1)},
    'voice taken over from a live holder': {
        f'{VOICE}AbsenceTracker.has_stopped': always(True),
    },
    'former holders are not fenced': {
        f'{VOICE}AbsenceTracker.has_stopped': always(True),
        f'{CELL}CellPart.delivery_window_passed': always(True),
    },
    'lease never expires for its holder': {
        f'{CELL}CellPart.holds_lease': lambda part, now: part.holding,
    },
    'order sent before the drain ends': {f'{STEPS}is_drained': always(True)},
    'leaving upstreams keep serving': {
        f'{STEPS}_step_leaving': lambda upstream, context: upstream,
    },
    'every call is reserved again': {
        'cranberryrelay.agreement._ledger.reply_from_log': always(None),
    },
    'abandoned reservations stay': {
        'cranberryrelay.agreement._ledger.is_open_reservation': always(False),
    },
    'nothing is released at shutdown': {
        'cranberryrelay.steward._core.StewardCore.start_leaving': always(None),
    },
}


@contextmanager
def disabled_rule(variant: str) -> Iterator[None]:
    """Disable the safety rule of a variant within the context."""
    with ExitStack() as stack:
        for target, replacement in VARIANTS[variant].items():
            stack.enter_context(mock.patch(target, replacement))
        yield


class TraceTest(TestCase):
    """Replays all traces."""

    @params(*TRACES)
    def test_replay_has_recorded_outcome(self, name: str) -> None:
        Replay(TRACES[name]).run()

    @params(
        ('evidence never ages', 'note-in-force-when-one-is-cut-off'),
        ('majority of one domain', 'note-in-force-between-two-halves'),
        (
            'voice taken over from a live holder',
            'note-in-force-voice-not-taken-from-the-living',
        ),
        (
            'former holders are not fenced',
            'order-of-former-holder-arrives-late',
        ),
        (
            'lease never expires for its holder',
            'lease-lapses-while-holder-paused',
        ),
        ('order sent before the drain ends', 'planned-change-cuts-no-request'),
        (
            'leaving upstreams keep serving',
            'leaving-upstream-gets-no-new-work',
        ),
        (
            'nothing is released at shutdown',
            'planned-stop-releases-everything',
        ),
        ('every call is reserved again', 'call-runs-at-most-once'),
        ('abandoned reservations stay', 'call-runs-at-most-once'),
    )
    def test_disabled_rule_is_detected(self, variant: str, name: str) -> None:
        with disabled_rule(variant), self.assertRaises(TraceMismatchError):
            Replay(TRACES[name]).run()
