"""Small specifications of the core protocols, proved with z3."""

from cranberryrelay.spec._program import main as main
