"""The core protocols in small, proved by z3."""

from cranberryrelay.spec._program import main as main
