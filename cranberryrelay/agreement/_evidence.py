"""Evidence of freshness for revisions, and the admission check that uses it.

Evidence states that every revision accepted before ``sent_at`` is at most
``revision``.  It comes from a read of the store's latest version, sent at
``sent_at``, or from the votes of a majority of failure domains, the earliest
of which was requested at ``sent_at``.  A revision is accepted only after a
majority of failure domains confirmed it, so either kind of evidence includes
every accepted revision.  ``sent_at`` is always on the clock of the process
that holds the evidence, so clocks of different processes are never compared.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail

EVIDENCE_BOUND_SECONDS: Final = 2.0
_NEVER: Final = float('-inf')


class Evidence(NamedTuple):
    """No revision above ``revision`` was accepted before ``sent_at``."""

    # When the oldest request that the evidence is based on was sent, in
    # seconds of the own clock.
    sent_at: float

    # Highest revision in the responses.
    revision: int


class DomainVote(NamedTuple):
    """The vote of a failure domain, with the time of the request for it."""

    # Name of the failure domain.
    domain: str

    # When the request was sent, in seconds of the own clock.
    sent_at: float

    # Highest revision that the failure domain confirmed.
    confirmed: int


class EvidenceTable:
    """The freshest evidence for each revision; owned by one task."""

    def __init__(self) -> None:
        self.sent_at_by_revision: dict[int, float] = {}

    def record(self, evidence: Evidence) -> None:
        """Store the evidence if it is fresher than the one for its revision."""
        known = self.sent_at_by_revision.get(evidence.revision, _NEVER)
        if evidence.sent_at > known:
            self.sent_at_by_revision[evidence.revision] = evidence.sent_at

    def freshest(self, applied: int) -> Evidence | None:
        """Return the freshest evidence whose revision is at most ``applied``.

        Evidence for a higher revision is no evidence that ``applied`` is in
        force, so it is not used.
        """
        self.merge_up_to(applied)
        sent_at = self.sent_at_by_revision.get(applied)
        return None if sent_at is None else Evidence(sent_at, applied)

    def merge_up_to(self, applied: int) -> None:
        """Merge the evidence for lower revisions into that for ``applied``."""
        lower = [
            revision
            for revision in self.sent_at_by_revision
            if revision < applied
        ]
        for revision in lower:
            sent_at = self.sent_at_by_revision.pop(revision)
            self.record(Evidence(sent_at, applied))


def check_admission(
    evidence_table: EvidenceTable, applied: int, now: float
) -> Result[int, Failure]:
    """Decide whether work may be admitted under revision ``applied``.

    Errors: ``NOT_READY`` if no revision is applied, ``EVIDENCE_STALE`` if
    there is no evidence or it is older than ``EVIDENCE_BOUND_SECONDS``.
    """
    if applied == 0:
        return Err(
            fail(
                ResultCode.NOT_READY,
                'no release note is applied; publish a release note',
            )
        )
    evidence = evidence_table.freshest(applied)
    if evidence is None:
        detail = f'no evidence of freshness for revision {applied}'
        return Err(fail(ResultCode.EVIDENCE_STALE, detail))
    age = now - evidence.sent_at
    if age > EVIDENCE_BOUND_SECONDS:
        detail = (
            f'evidence of freshness is {age:.1f} s old; use another instance'
        )
        return Err(fail(ResultCode.EVIDENCE_STALE, detail))
    return Ok(applied)


def majority_size(domain_count: int) -> int:
    """Return the number of failure domains that form a majority."""
    return domain_count // 2 + 1


def combine_votes(
    votes: Iterable[DomainVote], domain_count: int
) -> Evidence | None:
    """Combine votes into evidence; None without a majority of domains."""
    freshest: dict[str, DomainVote] = {}
    for vote in sorted(votes, key=lambda vote: vote.sent_at):
        freshest[vote.domain] = vote
    needed = majority_size(domain_count)
    if len(freshest) < needed:
        return None
    newest_first = sorted(
        freshest.values(), key=lambda vote: vote.sent_at, reverse=True
    )
    majority = newest_first[:needed]
    return Evidence(
        sent_at=min(vote.sent_at for vote in majority),
        revision=max(vote.confirmed for vote in majority),
    )


def find_accepted_revision(confirmed: Iterable[int], domain_count: int) -> int:
    """Return the highest revision that a majority of domains confirmed."""
    ordered = sorted(confirmed, reverse=True)
    needed = majority_size(domain_count)
    return ordered[needed - 1] if len(ordered) >= needed else 0
