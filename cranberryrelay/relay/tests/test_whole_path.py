"""End-to-end tests: two instances, a store and engines on loopback.

Guards against broken streams and second runs when an engine fails, release
notes that are not applied or are lost while the store is unavailable, and
planned stops that break requests or lose their records.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final, NamedTuple
from unittest import TestCase

import httpx
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from nose2.tools import params

from cranberryrelay.platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAM_KIND,
    open_engine_control,
    open_target_store,
)
from cranberryrelay.relay import (
    InstanceSettings,
    read_archived_note,
    serve_relay,
)
from cranberryrelay.relay._account_reader import explain_request
from cranberryrelay.relay.tests.fixtures import (
    make_settings,
    pick_port,
)
from cranberryrelay.relay_instance import make_dependencies
from cranberryrelay.standins import (
    LOOPBACK,
    TargetEngineFaults,
    TargetEngineStandIn,
    TargetStoreFaults,
    TargetStoreStandIn,
    make_target_engine_app,
    make_target_store_app,
)

START_SECONDS: Final = 15.0
RETRY_SECONDS: Final = 0.2
WHOLE: Final = b''.join(
    b'id: %d\ndata: token\n\n' % number for number in range(1, 7)
)
ROLES: Final = ('prefill', 'prefill', 'decode', 'decode')


class Deployment(NamedTuple):
    """Handles to the running parts of the deployment."""

    # Store stand-in.
    store: TargetStoreStandIn

    # URL of the store.
    store_url: str

    # Engine stand-ins by name.
    engines: dict[str, TargetEngineStandIn]

    # Address for callers, by instance name.
    fronts: dict[str, str]

    # Event that starts a planned stop, by instance name.
    stops: dict[str, trio.Event]


def make_note(version: int, path_prefix: str = '/a/') -> dict[str, Any]:
    """Make a release note with one route to the engines."""
    route = {
        'name': 'r',
        'host': 'a.example',
        'path_prefix': path_prefix,
        'kind': 'streaming',
        'service': 's',
        'timeout_ms': 5000,
        'target_latency_ms': 250,
        'gap_aim_ms': 150,
        'priority': 0,
    }
    engine = {'slots': 64, 'kv_capacity_tokens': 400_000}
    service = {'name': 's', 'engine': engine}
    return {'version': version, 'routes': [route], 'services': [service]}


async def serve_app(app: Any, port: int) -> None:
    """Serve a stand-in on a loopback port."""
    config = Config()
    config.bind = [f'{LOOPBACK}:{port}']
    config.accesslog = None
    config.errorlog = None
    await serve(app, config, shutdown_trigger=trio.sleep_forever)


async def run_instance(settings: InstanceSettings, stop: trio.Event) -> None:
    """Run one instance until ``stop`` is set."""
    async with (
        open_target_store(settings.store_url) as store,
        open_engine_control() as control,
    ):
        channel = trio.open_memory_channel[InstanceSettings](0)
        parts = make_dependencies(settings, store, control, '1', channel[1])
        await serve_relay(parts, stop)


@asynccontextmanager
async def run_deployment() -> AsyncIterator[Deployment]:
    """Run the stand-ins and two instances until the context ends."""
    store = TargetStoreStandIn()
    store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, make_note(3))
    store_port = pick_port()
    deployment = Deployment(
        store, f'http://{LOOPBACK}:{store_port}', {}, {}, {}
    )
    async with trio.open_nursery() as nursery:
        app = make_target_store_app(store)
        nursery.start_soon(serve_app, app, store_port)
        for idx, role in enumerate(ROLES):
            engine = TargetEngineStandIn(f'{role}-{idx}', role)
            deployment.engines[engine.name] = engine
            port = pick_port()
            store.put(UPSTREAM_KIND, engine.name, make_entry(engine, port))
            app = make_target_engine_app(engine)
            nursery.start_soon(serve_app, app, port)
        for name in ('front-a', 'front-b'):
            settings = make_instance_settings(name, deployment.store_url)
            deployment.fronts[name] = settings.front_address
            deployment.stops[name] = trio.Event()
            nursery.start_soon(run_instance, settings, deployment.stops[name])
        await wait_until_serving(deployment)
        yield deployment
        nursery.cancel_scope.cancel()


def make_entry(engine: TargetEngineStandIn, port: int) -> dict[str, Any]:
    """Make the store record of an engine."""
    return {
        'service': 's',
        'address': f'{LOOPBACK}:{port}',
        'zone': 'a',
        'slots': 64,
        'state': 'ready',
        'stage': engine.role,
        'born': 1,
    }


def make_instance_settings(name: str, store_url: str) -> InstanceSettings:
    """Make the settings of an instance with free ports."""
    return make_settings(name)._replace(
        front_address=f'{LOOPBACK}:{pick_port()}',
        ready_address=f'{LOOPBACK}:{pick_port()}',
        peer_port=pick_port(),
        forward_port=pick_port(),
        store_url=store_url,
    )


async def wait_until_serving(deployment: Deployment) -> None:
    """Wait until both instances serve requests."""
    with trio.fail_after(START_SECONDS):
        for name in deployment.fronts:
            await wait_until_served(deployment, name)


async def wait_until_served(deployment: Deployment, name: str) -> None:
    """Send requests to an instance until one is served."""
    body = await send(deployment, name, 'warm')
    while body != WHOLE:
        await trio.sleep(RETRY_SECONDS)
        body = await send(deployment, name, 'warm')


async def send(
    deployment: Deployment, name: str, request_id: str, path: str = '/a/1'
) -> bytes | int | None:
    """Return the body of a 200, another status, or None on an HTTP error."""
    headers = {
        'Host': 'a.example',
        'X-Cranberryrelay-Request-Id': request_id,
        'X-Cranberryrelay-Deadline-Ms': '4000',
        'X-Cranberryrelay-Model': 'm',
        'X-Cranberryrelay-Token-Count': '800,32',
        'X-Cranberryrelay-Prompt-Prefix': 'a1:200,b2:600',
    }
    url = f'http://{deployment.fronts[name]}{path}'
    async with httpx.AsyncClient(trust_env=False) as client:
        try:
            response = await client.post(url, headers=headers, content=b'p')
        except httpx.HTTPError:
            return None
    ok = response.status_code == httpx.codes.OK
    return response.content if ok else response.status_code


class WholePathTest(TestCase):
    """Sends requests over real sockets."""

    def test_engine_fails_during_stream(self) -> None:
        async def scenario() -> None:
            async with run_deployment() as deployment:
                engine = deployment.engines['decode-2']
                engine.faults = TargetEngineFaults(crash_after_event=2)
                for idx in range(6):
                    body = await send(deployment, 'front-a', f'r{idx}')
                    self.assertEqual(body, WHOLE)
                runs = [
                    request_id
                    for one in deployment.engines.values()
                    for request_id in one.run_log
                    if request_id != 'warm'
                ]
                self.assertEqual(len(runs), len(set(runs)))

        trio.run(scenario)

    # Guards against a stream that no engine completes and that still reaches
    # its caller framed as complete.
    def test_stream_without_engines_is_broken_off(self) -> None:
        async def scenario() -> None:
            async with run_deployment() as deployment:
                for name in ('decode-2', 'decode-3'):
                    engine = deployment.engines[name]
                    engine.faults = TargetEngineFaults(crash_after_event=2)
                self.assertIsNone(await send(deployment, 'front-a', 'r1'))

        trio.run(scenario)

    @params('front-a', 'front-b')
    def test_release_note_applies_and_survives_store_outage(
        self, name: str
    ) -> None:
        async def scenario() -> None:
            async with run_deployment() as deployment:
                note = make_note(8, '/b/')
                deployment.store.put(
                    CONFIGURATION_KIND, CONFIGURATION_NAME, note
                )
                await trio.sleep(1)
                deployment.store.faults = TargetStoreFaults(outage=True)
                self.assertEqual(
                    await send(deployment, name, 'r1', '/b/1'), WHOLE
                )
                self.assertEqual(await send(deployment, name, 'r2'), 404)

        trio.run(scenario)

    def test_planned_stop_completes_requests_and_records(self) -> None:
        async def scenario() -> None:
            bodies: list[Any] = []

            async def keep_sending(deployment: Deployment) -> None:
                for idx in range(3):
                    name = 'front-a'
                    bodies.append(await send(deployment, name, f'r{idx}'))

            async with run_deployment() as deployment:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(keep_sending, deployment)
                    await trio.sleep(0.1)
                    deployment.stops['front-a'].set()
                self.assertEqual(bodies, [WHOLE, WHOLE, WHOLE])
                await trio.sleep(4)
                async with open_target_store(deployment.store_url) as store:
                    found = await explain_request(store, 'r1')
                    note = await read_archived_note(store, 3)
                self.assertEqual(found.unwrap().revision, 3)
                self.assertEqual(note.unwrap(), make_note(3))

        trio.run(scenario)
