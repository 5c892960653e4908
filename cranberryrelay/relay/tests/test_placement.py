"""Guards the placement of requests and the state that it uses.

Short prompts must not queue after long ones, shared segments must not be
prefilled twice, and failing upstreams must be avoided.
"""

from typing import NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.relay import ModelRequest, PromptSegment, Role, Upstream
from cranberryrelay.relay._backlog import Backlog, EngineLoad, InFlightCall
from cranberryrelay.relay._fleet import (
    FAILURES_BEFORE_BACKOFF,
    INITIAL_BACKOFF_SECONDS,
    Fleet,
)
from cranberryrelay.relay._placement import (
    PlacementContext,
    choose_decode_engine,
    choose_long_prompt_engines,
    choose_plain_upstream,
    choose_prefill_engine,
    predict_prefill_seconds,
)
from cranberryrelay.relay._prefix_index import PrefixIndex
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import make_settings

NOW = 100.0
BUSY_SECONDS = 0.2
CAPACITY = 400_000
SHARED = PromptSegment('shared', 5000)
SHORT = ModelRequest('m', 800, 32, (PromptSegment('own', 800),))
LONG = ModelRequest('m', 12_000, 40, (SHARED, PromptSegment('own', 7000)))


def make_placement_context(prefill: int = 4) -> PlacementContext:
    """Make engines in failure domains 'a' and 'b'; the local one is 'a'."""
    fleet = Fleet()
    for idx in range(prefill):
        domain = 'ab'[idx % 2]
        fleet.put(make_engine(f'p{idx}', Role.PREFILL, domain))
    for idx in range(2):
        fleet.put(make_engine(f'd{idx}', Role.DECODE, 'ab'[idx]))
    return PlacementContext(fleet, Backlog(), PrefixIndex(), 'a')


def make_engine(name: str, role: Role, domain: str) -> Upstream:
    return Upstream(name, 1, 's', f'{name}:1', domain, 64, False, role)


def find_long_prompt_engines(context: PlacementContext) -> frozenset[str]:
    engines = context.fleet.candidates('s', Role.PREFILL, NOW)
    return choose_long_prompt_engines(engines)


class PrefillChoiceTest(TestCase):
    """Choice of the prefill engine."""

    def test_long_prompts_leave_engines_for_short_ones(self) -> None:
        context = make_placement_context()
        dedicated = find_long_prompt_engines(context)
        for _ in range(20):
            chosen = choose_prefill_engine(context, 's', LONG, frozenset(), NOW)
            assert chosen is not None
            call = InFlightCall(chosen.read_seconds, NOW)
            context.backlog.add(chosen.engine.name, call)
        waits = {
            name: context.backlog.forecast_wait_seconds(name, NOW)
            for name in context.fleet.upstreams
            if name.startswith('p')
        }
        for name, wait in waits.items():
            self.assertEqual(wait > BUSY_SECONDS, name in dedicated, name)
        short = choose_prefill_engine(context, 's', SHORT, frozenset(), NOW)
        assert short is not None
        self.assertNotIn(short.engine.name, dedicated)

    def test_shared_segment_is_prefilled_once(self) -> None:
        context = make_placement_context()
        cached_at = sorted(find_long_prompt_engines(context))[0]
        context.prefix_index.record(cached_at, (SHARED,), CAPACITY)
        chosen = choose_prefill_engine(context, 's', LONG, frozenset(), NOW)
        assert chosen is not None
        self.assertEqual(chosen.engine.name, cached_at)
        self.assertEqual(chosen.tokens_to_read, 7000)

    def test_slow_engine_is_avoided(self) -> None:
        context = make_placement_context(prefill=2)
        for _ in range(10):
            context.fleet.record_duration('p0', 0.05, 0.9, NOW)
        chosen = choose_prefill_engine(context, 's', SHORT, frozenset(), NOW)
        assert chosen is not None
        self.assertEqual(chosen.engine.name, 'p1')

    def test_local_failure_domain_is_preferred(self) -> None:
        context = make_placement_context(prefill=2)._replace(body_bytes=12_000)
        chosen = choose_prefill_engine(context, 's', SHORT, frozenset(), NOW)
        assert chosen is not None
        self.assertEqual(chosen.engine.domain, 'a')

    def test_prefill_time_grows_with_context_length(self) -> None:
        first = predict_prefill_seconds(10_000, 0)
        later = predict_prefill_seconds(20_000, 10_000)
        self.assertGreater(later, first)


