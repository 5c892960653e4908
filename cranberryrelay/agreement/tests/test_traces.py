"""Recorded traces against their outcomes, and against broken variants.

A broken variant takes one safety rule out of the code; the trace named with
it must then fail, which shows that the check can fail.
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
    """Make a function that always gives the same answer."""
    return lambda *arguments, **named: answer


# What each variant replaces, and with what.
VARIANTS: dict[str, dict[str, Any]] = {
    'evidence never ages': {
        f'{NETWORK}check_admission': lambda book, applied, now: Ok(applied),
    },
    'one domain is enough': {f'{EVIDENCE}majority_of': always(1)},
    'voice taken without proof': {
        f'{VOICE}AbsenceClock.is_gone': always(True),
    },
    'no fencing of former holders': {
        f'{VOICE}AbsenceClock.is_gone': always(True),
        f'{CELL}CellPart.deliveries_ended': always(True),
    },
    'lease never lapses for its holder': {
        f'{CELL}CellPart.holds_lease': lambda part, now: part.holding,
    },
    'order before everybody is done': {f'{STEPS}is_drained': always(True)},
    'leaving upstreams are not told': {
        f'{STEPS}_step_leaving': lambda upstream, context: upstream,
    },
    'every call is booked again': {
        'cranberryrelay.agreement._ledger.judge': always(None),
    },
    'bookings that were given up stay': {
        'cranberryrelay.agreement._ledger.is_open_booking': always(False),
    },
    'nothing is released at a stop': {
        'cranberryrelay.steward._core.StewardCore.start_leaving': always(None),
    },
}


@contextmanager
def broken(variant: str) -> Iterator[None]:
    """Run the code without one safety rule."""
    with ExitStack() as stack:
        for target, replacement in VARIANTS[variant].items():
            stack.enter_context(mock.patch(target, replacement))
        yield


class TraceTest(TestCase):
    """Replays of all traces."""

    @params(*TRACES)
    def test_replay_has_its_outcome(self, name: str) -> None:
        Replay(TRACES[name]).run()

    @params(
        ('evidence never ages', 'note-in-force-when-one-is-cut-off'),
        ('one domain is enough', 'note-in-force-between-two-halves'),
        (
            'voice taken without proof',
            'note-in-force-voice-not-taken-from-the-living',
        ),
        ('no fencing of former holders', 'order-of-former-holder-arrives-late'),
        (
            'lease never lapses for its holder',
            'lease-lapses-while-holder-paused',
        ),
        ('order before everybody is done', 'planned-change-cuts-no-request'),
        (
            'leaving upstreams are not told',
            'leaving-upstream-gets-no-new-work',
        ),
        (
            'nothing is released at a stop',
            'planned-stop-releases-everything',
        ),
        ('every call is booked again', 'call-runs-at-most-once'),
        ('bookings that were given up stay', 'call-runs-at-most-once'),
    )
    def test_broken_variant_is_caught(self, variant: str, name: str) -> None:
        with broken(variant), self.assertRaises(TraceMismatchError):
            Replay(TRACES[name]).run()
