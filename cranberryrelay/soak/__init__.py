"""Randomized soak test of the real programs with fault injection."""

from cranberryrelay.soak._callers import CallerPool as CallerPool
from cranberryrelay.soak._callers import Target as Target
from cranberryrelay.soak._callers import open_caller as open_caller
from cranberryrelay.soak._evidence import RequestKind as RequestKind
from cranberryrelay.soak._layout import open_layout as open_layout
from cranberryrelay.soak._program import main as main
from cranberryrelay.soak._run import SoakPlan as SoakPlan
from cranberryrelay.soak._run import SoakReport as SoakReport
from cranberryrelay.soak._run import run_soak as run_soak
from cranberryrelay.soak._site import RELAY_COMMAND as RELAY_COMMAND
from cranberryrelay.soak._site import Site as Site
from cranberryrelay.soak._site import open_site as open_site
