"""Emulates a deployment of target size: engines and instances.

Each instance routes with its own, partly outdated view of the engines.  The
choice of engines, the load summaries, the index of cached prompt parts and
the exchange through hubs run the code of the relay; engines, network and
callers are simulated in virtual time with fixed seeds.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from cranberryrelay.measure._target_load import EmulatedRequest, SiteSettings
from cranberryrelay.relay import Role, Upstream
from cranberryrelay.relay._backlog import Backlog, InFlightCall
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._group_hub import GroupHub
from cranberryrelay.relay._membership import FULL_MESH_LIMIT
from cranberryrelay.relay._placement import (
    Candidate,
    PlacementContext,
    choose_decode_engine,
    predict_prefill_seconds,
)
from cranberryrelay.relay._prefix_index import PrefixIndex
from cranberryrelay.relay._role_planner import plan_decode_count

DOMAINS: Final = ('a', 'b', 'c', 'd')
SERVICE: Final = 's'
KV_CACHE_TOKENS: Final = 417_000

# One-way latency of a message between instances and of a call to an engine.
PEER_LATENCY_SECONDS: Final = 0.001
ENGINE_CALL_LATENCY_SECONDS: Final = 0.004

# Transfer of the KV cache of a prompt to the decoding engine (fixed part and
# part per token), and generation of one event of an answer.
KV_TRANSFER_BASE_SECONDS: Final = 0.0027
KV_TRANSFER_SECONDS_PER_TOKEN: Final = 1.6e-6
EVENT_GENERATION_SECONDS: Final = 0.042


class Policy(NamedTuple):
    """A routing policy under test."""

    # Name of the policy in the table and the plot.
    name: str

    # Interval of load exchanges, in seconds; 0 if all instances share one view.
    exchange_interval_seconds: float

    # Chooses the prefill engine; has the parameters of ``choose_prefill``.
    choose: Callable[..., Candidate | None]


class RequestResult(NamedTuple):
    """The result of a request."""

    # The request.
    request: EmulatedRequest

    # Time to first event, in seconds.
    first_event_seconds: float

    # Tokens of shared parts that were prefilled again although an engine had
    # prefilled them for a previous request.
    recomputed_tokens: int


class _Event(NamedTuple):
    when: float
    order: int
    action: Any
    arguments: tuple[Any, ...]


class EmulatedPrefillEngine:
    """An engine that prefills prompts in order of arrival."""

    def __init__(self) -> None:
        self.available_at: float = 0
        self.cache_index = PrefixIndex()

    def prefill(self, request: EmulatedRequest, now: float) -> float:
        """Queue the prompt and return the time when it is prefilled."""
        work = request.work
        shared = work.shared_segments()
        cached = self.cache_index.cached_tokens('', shared)
        cached = min(cached, work.prompt_tokens - 1)
        seconds = predict_prefill_seconds(work.prompt_tokens, cached)
        self.cache_index.record('', shared, KV_CACHE_TOKENS)
        self.available_at = max(self.available_at, now) + seconds
        return self.available_at


class EmulatedInstance:
    """The routing state of one instance."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        self.name = f'i-{number:04d}'
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.fleet = fleet
        self.backlog = Backlog()
        self.index = PrefixIndex()

    def routing_state(self) -> PlacementContext:
        """Return the state from which the relay chooses an engine."""
        return PlacementContext(
            self.fleet, self.backlog, self.index, self.domain, 1000
        )


