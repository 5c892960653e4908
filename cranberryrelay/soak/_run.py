"""One run of the soak: start, load, faults, recovery, last requests, checks."""

import random
import signal
from functools import partial
from pathlib import Path
from typing import Final, NamedTuple

import msgspec
import trio
from result import Result

from cranberryrelay.codes import Failure
from cranberryrelay.relay import AccountLookup, explain_request
from cranberryrelay.soak._callers import CallerPool, Target, open_caller
from cranberryrelay.soak._child import ProcessExit
from cranberryrelay.soak._evidence import (
    MACHINE,
    Disturbance,
    Evidence,
    Explanation,
    Outcome,
    RequestKind,
)
from cranberryrelay.soak._faults import ScheduledFault, schedule_faults
from cranberryrelay.soak._idle_callers import IdleLimitCallers, call_in_stops
from cranberryrelay.soak._injector import EXIT_MARGIN_SECONDS, Injector
from cranberryrelay.soak._layout import (
    GRACE_SECONDS,
    InstanceConfig,
    Layout,
    open_layout,
)
from cranberryrelay.soak._promises import OK, Violation, find_violations
from cranberryrelay.soak._site import RELAY_COMMAND, Site, open_site
from cranberryrelay.standins import StartedRun, read_run_file
from cranberryrelay.timing import TimerService, open_timer_service

# Time that the system has to recover after the last fault.
RECOVERY_SECONDS: Final = 6.0

# Number of recovery requests that are looked up in the account, at most.
MAX_EXPLANATIONS: Final = 8

# File in the folder of a run with all that the checks read.
EVIDENCE_FILE: Final = 'evidence.json'

# Interval of the check for stalls of the machine, and the delay of a task that
# counts as a stall: a third of the margin that the checks allow.
STALL_POLL_SECONDS: Final = 0.05
STALL_SECONDS: Final = 0.25


class SoakPlan(NamedTuple):
    """Parameters of a run."""

    # Seed of the random generators for faults and requests.
    seed: int

    # Length of the schedule in seconds; all faults begin and end within it.
    seconds: float = 25.0

    # Number of instances.
    instances: int = 4

    # Number of engines.
    engines: int = 6

    # Module that an instance runs, and its arguments; tests of the soak
    # pass a variant with a defect.
    relay_command: tuple[str, ...] = RELAY_COMMAND

    # Folder of the sources of another build, which half of the instances run
    # at first and each of them after every other start; '' for none.
    other_build: str = ''

    # Connections of each instance that callers reuse at about the idle limit
    # at the same time.
    reused_connections: int = 24

    # Faults to inject; drawn from the seed if empty.
    faults: tuple[ScheduledFault, ...] = ()


class SoakReport(NamedTuple):
    """Results of a run."""

    # Parameters of the run.
    plan: SoakPlan

    # Faults that were scheduled.
    faults: tuple[ScheduledFault, ...]

    # Number of requests sent, and of those answered with status 200.
    sent: int
    answered: int

    # Violations of promises.
    violations: tuple[Violation, ...]

    # Periods in which parts were disturbed.
    disturbances: tuple[Disturbance, ...]


async def run_soak(plan: SoakPlan, folder: Path) -> SoakReport:
    """Run the soak; its logs, settings and records of runs go to the folder."""
    runs = folder / 'runs'
    runs.mkdir(parents=True, exist_ok=True)
    for earlier in runs.iterdir():
        earlier.unlink()
    with open_layout(folder, plan.instances, plan.engines) as layout:
        rng = random.Random(plan.seed)
        faults = plan.faults or tuple(
            schedule_faults(rng, plan.seconds, layout)
        )
        async with (
            open_timer_service() as timers,
            open_site(
                layout, timers, plan.relay_command, find_builds(plan)
            ) as site,
        ):
            evidence = await _collect_evidence(plan, site, faults, timers)
    (folder / EVIDENCE_FILE).write_bytes(msgspec.json.encode(evidence))
    answered = sum(one.status == OK for one in evidence.outcomes)
    return SoakReport(
        plan=plan,
        faults=faults,
        sent=len(evidence.outcomes),
        answered=answered,
        violations=tuple(find_violations(evidence)),
        disturbances=evidence.disturbances,
    )


