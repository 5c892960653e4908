"""Commands, codec and startup code shared by the programs."""

from cranberryrelay.programs._programs import ProgramCommands as ProgramCommands
from cranberryrelay.programs._programs import Serve as Serve
from cranberryrelay.programs._programs import make_peer_codec as make_peer_codec
from cranberryrelay.programs._programs import (
    read_checked_settings as read_checked_settings,
)
