"""What the decision modules ask their shells to do, and the answers.

A part takes an event and the time and returns effects; it does no I/O.
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

    # Name of the instance, or of an entry connected here.
    instance: str

    # One of the message types of this package.
    message: Any

    # Peer that wrote it, when it is passed on; empty for this instance.
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

    # Chosen by the part to know the answer again.
    tag: str = ''


class LoadNotes(NamedTuple):
    """Load all notes in force from the object API."""

    # Revision already applied.
    after: int


class ListInstances(NamedTuple):
    """Read the platform's list of instances."""


class GiveOrder(NamedTuple):
    """Give an order to an engine."""

    # Name of the engine.
    engine: str

    # The order.
    order: 'EngineOrder'


class EngineOrder(NamedTuple):
    """What an engine is to be; giving it twice changes nothing."""

    # Same for every sending of one order.
    order_id: str

    # Fencing number; rises with each holder and with each new order.
    token: int

    # Role that the engine is to have.
    role: str

    # Versions of the models it is to load, by model.
    models: Mapping[str, str]


class OrderOutcome(StrEnum):
    """How an engine took an order."""

    DONE = 'done'
    FENCED = 'fenced'
    LOST = 'lost'


class AskLoad(NamedTuple):
    """Ask an upstream for its load."""

    # Name of the upstream.
    upstream: str

    # 'IP:port'.
    address: str


Effect = (
    SendPeer
    | AskLoad
    | StoreRead
    | StoreWrite
    | LoadNotes
    | ListInstances
    | GiveOrder
)


class ReadDone(NamedTuple):
    """The answer to a read."""

    # What was asked.
    read: StoreRead

    # When the call was sent; own clock.
    sent_at: float

    # The object, or why there is none.
    outcome: Result[StoredObject, Failure]


class WriteDone(NamedTuple):
    """The answer to a write."""

    # What was asked.
    write: StoreWrite

    # When the call was sent; own clock.
    sent_at: float

    # The new version, or why there is none.
    outcome: Result[int, Failure]


class NotesLoaded(NamedTuple):
    """The answer to a load of all notes."""

    # When the first call was sent; own clock.
    sent_at: float

    # The notes folded, with the last revisions, or why there are none.
    outcome: Result[tuple[FoldedNotes, tuple[RevisionRecord, ...]], Failure]


class InstancesListed(NamedTuple):
    """The answer to a read of the list of instances."""

    # When the call was sent; own clock.
    sent_at: float

    # The list, or why there is none.
    outcome: Result[list[ListedInstance], Failure]


class OrderAnswered(NamedTuple):
    """The answer of an engine to an order."""

    # Name of the engine.
    engine: str

    # The order.
    order: EngineOrder

    # How the engine took it.
    outcome: OrderOutcome


class LoadAnswered(NamedTuple):
    """The answer of an upstream to a question for its load."""

    # Name of the upstream.
    upstream: str

    # Its load; None when it did not answer.
    load: UpstreamLoad | None

    # Versions of the models it says it has; None if it does not say.
    models: Mapping[str, str] | None = None


Answer = (
    ReadDone
    | WriteDone
    | NotesLoaded
    | InstancesListed
    | OrderAnswered
    | LoadAnswered
)
