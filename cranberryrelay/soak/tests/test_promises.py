"""Each check of the soak finds what it is for, and nothing else."""

import signal
from typing import Any, NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.soak._child import Ending
from cranberryrelay.soak._evidence import (
    Disturbance,
    Evidence,
    Explained,
    Leaving,
    NoteSent,
    Outcome,
    RequestKind,
)
from cranberryrelay.soak._promises import expected_body, find_broken
from cranberryrelay.standins import BegunRun

SENT_AT = 100.0


def make_outcome(kind: RequestKind, **changes: Any) -> Outcome:
    """Make a request that was answered, with changes."""
    outcome = Outcome(
        request_id='r1',
        kind=kind,
        instance='front-00',
        starts=1,
        version=0,
        sent_at=SENT_AT,
        ended_at=SENT_AT + 0.5,
        status=200,
        body=b'',
        complete=True,
        error='',
        unsent=False,
    )
    outcome = outcome._replace(body=expected_body(outcome))
    return outcome._replace(**changes)


def make_evidence(*outcomes: Outcome, **changes: Any) -> Evidence:
    """Make the evidence of a run in which all requests were run once."""
    ids = dict.fromkeys(one.request_id for one in outcomes)
    runs = [BegunRun(one, 'u1', SENT_AT + 0.1) for one in ids]
    evidence = Evidence(
        outcomes=outcomes,
        last_outcomes=(),
        runs=tuple(runs),
        disturbances=(),
        notes=(NoteSent(3, 1, 2), NoteSent(6, 50, 51)),
        leavings=(),
        endings=(),
        explained=(),
    )
    return evidence._replace(**changes)


def ran(count: int) -> tuple[BegunRun, ...]:
    """Make runs of the request."""
    return (BegunRun('r1', 'u1', SENT_AT + 0.1),) * count


def disturb(subject: str, at: float, planned: bool) -> tuple[Disturbance, ...]:
    """Make a disturbance of half a second."""
    return (Disturbance(subject, at, at + 0.5, planned),)


CHARGE = make_outcome(RequestKind.CHARGE)
READ = make_outcome(RequestKind.READ)
TAG = make_outcome(RequestKind.TAG)
PROBE = make_outcome(RequestKind.PROBE, version=6)
CUT = make_outcome(
    RequestKind.CHARGE, status=None, body=b'', complete=False, error='reset'
)
LATE = make_outcome(RequestKind.READ, ended_at=SENT_AT + 5)
LEFT = (Leaving('u1', SENT_AT - 5, SENT_AT + 5),)


class Case(NamedTuple):
    """A row: what was seen, and the promise that it breaks; '' for none."""

    name: str
    seen: Evidence
    promise: str


CASES = (
    Case('sound', make_evidence(CHARGE, READ), ''),
    Case('charge ran twice', make_evidence(CHARGE, runs=ran(2)), 'run once'),
    Case('tag ran twice', make_evidence(TAG, runs=ran(2)), ''),
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
        'nobody asked',
        make_evidence(CHARGE, runs=(BegunRun('r9', 'u1', SENT_AT),)),
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
        'stream too short, broken off',
        make_evidence(
            TAG._replace(body=TAG.body[:20], complete=False, error='reset')
        ),
        '',
    ),
    Case(
        'event left out',
        make_evidence(
            TAG._replace(body=TAG.body[20:], complete=False, error='reset')
        ),
        'own and whole answers',
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
        'note not in force, instance was cut off',
        make_evidence(
            PROBE._replace(status=404),
            disturbances=disturb('front-00', SENT_AT - 3, False),
        ),
        '',
    ),
    Case(
        'note not in force, the machine stalled',
        make_evidence(
            PROBE._replace(status=404),
            disturbances=disturb('machine', SENT_AT - 3, False),
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
        'older note after a new start',
        make_evidence(
            PROBE._replace(ended_at=SENT_AT - 9, sent_at=SENT_AT - 10),
            PROBE._replace(version=3, starts=2),
        ),
        '',
    ),
    Case(
        'leaving upstream ran a request',
        make_evidence(CHARGE, leavings=LEFT),
        'leaving upstreams',
    ),
    Case(
        'leaving upstream within the bound',
        make_evidence(
            CHARGE, leavings=(LEFT[0]._replace(acked_at=SENT_AT - 1),)
        ),
        '',
    ),
    Case('held', make_evidence(LATE), 'time limits'),
    Case(
        'held by an upstream that stood still',
        make_evidence(LATE, disturbances=disturb('u1', SENT_AT, False)),
        '',
    ),
    Case(
        'broken off by a planned stop',
        make_evidence(CUT, disturbances=disturb('front-00', SENT_AT, True)),
        'planned stops',
    ),
    Case(
        'broken off by a kill',
        make_evidence(CUT, disturbances=disturb('front-00', SENT_AT, False)),
        '',
    ),
    Case(
        'ended by itself',
        make_evidence(endings=(Ending('front-00', 1, None, 0),)),
        'endings',
    ),
    Case(
        'ended late',
        make_evidence(endings=(Ending('f', 0, signal.SIGTERM, 9),)),
        'endings',
    ),
    Case(
        'ended as told',
        make_evidence(
            endings=(
                Ending('f', 0, signal.SIGTERM, 5),
                Ending('f', -9, signal.SIGKILL, 0),
            )
        ),
        '',
    ),
    Case(
        'not recovered',
        make_evidence(last_outcomes=(CHARGE, CUT)),
        'recovery',
    ),
    Case(
        'account without an entry',
        make_evidence(
            last_outcomes=(CHARGE,), explained=(Explained('r1', None),)
        ),
        'account',
    ),
    Case(
        'account names the note in force',
        make_evidence(last_outcomes=(CHARGE,), explained=(Explained('r1', 6),)),
        '',
    ),
)


class PromisesTest(TestCase):
    """What was seen, and what that breaks."""

    @params(*((case,) for case in CASES))
    def test_finds(self, case: Case) -> None:
        broken = {one.promise for one in find_broken(case.seen)}
        self.assertEqual(broken, {case.promise} if case.promise else set())
