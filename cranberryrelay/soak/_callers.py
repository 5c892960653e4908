"""Sends requests to the instances and records their outcomes."""

import itertools
import random
from collections.abc import AsyncIterator, Callable
from typing import Final, NamedTuple

import httpx
import trio

from cranberryrelay.soak._evidence import STREAM_KINDS, Outcome, RequestKind
from cranberryrelay.soak._layout import (
    CALL_SECONDS,
    HOST,
    STREAM_SECONDS,
    InstanceConfig,
)
from cranberryrelay.standins import LOOPBACK
from cranberryrelay.timing import TimerService

# Mean time between two requests to an instance.
MEAN_INTERVAL_SECONDS: Final = 0.11

# Time beyond a route's limit after which a caller aborts a request.
CALLER_MARGIN_SECONDS: Final = 6.0
CONNECTIONS_LIMIT: Final = 200
BODY_PART: Final = bytes(1000)
KINDS: Final = tuple(RequestKind)
WEIGHTS: Final = (4, 3, 3, 3, 2)
_MILLISECONDS: Final = 1000
_CONNECT_ERRORS: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


class Target(NamedTuple):
    """The instance that a request goes to, and the state it is sent in."""

    # Configuration of the instance.
    instance: InstanceConfig

    # How often the instance has been started.
    start_count: int

    # Newest version of the note that the store has acknowledged.
    version: int

    # True from SIGTERM to the exit of the instance.
    stopping: bool = False


class SplitBody:
    """A body that is written after its head, in two parts."""

    def __init__(self, pause_seconds: float, timers: TimerService) -> None:
        self.pause_seconds = pause_seconds
        self.timers = timers

        # Times of day at which the head and the last byte had been written.
        self.begun_at = float('inf')
        self.written_at = float('inf')

    async def write(self) -> AsyncIterator[bytes]:
        """Yield the body; a pause precedes its second part."""
        self.begun_at = self.timers.utc()
        yield BODY_PART
        await self.timers.pause(self.pause_seconds)
        yield BODY_PART
        self.written_at = self.timers.utc()


class CallerPool:
    """Callers of all instances, which keep and reuse their connections."""

    def __init__(self, seed: int, timers: TimerService) -> None:
        self.seed = seed
        self.timers = timers

        # Set to stop new requests; those in flight continue.
        self.stopped = False
        self.numbers = itertools.count()
        self.outcomes: list[Outcome] = []

    async def call(
        self, instance: InstanceConfig, find_target: Callable[[], Target]
    ) -> None:
        """Send to one instance until stopped; wait for requests in flight."""
        rng = random.Random(f'{self.seed} {instance.name}')
        async with (
            open_caller(instance) as client,
            trio.open_nursery() as nursery,
        ):
            while not self.stopped:
                kind = rng.choices(KINDS, WEIGHTS)[0]
                nursery.start_soon(self.send, client, find_target(), kind)
                await self.timers.pause(
                    rng.expovariate(1 / MEAN_INTERVAL_SECONDS)
                )

    async def send(
        self,
        client: httpx.AsyncClient,
        target: Target,
        kind: RequestKind,
        body: SplitBody | None = None,
    ) -> Outcome:
        """Send one request, without a body by default; record its outcome."""
        request_id = f's{self.seed}-{next(self.numbers):05d}'
        version = target.version if kind is RequestKind.PROBE else 0
        started = Outcome(
            request_id=request_id,
            kind=kind,
            instance=target.instance.name,
            start_count=target.start_count,
            version=version,
            sent_at=self.timers.utc(),
            ended_at=0,
            status=None,
            body=b'',
            complete=False,
            error='',
            connect_failed=False,
        )
        outcome = await _send_request(client, started, body)
        outcome = outcome._replace(ended_at=self.timers.utc())
        if body and body.begun_at <= outcome.ended_at:
            # The time to open a connection is not the instance's.
            outcome = outcome._replace(
                sent_at=body.begun_at, written_at=body.written_at
            )
        self.outcomes.append(outcome)
        return outcome


def open_caller(instance: InstanceConfig) -> httpx.AsyncClient:
    """Open an HTTP client for the proxy of an instance."""
    return httpx.AsyncClient(
        base_url=f'http://{LOOPBACK}:{instance.caller_port}',
        timeout=STREAM_SECONDS + CALLER_MARGIN_SECONDS,
        limits=httpx.Limits(max_connections=CONNECTIONS_LIMIT),
        trust_env=False,
    )


async def _send_request(
    client: httpx.AsyncClient, sent: Outcome, body: SplitBody | None
) -> Outcome:
    headers = make_headers(sent)
    parts = None
    if body:
        headers['Content-Length'] = str(2 * len(BODY_PART))
        parts = body.write()
    method = 'GET' if sent.kind is RequestKind.READ else 'POST'
    path = f'/{sent.kind}/{sent.request_id}'
    if sent.version:
        path = f'/{sent.kind}-{sent.version}/{sent.request_id}'
    received = bytearray()
    status: int | None = None
    try:
        async with client.stream(
            method, path, headers=headers, content=parts
        ) as response:
            status = response.status_code
            async for chunk in response.aiter_bytes():
                received.extend(chunk)
    except _CONNECT_ERRORS as connect_error:
        return sent._replace(error=repr(connect_error), connect_failed=True)
    except httpx.HTTPError as error:
        return sent._replace(
            status=status, body=bytes(received), error=repr(error)
        )
    return sent._replace(status=status, body=bytes(received), complete=True)


def make_headers(sent: Outcome) -> dict[str, str]:
    """Make the headers of a request."""
    limit = STREAM_SECONDS if sent.kind in STREAM_KINDS else CALL_SECONDS
    headers = {
        'Host': HOST,
        'X-Cranberryrelay-Request-Id': sent.request_id,
        'X-Cranberryrelay-Deadline-Ms': str(int(limit * _MILLISECONDS)),
    }
    if sent.kind in STREAM_KINDS:
        headers['X-Cranberryrelay-Model'] = 'm'
        headers['X-Cranberryrelay-Token-Count'] = '800,32'
        headers['X-Cranberryrelay-Prompt-Prefix'] = 'a1:200,b2:600'
    return headers
