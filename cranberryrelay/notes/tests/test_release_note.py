"""Release notes: faults by line and key, the fold, the digest, the view."""

from unittest import TestCase

from nose2.tools import params

from cranberryrelay.codes import ResultCode
from cranberryrelay.notes import (
    FoldedNotes,
    NoteAction,
    NoteContent,
    amend_view,
    digest_records,
    draft_revision,
    parse_release_note,
    restore_snapshot,
    take_snapshot,
    view_records,
)
from cranberryrelay.testkit import make_command

GOOD = """note = "one"
[set.models.digest]
cell = "newsroom"
version = "1"
"""


class ParseTest(TestCase):
    """Every fault has its code, line and key."""

    @params(
        ('note = ', ResultCode.NOTE_SYNTAX, 0, ''),
        (f'extra = 1\n{GOOD}', ResultCode.NOTE_UNKNOWN_KEY, 1, 'extra'),
        (
            GOOD.replace('version', 'versoin'),
            ResultCode.NOTE_UNKNOWN_KEY,
            4,
            'set.models.digest.versoin',
        ),
        (
            GOOD.replace('"1"', '1'),
            ResultCode.NOTE_BAD_VALUE,
            2,
            'set.models.digest',
        ),
        ('summary = "x"', ResultCode.NOTE_BAD_VALUE, 0, 'note'),
        (
            'note = "a"\nwithdrawn = ["nothing"]',
            ResultCode.NOTE_BAD_VALUE,
            2,
            'withdrawn',
        ),
        (
            'note = "a"\n[set.ranks.top]\nlevel = 7\nfloor = 0.5',
            ResultCode.NOTE_BAD_VALUE,
            3,
            'set.ranks.top.level',
        ),
        (
            'note = "a"\n[set.ranks.top]\nlevel = 1\nfloor = 5.0',
            ResultCode.NOTE_BAD_VALUE,
            4,
            'set.ranks.top.floor',
        ),
        (
            'note = "a"\n[set.colours.red]\nx = 1',
            ResultCode.NOTE_UNKNOWN_KEY,
            0,
            'set.colours',
        ),
    )
    def test_fault(
        self, text: str, code: ResultCode, line: int, key: str
    ) -> None:
        faults = parse_release_note(text).unwrap_err()
        found = [(fault.code, fault.line, fault.key) for fault in faults]
        self.assertIn((code, line, key), found)

    def test_good_note(self) -> None:
        content = parse_release_note(GOOD).unwrap()
        self.assertEqual(content.added['models.digest']['version'], '1')


class FoldTest(TestCase):
    """Later notes go before earlier ones; withdrawn ones give back."""

    def fold(self, *steps: tuple[str, str | None]) -> FoldedNotes:
        folded = FoldedNotes()
        for revision, (name, version) in enumerate(steps, start=1):
            content = None
            if version is not None:
                fields = {'cell': 'c', 'version': version}
                content = NoteContent(name, '', {'models.m': fields}, ())
            folded.replace_note(name, content, revision)
        return folded

    @params(
        ([('a', '1'), ('b', '2')], '2'),
        ([('a', '1'), ('b', '2'), ('a', '3')], '2'),
        ([('a', '1'), ('b', '2'), ('b', None)], '1'),
        ([('a', '1'), ('b', '2'), ('a', None)], '2'),
        ([('a', '1'), ('a', '5')], '5'),
    )
    def test_version_in_force(
        self, steps: list[tuple[str, str | None]], version: str
    ) -> None:
        folded = self.fold(*steps)
        self.assertEqual(folded.records['models.m']['version'], version)
        self.assertEqual(folded.digest.value(), digest_records(folded.records))

    def test_snapshot_restores_the_same(self) -> None:
        folded = self.fold(('a', '1'), ('b', '2'), ('a', '3'))
        restored = restore_snapshot(take_snapshot(folded)).unwrap()
        self.assertEqual(restored.records, folded.records)
        self.assertEqual(restored.digest.value(), folded.digest.value())

    def test_changed_snapshot_is_refused(self) -> None:
        snapshot = take_snapshot(self.fold(('a', '1')))
        failure = restore_snapshot(snapshot._replace(digest='0')).unwrap_err()
        self.assertIs(failure.code, ResultCode.ACCOUNT_GAP)


class DraftTest(TestCase):
    """What operators may ask for."""

    @params(
        (NoteAction.AMEND, ResultCode.NOTE_NOT_FOUND),
        (NoteAction.WITHDRAW, ResultCode.NOTE_NOT_FOUND),
    )
    def test_unknown_note(self, action: NoteAction, code: ResultCode) -> None:
        drafted = draft_revision(FoldedNotes(), make_command(action))
        self.assertIs(drafted.unwrap_err().code, code)

    def test_second_publication_is_refused(self) -> None:
        folded = FoldedNotes()
        command = make_command(NoteAction.PUBLISH)
        folded.apply(draft_revision(folded, command).unwrap().record)
        refused = draft_revision(folded, command).unwrap_err()
        self.assertIs(refused.code, ResultCode.NOTE_EXISTS)

    def test_dangling_reference_is_refused(self) -> None:
        fields = {'model': 'missing', 'rank': 'missing'}
        content = NoteContent('a', '', {'kinds.k': fields}, ())
        command = make_command(NoteAction.PUBLISH)._replace(content=content)
        refused = draft_revision(FoldedNotes(), command).unwrap_err()
        self.assertIs(refused.code, ResultCode.NOTE_BAD_REFERENCE)

    def test_changed_revision_does_not_chain(self) -> None:
        folded = FoldedNotes()
        command = make_command(NoteAction.PUBLISH)
        record = draft_revision(folded, command).unwrap().record
        forged = record._replace(operator='somebody else')
        refused = folded.apply(forged).unwrap_err()
        self.assertIs(refused.code, ResultCode.ACCOUNT_GAP)


class ViewTest(TestCase):
    """An amended view is the view built anew."""

    def test_amended_view_is_the_same(self) -> None:
        folded = FoldedNotes()
        view = view_records(0, {})
        for number in range(1, 4):
            action = NoteAction.PUBLISH if number == 1 else NoteAction.AMEND
            command = make_command(action, version=str(number))
            record = draft_revision(folded, command).unwrap().record
            changes = folded.apply(record).unwrap()
            view = amend_view(view, record.revision, changes)
            built = view_records(record.revision, folded.records)
            self.assertEqual(view, built)
