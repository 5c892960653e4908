"""Ranks: floors that hold in any flood, idle shares lent, fair callers.

Capacity is counted in slots, which a request holds to its end.  A rank that
uses less than its guaranteed slots is granted more even over the capacity,
because engines honour priority and pause work that was granted on borrowed
slots.  What is left goes to the most urgent rank
first, on borrowed slots.  Callers of one rank are served by weighted fair
queueing.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import Final, NamedTuple

from cranberryrelay.notes import RankRule

BORROWED_PRIORITY: Final = 3
PACE_SECONDS: Final = 0.4


class QueuedRequest(NamedTuple):
    """A request that waits for a slot."""

    # Chosen by the asker, to know the answer again.
    ask: int

    # Name of the rank.
    rank: str

    # Name of the caller.
    caller: str

    # Weight of the caller against others in the rank.
    weight: int

    # Slots that the request takes.
    slots: float

    # Latest useful start, in seconds on the own clock.
    start_by: float


class Grant(NamedTuple):
    """A request that may start."""

    # The request.
    request: QueuedRequest

    # Priority for the engine; lower is more urgent.
    priority: int


class Decisions(NamedTuple):
    """What becomes of queued requests."""

    # Requests that may start.
    granted: list[Grant]

    # Requests that can not meet their target any more.
    expired: list[QueuedRequest]


class Placement(StrEnum):
    """Whether a granted request found a place."""

    # It was placed and starts.
    STARTED = 'started'

    # No engine should take it now; it keeps waiting.
    WAITS = 'waits'

    # It can not meet its target any more.
    TOO_LATE = 'too_late'


Place = Callable[[QueuedRequest, int], Placement]


def place_anywhere(request: QueuedRequest, priority: int) -> Placement:
    """Let every granted request start."""
    return Placement.STARTED


class FairQueue:
    """Requests of one rank, by weighted fair queueing over callers."""

    def __init__(self) -> None:
        self.waiting: dict[str, deque[QueuedRequest]] = {}
        self.finish_by_caller: dict[str, float] = {}
        self.virtual_time = float(0)
        self.length = 0

    def push(self, request: QueuedRequest) -> None:
        """Queue a request behind the others of its caller."""
        if request.caller not in self.waiting:
            self.waiting[request.caller] = deque()
            self.finish_by_caller[request.caller] = max(
                self.finish_by_caller.get(request.caller, 0),
                self.virtual_time,
            )
        self.waiting[request.caller].append(request)
        self.length += 1

    def peek(self) -> QueuedRequest:
        """Return the next request of the caller that had the least."""
        return self.waiting[min(self.waiting, key=self._finish_of)][0]

    def pop(self) -> QueuedRequest:
        """Take the next request of the caller that had the least."""
        caller = min(self.waiting, key=self._finish_of)
        queue = self.waiting[caller]
        request = queue.popleft()
        self.virtual_time = self.finish_by_caller[caller]
        self.finish_by_caller[caller] += request.slots / request.weight
        if not queue:
            self.waiting.pop(caller)
        self.length -= 1
        self._forget_idle()
        return request

    def _finish_of(self, caller: str) -> float:
        return self.finish_by_caller[caller]

    def _forget_idle(self) -> None:
        if self.length:
            return
        self.finish_by_caller.clear()
        self.virtual_time = 0


class RankLimiter:
    """Decides which queued requests may start; one task owns it."""

    def __init__(self) -> None:
        self.rules: Mapping[str, RankRule] = {}
        self.order: list[str] = []
        self.capacity = float(0)
        self.guaranteed: dict[str, float] = {}
        self.used: dict[str, float] = {}
        self.queues: dict[str, FairQueue] = {}

    def configure(
        self,
        rules: Iterable[RankRule],
        capacity: float,
        guaranteed: Mapping[str, float] | None = None,
    ) -> None:
        """Take the ranks in force and the capacity in slots.

        ``guaranteed`` gives slots by rank; a rank that it does not name
        has its floor of the capacity.
        """
        self.rules = {rule.name: rule for rule in rules}
        self.order = sorted(self.rules, key=lambda name: self.rules[name].level)
        self.capacity = capacity
        self.guaranteed = {
            rule.name: rule.floor * capacity for rule in self.rules.values()
        }
        self.guaranteed.update(guaranteed or {})

    def offer(self, request: QueuedRequest) -> bool:
        """Queue a request; False when the rank's queue is full."""
        queue = self.queues.setdefault(request.rank, FairQueue())
        rule = self.rules.get(request.rank)
        if rule is None or queue.length >= rule.queue:
            return False
        queue.push(request)
        return True

    def release(self, rank: str, slots: float) -> None:
        """Give back the slots of a request that ended."""
        self.used[rank] = max(self.used.get(rank, 0) - slots, 0)

    def decide(self, now: float, place: Place = place_anywhere) -> Decisions:
        """Grant what may start now and drop what comes too late.

        ``place`` is asked with each request and its priority before the
        request leaves the queue.
        """
        decisions = Decisions([], [])
        for rank in self.order:
            self._grant_floor(rank, now, decisions, place)
        for lent in self.order:
            self._grant_borrowed(lent, now, decisions, place)
        return decisions

    def _grant_floor(
        self, rank: str, now: float, decisions: Decisions, place: Place
    ) -> None:
        rule = self.rules[rank]
        while self.used.get(rank, 0) < self.guaranteed[rank]:
            if not self._start(rank, now, rule.level, decisions, place):
                return

    def _grant_borrowed(
        self, rank: str, now: float, decisions: Decisions, place: Place
    ) -> None:
        rule = self.rules[rank]
        ceiling = rule.ceiling * self.capacity
        priority = rule.level + BORROWED_PRIORITY
        while self._total() < self.capacity:
            if self.used.get(rank, 0) >= ceiling:
                return
            if not self._start(rank, now, priority, decisions, place):
                return

    def _start(
        self,
        rank: str,
        now: float,
        priority: int,
        decisions: Decisions,
        place: Place,
    ) -> bool:
        queue = self.queues.get(rank)
        while queue is not None and queue.length:
            request = queue.peek()
            placed = Placement.TOO_LATE
            if request.start_by >= now:
                placed = place(request, priority)
            if placed is Placement.WAITS:
                return False
            queue.pop()
            if placed is Placement.STARTED:
                self.used[rank] = self.used.get(rank, 0) + request.slots
                decisions.granted.append(Grant(request, priority))
                return True
            decisions.expired.append(request)
        return False

    def _total(self) -> float:
        return sum(self.used.values())
