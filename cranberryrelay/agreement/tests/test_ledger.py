"""Tests that the ledger lets each key run at most once, despite faults."""

from typing import Any
from unittest import TestCase, mock

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from nose2.tools import params

from cranberryrelay.agreement import (
    LedgerWriter,
    Outcome,
    ReadDone,
    Reserve,
    Reserved,
    SendPeer,
    Settle,
    StoreRead,
    StoreWrite,
    Verdict,
    WriteDone,
)
from cranberryrelay.standins import StoreStandIn
from cranberryrelay.testkit import DETERMINISTIC_PROFILE

DONE = Outcome(200, 'text/plain', b'done')
KEY = '0' * 8
NO_FAULTS: dict[str, Any] = {'lost_answers': 0, 'outage': False}
FAULTS: list[dict[str, Any]] = [
    {},
    {},
    {'lost_answers': 1},
    {'outage': True},
]


class LedgerHarness:
    """Two writers of one partition on one store, advanced step by step."""

    def __init__(self) -> None:
        self.store = StoreStandIn()
        self.ledgers = [LedgerWriter(0, f'writer-{one}') for one in (1, 2)]
        self.calls: list[list[Any]] = [[], []]
        self.now = 0.0
        self.verdicts: dict[str, list[Reserved]] = {}

    def apply_effects(self, writer: int, effects: Any) -> None:
        for effect in effects:
            if isinstance(effect, (StoreRead, StoreWrite)):
                self.calls[writer].append(effect)
            elif isinstance(effect, SendPeer):
                answer = effect.message
                if isinstance(answer, Reserved):
                    self.verdicts.setdefault(answer.attempt_id, []).append(
                        answer
                    )

    def send(self, writer: int, message: Any) -> None:
        ledger = self.ledgers[writer]
        self.apply_effects(writer, ledger.receive('entry', message, self.now))

    def step(self, writer: int) -> None:
        """Answer one store call of a writer and run its next tick."""
        self.now += 0.1
        ledger = self.ledgers[writer]
        if self.calls[writer]:
            call = self.calls[writer].pop(0)
            self.apply_effects(
                writer, ledger.on_answer(self._answer(call), self.now)
            )
        self.apply_effects(writer, ledger.on_tick(self.now))

    def run_until_idle(self) -> None:
        for _ in range(30):
            for writer in (0, 1):
                self.step(writer)

    def _answer(self, call: Any) -> Any:
        if isinstance(call, StoreRead):
            return ReadDone(call, self.now, self.store.read_now(call.key))
        written = self.store.write_now(
            call.key, call.body, call.expected_version
        )
        return WriteDone(call, self.now, written)

    def verdict_of(self, attempt_id: str) -> Verdict | None:
        answers = self.verdicts.get(attempt_id, [])
        return answers[-1].verdict if answers else None


class LedgerMachine(RuleBasedStateMachine):
    """Two writers and one key, with lost answers and store outages."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = LedgerHarness()
        self.attempt_count = 0
        self.dispatched: list[str] = []
        self.refused: set[str] = set()

    @rule(writer=st.integers(0, 1))
    def reserve(self, writer: int) -> None:
        self.attempt_count += 1
        attempt_id = f'exchange-{self.attempt_count}'
        self.harness.send(writer, Reserve(KEY, 'call', attempt_id))

    @rule(writer=st.integers(0, 1), count=st.integers(1, 3))
    def step(self, writer: int, count: int) -> None:
        for _ in range(count):
            self.harness.step(writer)

    @rule()
    def step_both(self) -> None:
        for writer in (0, 1):
            self.harness.step(writer)

    @rule()
    def dispatch(self) -> None:
        for attempt_id in self.harness.verdicts:
            granted = self.harness.verdict_of(attempt_id) is Verdict.RUN
            if granted and attempt_id not in self.dispatched:
                self.dispatched.append(attempt_id)

    @rule(writer=st.integers(0, 1))
    def settle(self, writer: int) -> None:
        for attempt_id in self.dispatched:
            self.harness.send(writer, Settle(KEY, attempt_id, DONE))

    @rule(faults=st.sampled_from(FAULTS))
    def switch_store(self, faults: dict[str, Any]) -> None:
        self.harness.store.switch_faults({**NO_FAULTS, **faults})

    @rule(writer=st.sampled_from([0, 0, 0, 1]))
    def restart_writer(self, writer: int) -> None:
        if writer:
            incarnation = f'writer-2.{self.attempt_count}'
            self.harness.ledgers[1] = LedgerWriter(0, incarnation)
            self.harness.calls[1] = []

    @invariant()
    def at_most_one_run(self) -> None:
        assert len(self.dispatched) <= 1, self.dispatched


LedgerTest = LedgerMachine.TestCase
LedgerTest.settings = DETERMINISTIC_PROFILE


def write_unconditionally(
    store: StoreStandIn, key: str, body: bytes, expected_version: int
) -> Any:
    """Write regardless of the expected version, as a faulty store would."""
    found = store.peek(key)
    version = found.version if found else 0
    return WRITE_NOW(store, key, body, version)


WRITE_NOW = StoreStandIn.write_now


class UnconditionalWriteTest(TestCase):
    """The state machine must fail if writes are not conditional."""

    def test_unconditional_append_is_detected(self) -> None:
        generate_only = settings(
            DETERMINISTIC_PROFILE, phases=(Phase.generate,), max_examples=3000
        )
        with (
            mock.patch.object(StoreStandIn, 'write_now', write_unconditionally),
            self.assertRaises(AssertionError),
        ):
            run_state_machine_as_test(LedgerMachine, settings=generate_only)


class RepeatTest(TestCase):
    """Verdicts on repeated calls."""

    @params(
        ('same body after the outcome', 'call', True, Verdict.REPLAY),
        ('same body before the outcome', 'call', False, Verdict.UNRESOLVED),
        ('another body', 'other', True, Verdict.MISMATCH),
    )
    def test_repeat(
        self, name: str, call: str, settled: bool, expected: Verdict
    ) -> None:
        harness = LedgerHarness()
        harness.send(0, Reserve(KEY, 'call', 'first'))
        harness.run_until_idle()
        self.assertIs(harness.verdict_of('first'), Verdict.RUN)
        if settled:
            harness.send(0, Settle(KEY, 'first', DONE))
        harness.send(0, Reserve(KEY, call, 'second'))
        harness.run_until_idle()
        self.assertIs(harness.verdict_of('second'), expected, name)

    @params(
        ('refused while the store is unavailable', {'outage': True}),
        ('refused after a lost answer', {'lost_answers': 1}),
    )
    def test_refused_call_may_be_retried(
        self, name: str, faults: dict[str, Any]
    ) -> None:
        harness = LedgerHarness()
        harness.run_until_idle()
        harness.send(0, Reserve(KEY, 'call', 'warm'))
        harness.run_until_idle()
        key = '00000008'
        harness.store.switch_faults(faults)
        harness.send(0, Reserve(key, 'call', 'first'))
        harness.step(0)
        harness.step(0)
        harness.step(0)
        self.assertIs(harness.verdict_of('first'), Verdict.UNAVAILABLE, name)
        harness.store.switch_faults({'outage': False, 'lost_answers': 0})
        harness.run_until_idle()
        harness.send(1, Reserve(key, 'call', 'again'))
        harness.run_until_idle()
        self.assertIs(harness.verdict_of('again'), Verdict.RUN, name)
