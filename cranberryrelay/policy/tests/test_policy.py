"""Tests of admission, engine choice, role planning, suspects and retries."""

import random
from collections import Counter
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.notes import RankRule
from cranberryrelay.policy import (
    Demand,
    EngineChooser,
    EngineRates,
    EngineView,
    Placement,
    QueuedRequest,
    RankLimiter,
    RetryBudget,
    RolePlanner,
    SentWork,
    SuspectCrash,
    SuspectRegistry,
    clip_demand,
    guarantee_slots,
)

RULES = (
    RankRule('urgent', 1, 0.5),
    RankRule('planned', 2, 0.3),
    RankRule('overnight', 3, 0.1, queue=1000),
)
RATES = EngineRates(slots=48)


def make_request(
    number: int, rank: str, caller: str = 'one', start_by: float = 100
) -> QueuedRequest:
    return QueuedRequest(number, rank, caller, 1, 1, start_by)


class LimiterTest(TestCase):
    """Guaranteed slots, borrowed slots and fairness between callers.

    An overload of one rank must not take the guaranteed slots of another.
    """

    def fill_limiter(self, counts: dict[str, int]) -> RankLimiter:
        limiter = RankLimiter()
        limiter.configure(RULES, 20)
        number = 0
        for rank, count in counts.items():
            for _ in range(count):
                number += 1
                limiter.offer(make_request(number, rank))
            limiter.decide(0)
        return limiter

    @params(
        ({'overnight': 60}, {'overnight': 20}),
        ({'overnight': 60, 'urgent': 60}, {'overnight': 20, 'urgent': 10}),
        ({'urgent': 60, 'planned': 60}, {'urgent': 20, 'planned': 6}),
        ({'planned': 3}, {'planned': 3}),
    )
    def test_used_slots_under_overload(
        self, counts: dict[str, int], expected: dict[str, float]
    ) -> None:
        self.assertEqual(self.fill_limiter(counts).used_slots, expected)

    def test_borrowed_work_has_a_lower_priority(self) -> None:
        limiter = RankLimiter()
        limiter.configure(RULES, 20)
        for number in range(15):
            limiter.offer(make_request(number, 'urgent'))
        granted = limiter.decide(0).granted
        self.assertEqual(
            Counter(grant.priority for grant in granted), {1: 10, 4: 5}
        )

    def test_callers_are_served_fairly(self) -> None:
        limiter = RankLimiter()
        limiter.configure(RULES, 4)
        for number in range(6):
            limiter.offer(make_request(number, 'urgent', 'greedy'))
        limiter.offer(make_request(9, 'urgent', 'modest'))
        granted = [
            grant.request.correlation_id for grant in limiter.decide(0).granted
        ]
        self.assertIn(9, granted[:2])

    def test_full_queue_refuses_requests(self) -> None:
        limiter = RankLimiter()
        limiter.configure((RankRule('urgent', 1, 0.5, queue=2),), 0)
        accepted = [
            limiter.offer(make_request(number, 'urgent')) for number in range(3)
        ]
        self.assertEqual(accepted, [True, True, False])

    def test_late_request_expires(self) -> None:
        limiter = RankLimiter()
        limiter.configure(RULES, 20)
        limiter.offer(make_request(1, 'urgent', start_by=5))
        decisions = limiter.decide(6)
        self.assertEqual(
            [request.correlation_id for request in decisions.expired], [1]
        )

    def test_request_stays_queued_while_placement_defers_it(self) -> None:
        limiter = RankLimiter()
        limiter.configure(RULES, 20)
        limiter.offer(make_request(1, 'urgent'))
        decisions = limiter.decide(0, lambda request, priority: Placement.WAITS)
        self.assertEqual((decisions.granted, decisions.expired), ([], []))
        self.assertEqual(len(limiter.decide(1).granted), 1)


class ChooserTest(TestCase):
    """The engine with the lowest predicted time to first token is chosen."""

    def choose(self, engines: list[EngineView], prefix: str = '') -> str:
        chooser = EngineChooser(RATES, random.Random(1))
        chooser.prefixes.record('known', 'cached', 4000)
        choice = chooser.choose(engines, prefix, 4000, 1)
        assert choice is not None
        return choice.engine

    @params(
        ('less to prefill', 'idle', '', 0, 9000),
        ('holds the prefix', 'cached', 'known', 3000, 9000),
    )
    def test_choice(
        self, name: str, expected: str, prefix: str, cached_load: int, load: int
    ) -> None:
        engines = [
            EngineView('idle', 'mixed', 0, 0, 1),
            EngineView('cached', 'mixed', 0, cached_load, 1),
            EngineView('busy', 'mixed', 0, load, 1),
        ]
        self.assertEqual(self.choose(engines, prefix), expected, name)

    def test_lagging_report_is_corrected_by_own_sends(self) -> None:
        chooser = EngineChooser(RATES, random.Random(1))
        engines = [
            EngineView('one', 'mixed', 0, 0, 0),
            EngineView('two', 'mixed', 0, 0, 0),
        ]
        chosen = set()
        for _ in range(2):
            choice = chooser.choose(engines, '', 4000, 0.1)
            assert choice is not None
            chosen.add(choice.engine)
            chooser.record_sent(choice.engine, SentWork(0.1, 4000))
        self.assertEqual(chosen, {'one', 'two'})


