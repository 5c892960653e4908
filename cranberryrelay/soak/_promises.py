"""Checks what must hold at all times against what was seen in a run."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from cranberryrelay.soak._evidence import (
    ONCE,
    STREAMS,
    Evidence,
    Leaving,
    NoteSent,
    Outcome,
    RequestKind,
)
from cranberryrelay.soak._layout import (
    CALL_SECONDS,
    DRAIN_SECONDS,
    GRACE_SECONDS,
    SPREAD_SECONDS,
    STREAM_SECONDS,
)
from cranberryrelay.standins import EVENTS

# Statuses that say that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
OK: Final = 200
NOT_FOUND: Final = 404

# Allowed over a bound for the soak's own delays, in seconds.
MARGIN_SECONDS: Final = 0.75

# Part of the requests that must be answered once everything is sound.
RECOVERED_SHARE: Final = 0.95


class Broken(NamedTuple):
    """A promise that was broken."""

    # Name of the promise.
    promise: str

    # What was seen.
    detail: str


def check_run_once(seen: Evidence) -> Iterator[str]:
    """Check that a request that may run once runs once."""
    counts = Counter(run.request_id for run in seen.runs)
    for outcome in seen.outcomes:
        runs = counts[outcome.request_id]
        if outcome.kind in ONCE and runs > 1:
            yield f'{outcome.request_id} ran {runs} times'


def check_refusals(seen: Evidence) -> Iterator[str]:
    """Check that a request that was refused as not run has not run."""
    begun = {run.request_id for run in seen.runs}
    for outcome in seen.outcomes:
        refused = outcome.status in NOT_RUN_STATUSES
        if refused and outcome.kind in ONCE and outcome.request_id in begun:
            yield f'{outcome.request_id}: {outcome.status}, and it ran'


def check_asked(seen: Evidence) -> Iterator[str]:
    """Check that upstreams run only what a caller has sent."""
    sent = {one.request_id for one in (*seen.outcomes, *seen.last_outcomes)}
    for run in seen.runs:
        if run.request_id not in sent:
            yield f'{run.upstream} ran {run.request_id!r}'


def check_answers(seen: Evidence) -> Iterator[str]:
    """Check that answers are their requests' own, and whole or broken off."""
    for outcome in (*seen.outcomes, *seen.last_outcomes):
        if outcome.status != OK:
            continue
        expected = expected_body(outcome)
        if outcome.complete and outcome.body != expected:
            yield f'{outcome.request_id} is complete with {outcome.body!r}'
        elif not expected.startswith(outcome.body):
            yield f'{outcome.request_id} begins with {outcome.body!r}'


def expected_body(outcome: Outcome) -> bytes:
    """Return the whole answer to a request."""
    if outcome.kind not in STREAMS:
        return outcome.request_id.encode()
    text = outcome.request_id.encode()
    return b''.join(
        b'id: %d\ndata: %s\n\n' % (number, text)
        for number in range(1, EVENTS + 1)
    )


def check_routes(seen: Evidence) -> Iterator[str]:
    """Check that a route of every note is never said to be missing."""
    for outcome in (*seen.outcomes, *seen.last_outcomes):
        if outcome.kind is RequestKind.PROBE:
            continue
        if outcome.status == NOT_FOUND:
            yield f'{outcome.request_id} at {outcome.instance}'


def check_notes(seen: Evidence) -> Iterator[str]:
    """Check that a note is in force in time at instances in touch."""
    for outcome in seen.outcomes:
        note = _find_note(seen, outcome.version)
        if note is None or outcome.status != NOT_FOUND:
            continue
        due = note.acked_at + SPREAD_SECONDS + MARGIN_SECONDS
        replaced = _replaced_at(seen, note) <= outcome.ended_at
        calm = seen.is_calm(frozenset((outcome.instance, 'store')), outcome)
        if outcome.sent_at > due and calm and not replaced:
            late = round(outcome.sent_at - note.acked_at, 2)
            yield f'{outcome.instance} lacks {note.version} after {late} s'


def check_no_return(seen: Evidence) -> Iterator[str]:
    """Check that no process goes back to an older note."""
    shown: dict[tuple[str, int], tuple[int, float]] = {}
    probes = [one for one in seen.outcomes if one.version]
    for outcome in sorted(probes, key=lambda one: one.ended_at):
        place = (outcome.instance, outcome.starts)
        version, since = shown.get(place, (0, 0))
        if outcome.status != OK:
            continue
        if outcome.version < version and outcome.sent_at > since:
            yield (
                f'{outcome.instance} served {outcome.version} after {version}'
            )
        if outcome.version > version:
            shown[place] = (outcome.version, outcome.ended_at)


