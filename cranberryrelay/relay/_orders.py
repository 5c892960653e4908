"""Reports of engines and orders to them, independent of the platform."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from cranberryrelay.codes import Failure
from cranberryrelay.relay._catalogue import Role, Upstream
from cranberryrelay.relay._requests import MetadataObserver


class EngineReport(NamedTuple):
    """State reported by an engine; some hundred milliseconds old."""

    # Role that the engine has.
    role: Role

    # True while the engine is executing an order.
    busy: bool

    # Number of orders that the engine has accepted since its start.
    orders_accepted: int


class RoleOrder(NamedTuple):
    """An order to change the role of an engine."""

    # Engine that receives the order.
    engine: Upstream

    # Requested role.
    role: Role

    # Name of the instance that holds the lease.
    holder: str

    # Fencing token of the holder's lease term.
    token: int

    # Number of orders that the engine must have accepted before this one;
    # otherwise it rejects the order.
    orders_accepted: int


class OrderOutcome(StrEnum):
    """Answer of an engine to an order."""

    # The engine executes the order, or already has the requested role.
    ACCEPTED = 'taken'

    # Another order is in progress, or the engine accepted other orders first.
    CONFLICT = 'conflict'

    # The engine has seen a higher fencing token.
    FENCED = 'fenced'

    # The engine does not support the order, or is another incarnation.
    REFUSED = 'refused'


class EngineControl(Protocol):
    """Control calls to engines, apart from callers' requests."""

    async def report(
        self, engine: Upstream, observe: MetadataObserver
    ) -> Result[EngineReport, Failure]:
        """Return an engine's current state; errors: ``UPSTREAM_FAILED``.

        ``observe`` is told of the metadata of any response.
        """

    async def order(
        self, order: RoleOrder, observe: MetadataObserver
    ) -> Result[OrderOutcome, Failure]:
        """Send an order; after an error it may still be executed."""
