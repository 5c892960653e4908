"""Admission control by rank, with guaranteed and borrowed slots.

Capacity is counted in slots; a request holds its slots until it ends.  Each
rank has guaranteed slots that no overload of other ranks can take.  A rank
that uses less than its guarantee is granted more even beyond the capacity,
because engines honour priorities and pause work that was granted on borrowed
slots.  Slots that remain are lent, the most urgent rank first.  The callers of
a rank are served by weighted fair queueing.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import Final, NamedTuple

from cranberryrelay.notes import RankRule

BORROWED_PRIORITY_OFFSET: Final = 3

# A request stays queued while the prefill backlog of every engine, in seconds
# of prefill work, exceeds this limit.
PREFILL_BACKLOG_LIMIT_SECONDS: Final = 0.4


class QueuedRequest(NamedTuple):
    """A request that waits for a slot."""

    # Chosen by the component that queues the request, to match the decision.
    correlation_id: int

    # Name of the rank.
    rank: str

    # Name of the caller.
    caller: str

    # Weight of the caller in the fair queueing within its rank.
    weight: int

    # Slots that the request occupies while it runs.
    slots: float

    # Latest start that meets the target, in seconds on the local clock.
    start_by: float


class Grant(NamedTuple):
    """Permission for a queued request to start."""

    # The request.
    request: QueuedRequest

    # Priority to send to the engine; lower is more urgent.
    priority: int


class Decisions(NamedTuple):
    """The queued requests that leave their queues."""

    # Requests that may start, in the order of the decisions.
    granted: list[Grant]

    # Requests that can no longer meet their target.
    expired: list[QueuedRequest]


class Placement(StrEnum):
    """The outcome of placing a request on an engine."""

    # The request was placed and starts.
    STARTED = 'started'

    # No engine should take the request now; it stays queued.
    WAITS = 'waits'

    # The request can no longer meet its target.
    TOO_LATE = 'too_late'


PlaceCallback = Callable[[QueuedRequest, int], Placement]


def start_always(request: QueuedRequest, priority: int) -> Placement:
    """Start every request; the default placement."""
    return Placement.STARTED


class FairQueue:
    """The queue of a rank, with weighted fair queueing over its callers."""

    def __init__(self) -> None:
        self.requests_by_caller: dict[str, deque[QueuedRequest]] = {}
        self.virtual_finish_by_caller: dict[str, float] = {}
        self.virtual_time = float(0)
        self.length = 0

    def push(self, request: QueuedRequest) -> None:
        """Append a request to the queue of its caller."""
        if request.caller not in self.requests_by_caller:
            self.requests_by_caller[request.caller] = deque()
            self.virtual_finish_by_caller[request.caller] = max(
                self.virtual_finish_by_caller.get(request.caller, 0),
                self.virtual_time,
            )
        self.requests_by_caller[request.caller].append(request)
        self.length += 1

    def peek(self) -> QueuedRequest:
        """Return the next request of the caller with the least service."""
        return self.requests_by_caller[
            min(self.requests_by_caller, key=self._virtual_finish)
        ][0]

    def pop(self) -> QueuedRequest:
        """Remove and return the request that ``peek`` returns."""
        caller = min(self.requests_by_caller, key=self._virtual_finish)
        queue = self.requests_by_caller[caller]
        request = queue.popleft()
        self.virtual_time = self.virtual_finish_by_caller[caller]
        self.virtual_finish_by_caller[caller] += request.slots / request.weight
        if not queue:
            self.requests_by_caller.pop(caller)
        self.length -= 1
        self._reset_if_empty()
        return request

    def _virtual_finish(self, caller: str) -> float:
        return self.virtual_finish_by_caller[caller]

    def _reset_if_empty(self) -> None:
        if self.length:
            return
        self.virtual_finish_by_caller.clear()
        self.virtual_time = 0


class RankLimiter:
    """Decides which queued requests may start.

    Not safe for concurrent use: a single task owns each limiter.
    """

    def __init__(self) -> None:
        self.rules: Mapping[str, RankRule] = {}
        self.ranks_by_urgency: list[str] = []
        self.capacity = float(0)
        self.guaranteed_slots: dict[str, float] = {}
        self.used_slots: dict[str, float] = {}
        self.queues: dict[str, FairQueue] = {}

    def configure(
        self,
        rules: Iterable[RankRule],
        capacity: float,
        guaranteed: Mapping[str, float] | None = None,
    ) -> None:
        """Set the rules of the ranks and the capacity in slots.

        ``guaranteed`` gives the guaranteed slots by rank; a rank that it does
        not name is guaranteed its floor times the capacity.
        """
        self.rules = {rule.name: rule for rule in rules}
        self.ranks_by_urgency = sorted(
            self.rules, key=lambda name: self.rules[name].level
        )
        self.capacity = capacity
        self.guaranteed_slots = {
            rule.name: rule.floor * capacity for rule in self.rules.values()
        }
        self.guaranteed_slots.update(guaranteed or {})

    def offer(self, request: QueuedRequest) -> bool:
        """Queue a request; return whether it was accepted.

        A request is refused if the queue of its rank is full or no rule
        defines its rank.
        """
        queue = self.queues.setdefault(request.rank, FairQueue())
        rule = self.rules.get(request.rank)
        if rule is None or queue.length >= rule.queue:
            return False
        queue.push(request)
        return True

    def release(self, rank: str, slots: float) -> None:
        """Release the slots of a request that ended."""
        self.used_slots[rank] = max(self.used_slots.get(rank, 0) - slots, 0)

    def decide(
        self, now: float, place: PlaceCallback = start_always
    ) -> Decisions:
        """Grant requests that may start now and drop those that are too late.

        ``place`` is called with each request and its priority before the
        request leaves the queue.
        """
        decisions = Decisions([], [])
        for rank in self.ranks_by_urgency:
            self._grant_guaranteed(rank, now, decisions, place)
        for rank in self.ranks_by_urgency:
            self._grant_borrowed(rank, now, decisions, place)
        return decisions

    def _grant_guaranteed(
        self, rank: str, now: float, decisions: Decisions, place: PlaceCallback
    ) -> None:
        rule = self.rules[rank]
        while self.used_slots.get(rank, 0) < self.guaranteed_slots[rank]:
            if not self._start_next(rank, now, rule.level, decisions, place):
                return

    def _grant_borrowed(
        self, rank: str, now: float, decisions: Decisions, place: PlaceCallback
    ) -> None:
        rule = self.rules[rank]
        ceiling = rule.ceiling * self.capacity
        priority = rule.level + BORROWED_PRIORITY_OFFSET
        while self._total_used_slots() < self.capacity:
            if self.used_slots.get(rank, 0) >= ceiling:
                return
            if not self._start_next(rank, now, priority, decisions, place):
                return

    def _start_next(
        self,
        rank: str,
        now: float,
        priority: int,
        decisions: Decisions,
        place: PlaceCallback,
    ) -> bool:
        """Start the next request of a rank; return whether one started.

        Requests that are too late are removed on the way.
        """
        queue = self.queues.get(rank)
        while queue is not None and queue.length:
            request = queue.peek()
            placement = Placement.TOO_LATE
            if request.start_by >= now:
                placement = place(request, priority)
            if placement is Placement.WAITS:
                return False
            queue.pop()
            if placement is Placement.STARTED:
                self.used_slots[rank] = (
                    self.used_slots.get(rank, 0) + request.slots
                )
                decisions.granted.append(Grant(request, priority))
                return True
            decisions.expired.append(request)
        return False

    def _total_used_slots(self) -> float:
        return sum(self.used_slots.values())
