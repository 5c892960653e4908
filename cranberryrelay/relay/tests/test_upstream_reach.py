"""When an instance takes itself to be cut off from all upstreams.

Guards against forwarding requests, or not forwarding them, for what a single
upstream does, and against missing a cut that spares open connections.
"""

import random
from typing import NamedTuple
from unittest import TestCase

import trio
from nose2.tools import params

from cranberryrelay.relay import Role, Upstream
from cranberryrelay.relay._backlog import Backlog, InFlightCall
from cranberryrelay.relay._upstream_reach import (
    CHECKED_LIMIT,
    CHECKED_PER_DOMAIN,
    ReachMonitor,
    UpstreamReach,
)

NOW = 100.0
UPSTREAMS = [
    Upstream(f'e{idx}', 1, 's', f'e{idx}:1', 'abcdef'[idx % 6], 8, False, role)
    for idx, role in enumerate((Role.PREFILL, Role.DECODE, Role.PLAIN) * 8)
]


class Case(NamedTuple):
    """A row: what the instance saw, and whether it is cut off then."""

    name: str
    failed: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    contact_at: float = NOW - 5
    accepts: bool | None = None
    cut_off: bool = False
    upstreams: int = len(UPSTREAMS)


CASES = (
    Case('nothing fails'),
    Case('one ends', failed=('e1',)),
    Case('two end, others accept', failed=('e1', 'e2'), accepts=True),
    Case('links refused', failed=('e1', 'e2'), accepts=False, cut_off=True),
    Case('links without answer', failed=('e1', 'e2'), cut_off=True),
    Case(
        'open connections answer, new ones are refused',
        failed=('e1', 'e2'),
        contact_at=NOW,
        accepts=False,
        cut_off=True,
    ),
    Case('one is silent', silent=('e1',)),
    Case('all are silent', silent=('e1', 'e2'), cut_off=True),
    Case('two are silent, others accept', silent=('e1', 'e2'), accepts=True),
    Case('two are silent, others answer', silent=('e1', 'e2'), contact_at=NOW),
    Case('the only upstream ends', failed=('e0', 'gone'), upstreams=1),
)


def make_monitor(case: Case) -> ReachMonitor:
    """Make the monitor of an instance that has seen what a row says."""

    async def probe(address: str) -> bool | None:
        return case.accepts

    reach = UpstreamReach()
    backlog = Backlog()
    reach.record_contact(case.contact_at)
    for name in case.failed:
        reach.record_failure(name, NOW - 0.1)
    for name in case.silent:
        backlog.add(name, InFlightCall(0, NOW - 1))
    return ReachMonitor(reach, backlog, probe, random.Random(1))


class ReachTest(TestCase):
    """New connections decide once several upstreams fail or are silent."""

    @params(*CASES)
    def test_state(self, *row: object) -> None:
        case = Case(*row)  # type: ignore[arg-type]
        monitor = make_monitor(case)
        if monitor.is_check_due(NOW):
            trio.run(monitor.check, UPSTREAMS[: case.upstreams], NOW)
        self.assertIs(monitor.reach.cut_off, case.cut_off)

    # Guards against staying cut off for longer than a second after the end.
    def test_end_of_cut_is_noticed(self) -> None:
        monitor = make_monitor(Case('reached again', accepts=True))
        monitor.reach.cut_off = True
        self.assertTrue(monitor.is_check_due(NOW))
        self.assertTrue(trio.run(monitor.check, UPSTREAMS, NOW))
        self.assertFalse(monitor.reach.cut_off)

    # Guards against checks of upstreams in one failure domain only.
    def test_check_covers_failure_domains(self) -> None:
        chosen = make_monitor(CASES[0]).choose(UPSTREAMS)
        self.assertEqual(len(chosen), CHECKED_LIMIT)
        counts = [
            sum(one.domain == domain for one in chosen) for domain in 'abcdef'
        ]
        self.assertLessEqual(max(counts), CHECKED_PER_DOMAIN)
