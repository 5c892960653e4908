"""The set of stand-ins that one program serves."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberryrelay.standins._engine import EngineStandIn
from cranberryrelay.standins._service import ServiceStandIn
from cranberryrelay.standins._store import StoreStandIn


class StandIns(NamedTuple):
    """A platform, engines and services, each listening on its own port."""

    # Store with the platform's object API.
    store: StoreStandIn

    # Port of the object API.
    platform_port: int

    # Engines by port.
    engines: Mapping[int, EngineStandIn]

    # Services by port.
    services: Mapping[int, ServiceStandIn]

    def find_by_port(
        self, port: int
    ) -> StoreStandIn | EngineStandIn | ServiceStandIn:
        """Return the stand-in for a port; the store for any other port."""
        found = self.engines.get(port) or self.services.get(port)
        return found or self.store

    def list_ports(self) -> list[int]:
        """List the ports of all stand-ins."""
        return [self.platform_port, *self.engines, *self.services]
