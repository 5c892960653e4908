"""What an instance does about the other instances of the fleet."""

from cranberryrelay.relay.peers._stale_registrations import (
    StaleRegistrations as StaleRegistrations,
)
