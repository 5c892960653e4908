"""A process that the soak has started, and only such ones."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Final, NamedTuple

import trio

# Time for a process to end after SIGKILL, in seconds.
KILL_SECONDS: Final = 60.0
NO_VARIABLES: Final[Mapping[str, str]] = MappingProxyType({})


class Ending(NamedTuple):
    """How a process ended."""

    # Name of the process.
    name: str

    # Status as the system gives it; negative for a signal.
    status: int

    # The signal that it was sent last; None if none was.
    told: signal.Signals | None

    # Seconds from that signal to the end.
    seconds: float


class Child:
    """A program of this repository in a process of its own."""

    def __init__(
        self,
        name: str,
        command: list[str],
        log: Path,
        variables: Mapping[str, str] = NO_VARIABLES,
    ) -> None:
        self.name = name
        self.command = command
        self.log = log
        self.variables = variables
        self.process: trio.Process | None = None
        self.told: signal.Signals | None = None
        self.told_at = float('-inf')
        self.starts = 0
        self.endings: list[Ending] = []

    async def start(self) -> None:
        """Start the program."""
        self.told = None
        self.starts += 1
        with self.log.open('ab') as stream:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, '-m', *self.command],
                stdout=stream,
                stderr=subprocess.STDOUT,
                env={**os.environ, **self.variables},
            )

    def is_running(self) -> bool:
        """Tell if the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def tell(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is None or not self.is_running():
            return
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self.told = number
            self.told_at = trio.current_time()
        self.process.send_signal(number)

    async def wait(self) -> None:
        """Wait for the end of the process and note it."""
        if self.process is None:
            return
        status = await self.process.wait()
        seconds = trio.current_time() - self.told_at
        self.endings.append(Ending(self.name, status, self.told, seconds))
        self.process = None

    async def kill(self) -> None:
        """End the process at once."""
        self.tell(signal.SIGKILL)
        with trio.fail_after(KILL_SECONDS):
            await self.wait()
