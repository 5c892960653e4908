"""Tests that each check reports its own violation and no other."""

import signal
from typing import Any, NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.soak._child import ProcessExit
from cranberryrelay.soak._evidence import (
    Disturbance,
    Evidence,
    Explanation,
    LeavingPeriod,
    NoteSent,
    Outcome,
    RequestKind,
)
from cranberryrelay.soak._promises import find_violations, make_expected_body
from cranberryrelay.standins import StartedRun

SENT_AT = 100.0


def make_outcome(kind: RequestKind, **changes: Any) -> Outcome:
    """Make the outcome of an answered request, with changes."""
    outcome = Outcome(
        request_id='r1',
        kind=kind,
        instance='front-00',
        start_count=1,
        version=0,
        sent_at=SENT_AT,
        ended_at=SENT_AT + 0.5,
        status=200,
        body=b'',
        complete=True,
        error='',
        connect_failed=False,
    )
    outcome = outcome._replace(body=make_expected_body(outcome))
    return outcome._replace(**changes)


def make_evidence(*outcomes: Outcome, **changes: Any) -> Evidence:
    """Make the evidence of a run in which each request ran once."""
    ids = dict.fromkeys(one.request_id for one in outcomes)
    runs = [StartedRun(one, 'u1', SENT_AT + 0.1) for one in ids]
    evidence = Evidence(
        outcomes=outcomes,
        recovery_outcomes=(),
        runs=tuple(runs),
        disturbances=(),
        notes=(NoteSent(3, 1, 2), NoteSent(6, 50, 51)),
        leaving_periods=(),
        exits=(),
        explanations=(),
    )
    return evidence._replace(**changes)


def make_runs(count: int) -> tuple[StartedRun, ...]:
    """Make the given number of runs of request r1."""
    return (StartedRun('r1', 'u1', SENT_AT + 0.1),) * count


def make_disturbances(
    subject: str, at: float, planned: bool
) -> tuple[Disturbance, ...]:
    """Make one disturbance of half a second."""
    return (Disturbance(subject, at, at + 0.5, planned),)


CHARGE = make_outcome(RequestKind.CHARGE)
READ = make_outcome(RequestKind.READ)
TAG = make_outcome(RequestKind.TAG)
PROBE = make_outcome(RequestKind.PROBE, version=6)
RESET = make_outcome(
    RequestKind.CHARGE, status=None, body=b'', complete=False, error='reset'
)
CUT = TAG._replace(body=TAG.body[:20], complete=False, error='reset')
REFUSED = CHARGE._replace(status=503)
SILENCE = (Disturbance('u1', SENT_AT, SENT_AT + 0.9, True, silence=True),)
OVERDUE = make_outcome(RequestKind.READ, ended_at=SENT_AT + 5)
LEAVING_PERIODS = (LeavingPeriod('u1', SENT_AT - 5, SENT_AT + 5),)


class Case(NamedTuple):
    """Evidence and the promises that it violates, separated by commas."""

    name: str
    evidence: Evidence
    promises: str


