"""Keeps the tasks of an instance running after unexpected errors.

An error that ends one task must not end the process: that would cut all of its
running requests. Errors of the listening sockets at the start do end it.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay._telemetry import RelayTelemetry
from cranberryrelay.timing import TimerService

# Time until a task is started again; doubled each time up to the longest one.
FIRST_RESTART_SECONDS: Final = 0.1
LONGEST_RESTART_SECONDS: Final = 2.0

# A task that has run for this long is started again after the first time.
SOUND_RUN_SECONDS: Final = 10.0
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class SupervisedTask(NamedTuple):
    """A task that is started again when it fails."""

    # Name for logs and metrics.
    name: str

    # Runs the task. It is called again after an error, so what the task knows
    # must not be kept in its local variables alone.
    run: Callable[[], Awaitable[None]]


class Supervisor:
    """Runs tasks; each belongs to the task that calls ``keep_running``."""

    def __init__(self, telemetry: RelayTelemetry, timers: TimerService) -> None:
        self.telemetry = telemetry
        self.timers = timers

    async def keep_running(self, task: SupervisedTask) -> None:
        """Run a task until it returns; start it again after an error."""
        delay = FIRST_RESTART_SECONDS
        while True:
            started_at = self.timers.now()
            try:
                await task.run()
            except Exception:
                age = self.timers.now() - started_at
                if age >= SOUND_RUN_SECONDS:
                    delay = FIRST_RESTART_SECONDS
                self.record_failure(task.name, age, delay)
            else:
                return
            await self.timers.pause(delay)
            delay = min(2 * delay, LONGEST_RESTART_SECONDS)

    def record_failure(self, name: str, age: float, delay: float) -> None:
        """Count a failure and log it with the error that is being handled."""
        self.telemetry.count_task_failure(name)
        _LOG.exception(
            'task failed',
            extra={
                'task_name': name,
                'code': ResultCode.TASK_FAILED.value,
                'ran_seconds': round(age, 3),
                'restart_seconds': delay,
            },
        )
