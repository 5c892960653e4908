"""Slopes of what each role costs, and what they come to at the users' size.

The real decision modules and codecs run.  Messages, bytes and store calls
are counted in virtual time, processor time with the process clock and
memory with psutil, all in one process.
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
    Booking,
    Outcome,
)
from cranberryrelay.measure._policies import RANKS
from cranberryrelay.notes import (
    FoldedNotes,
    NoteAction,
    NoteContent,
    RecordChange,
    RecordDigest,
    amend_view,
    digest_records,
    encode_snapshot,
    take_snapshot,
    view_records,
)
from cranberryrelay.policy import (
    EngineChooser,
    EngineRates,
    EngineView,
    QueuedRequest,
    RankLimiter,
    Sent,
)
from cranberryrelay.testkit import LocalNetwork, make_command, make_sites

NODES: Final = 3600
ENGINES: Final = 10_000
DOMAINS: Final = 11
CUSTOMERS: Final = 13_000
REQUESTS_PER_SECOND: Final = 30_000
DAY_SECONDS: Final = 86_400
TODAY_INSTANCES: Final = 7
INSTANCE_SIZES: Final = (44, 110, 330, 660)
RECORD_SIZES: Final = (1000, 4000, 12_000, 23_000)
ENGINE_SIZES: Final = (10, 64, 250, 1000)
KEY_SIZES: Final = (10_000, 20_000, 40_000, 80_000)
SETTLE_SECONDS: Final = 10
MEASURE_SECONDS: Final = 20
OUTAGE_SECONDS: Final = 60
HERD_SECONDS: Final = 10
_KILO: Final = 1000
_MICRO: Final = 1_000_000


class Point(NamedTuple):
    """A measured value at a size."""

    size: float
    value: float


class Slope(NamedTuple):
    """A line through the points of one quantity."""

    # What was measured, with its unit.
    name: str

    # The points.
    points: list[Point]

    # Size to project to.
    target: float

    @property
    def projected(self) -> float:
        """Return the line's value at the target size."""
        line = self._line()
        return float(line.slope * self.target + line.intercept)

    @property
    def residual(self) -> float:
        """Return the largest distance of a point from the line."""
        line = self._line()
        distances = [
            abs(line.slope * point.size + line.intercept - point.value)
            for point in self.points
        ]
        return float(max(distances))

    def _line(self) -> Any:
        sizes = [point.size for point in self.points]
        heights = [point.value for point in self.points]
        return linear_regression(sizes, heights)


class StewardCost(NamedTuple):
    """What the stewards of a site cost, for each instance and second."""

    # Instances of the site.
    instances: int

    # Mean and worst messages and bytes sent.
    messages: float
    bytes_mean: float
    bytes_worst: float

    # Store calls of the whole site.
    store_calls: float

    # Processor time, part of a core.
    processor: float

    # Memory of each steward, in megabytes.
    memory: float

    # Most store calls of the site in a second after a store outage.
    herd_calls: float


