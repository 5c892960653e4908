"""Checks invariants of several instances under injected faults."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cranberryrelay.notes import NoteAction
from cranberryrelay.testkit import (
    DETERMINISTIC_PROFILE,
    SimulatedNetwork,
    find_conflicting_orders,
    find_duplicate_lease_holders,
    find_stale_admissions,
    make_command,
    make_instance_settings,
)

INSTANCES = 7
NAMES = [f'instance-{number + 1}' for number in range(INSTANCES)]
LIST_LAG = 3.5
names = st.sampled_from(NAMES)


class FaultInjectionMachine(RuleBasedStateMachine):
    """Generates amendments, kills, pauses, partitions, outages and losses.

    Guards against admissions under outdated revisions, two holders of one
    lease and conflicting orders to an engine.
    """

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        self.network = SimulatedNetwork(make_instance_settings(INSTANCES), seed)
        self.network.run(6)
        self.network.list_lag_seconds = LIST_LAG
        self.network.publish(make_command(NoteAction.PUBLISH))
        self.version = 1

    def run_checked(self, seconds: float) -> None:
        """Run the network and check the invariants after each step."""
        for _ in range(round(seconds * 10)):
            self.network.step()
            violations = [
                *find_stale_admissions(self.network),
                *find_duplicate_lease_holders(self.network),
            ]
            assert not violations, violations

    @rule(seconds=st.sampled_from([0.2, 0.7, 2.0, 6.0]))
    def advance_time(self, seconds: float) -> None:
        self.run_checked(seconds)

    @rule()
    def amend(self) -> None:
        self.version += 1
        command = make_command(NoteAction.AMEND, version=str(self.version))
        self.network.publish(command)
        self.run_checked(0.3)

    @rule(name=names, listed=st.booleans())
    def kill_and_restart(self, name: str, *, listed: bool) -> None:
        self.network.kill(name, listed=listed)
        self.run_checked(0.5)
        self.network.start(name)

    @rule(name=names)
    def pause(self, name: str) -> None:
        self.network.instances[name].paused = True

    @rule(name=names)
    def resume(self, name: str) -> None:
        self.network.instances[name].paused = False

    @rule(name=names)
    def toggle_store_partition(self, name: str) -> None:
        self.network.isolated_from_store ^= {name}

    @rule(name=names)
    def toggle_peer_partition(self, name: str) -> None:
        self.network.isolated_from_peers ^= {name}

    @rule(unavailable=st.booleans())
    def set_store_outage(self, *, unavailable: bool) -> None:
        self.network.store.switch_faults({'outage': unavailable})

    @rule(count=st.integers(1, 2))
    def lose_answers(self, count: int) -> None:
        self.network.store.switch_faults({'lost_answers': count})

    @rule(probability=st.sampled_from([0.0, 0.2]))
    def lose_messages(self, probability: float) -> None:
        self.network.message_loss_probability = probability

    @rule(engine_index=st.integers(0, 3))
    def lose_order_answer(self, engine_index: int) -> None:
        engine = list(self.network.engines.values())[engine_index]
        engine.answers_to_lose = 1

    @invariant()
    def orders_never_conflict(self) -> None:
        for engine in self.network.engines.values():
            violations = list(find_conflicting_orders(engine))
            assert not violations, violations


FaultInjectionTest = FaultInjectionMachine.TestCase
FaultInjectionTest.settings = DETERMINISTIC_PROFILE
