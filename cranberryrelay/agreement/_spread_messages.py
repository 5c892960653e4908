"""Messages that spread release notes and the evidence for them."""

from typing import NamedTuple

from cranberryrelay.notes import RevisionRecord
from cranberryrelay.platform import ListedInstance


class Subscribe(NamedTuple):
    """A child asks its parent to be fed; also the child's heartbeat."""

    # Rises with each subscription of the child.
    nonce: int

    # Revision that the child has applied.
    revision: int

    # Digest of the child's records, to prove it holds the whole.
    digest: str

    # Digest of the list of instances that the child knows.
    members: str

    # Failure domain of the child.
    domain: str


class EvidencePush(NamedTuple):
    """A parent tells its child the freshest evidence that it has."""

    # The child's latest nonce.
    nonce: int

    # Seconds from the parent's receipt of the nonce to the sending of the
    # question behind the evidence; negative when it was sent before.
    offset_seconds: float

    # Highest revision that the evidence shows.
    revision: int


class ChangesPush(NamedTuple):
    """A parent gives its child the revisions that the child lacks."""

    # Revisions in rising order without gaps.
    records: tuple[RevisionRecord, ...]


class SnapshotPush(NamedTuple):
    """A parent gives its child a piece of all notes in force."""

    # Revision that the snapshot stands for.
    revision: int

    # Place of the piece, from 0, and how many there are.
    piece: int
    pieces: int

    # Bytes of the encoded snapshot.
    body: bytes


class MembersPush(NamedTuple):
    """A parent gives its child the list of instances."""

    # The child's domain in whole and contacts in the other domains.
    instances: tuple[ListedInstance, ...]


class AskVoice(NamedTuple):
    """Ask whoever speaks for a failure domain what it confirmed."""

    # Rises with each question.
    nonce: int


class VoiceWord(NamedTuple):
    """What the voice of a failure domain confirmed."""

    # Nonce of the question.
    nonce: int

    # The failure domain.
    domain: str

    # Highest revision confirmed.
    confirmed: int
