"""Measures the agreement between instances, in virtual time.

Covers the delay until a revision is in force, lease take-over and the ledger.
"""

import statistics
from typing import Final, NamedTuple

from cranberryrelay.agreement import (
    EVIDENCE_BOUND_SECONDS,
    PARTITION_COUNT,
    Effect,
    LedgerWriter,
    ReadDone,
    Reserve,
    SendPeer,
    StoreRead,
    StoreWrite,
    WriteDone,
)
from cranberryrelay.notes import NoteAction
from cranberryrelay.standins import StoreStandIn
from cranberryrelay.testkit import (
    STEP_SECONDS,
    SimulatedNetwork,
    make_command,
    make_instance_settings,
)

AMENDMENT_COUNT: Final = 20
CELL: Final = 'newsroom'
TIMEOUT_SECONDS: Final = 60.0
LEDGER_STEP_SECONDS: Final = 0.01


class InForceDelayRow(NamedTuple):
    """Delay from acceptance until no instance admits under an older note."""

    # Fault that was active during the measurement.
    fault: str

    # Median, 99th percentile and maximum of the delay, in seconds.
    median: float
    p99: float
    worst: float

    # Number of published revisions that were accepted.
    accepted: int


def measure_in_force_delay(fault: str, instances: int) -> InForceDelayRow:
    """Amend a note repeatedly and time each revision until in force."""
    network = SimulatedNetwork(make_instance_settings(instances))
    network.run(5)
    network.publish(make_command(NoteAction.PUBLISH))
    network.run(8)
    inject_fault(network, fault)
    delays: list[float] = []
    accepted = 0
    for number in range(AMENDMENT_COUNT):
        version = str(number + 2)
        command = make_command(NoteAction.AMEND, version=version)
        revision = network.publish(command).unwrap()
        delays.append(time_until_in_force(network, revision))
        accepted += int(revision in network.accepted_at)
    ordered = sorted(delays)
    return InForceDelayRow(
        fault,
        statistics.median(ordered),
        ordered[int(len(ordered) * 0.99)],
        ordered[-1],
        accepted,
    )


def inject_fault(network: SimulatedNetwork, fault: str) -> None:
    """Inject the named fault."""
    watcher = 'instance-1'
    if fault == 'watcher killed':
        network.kill(watcher)
    elif fault == 'domain cut off':
        for name, settings in network.all_settings.items():
            if settings.own_instance.domain == 'domain-2':
                network.isolated_from_store.add(name)
                network.isolated_from_peers.add(name)


def time_until_in_force(network: SimulatedNetwork, revision: int) -> float:
    """Return the seconds from acceptance until in force everywhere.

    Returns ``TIMEOUT_SECONDS`` if that does not happen in time.
    """
    deadline = network.now + TIMEOUT_SECONDS
    while network.now < deadline:
        network.step()
        accepted_at = network.accepted_at.get(revision)
        if accepted_at is None:
            continue
        admitted = [
            network.get_admitted_revision(name) for name in network.instances
        ]
        if all(
            admitting == 0 or admitting >= revision for admitting in admitted
        ):
            return round(network.now - accepted_at, 3)
    return TIMEOUT_SECONDS


class TakeOverRow(NamedTuple):
    """Time after the kill of a lease holder until a step is complete."""

    # 'new lease', or an engine and whether it checks fencing tokens.
    milestone: str

    # Time since the kill, in seconds; negative if it was not reached.
    seconds: float


def measure_take_over() -> list[TakeOverRow]:
    """Kill a lease holder; time the next lease and each engine's update."""
    network = SimulatedNetwork(make_instance_settings(7))
    network.run(5)
    network.publish(make_command(NoteAction.PUBLISH))
    network.run(10)
    holder = find_holder(network)
    network.kill(holder, listed=False)
    killed_at = network.now
    while find_holder(network) == '':
        network.step()
    rows = [TakeOverRow('new lease', round(network.now - killed_at, 1))]
    network.publish(make_command(NoteAction.AMEND, version='2'))
    updated_after: dict[str, float] = {}
    while len(updated_after) < len(network.engines):
        network.step()
        if network.now - killed_at > TIMEOUT_SECONDS * 2:
            break
        for engine in network.engines.values():
            if engine.models.get('digest') == '2':
                updated_after.setdefault(engine.name, network.now - killed_at)
    for engine in network.engines.values():
        fencing = 'checks' if engine.checks_fencing else 'ignores'
        rows.append(
            TakeOverRow(
                f'{engine.name}, {fencing} fencing',
                round(updated_after.get(engine.name, -1), 1),
            )
        )
    return rows


