"""A digest over all records in canonical order, kept up to date cheaply.

RFC 8976 binds a serial number to a digest over content in canonical order
and recalculates it whole at each change.  Here the records are spread over
buckets by the hash of their key; a change hashes one bucket and the list
of bucket digests again, and two instances that differ can tell in which
buckets.  Both forms give the same value.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import msgspec

BUCKET_COUNT: Final = 256
_EMPTY: Final = hashlib.sha256(b'').digest()
_ENCODER: Final = msgspec.json.Encoder(order='sorted')


def bucket_of(key: str) -> int:
    """Return the bucket of a record key, 0 to ``BUCKET_COUNT`` - 1."""
    return hashlib.sha256(key.encode()).digest()[0]


class RecordDigest:
    """The digest of a set of records, updated record by record."""

    def __init__(self) -> None:
        self.buckets: list[dict[str, bytes]] = [{} for _ in range(BUCKET_COUNT)]
        self.bucket_digests: list[bytes] = [_EMPTY for _ in range(BUCKET_COUNT)]

    def update(
        self, changes: Iterable[tuple[str, Mapping[str, Any] | None]]
    ) -> None:
        """Take in changed records; ``None`` stands for a removed one."""
        touched: set[int] = set()
        for key, fields in changes:
            index = bucket_of(key)
            touched.add(index)
            if fields is None:
                self.buckets[index].pop(key, None)
            else:
                self.buckets[index][key] = _ENCODER.encode([key, fields])
        for index in touched:
            self.bucket_digests[index] = _digest_bucket(self.buckets[index])

    def value(self) -> str:
        """Return the digest of all records, in hexadecimal."""
        return hashlib.sha256(b''.join(self.bucket_digests)).hexdigest()


def digest_records(records: Mapping[str, Mapping[str, Any]]) -> str:
    """Compute the digest of all records from nothing, in hexadecimal."""
    digest = RecordDigest()
    digest.update(records.items())
    return digest.value()


def _digest_bucket(bucket: Mapping[str, bytes]) -> bytes:
    if not bucket:
        return _EMPTY
    canonical = b'\n'.join(bucket[key] for key in sorted(bucket))
    return hashlib.sha256(canonical).digest()


def digest_text(text: str) -> str:
    """Return the SHA-256 of a text, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
