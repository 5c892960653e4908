"""Effects that decision modules return, and the answers to them.

A decision module is pure: it takes an event and the current time and returns
effects, without I/O.  Its shell executes the effects and passes the answers
back as events.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from result import Result

from cranberryrelay.agreement._cell_messages import UpstreamLoad
from cranberryrelay.codes import Failure
from cranberryrelay.notes import FoldedNotes, RevisionRecord
from cranberryrelay.platform import ListedInstance, StoredObject


class SendPeer(NamedTuple):
    """Send a message to another instance's steward; it may be lost."""

    # Name of the instance, or of an entry connected to this instance.
    instance: str

    # The message; its type is one of ``MESSAGE_TYPES``.
    message: Any

    # Peer that a forwarded message comes from; empty if it comes from this
    # instance.
    sender: str = ''


class StoreRead(NamedTuple):
    """Read the latest version of an object."""

    # Key of the object.
    key: str


class StoreWrite(NamedTuple):
    """Write an object if it still has the expected version."""

    # Key of the object.
    key: str

    # New value.
    body: bytes

    # Version that the object must have; 0 creates it.
    expected_version: int

    # Identifies the write in its answer; chosen by the decision module.
    tag: str = ''


class LoadNotes(NamedTuple):
    """Load all notes in force from the object API."""

    # Revision that is already applied.
    after: int


class ListInstances(NamedTuple):
    """Read the platform's list of instances."""


class SendOrder(NamedTuple):
    """Send an order to an engine."""

    # Name of the engine.
    engine: str

    # The order.
    order: 'EngineOrder'


class EngineOrder(NamedTuple):
    """The role and the models an engine has to adopt; idempotent."""

    # Identifies the order; the same in every attempt to send it.
    order_id: str

    # Fencing token; increases with each lease holder and each new order.
    token: int

    # Role that the engine has to take.
    role: str

    # Versions of the models that the engine has to load, by model.
    models: Mapping[str, str]


class OrderOutcome(StrEnum):
    """The outcome of an order that was sent to an engine.

    ``DONE``: the engine executed it.  ``FENCED``: the engine rejected it
    because its token is too low.  ``LOST``: there was no answer or an
    error, and the order may have taken effect.
    """

    DONE = 'done'
    FENCED = 'fenced'
    LOST = 'lost'


class RequestLoad(NamedTuple):
    """Request a load report from an upstream."""

    # Name of the upstream.
    upstream: str

    # 'IP:port'.
    address: str


Effect = (
    SendPeer
    | RequestLoad
    | StoreRead
    | StoreWrite
    | LoadNotes
    | ListInstances
    | SendOrder
)


class ReadDone(NamedTuple):
    """The answer to a read."""

    # The read that was executed.
    read: StoreRead

    # When the call was sent, in seconds of the own clock.
    sent_at: float

    # The object, or why the read failed.
    outcome: Result[StoredObject, Failure]


class WriteDone(NamedTuple):
    """The answer to a write."""

    # The write that was executed.
    write: StoreWrite

    # When the call was sent, in seconds of the own clock.
    sent_at: float

    # The new version of the object, or why the write failed.
    outcome: Result[int, Failure]


class NotesLoaded(NamedTuple):
    """The answer to a load of all notes."""

    # When the first call was sent, in seconds of the own clock.
    sent_at: float

    # The folded notes and the last revisions, or why the load failed.
    outcome: Result[tuple[FoldedNotes, tuple[RevisionRecord, ...]], Failure]


class InstancesListed(NamedTuple):
    """The answer to a read of the list of instances."""

    # When the call was sent, in seconds of the own clock.
    sent_at: float

    # The list, or why the read failed.
    outcome: Result[list[ListedInstance], Failure]


class OrderAnswered(NamedTuple):
    """The answer of an engine to an order."""

    # Name of the engine.
    engine: str

    # The order.
    order: EngineOrder

    # The outcome of the order.
    outcome: OrderOutcome


class LoadAnswered(NamedTuple):
    """The answer of an upstream to a request for a load report."""

    # Name of the upstream.
    upstream: str

    # Load of the upstream; None if it did not answer.
    load: UpstreamLoad | None

    # Versions of the models that the upstream reports; None if its report
    # does not contain them.
    models: Mapping[str, str] | None = None


Answer = (
    ReadDone
    | WriteDone
    | NotesLoaded
    | InstancesListed
    | OrderAnswered
    | LoadAnswered
)