def find_builds(plan: SoakPlan) -> tuple[Path, ...]:
    """Return the folders of the builds that the instances run."""
    if plan.other_build:
        return (Path(), Path(plan.other_build))
    return (Path(),)


async def _collect_evidence(
    plan: SoakPlan,
    site: Site,
    faults: tuple[ScheduledFault, ...],
    timers: TimerService,
) -> Evidence:
    pool = CallerPool(plan.seed, timers)
    idle_callers = IdleLimitCallers(pool, plan.reused_connections)
    async with trio.open_nursery() as watchers:
        watchers.start_soon(detect_stalls, site, timers)
        async with trio.open_nursery() as callers:
            for instance in site.layout.instances:
                find_target = partial(_find_target, site, instance)
                callers.start_soon(pool.call, instance, find_target)
                callers.start_soon(idle_callers.call, instance, find_target)
                callers.start_soon(call_in_stops, pool, find_target)
            await Injector(site).run(faults)
            await timers.pause(RECOVERY_SECONDS)
            pool.stopped = True
        watchers.cancel_scope.cancel()
    recovery_outcomes = await _send_recovery_requests(plan, site, timers)
    exits = await _stop_all(site)
    explanations = [
        Explanation(one.request_id, await _find_revision(site, one))
        for one in recovery_outcomes[:MAX_EXPLANATIONS]
        if one.complete
    ]
    return Evidence(
        outcomes=tuple(pool.outcomes),
        recovery_outcomes=tuple(recovery_outcomes),
        runs=tuple(_read_all_runs(site.layout)),
        disturbances=tuple(site.disturbances),
        notes=tuple(site.notes),
        leaving_periods=tuple(site.leaving_periods),
        exits=tuple(exits),
        explanations=tuple(explanations),
    )


async def detect_stalls(site: Site, timers: TimerService) -> None:
    """Record a disturbance when the machine runs a task too late."""
    while True:
        before = timers.now()
        await timers.pause(STALL_POLL_SECONDS)
        delay = timers.now() - before - STALL_POLL_SECONDS
        if delay > STALL_SECONDS:
            now = timers.utc()
            stall = Disturbance(MACHINE, now - delay, now, planned=False)
            site.disturbances.append(stall)


def _find_target(site: Site, instance: InstanceConfig) -> Target:
    child = site.instances[instance.name]
    stopping = child.last_signal is signal.SIGTERM and child.is_running()
    return Target(instance, child.start_count, site.acked_version(), stopping)


async def _send_recovery_requests(
    plan: SoakPlan, site: Site, timers: TimerService
) -> list[Outcome]:
    """Send two requests of each kind to each instance, one after another."""
    pool = CallerPool(-plan.seed - 1, timers)
    for instance in site.layout.instances:
        target = _find_target(site, instance)
        async with open_caller(instance) as client:
            for kind in (*RequestKind, *RequestKind):
                await pool.send(client, target, kind)
    return pool.outcomes


async def _stop_all(site: Site) -> list[ProcessExit]:
    children = site.instances.values()
    async with trio.open_nursery() as nursery:
        for child in children:
            child.send_signal(signal.SIGTERM)
            nursery.start_soon(child.wait)
        nursery.cancel_scope.deadline = (
            trio.current_time() + GRACE_SECONDS + EXIT_MARGIN_SECONDS
        )
    for child in children:
        if child.is_running():
            await child.kill()
    return [process_exit for child in children for process_exit in child.exits]


async def _find_revision(site: Site, outcome: Outcome) -> int | None:
    found: Result[AccountLookup, Failure] = await explain_request(
        site.store, outcome.request_id
    )
    return found.unwrap().revision if found.is_ok() else None


def _read_all_runs(layout: Layout) -> list[StartedRun]:
    return [
        run
        for upstream in layout.upstreams
        for run in read_run_file(layout.folder / 'runs' / upstream.name)
    ]
