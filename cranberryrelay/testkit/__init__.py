"""Helpers of the tests."""

from cranberryrelay.testkit._invariants import (
    find_conflicting_orders as find_conflicting_orders,
)
from cranberryrelay.testkit._invariants import find_cut_work as find_cut_work
from cranberryrelay.testkit._invariants import (
    find_double_holders as find_double_holders,
)
from cranberryrelay.testkit._invariants import (
    find_stale_admissions as find_stale_admissions,
)
from cranberryrelay.testkit._local_network import HEAD_KEY as HEAD_KEY
from cranberryrelay.testkit._local_network import STEP_SECONDS as STEP_SECONDS
from cranberryrelay.testkit._local_network import Instance as Instance
from cranberryrelay.testkit._local_network import Landed as Landed
from cranberryrelay.testkit._local_network import ListChange as ListChange
from cranberryrelay.testkit._local_network import LocalNetwork as LocalNetwork
from cranberryrelay.testkit._local_network import OrderedEngine as OrderedEngine
from cranberryrelay.testkit._local_network import Origin as Origin
from cranberryrelay.testkit._local_network import Posted as Posted
from cranberryrelay.testkit._local_network import ToEntry as ToEntry
from cranberryrelay.testkit._local_network import carry_out as carry_out
from cranberryrelay.testkit._profiles import STEADY as STEADY
from cranberryrelay.testkit._sites import FIRST_ENGINE_PORT as FIRST_ENGINE_PORT
from cranberryrelay.testkit._sites import FIRST_PEER_PORT as FIRST_PEER_PORT
from cranberryrelay.testkit._sites import NOTE_BODY as NOTE_BODY
from cranberryrelay.testkit._sites import NOTE_HEAD as NOTE_HEAD
from cranberryrelay.testkit._sites import make_command as make_command
from cranberryrelay.testkit._sites import make_content as make_content
from cranberryrelay.testkit._sites import make_sites as make_sites
