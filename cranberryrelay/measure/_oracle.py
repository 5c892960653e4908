"""An oracle that knows the trace: an upper estimate of any policy's goodput.

All engines are pooled into one that works at best efficiency, changes
roles at no cost and gives its whole rate to one request at a time.  Requests
are taken by deadline; when one would be late, the costliest taken so far is
dropped.  docs/ENGINE_MODEL.md says why this is an upper estimate.
"""

import heapq
from collections.abc import Mapping
from collections.abc import Sequence as SequenceOf

from cranberryrelay.measure._model import Sequence
from cranberryrelay.measure._workload import WorkKind
from cranberryrelay.policy import BETWEEN_TOKENS_SECONDS, EngineRates


def count_oracle_goodput(
    arrivals: SequenceOf[Sequence],
    kinds: Mapping[str, WorkKind],
    rates: EngineRates,
    engines: float,
) -> int:
    """Return how many requests the oracle answers within target."""
    jobs = sorted(
        (
            one.arrived_at
            + kinds[one.kind].first_token_seconds
            + one.output * BETWEEN_TOKENS_SECONDS,
            one.arrived_at,
            engine_seconds(one, rates) / engines,
        )
        for one in arrivals
    )
    taken: list[float] = []
    now = float(0)
    for deadline, arrived_at, seconds in jobs:
        now = max(now, arrived_at) + seconds
        heapq.heappush(taken, -seconds)
        if now > deadline:
            now += heapq.heappop(taken)
    return len(taken)


def engine_seconds(sequence: Sequence, rates: EngineRates) -> float:
    """Return the least engine time that a request takes."""
    step = rates.step_seconds + rates.step_seconds_per_sequence * rates.slots
    prefill = sequence.prompt / rates.prefill_tokens_per_second
    return prefill + sequence.output * step / rates.slots
