"""The result codes in the docs must match the table in the code."""

from pathlib import Path
from unittest import TestCase

from cranberryrelay.codes import CODE_TABLE, ResultCode

DOCUMENT = Path('docs/RESULT_CODES.md')


class CodeTableTest(TestCase):
    """Guards against a code without an entry, and against stale docs."""

    def test_every_code_has_an_entry(self) -> None:
        self.assertEqual(set(CODE_TABLE), set(ResultCode))

    def test_docs_have_the_same_rows(self) -> None:
        rows = [
            [cell.strip() for cell in line.strip('|').split('|')]
            for line in DOCUMENT.read_text().splitlines()
            if line.startswith('| ') and line[2].isdigit()
        ]
        expected = [
            [
                str(code.value),
                code.name,
                str(entry.status.value),
                entry.ran.value,
                str(entry.retry_after_seconds or ''),
                entry.title,
            ]
            for code, entry in CODE_TABLE.items()
        ]
        self.assertEqual(rows, expected)