class TargetEmulator:
    """A discrete event simulation of one policy at one site."""

    def __init__(self, site: SiteSettings, policy: Policy) -> None:
        self.policy = policy
        self.events: list[_Event] = []
        self.event_numbers = itertools.count()
        self.now: float = 0
        self.results: list[RequestResult] = []
        self.prefilled_digests: set[str] = set()
        self.fleet = Fleet()
        self.prefill_engines: dict[str, EmulatedPrefillEngine] = {}
        self.slots_free_at: dict[str, list[float]] = {}
        self.add_engines(site)
        self.instances = [
            EmulatedInstance(number, self.fleet)
            for number in range(site.instances)
        ]
        if not policy.exchange_interval_seconds:
            for instance in self.instances[1:]:
                instance.backlog = self.instances[0].backlog
                instance.index = self.instances[0].index

    def add_engines(self, site: SiteSettings) -> None:
        """Add the engines in the roles that the role planner assigns."""
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
                self.prefill_engines[name] = EmulatedPrefillEngine()
            else:
                self.slots_free_at[name] = list(itertools.repeat(0, site.slots))

    def schedule(self, when: float, action: Any, *arguments: Any) -> None:
        """Schedule a call of an action."""
        event = _Event(when, next(self.event_numbers), action, arguments)
        heapq.heappush(self.events, event)

    def run(self, requests: list[EmulatedRequest]) -> list[RequestResult]:
        """Serve all requests and return their results."""
        for request in requests:
            self.schedule(request.arrives_at, self.handle_arrival, request)
        if self.policy.exchange_interval_seconds:
            last = requests[-1].arrives_at if requests else 0
            exchanges = int(last / self.policy.exchange_interval_seconds)
            for number in range(exchanges):
                self.schedule(
                    number * self.policy.exchange_interval_seconds,
                    self.exchange_loads,
                )
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event.when
            event.action(*event.arguments)
        return self.results

    def handle_arrival(self, request: EmulatedRequest) -> None:
        """Choose the prefill engine of a request and send the prompt to it."""
        instance = self.instances[request.instance]
        chosen = self.policy.choose(
            instance.routing_state(),
            SERVICE,
            request.work,
            frozenset(),
            self.now,
        )
        assert chosen is not None
        name = chosen.engine.name
        shared = request.work.shared_segments()
        recomputed = self.count_recomputed_tokens(request, name)
        sent = InFlightCall(chosen.read_seconds, self.now)
        instance.backlog.add(name, sent)
        self.index_cached_parts(instance, name, shared)
        prefilled_at = self.prefill_engines[name].prefill(
            request, self.now + ENGINE_CALL_LATENCY_SECONDS
        )
        arguments = (request, instance, name, sent, recomputed)
        self.schedule(
            prefilled_at + ENGINE_CALL_LATENCY_SECONDS,
            self.start_decode,
            *arguments,
        )

    def count_recomputed_tokens(
        self, request: EmulatedRequest, name: str
    ) -> int:
        """Return the number of shared tokens that are prefilled again."""
        shared = request.work.shared_segments()
        cached = self.prefill_engines[name].cache_index.cached_tokens(
            '', shared
        )
        previous = sum(
            part.tokens
            for part in shared
            if part.digest in self.prefilled_digests
        )
        self.prefilled_digests.update(part.digest for part in shared)
        return max(previous - cached, 0)

    def index_cached_parts(
        self, instance: EmulatedInstance, name: str, shared: Any
    ) -> None:
        """Add cached parts to the index of each instance.

        The other instances receive them after the propagation delay.
        """
        instance.index.record(name, shared, KV_CACHE_TOKENS)
        if self.policy.exchange_interval_seconds:
            delay = (
                self.policy.exchange_interval_seconds
                * self.propagation_intervals()
            )
            for other in self.instances:
                if other is not instance:
                    self.schedule(
                        self.now + delay,
                        other.index.record,
                        name,
                        shared,
                        KV_CACHE_TOKENS,
                    )

    def start_decode(
        self,
        request: EmulatedRequest,
        instance: EmulatedInstance,
        prefill_engine: str,
        sent: InFlightCall,
        recomputed: int,
    ) -> None:
        """Choose the decoding engine and record the time to first event."""
        instance.backlog.remove(prefill_engine, sent)
        prefill_domain = self.fleet.upstreams[prefill_engine].domain
        engine = choose_decode_engine(
            instance.routing_state(),
            SERVICE,
            prefill_domain,
            frozenset(),
            self.now,
        )
        assert engine is not None
        running = InFlightCall(0, self.now)
        instance.backlog.add(engine.name, running)
        begins_at = self.reserve_slot(engine.name, request)
        first_at = (
            begins_at + EVENT_GENERATION_SECONDS + ENGINE_CALL_LATENCY_SECONDS
        )
        first_event_seconds = first_at - request.arrives_at
        self.results.append(
            RequestResult(request, first_event_seconds, recomputed)
        )
        ends_at = begins_at + request.events * EVENT_GENERATION_SECONDS
        self.schedule(ends_at, instance.backlog.remove, engine.name, running)

    def reserve_slot(self, engine: str, request: EmulatedRequest) -> float:
        """Reserve a slot of an engine; return when decoding begins."""
        transfer_seconds = (
            KV_TRANSFER_BASE_SECONDS
            + request.work.prompt_tokens * KV_TRANSFER_SECONDS_PER_TOKEN
        )
        slots = self.slots_free_at[engine]
        begins_at = max(heapq.heappop(slots), self.now + transfer_seconds)
        ends_at = begins_at + request.events * EVENT_GENERATION_SECONDS
        heapq.heappush(slots, ends_at)
        return begins_at

    def propagation_intervals(self) -> float:
        """Return the propagation delay, in load exchange intervals."""
        return 2 if len(self.instances) > FULL_MESH_LIMIT else 0.5

    def exchange_loads(self) -> None:
        """Exchange loads between all instances, through hubs if many."""
        if len(self.instances) > FULL_MESH_LIMIT:
            self.exchange_loads_through_hubs()
            return
        for sender in self.instances:
            loads = sender.backlog.own_loads(self.now)
            for other in self.instances:
                if other is not sender:
                    self.schedule(
                        self.now + PEER_LATENCY_SECONDS,
                        self.record_loads,
                        other.backlog,
                        sender.name,
                        loads,
                    )

    def exchange_loads_through_hubs(self) -> None:
        """Exchange loads in each failure domain and between the hubs."""
        by_domain: dict[str, list[EmulatedInstance]] = {}
        for instance in self.instances:
            by_domain.setdefault(instance.domain, []).append(instance)
        for members in by_domain.values():
            self.exchange_loads_in_domain(members)
        hub_instances = [members[0] for members in by_domain.values()]
        for sender in hub_instances:
            hub = GroupHub(sender.backlog)
            names = [member.name for member in by_domain[sender.domain]]
            hub.members.update(dict.fromkeys(names, self.now))
            loads = hub.domain_loads(self.now)
            for other in hub_instances:
                if other is not sender:
                    self.record_loads(other.backlog, sender.name, loads)

    def exchange_loads_in_domain(self, members: list[EmulatedInstance]) -> None:
        """Exchange loads in a failure domain, through its hub."""
        hub = members[0]
        for member in members[1:]:
            loads = member.backlog.own_loads(self.now)
            self.record_loads(hub.backlog, member.name, loads)
        names = [member.name for member in members[1:]]
        views = GroupHub(hub.backlog).loads_for_members(names, self.now)
        for member in members[1:]:
            self.record_loads(member.backlog, hub.name, views[member.name])

    def record_loads(self, backlog: Backlog, sender: str, loads: Any) -> None:
        """Record the loads received from an instance."""
        backlog.apply_report(sender, loads, self.now)
