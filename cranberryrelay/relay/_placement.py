"""Chooses the upstream of a request, by pure functions of the known state.

Designed for a load of prompts that share long segments, in three ranks, on a
fleet of separate prefill and decode engines.
"""

from collections.abc import Callable, Container
from typing import Final, NamedTuple

from cranberryrelay.relay._backlog import Backlog
from cranberryrelay.relay._catalogue import Role, Upstream
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._hashing import digest_text, hash_to_unit_interval
from cranberryrelay.relay._prefix_index import PrefixIndex
from cranberryrelay.relay._requests import ModelRequest

# Prefill throughput of an engine, from the platform's data sheet.
PREFILL_TOKENS_PER_SECOND: Final = 64_200.0

# Attention time per pair of a prefilled token and a token before it.
ATTENTION_PAIR_SECONDS: Final = 0.647e-9

# Fixed prefill time per prompt.
PROMPT_OVERHEAD_SECONDS: Final = 0.004

# A prompt whose predicted prefill takes longer than this is a long prompt.
LONG_PROMPT_SECONDS: Final = 0.06

# Share of the prefill engines that is dedicated to long prompts; the others are
# kept free for short prompts.
LONG_PROMPT_ENGINE_SHARE: Final = 0.5

# A long prompt may be placed on any engine that is forecast to finish it within
# this time, as short prompts can afford to wait that long.
LONG_PROMPT_SPILL_SECONDS: Final = 0.17

# Cost of placement outside the local failure domain, fixed and per kilobyte of
# the request body, in seconds of waiting.
OTHER_DOMAIN_SECONDS: Final = 0.005
OTHER_DOMAIN_SECONDS_PER_KB: Final = 0.01
_KILOBYTE: Final = 1000

# Expected wait for a free decode slot, per request above the slots.
SLOT_WAIT_SECONDS: Final = 0.03

# Cost of an error rate of 1, in seconds of waiting.
FAILURE_COST_SECONDS: Final = 1.0

# Cost of prefilling a shared token that another engine may have cached, in
# seconds of waiting; the price is set by the operators.
SHARED_TOKEN_COST_SECONDS: Final = 20e-6

# Range of the affinity cost, in seconds of waiting; about the prefill time that
# an engine is sent before the other instances learn of it.
AFFINITY_SECONDS: Final = 0.05

# Prefill time that a request to an engine with a limited rate should carry, as
# the limit counts requests, not tokens. Shorter prompts are placed there only
# if the other engines have a longer backlog.
LIMITED_REQUEST_SECONDS: Final = 0.1

# Cost per running request at a decode engine, in seconds of waiting.
RUNNING_REQUEST_COST_SECONDS: Final = 0.002

# Cost of placement outside the local failure domain for a plain service, as a
# share of the slots of an upstream.
OTHER_DOMAIN_SLOT_SHARE: Final = 0.01

# Cost of an error rate of 1 for a plain service, as a share of the slots of an
# upstream.
FAILURE_SLOT_SHARE: Final = 2.0


def always_may_send(upstream: str, now: float) -> bool:
    """Return that there is no limit."""
    return True


class Candidate(NamedTuple):
    """A prefill engine with the forecast for a request placed there."""

    # The engine.
    engine: Upstream

    # Prompt tokens that it would have to prefill.
    tokens_to_read: int

    # Predicted prefill time of these tokens, in seconds.
    read_seconds: float

    # Forecast of the time until their prefill ends, at the nominal speed of an
    # engine, in seconds.
    nominal_wait_seconds: float

    # The same forecast at the observed speed of this engine, in seconds.
    wait_seconds: float

    # Placement cost in seconds; the candidate with the lowest cost is chosen.
    cost_seconds: float


