"""Unexpected errors in the tasks of an instance.

Guards against a process that ends, with all its running requests, because of an
error in one task.
"""

import gc
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import (
    UPSTREAM_KIND,
    open_engine_control,
    open_target_store,
)
from cranberryrelay.relay import InstanceSettings, serve_relay
from cranberryrelay.relay._supervision import SupervisedTask, Supervisor
from cranberryrelay.relay._telemetry import RelayTelemetry
from cranberryrelay.relay.tests.test_whole_path import (
    make_instance_settings,
    run_deployment,
)
from cranberryrelay.relay_instance import make_dependencies
from cranberryrelay.timing import TimerService, open_timer_service

LIMIT_SECONDS = 30.0
POLL_SECONDS = 0.05
LOG_NAME = 'cranberryrelay.relay'


class RunCase(NamedTuple):
    """A row: how long each run lasts until it fails, and when runs begin."""

    name: str
    runs: tuple[float, ...]
    begins: tuple[float, ...]


RUN_CASES = (
    RunCase('returns at once', (), (0,)),
    RunCase('fails once', (0,), (0, 0.1)),
    RunCase('fails for long', (0,) * 7, (0, 0.1, 0.3, 0.7, 1.5, 3.1, 5.1, 7.1)),
    RunCase('fails again after a sound run', (0, 0, 12), (0, 0.1, 0.3, 12.4)),
)


class FailingTask:
    """Fails at the end of each run but the last, in one of two ways."""

    def __init__(self, runs: tuple[float, ...], grouped: bool) -> None:
        self.runs = list(runs)
        self.grouped = grouped
        self.begins: list[float] = []

    async def run(self) -> None:
        """Run for the next duration, then fail; return after the last."""
        self.begins.append(round(trio.current_time(), 3))
        if not self.runs:
            return
        if self.grouped:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep_forever)
                nursery.start_soon(self.fail)
        await self.fail()

    async def fail(self) -> None:
        """Wait for the next duration and raise an error."""
        await trio.sleep(self.runs.pop(0))
        raise RecursionError('test')


async def supervise(
    telemetry: RelayTelemetry, run: Callable[[], Awaitable[None]]
) -> None:
    """Supervise a task until it returns."""
    async with open_timer_service() as timers:
        supervisor = Supervisor(telemetry, timers)
        await supervisor.keep_running(SupervisedTask('test', run))


class SupervisorTest(TestCase):
    """Tasks that fail, in virtual time."""

    # Guards against a task that stays down, or that is started in a tight loop.
    @params(*((case,) for case in RUN_CASES))
    def test_task_is_started_again(self, case: RunCase) -> None:
        for grouped in (False, True):
            task = FailingTask(case.runs, grouped)
            telemetry = RelayTelemetry()
            clock = MockClock(autojump_threshold=0)
            with self.assertLogs(LOG_NAME) as log:
                # The check needs one line at least.
                logging.getLogger(LOG_NAME).info('start')
                trio.run(supervise, telemetry, task.run, clock=clock)
            self.assertEqual(tuple(task.begins), case.begins)
            self.check_reports(log.records[1:], telemetry, len(case.runs))

    def check_reports(
        self,
        records: list[logging.LogRecord],
        telemetry: RelayTelemetry,
        failures: int,
    ) -> None:
        """Check the log lines and the metric of a number of failures."""
        self.assertEqual(len(records), failures)
        for record in records:
            self.assertIsNotNone(record.exc_info)
            code = getattr(record, 'code', 0)
            self.assertEqual(code, ResultCode.TASK_FAILED.value)
        counted = b'task_failures{task="test"} %d' % failures
        metrics = telemetry.render_metrics([])[0]
        self.assertEqual(counted in metrics, failures > 0)

    # Guards against a process that cannot be stopped.
    def test_cancelled_task_ends(self) -> None:
        async def scenario() -> bool:
            with trio.move_on_after(5) as scope:
                await supervise(RelayTelemetry(), trio.sleep_forever)
            return scope.cancelled_caught

        clock = MockClock(autojump_threshold=0)
        self.assertTrue(trio.run(scenario, clock=clock))


class TickTest(TestCase):
    """Ticks of tasks that have ended."""

    # Guards against ticks that go on for each run of a task that failed.
    def test_ticks_end_with_their_subscriber(self) -> None:
        clock = MockClock(autojump_threshold=0)
        self.assertEqual(trio.run(count_ticking_tasks, clock=clock), 0)


async def count_ticking_tasks() -> int:
    """Return the ticks that go on after their subscribers have failed."""
    async with open_timer_service() as timers:
        for _ in range(3):
            with suppress(RecursionError):
                await fail_at_a_tick(timers)
        gc.collect()
        await trio.sleep(1)
        return len(timers.nursery.child_tasks)


async def fail_at_a_tick(timers: TimerService) -> None:
    """Subscribe to ticks and fail at the second one."""
    ticks = 0
    async for _ in timers.subscribe(0.1):
        ticks += 1
        if ticks > 1:
            raise RecursionError('test')


class FaultyStore:
    """Store whose first call of each method for each kind raises an error."""

    def __init__(self, store: Any) -> None:
        self.store = store
        self.failed: set[tuple[str, str]] = set()

    def __getattr__(self, method: str) -> Any:
        """Return a method that fails at first."""

        async def call(kind: str, *arguments: Any) -> Any:
            if (method, kind) not in self.failed:
                self.failed.add((method, kind))
                raise RecursionError(f'{method} {kind}')
            return await getattr(self.store, method)(kind, *arguments)

        return call


class ServeTest(TestCase):
    """An instance whose tasks fail, on the loopback."""

    # Guards against an instance that ends, or is never ready, as its tasks
    # fail once each.
    def test_instance_is_ready_after_its_tasks_failed(self) -> None:
        with self.assertLogs(LOG_NAME) as log:
            failed = trio.run(serve_with_faults)
        self.assertIn(('list_kind', UPSTREAM_KIND), failed)
        names = {
            getattr(record, 'task_name', '')
            for record in log.records
            if record.getMessage() == 'task failed'
        }
        self.assertLessEqual(
            {'watcher of servers', 'watcher of config', 'registration'}, names
        )


async def serve_with_faults() -> set[tuple[str, str]]:
    """Return which calls failed once the instance is ready."""
    async with run_deployment() as deployment:
        settings = make_instance_settings('front-c', deployment.store_url)
        async with (
            open_target_store(settings.store_url) as store,
            open_engine_control() as control,
            trio.open_nursery() as nursery,
        ):
            faulty: Any = FaultyStore(store)
            channel = trio.open_memory_channel[InstanceSettings](0)
            parts = make_dependencies(
                settings, faulty, control, '1', channel[1]
            )
            nursery.start_soon(serve_relay, parts, trio.Event())
            with trio.fail_after(LIMIT_SECONDS):
                await wait_ready(settings.ready_address)
            nursery.cancel_scope.cancel()
    failed: set[tuple[str, str]] = faulty.failed
    return failed


async def wait_ready(address: str) -> None:
    """Return when an instance says that it is ready."""
    async with httpx.AsyncClient() as client:
        while True:
            try:
                answer = await client.get(f'http://{address}/v1/ready')
            except httpx.HTTPError:
                answer = httpx.Response(503)
            if answer.is_success:
                return
            await trio.sleep(POLL_SECONDS)
