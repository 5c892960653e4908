"""Exit statuses and incarnations of processes."""

import uuid
from typing import Final

INCARNATION_DIGITS: Final = 8
INVALID_SETTINGS_EXIT_STATUS: Final = 2


def make_incarnation() -> str:
    """Make a random id that identifies one run of a process."""
    return uuid.uuid4().hex[:INCARNATION_DIGITS]
