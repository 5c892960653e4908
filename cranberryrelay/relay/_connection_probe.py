"""Opens a connection to an upstream to learn whether its process still runs."""

import logging
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from cranberryrelay.timing import limit_time

# A connection normally opens within a few round trips.
PROBE_SECONDS: Final = 0.25
_LOG: Final = logging.getLogger('cranberryrelay.relay')

# Returns whether a connection to an 'IP:port' is accepted; None if there is no
# answer, which says nothing about the process.
ConnectionProbe = Callable[[str], Awaitable[bool | None]]


async def probe_connection(address: str) -> bool | None:
    """Open and close a connection; see ``ConnectionProbe``."""
    host, _, port = address.rpartition(':')
    with limit_time(PROBE_SECONDS), trio.socket.socket() as probe:
        try:
            await probe.connect((host, int(port)))
        except ConnectionError:
            return False
        except OSError as error:
            _LOG.info(
                'probe failed',
                extra={'address': address, 'detail': repr(error)},
            )
            return None
        return True
    return None
