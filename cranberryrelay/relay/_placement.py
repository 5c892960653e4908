"""Where a request goes: pure functions over what is known of the engines.

Answers the load pattern of prompts that share long parts, in three ranks,
at engines that read prompts and engines that generate.
"""

from typing import Final, NamedTuple

from cranberryrelay.relay._arrival import ModelWork
from cranberryrelay.relay._backlog import Backlog
from cranberryrelay.relay._catalogue import Role, Upstream
from cranberryrelay.relay._fleet import Fleet
from cranberryrelay.relay._hashing import digest_text, unit_interval
from cranberryrelay.relay._prefix_index import PrefixIndex

# Prompt tokens that an engine reads in a second; from the platform's sheet.
PREFILL_TOKENS_PER_SECOND: Final = 64_200.0

# Time for each pair of a token read and a token before it, in seconds.
PAIR_SECONDS: Final = 0.647e-9

# Fixed time of a prompt, in seconds.
PROMPT_SECONDS: Final = 0.004

# A prompt that takes longer than this to read counts as long, in seconds.
LONG_PROMPT_SECONDS: Final = 0.06

# Part of the engines that read long prompts; the others stay free for those
# that are short.
LONG_SHARE: Final = 0.5

# A long prompt may go to any engine that has then read all it was sent
# within this time, as short ones can wait so long, in seconds.
BORROWED_SECONDS: Final = 0.17

# Cost of leaving the own failure domain, as seconds of waiting, and what is
# added for each kilobyte of the request.
OTHER_DOMAIN_SECONDS: Final = 0.005
OTHER_DOMAIN_KB_SECONDS: Final = 0.01
_KILOBYTE: Final = 1000

# Time until a slot is free for each request that waits, in seconds.
SLOT_SECONDS: Final = 0.03

# Cost of a failure, as seconds of waiting.
FAILURE_SECONDS: Final = 1.0

# Cost of reading shared parts that another engine may keep, as seconds of
# waiting for each token; the operators price it.
SHARED_TOKEN_SECONDS: Final = 20e-6

# Preference between engines by what a request shares, as seconds of waiting;
# about what an engine is sent to read before other instances know of it.
SPREAD_SECONDS: Final = 0.05

# Cost of another running request at a decode engine, as seconds of waiting.
RUNNING_SECONDS: Final = 0.002

# Cost of leaving the own failure domain for a plain service, as a part of
# its slots.
OTHER_DOMAIN_BUSY: Final = 0.01

# Cost of a failure of a plain service, as a part of its slots.
FAILURE_BUSY: Final = 2.0


class Candidate(NamedTuple):
    """An engine and what a request would find there."""

    # The engine.
    engine: Upstream

    # Prompt tokens that it has to read for the request.
    tokens_to_read: int

    # Predicted time to read them, in seconds.
    read_seconds: float

    # Predicted time until it has read them, at the pace that engines are
    # expected to have, in seconds.
    plain_seconds: float

    # The same at the pace that this engine was found to have, in seconds.
    wait_seconds: float

    # What the choice is made by, in seconds.
    cost_seconds: float


class Surroundings(NamedTuple):
    """What the choice of an engine is made from."""

    # Upstreams.
    fleet: Fleet

    # Work that they have been sent.
    backlog: Backlog

    # Parts that they keep.
    prefixes: PrefixIndex

    # Own failure domain.
    domain: str

    # Bytes of the request that is to be placed.
    body_bytes: int = 0

    def far_seconds(self, domain: str) -> float:
        """Return the cost of sending the request to a failure domain."""
        if domain == self.domain:
            return 0
        kilobytes = self.body_bytes / _KILOBYTE
        return OTHER_DOMAIN_SECONDS + kilobytes * OTHER_DOMAIN_KB_SECONDS


def spread_seconds(engine: Upstream, work: ModelWork) -> float:
    """Return what keeps parts apart, the same at all instances.

    Rendezvous hashing of the longest part that others may share, or of the
    request's own: what instances send in the time in which they do not know
    of each other goes to different engines, and the same part to the same.
    """
    shared = work.shared_parts() or work.parts
    digest = shared[-1].digest if shared else ''
    return unit_interval(f'{digest} {engine.name}') * SPREAD_SECONDS


def predict_read_seconds(prompt_tokens: int, cached_tokens: int) -> float:
    """Predict how long a prefill engine reads the rest of a prompt."""
    to_read = prompt_tokens - cached_tokens
    pairs = to_read * (cached_tokens + to_read / 2)
    return (
        PROMPT_SECONDS
        + to_read / PREFILL_TOKENS_PER_SECOND
        + pairs * PAIR_SECONDS
    )


