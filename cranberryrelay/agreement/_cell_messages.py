"""Messages between the holder of a cell, the stewards and the entries."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class UpstreamPhase(StrEnum):
    """Phase of an upstream's service in its cell."""

    # Entries may send it requests.
    SERVING = 'serving'

    # It gets no new work; running work is finished.
    DRAINING = 'draining'

    # An order is recorded and may have been sent.
    ORDERED = 'ordered'

    # The platform is about to stop it; it gets no new work.
    LEAVING = 'leaving'


class UpstreamLoad(NamedTuple):
    """Load report of an upstream; it lags behind the actual load."""

    # Number of sequences that are being prefilled or decoded.
    running: int = 0

    # Number of sequences that are queued.
    waiting: int = 0

    # Number of prompt tokens that are not prefilled yet.
    prefill_tokens: int = 0

    # Age of the report at the time at which the message was sent.
    age_seconds: float = 0

    # False if the upstream did not answer the last polls.
    alive: bool = True


class UpstreamView(NamedTuple):
    """An upstream as published to entries."""

    # Name of the upstream.
    name: str

    # 'IP:port'.
    address: str

    # Role: prefill, decode or mixed; empty for services.
    role: str

    # Phase, which decides whether it takes new work.
    phase: UpstreamPhase

    # Versions of the models that it has loaded, by model.
    models: Mapping[str, str]

    # Its latest load report.
    load: UpstreamLoad

    # Failure domain that it is in.
    domain: str = ''


class PlanSubscribe(NamedTuple):
    """A steward's request to the holder of a cell to send its plan."""

    # Name of the cell.
    cell: str

    # Incremented with each subscription.
    nonce: int

    # True if no order of the subscriber can still be in flight.
    quiescent: bool

    # Token and version of the plan that it has; 0 if it has none.
    token: int
    version: int


class PlanView(NamedTuple):
    """The plan of a cell, or its changes since an earlier version."""

    # Name of the cell.
    cell: str

    # Latest nonce of the subscriber; proves that the holder's lease was valid
    # after the subscriber had started.
    nonce: int

    # Fencing token of the holder.
    token: int

    # Version of the plan under that token.
    version: int

    # Version that the changes apply to; 0 if the plan is complete.
    since: int

    # All upstreams of the cell, or those that changed.
    upstreams: tuple[UpstreamView, ...]


class PlanAlive(NamedTuple):
    """The acknowledgement of a subscription by the holder of the cell."""

    # Name of the cell.
    cell: str

    # Latest nonce of the subscriber.
    nonce: int

    # Time after which the subscriber should renew its subscription.
    next_seconds: float


class NamedLoad(NamedTuple):
    """The load of a named upstream."""

    # Name of the upstream.
    upstream: str

    # Its latest load report.
    load: UpstreamLoad


class PlanLoads(NamedTuple):
    """Load reports of upstreams, forwarded by the holder of their cell."""

    # Name of the cell.
    cell: str

    # Fencing token of the holder.
    token: int

    # Latest load report of each upstream of the cell.
    loads: tuple[NamedLoad, ...]


class PlanAck(NamedTuple):
    """An entry's acknowledgement that it has applied a plan."""

    # Name of the cell.
    cell: str

    # Fencing token of the plan.
    token: int

    # Version of the plan.
    version: int

    # Upstreams that take no new work but still run work of this entry.
    busy: tuple[str, ...]


class RankDemand(NamedTuple):
    """Demand of callers of one rank on a cell, measured at one entry."""

    # Name of the rank.
    rank: str

    # Prompt tokens per second, queued work included.
    prefill_tokens_per_second: float

    # Output tokens per second, queued work included.
    decode_tokens_per_second: float


class DemandReport(NamedTuple):
    """An entry's report of its callers' demand to the holder of a cell."""

    # Name of the cell.
    cell: str

    # Demand by rank.
    ranks: tuple[RankDemand, ...]


class PlanRedirect(NamedTuple):
    """Reply of an instance that observes a cell: the lease's holder."""

    # Name of the cell.
    cell: str

    # Instance that holds the cell's lease.
    holder: str
