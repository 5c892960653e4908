"""Messages that distribute release notes and evidence of freshness.

The class names are the kinds on the wire.  ``AskVoice`` and ``VoiceWord``
request and carry the vote of a failure domain.
"""

from typing import NamedTuple

from cranberryrelay.notes import RevisionRecord
from cranberryrelay.platform import ListedInstance


class Subscribe(NamedTuple):
    """Subscribes a child to its parent; also the child's heartbeat."""

    # Increases with each subscription of the child.
    nonce: int

    # Revision that the child has applied.
    revision: int

    # Digest of the child's records; shows whether they are complete.
    digest: str

    # Digest of the list of instances that the child knows.
    members: str

    # Failure domain of the child.
    domain: str


class EvidencePush(NamedTuple):
    """Sends a child the freshest evidence that its parent has."""

    # Nonce of the child's latest subscription.
    nonce: int

    # Time from the parent's receipt of the nonce to the sending of the
    # request that the evidence is based on; negative if the request was
    # sent before the receipt.
    offset_seconds: float

    # Revision of the evidence.
    revision: int


class ChangesPush(NamedTuple):
    """Sends a child the revisions that it lacks, as a delta."""

    # Consecutive revisions in ascending order.
    records: tuple[RevisionRecord, ...]


class SnapshotPush(NamedTuple):
    """Sends a child one piece of a snapshot of all notes in force."""

    # Revision of the snapshot.
    revision: int

    # Index of the piece, from 0.
    piece: int

    # Number of pieces of the snapshot.
    pieces: int

    # This piece of the encoded snapshot.
    body: bytes


class MembersPush(NamedTuple):
    """Sends a child the list of instances."""

    # All instances of the child's domain, and contacts in other domains.
    instances: tuple[ListedInstance, ...]


class AskVoice(NamedTuple):
    """Requests the vote of a failure domain from its voter."""

    # Increases with each request.
    nonce: int


class VoiceWord(NamedTuple):
    """The vote of a failure domain, in response to a request."""

    # Nonce of the request.
    nonce: int

    # Name of the failure domain.
    domain: str

    # Highest revision that the failure domain confirmed.
    confirmed: int
