"""A serving system for a fixed fleet, driven by release notes."""
