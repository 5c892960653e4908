"""Revisions: the publish, amend and withdraw operations in their total order.

A hash chain links each revision to the one before, so a missing or changed
revision is detected.
"""

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
    """An operation on a release note."""

    PUBLISH = 'publish'
    AMEND = 'amend'
    WITHDRAW = 'withdraw'


class RevisionRecord(NamedTuple):
    """One entry of the totally ordered history of release notes."""

    # Position in the history, from 1.
    revision: int

    # Operation on the release note, a value of ``NoteAction``.
    action: str

    # Name of the release note.
    note: str

    # Content of the release note; None when it is withdrawn.
    content: NoteContent | None

    # Idempotency key chosen by the operator's tool: an operation with the
    # same key is never applied twice.
    operation_id: str

    # Name of the operator.
    operator: str

    # Time of the operation by the operator's clock, in seconds of UTC.
    written_at: float

    # Digest of all records after this revision is applied.
    digest: str

    # Hash-chain digest over the previous chain digest and this entry.
    chain: str


def compute_chain_digest(previous_chain: str, record: RevisionRecord) -> str:
    """Compute the chain digest of a record that follows ``previous_chain``."""
    body = msgspec.json.encode(record._replace(chain=''), order='sorted')
    return hashlib.sha256(previous_chain.encode() + body).hexdigest()


def encode_revision(record: RevisionRecord) -> bytes:
    """Encode a revision for the object API."""
    return encode_record(record)


def decode_revision(body: bytes) -> Result[RevisionRecord, Failure]:
    """Decode a revision.

    Errors: ``FRAME_MALFORMED`` if the body is not a revision.
    """
    return decode_record(body, RevisionRecord)
