"""The real programs in one process, on stand-ins, with faults.

Outcomes are checked, never times.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import TestCase, mock

import httpx
import trio
from nose2.tools import params
from result import Result

from cranberryrelay.agreement import Published, publish
from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.demo import (
    NOTE_TEXT,
    Deployment,
    Job,
    Site,
    Tally,
    change_note,
    make_job,
    make_tally,
    open_deployment,
    send_job,
    start_instance,
    wait_serving,
)
from cranberryrelay.notes import (
    NoteAction,
    NoteCommand,
    parse_release_note,
)
from cranberryrelay.platform import open_object_api
from cranberryrelay.policy import RolePlanner
from cranberryrelay.standins import EngineSpeed
from cranberryrelay.timing import TimerService, open_timer_service

SITE = Site(
    domains=('one', 'two', 'three'),
    instances=3,
    engines={'newsroom': 3},
    services={'subscriptions': 1},
)
SPEED = EngineSpeed(step_seconds=0.005, order_seconds=0.1)
DOMAIN_COUNT = 3
HEADERS = {'Authorization': 'Bearer builders'}


class Bench:
    """A running deployment and a client."""

    def __init__(
        self,
        deployment: Deployment,
        client: httpx.AsyncClient,
        timers: TimerService,
    ) -> None:
        self.deployment = deployment
        self.client = client
        self.timers = timers

    def switch_engines(self, **switches: Any) -> None:
        for engine in self.deployment.standins.engines.values():
            engine.switch_faults(switches)

    def url(self, number: int = 0) -> str:
        return self.deployment.instances[number].url

    async def send(self, job: Job, number: int = 0) -> Tally:
        tally = make_tally()
        await send_job(self.client, self.url(number), job, tally)
        return tally

    async def call(
        self, key: str, body: str, number: int = 0
    ) -> httpx.Response:
        return await self.client.post(
            f'{self.url(number)}/services/subscriptions/renewals',
            content=body,
            headers={**HEADERS, 'Idempotency-Key': key},
            timeout=30,
        )

    async def wait_for_services(self) -> None:
        """Wait until every entry has the plan of the service."""
        for instance in self.deployment.instances:
            ready = False
            while not ready:
                reply = await self.client.get(
                    f'{instance.url}/services/subscriptions/members',
                    headers=HEADERS,
                )
                ready = reply.is_success
                await self.timers.pause(0.1)

    def runs(self) -> dict[str, int]:
        services = self.deployment.standins.services.values()
        runs = next(iter(services)).runs
        return {call: runs[call] for call in runs if 'POST' in call}


async def on_deployment(work: Callable[[Bench], Awaitable[None]]) -> None:
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(trust_env=False) as client,
        open_deployment(SITE, SPEED) as deployment,
    ):
        await change_note(deployment, NoteAction.PUBLISH, NOTE_TEXT, timers)
        assert await wait_serving(deployment, client, timers)
        bench = Bench(deployment, client, timers)
        await bench.wait_for_services()
        await work(bench)


async def refuse_bad_requests(bench: Bench) -> None:
    cases: tuple[tuple[dict[str, str], dict[str, Any], int], ...] = (
        ({}, {'model': 'tags', 'prompt': 'x'}, 2101),
        (HEADERS, {'model': 'other', 'prompt': 'x'}, 2103),
        (HEADERS, {'model': 'tags'}, 2104),
        (HEADERS, {'model': 'tags', 'prompt': 'x', 'max_tokens': 0}, 2104),
        (HEADERS, {'model': 'tags', 'prompt': 'x' * 250_000}, 2105),
        ({**HEADERS, 'X-Long': 'x' * 20_000}, {'model': 'tags'}, 2106),
    )
    for headers, body, code in cases:
        reply = await bench.client.post(
            f'{bench.url()}/v1/completions', json=body, headers=headers
        )
        problem = reply.json()
        assert problem['code'] == code, problem
        assert problem['ran'] == 'not_run', problem
        assert reply.headers['Content-Type'] == 'application/problem+json'
        assert reply.headers['X-Request-Id'], problem


async def answer_whole_after_a_crash(bench: Bench) -> None:
    rng = random.Random(1)
    jobs = [make_job(number, rng)._replace(tokens=60) for number in range(6)]
    tally = make_tally()
    async with trio.open_nursery() as nursery:
        for job in jobs:
            nursery.start_soon(send_job, bench.client, bench.url(), job, tally)
        await bench.timers.pause(0.15)
        engines = bench.deployment.standins.engines.values()
        max(engines, key=lambda one: len(one.running)).crash()
    assert tally.outcomes == {'answered': 6}, tally.outcomes


async def never_pass_a_crossed_answer_on(bench: Bench) -> None:
    bench.switch_engines(crossed=True)
    tally = await bench.send(make_job(1, random.Random(1)))
    assert tally.outcomes['answered'] == 0, tally.outcomes
    assert tally.outcomes['crossed'] == 0, tally.outcomes


async def contain_a_request_that_crashes_engines(bench: Bench) -> None:
    bench.switch_engines(crash_on='poison', down_seconds=0.1)
    job = Job('tags', 'this is poison for engines', 4, stream=False)
    for number in (0, 1, 2, 0, 1, 2):
        await bench.send(job, number)
        await bench.timers.pause(0.3)
    engines = bench.deployment.standins.engines.values()
    assert sum(engine.crashes for engine in engines) <= 2


async def run_a_repeated_call_once(bench: Bench) -> None:
    first = await bench.call('key', 'renew', 0)
    assert first.status_code == 200, first.text
    again = await bench.call('key', 'renew', 1)
    assert again.text == first.text
    other = await bench.call('key', 'other body', 2)
    assert other.json()['code'] == 2109, other.text
    assert bench.runs() == {'POST /renewals renew': 1}


async def run_simultaneous_calls_once(bench: Bench) -> None:
    async with trio.open_nursery() as nursery:
        for number in (0, 1, 2, 0, 1, 2):
            nursery.start_soon(bench.call, 'key', 'renew', number)
    assert bench.runs() == {'POST /renewals renew': 1}


async def refuse_calls_truly_without_the_store(bench: Bench) -> None:
    store = bench.deployment.standins.store
    store.switch_faults({'outage': True})
    refused = await bench.call('key', 'renew')
    assert refused.json()['code'] == 3110, refused.text
    assert refused.json()['ran'] == 'not_run'
    assert bench.runs() == {}
    store.switch_faults({'outage': False})
    reply = await bench.call('key', 'renew')
    while reply.status_code != 200:
        await bench.timers.pause(0.5)
        reply = await bench.call('key', 'renew')
    assert bench.runs() == {'POST /renewals renew': 1}


async def load_again_after_every_engine_crashed(bench: Bench) -> None:
    for engine in bench.deployment.standins.engines.values():
        engine.crash()
    assert await wait_serving(bench.deployment, bench.client, bench.timers)


def let_first_prefill(
    planner: RolePlanner, roles: dict[str, str], rule: Any, now: float
) -> dict[str, str]:
    """Plan the role prefill for the first engine of a cell."""
    planned = {name: role or 'mixed' for name, role in roles.items()}
    return {**planned, min(planned): 'prefill'} if planned else planned


async def hand_on_from_a_prefill_engine(bench: Bench) -> None:
    with mock.patch.object(RolePlanner, 'plan', let_first_prefill):
        await change_note(
            bench.deployment,
            NoteAction.AMEND,
            f'{NOTE_TEXT}[set.roles.newsroom]\nprefill_max = 1\n',
            bench.timers,
        )
        engines = list(bench.deployment.standins.engines.values())
        tally = make_tally()
        rng = random.Random(1)
        number = 0
        while not any(engine.imports for engine in engines):
            number += 1
            job = make_job(number, rng)
            long = job._replace(prompt=job.prompt.ljust(9000, 'y'))
            await send_job(bench.client, bench.url(), long, tally)
    assert tally.outcomes == {'answered': number}, tally.outcomes
    assert engines[0].role == 'prefill'
    assert sum(engine.cut for engine in engines) == 0


async def free_the_engine_when_a_caller_leaves(bench: Bench) -> None:
    body = {
        'model': 'tags',
        'prompt': 'a long answer',
        'max_tokens': 1000,
        'stream': True,
    }
    for _ in range(5):
        async with bench.client.stream(
            'POST',
            f'{bench.url()}/v1/completions',
            json=body,
            headers=HEADERS,
        ) as response:
            lines = response.aiter_lines()
            assert await anext(lines)
    stopped = bench.deployment.instances[0]
    stopped.stop_entry.set()
    with trio.fail_after(60):
        await stopped.ended.wait()
    engines = bench.deployment.standins.engines.values()
    assert sum(len(engine.running) for engine in engines) == 0


async def amend_once(
    bench: Bench, operation: str, outcomes: list[Result[Published, Failure]]
) -> None:
    """Amend the note as one operator; keep what became of it."""
    text = NOTE_TEXT.replace('floor = 0.3', 'floor = 0.25')
    content = parse_release_note(text).unwrap()
    command = NoteCommand(
        NoteAction.AMEND, content.name, content, operation, operation, 0
    )
    async with open_object_api(bench.deployment.platform, 1.0) as api:
        outcomes.append(
            await publish(api, command, DOMAIN_COUNT, bench.timers, 20)
        )


async def let_one_of_two_operators_win(bench: Bench) -> None:
    outcomes: list[Result[Published, Failure]] = []
    async with trio.open_nursery() as nursery:
        for operator in ('anna', 'boris'):
            nursery.start_soon(amend_once, bench, operator, outcomes)
    won = [one.unwrap() for one in outcomes if one.is_ok()]
    lost = [one.unwrap_err() for one in outcomes if one.is_err()]
    codes = {failure.code for failure in lost}
    revisions = sorted(one.record.revision for one in won)
    assert codes <= {ResultCode.NOTE_CONFLICT}, lost
    assert revisions == list(range(2, 2 + len(won))), revisions
    assert all(one.accepted for one in won)


async def settle_a_lost_answer(bench: Bench) -> None:
    bench.deployment.standins.store.switch_faults({'lost_answers': 1})
    outcomes: list[Result[Published, Failure]] = []
    await amend_once(bench, 'anna', outcomes)
    published = outcomes[0].unwrap()
    assert published.record.revision == 2, published
    assert published.accepted


async def serve_on_after_an_instance_is_killed(bench: Bench) -> None:
    killed = bench.deployment.instances[0]
    killed.kill.cancel()
    await killed.ended.wait()
    for number in (1, 2):
        tally = await bench.send(make_job(number, random.Random(1)), number)
        assert tally.outcomes == {'answered': 1}, tally.outcomes
    async with trio.open_nursery() as nursery:
        again = start_instance(killed.settings, nursery)
        bench.deployment.instances[0] = again
        assert await wait_serving(bench.deployment, bench.client, bench.timers)
        nursery.cancel_scope.cancel()


class DeploymentTest(TestCase):
    """What callers see when things go wrong."""

    @params(
        refuse_bad_requests,
        answer_whole_after_a_crash,
        never_pass_a_crossed_answer_on,
        contain_a_request_that_crashes_engines,
        load_again_after_every_engine_crashed,
        hand_on_from_a_prefill_engine,
        free_the_engine_when_a_caller_leaves,
        let_one_of_two_operators_win,
        settle_a_lost_answer,
        run_a_repeated_call_once,
        run_simultaneous_calls_once,
        refuse_calls_truly_without_the_store,
        serve_on_after_an_instance_is_killed,
    )
    def test_deployment(self, work: Callable[[Bench], Awaitable[None]]) -> None:
        trio.run(on_deployment, work)
