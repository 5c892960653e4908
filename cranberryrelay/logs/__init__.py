"""Logs as JSON lines."""

from cranberryrelay.logs._logs import open_logs as open_logs
