"""Logs as JSON lines on standard error."""

import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager

from pythonjsonlogger.json import JsonFormatter

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


@contextmanager
def open_logs(program: str, instance: str) -> Iterator[None]:
    """Write the package's logs as JSON lines while the context is open."""
    handler = logging.StreamHandler(sys.stderr)
    static = {'program': program, 'instance': instance}
    handler.setFormatter(JsonFormatter(_FIELDS, static_fields=static))
    logger = logging.getLogger('cranberryrelay')
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield
    finally:
        logger.removeHandler(handler)
