"""The loads that a hub of a large fleet sends its members.

Load pattern: 33 members with a few calls each and five other hubs with calls at
most engines, whose reports are up to a second old.

Guards against members that count their own calls twice, or miss those of
others.
"""

import random
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.relay._backlog import (
    NO_LOAD,
    PEER_TTL_SECONDS,
    Backlog,
    EngineLoad,
    InFlightCall,
)

ENGINES = tuple(f'i-{number}' for number in range(84))
MEMBERS = tuple(f'front-a-{number:02d}' for number in range(1, 33))
HUBS = tuple(f'front-{domain}-00' for domain in 'bcdef')
NOW = 100.0


def make_backlog(rng: random.Random) -> Backlog:
    """Make the backlog of a hub."""
    backlog = Backlog()
    for name in rng.sample(ENGINES, 4):
        backlog.add(name, InFlightCall(rng.random(), NOW - rng.random()))
    for peers, engines in ((MEMBERS, 4), (HUBS, 60)):
        for peer in peers:
            loads = {
                name: EngineLoad(*(rng.randrange(200) for _ in NO_LOAD))
                for name in rng.sample(ENGINES, engines)
            }
            age = rng.random() * 1.2 * PEER_TTL_SECONDS
            backlog.apply_report(peer, loads, NOW - age)
    return backlog


def add_up(backlog: Backlog, peers: set[str]) -> dict[str, EngineLoad]:
    """Add up the loads of a hub and of some peers, one after another."""
    loads = [(NOW, backlog.own_loads(NOW))]
    for name, report in backlog.peer_reports.items():
        if name in peers and NOW - report.received_at < PEER_TTL_SECONDS:
            loads.append((report.received_at, report.loads))
    total: dict[str, EngineLoad] = {}
    for received_at, by_engine in loads:
        for engine, load in by_engine.items():
            prefill, oldest, running, largest = total.get(engine, NO_LOAD)
            aged = round(1000 * (NOW - received_at)) if load.prefill_ms else 0
            total[engine] = EngineLoad(
                prefill + load.prefill_ms,
                max(oldest, load.oldest_age_ms + aged),
                running + load.running,
                max(largest, load.largest_prefill_ms),
            )
    return total


class HubSumsTest(TestCase):
    """Sums over the reports of a fleet."""

    @params(1, 2, 3, 4, 5)
    def test_member_gets_the_load_of_all_others(self, seed: int) -> None:
        rng = random.Random(seed)
        backlog = make_backlog(rng)
        sums = backlog.loads_excluding_each(MEMBERS, NOW)
        for member in MEMBERS:
            others = {*MEMBERS, *HUBS} - {member}
            expected = add_up(backlog, others)
            self.assertEqual(backlog.combined_loads(NOW, others), expected)
            found = {
                name: load
                for name, load in sums[member].items()
                if load != NO_LOAD
            }
            self.assertEqual(found, expected, member)

    def test_member_without_a_report_gets_all(self) -> None:
        backlog = make_backlog(random.Random(6))
        sums = backlog.loads_excluding_each(['front-a-40'], NOW)
        expected = add_up(backlog, {*MEMBERS, *HUBS})
        self.assertEqual(sums['front-a-40'], expected)
