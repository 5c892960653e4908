"""Messages between instances."""

from typing import Any, NamedTuple

from cranberryrelay.relay._backlog import EngineLoad
from cranberryrelay.relay._catalogue import Role
from cranberryrelay.relay._crash_suspects import SuspectNews
from cranberryrelay.relay._departures import DepartureNews
from cranberryrelay.relay._forward_targets import ForwardTarget
from cranberryrelay.relay._membership import InstanceLocation
from cranberryrelay.relay._peer_update import PeerUpdate
from cranberryrelay.relay._rate_limits import LimitNews
from cranberryrelay.relay._records import StorePosition
from cranberryrelay.relay._start_check import StartNotice
from cranberryrelay.relay._stream_inquiry import (
    LostMembers,
    StreamAnswer,
    StreamQuestion,
)
from cranberryrelay.relay._stream_versions import (
    LeavingStreams,
    StreamSummary,
)


class Hello(NamedTuple):
    """Introduces an instance to another, which answers with a hello."""

    # Address and failure domain of the sender.
    location: InstanceLocation

    # Instances that the receiver may not know, by name.
    known: dict[str, InstanceLocation]

    # Whether the sender wants an answer.
    answer: bool


class LoadBeat(NamedTuple):
    """Heartbeat of an instance: its load report and the revisions it knows."""

    # Load by upstream: calls of the sender that have not ended.
    loads: dict[str, EngineLoad]

    # What the sender has learned since its last heartbeat.
    update: PeerUpdate

    # Revision of the release note in force at the sender.
    revision: int

    # State of the store up to which the sender knows the upstreams.
    upstream_position: StorePosition

    # Whether the sender reaches no upstream.
    cut_off: bool

    # 'IP:port' at which the sender takes requests of peers that are cut off; ''
    # if it takes none.
    forward_address: str


class GroupBeat(NamedTuple):
    """Heartbeat of a hub to its members and to hubs of other domains."""

    # Load by upstream. To a member: calls of all other instances. To a hub:
    # calls of the sender's failure domain.
    loads: dict[str, EngineLoad]

    # What was learned since the last heartbeat.
    update: PeerUpdate

    # Revision of the release note in force at the sender.
    revision: int

    # State of the store up to which the sender knows the upstreams.
    upstream_position: StorePosition

    # Number of live instances. To a member: in the fleet. To a hub: in the
    # sender's failure domain.
    instances: int

    # Whether the store answers. To a member: the sender or another hub. To a
    # hub: the sender.
    store_reachable: bool

    # Whether some instance of the sender's failure domain reaches no upstream.
    cut_off: bool

    # Instances that take requests of those that are cut off, if there are any.
    # To a member: of the fleet. To a hub: of the sender's failure domain.
    forward_targets: list[ForwardTarget]


class NoteShare(NamedTuple):
    """Release note in force at the sender, as the store holds it."""

    # Value of its record, as plain JSON types.
    value: Any


class UpstreamShare(NamedTuple):
    """Changes of upstreams that the receiver lacks."""

    # Changed records as (name, position, value).
    changed: list[tuple[str, StorePosition, Any]]

    # Names of removed records.
    removed: list[str]

    # State of the store after which the changes are complete.
    after: StorePosition

    # State of the store up to which the changes are complete.
    position: StorePosition


class UpstreamSnapshot(NamedTuple):
    """Changes of upstreams that the receiver lacks, and which ones exist.

    Sent instead of an ``UpstreamShare`` by an instance that may not know all
    removals since the receiver's position. A build that does not know it stays
    behind, and then watches the store.
    """

    # Changed records as (name, position, value).
    changed: list[tuple[str, StorePosition, Any]]

    # Names of all upstreams; others were removed by ``position``.
    names: list[str]

    # State of the store after which the changed records are complete.
    after: StorePosition

    # State of the store up to which the changes are complete.
    position: StorePosition


class EngineChanging(NamedTuple):
    """Announces that an engine changes its role and takes no requests."""

    # Name of the engine's incarnation.
    engine: str

    # Role that it was ordered to take; None if the outcome of the order is
    # unknown.
    role: Role | None = None


class Farewell(NamedTuple):
    """Announces that the sender is about to stop."""

    # Its 'IP:port' for messages between instances.
    address: str


PEER_MESSAGE_TYPES: Any = (
    Hello,
    LoadBeat,
    GroupBeat,
    NoteShare,
    UpstreamShare,
    EngineChanging,
    Farewell,
    SuspectNews,
    LimitNews,
    StreamSummary,
    DepartureNews,
    StartNotice,
    StreamQuestion,
    StreamAnswer,
    LeavingStreams,
    LostMembers,
    UpstreamSnapshot,
)
