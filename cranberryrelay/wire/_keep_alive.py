"""TCP keep-alive options that tell a dead connection from a slow peer."""

import socket
from typing import Final

# A connection without acknowledgements is closed after about three seconds.
IDLE_SECONDS: Final = 1
PROBE_SECONDS: Final = 1
PROBES: Final = 2
UNACKNOWLEDGED_MS: Final = 3000

KEEP_ALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)
