"""Tests of requests in flight as callers stop, and of the times of requests."""

from pathlib import Path
from unittest import TestCase, mock

import httpx
import trio
from trio.testing import MockClock

from cranberryrelay.soak._callers import CallerPool, SplitBody, Target
from cranberryrelay.soak._evidence import Outcome, RequestKind
from cranberryrelay.soak._layout import make_layout
from cranberryrelay.timing import open_timer_service

ANSWER_SECONDS = 0.5
BODY_SECONDS = 0.75
CONNECT_SECONDS = 2
OPEN_CALLER = 'cranberryrelay.soak._callers.open_caller'


async def answer_late(request: httpx.Request) -> httpx.Response:
    """Answer after a delay."""
    await trio.sleep(ANSWER_SECONDS)
    return httpx.Response(200, content=b'done')


def open_client(instance: object) -> httpx.AsyncClient:
    """Open a client without a network."""
    return httpx.AsyncClient(
        transport=httpx.MockTransport(answer_late), base_url='http://test'
    )


class CallerPoolTest(TestCase):
    """Requests in flight when the callers are stopped are answered."""

    def test_stop(self) -> None:
        with mock.patch(OPEN_CALLER, open_client):
            outcomes = trio.run(
                call_until_stopped, clock=MockClock(autojump_threshold=0)
            )
        self.assertGreater(len(outcomes), 3)
        self.assertEqual({one.body for one in outcomes}, {b'done'})
        self.assertEqual({one.error for one in outcomes}, {''})


async def call_until_stopped() -> list[Outcome]:
    """Stop a caller while several of its requests are in flight."""
    instance = make_layout(Path(), 1, 0, iter(range(99))).instances[0]
    async with open_timer_service() as timers:
        pool = CallerPool(5, timers)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                pool.call, instance, lambda: Target(instance, 1, 3)
            )
            await timers.pause(1)
            pool.stopped = True
    return pool.outcomes


class SplitBodyTest(TestCase):
    """Times of a request whose body is written after its head."""

    # Guards against time limits that count the time to open a connection.
    def test_counts_from_head_to_last_byte(self) -> None:
        outcome = trio.run(
            send_split_body, clock=MockClock(autojump_threshold=0)
        )
        self.assertTrue(outcome.complete)
        written_seconds = outcome.written_at - outcome.sent_at
        self.assertAlmostEqual(written_seconds, BODY_SECONDS, delta=0.01)
        seconds = outcome.ended_at - outcome.sent_at
        self.assertAlmostEqual(
            seconds, BODY_SECONDS + ANSWER_SECONDS, delta=0.01
        )


class LateTransport(httpx.AsyncBaseTransport):
    """Takes time to connect and to answer."""

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Read the body after the time to connect, then answer."""
        await trio.sleep(CONNECT_SECONDS)
        await request.aread()
        return await answer_late(request)


async def send_split_body() -> Outcome:
    """Send a request that takes time to connect and to write."""
    instance = make_layout(Path(), 1, 0, iter(range(99))).instances[0]
    async with (
        open_timer_service(trio.current_time) as timers,
        httpx.AsyncClient(
            transport=LateTransport(), base_url='http://test'
        ) as client,
    ):
        return await CallerPool(5, timers).send(
            client,
            Target(instance, 1, 3),
            RequestKind.CHARGE,
            SplitBody(BODY_SECONDS, timers),
        )
