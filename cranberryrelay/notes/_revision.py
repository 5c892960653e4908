"""A revision: one publish, amend or withdraw in the total order."""

import hashlib
from enum import StrEnum
from typing import Final, NamedTuple

import msgspec
from result import Result

from cranberryrelay.codes import Failure
from cranberryrelay.notes._release_note import NoteContent
from cranberryrelay.records import decode_record, encode_record

GENESIS_CHAIN: Final = hashlib.sha256(b'').hexdigest()


class NoteAction(StrEnum):
    """What an operator did with a release note."""

    PUBLISH = 'publish'
    AMEND = 'amend'
    WITHDRAW = 'withdraw'


class RevisionRecord(NamedTuple):
    """One entry of the totally ordered history of revisions."""

    # Position in the history, from 1.
    revision: int

    # What the operator did.
    action: str

    # Name of the release note.
    note: str

    # Content of the release note; None when it is withdrawn.
    content: NoteContent | None

    # Chosen by the operator's tool; the same one is never applied twice.
    operation_id: str

    # Who did it.
    operator: str

    # When it was written, in seconds of UTC by the operator's clock.
    written_at: float

    # Digest of all records once this revision is applied.
    digest: str

    # Digest that chains this entry to the one before.
    chain: str


def chain_revision(previous_chain: str, record: RevisionRecord) -> str:
    """Compute the chain digest of a record after ``previous_chain``."""
    body = msgspec.json.encode(record._replace(chain=''), order='sorted')
    return hashlib.sha256(previous_chain.encode() + body).hexdigest()


def encode_revision(record: RevisionRecord) -> bytes:
    """Encode a revision for the object API."""
    return encode_record(record)


def decode_revision(body: bytes) -> Result[RevisionRecord, Failure]:
    """Decode a revision; ``FRAME_MALFORMED`` if it is none."""
    return decode_record(body, RevisionRecord)
