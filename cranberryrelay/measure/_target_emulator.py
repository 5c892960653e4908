"""Emulates the target's engines, and instances that each see part of them.

The choice of engines, the loads, the cached parts and the beats between
instances are the relay's own code; engines, network and callers are modelled.
Virtual time, fixed seeds.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from cranberryrelay.measure._target_load import EmulatedRequest, SiteSettings
from cranberryrelay.relay import Role, Upstream
from cranberryrelay.relay._backlog import Backlog, Sent
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._group_hub import GroupHub
from cranberryrelay.relay._placement import (
    Candidate,
    Surroundings,
    choose_decode,
    predict_read_seconds,
)
from cranberryrelay.relay._prefix_index import PrefixIndex
from cranberryrelay.relay._role_planner import plan_decode_count
from cranberryrelay.relay._roster import PAIRS_LIMIT

DOMAINS: Final = ('a', 'b', 'c', 'd')
SERVICE: Final = 's'
KV_TOKENS: Final = 417_000

# A message between instances, and a call of an engine, one way, in seconds.
HOP_SECONDS: Final = 0.001
CALL_SECONDS: Final = 0.004

# Moving a prompt's memory, and making an event, in seconds.
MOVE_SECONDS: Final = 0.0027
MOVE_TOKEN_SECONDS: Final = 1.6e-6
EVENT_SECONDS: Final = 0.042


class Policy(NamedTuple):
    """What is compared."""

    # Name of the row.
    name: str

    # Time between beats, in seconds; 0 if all share one view.
    beat_seconds: float

    # Chooses the engine that reads; takes what the relay's choice takes.
    choose: Callable[..., Candidate | None]


class Served(NamedTuple):
    """What came of a request."""

    # The request.
    request: EmulatedRequest

    # Time to its first event, in seconds.
    first_seconds: float

    # Tokens of shared parts that were read though an engine kept them.
    read_again: int


class _Event(NamedTuple):
    when: float
    order: int
    action: Any
    arguments: tuple[Any, ...]


class EmulatedReader:
    """An engine that reads prompts in the order of arrival."""

    def __init__(self) -> None:
        self.free_at: float = 0
        self.cached = PrefixIndex()

    def read(self, request: EmulatedRequest, now: float) -> float:
        """Return when the prompt will be read."""
        work = request.work
        shared = work.shared_parts()
        cached = self.cached.cached_tokens('', shared)
        cached = min(cached, work.prompt_tokens - 1)
        seconds = predict_read_seconds(work.prompt_tokens, cached)
        self.cached.note('', shared, KV_TOKENS)
        self.free_at = max(self.free_at, now) + seconds
        return self.free_at


class EmulatedInstance:
    """What one instance knows."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        self.name = f'i-{number:04d}'
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.fleet = fleet
        self.backlog = Backlog()
        self.index = PrefixIndex()

    def surroundings(self) -> Surroundings:
        """Return what the choice of an engine is made from."""
        return Surroundings(
            self.fleet, self.backlog, self.index, self.domain, 1000
        )