def check_leaving(seen: Evidence) -> Iterator[str]:
    """Check that an upstream that leaves gets no work after the bound."""
    by_id = {one.request_id: one for one in seen.outcomes}
    for leaving in seen.leavings:
        for run in seen.runs:
            outcome = by_id.get(run.request_id)
            if outcome is None or not _is_late(leaving, run.begun_at):
                continue
            same = run.upstream == leaving.upstream
            subjects = frozenset((outcome.instance, 'store', run.upstream))
            if same and seen.is_calm(subjects, outcome):
                late = round(run.begun_at - leaving.acked_at, 2)
                yield f'{run.upstream} ran {run.request_id} after {late} s'


def check_held(seen: Evidence) -> Iterator[str]:
    """Check that requests end at their routes' time limits."""
    upstreams = seen.upstream_names()
    for outcome in seen.outcomes:
        limit = STREAM_SECONDS if outcome.kind in STREAMS else CALL_SECONDS
        seconds = outcome.ended_at - outcome.sent_at
        subjects = upstreams | {outcome.instance, 'store'}
        late = seconds > limit + MARGIN_SECONDS
        if late and seen.is_calm(subjects, outcome):
            yield f'{outcome.request_id} was held for {seconds:.2f} s'


def check_planned_stops(seen: Evidence) -> Iterator[str]:
    """Check that a planned stop breaks off no request that has run."""
    begun = {run.request_id for run in seen.runs}
    stops = [one for one in seen.disturbances if one.planned]
    upstreams = seen.upstream_names()
    for outcome in seen.outcomes:
        broken = bool(outcome.error) and not outcome.unsent
        if not broken or outcome.request_id not in begun:
            continue
        stopped = any(
            one.subject == outcome.instance
            and one.begun_at <= outcome.ended_at
            and outcome.sent_at <= one.ended_at
            for one in stops
        )
        subjects = upstreams | {outcome.instance}
        if stopped and seen.is_calm(subjects, outcome):
            yield f'{outcome.request_id}: {outcome.error}'


def check_endings(seen: Evidence) -> Iterator[str]:
    """Check that instances end when told to, in time and with status 0."""
    for ending in seen.endings:
        if ending.told is None:
            yield f'{ending.name} ended by itself with {ending.status}'
        elif ending.told.name == 'SIGTERM':
            late = ending.seconds > GRACE_SECONDS + MARGIN_SECONDS
            if ending.status or late:
                yield (
                    f'{ending.name} ended with {ending.status} '
                    f'after {ending.seconds:.2f} s'
                )


def check_recovery(seen: Evidence) -> Iterator[str]:
    """Check that requests are answered once everything is sound."""
    sent = seen.last_outcomes
    answered = sum(one.status == OK and one.complete for one in sent)
    if answered < len(sent) * RECOVERED_SHARE:
        lost = [
            (one.instance, one.kind.value, one.status, one.error)
            for one in sent
            if one.status != OK or not one.complete
        ]
        yield f'{answered} of {len(sent)} answered; {lost[:4]}'


def check_account(seen: Evidence) -> Iterator[str]:
    """Check that the account names a revision that was in force."""
    by_id = {one.request_id: one for one in seen.last_outcomes}
    for one in seen.explained:
        outcome = by_id[one.request_id]
        allowed = {
            note.version
            for note in seen.notes
            if note.sent_at <= outcome.ended_at
            and _replaced_at(seen, note) + SPREAD_SECONDS >= outcome.sent_at
        }
        if one.revision not in allowed:
            yield f'{one.request_id}: {one.revision}, not of {allowed}'


Check = Callable[[Evidence], Iterator[str]]
CHECKS: Final[tuple[tuple[str, Check], ...]] = (
    ('run once', check_run_once),
    ('refusals are true', check_refusals),
    ('only what was asked', check_asked),
    ('own and whole answers', check_answers),
    ('routes stay', check_routes),
    ('notes in force', check_notes),
    ('notes never return', check_no_return),
    ('leaving upstreams', check_leaving),
    ('time limits', check_held),
    ('planned stops', check_planned_stops),
    ('endings', check_endings),
    ('recovery', check_recovery),
    ('account', check_account),
)


def find_broken(seen: Evidence) -> list[Broken]:
    """Return the promises that were broken in a run."""
    return [
        Broken(promise, detail)
        for promise, check in CHECKS
        for detail in check(seen)
    ]


def _find_note(seen: Evidence, version: int) -> NoteSent | None:
    for note in seen.notes:
        if note.version == version:
            return note
    return None


def _replaced_at(seen: Evidence, note: NoteSent) -> float:
    later = [one.sent_at for one in seen.notes if one.version > note.version]
    return min(later, default=float('inf'))


def _is_late(leaving: Leaving, begun_at: float) -> bool:
    due = leaving.acked_at + DRAIN_SECONDS + MARGIN_SECONDS
    return due < begun_at < leaving.ended_at
