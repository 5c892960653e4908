"""Checks the invariants that the system promises against a run's evidence."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from cranberryrelay.soak._evidence import (
    AT_MOST_ONCE_KINDS,
    MACHINE,
    STREAM_KINDS,
    UNDISTURBED_SECONDS,
    Disturbance,
    Evidence,
    LeavingPeriod,
    NoteSent,
    Outcome,
    RequestKind,
)
from cranberryrelay.soak._layout import (
    CALL_SECONDS,
    CONFIG_APPLY_SECONDS,
    DRAIN_SECONDS,
    GRACE_SECONDS,
    STREAM_SECONDS,
)
from cranberryrelay.standins import EVENT_COUNT

# Statuses that promise that a request has not run and will not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
OK: Final = 200
NOT_FOUND: Final = 404

# Tolerance on each time bound for delays of the soak's own process.
MARGIN_SECONDS: Final = 0.75

# Time after its last byte within which a request that crosses the close of its
# connection ends.
LOSS_SLACK_SECONDS: Final = 0.2

# Time before its limit at which an instance may break off a stream.
LIMIT_SLACK_SECONDS: Final = 0.1

# Fraction of requests that must be answered once all faults are over.
MIN_RECOVERED_FRACTION: Final = 0.95


class Violation(NamedTuple):
    """A violation of a promise."""

    # Name of the promise, from CHECKS.
    promise: str

    # Observation that violates it.
    detail: str


def check_run_once(evidence: Evidence) -> Iterator[str]:
    """Check that a request that must not be repeated runs at most once."""
    counts = Counter(run.request_id for run in evidence.runs)
    for outcome in evidence.outcomes:
        runs = counts[outcome.request_id]
        if outcome.kind in AT_MOST_ONCE_KINDS and runs > 1:
            yield f'{outcome.request_id} ran {runs} times'


def check_refusals(evidence: Evidence) -> Iterator[str]:
    """Check that no request ran whose status says that it has not run."""
    started_ids = {run.request_id for run in evidence.runs}
    for outcome in evidence.outcomes:
        refused = outcome.status in NOT_RUN_STATUSES
        if (
            refused
            and outcome.kind in AT_MOST_ONCE_KINDS
            and outcome.request_id in started_ids
        ):
            yield f'{outcome.request_id}: answered {outcome.status}, but it ran'


def check_requested(evidence: Evidence) -> Iterator[str]:
    """Check that upstreams run only requests that a caller sent."""
    sent = {
        one.request_id
        for one in (*evidence.outcomes, *evidence.recovery_outcomes)
    }
    for run in evidence.runs:
        if run.request_id not in sent:
            yield f'{run.upstream} ran {run.request_id!r}, which no caller sent'


def check_answers(evidence: Evidence) -> Iterator[str]:
    """Check each body: the expected one, or a prefix if it was cut off."""
    for outcome in (*evidence.outcomes, *evidence.recovery_outcomes):
        if outcome.status != OK:
            continue
        expected = make_expected_body(outcome)
        if outcome.complete and outcome.body != expected:
            yield f'{outcome.request_id} is complete with body {outcome.body!r}'
        elif not expected.startswith(outcome.body):
            yield f'{outcome.request_id} has unexpected body {outcome.body!r}'


def make_expected_body(outcome: Outcome) -> bytes:
    """Return the body of a complete answer to a request."""
    if outcome.kind not in STREAM_KINDS:
        return outcome.request_id.encode()
    text = outcome.request_id.encode()
    return b''.join(
        b'id: %d\ndata: %s\n\n' % (number, text)
        for number in range(1, EVENT_COUNT + 1)
    )


def check_routes(evidence: Evidence) -> Iterator[str]:
    """Check that no request to a route of all notes gets status 404."""
    for outcome in (*evidence.outcomes, *evidence.recovery_outcomes):
        if outcome.kind is RequestKind.PROBE:
            continue
        if outcome.status == NOT_FOUND:
            yield f'{outcome.request_id} got 404 from {outcome.instance}'


def check_notes(evidence: Evidence) -> Iterator[str]:
    """Check that undisturbed instances apply a note within the bound."""
    for outcome in evidence.outcomes:
        note = _find_note(evidence, outcome.version)
        if note is None or outcome.status != NOT_FOUND:
            continue
        due = note.acked_at + CONFIG_APPLY_SECONDS + MARGIN_SECONDS
        replaced = _replaced_at(evidence, note) <= outcome.ended_at
        undisturbed = evidence.is_undisturbed(
            frozenset((outcome.instance, 'store')), outcome
        )
        if outcome.sent_at > due and undisturbed and not replaced:
            late = round(outcome.sent_at - note.acked_at, 2)
            yield (
                f'{outcome.instance} has not applied note {note.version} '
                f'after {late} s'
            )


def check_notes_at_end(evidence: Evidence) -> Iterator[str]:
    """Check that all instances have applied the newest note at the end.

    Each stall of the machine may have put that off by its own duration; it does
    not excuse an instance that never applies the note.
    """
    for outcome in evidence.recovery_outcomes:
        note = _find_note(evidence, outcome.version)
        if note is None or outcome.status != NOT_FOUND:
            continue
        stalled = sum(
            one.ended_at - one.begun_at
            for one in evidence.disturbances
            if one.subject == MACHINE and one.ended_at >= note.acked_at
        )
        due = note.acked_at + CONFIG_APPLY_SECONDS + MARGIN_SECONDS + stalled
        if outcome.sent_at > due:
            yield (
                f'{outcome.instance} has not applied note {note.version} '
                f'at the end of the run, {stalled:.2f} s of stalls'
            )


def check_no_rollback(evidence: Evidence) -> Iterator[str]:
    """Check that no process returns to an older note after a newer one."""
    newest_versions: dict[tuple[str, int], tuple[int, float]] = {}
    probes = [one for one in evidence.outcomes if one.version]
    for outcome in sorted(probes, key=lambda one: one.ended_at):
        process = (outcome.instance, outcome.start_count)
        version, newest_seen_at = newest_versions.get(process, (0, 0))
        if outcome.status != OK:
            continue
        if outcome.version < version and outcome.sent_at > newest_seen_at:
            yield (
                f'{outcome.instance} served note {outcome.version} '
                f'after note {version}'
            )
        if outcome.version > version:
            newest_versions[process] = (outcome.version, outcome.ended_at)


def check_leaving_upstreams(evidence: Evidence) -> Iterator[str]:
    """Check that a leaving upstream runs no request after the drain bound."""
    outcomes_by_id = {one.request_id: one for one in evidence.outcomes}
    for leaving in evidence.leaving_periods:
        for run in evidence.runs:
            outcome = outcomes_by_id.get(run.request_id)
            if outcome is None or not _is_late(leaving, run.started_at):
                continue
            same = run.upstream == leaving.upstream
            subjects = frozenset((outcome.instance, 'store', run.upstream))
            if same and evidence.is_undisturbed(subjects, outcome):
                late = round(run.started_at - leaving.acked_at, 2)
                yield (
                    f'{run.upstream} ran {run.request_id} {late} s '
                    'after it was marked as leaving'
                )


def check_time_limits(evidence: Evidence) -> Iterator[str]:
    """Check that requests end within their routes' time limits.

    Requests that a disturbance may have delayed are not checked.
    """
    upstreams = evidence.disturbed_upstreams()
    for outcome in evidence.outcomes:
        limit = STREAM_SECONDS if outcome.kind in STREAM_KINDS else CALL_SECONDS
        seconds = outcome.ended_at - outcome.sent_at
        subjects = upstreams | {outcome.instance, 'store'}
        late = seconds > limit + MARGIN_SECONDS
        if late and evidence.is_undisturbed(subjects, outcome):
            yield f'{outcome.request_id} took {seconds:.2f} s'


def check_planned_stops(evidence: Evidence) -> Iterator[str]:
    """Check that a planned stop interrupts no request that has started."""
    started_ids = {run.request_id for run in evidence.runs}
    stops = [one for one in evidence.disturbances if one.planned]
    upstreams = evidence.disturbed_upstreams()
    for outcome in evidence.outcomes:
        interrupted = bool(outcome.error) and not outcome.connect_failed
        if not interrupted or outcome.request_id not in started_ids:
            continue
        if _is_cut_at_limit(outcome):
            continue
        during_stop = any(
            one.subject == outcome.instance
            and one.begun_at <= outcome.ended_at
            and outcome.sent_at <= one.ended_at
            for one in stops
        )
        subjects = upstreams | {outcome.instance}
        if during_stop and evidence.is_undisturbed(subjects, outcome):
            yield f'{outcome.request_id}: {outcome.error}'


def check_answered(evidence: Evidence) -> Iterator[str]:
    """Check that what an upstream ran or an instance has read is answered.

    A connection may end without a complete answer if the instance or an
    upstream that ran the request was disturbed.  An instance that closes a
    connection while a request arrives has not read it; the caller learns that
    at once.  Planned stops, notes and silences excuse nothing.
    """
    upstreams: dict[str, frozenset[str]] = {}
    for run in evidence.runs:
        ran_at = upstreams.get(run.request_id, frozenset())
        upstreams[run.request_id] = ran_at | {run.upstream}
    for outcome in evidence.outcomes:
        ran_at = upstreams.get(outcome.request_id, frozenset())
        seconds = outcome.ended_at - outcome.written_at
        read = seconds > LOSS_SLACK_SECONDS + MARGIN_SECONDS
        if not outcome.is_unanswered() or not (ran_at or read):
            continue
        if _is_cut_at_limit(outcome):
            continue
        # A stall delays what is read, but costs no request its answer.
        subjects = ran_at or frozenset((MACHINE,))
        if evidence.is_calm(subjects | {outcome.instance}, outcome):
            yield _describe_unanswered(outcome, ran_at)


def _describe_unanswered(outcome: Outcome, ran_at: frozenset[str]) -> str:
    names = ', '.join(sorted(ran_at)) or 'no upstream'
    seconds = outcome.ended_at - outcome.written_at
    after = f' {seconds:.2f} s after its last byte' if seconds > 0 else ''
    return (
        f'{outcome.request_id} to {outcome.instance}, run by {names}, '
        f'ended{after}: {outcome.error}'
    )


def check_silences(evidence: Evidence) -> Iterator[str]:
    """Check that the silence of a sound upstream fails no request.

    Checked are requests during one silence and no other disturbance of their
    instance, the store, the machine and the upstreams.  A connection that ends
    without an answer is left to ``check_answered``.
    """
    instances = {one.instance for one in evidence.outcomes}
    for outcome in evidence.outcomes:
        others = instances - {outcome.instance} | {'note'}
        concerned = [
            one
            for one in _list_disturbances(evidence, outcome)
            if one.subject not in others
        ]
        if len(concerned) != 1 or not concerned[0].silence:
            continue
        during = concerned[0].ended_at >= outcome.sent_at
        failed = outcome.status not in {None, OK}
        if during and failed and not outcome.version:
            yield (
                f'{outcome.request_id} got {outcome.status} while '
                f'{concerned[0].subject} was silent'
            )


def check_exits(evidence: Evidence) -> Iterator[str]:
    """Check that instances exit only on a signal.

    After SIGTERM they must exit in time and with status 0.
    """
    for process_exit in evidence.exits:
        if process_exit.last_signal is None:
            yield (
                f'{process_exit.name} exited with status '
                f'{process_exit.status} without a signal'
            )
        elif process_exit.last_signal.name == 'SIGTERM':
            late = process_exit.seconds > GRACE_SECONDS + MARGIN_SECONDS
            if process_exit.status or late:
                yield (
                    f'{process_exit.name} exited with status '
                    f'{process_exit.status} after {process_exit.seconds:.2f} s'
                )


def check_recovery(evidence: Evidence) -> Iterator[str]:
    """Check that requests are answered once all faults are over."""
    sent = evidence.recovery_outcomes
    answered = sum(one.status == OK and one.complete for one in sent)
    if answered < len(sent) * MIN_RECOVERED_FRACTION:
        lost = [
            (one.instance, one.kind.value, one.status, one.error)
            for one in sent
            if one.status != OK or not one.complete
        ]
        yield f'{answered} of {len(sent)} answered; {lost[:4]}'


def check_account(evidence: Evidence) -> Iterator[str]:
    """Check that the account of a request names a revision then in force."""
    outcomes_by_id = {one.request_id: one for one in evidence.recovery_outcomes}
    for one in evidence.explanations:
        outcome = outcomes_by_id[one.request_id]
        allowed = {
            note.version
            for note in evidence.notes
            if note.sent_at <= outcome.ended_at
            and _replaced_at(evidence, note) + CONFIG_APPLY_SECONDS
            >= outcome.sent_at
        }
        if one.revision not in allowed:
            yield (
                f'{one.request_id}: revision {one.revision}, '
                f'expected one of {allowed}'
            )


Check = Callable[[Evidence], Iterator[str]]
CHECKS: Final[tuple[tuple[str, Check], ...]] = (
    ('run once', check_run_once),
    ('refusals are true', check_refusals),
    ('only what was asked', check_requested),
    ('own and whole answers', check_answers),
    ('routes stay', check_routes),
    ('notes in force', check_notes),
    ('notes in force', check_notes_at_end),
    ('notes never return', check_no_rollback),
    ('leaving upstreams', check_leaving_upstreams),
    ('time limits', check_time_limits),
    ('planned stops', check_planned_stops),
    ('answered', check_answered),
    ('silences', check_silences),
    ('endings', check_exits),
    ('recovery', check_recovery),
    ('account', check_account),
)


def find_violations(evidence: Evidence) -> list[Violation]:
    """Return all violations that the checks find in a run."""
    return [
        Violation(promise, detail)
        for promise, check in CHECKS
        for detail in check(evidence)
    ]


def _is_cut_at_limit(outcome: Outcome) -> bool:
    """Return whether an answer had begun and ended at its time limit."""
    seconds = outcome.ended_at - outcome.sent_at
    limit = STREAM_SECONDS if outcome.kind in STREAM_KINDS else CALL_SECONDS
    late = seconds - limit
    at_limit = -LIMIT_SLACK_SECONDS < late <= MARGIN_SECONDS
    return outcome.status is not None and at_limit


def _list_disturbances(
    evidence: Evidence, outcome: Outcome
) -> list[Disturbance]:
    """Return what was disturbed shortly before or during a request."""
    first = outcome.sent_at - UNDISTURBED_SECONDS
    return [
        one
        for one in evidence.disturbances
        if one.begun_at <= outcome.ended_at and one.ended_at >= first
    ]


def _find_note(evidence: Evidence, version: int) -> NoteSent | None:
    for note in evidence.notes:
        if note.version == version:
            return note
    return None


def _replaced_at(evidence: Evidence, note: NoteSent) -> float:
    later = [
        one.sent_at for one in evidence.notes if one.version > note.version
    ]
    return min(later, default=float('inf'))


def _is_late(leaving: LeavingPeriod, begun_at: float) -> bool:
    due = leaving.acked_at + DRAIN_SECONDS + MARGIN_SECONDS
    return due < begun_at < leaving.ended_at
