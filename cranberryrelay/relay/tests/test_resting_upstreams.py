"""Upstreams that refuse requests and ask the instance that sent them for rest.

Load pattern: for a while, some or all upstreams of a role refuse all requests.
"""

from contextlib import AsyncExitStack
from typing import NamedTuple
from unittest import TestCase

import httpx
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.codes import ExecutionState, Failure, ResultCode
from cranberryrelay.relay import (
    ClientLimits,
    ModelRequest,
    PromptSegment,
    RequestKind,
    Role,
    Route,
    Upstream,
)
from cranberryrelay.relay._context import AdmittedRequest, RelayContext
from cranberryrelay.relay._model_path import ModelRun
from cranberryrelay.relay._plain_path import PlainRun
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay.tests.fixtures import (
    make_arrival,
    make_plain_table,
    make_route,
    make_settings,
    make_table,
    open_mock_context,
)
from cranberryrelay.relay.tests.fleet_play import (
    EVENTS,
    ID_HEADER,
    PREFILL_RESPONSE,
    STAGE_HEADER,
    EventBody,
)

NOT_RUN = {'X-Cranberryrelay-Not-Executed': '1'}
REST_SECONDS = 3.0
REQUESTS = 60
INTERVAL_SECONDS = 0.1

# Latest return that a caller may be told: the end of a rest, and a spread.
LATEST = REST_SECONDS + 1

# A long prompt, of which several are read at a time, and its slow answer.
PROMPT_TOKENS = 12_000
PREFILL_EVENTS = (*(b' ',) * 12, PREFILL_RESPONSE)

# Bounds that the operators state: requests that reach an upstream from this
# time after its refusal on, until its rest ends.
TRANSIT_SECONDS = 0.5
REQUESTS_ALLOWED = 2

# Time in which a request that can't be served must be refused.
REFUSAL_SECONDS = 0.1


class RestingUpstreams:
    """Upstreams of which some refuse all requests and ask for rest."""

    def __init__(self, resting: frozenset[str]) -> None:
        self.resting = resting
        self.refused_at: dict[str, list[float]] = {}
        self.reached_by: set[str] = set()

    def respond(self, request: httpx.Request) -> httpx.Response:
        """Respond as the upstream at the host of the request."""
        host = request.url.host
        headers = {ID_HEADER: request.headers[ID_HEADER]}
        self.reached_by.add(headers[ID_HEADER])
        if host in self.resting:
            self.refused_at.setdefault(host, []).append(trio.current_time())
            headers |= {**NOT_RUN, 'Retry-After': str(REST_SECONDS)}
            return httpx.Response(503, headers=headers)
        prefills = request.headers.get(STAGE_HEADER)
        events = PREFILL_EVENTS if prefills else EVENTS
        return httpx.Response(200, headers=headers, stream=EventBody(events))

    def most_in_rest(self, host: str) -> int:
        """Return the most requests that reached an upstream in one rest."""
        times = self.refused_at.get(host, [])
        return max(
            sum(
                refused_at + TRANSIT_SECONDS <= at < refused_at + REST_SECONDS
                for at in times
            )
            for refused_at in times
        )


class Case(NamedTuple):
    """A row: the service's upstreams, those that ask for rest, and the result.

    Names of prefill engines begin with 'p', of decode engines with 'd', of
    processes of a plain service with 's'.
    """

    name: str
    upstreams: tuple[str, ...]
    resting: frozenset[str]
    served: bool
    kind: RequestKind = RequestKind.STREAM


ENGINES = ('p0', 'p1', 'd0', 'd1')
CASES = (
    Case('a prefill engine', ENGINES, frozenset(('p0',)), served=True),
    Case('a decode engine', ENGINES, frozenset(('d0',)), served=True),
    Case('prefill engines', ENGINES, frozenset(('p0', 'p1')), served=False),
    Case('decode engines', ENGINES, frozenset(('d0', 'd1')), served=False),
    Case(
        'a process',
        ('s0', 's1'),
        frozenset(('s0',)),
        served=True,
        kind=RequestKind.IDEMPOTENT,
    ),
    Case(
        'all processes, calls that may run once',
        ('s0', 's1'),
        frozenset(('s0', 's1')),
        served=False,
        kind=RequestKind.AT_MOST_ONCE,
    ),
)
ROLES = {'p': Role.PREFILL, 'd': Role.DECODE, 's': Role.PLAIN}


