"""End-to-end tests of the programs in one process, with injected faults.

The store, engines and services are stand-ins.  Only outcomes are checked,
never times.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import TestCase, mock

import httpx
import trio
from nose2.tools import params
from result import Result

from cranberryrelay.agreement import PublishOutcome, publish
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
    wait_until_serving,
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


class DeploymentFixture:
    """A running deployment with an HTTP client."""

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
        """Wait until every entry has received the plan of the service."""
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


async def run_on_deployment(
    scenario: Callable[[DeploymentFixture], Awaitable[None]],
) -> None:
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(trust_env=False) as client,
        open_deployment(SITE, SPEED) as deployment,
    ):
        await change_note(deployment, NoteAction.PUBLISH, NOTE_TEXT, timers)
        assert await wait_until_serving(deployment, client, timers)
        fixture = DeploymentFixture(deployment, client, timers)
        await fixture.wait_for_services()
        await scenario(fixture)


async def check_invalid_requests_are_refused(
    fixture: DeploymentFixture,
) -> None:
    cases: tuple[tuple[dict[str, str], dict[str, Any], int], ...] = (
        ({}, {'model': 'tags', 'prompt': 'x'}, 2101),
        (HEADERS, {'model': 'other', 'prompt': 'x'}, 2103),
        (HEADERS, {'model': 'tags'}, 2104),
        (HEADERS, {'model': 'tags', 'prompt': 'x', 'max_tokens': 0}, 2104),
        (HEADERS, {'model': 'tags', 'prompt': 'x' * 250_000}, 2105),
        ({**HEADERS, 'X-Long': 'x' * 20_000}, {'model': 'tags'}, 2106),
    )
    for headers, body, code in cases:
        reply = await fixture.client.post(
            f'{fixture.url()}/v1/completions', json=body, headers=headers
        )
        problem = reply.json()
        assert problem['code'] == code, problem
        assert problem['ran'] == 'not_run', problem
        assert reply.headers['Content-Type'] == 'application/problem+json'
        assert reply.headers['X-Request-Id'], problem


async def check_answers_complete_after_engine_crash(
    fixture: DeploymentFixture,
) -> None:
    rng = random.Random(1)
    jobs = [
        make_job(number, rng)._replace(max_tokens=60) for number in range(6)
    ]
    tally = make_tally()
    async with trio.open_nursery() as nursery:
        for job in jobs:
            nursery.start_soon(
                send_job, fixture.client, fixture.url(), job, tally
            )
        await fixture.timers.pause(0.15)
        engines = fixture.deployment.standins.engines.values()
        max(engines, key=lambda one: len(one.running)).crash()
    assert tally.outcomes == {'answered': 6}, tally.outcomes


async def check_mismatched_answers_are_not_forwarded(
    fixture: DeploymentFixture,
) -> None:
    fixture.switch_engines(crossed=True)
    tally = await fixture.send(make_job(1, random.Random(1)))
    assert tally.outcomes['answered'] == 0, tally.outcomes
    assert tally.outcomes['crossed'] == 0, tally.outcomes


async def check_poison_request_is_contained(fixture: DeploymentFixture) -> None:
    fixture.switch_engines(crash_on='poison', down_seconds=0.1)
    job = Job('tags', 'this is poison for engines', 4, stream=False)
    for number in (0, 1, 2, 0, 1, 2):
        await fixture.send(job, number)
        await fixture.timers.pause(0.3)
    engines = fixture.deployment.standins.engines.values()
    assert sum(engine.crash_count for engine in engines) <= 2


async def check_repeated_call_runs_once(fixture: DeploymentFixture) -> None:
    first = await fixture.call('key', 'renew', 0)
    assert first.status_code == 200, first.text
    again = await fixture.call('key', 'renew', 1)
    assert again.text == first.text
    other = await fixture.call('key', 'other body', 2)
    assert other.json()['code'] == 2109, other.text
    assert fixture.runs() == {'POST /renewals renew': 1}


async def check_simultaneous_calls_run_once(fixture: DeploymentFixture) -> None:
    async with trio.open_nursery() as nursery:
        for number in (0, 1, 2, 0, 1, 2):
            nursery.start_soon(fixture.call, 'key', 'renew', number)
    assert fixture.runs() == {'POST /renewals renew': 1}


async def check_calls_are_refused_without_store(
    fixture: DeploymentFixture,
) -> None:
    store = fixture.deployment.standins.store
    store.switch_faults({'outage': True})
    refused = await fixture.call('key', 'renew')
    assert refused.json()['code'] == 3110, refused.text
    assert refused.json()['ran'] == 'not_run'
    assert fixture.runs() == {}
    store.switch_faults({'outage': False})
    reply = await fixture.call('key', 'renew')
    while reply.status_code != 200:
        await fixture.timers.pause(0.5)
        reply = await fixture.call('key', 'renew')
    assert fixture.runs() == {'POST /renewals renew': 1}


async def check_models_reload_after_all_engines_crash(
    fixture: DeploymentFixture,
) -> None:
    for engine in fixture.deployment.standins.engines.values():
        engine.crash()
    assert await wait_until_serving(
        fixture.deployment, fixture.client, fixture.timers
    )


def plan_prefill_for_first_engine(
    planner: RolePlanner, roles: dict[str, str], rule: Any, now: float
) -> dict[str, str]:
    """Replace the role plan: prefill for the first engine of a cell."""
    planned = {name: role or 'mixed' for name, role in roles.items()}
    return {**planned, min(planned): 'prefill'} if planned else planned


async def check_prefill_engine_hands_off_to_decode(
    fixture: DeploymentFixture,
) -> None:
    with mock.patch.object(RolePlanner, 'plan', plan_prefill_for_first_engine):
        await change_note(
            fixture.deployment,
            NoteAction.AMEND,
            f'{NOTE_TEXT}[set.roles.newsroom]\nprefill_max = 1\n',
            fixture.timers,
        )
        engines = list(fixture.deployment.standins.engines.values())
        tally = make_tally()
        rng = random.Random(1)
        number = 0
        while not any(engine.kv_import_count for engine in engines):
            number += 1
            job = make_job(number, rng)
            long_job = job._replace(prompt=job.prompt.ljust(9000, 'y'))
            await send_job(fixture.client, fixture.url(), long_job, tally)
    assert tally.outcomes == {'answered': number}, tally.outcomes
    assert engines[0].role == 'prefill'
    assert sum(engine.interrupted_count for engine in engines) == 0


async def check_engine_is_freed_when_caller_disconnects(
    fixture: DeploymentFixture,
) -> None:
    body = {
        'model': 'tags',
        'prompt': 'a long answer',
        'max_tokens': 1000,
        'stream': True,
    }
    for _ in range(5):
        async with fixture.client.stream(
            'POST',
            f'{fixture.url()}/v1/completions',
            json=body,
            headers=HEADERS,
        ) as response:
            lines = response.aiter_lines()
            assert await anext(lines)
    stopped = fixture.deployment.instances[0]
    stopped.stop_entry.set()
    with trio.fail_after(60):
        await stopped.stopped.wait()
    engines = fixture.deployment.standins.engines.values()
    assert sum(len(engine.running) for engine in engines) == 0


async def amend_once(
    fixture: DeploymentFixture,
    operation: str,
    outcomes: list[Result[PublishOutcome, Failure]],
) -> None:
    """Amend the note as one operator; append the result to ``outcomes``."""
    text = NOTE_TEXT.replace('floor = 0.3', 'floor = 0.25')
    content = parse_release_note(text).unwrap()
    command = NoteCommand(
        NoteAction.AMEND, content.name, content, operation, operation, 0
    )
    async with open_object_api(fixture.deployment.platform_url, 1.0) as api:
        outcomes.append(
            await publish(api, command, DOMAIN_COUNT, fixture.timers, 20)
        )


async def check_concurrent_amendments_conflict(
    fixture: DeploymentFixture,
) -> None:
    outcomes: list[Result[PublishOutcome, Failure]] = []
    async with trio.open_nursery() as nursery:
        for operator in ('anna', 'boris'):
            nursery.start_soon(amend_once, fixture, operator, outcomes)
    published = [one.unwrap() for one in outcomes if one.is_ok()]
    refused = [one.unwrap_err() for one in outcomes if one.is_err()]
    codes = {failure.code for failure in refused}
    revisions = sorted(one.record.revision for one in published)
    assert codes <= {ResultCode.NOTE_CONFLICT}, refused
    assert revisions == list(range(2, 2 + len(published))), revisions
    assert all(one.accepted for one in published)


async def check_amendment_survives_lost_store_answer(
    fixture: DeploymentFixture,
) -> None:
    fixture.deployment.standins.store.switch_faults({'lost_answers': 1})
    outcomes: list[Result[PublishOutcome, Failure]] = []
    await amend_once(fixture, 'anna', outcomes)
    published = outcomes[0].unwrap()
    assert published.record.revision == 2, published
    assert published.accepted


async def check_service_continues_after_instance_kill(
    fixture: DeploymentFixture,
) -> None:
    killed = fixture.deployment.instances[0]
    killed.kill.cancel()
    await killed.stopped.wait()
    for number in (1, 2):
        tally = await fixture.send(make_job(number, random.Random(1)), number)
        assert tally.outcomes == {'answered': 1}, tally.outcomes
    async with trio.open_nursery() as nursery:
        again = start_instance(killed.settings, nursery)
        fixture.deployment.instances[0] = again
        assert await wait_until_serving(
            fixture.deployment, fixture.client, fixture.timers
        )
        nursery.cancel_scope.cancel()


class DeploymentTest(TestCase):
    """Checks what callers and operators see under faults."""

    @params(
        check_invalid_requests_are_refused,
        check_answers_complete_after_engine_crash,
        check_mismatched_answers_are_not_forwarded,
        check_poison_request_is_contained,
        check_models_reload_after_all_engines_crash,
        check_prefill_engine_hands_off_to_decode,
        check_engine_is_freed_when_caller_disconnects,
        check_concurrent_amendments_conflict,
        check_amendment_survives_lost_store_answer,
        check_repeated_call_runs_once,
        check_simultaneous_calls_run_once,
        check_calls_are_refused_without_store,
        check_service_continues_after_instance_kill,
    )
    def test_deployment(
        self, scenario: Callable[[DeploymentFixture], Awaitable[None]]
    ) -> None:
        trio.run(run_on_deployment, scenario)
