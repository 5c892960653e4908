"""Starts, signals and awaits child processes, and no other processes."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Final, NamedTuple

import trio

# Limit for the exit of a process after SIGKILL.
KILL_TIMEOUT_SECONDS: Final = 60.0
NO_VARIABLES: Final[Mapping[str, str]] = MappingProxyType({})


class ProcessExit(NamedTuple):
    """The exit of a process."""

    # Name of the process.
    name: str

    # Exit status; the negative number of the signal if one ended the process.
    status: int

    # Last SIGTERM or SIGKILL that was sent to it; None if there was none.
    last_signal: signal.Signals | None

    # Seconds from that signal to the exit.
    seconds: float


class ChildProcess:
    """A Python module that runs in a child process and can be restarted."""

    def __init__(
        self,
        name: str,
        command: list[str],
        log: Path,
        variables: Mapping[str, str] = NO_VARIABLES,
        builds: tuple[Path, ...] = (Path(),),
    ) -> None:
        self.name = name
        self.command = command
        self.log = log
        self.variables = variables

        # Folders of the sources that it runs, in turn with each start; the
        # interpreter looks for a module in its folder first.
        self.builds = builds
        self.process: trio.Process | None = None
        self.last_signal: signal.Signals | None = None
        self.signaled_at = float('-inf')
        self.start_count = 0
        self.exits: list[ProcessExit] = []

    async def start(self) -> None:
        """Start the process; its output is appended to the log."""
        self.last_signal = None
        build = self.builds[self.start_count % len(self.builds)]
        self.start_count += 1
        with self.log.open('ab') as stream:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, '-m', *self.command],
                stdout=stream,
                stderr=subprocess.STDOUT,
                cwd=build,
                env={**os.environ, **self.variables},
            )

    def is_running(self) -> bool:
        """Return whether the process has started and not exited."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is None or not self.is_running():
            return
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self.last_signal = number
            self.signaled_at = trio.current_time()
        self.process.send_signal(number)

    async def wait(self) -> None:
        """Wait for the exit of the process and record it."""
        if self.process is None:
            return
        status = await self.process.wait()
        seconds = trio.current_time() - self.signaled_at
        self.exits.append(
            ProcessExit(self.name, status, self.last_signal, seconds)
        )
        self.process = None

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.send_signal(signal.SIGKILL)
        with trio.fail_after(KILL_TIMEOUT_SECONDS):
            await self.wait()
