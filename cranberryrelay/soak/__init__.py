"""A randomized soak of the real programs with faults from outside."""

from cranberryrelay.soak._program import main as main
from cranberryrelay.soak._run import SoakPlan as SoakPlan
from cranberryrelay.soak._run import SoakReport as SoakReport
from cranberryrelay.soak._run import run_soak as run_soak
