"""Measures costs at several sizes and extrapolates them to the users' size.

The production decision modules and codecs run in one process.  Messages,
bytes and store calls are counted in virtual time; processor time comes from
the process clock and memory from tracemalloc.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from statistics import linear_regression
from typing import Any, Final, NamedTuple

import msgspec

from cranberryrelay.agreement import (
    AccountRange,
    AccountSegment,
    Outcome,
    Reservation,
)
from cranberryrelay.measure._policies import RANKS
from cranberryrelay.notes import (
    FoldedNotes,
    NoteAction,
    NoteContent,
    RecordChange,
    RecordDigest,
    build_view,
    digest_records,
    encode_snapshot,
    take_snapshot,
    update_view,
)
from cranberryrelay.policy import (
    EngineChooser,
    EngineRates,
    EngineView,
    QueuedRequest,
    RankLimiter,
    SentWork,
)
from cranberryrelay.testkit import (
    SimulatedNetwork,
    make_command,
    make_instance_settings,
)

NODES: Final = 3600
ENGINES: Final = 10_000
DOMAINS: Final = 11
CUSTOMERS: Final = 13_000
REQUESTS_PER_SECOND: Final = 30_000
DAY_SECONDS: Final = 86_400
CURRENT_INSTANCES: Final = 7
INSTANCE_SIZES: Final = (44, 110, 330, 660)
RECORD_SIZES: Final = (1000, 4000, 12_000, 23_000)
ENGINE_SIZES: Final = (10, 64, 250, 1000)
KEY_SIZES: Final = (10_000, 20_000, 40_000, 80_000)
SETTLE_SECONDS: Final = 10
MEASURE_SECONDS: Final = 20
OUTAGE_SECONDS: Final = 60
HERD_WINDOW_SECONDS: Final = 10
_KILO: Final = 1000
_MICRO: Final = 1_000_000


class Point(NamedTuple):
    """A measured value at a size."""

    size: float
    value: float


class Slope(NamedTuple):
    """A linear fit of one quantity over the size."""

    # Name of the quantity, with its unit.
    name: str

    # The measured points.
    points: list[Point]

    # Size to extrapolate to.
    target: float

    @property
    def extrapolated(self) -> float:
        """Return the extrapolated value at the target size."""
        line = self._fit_line()
        return float(line.slope * self.target + line.intercept)

    @property
    def residual(self) -> float:
        """Return the largest absolute residual of the fit."""
        line = self._fit_line()
        distances = [
            abs(line.slope * point.size + line.intercept - point.value)
            for point in self.points
        ]
        return float(max(distances))

    def _fit_line(self) -> Any:
        sizes = [point.size for point in self.points]
        values = [point.value for point in self.points]
        return linear_regression(sizes, values)


class StewardCost(NamedTuple):
    """The cost of the stewards of a site, per second and instance."""

    # Number of instances of the site.
    instances: int

    # Messages sent by an instance (mean), and bytes (mean and maximum).
    messages: float
    bytes_mean: float
    bytes_worst: float

    # Store calls of the whole site per second.
    store_calls: float

    # Processor time of an instance, as a fraction of a core.
    processor: float

    # Memory of each steward, in megabytes.
    memory: float

    # Most store calls of the site in one second after a store outage.
    herd_calls: float


def measure_stewards(instances: int) -> StewardCost:
    """Run the stewards of a site with a note change every two seconds."""
    domains = min(DOMAINS, max(instances // 2, 3))
    meter = AllocationMeter()
    network = SimulatedNetwork(
        make_instance_settings(instances, domains), with_entries=False
    )
    network.run(SETTLE_SECONDS / 2)
    network.publish(make_command(NoteAction.PUBLISH))
    network.run(SETTLE_SECONDS / 2)
    memory = meter.stop() / instances
    network.count_bytes = True
    network.messages_sent.clear()
    network.store_calls.clear()
    started = time.process_time()
    for number in range(MEASURE_SECONDS // 2):
        command = make_command(NoteAction.AMEND, version=str(number + 2))
        network.publish(command)
        network.run(2)
    processor_seconds = time.process_time() - started
    seconds = float(MEASURE_SECONDS)
    sent = [network.bytes_sent[name] / seconds for name in network.instances]
    return StewardCost(
        instances=instances,
        messages=network.messages_sent.total() / seconds / instances,
        bytes_mean=sum(sent) / instances,
        bytes_worst=max(sent),
        store_calls=network.store_calls.total() / seconds,
        processor=processor_seconds / seconds / instances,
        memory=memory,
        herd_calls=measure_thundering_herd(network),
    )


def measure_thundering_herd(network: SimulatedNetwork) -> float:
    """Return the most store calls in one second after an outage."""
    network.store.switch_faults({'outage': True})
    network.run(OUTAGE_SECONDS)
    network.store.switch_faults({'outage': False})
    peak_calls = 0
    for _ in range(HERD_WINDOW_SECONDS):
        network.store_calls.clear()
        network.run(1)
        peak_calls = max(peak_calls, network.store_calls.total())
    return float(peak_calls)


class AllocationMeter:
    """Measures the memory that Python allocates from its creation on."""

    def __init__(self) -> None:
        gc.collect()
        tracemalloc.start()
        self.allocated_before = tracemalloc.get_traced_memory()[0]

    def stop(self) -> float:
        """Stop and return the memory still allocated, in megabytes."""
        gc.collect()
        retained = tracemalloc.get_traced_memory()[0] - self.allocated_before
        tracemalloc.stop()
        return retained / _MICRO


def make_records(count: int) -> dict[str, dict[str, Any]]:
    """Make records of the form that customers have."""
    return {
        f'callers.customer-{number:05}': {
            'token_sha256': [f'{number:064x}'],
            'kinds': ['teaser', 'tags'],
        }
        for number in range(count)
    }


def time_call(call: Callable[[], object], repeats: int) -> float:
    """Return the processor time of a call, in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started) / repeats * _MICRO


