"""Writes the package's logs as JSON lines."""

import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue
from typing import Final

from pythonjsonlogger.json import JsonFormatter

# Capacity of the queue that absorbs a slow reader of standard output.
LINES_LIMIT: Final = 10_000
_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


@contextmanager
def open_logs(program: str, instance: str) -> Iterator[None]:
    """Write logs to standard error while the context is open."""
    handler = logging.StreamHandler(sys.stderr)
    static = {'program': program, 'instance': instance}
    handler.setFormatter(JsonFormatter(_FIELDS, static_fields=static))
    with _attach(handler):
        yield


@contextmanager
def open_bounded_logs(instance: str, incarnation: str) -> Iterator[None]:
    """Write logs to standard output without blocking the caller.

    A separate thread writes; lines are dropped while its queue is full.
    """
    lines: Queue[logging.LogRecord] = Queue(LINES_LIMIT)
    writer = logging.StreamHandler(sys.stdout)
    static = {'instance': instance, 'incarnation': incarnation}
    writer.setFormatter(JsonFormatter(_FIELDS, static_fields=static))
    listener = QueueListener(lines, writer)
    listener.start()
    try:
        with _attach(DroppingHandler(lines)):
            yield
    finally:
        listener.stop()


@contextmanager
def _attach(handler: logging.Handler) -> Iterator[None]:
    """Attach a handler to the package's logger while the context is open."""
    logger = logging.getLogger('cranberryrelay')
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield
    finally:
        logger.removeHandler(handler)


class DroppingHandler(QueueHandler):
    """Drops lines while the queue is full and logs how many were dropped."""

    def __init__(self, lines: Queue[logging.LogRecord]) -> None:
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line for the writer thread, or count it as dropped."""
        try:
            if self.dropped:
                self.queue.put_nowait(make_drop_record(self.dropped))
                self.dropped = 0
            self.queue.put_nowait(record)
        except Full:
            self.dropped += 1


def make_drop_record(count: int) -> logging.LogRecord:
    """Make the log record that reports the number of dropped lines."""
    record = logging.LogRecord(
        __name__, logging.WARNING, __file__, 0, 'lines dropped', None, None
    )
    record.count = count
    return record
