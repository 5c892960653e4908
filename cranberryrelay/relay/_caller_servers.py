"""The HTTP servers for callers, peers and the balancer, and their stop."""

import logging
from functools import partial
from typing import Final

import trio

from cranberryrelay.relay._context import RelayContext
from cranberryrelay.relay._front_app import (
    UnansweredRequests,
    make_forward_app,
    make_front_app,
    make_readiness_app,
)
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay._state import IDLE_MARGIN_SECONDS, RelayState
from cranberryrelay.serving import (
    DEFAULT_HEAD_SECONDS,
    HttpServerOptions,
    serve_http,
)

# Time for the load balancer to stop sending requests: it checks readiness once
# a second and removes the instance after two failed checks.
DEREGISTRATION_SECONDS: Final = 2.5

# Part of the grace after SIGTERM reserved for the last bytes and the exit.
SHUTDOWN_MARGIN_SECONDS: Final = 1.2

# Part of this margin in which the last answers are written and streams are
# broken off, before the servers close what is left.
CLOSE_SECONDS: Final = 0.3
_LOG: Final = logging.getLogger('cranberryrelay.relay')


async def serve_callers(
    tools: RelayContext, peers: PeerProtocol, stop: trio.Event
) -> None:
    """Serve callers and peers until ``stop`` is set and requests have ended.

    The readiness check is served to the end.
    """
    settings = tools.state.settings
    grace_seconds = settings.bounds.grace_seconds
    drain_seconds = (
        grace_seconds
        - DEREGISTRATION_SECONDS
        - SHUTDOWN_MARGIN_SECONDS
        + CLOSE_SECONDS
    )
    unanswered = UnansweredRequests(tools)
    trigger = DrainTrigger(tools, peers, stop)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serve_http,
            make_readiness_app(tools),
            HttpServerOptions(
                settings.ready_address,
                drain_seconds,
                tools.state.idle_seconds,
                partial(head_seconds, tools.state),
            ),
            trio.sleep_forever,
        )
        async with trio.open_nursery() as draining:
            for app, address in (
                (make_front_app(tools), settings.front_address),
                (
                    make_forward_app(tools),
                    f'{settings.ip}:{settings.forward_port}',
                ),
            ):
                options = HttpServerOptions(
                    address,
                    drain_seconds,
                    tools.state.idle_seconds,
                    partial(head_seconds, tools.state),
                    unanswered.record,
                )
                draining.start_soon(serve_http, app, options, trigger.wait)
            await trigger.run()
        nursery.cancel_scope.cancel()


def head_seconds(state: RelayState) -> float:
    """Return the time for the head of a caller's request in seconds."""
    if state.table is None:
        return DEFAULT_HEAD_SECONDS
    return state.table.limits.header_seconds + IDLE_MARGIN_SECONDS


class DrainTrigger:
    """Delays the server's shutdown until the load balancer has reacted.

    After the trigger the HTTP server closes idle connections, requests that
    have not been admitted are refused, and running ones may end within the rest
    of the grace.
    """

    def __init__(
        self, tools: RelayContext, peers: PeerProtocol, stop: trio.Event
    ) -> None:
        self.tools = tools
        self.peers = peers
        self.stop = stop
        self.reached = trio.Event()

    async def wait(self) -> None:
        """Return once a server must stop accepting requests."""
        await self.reached.wait()

    async def run(self) -> None:
        """Wait for the stop, announce it, and let the balancer react."""
        await self.stop.wait()
        state = self.tools.state
        state.draining = True
        grace_seconds = state.settings.bounds.grace_seconds
        state.planned_stop.begin(
            self.tools.timers.now() + grace_seconds - SHUTDOWN_MARGIN_SECONDS
        )
        self.peers.send_farewell()
        _LOG.info('draining', extra={'active': len(state.active)})
        await self.tools.timers.pause(DEREGISTRATION_SECONDS)
        now = self.tools.timers.now()
        unfinished = [
            (one.path, round(now - one.started_at, 3))
            for one in state.active.values()
        ]
        _LOG.info('stops accepting requests', extra={'left': unfinished})
        state.planned_stop.refusing = True
        self.reached.set()
