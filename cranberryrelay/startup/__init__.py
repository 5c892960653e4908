"""What every program needs as it starts, without any other import."""

from cranberryrelay.startup._startup import (
    INCARNATION_DIGITS as INCARNATION_DIGITS,
)
from cranberryrelay.startup._startup import (
    INVALID_SETTINGS_EXIT_STATUS as INVALID_SETTINGS_EXIT_STATUS,
)
from cranberryrelay.startup._startup import make_incarnation as make_incarnation
