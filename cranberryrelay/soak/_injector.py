"""Injects the scheduled faults into a site and records when they happen."""

import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from types import MappingProxyType
from typing import Final

import trio

from cranberryrelay.soak._child import ChildProcess
from cranberryrelay.soak._evidence import Disturbance, LeavingPeriod
from cranberryrelay.soak._faults import (
    EXCUSELESS_KINDS,
    FaultKind,
    ScheduledFault,
)
from cranberryrelay.soak._layout import GRACE_SECONDS
from cranberryrelay.soak._proxy import LinkState, LoopbackProxy
from cranberryrelay.soak._site import Site, wait_port

# States of a disturbed link; the fault's draw selects one.
LINK_STATES: Final = (
    LinkState.SLOW,
    LinkState.SILENT,
    LinkState.ONE_WAY,
    LinkState.REFUSED,
)

# Number of notes that one fault writes in quick succession, at most.
MAX_NOTES: Final = 5
NOTE_INTERVAL_SECONDS: Final = 0.15

# Bounds of a silence of a sound upstream.
MIN_SILENCE_SECONDS: Final = 0.8
MAX_SILENCE_SECONDS: Final = 1.3

# How long the entry of a drained upstream stays marked as leaving.
LEAVING_SECONDS: Final = 4.0

# Time beyond the grace period after which an instance is killed.
EXIT_MARGIN_SECONDS: Final = 3.0
STORE: Final = 'store'


