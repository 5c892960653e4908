"""Program that serves the stand-ins described by one TOML file."""

import sys
import tomllib
from pathlib import Path
from typing import Any

import fire
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from cranberryrelay.platform import ListedInstance
from cranberryrelay.standins._engine import EngineSpeed, EngineStandIn
from cranberryrelay.standins._http_app import make_standins_app
from cranberryrelay.standins._service import ServiceStandIn
from cranberryrelay.standins._standins import StandIns
from cranberryrelay.standins._store import StoreStandIn


def read_standins(document: dict[str, Any]) -> StandIns:
    """Build the stand-ins that a TOML document describes."""
    instances = tuple(
        ListedInstance(**fields) for fields in document.get('instances', [])
    )
    speed = EngineSpeed(**document.get('speed', {}))
    engines: dict[int, EngineStandIn] = {}
    for fields in document.get('engines', []):
        engine = EngineStandIn(fields['name'], speed)
        engine.switch_faults(fields.get('faults', {}))
        engines[fields['port']] = engine
    services = {
        fields['port']: ServiceStandIn(fields['name'])
        for fields in document.get('services', [])
    }
    store = StoreStandIn(instances)
    return StandIns(store, document['platform_port'], engines, services)


async def serve_standins(
    standins: StandIns, stop: trio.Event | None = None
) -> None:
    """Serve stand-ins on loopback until ``stop`` is set; without it forever."""
    config = Config()
    config.bind = [f'127.0.0.1:{port}' for port in standins.list_ports()]
    config.graceful_timeout = 0.2
    config.accesslog = None
    config.errorlog = None
    app = make_standins_app(standins)
    wait_for_stop = (stop or trio.Event()).wait
    await serve(app, config, shutdown_trigger=wait_for_stop)


def run_standins(path: str) -> None:
    """Serve the stand-ins that the TOML file at ``path`` describes."""
    standins = read_standins(tomllib.loads(Path(path).read_text()))
    sys.stdout.write(f'stand-ins on ports {standins.list_ports()}\n')
    sys.stdout.flush()
    trio.run(serve_standins, standins)


def main() -> None:
    """Run the command line of the stand-in program."""
    fire.Fire(run_standins)
