"""Program that serves one stand-in of the target platform per process."""

from pathlib import Path
from typing import Any

import fire
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from cranberryrelay.standins._loopback import LOOPBACK
from cranberryrelay.standins._target_engine import (
    TargetEngineStandIn,
    make_target_engine_app,
)
from cranberryrelay.standins._target_runs import RunFile
from cranberryrelay.standins._target_store import (
    TargetStoreStandIn,
    make_target_store_app,
)


class TargetStandInCommands:
    """Commands that serve a stand-in of the target platform."""

    def store(self, port: int) -> None:
        """Serve an initially empty store."""
        trio.run(_serve, make_target_store_app(TargetStoreStandIn()), port)

    def upstream(self, name: str, role: str, port: int, runs: str) -> None:
        """Serve an engine or a plain service; log its runs in a file."""
        run_log = RunFile(Path(runs), name)
        engine = TargetEngineStandIn(name, role, run_log)
        engine.echo_request_ids = True
        trio.run(_serve, make_target_engine_app(engine), port)


async def _serve(app: Any, port: int) -> None:
    config = Config()
    config.bind = [f'{LOOPBACK}:{port}']
    config.keep_alive_max_requests = 1_000_000
    config.accesslog = None
    config.errorlog = None
    await serve(app, config, shutdown_trigger=trio.sleep_forever)


def main() -> None:
    """Run the command line of the program."""
    fire.Fire(TargetStandInCommands)


if __name__ == '__main__':
    main()
