"""An oracle that knows the whole trace: an upper estimate of any goodput.

All engines are pooled into one that runs at best efficiency, changes roles
at no cost and serves one request at a time at its full rate.  Requests are
accepted by deadline; when one would be late, the accepted request of the
highest cost is dropped.  docs/ENGINE_MODEL.md explains why this is an upper
estimate for every policy.
"""

import heapq
from collections.abc import Mapping
from collections.abc import Sequence as SequenceOf

from cranberryrelay.measure._model import Sequence
from cranberryrelay.measure._workload import RequestKind
from cranberryrelay.policy import INTER_TOKEN_TARGET_SECONDS, EngineRates


def count_oracle_goodput(
    arrivals: SequenceOf[Sequence],
    kinds: Mapping[str, RequestKind],
    rates: EngineRates,
    engines: float,
) -> int:
    """Return the number of requests the oracle answers within target."""
    jobs = sorted(
        (
            sequence.arrived_at
            + kinds[sequence.kind].first_token_seconds
            + sequence.output * INTER_TOKEN_TARGET_SECONDS,
            sequence.arrived_at,
            minimum_engine_seconds(sequence, rates) / engines,
        )
        for sequence in arrivals
    )
    accepted_costs: list[float] = []
    now = float(0)
    for deadline, arrived_at, seconds in jobs:
        now = max(now, arrived_at) + seconds
        heapq.heappush(accepted_costs, -seconds)
        if now > deadline:
            now += heapq.heappop(accepted_costs)
    return len(accepted_costs)


def minimum_engine_seconds(sequence: Sequence, rates: EngineRates) -> float:
    """Return the least engine time of a request, in seconds."""
    step = rates.step_seconds + rates.step_seconds_per_sequence * rates.slots
    prefill = sequence.prompt / rates.prefill_tokens_per_second
    return prefill + sequence.output * step / rates.slots
