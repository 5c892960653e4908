"""A digest over all records as canonical JSON, updated incrementally.

RFC 8976 binds a serial number to a digest over content in canonical order
and recomputes it over the whole content at each change.  Here the records
are distributed over buckets by the hash of their key.  A change rehashes one
bucket and the list of bucket digests, and two instances whose digests differ
can determine in which buckets.  Updating the digest and computing it over all
records give the same value.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import msgspec

BUCKET_COUNT: Final = 256
_EMPTY_BUCKET_DIGEST: Final = hashlib.sha256(b'').digest()
_CANONICAL_ENCODER: Final = msgspec.json.Encoder(order='sorted')


def bucket_of(key: str) -> int:
    """Return the bucket of a record key, 0 to ``BUCKET_COUNT`` - 1."""
    return hashlib.sha256(key.encode()).digest()[0]


class RecordDigest:
    """The digest of a set of records, updated incrementally."""

    def __init__(self) -> None:
        self.buckets: list[dict[str, bytes]] = [{} for _ in range(BUCKET_COUNT)]
        self.bucket_digests: list[bytes] = [
            _EMPTY_BUCKET_DIGEST for _ in range(BUCKET_COUNT)
        ]

    def update(
        self, changes: Iterable[tuple[str, Mapping[str, Any] | None]]
    ) -> None:
        """Apply changed records; ``None`` as the fields removes a record."""
        changed_buckets: set[int] = set()
        for key, fields in changes:
            index = bucket_of(key)
            changed_buckets.add(index)
            if fields is None:
                self.buckets[index].pop(key, None)
            else:
                self.buckets[index][key] = _CANONICAL_ENCODER.encode(
                    [key, fields]
                )
        for index in changed_buckets:
            self.bucket_digests[index] = _digest_bucket(self.buckets[index])

    def hexdigest(self) -> str:
        """Return the digest of all records, in hexadecimal."""
        return hashlib.sha256(b''.join(self.bucket_digests)).hexdigest()


def digest_records(records: Mapping[str, Mapping[str, Any]]) -> str:
    """Compute the digest of all records from scratch, in hexadecimal."""
    digest = RecordDigest()
    digest.update(records.items())
    return digest.hexdigest()


def _digest_bucket(bucket: Mapping[str, bytes]) -> bytes:
    if not bucket:
        return _EMPTY_BUCKET_DIGEST
    canonical = b'\n'.join(bucket[key] for key in sorted(bucket))
    return hashlib.sha256(canonical).digest()


def digest_text(text: str) -> str:
    """Return the SHA-256 of a UTF-8 text, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
