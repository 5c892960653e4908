"""Does to a site what was planned, and notes when."""

import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from types import MappingProxyType
from typing import Final

import trio

from cranberryrelay.soak._child import Child
from cranberryrelay.soak._evidence import Disturbance, Leaving
from cranberryrelay.soak._faults import PLANNED, FaultKind, PlannedFault
from cranberryrelay.soak._layout import GRACE_SECONDS
from cranberryrelay.soak._proxy import LinkState, LoopbackProxy
from cranberryrelay.soak._site import Site, wait_port

# States of links, chosen by the fault's draw.
LINK_STATES: Final = (
    LinkState.SLOW,
    LinkState.SILENT,
    LinkState.ONE_WAY,
    LinkState.REFUSED,
)

# Notes in quick succession, at most.
NOTES_LIMIT: Final = 5
BETWEEN_NOTES_SECONDS: Final = 0.15

# An entry stays marked as leaving this long, in seconds.
LEAVING_SECONDS: Final = 4.0
OVERDUE_SECONDS: Final = 3.0
STORE: Final = 'store'


class Injector:
    """Carries out the planned faults; they may overlap."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.busy: set[str] = set()

    async def run(self, planned: tuple[PlannedFault, ...]) -> None:
        """Carry out all faults, and return when they are over."""
        started_at = self.site.timers.now()
        async with trio.open_nursery() as nursery:
            for fault in planned:
                now = self.site.timers.now() - started_at
                await self.site.timers.pause(max(fault.begins_at - now, 0))
                nursery.start_soon(self.carry_out, fault)

    async def carry_out(self, fault: PlannedFault) -> None:
        """Carry out one fault, unless its target is down already."""
        if fault.target in self.busy:
            return
        action = _ACTIONS[fault.kind]
        subjects = self.find_subjects(fault)
        with self.disturbing(subjects, fault.kind in PLANNED):
            await action(self, fault)

    def find_subjects(self, fault: PlannedFault) -> tuple[str, ...]:
        """Return the names of the parts that a fault is done to."""
        if fault.kind is FaultKind.ALL_INSTANCES_KILL:
            return tuple(self.site.instances)
        if fault.kind is FaultKind.STORE_OUTAGE:
            return (STORE,)
        if fault.kind is FaultKind.NOTES:
            return ('note',)
        return (fault.target,)

    @contextmanager
    def disturbing(
        self, subjects: tuple[str, ...], planned: bool
    ) -> Iterator[None]:
        """Note from when to when the parts are disturbed."""
        begun_at = self.site.timers.utc()
        noted = [
            Disturbance(subject, begun_at, float('inf'), planned)
            for subject in subjects
        ]
        self.site.disturbances.extend(noted)
        try:
            yield
        finally:
            ended_at = self.site.timers.utc()
            for one in noted:
                self.site.disturbances.remove(one)
                self.site.disturbances.append(one._replace(ended_at=ended_at))

    async def kill_instance(self, fault: PlannedFault) -> None:
        """Kill an instance and start it again."""
        await self.restart(self.site.instances[fault.target], fault.lasts)

    async def kill_all_instances(self, fault: PlannedFault) -> None:
        """Kill all instances and start them again."""
        async with trio.open_nursery() as nursery:
            for child in self.site.instances.values():
                if child.name not in self.busy:
                    nursery.start_soon(self.restart, child, fault.lasts)

    async def restart(self, child: Child, lasts: float) -> None:
        """Kill a process, wait, and start it again."""
        with self.holding(child.name):
            await child.kill()
            await self.site.timers.pause(lasts)
            await child.start()
            await self.wait_started(child.name)

    async def wait_started(self, name: str) -> None:
        """Wait until a process that was started serves."""
        if name in self.site.instances:
            await self.site.wait_ready(self.site.layout.instance(name))
        else:
            port = self.site.layout.upstream(name).port
            await wait_port(port, self.site.timers)

    @contextmanager
    def holding(self, name: str) -> Iterator[None]:
        """Keep other faults from a process that is down."""
        self.busy.add(name)
        try:
            yield
        finally:
            self.busy.discard(name)

    async def stop_instance(self, fault: PlannedFault) -> None:
        """Stop an instance as planned and start it again."""
        child = self.site.instances[fault.target]
        with self.holding(fault.target):
            child.tell(signal.SIGTERM)
            with trio.move_on_after(GRACE_SECONDS + OVERDUE_SECONDS) as scope:
                await child.wait()
            if scope.cancelled_caught:
                await child.kill()
            await child.start()
            await self.wait_started(fault.target)

    async def pause_process(self, fault: PlannedFault) -> None:
        """Hold a process still for a while."""
        children = self.site.instances | self.site.upstreams
        child = children[fault.target]
        with self.holding(fault.target):
            child.tell(signal.SIGSTOP)
            await self.site.timers.pause(fault.lasts)
            child.tell(signal.SIGCONT)

    async def reload_instance(self, fault: PlannedFault) -> None:
        """Have an instance read its settings again."""
        self.site.instances[fault.target].tell(signal.SIGHUP)

    async def kill_upstream(self, fault: PlannedFault) -> None:
        """Kill an upstream; a new incarnation registers itself."""
        child = self.site.upstreams[fault.target]
        await self.restart(child, fault.lasts)
        self.site.born += 1
        await self.site.put_upstream(self.site.layout.upstream(fault.target))

    async def drain_upstream(self, fault: PlannedFault) -> None:
        """Mark an upstream as leaving for a while."""
        place = self.site.layout.upstream(fault.target)
        await self.site.put_upstream(place, 'draining')
        acked_at = self.site.timers.utc()
        await self.site.timers.pause(LEAVING_SECONDS)
        ended_at = self.site.timers.utc()
        self.site.leavings.append(Leaving(place.name, acked_at, ended_at))
        await self.site.put_upstream(place)

    async def disturb_link(self, fault: PlannedFault) -> None:
        """Disturb the link that the fault names."""
        await self.turn([self.find_link(fault)], fault)

    async def cut_store(self, fault: PlannedFault) -> None:
        """Disturb the links of all instances to the store."""
        await self.turn(list(self.site.store_links.values()), fault)

    async def turn(
        self, links: list[LoopbackProxy], fault: PlannedFault
    ) -> None:
        """Turn links to a state that the fault draws, and back."""
        state = LINK_STATES[int(fault.draw * len(LINK_STATES))]
        for link in links:
            link.turn(state)
        await self.site.timers.pause(fault.lasts)
        for link in links:
            link.turn(LinkState.SOUND)

    async def reset_link(self, fault: PlannedFault) -> None:
        """Reset all connections of the link that the fault names."""
        self.find_link(fault).reset()

    def find_link(self, fault: PlannedFault) -> LoopbackProxy:
        """Return the link that a fault's kind and target name."""
        links = self.site.upstream_links
        if fault.kind is FaultKind.STORE_LINK:
            links = self.site.store_links
        elif fault.kind in {FaultKind.CALLER_LINK, FaultKind.CALLER_RESET}:
            links = self.site.caller_links
        return links[fault.target]

    async def put_notes(self, fault: PlannedFault) -> None:
        """Write notes in quick succession."""
        with self.holding(''):
            for _ in range(1 + int(fault.draw * NOTES_LIMIT)):
                await self.site.put_note()
                await self.site.timers.pause(BETWEEN_NOTES_SECONDS)


_ACTIONS: Final = MappingProxyType[
    FaultKind, Callable[[Injector, PlannedFault], Awaitable[None]]
](
    {
        FaultKind.INSTANCE_KILL: Injector.kill_instance,
        FaultKind.INSTANCE_PAUSE: Injector.pause_process,
        FaultKind.INSTANCE_STOP: Injector.stop_instance,
        FaultKind.INSTANCE_RELOAD: Injector.reload_instance,
        FaultKind.ALL_INSTANCES_KILL: Injector.kill_all_instances,
        FaultKind.UPSTREAM_KILL: Injector.kill_upstream,
        FaultKind.UPSTREAM_PAUSE: Injector.pause_process,
        FaultKind.UPSTREAM_DRAIN: Injector.drain_upstream,
        FaultKind.UPSTREAM_LINK: Injector.disturb_link,
        FaultKind.UPSTREAM_RESET: Injector.reset_link,
        FaultKind.STORE_LINK: Injector.disturb_link,
        FaultKind.STORE_OUTAGE: Injector.cut_store,
        FaultKind.CALLER_LINK: Injector.disturb_link,
        FaultKind.CALLER_RESET: Injector.reset_link,
        FaultKind.NOTES: Injector.put_notes,
    }
)
