"""Time limits of requests in a planned stop of this instance.

A request that is taken gets an answer before the process ends: its own one, a
refusal if it has not run, or else a failure that says that it may have run.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from math import inf
from typing import Final

import trio

from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail

# Time to write the answers that the stop makes, before streams are broken off.
ANSWER_SECONDS: Final = 0.1


class PlannedStop:
    """Ends the requests in progress at the time that the stop sets."""

    def __init__(self) -> None:
        # Whether requests that have not been admitted yet are refused.
        self.refusing = False

        # Time at which requests without an answer are ended, on the local
        # clock in seconds; infinite while no stop is planned.
        self.answers_end_at = inf

        # Scopes of the requests in progress, with the time that each gets
        # beyond the end of the answers, in seconds.
        self.scopes: dict[trio.CancelScope, float] = {}

    def streams_end_at(self) -> float:
        """Return when streams are broken off, on the local clock."""
        return self.answers_end_at + ANSWER_SECONDS

    def begin(self, answers_end_at: float) -> None:
        """Limit the time of all requests, also of those in progress."""
        self.answers_end_at = answers_end_at
        for scope, extra_seconds in self.scopes.items():
            scope.deadline = answers_end_at + extra_seconds

    @contextmanager
    def limit_time(
        self, extra_seconds: float = 0
    ) -> Iterator[trio.CancelScope]:
        """Cancel the block once the answers end, plus ``extra_seconds``."""
        scope = trio.CancelScope(deadline=self.answers_end_at + extra_seconds)
        self.scopes[scope] = extra_seconds
        try:
            with scope:
                yield scope
        finally:
            self.scopes.pop(scope)


def find_stop_failure(*, may_have_run: bool) -> Failure:
    """Return why a request is ended that the stop leaves no time for."""
    if may_have_run:
        detail = 'the instance stopped before the answer was whole'
        return fail(ResultCode.STOPPED_MIDWAY, detail)
    detail = 'the instance stopped before the request ran'
    return fail(ResultCode.DRAINING, detail, ExecutionState.NOT_RUN)
