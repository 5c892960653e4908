"""Callers that reuse connections at the idle limit, and late in planned stops.

They connect to the instances directly, as a proxy would change the times.
"""

import random
from collections.abc import Callable
from typing import Final

import httpx
import trio

from cranberryrelay.soak._callers import (
    CALLER_MARGIN_SECONDS,
    CallerPool,
    SplitBody,
    Target,
)
from cranberryrelay.soak._evidence import RequestKind
from cranberryrelay.soak._layout import (
    CALL_SECONDS,
    STREAM_SECONDS,
    InstanceConfig,
    find_idle_seconds,
)
from cranberryrelay.timing import limit_time

# Times of the reuses, relative to the aimed time: below, at and above it.
REUSE_OFFSETS_SECONDS: Final = (
    -0.008,
    -0.004,
    -0.002,
    -0.001,
    0,
    0.001,
    0.002,
    0.004,
    0.008,
)

# Of so many connections one is reused at the limit of the note, the others
# when the instance is expected to close them.
LIMIT_SHARE: Final = 4

# Longest time beyond the limit of the note for which a connection is watched.
MAX_SURPLUS_SECONDS: Final = 2.0

# Pauses of the bodies at the idle limit; a request without a body is written
# at once, others in three parts.
BODY_PAUSES_SECONDS: Final = (None, None, 0, 0.002)
ROUND_PAUSE_SECONDS: Final = 0.1
POLL_SECONDS: Final = 0.05
RECEIVE_BYTES: Final = 65_536

# Starts of requests, relative to the SIGTERM of a planned stop, and the pauses
# of their bodies as fractions of the route's time limit.
STOP_STARTS_SECONDS: Final = (0, 1.5, 2.0, 2.3, 3.0, 5.0, 7.0)
STOP_PAUSE_FRACTIONS: Final = (0, 0.3, 0.6, 0.8, 0.85, 0.9, 0.95)
UNKNOWN_REQUEST: Final = (
    b'GET /unknown HTTP/1.1\r\nHost: unknown.example\r\n\r\n'
)


class IdleLimitCallers:
    """Callers that reuse connections when the instance closes them."""

    def __init__(self, pool: CallerPool, connections: int) -> None:
        self.pool = pool
        self.connections = connections

        # Seconds beyond the limit of the note after which each instance was
        # seen to close an idle connection.
        self.surplus_seconds: dict[str, float] = {}

    async def call(
        self, instance: InstanceConfig, find_target: Callable[[], Target]
    ) -> None:
        """Reuse connections to one instance, round by round, until stopped."""
        rng = random.Random(f'idle {self.pool.seed} {instance.name}')
        while not self.pool.stopped:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.measure_limit, find_target())
                for idx in range(self.connections):
                    offset = rng.choice(REUSE_OFFSETS_SECONDS)
                    if idx % LIMIT_SHARE:
                        offset += self.surplus_seconds.get(instance.name, 0)
                    pause = rng.choice(BODY_PAUSES_SECONDS)
                    nursery.start_soon(self.reuse, find_target, offset, pause)
            await self.pool.timers.pause(ROUND_PAUSE_SECONDS)

    async def reuse(
        self,
        find_target: Callable[[], Target],
        offset_seconds: float,
        body_pause_seconds: float | None,
    ) -> None:
        """Use a connection, leave it idle for about the limit, use it again."""
        timers = self.pool.timers
        target = find_target()
        async with open_direct_caller(target.instance) as client:
            try:
                await client.get('/unknown')
            except httpx.HTTPError:
                return
            idle_from = timers.now()
            limit = find_idle_seconds(target.version) + offset_seconds
            body = None
            if body_pause_seconds is not None:
                body = SplitBody(body_pause_seconds, timers)
            await timers.pause(idle_from + limit - timers.now())
            await self.pool.send(
                client, find_target(), RequestKind.CHARGE, body
            )

    async def measure_limit(self, target: Target) -> None:
        """Measure how long the instance keeps an idle connection open."""
        instance = target.instance
        limit = find_idle_seconds(target.version)
        with limit_time(limit + MAX_SURPLUS_SECONDS):
            idle_seconds = await _measure_idle_seconds(instance)
            if idle_seconds >= limit:
                self.surplus_seconds[instance.name] = idle_seconds - limit


async def _measure_idle_seconds(instance: InstanceConfig) -> float:
    """Return after how long an idle connection was closed; 0 for failures."""
    received_at = trio.current_time()
    try:
        stream = await trio.open_tcp_stream(instance.ip, instance.front_port)
    except OSError:
        return 0
    async with stream:
        try:
            await stream.send_all(UNKNOWN_REQUEST)
            while await stream.receive_some(RECEIVE_BYTES):
                received_at = trio.current_time()
        except trio.BrokenResourceError:
            return 0
    return trio.current_time() - received_at


async def call_in_stops(
    pool: CallerPool, find_target: Callable[[], Target]
) -> None:
    """Send requests throughout each planned stop of an instance."""
    async with trio.open_nursery() as nursery:
        stopped_start = 0
        while not pool.stopped:
            target = find_target()
            if target.stopping and target.start_count != stopped_start:
                stopped_start = target.start_count
                for start in STOP_STARTS_SECONDS:
                    nursery.start_soon(_call_late, pool, target, start)
            await pool.timers.pause(POLL_SECONDS)


async def _call_late(
    pool: CallerPool, target: Target, start_seconds: float
) -> None:
    """Send requests whose bodies end at different times in the stop."""
    async with (
        open_direct_caller(target.instance) as client,
        trio.open_nursery() as nursery,
    ):
        await pool.timers.pause(start_seconds)
        for fraction in STOP_PAUSE_FRACTIONS:
            for kind, limit in (
                (RequestKind.CHARGE, CALL_SECONDS),
                (RequestKind.DRAFT, STREAM_SECONDS),
            ):
                body = SplitBody(fraction * limit, pool.timers)
                nursery.start_soon(pool.send, client, target, kind, body)


def open_direct_caller(instance: InstanceConfig) -> httpx.AsyncClient:
    """Open an HTTP client of an instance, which keeps idle connections."""
    return httpx.AsyncClient(
        base_url=f'http://{instance.ip}:{instance.front_port}',
        timeout=STREAM_SECONDS + CALLER_MARGIN_SECONDS,
        limits=httpx.Limits(keepalive_expiry=None),
        trust_env=False,
        verify=False,
    )
