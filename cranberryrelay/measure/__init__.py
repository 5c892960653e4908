"""Measurements of the policy, the agreement, capacity and overhead."""

from cranberryrelay.measure._program import main as main
