"""Runs the demo: publishes a note, sends work, stops an instance, explains.

The exit status is 0 only if the work was answered, no answer was incomplete or
belonged to another request, no call was repeated, the instance stopped and
the revisions of the explained requests match their replies.
"""

import random
import sys
import uuid
from typing import Final

import httpx
import trio
from result import Result

from cranberryrelay.agreement import PublishOutcome, publish
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

JOB_COUNT: Final = 150
RENEWAL_COUNT: Final = 10
SEED: Final = 20
READY_SECONDS: Final = 30.0
ACCEPT_SECONDS: Final = 10.0
EXPLAINED_REQUESTS: Final = 3
STORE_TIMEOUT_SECONDS: Final = 5.0
_SEND_INTERVAL_SECONDS: Final = 0.05
_AMEND_AT_JOB: Final = 50
_STOP_AT_JOB: Final = 80
_POLL_SECONDS: Final = 0.2
ORDER_DURATION_SECONDS: Final = 0.2


def print_progress(text: str) -> None:
    """Print a line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def change_note(
    deployment: Deployment,
    action: NoteAction,
    text: str,
    timers: TimerService,
) -> None:
    """Publish or amend the demo's release note and print the outcome.

    Retries while the store is unavailable.
    """
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
        deployment.platform_url, STORE_TIMEOUT_SECONDS
    ) as api:
        published = await publish(
            api, command, deployment.domain_count, timers, ACCEPT_SECONDS
        )
        while _should_retry(published):
            await timers.pause(_POLL_SECONDS)
            published = await publish(
                api, command, deployment.domain_count, timers, ACCEPT_SECONDS
            )
    outcome = published.unwrap()
    state = 'accepted' if outcome.accepted else 'recorded'
    print_progress(f'revision {outcome.record.revision} {state}: {action}')


def _should_retry(published: Result[PublishOutcome, Failure]) -> bool:
    if published.is_ok():
        return False
    return published.unwrap_err().code is ResultCode.STORE_UNAVAILABLE


async def wait_until_serving(
    deployment: Deployment, client: httpx.AsyncClient, timers: TimerService
) -> bool:
    """Wait until each instance is ready and has an engine.

    Returns whether each answered a request within ``READY_SECONDS``.
    """
    deadline = timers.now() + READY_SECONDS
    rng = random.Random(0)
    for instance in deployment.instances:
        answered = False
        while not answered and timers.now() < deadline:
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
    """Send mixed work while the note is amended and an instance stops."""
    rng = random.Random(SEED)
    urls = [instance.url for instance in deployment.instances]
    async with trio.open_nursery() as nursery:
        for number in range(JOB_COUNT):
            url = urls[number % len(urls)]
            job = make_job(number, rng)
            nursery.start_soon(send_job, client, url, job, tally)
            if number % (JOB_COUNT // RENEWAL_COUNT) == 0:
                nursery.start_soon(send_renewal, client, url, number, tally)
            if number == _AMEND_AT_JOB:
                nursery.start_soon(
                    change_note,
                    deployment,
                    NoteAction.AMEND,
                    NOTE_TEXT_AMENDED,
                    timers,
                )
            if number == _STOP_AT_JOB:
                print_progress('stopping instance-3 gracefully')
                urls.pop()
                deployment.instances[-1].stop_entry.set()
            await timers.pause(_SEND_INTERVAL_SECONDS)


async def explain_sample(deployment: Deployment, tally: Tally) -> int:
    """Explain the first, middle and last request; returns the matches.

    An explanation matches if it is exact and names the revision of the reply.
    """
    request_ids = list(tally.revisions)
    chosen = [
        request_ids[0],
        request_ids[len(request_ids) // 2],
        request_ids[-1],
    ]
    matches = 0
    async with open_object_api(
        deployment.platform_url, STORE_TIMEOUT_SECONDS
    ) as api:
        for request_id in chosen:
            explained = await explain_request(api, request_id)
            if explained.is_err():
                print_progress(
                    f'explain {request_id}: {explained.unwrap_err().detail}'
                )
                continue
            found = explained.unwrap()
            print_progress(
                f'explain {request_id}: {found.certainty} {found.lowest}'
            )
            expected = tally.revisions[request_id]
            is_exact = found.certainty == 'exact'
            matches += int(is_exact and found.lowest == expected)
    return matches


async def run_demo() -> int:
    """Run the demo; returns the exit status."""
    speed = EngineSpeed(order_seconds=ORDER_DURATION_SECONDS)
    tally = make_tally()
    async with (
        open_timer_service() as timers,
        httpx.AsyncClient(trust_env=False) as client,
        open_deployment(SOFIA, speed) as deployment,
    ):
        print_progress('started: platform, 10 engines, 2 services, 3 instances')
        await change_note(deployment, NoteAction.PUBLISH, NOTE_TEXT, timers)
        if not await wait_until_serving(deployment, client, timers):
            print_progress(f'{ResultCode.NOT_READY.value} not ready in time')
            return 1
        print_progress(
            'every instance serves; sending mixed work of three ranks'
        )
        await send_work(deployment, client, tally, timers)
        with trio.move_on_after(READY_SECONDS):
            await deployment.instances[-1].stopped.wait()
        stopped = deployment.instances[-1].stopped.is_set()
        print_progress(f'instance-3 stopped: {stopped}')
        await timers.pause(2)
        matches = await explain_sample(deployment, tally)
        return report(deployment, tally, matches, stopped=stopped)


def report(
    deployment: Deployment, tally: Tally, matches: int, *, stopped: bool
) -> int:
    """Print the answers by kind and the summary; returns the exit status."""
    print_progress('kind               answered')
    for kind in KINDS:
        print_progress(f'{kind:<18} {tally.answered_by_kind[kind]}')
    engines = deployment.standins.engines.values()
    services = deployment.standins.services.values()
    cut = tally.outcomes['cut'] + tally.outcomes['may_have_run']
    cut += sum(engine.interrupted_count for engine in engines)
    crossed = tally.outcomes['crossed']
    duplicates = sum(service.count_repeated_calls() for service in services)
    refused = tally.outcomes['not_run'] + tally.outcomes['not_connected']
    answered = tally.outcomes['answered']
    print_progress(
        f'demo: answered={answered} refused_not_run={refused} '
        f'cut={cut} crossed={crossed} ran_twice={duplicates}'
    )
    is_clean = cut == crossed == duplicates == 0
    return int(
        not (
            is_clean and stopped and answered and matches == EXPLAINED_REQUESTS
        )
    )


def main() -> None:
    """Run the demo and exit with its status."""
    sys.exit(trio.run(run_demo))
