"""Parsing, folding, digest, drafting and view of release notes."""

from unittest import TestCase

from nose2.tools import params

from cranberryrelay.codes import ResultCode
from cranberryrelay.notes import (
    FoldedNotes,
    NoteAction,
    NoteContent,
    build_view,
    digest_records,
    draft_revision,
    parse_release_note,
    restore_snapshot,
    take_snapshot,
    update_view,
)
from cranberryrelay.testkit import make_command

VALID_NOTE = """note = "one"
[set.models.digest]
cell = "newsroom"
version = "1"
"""


class ParseTest(TestCase):
    """Errors in a release note are reported with code, line and key."""

    @params(
        ('note = ', ResultCode.NOTE_SYNTAX, 0, ''),
        (f'extra = 1\n{VALID_NOTE}', ResultCode.NOTE_UNKNOWN_KEY, 1, 'extra'),
        (
            VALID_NOTE.replace('version', 'versoin'),
            ResultCode.NOTE_UNKNOWN_KEY,
            4,
            'set.models.digest.versoin',
        ),
        (
            VALID_NOTE.replace('"1"', '1'),
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
    def test_error_has_code_line_and_key(
        self, text: str, code: ResultCode, line: int, key: str
    ) -> None:
        faults = parse_release_note(text).unwrap_err()
        found = [(fault.code, fault.line, fault.key) for fault in faults]
        self.assertIn((code, line, key), found)

    def test_valid_note_is_parsed(self) -> None:
        content = parse_release_note(VALID_NOTE).unwrap()
        self.assertEqual(content.added['models.digest']['version'], '1')


class FoldTest(TestCase):
    """Later notes take precedence; withdrawing a note reverts its changes."""

    def fold(self, *operations: tuple[str, str | None]) -> FoldedNotes:
        folded = FoldedNotes()
        for revision, (name, version) in enumerate(operations, start=1):
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
    def test_most_recent_note_is_in_force(
        self, operations: list[tuple[str, str | None]], version: str
    ) -> None:
        folded = self.fold(*operations)
        self.assertEqual(folded.records['models.m']['version'], version)
        self.assertEqual(
            folded.digest.hexdigest(), digest_records(folded.records)
        )

    def test_snapshot_restores_records_and_digest(self) -> None:
        folded = self.fold(('a', '1'), ('b', '2'), ('a', '3'))
        restored = restore_snapshot(take_snapshot(folded)).unwrap()
        self.assertEqual(restored.records, folded.records)
        self.assertEqual(restored.digest.hexdigest(), folded.digest.hexdigest())

    def test_snapshot_with_other_digest_is_rejected(self) -> None:
        snapshot = take_snapshot(self.fold(('a', '1')))
        failure = restore_snapshot(snapshot._replace(digest='0')).unwrap_err()
        self.assertIs(failure.code, ResultCode.ACCOUNT_GAP)


class DraftTest(TestCase):
    """Commands that do not fit the notes in force are rejected."""

    @params(
        (NoteAction.AMEND, ResultCode.NOTE_NOT_FOUND),
        (NoteAction.WITHDRAW, ResultCode.NOTE_NOT_FOUND),
    )
    def test_unpublished_note_is_rejected(
        self, action: NoteAction, code: ResultCode
    ) -> None:
        drafted = draft_revision(FoldedNotes(), make_command(action))
        self.assertIs(drafted.unwrap_err().code, code)

    def test_second_publication_is_rejected(self) -> None:
        folded = FoldedNotes()
        command = make_command(NoteAction.PUBLISH)
        folded.apply(draft_revision(folded, command).unwrap().record)
        failure = draft_revision(folded, command).unwrap_err()
        self.assertIs(failure.code, ResultCode.NOTE_EXISTS)

    def test_dangling_reference_is_rejected(self) -> None:
        fields = {'model': 'missing', 'rank': 'missing'}
        content = NoteContent('a', '', {'kinds.k': fields}, ())
        command = make_command(NoteAction.PUBLISH)._replace(content=content)
        failure = draft_revision(FoldedNotes(), command).unwrap_err()
        self.assertIs(failure.code, ResultCode.NOTE_BAD_REFERENCE)

    def test_changed_revision_breaks_hash_chain(self) -> None:
        folded = FoldedNotes()
        command = make_command(NoteAction.PUBLISH)
        record = draft_revision(folded, command).unwrap().record
        forged = record._replace(operator='somebody else')
        failure = folded.apply(forged).unwrap_err()
        self.assertIs(failure.code, ResultCode.ACCOUNT_GAP)


class ViewTest(TestCase):
    """Updating a view gives the same view as building it from all records."""

    def test_updated_view_equals_built_view(self) -> None:
        folded = FoldedNotes()
        view = build_view(0, {})
        for number in range(1, 4):
            action = NoteAction.PUBLISH if number == 1 else NoteAction.AMEND
            command = make_command(action, version=str(number))
            record = draft_revision(folded, command).unwrap().record
            changes = folded.apply(record).unwrap()
            view = update_view(view, record.revision, changes)
            built = build_view(record.revision, folded.records)
            self.assertEqual(view, built)