def measure_digest() -> list[Slope]:
    """Time digests and typed views, recomputed and updated."""
    recomputed: list[Point] = []
    incremental: list[Point] = []
    rebuilt_view: list[Point] = []
    amended_view: list[Point] = []
    for count in RECORD_SIZES:
        records = make_records(count)
        digest = RecordDigest()
        digest.update(records.items())
        change = [('callers.customer-00000', {'token_sha256': ['x']})]
        recomputed.append(
            Point(count, time_call(partial(digest_records, records), 3))
        )
        incremental.append(
            Point(
                count, time_call(partial(_update_digest, digest, change), 200)
            )
        )
        rebuilt_view.append(
            Point(count, time_call(partial(build_view, 1, records), 3))
        )
        built = build_view(1, records)
        key = 'callers.customer-00000'
        changes = [RecordChange(key, records[key], records[key])]
        amended_view.append(
            Point(
                count,
                time_call(partial(update_view, built, 2, changes), 200),
            )
        )
    target = CUSTOMERS + ENGINES
    return [
        Slope('digest recomputed whole, us a change', recomputed, target),
        Slope('digest by buckets, us a change', incremental, target),
        Slope('typed view built anew, us a change', rebuilt_view, target),
        Slope('typed view amended, us a change', amended_view, target),
    ]


def measure_snapshot() -> list[Slope]:
    """Measure the size of a snapshot and the memory of folded notes."""
    sizes: list[Point] = []
    memory: list[Point] = []
    for count in RECORD_SIZES:
        meter = AllocationMeter()
        folded = FoldedNotes()
        content = NoteContent('all', '', make_records(count), ())
        folded.replace_note('all', content, 1)
        memory.append(Point(count, meter.stop()))
        encoded = encode_snapshot(take_snapshot(folded))
        sizes.append(Point(count, len(encoded) / _KILO))
    target = CUSTOMERS + ENGINES
    return [
        Slope('snapshot of notes, KB', sizes, target),
        Slope('folded notes in memory, MB', memory, target),
    ]


def measure_decisions() -> list[Slope]:
    """Time an admission together with a choice of an engine."""
    points: list[Point] = []
    for count in ENGINE_SIZES:
        limiter = RankLimiter()
        limiter.configure(RANKS, _MICRO)
        chooser = EngineChooser(EngineRates(), random.Random(1))
        engines = [
            EngineView(f'engine-{number}', 'mixed', 10, 2000, 0)
            for number in range(count)
        ]
        benchmark = EntryBenchmark(limiter, chooser, engines)
        points.append(Point(count, time_call(benchmark.decide_once, 3000)))
    return [Slope('admit and choose, us', points, 1000)]