def find_holder(network: SimulatedNetwork) -> str:
    """Return the name of the lease holder of the cell, or ''."""
    for name, instance in network.instances.items():
        if instance.steward.cells[CELL].holds_lease(network.now):
            return name
    return ''


class LedgerRow(NamedTuple):
    """Latency and store writes of the ledger at a call rate."""

    # Calls per second, over all partitions.
    calls_per_second: int

    # Median and maximum time to book a call, in seconds.
    median: float
    worst: float

    # Store writes per second with group commit, and with one write per call.
    writes_per_second: float
    single_writes_per_second: float


def measure_ledger(calls_per_second: int, seconds: int) -> LedgerRow:
    """Book calls in one partition at its share of the call rate.

    The store answers after one step of 10 ms.
    """
    benchmark = LedgerBenchmark(calls_per_second / PARTITION_COUNT)
    for tick in range(round(seconds / LEDGER_STEP_SECONDS)):
        benchmark.step(tick * LEDGER_STEP_SECONDS)
    ordered = sorted(benchmark.latencies)
    return LedgerRow(
        calls_per_second,
        round(statistics.median(ordered), 3),
        round(ordered[-1], 3),
        benchmark.store.writes * PARTITION_COUNT / seconds,
        float(calls_per_second),
    )


class LedgerBenchmark:
    """A ledger partition with a constant call rate.

    Its store answers in the next step.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.store = StoreStandIn()
        self.partition = LedgerWriter(0, 'measure')
        self.called_at: dict[str, float] = {}
        self.latencies: list[float] = []
        self.pending: list[ReadDone | WriteDone] = []

    def step(self, now: float) -> None:
        """Advance to a time: handle store answers, new calls and effects."""
        effects: list[Effect] = []
        for answer in self.pending:
            effects.extend(self.partition.on_answer(answer, now))
        self.pending = []
        while len(self.called_at) < self.rate * now:
            name = f'{len(self.called_at):08x}'
            self.called_at[name] = now
            reserve = Reserve(name, 'call', name)
            effects.extend(self.partition.receive('entry', reserve, now))
        effects.extend(self.partition.on_tick(now))
        for effect in effects:
            self.execute_effect(effect, now)

    def execute_effect(self, effect: Effect, now: float) -> None:
        """Execute a store call or record the latency of a booking."""
        if isinstance(effect, StoreRead):
            found = self.store.read_now(effect.key)
            self.pending.append(ReadDone(effect, now, found))
        elif isinstance(effect, StoreWrite):
            written = self.store.write_now(
                effect.key, effect.body, effect.expected_version
            )
            self.pending.append(WriteDone(effect, now, written))
        elif isinstance(effect, SendPeer):
            called_at = self.called_at[effect.message.exchange]
            self.latencies.append(now - called_at)


def measure_agreement() -> str:
    """Run all measurements of the agreement and return a table."""
    lines = [
        f'evidence bound {EVIDENCE_BOUND_SECONDS} s, step {STEP_SECONDS} s',
        'in force after acceptance, 7 instances   median   p99 worst acc',
    ]
    for fault in ('no fault', 'watcher killed', 'domain cut off'):
        row = measure_in_force_delay(fault, 7)
        lines.append(
            f'{row.fault:<40} {row.median:6.2f} {row.p99:5.2f} '
            f'{row.worst:5.2f} {row.accepted}/{AMENDMENT_COUNT}'
        )
    lines.append('take-over after a kill')
    lines.extend(
        f'{row.milestone:<40} {row.seconds:6.1f} s'
        for row in measure_take_over()
    )
    lines.append('ledger calls/s  median  worst  writes/s  one each/s')
    for calls in (8, 80, 400, 2000):
        ledger = measure_ledger(calls, 20)
        lines.append(
            f'{ledger.calls_per_second:14} {ledger.median:7.3f} '
            f'{ledger.worst:6.3f} {ledger.writes_per_second:9.1f} '
            f'{ledger.single_writes_per_second:11.1f}'
        )
    return '\n'.join(lines)
