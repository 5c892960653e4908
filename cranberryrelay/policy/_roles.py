"""The planner of roles: prefill, decode or mixed."""

from collections.abc import Mapping
from typing import Any


class RolePlanner:
    """Decides which role each engine of a cell should have."""

    def plan(
        self,
        roles: Mapping[str, str],
        rule: Mapping[str, Any],
        now: float,
    ) -> dict[str, str]:
        """Return the wanted role of each engine, by name."""
        return {name: role or 'mixed' for name, role in roles.items()}
