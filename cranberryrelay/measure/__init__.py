"""Measures policies, routing, agreement, capacity and overhead."""

from cranberryrelay.measure._program import main as main