def rate_engine(
    around: Surroundings, engine: Upstream, work: ModelWork, now: float
) -> Candidate:
    """Predict what a request would find at an engine."""
    parts = work.shared_parts()
    cached = around.prefixes.cached_tokens(engine.name, parts)
    cached = min(cached, work.prompt_tokens - 1)
    read = predict_read_seconds(work.prompt_tokens, cached)
    conduct = around.fleet.learned(engine.name, now)
    ahead = around.backlog.wait_seconds(engine.name, now)
    plain = ahead + read
    wait = plain * conduct.slowness
    cost = wait + conduct.error_rate * FAILURE_SECONDS
    cost += around.far_seconds(engine.domain)
    cost += spread_seconds(engine, work)
    shared = sum(part.tokens for part in parts)
    cost += max(shared - cached, 0) * SHARED_TOKEN_SECONDS
    return Candidate(
        engine, work.prompt_tokens - cached, read, plain, wait, cost
    )


def choose_prefill(
    around: Surroundings,
    service: str,
    work: ModelWork,
    excluded: frozenset[str],
    now: float,
) -> Candidate | None:
    """Choose the engine that is to read the prompt; None if there is none.

    A long prompt goes to one of the engines set apart for these, as a short
    one would wait behind it for many times its own length.
    """
    engines = _allowed(around, service, Role.PREFILL, excluded, now)
    rated = [rate_engine(around, engine, work, now) for engine in engines]
    apart = choose_long_engines(engines)
    fitting = [
        one
        for one in rated
        if one.read_seconds <= LONG_PROMPT_SECONDS
        or one.engine.name in apart
        or one.plain_seconds <= BORROWED_SECONDS
    ]
    return min(fitting or rated, key=_by_cost, default=None)


def choose_long_engines(engines: list[Upstream]) -> frozenset[str]:
    """Return the engines for long prompts, the same at all instances."""
    ordered = sorted(engines, key=lambda one: digest_text(one.name))
    count = max(round(len(engines) * LONG_SHARE), 1)
    return frozenset(engine.name for engine in ordered[:count])


def choose_decode(
    around: Surroundings,
    service: str,
    near: str,
    excluded: frozenset[str],
    now: float,
) -> Upstream | None:
    """Choose the engine that is to generate; ``near`` is a failure domain."""
    engines = _allowed(around, service, Role.DECODE, excluded, now)
    costs = [_decode_cost(around, engine, near, now) for engine in engines]
    return _cheapest(engines, costs)


def shortest_wait(
    around: Surroundings, service: str, besides: str, now: float
) -> float:
    """Return the shortest wait for a prompt at any other engine."""
    engines = around.fleet.candidates(service, Role.PREFILL, now)
    waits = [
        around.backlog.wait_seconds(engine.name, now)
        for engine in engines
        if engine.name != besides
    ]
    return min(waits, default=float('inf'))


def decode_taken_share(around: Surroundings, service: str, now: float) -> float:
    """Return which part of the slots for generation is taken; 1 for none."""
    engines = around.fleet.candidates(service, Role.DECODE, now)
    slots = sum(engine.slots for engine in engines)
    running = sum(around.backlog.running(one.name, now) for one in engines)
    return running / slots if slots else 1


def choose_plain(
    around: Surroundings,
    service: str,
    excluded: frozenset[str],
    now: float,
) -> Upstream | None:
    """Choose the process of a plain service with the most free slots."""
    upstreams = _allowed(around, service, Role.PLAIN, excluded, now)
    costs = [_plain_cost(around, upstream, now) for upstream in upstreams]
    return _cheapest(upstreams, costs)


def _allowed(
    around: Surroundings,
    service: str,
    role: Role,
    excluded: frozenset[str],
    now: float,
) -> list[Upstream]:
    return [
        upstream
        for upstream in around.fleet.candidates(service, role, now)
        if upstream.name not in excluded
    ]


def _decode_cost(
    around: Surroundings, engine: Upstream, near: str, now: float
) -> float:
    running = around.backlog.running(engine.name, now)
    far = around.far_seconds(engine.domain)
    if engine.domain != near:
        far += OTHER_DOMAIN_SECONDS
    failing = around.fleet.learned(engine.name, now).error_rate
    return (
        running * RUNNING_SECONDS
        + max(running - engine.slots, 0) * SLOT_SECONDS
        + far
        + failing * FAILURE_SECONDS
    )


def _plain_cost(around: Surroundings, upstream: Upstream, now: float) -> float:
    running = around.backlog.running(upstream.name, now)
    busy = running / max(upstream.slots, 1)
    failing = around.fleet.learned(upstream.name, now).error_rate
    far = upstream.domain != around.domain
    return busy + far * OTHER_DOMAIN_BUSY + failing * FAILURE_BUSY


def _cheapest(upstreams: list[Upstream], costs: list[float]) -> Upstream | None:
    if not upstreams:
        return None
    return upstreams[costs.index(min(costs))]


def _by_cost(candidate: Candidate) -> float:
    return candidate.cost_seconds
