"""Randomized soak test of the real programs with fault injection."""

from cranberryrelay.soak._program import main as main
from cranberryrelay.soak._run import SoakPlan as SoakPlan
from cranberryrelay.soak._run import SoakReport as SoakReport
from cranberryrelay.soak._run import run_soak as run_soak
