"""A file in which an upstream's process notes what it began."""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec


class BegunRun(NamedTuple):
    """A request that an upstream began to work on."""

    # Id of the request.
    request_id: str

    # Name of the upstream.
    upstream: str

    # Time of day, in seconds since 1970.
    begun_at: float


class RunFile:
    """A file of runs, which is whole after a kill up to its last line."""

    def __init__(self, path: Path, upstream: str) -> None:
        self.path = path
        self.upstream = upstream

    def append(self, request_id: str, /) -> None:
        """Note that a request is begun."""
        run = BegunRun(request_id, self.upstream, time.time())
        with self.path.open('ab') as stream:
            stream.write(b'%s\n' % msgspec.json.encode(run))

    def __iter__(self) -> Iterator[str]:
        """Yield the ids in order."""
        return (run.request_id for run in read_runs(self.path))


def read_runs(path: Path) -> list[BegunRun]:
    """Read a file of runs; a line that was cut off is left out."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b'\n')[:-1]
    return [msgspec.json.decode(line, type=BegunRun) for line in lines]
