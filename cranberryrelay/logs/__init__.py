"""Writes the package's logs as JSON lines."""

from cranberryrelay.logs._logs import open_bounded_logs as open_bounded_logs
from cranberryrelay.logs._logs import open_logs as open_logs
