"""Messages between a cell's holder, the stewards and the entries."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class Phase(StrEnum):
    """What an upstream is doing for the cell."""

    # Entries may send work.
    SERVING = 'serving'

    # No new work; what runs is finished.
    DRAINING = 'draining'

    # An order is recorded and may have been given.
    ORDERED = 'ordered'

    # The platform means to stop it; no new work.
    LEAVING = 'leaving'


class UpstreamLoad(NamedTuple):
    """What an upstream reported of its load; it lags behind the truth."""

    # Sequences that are being decoded or prefilled.
    running: int = 0

    # Sequences that wait.
    waiting: int = 0

    # Prompt tokens that are not prefilled yet.
    prefill_tokens: int = 0

    # Seconds that the report had aged when the view was sent.
    age_seconds: float = 0

    # False when the upstream did not answer the last questions.
    alive: bool = True


class UpstreamView(NamedTuple):
    """An upstream as entries are to see it."""

    # Name of the upstream.
    name: str

    # 'IP:port'.
    address: str

    # Prefill, decode or mixed; empty for services.
    role: str

    # Whether it takes new work.
    phase: Phase

    # Versions of the models that it has loaded, by model.
    models: Mapping[str, str]

    # Its last load report.
    load: UpstreamLoad

    # Failure domain that it is in.
    domain: str = ''


class PlanSubscribe(NamedTuple):
    """A steward asks the holder of a cell for its plan."""

    # Name of the cell.
    cell: str

    # Rises with each subscription.
    nonce: int

    # True if no order of the subscriber can still be on its way.
    quiet: bool

    # Token and version of the plan that it has; 0 before the first.
    token: int
    version: int


class PlanView(NamedTuple):
    """The plan of a cell, whole or as far as it changed."""

    # Name of the cell.
    cell: str

    # Latest nonce of the subscriber, which proves that the holder's lease
    # was valid after the subscriber had started.
    nonce: int

    # Fencing token of the holder.
    token: int

    # Version of the plan under that token.
    version: int

    # Version that the changes build on; 0 when the plan is whole.
    since: int

    # The upstreams of the cell, or those that changed.
    upstreams: tuple[UpstreamView, ...]


class PlanAlive(NamedTuple):
    """The holder of a cell says that its plan has not changed."""

    # Name of the cell.
    cell: str

    # Latest nonce of the subscriber.
    nonce: int

    # Seconds after which the subscriber is to subscribe again.
    next_seconds: float


class NamedLoad(NamedTuple):
    """The load of an upstream."""

    # Name of the upstream.
    upstream: str

    # Its last report.
    load: UpstreamLoad


class PlanLoads(NamedTuple):
    """The holder of a cell passes load reports on."""

    # Name of the cell.
    cell: str

    # Fencing token of the holder.
    token: int

    # Load reports of the cell's upstreams.
    loads: tuple[NamedLoad, ...]


class PlanAck(NamedTuple):
    """An entry has applied a plan and says where it still has work."""

    # Name of the cell.
    cell: str

    # Fencing token of the plan.
    token: int

    # Version of the plan.
    version: int

    # Upstreams that take no new work but still run this entry's work.
    busy: tuple[str, ...]


class RankDemand(NamedTuple):
    """What callers of one rank asked of a cell at one entry."""

    # Name of the rank.
    rank: str

    # Prompt tokens a second, work that waits included.
    prefill_tokens_per_second: float

    # Output tokens a second, work that waits included.
    decode_tokens_per_second: float


class DemandReport(NamedTuple):
    """An entry tells a cell's holder what its callers ask for."""

    # Name of the cell.
    cell: str

    # Demand by rank.
    ranks: tuple[RankDemand, ...]


class PlanRedirect(NamedTuple):
    """An instance that does not hold a cell names the one that does."""

    # Name of the cell.
    cell: str

    # Instance that holds the cell's lease.
    holder: str
