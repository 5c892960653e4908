"""Evidence of which revision is in force, and the gate that rests on it.

A piece of evidence says: every revision accepted before ``sent_at`` is at
most ``revision``.  It comes from a read of the store's latest version, sent
at ``sent_at``, or from the confirmed revisions of the voices of a majority
of failure domains, the earliest of them asked at ``sent_at``.  Because a
revision counts as accepted only once a majority of voices confirmed it,
either kind of evidence shows it.  ``sent_at`` is always on the clock of the
process that holds the evidence, so clocks are never compared.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail

EVIDENCE_BOUND_SECONDS: Final = 2.0
_NEVER: Final = float('-inf')


class Evidence(NamedTuple):
    """No revision above ``revision`` was accepted before ``sent_at``."""

    # When the oldest question behind the evidence was sent; own clock.
    sent_at: float

    # Highest revision that the answers showed.
    revision: int


class VoiceHeard(NamedTuple):
    """What the voice of a failure domain answered."""

    # The failure domain.
    domain: str

    # When the question was sent; own clock.
    sent_at: float

    # Highest revision that the voice confirmed.
    confirmed: int


class EvidenceBook:
    """The freshest evidence for each revision; one task owns it."""

    def __init__(self) -> None:
        self.sent_by_revision: dict[int, float] = {}

    def record(self, evidence: Evidence) -> None:
        """Keep the evidence if it is fresher than what is known."""
        known = self.sent_by_revision.get(evidence.revision, _NEVER)
        if evidence.sent_at > known:
            self.sent_by_revision[evidence.revision] = evidence.sent_at

    def freshest(self, applied: int) -> Evidence | None:
        """Return the freshest evidence that ``applied`` satisfies."""
        self.merge_up_to(applied)
        sent_at = self.sent_by_revision.get(applied)
        return None if sent_at is None else Evidence(sent_at, applied)

    def merge_up_to(self, applied: int) -> None:
        """Merge evidence for lower revisions into ``applied``."""
        lower = [
            revision for revision in self.sent_by_revision if revision < applied
        ]
        for revision in lower:
            sent_at = self.sent_by_revision.pop(revision)
            self.record(Evidence(sent_at, applied))


def check_admission(
    book: EvidenceBook, applied: int, now: float
) -> Result[int, Failure]:
    """Decide whether work may be admitted under revision ``applied``.

    Errors: ``NOT_READY`` without any revision, ``EVIDENCE_STALE``.
    """
    if applied == 0:
        return Err(fail(ResultCode.NOT_READY, 'publish a release note'))
    evidence = book.freshest(applied)
    if evidence is None:
        detail = f'no evidence for revision {applied}'
        return Err(fail(ResultCode.EVIDENCE_STALE, detail))
    age = now - evidence.sent_at
    if age > EVIDENCE_BOUND_SECONDS:
        detail = f'evidence is {age:.1f} s old; use another instance'
        return Err(fail(ResultCode.EVIDENCE_STALE, detail))
    return Ok(applied)


def majority_of(domain_count: int) -> int:
    """Return how many failure domains make a majority."""
    return domain_count // 2 + 1


def combine_voices(
    heard: Iterable[VoiceHeard], domain_count: int
) -> Evidence | None:
    """Combine voices into evidence; None without a majority of domains."""
    freshest: dict[str, VoiceHeard] = {}
    for word in sorted(heard, key=lambda one: one.sent_at):
        freshest[word.domain] = word
    needed = majority_of(domain_count)
    if len(freshest) < needed:
        return None
    by_age = sorted(
        freshest.values(), key=lambda one: one.sent_at, reverse=True
    )
    chosen = by_age[:needed]
    return Evidence(
        sent_at=min(voice.sent_at for voice in chosen),
        revision=max(voice.confirmed for voice in chosen),
    )


def find_accepted(confirmed: Iterable[int], domain_count: int) -> int:
    """Return the highest revision that a majority of domains confirmed."""
    ordered = sorted(confirmed, reverse=True)
    needed = majority_of(domain_count)
    return ordered[needed - 1] if len(ordered) >= needed else 0