class OtherChoicesTest(TestCase):
    """Choice of the decode engine and of the upstream of a plain service."""

    def test_full_engine_in_local_domain_is_avoided(self) -> None:
        context = make_placement_context()
        for idx in range(70):
            context.backlog.add('d0', InFlightCall(0, NOW + idx))
        engine = choose_decode_engine(context, 's', 'a', frozenset(), NOW)
        assert engine is not None
        self.assertEqual(engine.name, 'd1')

    def test_leaving_engine_gets_no_requests(self) -> None:
        context = make_placement_context()
        leaving = make_engine('d0', Role.DECODE, 'a')._replace(leaving=True)
        context.fleet.put(leaving)
        engine = choose_decode_engine(context, 's', 'a', frozenset(), NOW)
        assert engine is not None
        self.assertEqual(engine.name, 'd1')

    def test_failing_upstream_is_avoided(self) -> None:
        context = make_placement_context()
        for name, domain in (('q0', 'a'), ('q1', 'b')):
            context.fleet.put(make_engine(name, Role.PLAIN, domain))
        context.fleet.record_failure('q0', NOW)
        chosen = choose_plain_upstream(context, 's', frozenset(), NOW)
        assert chosen is not None
        self.assertEqual(chosen.name, 'q1')

    def test_no_engine_available(self) -> None:
        context = make_placement_context(prefill=0)
        chosen = choose_prefill_engine(context, 's', SHORT, frozenset(), NOW)
        self.assertIsNone(chosen)


class BackoffCase(NamedTuple):
    """Failures of an upstream, and whether a backoff follows."""

    name: str
    code: ResultCode
    failures: int
    in_backoff: bool


BACKOFF_CASES = (
    BackoffCase('unreachable', ResultCode.UPSTREAM_UNREACHABLE, 1, True),
    BackoffCase('one failure', ResultCode.UPSTREAM_FAILED, 1, False),
    BackoffCase(
        'consecutive failures',
        ResultCode.UPSTREAM_FAILED,
        FAILURES_BEFORE_BACKOFF,
        True,
    ),
    BackoffCase('refused', ResultCode.UPSTREAM_REFUSED, 5, False),
)


class FleetTest(TestCase):
    """Backoff of failing upstreams, and removal of replaced ones."""

    @params(*((case,) for case in BACKOFF_CASES))
    def test_backoff_after_failures(self, case: BackoffCase) -> None:
        state = RelayState(make_settings())
        state.fleet.put(make_engine('p0', Role.PREFILL, 'a'))
        for _ in range(case.failures):
            state.record_failure('p0', fail(case.code, 'test'), NOW)
        self.assertEqual(state.fleet.is_in_backoff('p0', NOW), case.in_backoff)

    def test_single_request_probes_after_backoff(self) -> None:
        fleet = Fleet()
        fleet.record_unreachable('p0', NOW)
        later = NOW + INITIAL_BACKOFF_SECONDS
        self.assertFalse(fleet.is_in_backoff('p0', later))
        fleet.record_attempt('p0', later)
        self.assertTrue(fleet.is_in_backoff('p0', later))
        fleet.record_success('p0', later)
        self.assertFalse(fleet.is_in_backoff('p0', later))

    def test_replaced_incarnation_is_removed(self) -> None:
        state = RelayState(make_settings())
        state.fleet.put(make_engine('p0', Role.PREFILL, 'a'))
        failure = fail(ResultCode.UPSTREAM_REPLACED, 'test')
        state.record_failure('p0', failure, NOW)
        self.assertNotIn('p0', state.fleet.upstreams)


class BacklogTest(TestCase):
    """Load from own calls and from the reports of peers."""

    def test_peer_reports_expire(self) -> None:
        backlog = Backlog()
        backlog.add('p0', InFlightCall(0.2, NOW))
        backlog.apply_report('peer', {'p0': EngineLoad(300, 0, 1, 300)}, NOW)
        self.assertAlmostEqual(backlog.forecast_wait_seconds('p0', NOW), 0.5)
        self.assertAlmostEqual(backlog.forecast_wait_seconds('p0', NOW + 2), 0)
        self.assertEqual(backlog.running_requests('p0', NOW + 2), 1)

    def test_ended_call_is_removed(self) -> None:
        backlog = Backlog()
        call = InFlightCall(0.2, NOW)
        backlog.add('p0', call)
        backlog.remove('p0', call)
        backlog.remove('p0', call)
        self.assertEqual(backlog.own_loads(NOW), {})
