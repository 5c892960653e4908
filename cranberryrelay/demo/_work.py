"""The mixed work that the demo's callers send."""

import random
from collections import Counter
from collections.abc import Sequence
from typing import Final, NamedTuple

import httpx
import msgspec

from cranberryrelay.standins import make_answer_text

TOKEN: Final = 'builders'
MIN_PROMPT_LENGTH: Final = 20
KINDS: Final = ('teaser', 'tags', 'overnight-digest')
REQUEST_TIMEOUT_SECONDS: Final = 60.0
_TOKENS_BY_KIND: Final = (8, 4, 24)
_PROMPT_LENGTH_RANGES: Final = (200, 400, 4000)
_EVENT_PREFIX: Final = 'data: '


class Tally(NamedTuple):
    """Counts and revisions that the callers observed."""

    # Number of requests by outcome.
    outcomes: Counter[str]

    # Revision by request id, from the headers of the replies.
    revisions: dict[str, int]

    # Number of answered requests by kind of work.
    answered_by_kind: Counter[str]


def make_tally() -> Tally:
    """Make an empty tally."""
    return Tally(Counter(), {}, Counter())


class Job(NamedTuple):
    """One request of the demo."""

    # Kind of work.
    kind: str

    # Prompt, unique to each request.
    prompt: str

    # Number of tokens to generate.
    max_tokens: int

    # True if the answer is streamed.
    stream: bool


def make_job(number: int, rng: random.Random) -> Job:
    """Make request number ``number`` of a random kind and prompt length."""
    kind_index = rng.randrange(len(KINDS))
    prompt_length = (
        rng.randrange(_PROMPT_LENGTH_RANGES[kind_index]) + MIN_PROMPT_LENGTH
    )
    prompt = f'request {number}: '.ljust(prompt_length, 'x')
    return Job(
        KINDS[kind_index], prompt, _TOKENS_BY_KIND[kind_index], number % 2 == 0
    )


async def send_job(
    client: httpx.AsyncClient, url: str, job: Job, tally: Tally
) -> None:
    """Send a request and record its outcome and revision in the tally."""
    body = {
        'model': job.kind,
        'prompt': job.prompt,
        'max_tokens': job.max_tokens,
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
    outcome = classify_answer(text, job)
    tally.outcomes[outcome] += 1
    if outcome == 'answered':
        tally.answered_by_kind[job.kind] += 1


def classify_answer(text: str | None, job: Job) -> str:
    """Classify an answer: 'answered', 'cut' or 'crossed'.

    A cut answer is incomplete; a crossed one belongs to another request.
    """
    expected = make_answer_text(job.prompt, job.max_tokens)
    if text == expected:
        return 'answered'
    if text is None or expected.startswith(text):
        return 'cut'
    return 'crossed'


def read_answer(response: httpx.Response, *, stream: bool) -> str | None:
    """Read the text of an answer; None if a stream is incomplete."""
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
    """Send a renewal twice with one idempotency key; it must run once."""
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
