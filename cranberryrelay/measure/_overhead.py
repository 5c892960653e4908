"""Measures the overhead of an entry over direct calls to the engine."""

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
    wait_until_serving,
)
from cranberryrelay.notes import NoteAction
from cranberryrelay.standins import EngineSpeed
from cranberryrelay.timing import open_timer_service

SINGLE_INSTANCE_SITE: Final = Site(
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


class AnswerLatency(NamedTuple):
    """Latencies of one streamed answer."""

    # Time to first token, in seconds.
    first_token: float

    # Mean inter-token latency, in seconds.
    inter_token: float


class CallSummary(NamedTuple):
    """Statistics of the calls over one path."""

    # Median time to first token, in seconds.
    first_token: float

    # Median of the mean inter-token latencies, in seconds.
    inter_token: float

    # Answers per second of all workers.
    rate: float

    # Processor time of the whole process per token, in seconds.
    processor: float


async def measure_overhead(requests: int) -> str:
    """Send the same requests to the engine and through an entry."""
    speed = EngineSpeed(
        step_seconds=0.002, slots=WORKERS * 2, order_seconds=0.1
    )
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(trust_env=False, timeout=60) as client,
        open_deployment(SINGLE_INSTANCE_SITE, speed) as deployment,
    ):
        await change_note(deployment, NoteAction.PUBLISH, NOTE_TEXT, timers)
        if not await wait_until_serving(deployment, client, timers):
            return 'the deployment was not ready in time'
        streaming_client = StreamingClient(client, deployment)
        direct = await time_calls(streaming_client.call_engine, requests)
        relayed = await time_calls(streaming_client.call_entry, requests)
    return '\n'.join(
        (
            f'{requests} answers of {TOKENS} tokens, {WORKERS} at a time',
            f'direct:  first {direct.first_token * _KILO:.1f} ms, '
            f'between {direct.inter_token * _KILO:.2f} ms, '
            f'{direct.rate:.1f} answers/s',
            f'entry:   first {relayed.first_token * _KILO:.1f} ms, '
            f'between {relayed.inter_token * _KILO:.2f} ms, '
            f'{relayed.rate:.1f} answers/s',
            f'ratios:  first {relayed.first_token / direct.first_token:.2f}, '
            f'between {relayed.inter_token / direct.inter_token:.2f}, '
            f'rate {relayed.rate / direct.rate:.2f}',
            f'processor a token: direct '
            f'{direct.processor * _MICRO:.0f} us, with the entry '
            f'{relayed.processor * _MICRO:.0f} us',
        )
    )


class StreamingClient:
    """Calls the engine stand-in directly or through the entry."""

    def __init__(
        self, client: httpx.AsyncClient, deployment: Deployment
    ) -> None:
        self.client = client
        port = next(iter(deployment.standins.engines))
        self.engine_url = f'http://127.0.0.1:{port}/generate'
        self.entry_url = f'{deployment.instances[0].url}/v1/completions'

    async def call_engine(self) -> AnswerLatency:
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
        return await self._time_answer(self.engine_url, body, {})

    async def call_entry(self) -> AnswerLatency:
        """Stream an answer through the entry."""
        body = {
            'model': 'tags',
            'prompt': PROMPT,
            'max_tokens': TOKENS,
            'stream': True,
        }
        headers = {'Authorization': 'Bearer builders'}
        return await self._time_answer(self.entry_url, body, headers)

    async def _time_answer(
        self, url: str, body: dict[str, object], headers: dict[str, str]
    ) -> AnswerLatency:
        started = time.perf_counter()
        async with self.client.stream(
            'POST', url, json=body, headers=headers
        ) as response:
            response.raise_for_status()
            received_at = [
                time.perf_counter()
                async for line in response.aiter_lines()
                if line
            ]
        inter_token = (received_at[-1] - received_at[0]) / max(
            len(received_at) - 1, 1
        )
        return AnswerLatency(received_at[0] - started, inter_token)


async def time_calls(
    call: Callable[[], Awaitable[AnswerLatency]], requests: int
) -> CallSummary:
    """Make calls with several workers and summarize their latencies."""
    latencies: list[AnswerLatency] = []
    remaining = iter(range(requests))
    started = time.perf_counter()
    processor_started = time.process_time()
    async with trio.open_nursery() as nursery:
        for _ in range(WORKERS):
            nursery.start_soon(_run_worker, call, remaining, latencies)
    seconds = time.perf_counter() - started
    return CallSummary(
        statistics.median(answer.first_token for answer in latencies),
        statistics.median(answer.inter_token for answer in latencies),
        len(latencies) / seconds,
        (time.process_time() - processor_started) / len(latencies) / TOKENS,
    )


async def _run_worker(
    call: Callable[[], Awaitable[AnswerLatency]],
    remaining: Iterator[int],
    latencies: list[AnswerLatency],
) -> None:
    latencies.extend([await call() for _ in remaining])