class Injector:
    """Injects the scheduled faults, which may overlap."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.busy_targets: set[str] = set()

    async def run(self, faults: tuple[ScheduledFault, ...]) -> None:
        """Inject all faults and return when they are over."""
        started_at = self.site.timers.now()
        async with trio.open_nursery() as nursery:
            for fault in faults:
                now = self.site.timers.now() - started_at
                await self.site.timers.pause(max(fault.begins_at - now, 0))
                nursery.start_soon(self.inject, fault)

    async def inject(self, fault: ScheduledFault) -> None:
        """Inject one fault, unless another one occupies its target."""
        if fault.target in self.busy_targets:
            return
        action = _ACTIONS[fault.kind]
        subjects = self.find_subjects(fault)
        with self.record_disturbance(subjects, fault.kind):
            await action(self, fault)

    def find_subjects(self, fault: ScheduledFault) -> tuple[str, ...]:
        """Return the names of the parts that a fault affects."""
        if fault.kind is FaultKind.ALL_INSTANCES_KILL:
            return tuple(self.site.instances)
        if fault.kind is FaultKind.STORE_OUTAGE:
            return (STORE,)
        if fault.kind is FaultKind.NOTES:
            return ('note',)
        return (fault.target,)

    @contextmanager
    def record_disturbance(
        self, subjects: tuple[str, ...], kind: FaultKind
    ) -> Iterator[None]:
        """Record the time for which the parts are disturbed.

        The end is infinite while the disturbance lasts.
        """
        begun_at = self.site.timers.utc()
        planned = kind in EXCUSELESS_KINDS
        silence = kind is FaultKind.UPSTREAM_SILENCE
        records = [
            Disturbance(subject, begun_at, float('inf'), planned, silence)
            for subject in subjects
        ]
        self.site.disturbances.extend(records)
        try:
            yield
        finally:
            ended_at = self.site.timers.utc()
            for one in records:
                self.site.disturbances.remove(one)
                self.site.disturbances.append(one._replace(ended_at=ended_at))

    async def kill_instance(self, fault: ScheduledFault) -> None:
        """Kill an instance and restart it."""
        await self.restart(
            self.site.instances[fault.target], fault.duration_seconds
        )

    async def kill_all_instances(self, fault: ScheduledFault) -> None:
        """Kill all instances that no other fault occupies and restart them."""
        async with trio.open_nursery() as nursery:
            for child in self.site.instances.values():
                if child.name not in self.busy_targets:
                    nursery.start_soon(
                        self.restart, child, fault.duration_seconds
                    )

    async def restart(self, child: ChildProcess, down_seconds: float) -> None:
        """Kill a process, wait, restart it and wait until it serves."""
        with self.mark_busy(child.name):
            await child.kill()
            await self.site.timers.pause(down_seconds)
            await child.start()
            await self.wait_serving(child.name)

    async def wait_serving(self, name: str) -> None:
        """Wait until an instance is ready or an upstream takes connections."""
        if name in self.site.instances:
            await self.site.wait_ready(self.site.layout.instance(name))
        else:
            port = self.site.layout.upstream(name).port
            await wait_port(port, self.site.timers)

    @contextmanager
    def mark_busy(self, name: str) -> Iterator[None]:
        """Exclude a target from other faults within the context."""
        self.busy_targets.add(name)
        try:
            yield
        finally:
            self.busy_targets.discard(name)

    async def stop_instance(self, fault: ScheduledFault) -> None:
        """Stop an instance with SIGTERM and restart it.

        It is killed if it does not exit in time.
        """
        child = self.site.instances[fault.target]
        with self.mark_busy(fault.target):
            child.send_signal(signal.SIGTERM)
            with trio.move_on_after(
                GRACE_SECONDS + EXIT_MARGIN_SECONDS
            ) as scope:
                await child.wait()
            if scope.cancelled_caught:
                await child.kill()
            await child.start()
            await self.wait_serving(fault.target)

    async def pause_process(self, fault: ScheduledFault) -> None:
        """Suspend a process with SIGSTOP for the duration of the fault."""
        children = self.site.instances | self.site.upstreams
        child = children[fault.target]
        with self.mark_busy(fault.target):
            child.send_signal(signal.SIGSTOP)
            await self.site.timers.pause(fault.duration_seconds)
            child.send_signal(signal.SIGCONT)

    async def silence_upstream(self, fault: ScheduledFault) -> None:
        """Silence a sound upstream for about a second.

        The draw selects whether it is suspended or its link is silent.
        """
        seconds = MIN_SILENCE_SECONDS + fault.draw * (
            MAX_SILENCE_SECONDS - MIN_SILENCE_SECONDS
        )
        silenced = fault._replace(duration_seconds=seconds)
        if int(fault.draw * len(FaultKind)) % 2:
            await self.pause_process(silenced)
        else:
            with self.mark_busy(fault.target):
                await self.silence_link(silenced)

    async def silence_link(self, fault: ScheduledFault) -> None:
        """Hold back the bytes of a link for the duration of the fault."""
        link = self.find_link(fault)
        if link.state is not LinkState.SOUND:
            return
        link.change_state(LinkState.SILENT)
        await self.site.timers.pause(fault.duration_seconds)
        link.change_state(LinkState.SOUND)

    async def reload_instance(self, fault: ScheduledFault) -> None:
        """Send SIGHUP, on which an instance reloads its settings."""
        self.site.instances[fault.target].send_signal(signal.SIGHUP)

    async def kill_upstream(self, fault: ScheduledFault) -> None:
        """Kill and restart an upstream, and register its new incarnation."""
        child = self.site.upstreams[fault.target]
        await self.restart(child, fault.duration_seconds)
        self.site.incarnation += 1
        await self.site.put_upstream(self.site.layout.upstream(fault.target))

    async def drain_upstream(self, fault: ScheduledFault) -> None:
        """Mark an upstream as draining for a while, then as ready."""
        upstream = self.site.layout.upstream(fault.target)
        await self.site.put_upstream(upstream, 'draining')
        acked_at = self.site.timers.utc()
        await self.site.timers.pause(LEAVING_SECONDS)
        ended_at = self.site.timers.utc()
        self.site.leaving_periods.append(
            LeavingPeriod(upstream.name, acked_at, ended_at)
        )
        await self.site.put_upstream(upstream)

    async def disturb_link(self, fault: ScheduledFault) -> None:
        """Disturb the link that the fault selects."""
        await self.disturb_links([self.find_link(fault)], fault)

    async def disturb_store_links(self, fault: ScheduledFault) -> None:
        """Disturb the links of all instances to the store."""
        await self.disturb_links(list(self.site.store_links.values()), fault)

    async def disturb_links(
        self, links: list[LoopbackProxy], fault: ScheduledFault
    ) -> None:
        """Put links into the state that the draw selects, and restore them."""
        state = LINK_STATES[int(fault.draw * len(LINK_STATES))]
        for link in links:
            link.change_state(state)
        await self.site.timers.pause(fault.duration_seconds)
        for link in links:
            link.change_state(LinkState.SOUND)

    async def reset_link(self, fault: ScheduledFault) -> None:
        """Reset all connections of the link that the fault selects."""
        self.find_link(fault).reset()

    def find_link(self, fault: ScheduledFault) -> LoopbackProxy:
        """Return the link that a fault's kind and target select."""
        links = self.site.upstream_links
        if fault.kind is FaultKind.STORE_LINK:
            links = self.site.store_links
        elif fault.kind in {FaultKind.CALLER_LINK, FaultKind.CALLER_RESET}:
            links = self.site.caller_links
        return links[fault.target]

    async def put_notes(self, fault: ScheduledFault) -> None:
        """Write notes in quick succession.

        Faults without a target are skipped meanwhile.
        """
        with self.mark_busy(''):
            for _ in range(1 + int(fault.draw * MAX_NOTES)):
                await self.site.put_note()
                await self.site.timers.pause(NOTE_INTERVAL_SECONDS)


_ACTIONS: Final = MappingProxyType[
    FaultKind, Callable[[Injector, ScheduledFault], Awaitable[None]]
](
    {
        FaultKind.INSTANCE_KILL: Injector.kill_instance,
        FaultKind.INSTANCE_PAUSE: Injector.pause_process,
        FaultKind.INSTANCE_STOP: Injector.stop_instance,
        FaultKind.INSTANCE_RELOAD: Injector.reload_instance,
        FaultKind.ALL_INSTANCES_KILL: Injector.kill_all_instances,
        FaultKind.UPSTREAM_KILL: Injector.kill_upstream,
        FaultKind.UPSTREAM_PAUSE: Injector.pause_process,
        FaultKind.UPSTREAM_SILENCE: Injector.silence_upstream,
        FaultKind.UPSTREAM_DRAIN: Injector.drain_upstream,
        FaultKind.UPSTREAM_LINK: Injector.disturb_link,
        FaultKind.UPSTREAM_RESET: Injector.reset_link,
        FaultKind.STORE_LINK: Injector.disturb_link,
        FaultKind.STORE_OUTAGE: Injector.disturb_store_links,
        FaultKind.CALLER_LINK: Injector.disturb_link,
        FaultKind.CALLER_RESET: Injector.reset_link,
        FaultKind.NOTES: Injector.put_notes,
    }
)
