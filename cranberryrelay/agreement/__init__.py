"""Agreement between instances, based on the platform's object API.

Distributes release notes with evidence of freshness, holds the leases and
plans of cells, and writes the ledger and the account.  The decision modules
are pure: they return effects, which their shells execute.
"""

from cranberryrelay.agreement._account import (
    FLUSH_INTERVAL_SECONDS as FLUSH_INTERVAL_SECONDS,
)
from cranberryrelay.agreement._account import INITIAL_DIGEST as INITIAL_DIGEST
from cranberryrelay.agreement._account import (
    RANGES_PER_REPORT as RANGES_PER_REPORT,
)
from cranberryrelay.agreement._account import (
    RANGES_PER_SEGMENT as RANGES_PER_SEGMENT,
)
from cranberryrelay.agreement._account import (
    WAITING_RANGES_LIMIT as WAITING_RANGES_LIMIT,
)
from cranberryrelay.agreement._account import AccountRange as AccountRange
from cranberryrelay.agreement._account import AccountSegment as AccountSegment
from cranberryrelay.agreement._account import (
    AccountSegmentWriter as AccountSegmentWriter,
)
from cranberryrelay.agreement._account import PendingReport as PendingReport
from cranberryrelay.agreement._account import RangeBuilder as RangeBuilder
from cranberryrelay.agreement._account import RangesSaved as RangesSaved
from cranberryrelay.agreement._account import RecordRanges as RecordRanges
from cranberryrelay.agreement._account import RequestId as RequestId
from cranberryrelay.agreement._account import (
    advance_end_search as advance_end_search,
)
from cranberryrelay.agreement._account import decode_segment as decode_segment
from cranberryrelay.agreement._account import digest_segment as digest_segment
from cranberryrelay.agreement._account import (
    format_request_id as format_request_id,
)
from cranberryrelay.agreement._account import (
    handle_account_answer as handle_account_answer,
)
from cranberryrelay.agreement._account import (
    handle_account_message as handle_account_message,
)
from cranberryrelay.agreement._account import (
    parse_request_id as parse_request_id,
)
from cranberryrelay.agreement._account import segment_key as segment_key
from cranberryrelay.agreement._archive import CREATE_ATTEMPTS as CREATE_ATTEMPTS
from cranberryrelay.agreement._archive import (
    SNAPSHOT_CHUNK_BYTES as SNAPSHOT_CHUNK_BYTES,
)
from cranberryrelay.agreement._archive import (
    SNAPSHOT_INTERVAL_REVISIONS as SNAPSHOT_INTERVAL_REVISIONS,
)
from cranberryrelay.agreement._archive import (
    SNAPSHOT_POINTER_KEY as SNAPSHOT_POINTER_KEY,
)
from cranberryrelay.agreement._archive import LoadedNotes as LoadedNotes
from cranberryrelay.agreement._archive import SnapshotPointer as SnapshotPointer
from cranberryrelay.agreement._archive import archive_head as archive_head
from cranberryrelay.agreement._archive import chunk_key as chunk_key
from cranberryrelay.agreement._archive import (
    create_immutable as create_immutable,
)
from cranberryrelay.agreement._archive import history_key as history_key
from cranberryrelay.agreement._archive import load_notes as load_notes
from cranberryrelay.agreement._archive import (
    read_accepted_revision as read_accepted_revision,
)
from cranberryrelay.agreement._archive import read_revision as read_revision
from cranberryrelay.agreement._catalogue import MESSAGE_TYPES as MESSAGE_TYPES
from cranberryrelay.agreement._cell import ALIVE_BYTES as ALIVE_BYTES
from cranberryrelay.agreement._cell import (
    ALIVE_BYTES_PER_SECOND_LIMIT as ALIVE_BYTES_PER_SECOND_LIMIT,
)
from cranberryrelay.agreement._cell import (
    CELL_READ_SECONDS as CELL_READ_SECONDS,
)
from cranberryrelay.agreement._cell import (
    LEASE_MARGIN_SECONDS as LEASE_MARGIN_SECONDS,
)
from cranberryrelay.agreement._cell import (
    LEASE_RENEW_SECONDS as LEASE_RENEW_SECONDS,
)
from cranberryrelay.agreement._cell import (
    LEASE_TTL_SECONDS as LEASE_TTL_SECONDS,
)
from cranberryrelay.agreement._cell import LOAD_BYTES as LOAD_BYTES
from cranberryrelay.agreement._cell import (
    LOAD_BYTES_PER_SECOND_LIMIT as LOAD_BYTES_PER_SECOND_LIMIT,
)
from cranberryrelay.agreement._cell import (
    MIN_SUBSCRIBE_INTERVAL_SECONDS as MIN_SUBSCRIBE_INTERVAL_SECONDS,
)
from cranberryrelay.agreement._cell import (
    ORDER_DELIVERY_LIMIT_SECONDS as ORDER_DELIVERY_LIMIT_SECONDS,
)
from cranberryrelay.agreement._cell import (
    ORDER_RESEND_SECONDS as ORDER_RESEND_SECONDS,
)
from cranberryrelay.agreement._cell import (
    SUBSCRIBER_TIMEOUT_INTERVALS as SUBSCRIBER_TIMEOUT_INTERVALS,
)
from cranberryrelay.agreement._cell import (
    VIEW_PUSH_SECONDS as VIEW_PUSH_SECONDS,
)
from cranberryrelay.agreement._cell import CellPart as CellPart
from cranberryrelay.agreement._cell import Subscriber as Subscriber
from cranberryrelay.agreement._cell import (
    handle_cell_answer as handle_cell_answer,
)
from cranberryrelay.agreement._cell import (
    handle_cell_message as handle_cell_message,
)
from cranberryrelay.agreement._cell_messages import DemandReport as DemandReport
from cranberryrelay.agreement._cell_messages import NamedLoad as NamedLoad
from cranberryrelay.agreement._cell_messages import PlanAck as PlanAck
from cranberryrelay.agreement._cell_messages import PlanAlive as PlanAlive
from cranberryrelay.agreement._cell_messages import PlanLoads as PlanLoads
from cranberryrelay.agreement._cell_messages import PlanRedirect as PlanRedirect
from cranberryrelay.agreement._cell_messages import (
    PlanSubscribe as PlanSubscribe,
)
from cranberryrelay.agreement._cell_messages import PlanView as PlanView
from cranberryrelay.agreement._cell_messages import RankDemand as RankDemand
from cranberryrelay.agreement._cell_messages import UpstreamLoad as UpstreamLoad
from cranberryrelay.agreement._cell_messages import (
    UpstreamPhase as UpstreamPhase,
)
from cranberryrelay.agreement._cell_messages import UpstreamView as UpstreamView
from cranberryrelay.agreement._cell_records import (
    FENCING_TOKEN_STRIDE as FENCING_TOKEN_STRIDE,
)
from cranberryrelay.agreement._cell_records import CellRecord as CellRecord
from cranberryrelay.agreement._cell_records import (
    UpstreamRecord as UpstreamRecord,
)
from cranberryrelay.agreement._cell_records import (
    UpstreamSetting as UpstreamSetting,
)
from cranberryrelay.agreement._cell_records import (
    UpstreamTarget as UpstreamTarget,
)
from cranberryrelay.agreement._cell_records import cell_key as cell_key
from cranberryrelay.agreement._cell_records import (
    order_fencing_token as order_fencing_token,
)
from cranberryrelay.agreement._cell_records import (
    take_over_cell as take_over_cell,
)
from cranberryrelay.agreement._cell_steps import (
    ENGINES_PER_DRAIN as ENGINES_PER_DRAIN,
)
from cranberryrelay.agreement._cell_steps import StepContext as StepContext
from cranberryrelay.agreement._cell_steps import advance_cell as advance_cell
from cranberryrelay.agreement._cell_steps import is_drained as is_drained
from cranberryrelay.agreement._cell_steps import (
    may_start_drain as may_start_drain,
)
from cranberryrelay.agreement._effects import Answer as Answer
from cranberryrelay.agreement._effects import Effect as Effect
from cranberryrelay.agreement._effects import EngineOrder as EngineOrder
from cranberryrelay.agreement._effects import InstancesListed as InstancesListed
from cranberryrelay.agreement._effects import ListInstances as ListInstances
from cranberryrelay.agreement._effects import LoadAnswered as LoadAnswered
from cranberryrelay.agreement._effects import LoadNotes as LoadNotes
from cranberryrelay.agreement._effects import NotesLoaded as NotesLoaded
from cranberryrelay.agreement._effects import OrderAnswered as OrderAnswered
from cranberryrelay.agreement._effects import OrderOutcome as OrderOutcome
from cranberryrelay.agreement._effects import ReadDone as ReadDone
from cranberryrelay.agreement._effects import RequestLoad as RequestLoad
from cranberryrelay.agreement._effects import SendOrder as SendOrder
from cranberryrelay.agreement._effects import SendPeer as SendPeer
from cranberryrelay.agreement._effects import StoreRead as StoreRead
from cranberryrelay.agreement._effects import StoreWrite as StoreWrite
from cranberryrelay.agreement._effects import WriteDone as WriteDone
from cranberryrelay.agreement._evidence import (
    EVIDENCE_BOUND_SECONDS as EVIDENCE_BOUND_SECONDS,
)
from cranberryrelay.agreement._evidence import DomainVote as DomainVote
from cranberryrelay.agreement._evidence import Evidence as Evidence
from cranberryrelay.agreement._evidence import EvidenceTable as EvidenceTable
from cranberryrelay.agreement._evidence import (
    check_admission as check_admission,
)
from cranberryrelay.agreement._evidence import combine_votes as combine_votes
from cranberryrelay.agreement._evidence import (
    find_accepted_revision as find_accepted_revision,
)
from cranberryrelay.agreement._evidence import majority_size as majority_size
from cranberryrelay.agreement._follower import (
    PARENT_TIMEOUT_SECONDS as PARENT_TIMEOUT_SECONDS,
)
from cranberryrelay.agreement._follower import (
    SUBSCRIBE_INTERVAL_SECONDS as SUBSCRIBE_INTERVAL_SECONDS,
)
from cranberryrelay.agreement._follower import TAIL_LENGTH as TAIL_LENGTH
from cranberryrelay.agreement._follower import Follower as Follower
from cranberryrelay.agreement._follower import (
    handle_parent_message as handle_parent_message,
)
from cranberryrelay.agreement._ledger import BATCH_LIMIT as BATCH_LIMIT
from cranberryrelay.agreement._ledger import (
    GROUP_COMMIT_SECONDS as GROUP_COMMIT_SECONDS,
)
from cranberryrelay.agreement._ledger import NOT_RUN_OUTCOME as NOT_RUN_OUTCOME
from cranberryrelay.agreement._ledger import (
    OUTCOME_BYTES_LIMIT as OUTCOME_BYTES_LIMIT,
)
from cranberryrelay.agreement._ledger import PARTITION_COUNT as PARTITION_COUNT
from cranberryrelay.agreement._ledger import LedgerBatch as LedgerBatch
from cranberryrelay.agreement._ledger import LedgerEntry as LedgerEntry
from cranberryrelay.agreement._ledger import LedgerWriter as LedgerWriter
from cranberryrelay.agreement._ledger import Outcome as Outcome
from cranberryrelay.agreement._ledger import PendingRequest as PendingRequest
from cranberryrelay.agreement._ledger import Reservation as Reservation
from cranberryrelay.agreement._ledger import Reserve as Reserve
from cranberryrelay.agreement._ledger import Reserved as Reserved
from cranberryrelay.agreement._ledger import Settle as Settle
from cranberryrelay.agreement._ledger import Settled as Settled
from cranberryrelay.agreement._ledger import Verdict as Verdict
from cranberryrelay.agreement._ledger import apply_entry as apply_entry
from cranberryrelay.agreement._ledger import (
    handle_ledger_answer as handle_ledger_answer,
)
from cranberryrelay.agreement._ledger import (
    handle_ledger_message as handle_ledger_message,
)
from cranberryrelay.agreement._ledger import (
    is_open_reservation as is_open_reservation,
)
from cranberryrelay.agreement._ledger import is_unresolved as is_unresolved
from cranberryrelay.agreement._ledger import ledger_key as ledger_key
from cranberryrelay.agreement._ledger import partition_of as partition_of
from cranberryrelay.agreement._ledger import reply_from_log as reply_from_log
from cranberryrelay.agreement._membership import (
    CONTACTS_PER_DOMAIN as CONTACTS_PER_DOMAIN,
)
from cranberryrelay.agreement._membership import TREE_ARITY as TREE_ARITY
from cranberryrelay.agreement._membership import (
    WATCHERS_PER_DOMAIN as WATCHERS_PER_DOMAIN,
)
from cranberryrelay.agreement._membership import (
    MembershipIndex as MembershipIndex,
)
from cranberryrelay.agreement._membership import (
    digest_members as digest_members,
)
from cranberryrelay.agreement._membership import (
    rendezvous_order as rendezvous_order,
)
from cranberryrelay.agreement._membership import tree_order as tree_order
from cranberryrelay.agreement._plan_relay import (
    CANDIDATES_PER_CELL as CANDIDATES_PER_CELL,
)
from cranberryrelay.agreement._plan_relay import ENTRY_SUFFIX as ENTRY_SUFFIX
from cranberryrelay.agreement._plan_relay import (
    HOLDER_TIMEOUT_INTERVALS as HOLDER_TIMEOUT_INTERVALS,
)
from cranberryrelay.agreement._plan_relay import FollowedPlan as FollowedPlan
from cranberryrelay.agreement._plan_relay import PlanRelay as PlanRelay
from cranberryrelay.agreement._plan_relay import (
    entry_peer_name as entry_peer_name,
)
from cranberryrelay.agreement._plan_relay import (
    find_holder_candidates as find_holder_candidates,
)
from cranberryrelay.agreement._plan_relay import (
    handle_plan_message as handle_plan_message,
)
from cranberryrelay.agreement._plan_relay import (
    instance_of_peer as instance_of_peer,
)
from cranberryrelay.agreement._plan_relay import is_newer_view as is_newer_view
from cranberryrelay.agreement._plan_relay import merge_view as merge_view
from cranberryrelay.agreement._publisher import (
    ACCEPTANCE_POLL_SECONDS as ACCEPTANCE_POLL_SECONDS,
)
from cranberryrelay.agreement._publisher import (
    HISTORY_SEARCH_LIMIT as HISTORY_SEARCH_LIMIT,
)
from cranberryrelay.agreement._publisher import (
    RESOLVE_ATTEMPTS as RESOLVE_ATTEMPTS,
)
from cranberryrelay.agreement._publisher import (
    RESOLVE_INTERVAL_SECONDS as RESOLVE_INTERVAL_SECONDS,
)
from cranberryrelay.agreement._publisher import PublishOutcome as PublishOutcome
from cranberryrelay.agreement._publisher import find_operation as find_operation
from cranberryrelay.agreement._publisher import publish as publish
from cranberryrelay.agreement._publisher import (
    record_revision as record_revision,
)
from cranberryrelay.agreement._publisher import (
    wait_until_accepted as wait_until_accepted,
)
from cranberryrelay.agreement._spread import (
    CHILD_TIMEOUT_SECONDS as CHILD_TIMEOUT_SECONDS,
)
from cranberryrelay.agreement._spread import HEAD_KEY as HEAD_KEY
from cranberryrelay.agreement._spread import (
    HEAD_READ_INTERVAL_SECONDS as HEAD_READ_INTERVAL_SECONDS,
)
from cranberryrelay.agreement._spread import (
    LIST_READ_INTERVAL_SECONDS as LIST_READ_INTERVAL_SECONDS,
)
from cranberryrelay.agreement._spread import (
    RECORDS_PER_PUSH as RECORDS_PER_PUSH,
)
from cranberryrelay.agreement._spread import (
    SNAPSHOT_PIECE_BYTES as SNAPSHOT_PIECE_BYTES,
)
from cranberryrelay.agreement._spread import (
    STORE_TIMEOUT_SECONDS as STORE_TIMEOUT_SECONDS,
)
from cranberryrelay.agreement._spread import (
    VOTE_REQUEST_INTERVAL_SECONDS as VOTE_REQUEST_INTERVAL_SECONDS,
)
from cranberryrelay.agreement._spread import Child as Child
from cranberryrelay.agreement._spread import NoteDistributor as NoteDistributor
from cranberryrelay.agreement._spread import (
    handle_spread_answer as handle_spread_answer,
)
from cranberryrelay.agreement._spread import (
    handle_spread_message as handle_spread_message,
)
from cranberryrelay.agreement._spread_messages import AskVoice as AskVoice
from cranberryrelay.agreement._spread_messages import ChangesPush as ChangesPush
from cranberryrelay.agreement._spread_messages import (
    EvidencePush as EvidencePush,
)
from cranberryrelay.agreement._spread_messages import MembersPush as MembersPush
from cranberryrelay.agreement._spread_messages import (
    SnapshotPush as SnapshotPush,
)
from cranberryrelay.agreement._spread_messages import Subscribe as Subscribe
from cranberryrelay.agreement._spread_messages import VoiceWord as VoiceWord
from cranberryrelay.agreement._voice import LIST_LAG_SECONDS as LIST_LAG_SECONDS
from cranberryrelay.agreement._voice import (
    VOTE_READ_INTERVAL_SECONDS as VOTE_READ_INTERVAL_SECONDS,
)
from cranberryrelay.agreement._voice import AbsenceTracker as AbsenceTracker
from cranberryrelay.agreement._voice import DomainVoter as DomainVoter
from cranberryrelay.agreement._voice import Identity as Identity
from cranberryrelay.agreement._voice import VoteRecord as VoteRecord
from cranberryrelay.agreement._voice import decode_vote as decode_vote
from cranberryrelay.agreement._voice import vote_key as vote_key