class EntryBenchmark:
    """The admission and routing of one entry, without I/O."""

    def __init__(
        self,
        limiter: RankLimiter,
        chooser: EngineChooser,
        engines: list[EngineView],
    ) -> None:
        self.limiter = limiter
        self.chooser = chooser
        self.engines = engines
        self.number = 0

    def decide_once(self) -> None:
        """Admit one request and choose its engine."""
        self.number += 1
        now = self.number / _KILO
        caller = f'caller-{self.number % 50}'
        request = QueuedRequest(self.number, 'urgent', caller, 1, 1, now + 1)
        self.limiter.offer(request)
        for grant in self.limiter.decide(now).granted:
            self.limiter.release(grant.request.rank, 1)
        choice = self.chooser.choose(self.engines, 'prefix', 600, now, 1)
        if choice is not None:
            sent = SentWork(now, 600, 1)
            self.chooser.record_sent(choice.engine, sent)


def measure_ledger_memory() -> list[Slope]:
    """Measure the memory of booked idempotency keys."""
    points: list[Point] = []
    for count in KEY_SIZES:
        meter = AllocationMeter()
        bookings = {
            f'{number:064x}': Reservation(
                f'{number:064x}',
                f'{number:032x}',
                Outcome(200, 'text/plain', bytes(100)),
            )
            for number in range(count)
        }
        points.append(Point(count, meter.stop()))
        bookings.clear()
    daily_keys = REQUESTS_PER_SECOND * DAY_SECONDS // 100 // NODES
    name = 'ledger keys of one node, MB (1% of calls, a day)'
    return [Slope(name, points, daily_keys)]


def measure_account() -> list[Slope]:
    """Measure the size of an account segment by the number of entries."""
    points: list[Point] = []
    for entries in INSTANCE_SIZES:
        ranges = tuple(
            AccountRange(
                f'instance-{number}.{number:08x}',
                number * 100,
                number * 100 + 90,
                41,
                1.0e9,
                1.0e9,
            )
            for number in range(entries)
        )
        segment = AccountSegment('w', 1.0e9, '0' * 64, ranges)
        size = len(msgspec.json.encode(segment)) / _KILO
        points.append(Point(entries, size))
    return [Slope('account segment, KB', points, NODES / DOMAINS)]


def measure_capacity() -> str:
    """Measure all slopes; return their points, fits and extrapolations."""
    today = measure_stewards(CURRENT_INSTANCES)
    costs = [measure_stewards(size) for size in INSTANCE_SIZES]
    fields = {
        'messages': 'steward messages sent, a second each',
        'bytes_mean': 'steward bytes sent, mean, a second each',
        'bytes_worst': 'steward bytes sent, worst, a second',
        'store_calls': 'store calls of the site, a second',
        'processor': 'steward processor time, part of a core each',
        'memory': 'steward memory, MB each',
        'herd_calls': 'store calls in the worst second after an outage',
    }
    slopes = [
        Slope(
            name,
            [Point(cost.instances, getattr(cost, field)) for cost in costs],
            NODES,
        )
        for field, name in fields.items()
    ]
    slopes.extend(measure_digest())
    slopes.extend(measure_snapshot())
    slopes.extend(measure_decisions())
    slopes.extend(measure_ledger_memory())
    slopes.extend(measure_account())
    head = [f'today: {today}', f'{DOMAINS} failure domains below']
    return '\n'.join(head + [_format_slope(slope) for slope in slopes])


def _format_slope(slope: Slope) -> str:
    points = '  '.join(
        f'{point.size:.0f}: {point.value:.4g}' for point in slope.points
    )
    return (
        f'{slope.name}\n  points {points}\n  at {slope.target:.0f}: '
        f'{slope.extrapolated:.4g} (largest residual {slope.residual:.3g})'
    )


def _update_digest(
    digest: RecordDigest, change: list[tuple[str, dict[str, Any]]]
) -> str:
    digest.update(change)
    return digest.hexdigest()
