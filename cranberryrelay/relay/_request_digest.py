"""Identifies a request by what it asks for, whoever sends it and how often."""

import hashlib
from typing import Final

import msgspec

from cranberryrelay.relay._requests import IncomingRequest

_DIGEST_BYTES: Final = 12


def digest_request(request: IncomingRequest) -> str:
    """Return a digest that all attempts of the same request have in common.

    It covers the method, the host, the path with the query, what is asked of a
    model, and the body. Headers differ between attempts.
    """
    head = (request.method, request.host, request.target, request.model_request)
    digest = hashlib.blake2b(
        msgspec.json.encode(head), digest_size=_DIGEST_BYTES
    )
    digest.update(request.body)
    return digest.hexdigest()
