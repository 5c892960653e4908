"""Which prompt segments are suspected of crashing engines.

Guards against refusing sound prompts after engine failures of other kinds, and
against instances that judge the same segment differently.
"""

from collections.abc import Callable
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.policy import SUSPECT_TTL_SECONDS
from cranberryrelay.relay import Role, Upstream
from cranberryrelay.relay._answer_history import RESTART_GAP_SECONDS
from cranberryrelay.relay._crash_suspects import (
    CONFIRMATION_WINDOW_SECONDS,
    TRIAL_SECONDS,
    Clearance,
    CrashSuspects,
)
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import make_settings, make_table

NOW = 100.0
PROMPT = ('system', 'deadly')


def no_engine_gone(suspects: CrashSuspects) -> None:
    suspects.record_interrupted('e1', PROMPT, NOW)


def engine_gone_too_late(suspects: CrashSuspects) -> None:
    suspects.record_interrupted('e1', PROMPT, NOW)
    suspects.drop_unconfirmed(NOW + CONFIRMATION_WINDOW_SECONDS + 0.1)
    suspects.record_gone('e1')


def engine_answered_since(suspects: CrashSuspects) -> None:
    suspects.record_gone('e1')
    suspects.record_answer('e1', NOW)
    suspects.record_interrupted('e1', PROMPT, NOW)


def proven_before(suspects: CrashSuspects) -> None:
    suspects.prove(PROMPT, NOW - 1)
    crash_once(suspects, 'e1')


def proven_afterwards(suspects: CrashSuspects) -> None:
    crash_once(suspects, 'e1')
    crash_once(suspects, 'e2')
    suspects.prove(PROMPT, NOW + 1)


def crashed_once(suspects: CrashSuspects) -> None:
    crash_once(suspects, 'e1')


def gone_before_run_broke(suspects: CrashSuspects) -> None:
    suspects.record_gone('e1')
    suspects.record_interrupted('e1', PROMPT, NOW)


def same_crash_seen_twice(suspects: CrashSuspects) -> None:
    crash_once(suspects, 'e1')
    crash_once(suspects, 'e1')


def crashed_twice(suspects: CrashSuspects) -> None:
    crash_once(suspects, 'e1')
    crash_once(suspects, 'e2')


def crashed_together(suspects: CrashSuspects) -> None:
    for engine in ('e1', 'e2', 'e3'):
        suspects.record_interrupted(engine, PROMPT, NOW, sent_at=NOW - 0.1)
        suspects.record_gone(engine)


def answered_across(suspects: CrashSuspects) -> None:
    suspects.record_answer('e1', NOW - 0.2)
    crash_once(suspects, 'e1')
    suspects.record_answer('e1', NOW + 0.5)


def restarted_after(suspects: CrashSuspects) -> None:
    suspects.record_answer('e1', NOW - 0.2)
    crash_once(suspects, 'e1')
    suspects.record_answer('e1', NOW + RESTART_GAP_SECONDS + 0.1)


def crash_once(suspects: CrashSuspects, engine: str) -> None:
    suspects.record_interrupted(engine, PROMPT, NOW)
    suspects.record_gone(engine)


History = Callable[[CrashSuspects], None]
HISTORIES: tuple[tuple[History, Clearance], ...] = (
    (no_engine_gone, Clearance.GRANTED),
    (engine_gone_too_late, Clearance.GRANTED),
    (engine_answered_since, Clearance.GRANTED),
    (proven_before, Clearance.GRANTED),
    (proven_afterwards, Clearance.GRANTED),
    (crashed_once, Clearance.TRIAL_ONLY),
    (gone_before_run_broke, Clearance.TRIAL_ONLY),
    (same_crash_seen_twice, Clearance.TRIAL_ONLY),
    (crashed_twice, Clearance.REFUSED),
    (crashed_together, Clearance.TRIAL_ONLY),
    (answered_across, Clearance.GRANTED),
    (restarted_after, Clearance.TRIAL_ONLY),
)


class JudgementTest(TestCase):
    """Only unproven segments on engines that ended are suspects."""

    @params(*HISTORIES)
    def test_history(self, history: History, expected: Clearance) -> None:
        suspects = CrashSuspects()
        history(suspects)
        self.assertIs(suspects.judge(PROMPT, NOW + 1), expected)

    def test_refusal_ends(self) -> None:
        suspects = CrashSuspects()
        crashed_twice(suspects)
        end = NOW + SUSPECT_TTL_SECONDS + 1
        self.assertIs(suspects.judge(PROMPT, end), Clearance.GRANTED)


