"""Records of requests that were taken and not answered whole."""

import logging
from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final, NamedTuple

import trio

# Log lines on unanswered requests that a process writes within a second.
LINES_PER_SECOND_LIMIT: Final = 20
_DIGITS: Final = 3
_LOG: Final = logging.getLogger('cranberryrelay.serving')


class EndReason(StrEnum):
    """Why a connection has ended."""

    # The caller closed or reset it, or the network did.
    CALLER_CLOSED = 'caller closed'

    # It was idle for too long.
    IDLE_LIMIT = 'idle limit'

    # The head of a request took too long.
    HEAD_LIMIT = 'head limit'

    # What arrived was no request.
    MALFORMED = 'malformed request'

    # The server was stopped.
    PLANNED_STOP = 'planned stop'

    # The app or the server failed.
    INTERNAL_ERROR = 'internal error'


class UnansweredRequest(NamedTuple):
    """A request that was taken and whose answer was not sent whole."""

    # ASGI scope of the request.
    scope: Any

    # Seconds since its head was read.
    age_seconds: float

    # Why its connection ended.
    reason: EndReason

    # Error that the app raised; empty if it raised none.
    detail: str


# Receives each request that was taken and not answered whole.
UnansweredObserver = Callable[[UnansweredRequest], None]


class AnswerState:
    """How far the answer to a request has got."""

    def __init__(self) -> None:
        # Whether its head has been sent.
        self.begun = False

        # Whether it has been sent whole.
        self.complete = False

        # Error that the app raised; empty if it raised none.
        self.detail = ''


class LineLimit:
    """Limits the log lines of a second."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.second = 0
        self.written = 0
        self.left_out = 0

    def take(self, now: float) -> bool:
        """Return whether a line may be written at a time in seconds."""
        if int(now) != self.second:
            self.second = int(now)
            self.written = 0
        self.written += 1
        if self.written <= self.limit:
            return True
        self.left_out += 1
        return False


class UnansweredLog:
    """Writes a line for each request that was not answered."""

    def __init__(self) -> None:
        self.lines = LineLimit(LINES_PER_SECOND_LIMIT)

    def write(self, unanswered: UnansweredRequest, **extra: object) -> None:
        """Write a line, unless there were too many in this second."""
        if not self.lines.take(trio.current_time()):
            return
        _LOG.info(
            'request not answered',
            extra={
                'path': unanswered.scope['path'],
                'reason': unanswered.reason,
                'age_seconds': round(unanswered.age_seconds, _DIGITS),
                'detail': unanswered.detail,
                'lines_left_out': self.lines.left_out,
                **extra,
            },
        )
        self.lines.left_out = 0