def measure_stewards(instances: int) -> StewardCost:
    """Run a site's stewards with a change every two seconds."""
    domains = min(DOMAINS, max(instances // 2, 3))
    watch = MemoryWatch()
    network = LocalNetwork(make_sites(instances, domains), with_entries=False)
    network.run(SETTLE_SECONDS / 2)
    network.publish(make_command(NoteAction.PUBLISH))
    network.run(SETTLE_SECONDS / 2)
    memory = watch.stop() / instances
    network.count_bytes = True
    network.messages_sent.clear()
    network.store_calls.clear()
    started = time.process_time()
    for number in range(MEASURE_SECONDS // 2):
        command = make_command(NoteAction.AMEND, version=str(number + 2))
        network.publish(command)
        network.run(2)
    spent = time.process_time() - started
    seconds = float(MEASURE_SECONDS)
    sent = [network.bytes_sent[name] / seconds for name in network.instances]
    return StewardCost(
        instances=instances,
        messages=network.messages_sent.total() / seconds / instances,
        bytes_mean=sum(sent) / instances,
        bytes_worst=max(sent),
        store_calls=network.store_calls.total() / seconds,
        processor=spent / seconds / instances,
        memory=memory,
        herd_calls=measure_herd(network),
    )


def measure_herd(network: LocalNetwork) -> float:
    """Return the most store calls in a second after an outage."""
    network.store.switch_faults({'outage': True})
    network.run(OUTAGE_SECONDS)
    network.store.switch_faults({'outage': False})
    most = 0
    for _ in range(HERD_SECONDS):
        network.store_calls.clear()
        network.run(1)
        most = max(most, network.store_calls.total())
    return float(most)


class MemoryWatch:
    """Counts the memory that Python allocates while it watches."""

    def __init__(self) -> None:
        gc.collect()
        tracemalloc.start()
        self.before = tracemalloc.get_traced_memory()[0]

    def stop(self) -> float:
        """Stop and return the megabytes that are still held."""
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] - self.before
        tracemalloc.stop()
        return held / _MICRO


def make_records(count: int) -> dict[str, dict[str, Any]]:
    """Make records like those of callers."""
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
    """Time the digest recomputed whole and kept up to date."""
    whole: list[Point] = []
    kept: list[Point] = []
    view: list[Point] = []
    amended: list[Point] = []
    for count in RECORD_SIZES:
        records = make_records(count)
        digest = RecordDigest()
        digest.update(records.items())
        change = [('callers.customer-00000', {'token_sha256': ['x']})]
        whole.append(
            Point(count, time_call(partial(digest_records, records), 3))
        )
        kept.append(
            Point(count, time_call(partial(_update, digest, change), 200))
        )
        view.append(
            Point(count, time_call(partial(view_records, 1, records), 3))
        )
        built = view_records(1, records)
        key = 'callers.customer-00000'
        changes = [RecordChange(key, records[key], records[key])]
        amended.append(
            Point(
                count,
                time_call(partial(amend_view, built, 2, changes), 200),
            )
        )
    target = CUSTOMERS + ENGINES
    return [
        Slope('digest recomputed whole, us a change', whole, target),
        Slope('digest by buckets, us a change', kept, target),
        Slope('typed view built anew, us a change', view, target),
        Slope('typed view amended, us a change', amended, target),
    ]


def measure_snapshot() -> list[Slope]:
    """Measure a snapshot's bytes and the memory of folded notes."""
    sizes: list[Point] = []
    memory: list[Point] = []
    for count in RECORD_SIZES:
        watch = MemoryWatch()
        folded = FoldedNotes()
        content = NoteContent('all', '', make_records(count), ())
        folded.replace_note('all', content, 1)
        memory.append(Point(count, watch.stop()))
        encoded = encode_snapshot(take_snapshot(folded))
        sizes.append(Point(count, len(encoded) / _KILO))
    target = CUSTOMERS + ENGINES
    return [
        Slope('snapshot of notes, KB', sizes, target),
        Slope('folded notes in memory, MB', memory, target),
    ]


def measure_decisions() -> list[Slope]:
    """Time one admission and one choice of an engine."""
    points: list[Point] = []
    for count in ENGINE_SIZES:
        limiter = RankLimiter()
        limiter.configure(RANKS, _MICRO)
        chooser = EngineChooser(EngineRates(), random.Random(1))
        engines = [
            EngineView(f'engine-{number}', 'mixed', 10, 2000, 0)
            for number in range(count)
        ]
        deciding = Deciding(limiter, chooser, engines)
        points.append(Point(count, time_call(deciding.decide_once, 3000)))
    return [Slope('admit and choose, us', points, 1000)]


class Deciding:
    """One entry that admits a request and chooses its engine."""

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
            sent = Sent(now, 600, 1)
            self.chooser.record_sent(choice.engine, sent)


def measure_ledger_memory() -> list[Slope]:
    """Measure the memory of booked keys."""
    points: list[Point] = []
    for count in KEY_SIZES:
        watch = MemoryWatch()
        kept = {
            f'{number:064x}': Booking(
                f'{number:064x}',
                f'{number:032x}',
                Outcome(200, 'text/plain', bytes(100)),
            )
            for number in range(count)
        }
        points.append(Point(count, watch.stop()))
        kept.clear()
    daily = REQUESTS_PER_SECOND * DAY_SECONDS // 100 // NODES
    name = 'ledger keys of one node, MB (1% of calls, a day)'
    return [Slope(name, points, daily)]


def measure_account() -> list[Slope]:
    """Measure a segment's bytes for the entries of a domain."""
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
    """Measure all slopes; returns points, fits and projections."""
    today = measure_stewards(TODAY_INSTANCES)
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
        f'{slope.projected:.4g} (largest residual {slope.residual:.3g})'
    )


def _update(
    digest: RecordDigest, change: list[tuple[str, dict[str, Any]]]
) -> str:
    digest.update(change)
    return digest.value()