CASES = (
    Case('no violation', make_evidence(CHARGE, READ), ''),
    Case(
        'charge ran twice', make_evidence(CHARGE, runs=make_runs(2)), 'run once'
    ),
    Case('tag ran twice', make_evidence(TAG, runs=make_runs(2)), ''),
    Case(
        'refused and ran',
        make_evidence(CHARGE._replace(status=503)),
        'refusals are true',
    ),
    Case(
        'refused and not run',
        make_evidence(CHARGE._replace(status=503), runs=()),
        '',
    ),
    Case(
        'run without a request',
        make_evidence(CHARGE, runs=(StartedRun('r9', 'u1', SENT_AT),)),
        'only what was asked',
    ),
    Case(
        'answer of another request',
        make_evidence(CHARGE._replace(body=b'r2')),
        'own and whole answers',
    ),
    Case(
        'stream too short, complete',
        make_evidence(TAG._replace(body=TAG.body[:20])),
        'own and whole answers',
    ),
    Case(
        'stream too short, interrupted',
        make_evidence(
            TAG._replace(body=TAG.body[:20], complete=False, error='reset'),
            disturbances=make_disturbances('u1', SENT_AT, False),
        ),
        '',
    ),
    Case(
        'stream too short, interrupted in calm',
        make_evidence(CUT),
        'answered',
    ),
    Case(
        'stream interrupted at its time limit',
        make_evidence(CUT._replace(ended_at=SENT_AT + 4.95)),
        '',
    ),
    Case(
        'stream interrupted long after its time limit',
        make_evidence(CUT._replace(ended_at=SENT_AT + 6)),
        'answered, time limits',
    ),
    Case(
        'stream interrupted before its time limit',
        make_evidence(CUT._replace(ended_at=SENT_AT + 4.5)),
        'answered',
    ),
    Case(
        'call ended without an answer at its time limit',
        make_evidence(RESET._replace(ended_at=SENT_AT + 3)),
        'answered',
    ),
    Case('ran and not answered', make_evidence(RESET), 'answered'),
    Case(
        'ran and not answered, its upstream was killed',
        make_evidence(
            RESET, disturbances=make_disturbances('u1', SENT_AT, False)
        ),
        '',
    ),
    Case(
        'ran and not answered, another upstream was killed',
        make_evidence(
            RESET, disturbances=make_disturbances('u2', SENT_AT, False)
        ),
        'answered',
    ),
    Case(
        'ran and not answered, its upstream was silent',
        make_evidence(RESET, disturbances=SILENCE),
        'answered',
    ),
    Case(
        'ran and not answered, beside a note',
        make_evidence(
            RESET, disturbances=make_disturbances('note', SENT_AT, True)
        ),
        'answered',
    ),
    Case(
        'read whole and not answered',
        make_evidence(
            RESET._replace(written_at=SENT_AT, ended_at=SENT_AT + 2), runs=()
        ),
        'answered',
    ),
    Case(
        'ran and not answered, the machine stalled',
        make_evidence(
            RESET, disturbances=make_disturbances('machine', SENT_AT, False)
        ),
        'answered',
    ),
    Case(
        'read whole and not answered, the machine stalled',
        make_evidence(
            RESET._replace(written_at=SENT_AT, ended_at=SENT_AT + 2),
            runs=(),
            disturbances=make_disturbances('machine', SENT_AT, False),
        ),
        '',
    ),
    Case(
        'closed as the request arrived',
        make_evidence(RESET._replace(written_at=SENT_AT + 0.4), runs=()),
        '',
    ),
    Case(
        'closed before the request was written',
        make_evidence(RESET._replace(ended_at=SENT_AT + 2), runs=()),
        '',
    ),
    Case(
        'not connected',
        make_evidence(RESET._replace(connect_failed=True), runs=()),
        '',
    ),
    Case(
        'refused while an upstream was silent',
        make_evidence(REFUSED, runs=(), disturbances=SILENCE),
        'silences',
    ),
    Case(
        'refused while an upstream was silent, another instance was killed',
        make_evidence(
            REFUSED,
            READ._replace(request_id='r2', instance='front-01', body=b'r2'),
            runs=(),
            disturbances=(
                *SILENCE,
                *make_disturbances('front-01', SENT_AT, False),
            ),
        ),
        'silences',
    ),
    Case(
        'refused while an upstream was silent, another one was killed',
        make_evidence(
            REFUSED,
            runs=(),
            disturbances=(*SILENCE, *make_disturbances('u2', SENT_AT, False)),
        ),
        '',
    ),
    Case(
        'refused after the silence of an upstream',
        make_evidence(
            REFUSED._replace(sent_at=SENT_AT + 2, ended_at=SENT_AT + 2.1),
            runs=(),
            disturbances=SILENCE,
        ),
        '',
    ),
    Case(
        'answered while an upstream was silent',
        make_evidence(CHARGE, disturbances=SILENCE),
        '',
    ),
    Case(
        'event missing',
        make_evidence(
            TAG._replace(body=TAG.body[20:], complete=False, error='reset')
        ),
        'own and whole answers, answered',
    ),
    Case(
        'note not applied at the end, beside a stall of the machine',
        make_evidence(
            recovery_outcomes=(PROBE._replace(status=404), *(CHARGE,) * 20),
            disturbances=make_disturbances('machine', SENT_AT - 1, False),
        ),
        'notes in force',
    ),
    Case(
        'note not applied at the end, as the machine stalled since',
        make_evidence(
            recovery_outcomes=(PROBE._replace(status=404), *(CHARGE,) * 20),
            disturbances=(Disturbance('machine', 51, SENT_AT, False),),
        ),
        '',
    ),
    Case(
        'route missing',
        make_evidence(CHARGE._replace(status=404)),
        'routes stay',
    ),
    Case(
        'note not in force',
        make_evidence(PROBE._replace(status=404)),
        'notes in force',
    ),
    Case(
        'note not in force, instance was disturbed',
        make_evidence(
            PROBE._replace(status=404),
            disturbances=make_disturbances('front-00', SENT_AT - 3, False),
        ),
        '',
    ),
    Case(
        'note not in force, the machine stalled',
        make_evidence(
            PROBE._replace(status=404),
            disturbances=make_disturbances('machine', SENT_AT - 3, False),
        ),
        '',
    ),
    Case(
        'note replaced meanwhile',
        make_evidence(
            PROBE._replace(status=404),
            notes=(NoteSent(6, 50, 51), NoteSent(9, SENT_AT, SENT_AT)),
        ),
        '',
    ),
    Case(
        'older note after a newer one',
        make_evidence(
            PROBE._replace(ended_at=SENT_AT - 9, sent_at=SENT_AT - 10),
            PROBE._replace(version=3),
        ),
        'notes never return',
    ),
    Case(
        'older note after a restart',
        make_evidence(
            PROBE._replace(ended_at=SENT_AT - 9, sent_at=SENT_AT - 10),
            PROBE._replace(version=3, start_count=2),
        ),
        '',
    ),
    Case(
        'leaving upstream ran a request',
        make_evidence(CHARGE, leaving_periods=LEAVING_PERIODS),
        'leaving upstreams',
    ),
    Case(
        'leaving upstream within the bound',
        make_evidence(
            CHARGE,
            leaving_periods=(
                LEAVING_PERIODS[0]._replace(acked_at=SENT_AT - 1),
            ),
        ),
        '',
    ),
    Case('time limit exceeded', make_evidence(OVERDUE), 'time limits'),
    Case(
        'time limit exceeded, an upstream was disturbed',
        make_evidence(
            OVERDUE, disturbances=make_disturbances('u1', SENT_AT, False)
        ),
        '',
    ),
    Case(
        'interrupted by a planned stop',
        make_evidence(
            RESET, disturbances=make_disturbances('front-00', SENT_AT, True)
        ),
        'planned stops, answered',
    ),
    Case(
        'stream interrupted by a planned stop at its time limit',
        make_evidence(
            CUT._replace(ended_at=SENT_AT + 4.95),
            disturbances=make_disturbances('front-00', SENT_AT, True),
        ),
        '',
    ),
    Case(
        'interrupted by a kill',
        make_evidence(
            RESET, disturbances=make_disturbances('front-00', SENT_AT, False)
        ),
        '',
    ),
    Case(
        'exited without a signal',
        make_evidence(exits=(ProcessExit('front-00', 1, None, 0),)),
        'endings',
    ),
    Case(
        'exited late after SIGTERM',
        make_evidence(exits=(ProcessExit('f', 0, signal.SIGTERM, 9),)),
        'endings',
    ),
    Case(
        'exited in time after SIGTERM and on SIGKILL',
        make_evidence(
            exits=(
                ProcessExit('f', 0, signal.SIGTERM, 5),
                ProcessExit('f', -9, signal.SIGKILL, 0),
            )
        ),
        '',
    ),
    Case(
        'not recovered',
        make_evidence(recovery_outcomes=(CHARGE, RESET)),
        'recovery',
    ),
    Case(
        'account without an entry',
        make_evidence(
            recovery_outcomes=(CHARGE,), explanations=(Explanation('r1', None),)
        ),
        'account',
    ),
    Case(
        'account names the note in force',
        make_evidence(
            recovery_outcomes=(CHARGE,), explanations=(Explanation('r1', 6),)
        ),
        '',
    ),
)


class PromisesTest(TestCase):
    """Violations that the checks find in made-up evidence."""

    @params(*((case,) for case in CASES))
    def test_finds_violations(self, case: Case) -> None:
        broken = {one.promise for one in find_violations(case.evidence)}
        expected = {one for one in case.promises.split(', ') if one}
        self.assertEqual(broken, expected)