class PlacementContext(NamedTuple):
    """Input of placement: the known state and the size of the request."""

    # Known upstreams and their health.
    fleet: Fleet

    # Load of the upstreams.
    backlog: Backlog

    # Estimated prefix caches of the engines.
    prefix_index: PrefixIndex

    # Failure domain of this instance.
    domain: str

    # Size of the request body in bytes.
    body_bytes: int = 0

    # Whether an upstream may be sent a request at a time, by its name.
    may_send: Callable[[str, float], bool] = always_may_send

    # Names of the upstreams that limit the rate of requests.
    limited: Container[str] = ()

    def domain_cost_seconds(self, domain: str) -> float:
        """Return the cost of placing the request in a failure domain."""
        if domain == self.domain:
            return 0
        kilobytes = self.body_bytes / _KILOBYTE
        return OTHER_DOMAIN_SECONDS + kilobytes * OTHER_DOMAIN_SECONDS_PER_KB


def affinity_cost_seconds(engine: Upstream, work: ModelRequest) -> float:
    """Return the affinity cost of an engine, the same at all instances.

    Rendezvous hashing of the longest shareable prefix of the prompt, or of the
    request's own segment if there is none.  Until instances learn of each
    other's requests, it sends different prefixes to different engines and
    equal prefixes to the same engine.
    """
    segments = work.shared_segments() or work.segments
    digest = segments[-1].digest if segments else ''
    return hash_to_unit_interval(f'{digest} {engine.name}') * AFFINITY_SECONDS


def predict_prefill_seconds(prompt_tokens: int, cached_tokens: int) -> float:
    """Predict the prefill time of the uncached rest of a prompt."""
    to_read = prompt_tokens - cached_tokens
    pairs = to_read * (cached_tokens + to_read / 2)
    return (
        PROMPT_OVERHEAD_SECONDS
        + to_read / PREFILL_TOKENS_PER_SECOND
        + pairs * ATTENTION_PAIR_SECONDS
    )


def evaluate_engine(
    context: PlacementContext, engine: Upstream, work: ModelRequest, now: float
) -> Candidate:
    """Forecast the wait and the cost of a request at a prefill engine."""
    shared = work.shared_segments()
    cached = context.prefix_index.cached_tokens(engine.name, shared)
    cached = min(cached, work.prompt_tokens - 1)
    read_time = predict_prefill_seconds(work.prompt_tokens, cached)
    health = context.fleet.decayed_health(engine.name, now)
    queue_wait = context.backlog.forecast_wait_seconds(engine.name, now)
    nominal_wait = queue_wait + read_time
    wait = nominal_wait * health.slowness
    cost = wait + health.error_rate * FAILURE_COST_SECONDS
    cost += context.domain_cost_seconds(engine.domain)
    cost += affinity_cost_seconds(engine, work)
    if engine.name in context.limited:
        cost += LIMITED_REQUEST_SECONDS - read_time
    shared_tokens = sum(segment.tokens for segment in shared)
    cost += max(shared_tokens - cached, 0) * SHARED_TOKEN_COST_SECONDS
    return Candidate(
        engine, work.prompt_tokens - cached, read_time, nominal_wait, wait, cost
    )


def choose_prefill_engine(
    context: PlacementContext,
    service: str,
    work: ModelRequest,
    excluded: frozenset[str],
    now: float,
) -> Candidate | None:
    """Choose the prefill engine with the lowest cost; None if there is none.

    A long prompt is placed on the engines dedicated to long prompts unless
    another engine is nearly idle, since a short prompt queued after it would
    wait for many times its own prefill time.
    """
    engines = _eligible(context, service, Role.PREFILL, excluded, now)
    candidates = [
        evaluate_engine(context, engine, work, now) for engine in engines
    ]
    dedicated = choose_long_prompt_engines(engines)
    allowed = [
        one
        for one in candidates
        if one.read_seconds <= LONG_PROMPT_SECONDS
        or one.engine.name in dedicated
        or one.engine.name in context.limited
        or one.nominal_wait_seconds <= LONG_PROMPT_SPILL_SECONDS
    ]
    return min(allowed or candidates, key=_by_cost, default=None)


