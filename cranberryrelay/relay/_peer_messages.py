"""Messages between instances."""

from typing import Any, NamedTuple

from cranberryrelay.relay._backlog import EngineLoad
from cranberryrelay.relay._catalogue import Role
from cranberryrelay.relay._news import News
from cranberryrelay.relay._roster import Place


class Hello(NamedTuple):
    """Makes an instance known to another; answered by a hello."""

    # Where the sender is.
    place: Place

    # Instances that the receiver may not know, by name.
    known: dict[str, Place]

    # True if an answer is wanted.
    answer: bool


class LoadBeat(NamedTuple):
    """What the sender has under way, and how new its knowledge is."""

    # Work sent to engines that has not ended.
    loads: dict[str, EngineLoad]

    # What the sender has found out since the beat before.
    news: News

    # Revision of the release note in force at the sender.
    revision: int

    # Revision of the store up to which the sender knows the upstreams.
    upstream_revision: int


class GroupBeat(NamedTuple):
    """What a hub tells its members and the hubs of other failure domains."""

    # To a member: work sent by all others.  To a hub: by the sender's failure
    # domain.
    loads: dict[str, EngineLoad]

    # What was found out since the beat before.
    news: News

    # Revision of the release note in force at the sender.
    revision: int

    # Revision of the store up to which the sender knows the upstreams.
    upstream_revision: int

    # Living instances.  To a member: of the fleet.  To a hub: of the sender's
    # failure domain.
    instances: int

    # True if the store answers the sender or another hub.
    in_touch: bool


class NoteShare(NamedTuple):
    """The release note in force at the sender, as the store holds it."""

    # Its value, as plain JSON types.
    value: Any


class UpstreamShare(NamedTuple):
    """Changes of upstreams that the receiver does not know yet."""

    # Entries as (name, revision, value).
    changed: list[tuple[str, int, Any]]

    # Names of entries that were removed.
    removed: list[str]

    # Revision of the store after which these are all changes.
    after: int

    # Revision of the store up to which these are all changes.
    revision: int


class EngineChanging(NamedTuple):
    """An engine was ordered to change its role and takes no work."""

    # Name of the engine's incarnation.
    engine: str

    # Role that it will have; None if the order's outcome is not known.
    role: Role | None = None


class Farewell(NamedTuple):
    """The sender is about to stop."""

    # Its address.
    address: str


PEER_MESSAGE_TYPES: Any = (
    Hello,
    LoadBeat,
    GroupBeat,
    NoteShare,
    UpstreamShare,
    EngineChanging,
    Farewell,
)