class RoleTest(TestCase):
    """Planned roles follow the mix of demand without oscillating."""

    @params(
        ('almost all prompt', Demand(42_000, 600), 4, 5),
        ('mostly output', Demand(3000, 4500), 0, 1),
        ('nothing asked', Demand(0, 0), 0, 0),
    )
    def test_split(
        self, name: str, demand: Demand, lowest: int, highest: int
    ) -> None:
        planner = RolePlanner(RATES)
        roles = {f'engine-{number}': 'mixed' for number in range(6)}
        for second in range(60):
            planner.observe(demand)
            roles = planner.plan(roles, {}, second)
        prefill = list(roles.values()).count('prefill')
        self.assertTrue(lowest <= prefill <= highest, (name, prefill))

    def test_change_budget_of_the_release_note_is_kept(self) -> None:
        planner = RolePlanner(RATES)
        roles = {f'engine-{number}': 'mixed' for number in range(6)}
        changes = 0
        for second in range(300):
            demand = Demand(30_000, 600)
            if second % 40 < 20:
                demand = Demand(3000, 4500)
            planner.observe(demand)
            planned = planner.plan(
                roles, {'changes_per_ten_minutes': 3}, second
            )
            changes += sum(planned[name] != roles[name] for name in roles)
            roles = planned
        self.assertEqual(changes, 3)

    def test_one_engine_always_decodes(self) -> None:
        planner = RolePlanner(RATES)
        roles = {'one': 'mixed', 'two': 'mixed'}
        for second in range(60):
            planner.observe(Demand(1_000_000, 0))
            roles = planner.plan(roles, {}, second)
        self.assertIn('mixed', roles.values())

    def test_demand_is_clipped_to_floors(self) -> None:
        by_rank = {
            'urgent': Demand(800_000, 0),
            'planned': Demand(8000, 0),
        }
        clipped = clip_demand(by_rank, RULES, 10, RATES)
        self.assertAlmostEqual(clipped.prefill_tokens_per_second, 80_000)

    def test_guaranteed_slots_never_exceed_the_capacity(self) -> None:
        by_rank = {
            'urgent': Demand(0, 100_000),
            'planned': Demand(0, 100_000),
            'overnight': Demand(0, 100_000),
        }
        guaranteed = guarantee_slots(by_rank, RULES, 6, 100, RATES)
        self.assertLessEqual(sum(guaranteed.values()), 100.0001)


class SuspectTest(TestCase):
    """A poison request is isolated after one crash, refused after two."""

    @params((0, False, False), (1, True, False), (2, True, True))
    def test_isolation_and_refusal(
        self, crashes: int, isolated: bool, refused: bool
    ) -> None:
        suspects = SuspectRegistry()
        for number in range(crashes):
            suspects.record(SuspectCrash('print', f'crash-{number}', False), 0)
        self.assertEqual(suspects.must_isolate('print', 1), isolated)
        self.assertEqual(suspects.must_refuse('print', 1), refused)

    def test_repeated_report_of_a_crash_counts_once(self) -> None:
        suspects = SuspectRegistry()
        for _ in range(5):
            suspects.record(SuspectCrash('print', 'crash', False), 0)
        self.assertFalse(suspects.must_refuse('print', 1))

    def test_record_expires(self) -> None:
        suspects = SuspectRegistry()
        for number in range(2):
            suspects.record(SuspectCrash('print', f'crash-{number}', False), 0)
        self.assertFalse(suspects.must_refuse('print', 901))


class RetryTest(TestCase):
    """Retries are bounded in proportion to first attempts."""

    def test_budget_runs_out(self) -> None:
        budget = RetryBudget()
        for _ in range(100):
            budget.record_first_attempt('caller', 'urgent')
        taken = sum(budget.take_token('caller', 'urgent') for _ in range(100))
        self.assertTrue(3 < taken <= 13, taken)

    def test_all_requests_of_a_crashed_engine_are_retried(self) -> None:
        budget = RetryBudget()
        running = 64
        allowed = [
            budget.allow_retry('caller', 'urgent', 1, crashed=True)
            for _ in range(running)
        ]
        self.assertEqual(sum(allowed), running)

    def test_other_failures_take_tokens(self) -> None:
        for attempts, crashed in ((1, False), (2, True), (2, False)):
            budget = RetryBudget()
            allowed = [
                budget.allow_retry(
                    'caller', 'urgent', attempts, crashed=crashed
                )
                for _ in range(64)
            ]
            self.assertEqual(sum(allowed), 3)
        self.assertFalse(budget.allow_retry('other', 'urgent', 3, crashed=True))

    # Guards against requests refused for want of a retry though their engine
    # was down and ran none of them.
    @params((1, 64), (2, 3), (3, 0))
    def test_attempts_that_did_not_run(
        self, attempts: int, expected: int
    ) -> None:
        budget = RetryBudget()
        allowed = [
            budget.allow_retry(
                'caller', 'urgent', attempts, crashed=False, not_run=True
            )
            for _ in range(64)
        ]
        self.assertEqual(sum(allowed), expected)
