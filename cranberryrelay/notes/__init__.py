"""Release notes: parsing, validation, revisions and the records in force.

Operators publish, amend and withdraw release notes; each such operation is a
revision in one total order.  The notes in force are merged into one set of
records, identified by a digest and read through a typed view.
"""

from cranberryrelay.notes._digest import BUCKET_COUNT as BUCKET_COUNT
from cranberryrelay.notes._digest import RecordDigest as RecordDigest
from cranberryrelay.notes._digest import bucket_of as bucket_of
from cranberryrelay.notes._digest import digest_records as digest_records
from cranberryrelay.notes._digest import digest_text as digest_text
from cranberryrelay.notes._draft import Draft as Draft
from cranberryrelay.notes._draft import NoteCommand as NoteCommand
from cranberryrelay.notes._draft import draft_revision as draft_revision
from cranberryrelay.notes._draft import (
    find_dangling_reference as find_dangling_reference,
)
from cranberryrelay.notes._folded_notes import FoldedNotes as FoldedNotes
from cranberryrelay.notes._folded_notes import PublishedNote as PublishedNote
from cranberryrelay.notes._folded_notes import RecordChange as RecordChange
from cranberryrelay.notes._folded_notes import (
    copy_folded_notes as copy_folded_notes,
)
from cranberryrelay.notes._in_force import (
    DEFAULT_BETWEEN_TOKENS_MS as DEFAULT_BETWEEN_TOKENS_MS,
)
from cranberryrelay.notes._in_force import (
    DEFAULT_BODY_BYTES as DEFAULT_BODY_BYTES,
)
from cranberryrelay.notes._in_force import (
    DEFAULT_FIRST_TOKEN_MS as DEFAULT_FIRST_TOKEN_MS,
)
from cranberryrelay.notes._in_force import (
    DEFAULT_MAX_OUTPUT_TOKENS as DEFAULT_MAX_OUTPUT_TOKENS,
)
from cranberryrelay.notes._in_force import (
    DEFAULT_QUEUE_LENGTH as DEFAULT_QUEUE_LENGTH,
)
from cranberryrelay.notes._in_force import (
    DEFAULT_REQUEST_MS as DEFAULT_REQUEST_MS,
)
from cranberryrelay.notes._in_force import (
    DEFAULT_SERVICE_TIMEOUT_MS as DEFAULT_SERVICE_TIMEOUT_MS,
)
from cranberryrelay.notes._in_force import CallerRule as CallerRule
from cranberryrelay.notes._in_force import KindRule as KindRule
from cranberryrelay.notes._in_force import ModelRule as ModelRule
from cranberryrelay.notes._in_force import NotesInForce as NotesInForce
from cranberryrelay.notes._in_force import RankRule as RankRule
from cranberryrelay.notes._in_force import ServiceRule as ServiceRule
from cranberryrelay.notes._in_force import build_view as build_view
from cranberryrelay.notes._in_force import update_view as update_view
from cranberryrelay.notes._release_note import (
    NOTE_BYTES_LIMIT as NOTE_BYTES_LIMIT,
)
from cranberryrelay.notes._release_note import NoteContent as NoteContent
from cranberryrelay.notes._release_note import NoteFault as NoteFault
from cranberryrelay.notes._release_note import RecordFields as RecordFields
from cranberryrelay.notes._release_note import locate_line as locate_line
from cranberryrelay.notes._release_note import (
    parse_release_note as parse_release_note,
)
from cranberryrelay.notes._revision import GENESIS_CHAIN as GENESIS_CHAIN
from cranberryrelay.notes._revision import NoteAction as NoteAction
from cranberryrelay.notes._revision import RevisionRecord as RevisionRecord
from cranberryrelay.notes._revision import (
    compute_chain_digest as compute_chain_digest,
)
from cranberryrelay.notes._revision import decode_revision as decode_revision
from cranberryrelay.notes._revision import encode_revision as encode_revision
from cranberryrelay.notes._schema import REFERENCES as REFERENCES
from cranberryrelay.notes._schema import SECTIONS as SECTIONS
from cranberryrelay.notes._schema import CallerFields as CallerFields
from cranberryrelay.notes._schema import KindFields as KindFields
from cranberryrelay.notes._schema import LimitFields as LimitFields
from cranberryrelay.notes._schema import ModelFields as ModelFields
from cranberryrelay.notes._schema import RankFields as RankFields
from cranberryrelay.notes._schema import RoleFields as RoleFields
from cranberryrelay.notes._schema import ServiceFields as ServiceFields
from cranberryrelay.notes._snapshot import NotesSnapshot as NotesSnapshot
from cranberryrelay.notes._snapshot import decode_snapshot as decode_snapshot
from cranberryrelay.notes._snapshot import encode_snapshot as encode_snapshot
from cranberryrelay.notes._snapshot import restore_snapshot as restore_snapshot
from cranberryrelay.notes._snapshot import take_snapshot as take_snapshot