class Outcome(NamedTuple):
    """How a request ended."""

    # Id of the request.
    request_id: str

    # Why it was refused; None if it was served.
    failure: Failure | None

    # Time that it took, in seconds.
    seconds: float


class RestingUpstreamTest(TestCase):
    """An upstream that asked for rest gets it, and the others the requests."""

    # Guards against requests to an upstream that has asked for rest, also when
    # no other upstream is left.
    @params(*((case,) for case in CASES))
    def test_rest_is_kept(self, case: Case) -> None:
        upstreams = RestingUpstreams(case.resting)
        outcomes = play(case, upstreams)
        for host in case.resting:
            self.assertLessEqual(
                upstreams.most_in_rest(host), REQUESTS_ALLOWED, host
            )
        served = sum(one.failure is None for one in outcomes)
        self.assertEqual(served, REQUESTS if case.served else 0)

    # Guards against holding or failing requests that nothing can serve: they
    # are refused at once, and told when to come back.
    @params(*((case,) for case in CASES if not case.served))
    def test_refusal_tells_when_the_rest_ends(self, case: Case) -> None:
        upstreams = RestingUpstreams(case.resting)
        unsent = [
            one
            for one in play(case, upstreams)
            if one.request_id not in upstreams.reached_by
        ]
        self.assertGreater(len(unsent), REQUESTS / 2)
        for outcome in unsent:
            self.assertLess(outcome.seconds, REFUSAL_SECONDS)
            failure = outcome.failure
            assert failure is not None
            self.assertIs(failure.code, ResultCode.UPSTREAMS_RESTING)
            self.assertIs(failure.ran, ExecutionState.NOT_RUN)
            self.assertTrue(0 < (failure.retry_after_seconds or 0) < LATEST)


def play(case: Case, upstreams: RestingUpstreams) -> list[Outcome]:
    """Send requests at even intervals; return how they ended."""
    outcomes: list[Outcome] = []
    clock = MockClock(autojump_threshold=0)
    trio.run(send_requests, case, upstreams, outcomes, clock=clock)
    return outcomes


async def send_requests(
    case: Case, upstreams: RestingUpstreams, outcomes: list[Outcome]
) -> None:
    """Send requests at even intervals to one instance."""
    route = make_route(case.kind)._replace(attempts_limit=2, resumable=True)
    state = RelayState(make_settings())
    if case.kind is RequestKind.STREAM:
        state.apply_table(make_table(1, route), 'test')
    else:
        state.apply_table(make_plain_table(1, route, ClientLimits()), 'test')
    for name in case.upstreams:
        role = ROLES[name[0]]
        upstream = Upstream(name, 1, 's', f'{name}:1', 'a', 64, False, role)
        state.apply_upstream(upstream, 'test')
    async with (
        open_mock_context(state, upstreams.respond) as context,
        trio.open_nursery() as nursery,
    ):
        for number in range(REQUESTS):
            nursery.start_soon(send, context, route, f'r{number}', outcomes)
            await trio.sleep(INTERVAL_SECONDS)


async def send(
    context: RelayContext, route: Route, name: str, outcomes: list[Outcome]
) -> None:
    """Send one request and record how it ended."""
    began_at = context.timers.now()
    prompt = ModelRequest(
        'm', PROMPT_TOKENS, 32, (PromptSegment(name, PROMPT_TOKENS),)
    )
    is_stream = route.kind is RequestKind.STREAM
    request = make_arrival(name, prompt if is_stream else None)._replace(
        arrived_at=began_at, headers=((ID_HEADER.encode(), name.encode()),)
    )
    async with AsyncExitStack() as stack:
        admitted = AdmittedRequest(request, route, 's', 1, began_at + 8, stack)
        run = ModelRun if is_stream else PlainRun
        outcome = await run(context, admitted).run()
        failure = outcome.err()
    seconds = context.timers.now() - began_at
    outcomes.append(Outcome(name, failure, seconds))
