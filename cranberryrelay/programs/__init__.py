"""Commands, codec and startup code shared by the programs."""

from cranberryrelay.programs._programs import (
    INCARNATION_DIGITS as INCARNATION_DIGITS,
)
from cranberryrelay.programs._programs import (
    INVALID_SETTINGS_EXIT_STATUS as INVALID_SETTINGS_EXIT_STATUS,
)
from cranberryrelay.programs._programs import ProgramCommands as ProgramCommands
from cranberryrelay.programs._programs import Serve as Serve
from cranberryrelay.programs._programs import (
    make_incarnation as make_incarnation,
)
from cranberryrelay.programs._programs import make_peer_codec as make_peer_codec
from cranberryrelay.programs._programs import (
    read_checked_settings as read_checked_settings,
)
