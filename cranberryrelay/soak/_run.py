"""One run of the soak: start, load, faults, healing, last requests, checks."""

import random
import signal
from functools import partial
from pathlib import Path
from typing import Final, NamedTuple

import trio
from result import Result

from cranberryrelay.codes import Failure
from cranberryrelay.relay import AccountFinding, explain_request
from cranberryrelay.soak._callers import CallerPool, Target, open_caller
from cranberryrelay.soak._child import Ending
from cranberryrelay.soak._evidence import (
    MACHINE,
    Disturbance,
    Evidence,
    Explained,
    Outcome,
    RequestKind,
)
from cranberryrelay.soak._faults import PlannedFault, plan_faults
from cranberryrelay.soak._injector import OVERDUE_SECONDS, Injector
from cranberryrelay.soak._layout import (
    GRACE_SECONDS,
    InstancePlace,
    Layout,
    open_layout,
)
from cranberryrelay.soak._promises import OK, Broken, find_broken
from cranberryrelay.soak._site import RELAY_COMMAND, Site, open_site
from cranberryrelay.standins import BegunRun, read_runs
from cranberryrelay.timing import TimerService, open_timer_service

# Time for the system to recover after the last fault, in seconds.
RECOVER_SECONDS: Final = 6.0

EXPLAINED_LIMIT: Final = 8

# How often it is looked whether the machine keeps up, and how late a task may
# be then, in seconds; a third of the checks' margin.
LOOK_SECONDS: Final = 0.05
STALL_SECONDS: Final = 0.25


class SoakPlan(NamedTuple):
    """What a run is made from."""

    # Draws the faults and the requests.
    seed: int

    # Time in which faults begin and end, in seconds.
    seconds: float = 25.0

    # Number of instances.
    instances: int = 4

    # Number of engines.
    engines: int = 6

    # Module that an instance runs, and its arguments; a broken variant to
    # test the soak.
    relay: tuple[str, ...] = RELAY_COMMAND

    # Faults; drawn from the seed if there are none.
    faults: tuple[PlannedFault, ...] = ()


class SoakReport(NamedTuple):
    """What came of a run."""

    # The plan.
    plan: SoakPlan

    # The faults.
    faults: tuple[PlannedFault, ...]

    # Requests sent, and those answered whole.
    sent: int
    answered: int

    # Promises that were broken.
    broken: tuple[Broken, ...]


async def run_soak(plan: SoakPlan, folder: Path) -> SoakReport:
    """Run the soak in a folder, which keeps logs and runs."""
    runs = folder / 'runs'
    runs.mkdir(parents=True, exist_ok=True)
    for earlier in runs.iterdir():
        earlier.unlink()
    with open_layout(folder, plan.instances, plan.engines) as layout:
        rng = random.Random(plan.seed)
        faults = plan.faults or tuple(plan_faults(rng, plan.seconds, layout))
        async with (
            open_timer_service() as timers,
            open_site(layout, timers, plan.relay) as site,
        ):
            evidence = await _gather(plan, site, faults, timers)
    answered = sum(one.status == OK for one in evidence.outcomes)
    return SoakReport(
        plan=plan,
        faults=faults,
        sent=len(evidence.outcomes),
        answered=answered,
        broken=tuple(find_broken(evidence)),
    )


async def _gather(
    plan: SoakPlan,
    site: Site,
    faults: tuple[PlannedFault, ...],
    timers: TimerService,
) -> Evidence:
    pool = CallerPool(plan.seed, timers)
    async with trio.open_nursery() as watching:
        watching.start_soon(watch_machine, site, timers)
        async with trio.open_nursery() as callers:
            for place in site.layout.instances:
                look = partial(_look, site, place)
                callers.start_soon(pool.call, place, look)
            await Injector(site).run(faults)
            await timers.pause(RECOVER_SECONDS)
            pool.stopped = True
        watching.cancel_scope.cancel()
    last = await _send_last(plan, site, timers)
    endings = await _stop_all(site)
    explained = [
        Explained(one.request_id, await _explain(site, one))
        for one in last[:EXPLAINED_LIMIT]
        if one.complete
    ]
    return Evidence(
        outcomes=tuple(pool.outcomes),
        last_outcomes=tuple(last),
        runs=tuple(_read_all_runs(site.layout)),
        disturbances=tuple(site.disturbances),
        notes=tuple(site.notes),
        leavings=tuple(site.leavings),
        endings=tuple(endings),
        explained=tuple(explained),
    )


async def watch_machine(site: Site, timers: TimerService) -> None:
    """Note when the machine is too busy to run a task in time."""
    while True:
        before = timers.now()
        await timers.pause(LOOK_SECONDS)
        late = timers.now() - before - LOOK_SECONDS
        if late > STALL_SECONDS:
            now = timers.utc()
            stall = Disturbance(MACHINE, now - late, now, planned=False)
            site.disturbances.append(stall)


def _look(site: Site, place: InstancePlace) -> Target:
    starts = site.instances[place.name].starts
    return Target(place, starts, site.version())


async def _send_last(
    plan: SoakPlan, site: Site, timers: TimerService
) -> list[Outcome]:
    """Send two requests of each kind to each instance."""
    pool = CallerPool(-plan.seed - 1, timers)
    for place in site.layout.instances:
        target = _look(site, place)
        async with open_caller(place) as client:
            for kind in (*RequestKind, *RequestKind):
                await pool.send(client, target, kind)
    return pool.outcomes


async def _stop_all(site: Site) -> list[Ending]:
    children = site.instances.values()
    async with trio.open_nursery() as nursery:
        for child in children:
            child.tell(signal.SIGTERM)
            nursery.start_soon(child.wait)
        nursery.cancel_scope.deadline = (
            trio.current_time() + GRACE_SECONDS + OVERDUE_SECONDS
        )
    for child in children:
        if child.is_running():
            await child.kill()
    return [ending for child in children for ending in child.endings]


async def _explain(site: Site, outcome: Outcome) -> int | None:
    found: Result[AccountFinding, Failure] = await explain_request(
        site.store, outcome.request_id
    )
    return found.unwrap().revision if found.is_ok() else None


def _read_all_runs(layout: Layout) -> list[BegunRun]:
    return [
        run
        for place in layout.upstreams
        for run in read_runs(layout.folder / 'runs' / place.name)
    ]
