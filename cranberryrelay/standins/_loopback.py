"""Address and ports on which stand-ins and tests listen."""

from typing import Final

LOOPBACK: Final = '127.0.0.1'

# Below the range of ephemeral ports, which the operating system assigns to
# outgoing connections.
FIRST_PORT: Final = 20_000
LAST_PORT: Final = 32_000
