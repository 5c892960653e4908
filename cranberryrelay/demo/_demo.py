"""The main job in one process: notes, mixed work, a stop, explanations."""

import random
import sys
import uuid
from typing import Final

import httpx
import trio
from result import Result

from cranberryrelay.agreement import Published, publish
from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.demo._deployment import (
    SOFIA,
    Deployment,
    open_deployment,
)
from cranberryrelay.demo._note import NOTE_TEXT, NOTE_TEXT_AMENDED
from cranberryrelay.demo._work import (
    KINDS,
    Tally,
    make_job,
    make_tally,
    send_job,
    send_renewal,
)
from cranberryrelay.notes import (
    NoteAction,
    NoteCommand,
    parse_release_note,
)
from cranberryrelay.operators import explain_request
from cranberryrelay.platform import open_object_api
from cranberryrelay.standins import EngineSpeed
from cranberryrelay.timing import TimerService, open_timer_service

JOBS: Final = 150
RENEWALS: Final = 10
SEED: Final = 20
READY_SECONDS: Final = 30.0
ACCEPT_SECONDS: Final = 10.0
EXPLAINED: Final = 3
STORE_TIMEOUT_SECONDS: Final = 5.0
_GAP_SECONDS: Final = 0.05
_AMEND_AT: Final = 50
_STOP_AT: Final = 80
_POLL_SECONDS: Final = 0.2
ORDER_SECONDS: Final = 0.2


def say(text: str) -> None:
    """Show progress."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def change_note(
    deployment: Deployment,
    action: NoteAction,
    text: str,
    timers: TimerService,
) -> None:
    """Publish or amend the demo's release note and say what became of it."""
    content = parse_release_note(text).unwrap()
    command = NoteCommand(
        action,
        content.name,
        content,
        uuid.uuid4().hex,
        'demo',
        timers.utc(),
    )
    async with open_object_api(
        deployment.platform, STORE_TIMEOUT_SECONDS
    ) as api:
        published = await publish(
            api, command, deployment.domain_count, timers, ACCEPT_SECONDS
        )
        while _must_repeat(published):
            await timers.pause(_POLL_SECONDS)
            published = await publish(
                api, command, deployment.domain_count, timers, ACCEPT_SECONDS
            )
    outcome = published.unwrap()
    state = 'accepted' if outcome.accepted else 'recorded'
    say(f'revision {outcome.record.revision} {state}: {action}')


def _must_repeat(published: Result[Published, Failure]) -> bool:
    if published.is_ok():
        return False
    return published.unwrap_err().code is ResultCode.STORE_UNAVAILABLE


async def wait_serving(
    deployment: Deployment, client: httpx.AsyncClient, timers: TimerService
) -> bool:
    """Wait until every instance is ready and has an engine."""
    give_up_at = timers.now() + READY_SECONDS
    rng = random.Random(0)
    for instance in deployment.instances:
        answered = False
        while not answered and timers.now() < give_up_at:
            tally = make_tally()
            await send_job(client, instance.url, make_job(0, rng), tally)
            answered = tally.outcomes['answered'] == 1
            await timers.pause(_POLL_SECONDS)
        if not answered:
            return False
    return True


async def send_work(
    deployment: Deployment,
    client: httpx.AsyncClient,
    tally: Tally,
    timers: TimerService,
) -> None:
    """Send mixed work while a note is amended and an instance stops."""
    rng = random.Random(SEED)
    open_urls = [instance.url for instance in deployment.instances]
    async with trio.open_nursery() as nursery:
        for number in range(JOBS):
            url = open_urls[number % len(open_urls)]
            job = make_job(number, rng)
            nursery.start_soon(send_job, client, url, job, tally)
            if number % (JOBS // RENEWALS) == 0:
                nursery.start_soon(send_renewal, client, url, number, tally)
            if number == _AMEND_AT:
                nursery.start_soon(
                    change_note,
                    deployment,
                    NoteAction.AMEND,
                    NOTE_TEXT_AMENDED,
                    timers,
                )
            if number == _STOP_AT:
                say('stopping instance-3 gracefully')
                open_urls.pop()
                deployment.instances[-1].stop_entry.set()
            await timers.pause(_GAP_SECONDS)


async def explain_some(deployment: Deployment, tally: Tally) -> int:
    """Explain the first, the middle and the last request; count matches."""
    names = list(tally.revisions)
    chosen = [names[0], names[len(names) // 2], names[-1]]
    matches = 0
    async with open_object_api(
        deployment.platform, STORE_TIMEOUT_SECONDS
    ) as api:
        for name in chosen:
            explained = await explain_request(api, name)
            if explained.is_err():
                say(f'explain {name}: {explained.unwrap_err().detail}')
                continue
            found = explained.unwrap()
            say(f'explain {name}: {found.certainty} {found.lowest}')
            told = tally.revisions[name]
            exact = found.certainty == 'exact'
            matches += int(exact and found.lowest == told)
    return matches


async def run_demo() -> int:
    """Run the demo; returns the exit status."""
    speed = EngineSpeed(order_seconds=ORDER_SECONDS)
    tally = make_tally()
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(trust_env=False) as client,
        open_deployment(SOFIA, speed) as deployment,
    ):
        say('started: platform, 10 engines, 2 services, 3 instances')
        await change_note(deployment, NoteAction.PUBLISH, NOTE_TEXT, timers)
        if not await wait_serving(deployment, client, timers):
            say(f'{ResultCode.NOT_READY.value} not ready in time')
            return 1
        say('every instance serves; sending mixed work of three ranks')
        await send_work(deployment, client, tally, timers)
        with trio.move_on_after(READY_SECONDS):
            await deployment.instances[-1].ended.wait()
        stopped = deployment.instances[-1].ended.is_set()
        say(f'instance-3 stopped: {stopped}')
        await timers.pause(2)
        matches = await explain_some(deployment, tally)
        return report(deployment, tally, matches, stopped=stopped)


def report(
    deployment: Deployment, tally: Tally, matches: int, *, stopped: bool
) -> int:
    """Print the table and the last line; returns the exit status."""
    say('kind               answered')
    for kind in KINDS:
        say(f'{kind:<18} {tally.answered_by_kind[kind]}')
    engines = deployment.standins.engines.values()
    services = deployment.standins.services.values()
    cut = tally.outcomes['cut'] + tally.outcomes['may_have_run']
    cut += sum(engine.cut for engine in engines)
    crossed = tally.outcomes['crossed']
    repeats = sum(service.count_repeats() for service in services)
    refused = tally.outcomes['not_run'] + tally.outcomes['not_connected']
    answered = tally.outcomes['answered']
    say(
        f'demo: answered={answered} refused_not_run={refused} '
        f'cut={cut} crossed={crossed} ran_twice={repeats}'
    )
    clean = cut == crossed == repeats == 0
    return int(not (clean and stopped and answered and matches == EXPLAINED))


def main() -> None:
    """Run the demo as a program."""
    sys.exit(trio.run(run_demo))
