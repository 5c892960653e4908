"""HTTP connections that are used for one request after another.

A server may close an idle connection, or write to it, at any time.  A request
that meets this on its way may have run for all that its sender knows.  So a
connection is looked at once more right before the first byte of a request: if
the server has closed it or written to it by then, the request has certainly
not been sent and goes out on another connection.
"""

from collections.abc import Iterable
from typing import Any, Final

import httpcore
import httpx

from cranberryrelay.wire._keep_alive import KEEP_ALIVE_OPTIONS

_IS_READABLE: Final = 'is_readable'


class UnsentRequestError(httpx.ConnectError):
    """The server ended a new connection before a request was sent on it."""


class KeptStream(httpcore.AsyncNetworkStream):
    """Byte stream of a connection on which requests and answers alternate."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self.stream = stream

        # Whether a request has been sent of whose answer nothing was read.
        self.is_sending = False

        # Whether an answer has been read before.
        self.is_reused = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes of an answer."""
        received = await self.stream.read(max_bytes, timeout)
        self.is_sending = False
        self.is_reused = True
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write some bytes of a request.

        Raises ``httpcore.ConnectionNotAvailable``, after which the pool uses
        another connection, or ``UnsentRequestError`` if this one is new.
        """
        if not self.is_sending:
            self.check_idle()
            self.is_sending = True
        await self.stream.write(buffer, timeout)

    def check_idle(self) -> None:
        """Raise if the server has closed the connection or written to it."""
        if not self.get_extra_info(_IS_READABLE):
            return
        if self.is_reused:
            raise httpcore.ConnectionNotAvailable
        raise UnsentRequestError('closed before the request was sent')

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what is known of the connection, see ``httpcore``."""
        return self.stream.get_extra_info(info)


class _Backend(httpcore.AsyncNetworkBackend):
    def __init__(self) -> None:
        self.backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self.backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return KeptStream(stream)


class KeptConnectionTransport(httpx.AsyncHTTPTransport):
    """HTTP transport for requests that may have to run only once."""

    def __init__(self, limits: httpx.Limits) -> None:
        super().__init__(limits=limits, trust_env=False)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            socket_options=KEEP_ALIVE_OPTIONS,
            network_backend=_Backend(),
        )
