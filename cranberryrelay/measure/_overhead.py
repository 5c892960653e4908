"""What an entry adds to a call, against the same stand-in called directly."""

import statistics
import time
import uuid
from collections.abc import Awaitable, Callable, Iterator
from typing import Final, NamedTuple

import httpx
import trio

from cranberryrelay.demo import (
    NOTE_TEXT,
    Deployment,
    Site,
    change_note,
    open_deployment,
    wait_serving,
)
from cranberryrelay.notes import NoteAction
from cranberryrelay.standins import EngineSpeed
from cranberryrelay.timing import open_timer_service

ONE_INSTANCE: Final = Site(
    domains=('one',),
    instances=1,
    engines={'newsroom': 1},
    services={'subscriptions': 1},
)
TOKENS: Final = 50
WORKERS: Final = 8
PROMPT: Final = 'measure the overhead of one entry'
_KILO: Final = 1000
_MICRO: Final = 1_000_000


class Timed(NamedTuple):
    """Times of one streamed answer, in seconds."""

    # To the first token.
    first: float

    # Between tokens, mean.
    between: float


class CallSummary(NamedTuple):
    """What calls of one way took."""

    # Median time to the first token, in seconds.
    first: float

    # Median of the mean times between tokens, in seconds.
    between: float

    # Answers a second with all workers.
    rate: float

    # Processor time of the whole process for each token, in seconds.
    processor: float


async def measure_overhead(requests: int) -> str:
    """Send the same requests directly and through an entry."""
    speed = EngineSpeed(
        step_seconds=0.002, slots=WORKERS * 2, order_seconds=0.1
    )
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(trust_env=False, timeout=60) as client,
        open_deployment(ONE_INSTANCE, speed) as deployment,
    ):
        await change_note(deployment, NoteAction.PUBLISH, NOTE_TEXT, timers)
        if not await wait_serving(deployment, client, timers):
            return 'the deployment was not ready in time'
        caller = Caller(client, deployment)
        direct = await time_calls(caller.call_engine, requests)
        relayed = await time_calls(caller.call_entry, requests)
    return '\n'.join(
        (
            f'{requests} answers of {TOKENS} tokens, {WORKERS} at a time',
            f'direct:  first {direct.first * _KILO:.1f} ms, between '
            f'{direct.between * _KILO:.2f} ms, {direct.rate:.1f} answers/s',
            f'entry:   first {relayed.first * _KILO:.1f} ms, between '
            f'{relayed.between * _KILO:.2f} ms, {relayed.rate:.1f} answers/s',
            f'ratios:  first {relayed.first / direct.first:.2f}, between '
            f'{relayed.between / direct.between:.2f}, rate '
            f'{relayed.rate / direct.rate:.2f}',
            f'processor a token: direct {direct.processor * _MICRO:.0f} us, '
            f'with the entry {relayed.processor * _MICRO:.0f} us',
        )
    )


class Caller:
    """Calls the engine directly or through the entry."""

    def __init__(
        self, client: httpx.AsyncClient, deployment: Deployment
    ) -> None:
        self.client = client
        port = next(iter(deployment.standins.engines))
        self.engine = f'http://127.0.0.1:{port}/generate'
        self.entry = f'{deployment.instances[0].url}/v1/completions'

    async def call_engine(self) -> Timed:
        """Stream an answer from the engine."""
        body = {
            'exchange': uuid.uuid4().hex,
            'model': 'digest',
            'prompt': PROMPT,
            'start': 0,
            'end': TOKENS,
            'priority': 1,
            'cache_scope': 'measure',
            'kv_from': '',
        }
        return await self._time_lines(self.engine, body, {})

    async def call_entry(self) -> Timed:
        """Stream an answer through the entry."""
        body = {
            'model': 'tags',
            'prompt': PROMPT,
            'max_tokens': TOKENS,
            'stream': True,
        }
        headers = {'Authorization': 'Bearer builders'}
        return await self._time_lines(self.entry, body, headers)

    async def _time_lines(
        self, url: str, body: dict[str, object], headers: dict[str, str]
    ) -> Timed:
        started = time.perf_counter()
        async with self.client.stream(
            'POST', url, json=body, headers=headers
        ) as response:
            response.raise_for_status()
            marks = [
                time.perf_counter()
                async for line in response.aiter_lines()
                if line
            ]
        between = (marks[-1] - marks[0]) / max(len(marks) - 1, 1)
        return Timed(marks[0] - started, between)


async def time_calls(
    call: Callable[[], Awaitable[Timed]], requests: int
) -> CallSummary:
    """Make calls with a few workers and summarise their times."""
    times: list[Timed] = []
    left = iter(range(requests))
    started = time.perf_counter()
    spent = time.process_time()
    async with trio.open_nursery() as nursery:
        for _ in range(WORKERS):
            nursery.start_soon(_work, call, left, times)
    seconds = time.perf_counter() - started
    return CallSummary(
        statistics.median(one.first for one in times),
        statistics.median(one.between for one in times),
        len(times) / seconds,
        (time.process_time() - spent) / len(times) / TOKENS,
    )


async def _work(
    call: Callable[[], Awaitable[Timed]],
    left: Iterator[int],
    times: list[Timed],
) -> None:
    times.extend([await call() for _ in left])
