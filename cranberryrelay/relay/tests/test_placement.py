"""Where requests go: long prompts apart, shared parts once, failures away."""

from typing import NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.relay import ModelWork, PromptPart, Role, Upstream
from cranberryrelay.relay._backlog import Backlog, EngineLoad, Sent
from cranberryrelay.relay._fleet import (
    FAILURES_TO_REST,
    FIRST_REST_SECONDS,
    Fleet,
)
from cranberryrelay.relay._placement import (
    Surroundings,
    choose_decode,
    choose_long_engines,
    choose_plain,
    choose_prefill,
    predict_read_seconds,
)
from cranberryrelay.relay._prefix_index import PrefixIndex
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import make_settings

NOW = 100.0
BUSY_SECONDS = 0.2
CAPACITY = 400_000
SHARED = PromptPart('shared', 5000)
SHORT = ModelWork('m', 800, 32, (PromptPart('own', 800),))
LONG = ModelWork('m', 12_000, 40, (SHARED, PromptPart('own', 7000)))


def make_surroundings(prefill: int = 4) -> Surroundings:
    """Make a fleet of engines in failure domains 'a' and 'b'."""
    fleet = Fleet()
    for idx in range(prefill):
        domain = 'ab'[idx % 2]
        fleet.put(make_engine(f'p{idx}', Role.PREFILL, domain))
    for idx in range(2):
        fleet.put(make_engine(f'd{idx}', Role.DECODE, 'ab'[idx]))
    return Surroundings(fleet, Backlog(), PrefixIndex(), 'a')


def make_engine(name: str, role: Role, domain: str) -> Upstream:
    return Upstream(name, 1, 's', f'{name}:1', domain, 64, False, role)


def long_engines(around: Surroundings) -> frozenset[str]:
    engines = around.fleet.candidates('s', Role.PREFILL, NOW)
    return choose_long_engines(engines)


class PrefillChoiceTest(TestCase):
    """The engine that reads a prompt."""

    def test_flood_of_long_prompts_leaves_engines_for_short_ones(self) -> None:
        around = make_surroundings()
        apart = long_engines(around)
        for _ in range(20):
            chosen = choose_prefill(around, 's', LONG, frozenset(), NOW)
            assert chosen is not None
            sent = Sent(chosen.read_seconds, NOW)
            around.backlog.add(chosen.engine.name, sent)
        waits = {
            name: around.backlog.wait_seconds(name, NOW)
            for name in around.fleet.upstreams
            if name.startswith('p')
        }
        for name, wait in waits.items():
            self.assertEqual(wait > BUSY_SECONDS, name in apart, name)
        short = choose_prefill(around, 's', SHORT, frozenset(), NOW)
        assert short is not None
        self.assertNotIn(short.engine.name, apart)

    def test_shared_part_is_read_once(self) -> None:
        around = make_surroundings()
        keeper = sorted(long_engines(around))[0]
        around.prefixes.note(keeper, (SHARED,), CAPACITY)
        chosen = choose_prefill(around, 's', LONG, frozenset(), NOW)
        assert chosen is not None
        self.assertEqual(chosen.engine.name, keeper)
        self.assertEqual(chosen.tokens_to_read, 7000)

    def test_slow_engine_is_chosen_less(self) -> None:
        around = make_surroundings(prefill=2)
        for _ in range(10):
            around.fleet.note_speed('p0', 0.05, 0.9, NOW)
        chosen = choose_prefill(around, 's', SHORT, frozenset(), NOW)
        assert chosen is not None
        self.assertEqual(chosen.engine.name, 'p1')

    def test_own_failure_domain_is_preferred(self) -> None:
        around = make_surroundings(prefill=2)._replace(body_bytes=12_000)
        chosen = choose_prefill(around, 's', SHORT, frozenset(), NOW)
        assert chosen is not None
        self.assertEqual(chosen.engine.domain, 'a')

    def test_reading_time_grows_with_the_context(self) -> None:
        first = predict_read_seconds(10_000, 0)
        later = predict_read_seconds(20_000, 10_000)
        self.assertGreater(later, first)