class NewsTest(TestCase):
    """Instances judge a segment alike once they have heard of each other."""

    def test_crashes_seen_by_two_instances_add_up(self) -> None:
        first, second = CrashSuspects(), CrashSuspects()
        crash_once(first, 'e1')
        crash_once(second, 'e2')
        second.apply_news(first.take_news(NOW), NOW)
        self.assertIs(second.judge(PROMPT, NOW), Clearance.REFUSED)

    def test_proof_of_a_peer_clears_suspects(self) -> None:
        first, second = CrashSuspects(), CrashSuspects()
        first.prove(PROMPT, NOW - 1)
        crash_once(second, 'e1')
        first.apply_news(second.take_news(NOW), NOW)
        second.apply_news(first.take_news(NOW), NOW)
        self.assertIs(second.judge(PROMPT, NOW), Clearance.GRANTED)

    def test_trial_of_a_peer_holds_others_back(self) -> None:
        first, second = CrashSuspects(), CrashSuspects()
        first.begin_trial(frozenset(PROMPT), NOW)
        second.apply_news(first.take_news(NOW), NOW)
        self.assertTrue(second.is_on_trial(PROMPT, NOW))
        self.assertFalse(second.is_on_trial(PROMPT, NOW + TRIAL_SECONDS))

    # Guards against a restarted instance that sends a refused segment on, and
    # against records that restarts renew for ever.
    def test_restarted_instance_learns_records_with_their_age(self) -> None:
        known, restarted = CrashSuspects(), CrashSuspects()
        crashed_twice(known)
        later = NOW + SUSPECT_TTL_SECONDS / 2
        restarted.apply_news(known.summarize(later), later)
        self.assertIs(restarted.judge(PROMPT, later), Clearance.REFUSED)
        end = NOW + SUSPECT_TTL_SECONDS + 1
        self.assertIs(restarted.judge(PROMPT, end), Clearance.GRANTED)

    # Guards against refusing sound requests for the broken connections of one
    # instance; ``heard_at`` is when the other hears of the crash.
    @params(NOW + 0.01, NOW + 2)
    def test_peer_refutes_crash_of_engine_that_answers_it(
        self, heard_at: float
    ) -> None:
        cut_off, peer = CrashSuspects(), CrashSuspects()
        crash_once(cut_off, 'e1')
        news = cut_off.take_news(heard_at)
        times = [NOW + step / 10 for step in range(-5, 25)]
        for answered_at in times:
            if answered_at <= heard_at:
                peer.record_answer('e1', answered_at)
        peer.apply_news(news, heard_at)
        for answered_at in times:
            if answered_at > heard_at:
                peer.record_answer('e1', answered_at)
        cut_off.apply_news(peer.take_news(NOW + 2.5), NOW + 2.5)
        for suspects in (cut_off, peer):
            clearance = suspects.judge(PROMPT, NOW + 2.5)
            self.assertIs(clearance, Clearance.GRANTED)

    def test_news_is_forwarded_once(self) -> None:
        first, second = CrashSuspects(), CrashSuspects()
        crash_once(first, 'e1')
        news = first.take_news(NOW)
        self.assertFalse(second.apply_news(news, NOW).is_empty())
        self.assertTrue(second.apply_news(news, NOW).is_empty())
        self.assertFalse(first.has_news())


class PlannedEndTest(TestCase):
    """An engine that leaves as announced has not crashed."""

    @params((False, Clearance.TRIAL_ONLY), (True, Clearance.GRANTED))
    def test_removed_engine(self, leaving: bool, expected: Clearance) -> None:
        state = RelayState(make_settings())
        state.apply_table(make_table(5), 'test')
        engine = Upstream('e', 1, 's', 'e:1', 'a', 64, leaving, Role.DECODE)
        state.apply_upstream(engine, 'test')
        state.crash_suspects.record_interrupted(
            engine.incarnation_id(), PROMPT, NOW
        )
        state.remove_upstream('e', 'test')
        self.assertIs(state.crash_suspects.judge(PROMPT, NOW), expected)