class TargetEmulator:
    """One run; events are (time, order, action, arguments)."""

    def __init__(self, site: SiteSettings, policy: Policy) -> None:
        self.policy = policy
        self.events: list[_Event] = []
        self.order = itertools.count()
        self.now: float = 0
        self.served: list[Served] = []
        self.seen: set[str] = set()
        self.fleet = Fleet()
        self.readers: dict[str, EmulatedReader] = {}
        self.slots: dict[str, list[float]] = {}
        self.add_engines(site)
        self.instances = [
            EmulatedInstance(number, self.fleet)
            for number in range(site.instances)
        ]
        if not policy.beat_seconds:
            for one in self.instances[1:]:
                one.backlog = self.instances[0].backlog
                one.index = self.instances[0].index

    def add_engines(self, site: SiteSettings) -> None:
        """Add engines in the roles that the planner wants."""
        decoding = plan_decode_count(site.engines, site.slots)
        for number in range(site.engines):
            name = f'e-{number:03d}'
            role = Role.DECODE if number < decoding else Role.PREFILL
            domain = DOMAINS[number % len(DOMAINS)]
            address = f'{name}:1'
            self.fleet.put(
                Upstream(
                    name, 1, SERVICE, address, domain, site.slots, False, role
                )
            )
            if role is Role.PREFILL:
                self.readers[name] = EmulatedReader()
            else:
                self.slots[name] = list(itertools.repeat(0, site.slots))

    def at(self, when: float, action: Any, *arguments: Any) -> None:
        """Do something at a time."""
        event = _Event(when, next(self.order), action, arguments)
        heapq.heappush(self.events, event)

    def run(self, requests: list[EmulatedRequest]) -> list[Served]:
        """Serve all requests and return what came of them."""
        for request in requests:
            self.at(request.arrives_at, self.arrive, request)
        if self.policy.beat_seconds:
            last = requests[-1].arrives_at if requests else 0
            beats = int(last / self.policy.beat_seconds)
            for number in range(beats):
                self.at(number * self.policy.beat_seconds, self.beat)
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event.when
            event.action(*event.arguments)
        return self.served

    def arrive(self, request: EmulatedRequest) -> None:
        """Choose the engine that reads the prompt and send it."""
        instance = self.instances[request.instance]
        chosen = self.policy.choose(
            instance.surroundings(),
            SERVICE,
            request.work,
            frozenset(),
            self.now,
        )
        assert chosen is not None
        name = chosen.engine.name
        shared = request.work.shared_parts()
        again = self.count_again(request, name)
        sent = Sent(chosen.read_seconds, self.now)
        instance.backlog.add(name, sent)
        self.note_parts(instance, name, shared)
        read_at = self.readers[name].read(request, self.now + CALL_SECONDS)
        arguments = (request, instance, name, sent, again)
        self.at(read_at + CALL_SECONDS, self.generate, *arguments)

    def count_again(self, request: EmulatedRequest, name: str) -> int:
        """Count the tokens that are read though some engine keeps them."""
        shared = request.work.shared_parts()
        kept = self.readers[name].cached.cached_tokens('', shared)
        known = sum(part.tokens for part in shared if part.digest in self.seen)
        self.seen.update(part.digest for part in shared)
        return max(known - kept, 0)

    def note_parts(
        self, instance: EmulatedInstance, name: str, shared: Any
    ) -> None:
        """Have all instances know of the parts, the others a beat later."""
        instance.index.note(name, shared, KV_TOKENS)
        if self.policy.beat_seconds:
            delay = self.policy.beat_seconds * self.hops()
            for other in self.instances:
                if other is not instance:
                    self.at(
                        self.now + delay,
                        other.index.note,
                        name,
                        shared,
                        KV_TOKENS,
                    )

    def generate(
        self,
        request: EmulatedRequest,
        instance: EmulatedInstance,
        reader: str,
        sent: Sent,
        again: int,
    ) -> None:
        """Begin to generate; the first event ends the wait."""
        instance.backlog.remove(reader, sent)
        near = self.fleet.upstreams[reader].domain
        engine = choose_decode(
            instance.surroundings(), SERVICE, near, frozenset(), self.now
        )
        assert engine is not None
        running = Sent(0, self.now)
        instance.backlog.add(engine.name, running)
        begins_at = self.take_slot(engine.name, request)
        first_at = begins_at + EVENT_SECONDS + CALL_SECONDS
        first = first_at - request.arrives_at
        self.served.append(Served(request, first, again))
        ends_at = begins_at + request.events * EVENT_SECONDS
        self.at(ends_at, instance.backlog.remove, engine.name, running)

    def take_slot(self, engine: str, request: EmulatedRequest) -> float:
        """Return when an engine begins to generate, and keep its slot."""
        move = MOVE_SECONDS + request.work.prompt_tokens * MOVE_TOKEN_SECONDS
        slots = self.slots[engine]
        begins_at = max(heapq.heappop(slots), self.now + move)
        ends_at = begins_at + request.events * EVENT_SECONDS
        heapq.heappush(slots, ends_at)
        return begins_at

    def hops(self) -> float:
        """Return how many beats news take to reach an instance."""
        return 2 if len(self.instances) > PAIRS_LIMIT else 0.5

    def beat(self) -> None:
        """Have all instances tell their loads, through hubs if many."""
        if len(self.instances) > PAIRS_LIMIT:
            self.beat_through_hubs()
            return
        for sender in self.instances:
            loads = sender.backlog.summarize(self.now)
            for other in self.instances:
                if other is not sender:
                    self.at(
                        self.now + HOP_SECONDS,
                        self.hear,
                        other.backlog,
                        sender.name,
                        loads,
                    )

    def beat_through_hubs(self) -> None:
        """Have members, hubs and other hubs tell each other their loads."""
        by_domain: dict[str, list[EmulatedInstance]] = {}
        for one in self.instances:
            by_domain.setdefault(one.domain, []).append(one)
        for members in by_domain.values():
            self.beat_in_domain(members)
        firsts = [members[0] for members in by_domain.values()]
        for sender in firsts:
            hub = GroupHub(sender.backlog)
            names = [one.name for one in by_domain[sender.domain]]
            hub.members.update(dict.fromkeys(names, self.now))
            loads = hub.domain_loads(self.now)
            for other in firsts:
                if other is not sender:
                    self.hear(other.backlog, sender.name, loads)

    def beat_in_domain(self, members: list[EmulatedInstance]) -> None:
        """Have the members of a failure domain and its hub tell each other."""
        first = members[0]
        for member in members[1:]:
            loads = member.backlog.summarize(self.now)
            self.hear(first.backlog, member.name, loads)
        names = [member.name for member in members[1:]]
        views = GroupHub(first.backlog).loads_for_members(names, self.now)
        for member in members[1:]:
            self.hear(member.backlog, first.name, views[member.name])

    def hear(self, backlog: Backlog, sender: str, loads: Any) -> None:
        """Take loads over."""
        backlog.hear(sender, loads, self.now)
