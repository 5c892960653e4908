"""Guards the exchange of engine failures and role changes between peers.

With many instances, each sends an engine only a few requests, so none of them
detects a failure in time without the reports of its peers.
"""

from unittest import TestCase

from nose2.tools import params

from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.relay import Role, Upstream
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._peer_update import (
    FAILURES_LIMIT,
    PeerUpdate,
    make_peer_update,
)
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import make_settings, make_table

NOW = 100.0


def make_engine(name: str, role: Role = Role.DECODE) -> Upstream:
    """Make an engine that accepts requests."""
    return Upstream(name, 1, 's', '10.0.0.1:1', 'a', 64, False, role)


def make_state(*names: str) -> RelayState:
    """Make the state of an instance that knows the named engines."""
    state = RelayState(make_settings())
    state.apply_table(make_table(5), 'test')
    for name in names:
        state.apply_upstream(make_engine(name), 'test')
    return state


def candidate_names(fleet: Fleet, role: Role, now: float) -> list[str]:
    """Return the names of the candidates for a role."""
    return [one.name for one in fleet.candidates('s', role, now)]


class RoleChangeTest(TestCase):
    """The entry in the store may show a role change long after the order."""

    def test_stale_entry_does_not_restore_old_role(self) -> None:
        fleet = make_state('e').fleet
        fleet.begin_role_change('e', NOW + 3, Role.PREFILL)
        fleet.put(make_engine('e')._replace(slots=32))
        self.assertEqual(candidate_names(fleet, Role.DECODE, NOW + 1), [])
        self.assertEqual(candidate_names(fleet, Role.PREFILL, NOW + 1), [])
        self.assertEqual(candidate_names(fleet, Role.DECODE, NOW + 4), [])
        self.assertEqual(candidate_names(fleet, Role.PREFILL, NOW + 4), ['e'])

    def test_unknown_order_outcome_keeps_role(self) -> None:
        fleet = make_state('e').fleet
        fleet.begin_role_change('e', NOW + 3, None)
        self.assertEqual(candidate_names(fleet, Role.DECODE, NOW + 1), [])
        self.assertEqual(candidate_names(fleet, Role.DECODE, NOW + 4), ['e'])

    def test_new_incarnation_has_role_of_its_entry(self) -> None:
        fleet = make_state('e').fleet
        fleet.begin_role_change('e', NOW + 3, Role.PREFILL)
        fleet.put(make_engine('e')._replace(started_at_ms=2))
        self.assertEqual(candidate_names(fleet, Role.DECODE, NOW + 1), ['e'])


class PeerUpdateTest(TestCase):
    """Instances act on the failures and recoveries that peers report."""

    @params(ResultCode.UPSTREAM_REFUSED, ResultCode.UPSTREAM_FAILED)
    def test_failures_raise_error_rate_at_peers(self, code: ResultCode) -> None:
        reporter = make_state('e')
        peer = make_state('e')
        for _ in range(10):
            reporter.record_failure('e', fail(code, 'test'), NOW)
        self.assertEqual(len(reporter.peer_update.failed), FAILURES_LIMIT)
        peer.apply_peer_update(reporter.peer_update, NOW)
        for state in (reporter, peer):
            rate = state.fleet.decayed_health('e', NOW).error_rate
            self.assertGreater(rate, 0.4)
        self.assertFalse(peer.fleet.is_in_backoff('e', NOW))

    def test_refusals_alone_start_no_backoff(self) -> None:
        state = make_state('e')
        refused = fail(ResultCode.UPSTREAM_REFUSED, 'test')
        for _ in range(10):
            state.record_failure('e', refused, NOW)
        self.assertFalse(state.fleet.is_in_backoff('e', NOW))

    def test_reported_recovery_ends_backoff_at_peers(self) -> None:
        reporter = make_state('e')
        peer = make_state('e')
        unreachable = fail(ResultCode.UPSTREAM_UNREACHABLE, 'test')
        reporter.record_failure('e', unreachable, NOW)
        peer.apply_peer_update(reporter.peer_update, NOW)
        self.assertTrue(peer.fleet.is_in_backoff('e', NOW))
        reporter.peer_update = make_peer_update()
        reporter.record_success('e', NOW + 0.2)
        self.assertEqual(
            reporter.peer_update, PeerUpdate([], [], [], ['e'], [])
        )
        peer.apply_peer_update(reporter.peer_update, NOW + 0.2)
        self.assertFalse(peer.fleet.is_in_backoff('e', NOW + 0.2))

    def test_peers_do_not_probe_all_at_once(self) -> None:
        update = PeerUpdate([], ['e'], [], [], [])
        backoffs = []
        for _ in range(30):
            peer = make_state('e')
            peer.apply_peer_update(update, NOW)
            backoffs.append(peer.fleet.health['e'].backoff_until - NOW)
        early_probes = sum(backoff < 1 for backoff in backoffs)
        self.assertTrue(0 < early_probes < 25, backoffs)

    def test_answer_of_healthy_engine_is_not_reported(self) -> None:
        state = make_state('e')
        state.record_success('e', NOW)
        self.assertTrue(state.peer_update.is_empty())