class OtherChoicesTest(TestCase):
    """The engine that generates, and the process of a plain service."""

    def test_full_engine_is_avoided_in_the_own_domain(self) -> None:
        around = make_surroundings()
        for idx in range(70):
            around.backlog.add('d0', Sent(0, NOW + idx))
        engine = choose_decode(around, 's', 'a', frozenset(), NOW)
        assert engine is not None
        self.assertEqual(engine.name, 'd1')

    def test_leaving_engine_gets_nothing(self) -> None:
        around = make_surroundings()
        leaving = make_engine('d0', Role.DECODE, 'a')._replace(leaving=True)
        around.fleet.put(leaving)
        engine = choose_decode(around, 's', 'a', frozenset(), NOW)
        assert engine is not None
        self.assertEqual(engine.name, 'd1')

    def test_failing_process_is_chosen_less(self) -> None:
        around = make_surroundings()
        for name, domain in (('q0', 'a'), ('q1', 'b')):
            around.fleet.put(make_engine(name, Role.PLAIN, domain))
        around.fleet.note_failure('q0', NOW)
        chosen = choose_plain(around, 's', frozenset(), NOW)
        assert chosen is not None
        self.assertEqual(chosen.name, 'q1')

    def test_no_engine(self) -> None:
        around = make_surroundings(prefill=0)
        none = choose_prefill(around, 's', SHORT, frozenset(), NOW)
        self.assertIsNone(none)


class RestCase(NamedTuple):
    """A row: failures of an upstream, and whether it rests then."""

    name: str
    code: ResultCode
    failures: int
    rests: bool


REST_CASES = (
    RestCase('out of reach', ResultCode.UPSTREAM_UNREACHABLE, 1, True),
    RestCase('one lost answer', ResultCode.UPSTREAM_FAILED, 1, False),
    RestCase(
        'failures in a row',
        ResultCode.UPSTREAM_FAILED,
        FAILURES_TO_REST,
        True,
    ),
    RestCase('no room', ResultCode.UPSTREAM_REFUSED, 5, False),
)


class FleetTest(TestCase):
    """What failures of upstreams lead to."""

    @params(*((case,) for case in REST_CASES))
    def test_rest(self, case: RestCase) -> None:
        state = RelayState(make_settings())
        state.fleet.put(make_engine('p0', Role.PREFILL, 'a'))
        for _ in range(case.failures):
            state.note_failure('p0', fail(case.code, 'test'), NOW)
        self.assertEqual(state.fleet.rests('p0', NOW), case.rests)

    def test_one_request_tries_after_the_rest(self) -> None:
        fleet = Fleet()
        fleet.note_unreachable('p0', NOW)
        later = NOW + FIRST_REST_SECONDS
        self.assertFalse(fleet.rests('p0', later))
        fleet.note_sent('p0', later)
        self.assertTrue(fleet.rests('p0', later))
        fleet.note_answer('p0', later)
        self.assertFalse(fleet.rests('p0', later))

    def test_replaced_incarnation_is_forgotten(self) -> None:
        state = RelayState(make_settings())
        state.fleet.put(make_engine('p0', Role.PREFILL, 'a'))
        failure = fail(ResultCode.UPSTREAM_REPLACED, 'test')
        state.note_failure('p0', failure, NOW)
        self.assertNotIn('p0', state.fleet.upstreams)


class BacklogTest(TestCase):
    """Own sends and those of peers, with their ages."""

    def test_peers_count_until_they_are_old(self) -> None:
        backlog = Backlog()
        backlog.add('p0', Sent(0.2, NOW))
        backlog.hear('peer', {'p0': EngineLoad(300, 0, 1, 300)}, NOW)
        self.assertAlmostEqual(backlog.wait_seconds('p0', NOW), 0.5)
        self.assertAlmostEqual(backlog.wait_seconds('p0', NOW + 2), 0)
        self.assertEqual(backlog.running('p0', NOW + 2), 1)

    def test_ended_calls_are_removed(self) -> None:
        backlog = Backlog()
        sent = Sent(0.2, NOW)
        backlog.add('p0', sent)
        backlog.remove('p0', sent)
        backlog.remove('p0', sent)
        self.assertEqual(backlog.summarize(NOW), {})
