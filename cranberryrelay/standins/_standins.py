"""All stand-ins of one program."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberryrelay.standins._engine import EngineStandIn
from cranberryrelay.standins._service import ServiceStandIn
from cranberryrelay.standins._store import StoreStandIn


class StandIns(NamedTuple):
    """The platform, the engines and the services, by port."""

    # The platform's object API.
    store: StoreStandIn

    # Port of the platform.
    platform_port: int

    # Engines by port.
    engines: Mapping[int, EngineStandIn]

    # Services by port.
    services: Mapping[int, ServiceStandIn]

    def find(self, port: int) -> StoreStandIn | EngineStandIn | ServiceStandIn:
        """Return what answers on a port; the store by default."""
        found = self.engines.get(port) or self.services.get(port)
        return found or self.store

    def list_ports(self) -> list[int]:
        """List all ports."""
        return [self.platform_port, *self.engines, *self.services]
