"""The mixed work that the demo's callers send."""

import random
from collections import Counter
from collections.abc import Sequence
from typing import Final, NamedTuple

import httpx
import msgspec

from cranberryrelay.standins import whole_answer

TOKEN: Final = 'builders'
SHORTEST_PROMPT: Final = 20
KINDS: Final = ('teaser', 'tags', 'overnight-digest')
REQUEST_TIMEOUT_SECONDS: Final = 60.0
_TOKENS_BY_KIND: Final = (8, 4, 24)
_PROMPT_BY_KIND: Final = (200, 400, 4000)
_EVENT_PREFIX: Final = 'data: '


class Tally(NamedTuple):
    """What the callers saw."""

    # Requests by what became of them.
    outcomes: Counter[str]

    # Revision by request id, as the replies said.
    revisions: dict[str, int]

    # Requests answered by kind.
    answered_by_kind: Counter[str]


def make_tally() -> Tally:
    """Make an empty tally."""
    return Tally(Counter(), {}, Counter())


class Job(NamedTuple):
    """One request of the demo."""

    # Kind of work.
    kind: str

    # The prompt, different for each request.
    prompt: str

    # Tokens wanted.
    tokens: int

    # True to stream.
    stream: bool


def make_job(number: int, rng: random.Random) -> Job:
    """Make the request of a number."""
    place = rng.randrange(len(KINDS))
    letters = rng.randrange(_PROMPT_BY_KIND[place]) + SHORTEST_PROMPT
    prompt = f'request {number}: '.ljust(letters, 'x')
    return Job(KINDS[place], prompt, _TOKENS_BY_KIND[place], number % 2 == 0)


async def send_job(
    client: httpx.AsyncClient, url: str, job: Job, tally: Tally
) -> None:
    """Send a request and compare the answer with the one expected."""
    body = {
        'model': job.kind,
        'prompt': job.prompt,
        'max_tokens': job.tokens,
        'stream': job.stream,
    }
    try:
        response = await client.post(
            f'{url}/v1/completions',
            json=body,
            headers={'Authorization': f'Bearer {TOKEN}'},
            timeout=REQUEST_TIMEOUT_SECONDS,
        )
    except httpx.ConnectError:
        tally.outcomes['not_connected'] += 1
        return
    except httpx.HTTPError:
        tally.outcomes['cut'] += 1
        return
    request_id = response.headers.get('X-Request-Id', '')
    if request_id:
        revision = int(response.headers['X-Release-Revision'])
        tally.revisions[request_id] = revision
    if not response.is_success:
        tally.outcomes[response.json()['ran']] += 1
        return
    text = read_answer(response, stream=job.stream)
    outcome = judge_answer(text, job)
    tally.outcomes[outcome] += 1
    if outcome == 'answered':
        tally.answered_by_kind[job.kind] += 1


def judge_answer(text: str | None, job: Job) -> str:
    """Say whether an answer is whole and belongs to its request."""
    expected = whole_answer(job.prompt, job.tokens)
    if text == expected:
        return 'answered'
    if text is None or expected.startswith(text):
        return 'cut'
    return 'crossed'


def read_answer(response: httpx.Response, *, stream: bool) -> str | None:
    """Read the text of an answer; None when a stream has no end."""
    if not stream:
        return str(response.json()['choices'][0]['text'])
    events = [
        line.removeprefix(_EVENT_PREFIX)
        for line in response.text.splitlines()
        if line.startswith(_EVENT_PREFIX)
    ]
    return _join_events(events)


def _join_events(events: Sequence[str]) -> str | None:
    if not events or events[-1] != '[DONE]':
        return None
    documents = [msgspec.json.decode(event) for event in events[:-1]]
    return ''.join(document['choices'][0]['text'] for document in documents)


async def send_renewal(
    client: httpx.AsyncClient, url: str, number: int, tally: Tally
) -> None:
    """Send a renewal that may not be repeated, twice with one key."""
    for _ in range(2):
        try:
            response = await client.post(
                f'{url}/services/subscriptions/renewals',
                content=f'renewal {number}',
                headers={
                    'Authorization': f'Bearer {TOKEN}',
                    'Idempotency-Key': f'renewal-{number}',
                },
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
        except httpx.HTTPError:
            tally.outcomes['not_connected'] += 1
            return
        if response.is_success:
            tally.outcomes['answered'] += 1
        else:
            tally.outcomes[response.json()['ran']] += 1