def choose_long_prompt_engines(engines: list[Upstream]) -> frozenset[str]:
    """Return the engines dedicated to long prompts.

    The choice is the same at all instances.
    """
    ordered = sorted(engines, key=lambda one: digest_text(one.name))
    count = max(round(len(engines) * LONG_PROMPT_ENGINE_SHARE), 1)
    return frozenset(engine.name for engine in ordered[:count])


def choose_decode_engine(
    context: PlacementContext,
    service: str,
    preferred_domain: str,
    excluded: frozenset[str],
    now: float,
    version: str | None = None,
) -> Upstream | None:
    """Choose the decode engine with the lowest cost; None if there is none.

    ``preferred_domain`` is the failure domain to stay in, ``version`` the only
    allowed software version; None allows all.
    """
    engines = [
        engine
        for engine in _eligible(context, service, Role.DECODE, excluded, now)
        if version in {None, engine.software_version}
    ]
    costs = [
        _decode_cost(context, engine, preferred_domain, now)
        for engine in engines
    ]
    return _cheapest(engines, costs)


def shortest_wait(
    context: PlacementContext, service: str, excluded_engine: str, now: float
) -> float:
    """Return the shortest forecast wait at any other prefill engine."""
    engines = context.fleet.candidates(service, Role.PREFILL, now)
    waits = [
        context.backlog.forecast_wait_seconds(engine.name, now)
        for engine in engines
        if engine.name != excluded_engine
    ]
    return min(waits, default=float('inf'))


def decode_utilization(
    context: PlacementContext, service: str, now: float
) -> float:
    """Return the share of decode slots in use; 1 if there are no slots."""
    engines = context.fleet.candidates(service, Role.DECODE, now)
    slots = sum(engine.slots for engine in engines)
    running = sum(
        context.backlog.running_requests(one.name, now) for one in engines
    )
    return running / slots if slots else 1


def choose_plain_upstream(
    context: PlacementContext,
    service: str,
    excluded: frozenset[str],
    now: float,
) -> Upstream | None:
    """Choose the least busy upstream of a plain service; None if none.

    Failures and other failure domains count as busy slots.
    """
    upstreams = _eligible(context, service, Role.PLAIN, excluded, now)
    costs = [_plain_cost(context, upstream, now) for upstream in upstreams]
    return _cheapest(upstreams, costs)


def _eligible(
    context: PlacementContext,
    service: str,
    role: Role,
    excluded: frozenset[str],
    now: float,
) -> list[Upstream]:
    return [
        upstream
        for upstream in context.fleet.candidates(service, role, now)
        if upstream.name not in excluded
        and context.may_send(upstream.name, now)
    ]


def _decode_cost(
    context: PlacementContext,
    engine: Upstream,
    preferred_domain: str,
    now: float,
) -> float:
    running = context.backlog.running_requests(engine.name, now)
    domain_cost = context.domain_cost_seconds(engine.domain)
    if engine.domain != preferred_domain:
        domain_cost += OTHER_DOMAIN_SECONDS
    error_rate = context.fleet.decayed_health(engine.name, now).error_rate
    return (
        running * RUNNING_REQUEST_COST_SECONDS
        + max(running - engine.slots, 0) * SLOT_WAIT_SECONDS
        + domain_cost
        + error_rate * FAILURE_COST_SECONDS
    )


def _plain_cost(
    context: PlacementContext, upstream: Upstream, now: float
) -> float:
    running = context.backlog.running_requests(upstream.name, now)
    utilization = running / max(upstream.slots, 1)
    error_rate = context.fleet.decayed_health(upstream.name, now).error_rate
    remote = upstream.domain != context.domain
    return (
        utilization
        + remote * OTHER_DOMAIN_SLOT_SHARE
        + error_rate * FAILURE_SLOT_SHARE
    )


def _cheapest(upstreams: list[Upstream], costs: list[float]) -> Upstream | None:
    if not upstreams:
        return None
    return upstreams[costs.index(min(costs))]


def _by_cost(candidate: Candidate) -> float:
    return candidate.cost_seconds
