"""Provides hashes that are the same in every process."""

import hashlib
from typing import Final

_DIGEST_BYTES: Final = 8
_RANGE: Final = float(1 << (8 * _DIGEST_BYTES))


def digest_text(text: str) -> int:
    """Return a 64-bit BLAKE2b digest of a text as an integer."""
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def hash_to_unit_interval(text: str) -> float:
    """Hash a text to a number in [0, 1)."""
    return digest_text(text) / _RANGE
