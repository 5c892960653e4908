"""Child processes that run the sources of two builds in turn."""

import tempfile
from pathlib import Path
from unittest import TestCase

import trio

from cranberryrelay.soak._child import ChildProcess

PROBE = 'print({name!r}, flush=True)\n'
STARTS = 3


class BuildTest(TestCase):
    """Each start runs the next build."""

    # Guards against a run with two builds in which only one of them runs.
    def test_builds_take_turns(self) -> None:
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            builds = (folder / 'old', folder / 'new')
            for build in builds:
                build.mkdir()
                probe = PROBE.format(name=build.name)
                (build / 'build_probe.py').write_text(probe)
            log = folder / 'log'
            trio.run(
                run_starts,
                ChildProcess('x', ['build_probe'], log, builds=builds),
            )
            self.assertEqual(log.read_text().split(), ['old', 'new', 'old'])


async def run_starts(child: ChildProcess) -> None:
    """Start a process a few times, one after the other."""
    for _ in range(STARTS):
        await child.start()
        await child.wait()
