"""Many answers at once that grow without end, or to the limit, and stall.

Load pattern, in virtual time: upstreams of a plain service send large answers
to many calls together. Guards against an instance that keeps them all and runs
out of memory, though each answer is below its limit.
"""

import tracemalloc
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Final, NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from result import Err
from trio.testing import MockClock

from cranberryrelay.codes import ResultCode
from cranberryrelay.relay import RequestKind
from cranberryrelay.relay._context import BufferedReply
from cranberryrelay.relay._pipeline import RelayPipeline
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_route,
    open_mock_context,
)
from cranberryrelay.relay.tests.fleet_play import ID_HEADER
from cranberryrelay.relay.tests.test_faulty_answers import make_plain_state

CALLS: Final = 60
PART: Final = bytes(60_000)
PART_SECONDS: Final = 0.01

# Memory for all calls together: half of that of the smallest instances less
# what an instance takes at rest, in bytes.
MEMORY_BYTES: Final = 70_000_000
SOUND: Final = 'sound'
ANSWER: Final = b'whole answer'


class Case(NamedTuple):
    """A row: how large the answers grow, and what is said of them."""

    name: str

    # Parts that an upstream sends before it stalls.
    parts: int
    codes: frozenset[ResultCode]


TOO_LARGE: Final = ResultCode.ANSWER_TOO_LARGE
STALLED: Final = ResultCode.UPSTREAM_TIMEOUT
CASES: Final = (
    Case('small ones stall', 1, frozenset((STALLED,))),
    Case('below the limit', 65, frozenset((STALLED, TOO_LARGE))),
    Case('without end', 10_000, frozenset((TOO_LARGE,))),
)


async def grow(parts: int) -> AsyncIterator[bytes]:
    """Yield parts of an answer, then nothing more."""
    for _ in range(parts):
        await trio.sleep(PART_SECONDS)
        yield bytes(len(PART))
    await trio.sleep_forever()


async def call(pipeline: RelayPipeline, name: str) -> bytes | ResultCode:
    """Send a request of a caller; return the body, or the code."""
    arrival = make_arrival('')._replace(
        headers=((ID_HEADER.encode(), name.encode()), (b'Host', b'a.example')),
        arrived_at=pipeline.context.timers.now(),
    )
    async with AsyncExitStack() as stack:
        outcome = await pipeline.serve(arrival, stack)
        if isinstance(outcome, Err):
            return outcome.unwrap_err().code
        reply = outcome.unwrap()
        assert isinstance(reply, BufferedReply)
        return reply.body


async def play(
    case: Case, state: RelayState
) -> tuple[list[bytes | ResultCode], bytes | ResultCode]:
    """Return the outcomes of the calls, and of a sound one beside them."""
    outcomes: list[bytes | ResultCode] = []

    def respond(request: httpx.Request) -> httpx.Response:
        name = request.headers[ID_HEADER]
        content = ANSWER if name == SOUND else grow(case.parts)
        return httpx.Response(200, headers={ID_HEADER: name}, content=content)

    async def add_outcome(pipeline: RelayPipeline, name: str) -> None:
        outcomes.append(await call(pipeline, name))

    async with (
        open_mock_context(state, respond) as context,
        trio.open_nursery() as nursery,
    ):
        pipeline = RelayPipeline(context)
        for idx in range(CALLS):
            nursery.start_soon(add_outcome, pipeline, f'r{idx}')
        await trio.sleep(case.parts * PART_SECONDS / 2)
        sound = await call(pipeline, SOUND)
    return outcomes, sound


class AnswerBudgetTest(TestCase):
    """Answers that are read whole take limited memory together."""

    # An instance ran out of memory with many answers, none of them too large.
    @params(*((case,) for case in CASES))
    def test_memory_is_limited(self, case: Case) -> None:
        state = make_plain_state(make_route(RequestKind.AT_MOST_ONCE))
        tracemalloc.start()
        clock = MockClock(autojump_threshold=0)
        outcomes, sound = trio.run(play, case, state, clock=clock)
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertLessEqual(peak_bytes, MEMORY_BYTES)
        self.assertEqual(set(outcomes), case.codes)
        self.assertEqual(len(outcomes), CALLS)
        self.assertEqual(sound, ANSWER)
        self.assertEqual(state.answer_budget.shared_bytes, 0)
