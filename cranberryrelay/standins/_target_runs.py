"""File in which the process of an upstream logs the requests it starts."""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec


class StartedRun(NamedTuple):
    """A request that an upstream started to execute."""

    # Id of the request.
    request_id: str

    # Name of the upstream that started it.
    upstream: str

    # Time of the start, in seconds since the Unix epoch.
    started_at: float


class RunFile:
    """A file with one run per line.

    A kill of the process can truncate only the last line.
    """

    def __init__(self, path: Path, upstream: str) -> None:
        self.path = path
        self.upstream = upstream

    def append(self, request_id: str, /) -> None:
        """Record that a request is started."""
        run = StartedRun(request_id, self.upstream, time.time())
        with self.path.open('ab') as stream:
            stream.write(b'%s\n' % msgspec.json.encode(run))

    def __iter__(self) -> Iterator[str]:
        """Yield the ids in the order of their start."""
        return (run.request_id for run in read_run_file(self.path))


def read_run_file(path: Path) -> list[StartedRun]:
    """Read a file of runs; ignore a truncated last line."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b'\n')[:-1]
    return [msgspec.json.decode(line, type=StartedRun) for line in lines]
