"""Callers: they send requests and keep what comes back."""

import itertools
import random
from collections.abc import Callable
from typing import Final, NamedTuple

import httpx
import trio

from cranberryrelay.soak._evidence import STREAMS, Outcome, RequestKind
from cranberryrelay.soak._layout import (
    CALL_SECONDS,
    HOST,
    STREAM_SECONDS,
    InstancePlace,
)
from cranberryrelay.standins import LOOPBACK
from cranberryrelay.timing import TimerService

# Mean time between two requests to an instance, in seconds.
BETWEEN_SECONDS: Final = 0.11

# A caller gives a request up so long after its route's limit, in seconds.
PATIENCE_SECONDS: Final = 6.0
CONNECTIONS_LIMIT: Final = 200
KINDS: Final = tuple(RequestKind)
WEIGHTS: Final = (4, 3, 3, 3, 2)
_MILLISECONDS: Final = 1000
_UNSENT: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Target(NamedTuple):
    """Where a request goes."""

    # The instance.
    place: InstancePlace

    # How often the instance had been started.
    starts: int

    # Newest version of the note that the store has acknowledged.
    version: int


class CallerPool:
    """Callers of all instances, with connections that they keep."""

    def __init__(self, seed: int, timers: TimerService) -> None:
        self.seed = seed
        self.timers = timers

        # Set to have no more requests sent; those that run go on.
        self.stopped = False
        self.numbers = itertools.count()
        self.outcomes: list[Outcome] = []

    async def call(
        self, place: InstancePlace, look: Callable[[], Target]
    ) -> None:
        """Send to one instance until stopped, and wait for all answers."""
        rng = random.Random(f'{self.seed} {place.name}')
        async with (
            open_caller(place) as client,
            trio.open_nursery() as nursery,
        ):
            while not self.stopped:
                kind = rng.choices(KINDS, WEIGHTS)[0]
                nursery.start_soon(self.send, client, look(), kind)
                await self.timers.pause(rng.expovariate(1 / BETWEEN_SECONDS))

    async def send(
        self, client: httpx.AsyncClient, target: Target, kind: RequestKind
    ) -> Outcome:
        """Send one request and keep its outcome."""
        request_id = f's{self.seed}-{next(self.numbers):05d}'
        version = target.version if kind is RequestKind.PROBE else 0
        started = Outcome(
            request_id=request_id,
            kind=kind,
            instance=target.place.name,
            starts=target.starts,
            version=version,
            sent_at=self.timers.utc(),
            ended_at=0,
            status=None,
            body=b'',
            complete=False,
            error='',
            unsent=False,
        )
        outcome = await _exchange(client, started)
        outcome = outcome._replace(ended_at=self.timers.utc())
        self.outcomes.append(outcome)
        return outcome


def open_caller(place: InstancePlace) -> httpx.AsyncClient:
    """Open a caller's connections to an instance."""
    return httpx.AsyncClient(
        base_url=f'http://{LOOPBACK}:{place.caller_port}',
        timeout=STREAM_SECONDS + PATIENCE_SECONDS,
        limits=httpx.Limits(max_connections=CONNECTIONS_LIMIT),
        trust_env=False,
    )


async def _exchange(client: httpx.AsyncClient, sent: Outcome) -> Outcome:
    headers = make_headers(sent)
    method = 'GET' if sent.kind is RequestKind.READ else 'POST'
    path = f'/{sent.kind}/{sent.request_id}'
    if sent.version:
        path = f'/{sent.kind}-{sent.version}/{sent.request_id}'
    body = bytearray()
    status: int | None = None
    try:
        async with client.stream(method, path, headers=headers) as response:
            status = response.status_code
            async for piece in response.aiter_bytes():
                body.extend(piece)
    except _UNSENT as unsent:
        return sent._replace(error=repr(unsent), unsent=True)
    except httpx.HTTPError as error:
        return sent._replace(status=status, body=bytes(body), error=repr(error))
    return sent._replace(status=status, body=bytes(body), complete=True)


def make_headers(sent: Outcome) -> dict[str, str]:
    """Make the headers of a request."""
    limit = STREAM_SECONDS if sent.kind in STREAMS else CALL_SECONDS
    headers = {
        'Host': HOST,
        'X-Cranberryrelay-Request-Id': sent.request_id,
        'X-Cranberryrelay-Deadline-Ms': str(int(limit * _MILLISECONDS)),
    }
    if sent.kind in STREAMS:
        headers['X-Cranberryrelay-Model'] = 'm'
        headers['X-Cranberryrelay-Token-Count'] = '800,32'
        headers['X-Cranberryrelay-Prompt-Prefix'] = 'a1:200,b2:600'
    return headers
