"""Engines that fail, refuse, change their role or come back, as peers tell.

Load pattern: many instances, each of which sends an engine few requests, so
that no one of them learns by itself in time.
"""

from unittest import TestCase

from nose2.tools import params

from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.relay import Role, Upstream
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._news import FAILURES_LIMIT, News, make_news
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import make_settings, make_table

NOW = 100.0


def make_engine(name: str, role: Role = Role.DECODE) -> Upstream:
    """Make an engine that is ready."""
    return Upstream(name, 1, 's', '10.0.0.1:1', 'a', 64, False, role)


def make_state(*names: str) -> RelayState:
    """Make the state of an instance that knows some engines."""
    state = RelayState(make_settings())
    state.apply_table(make_table(5), 'test')
    for name in names:
        state.apply_upstream(make_engine(name), 'test')
    return state


def names_for(fleet: Fleet, role: Role, now: float) -> list[str]:
    """Return the engines that may be sent work of a role."""
    return [one.name for one in fleet.candidates('s', role, now)]


class ChangedRoleTest(TestCase):
    """The store's entry may tell of a change much later than the order."""

    def test_old_entry_does_not_bring_the_old_role_back(self) -> None:
        fleet = make_state('e').fleet
        fleet.spare('e', NOW + 3, Role.PREFILL)
        fleet.put(make_engine('e')._replace(slots=32))
        self.assertEqual(names_for(fleet, Role.DECODE, NOW + 1), [])
        self.assertEqual(names_for(fleet, Role.PREFILL, NOW + 1), [])
        self.assertEqual(names_for(fleet, Role.DECODE, NOW + 4), [])
        self.assertEqual(names_for(fleet, Role.PREFILL, NOW + 4), ['e'])

    def test_order_of_unknown_outcome_changes_nothing(self) -> None:
        fleet = make_state('e').fleet
        fleet.spare('e', NOW + 3, None)
        self.assertEqual(names_for(fleet, Role.DECODE, NOW + 1), [])
        self.assertEqual(names_for(fleet, Role.DECODE, NOW + 4), ['e'])

    def test_new_incarnation_has_the_role_of_its_entry(self) -> None:
        fleet = make_state('e').fleet
        fleet.spare('e', NOW + 3, Role.PREFILL)
        fleet.put(make_engine('e')._replace(born_ms=2))
        self.assertEqual(names_for(fleet, Role.DECODE, NOW + 1), ['e'])


class NewsTest(TestCase):
    """What one instance finds out, others act on."""

    @params(ResultCode.UPSTREAM_REFUSED, ResultCode.UPSTREAM_FAILED)
    def test_failing_engine_costs_more_at_peers(self, code: ResultCode) -> None:
        finder = make_state('e')
        peer = make_state('e')
        for _ in range(10):
            finder.note_failure('e', fail(code, 'test'), NOW)
        self.assertEqual(len(finder.news.failed), FAILURES_LIMIT)
        peer.hear_news(finder.news, NOW)
        for state in (finder, peer):
            rate = state.fleet.learned('e', NOW).error_rate
            self.assertGreater(rate, 0.4)
        self.assertFalse(peer.fleet.rests('e', NOW))

    def test_refusals_alone_never_rest_an_engine(self) -> None:
        state = make_state('e')
        refused = fail(ResultCode.UPSTREAM_REFUSED, 'test')
        for _ in range(10):
            state.note_failure('e', refused, NOW)
        self.assertFalse(state.fleet.rests('e', NOW))

    def test_recovered_engine_is_sent_work_again(self) -> None:
        finder = make_state('e')
        peer = make_state('e')
        unreachable = fail(ResultCode.UPSTREAM_UNREACHABLE, 'test')
        finder.note_failure('e', unreachable, NOW)
        peer.hear_news(finder.news, NOW)
        self.assertTrue(peer.fleet.rests('e', NOW))
        finder.news = make_news()
        finder.note_answer('e', NOW + 0.2)
        self.assertEqual(finder.news, News([], [], [], ['e']))
        peer.hear_news(finder.news, NOW + 0.2)
        self.assertFalse(peer.fleet.rests('e', NOW + 0.2))

    def test_those_that_were_told_do_not_try_all_at_once(self) -> None:
        told = News([], ['e'], [], [])
        ends = []
        for _ in range(30):
            peer = make_state('e')
            peer.hear_news(told, NOW)
            ends.append(peer.fleet.conduct['e'].rests_until - NOW)
        soon = sum(end < 1 for end in ends)
        self.assertTrue(0 < soon < 25, ends)

    def test_answers_of_sound_engines_are_no_news(self) -> None:
        state = make_state('e')
        state.note_answer('e', NOW)
        self.assertTrue(state.news.is_empty())
