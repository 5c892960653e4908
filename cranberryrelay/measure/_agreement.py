"""Measurements of the agreement between instances, in virtual time."""

import statistics
from typing import Final, NamedTuple

from cranberryrelay.agreement import (
    EVIDENCE_BOUND_SECONDS,
    PARTITION_COUNT,
    Effect,
    LedgerPart,
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
    LocalNetwork,
    make_command,
    make_sites,
)

AMENDMENTS: Final = 20
CELL: Final = 'newsroom'
LIMIT_SECONDS: Final = 60.0
LEDGER_STEP_SECONDS: Final = 0.01


class InForceRow(NamedTuple):
    """Time from acceptance until no instance admits under an older note."""

    # What was wrong meanwhile.
    fault: str

    # Median, 99th percentile and worst, in seconds.
    median: float
    high: float
    worst: float

    # Revisions that were accepted, of those published.
    accepted: int


def measure_in_force(fault: str, instances: int) -> InForceRow:
    """Amend a note repeatedly and time its way to all instances."""
    network = LocalNetwork(make_sites(instances))
    network.run(5)
    network.publish(make_command(NoteAction.PUBLISH))
    network.run(8)
    set_fault(network, fault)
    delays: list[float] = []
    accepted = 0
    for number in range(AMENDMENTS):
        version = str(number + 2)
        command = make_command(NoteAction.AMEND, version=version)
        revision = network.publish(command).unwrap()
        delays.append(time_in_force(network, revision))
        accepted += int(revision in network.accepted_at)
    ordered = sorted(delays)
    return InForceRow(
        fault,
        statistics.median(ordered),
        ordered[int(len(ordered) * 0.99)],
        ordered[-1],
        accepted,
    )


def set_fault(network: LocalNetwork, fault: str) -> None:
    """Make the fault of a row."""
    watcher = 'instance-1'
    if fault == 'watcher killed':
        network.kill(watcher)
    elif fault == 'domain cut off':
        for name, one in network.all_settings.items():
            if one.me.domain == 'domain-2':
                network.store_cut.add(name)
                network.peer_cut.add(name)


def time_in_force(network: LocalNetwork, revision: int) -> float:
    """Return the seconds from acceptance to in force everywhere."""
    give_up_at = network.now + LIMIT_SECONDS
    while network.now < give_up_at:
        network.step()
        accepted_at = network.accepted_at.get(revision)
        if accepted_at is None:
            continue
        admitted = [network.admits(name) for name in network.instances]
        if all(one == 0 or one >= revision for one in admitted):
            return round(network.now - accepted_at, 3)
    return LIMIT_SECONDS


class TakeOverRow(NamedTuple):
    """Time until a killed holder's cell can be changed again."""

    # 'new lease', or what the engine does with fencing.
    what: str

    # Seconds from the kill.
    seconds: float


def measure_take_over() -> list[TakeOverRow]:
    """Kill a holder and time the next lease and the next orders."""
    network = LocalNetwork(make_sites(7))
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
    seen: dict[str, float] = {}
    while len(seen) < len(network.engines):
        network.step()
        if network.now - killed_at > LIMIT_SECONDS * 2:
            break
        for engine in network.engines.values():
            if engine.models.get('digest') == '2':
                seen.setdefault(engine.name, network.now - killed_at)
    for engine in network.engines.values():
        sort = 'checks' if engine.checks_fencing else 'ignores'
        rows.append(
            TakeOverRow(
                f'{engine.name}, {sort} fencing',
                round(seen.get(engine.name, -1), 1),
            )
        )
    return rows


def find_holder(network: LocalNetwork) -> str:
    """Name the instance that holds the cell; empty if none does."""
    for name, instance in network.instances.items():
        if instance.steward.cells[CELL].holds_lease(network.now):
            return name
    return ''


class LedgerRow(NamedTuple):
    """Latency and writes of the ledger at a rate of calls."""

    # Calls a second, over all partitions.
    calls_per_second: int

    # Median and worst time to a booking, in seconds.
    median: float
    worst: float

    # Store writes a second with group commit, and with one for each call.
    writes_per_second: float
    single_writes_per_second: float


def measure_ledger(calls_per_second: int, seconds: int) -> LedgerRow:
    """Book calls in one partition at its part of the rate.

    The store takes one step of 10 ms to answer.
    """
    bench = LedgerBench(calls_per_second / PARTITION_COUNT)
    for tick in range(round(seconds / LEDGER_STEP_SECONDS)):
        bench.step(tick * LEDGER_STEP_SECONDS)
    ordered = sorted(bench.latencies)
    return LedgerRow(
        calls_per_second,
        round(statistics.median(ordered), 3),
        round(ordered[-1], 3),
        bench.store.writes * PARTITION_COUNT / seconds,
        float(calls_per_second),
    )


class LedgerBench:
    """One partition, a store that answers at the next step, and callers."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.store = StoreStandIn()
        self.part = LedgerPart(0, 'measure')
        self.booked: dict[str, float] = {}
        self.latencies: list[float] = []
        self.pending: list[ReadDone | WriteDone] = []

    def step(self, now: float) -> None:
        """Let one step of time pass."""
        effects: list[Effect] = []
        for answer in self.pending:
            effects.extend(self.part.on_answer(answer, now))
        self.pending = []
        while len(self.booked) < self.rate * now:
            name = f'{len(self.booked):08x}'
            self.booked[name] = now
            reserve = Reserve(name, 'call', name)
            effects.extend(self.part.receive('entry', reserve, now))
        effects.extend(self.part.on_tick(now))
        for effect in effects:
            self.carry_out(effect, now)

    def carry_out(self, effect: Effect, now: float) -> None:
        """Carry out a store call or take in a booking."""
        if isinstance(effect, StoreRead):
            found = self.store.read_now(effect.key)
            self.pending.append(ReadDone(effect, now, found))
        elif isinstance(effect, StoreWrite):
            written = self.store.write_now(
                effect.key, effect.body, effect.expected_version
            )
            self.pending.append(WriteDone(effect, now, written))
        elif isinstance(effect, SendPeer):
            began = self.booked[effect.message.exchange]
            self.latencies.append(now - began)


def measure_agreement() -> str:
    """Run all measurements of the agreement; returns a table."""
    lines = [
        f'evidence bound {EVIDENCE_BOUND_SECONDS} s, step {STEP_SECONDS} s',
        'in force after acceptance, 7 instances   median   p99 worst acc',
    ]
    for fault in ('no fault', 'watcher killed', 'domain cut off'):
        row = measure_in_force(fault, 7)
        lines.append(
            f'{row.fault:<40} {row.median:6.2f} {row.high:5.2f} '
            f'{row.worst:5.2f} {row.accepted}/{AMENDMENTS}'
        )
    lines.append('take-over after a kill')
    lines.extend(
        f'{row.what:<40} {row.seconds:6.1f} s' for row in measure_take_over()
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
