"""The data path of an instance: admits requests and runs them on upstreams."""

from cranberryrelay.entry._actor import INBOX_CAPACITY as INBOX_CAPACITY
from cranberryrelay.entry._actor import (
    TICK_INTERVAL_SECONDS as TICK_INTERVAL_SECONDS,
)
from cranberryrelay.entry._actor import CoreActor as CoreActor
from cranberryrelay.entry._actor import PeerMessage as PeerMessage
from cranberryrelay.entry._actor import Tick as Tick
from cranberryrelay.entry._actor import open_core_actor as open_core_actor
from cranberryrelay.entry._context import AdmittedRequest as AdmittedRequest
from cranberryrelay.entry._context import IdentifiedRequest as IdentifiedRequest
from cranberryrelay.entry._context import IncomingRequest as IncomingRequest
from cranberryrelay.entry._context import RankedRequest as RankedRequest
from cranberryrelay.entry._core import (
    ACCOUNT_REPORT_INTERVAL_SECONDS as ACCOUNT_REPORT_INTERVAL_SECONDS,
)
from cranberryrelay.entry._core import FOLLOWER_MESSAGES as FOLLOWER_MESSAGES
from cranberryrelay.entry._core import (
    PLAN_ACK_INTERVAL_SECONDS as PLAN_ACK_INTERVAL_SECONDS,
)
from cranberryrelay.entry._core import EntryCore as EntryCore
from cranberryrelay.entry._core import handle_command as handle_command
from cranberryrelay.entry._core import handle_message as handle_message
from cranberryrelay.entry._demand import (
    DEMAND_WINDOW_SECONDS as DEMAND_WINDOW_SECONDS,
)
from cranberryrelay.entry._demand import DemandSample as DemandSample
from cranberryrelay.entry._demand import DemandTracker as DemandTracker
from cranberryrelay.entry._exchange import (
    CHARACTERS_PER_TOKEN as CHARACTERS_PER_TOKEN,
)
from cranberryrelay.entry._exchange import (
    LOWER_RANK_WAIT_FACTOR as LOWER_RANK_WAIT_FACTOR,
)
from cranberryrelay.entry._exchange import (
    MILLISECONDS_PER_SECOND as MILLISECONDS_PER_SECOND,
)
from cranberryrelay.entry._exchange import NOT_RUN_STATUSES as NOT_RUN_STATUSES
from cranberryrelay.entry._exchange import (
    TOKEN_TIMEOUT_SECONDS as TOKEN_TIMEOUT_SECONDS,
)
from cranberryrelay.entry._exchange import AnswerEvent as AnswerEvent
from cranberryrelay.entry._exchange import AttemptFailed as AttemptFailed
from cranberryrelay.entry._exchange import CompletedAnswer as CompletedAnswer
from cranberryrelay.entry._exchange import FailedAnswer as FailedAnswer
from cranberryrelay.entry._exchange import GenerateBody as GenerateBody
from cranberryrelay.entry._exchange import TokenLine as TokenLine
from cranberryrelay.entry._exchange import TokenText as TokenText
from cranberryrelay.entry._exchange import collect_answer as collect_answer
from cranberryrelay.entry._exchange import (
    execution_state_after_attempt as execution_state_after_attempt,
)
from cranberryrelay.entry._exchange import (
    execution_state_after_status as execution_state_after_status,
)
from cranberryrelay.entry._exchange import generate_answer as generate_answer
from cranberryrelay.entry._exchange import (
    make_slot_request as make_slot_request,
)
from cranberryrelay.entry._exchange import (
    needs_decode_handoff as needs_decode_handoff,
)
from cranberryrelay.entry._exchange import (
    request_next_engine as request_next_engine,
)
from cranberryrelay.entry._exchange import run_attempt as run_attempt
from cranberryrelay.entry._http_app import (
    BODY_BYTES_HARD_LIMIT as BODY_BYTES_HARD_LIMIT,
)
from cranberryrelay.entry._http_app import EntryRoutes as EntryRoutes
from cranberryrelay.entry._http_app import make_entry_app as make_entry_app
from cranberryrelay.entry._http_app import read_request as read_request
from cranberryrelay.entry._identify import (
    HEADER_BYTES_LIMIT as HEADER_BYTES_LIMIT,
)
from cranberryrelay.entry._identify import identify as identify
from cranberryrelay.entry._messages import Admission as Admission
from cranberryrelay.entry._messages import AdmitRequest as AdmitRequest
from cranberryrelay.entry._messages import CancelCommand as CancelCommand
from cranberryrelay.entry._messages import CommandEnvelope as CommandEnvelope
from cranberryrelay.entry._messages import CommandReply as CommandReply
from cranberryrelay.entry._messages import EngineAssignment as EngineAssignment
from cranberryrelay.entry._messages import HandOffToDecode as HandOffToDecode
from cranberryrelay.entry._messages import ReassignSlot as ReassignSlot
from cranberryrelay.entry._messages import ReleaseSlot as ReleaseSlot
from cranberryrelay.entry._messages import ReleaseUpstream as ReleaseUpstream
from cranberryrelay.entry._messages import ReserveCall as ReserveCall
from cranberryrelay.entry._messages import SelectUpstream as SelectUpstream
from cranberryrelay.entry._messages import (
    SettleReservation as SettleReservation,
)
from cranberryrelay.entry._messages import SlotGrant as SlotGrant
from cranberryrelay.entry._messages import SlotRequest as SlotRequest
from cranberryrelay.entry._messages import StartDraining as StartDraining
from cranberryrelay.entry._pipeline import Pipeline as Pipeline
from cranberryrelay.entry._program import (
    DRAIN_NOTICE_SECONDS as DRAIN_NOTICE_SECONDS,
)
from cranberryrelay.entry._program import (
    FINAL_REPORT_TIMEOUT_SECONDS as FINAL_REPORT_TIMEOUT_SECONDS,
)
from cranberryrelay.entry._program import (
    SHUTDOWN_GRACE_SECONDS as SHUTDOWN_GRACE_SECONDS,
)
from cranberryrelay.entry._program import (
    UPSTREAM_CONNECTIONS_LIMIT as UPSTREAM_CONNECTIONS_LIMIT,
)
from cranberryrelay.entry._program import DrainTrigger as DrainTrigger
from cranberryrelay.entry._program import main as main
from cranberryrelay.entry._program import serve_entry as serve_entry
from cranberryrelay.entry._program import (
    wait_account_saved as wait_account_saved,
)
from cranberryrelay.entry._rank import CHAT_PATH as CHAT_PATH
from cranberryrelay.entry._rank import DEFAULT_TOKENS as DEFAULT_TOKENS
from cranberryrelay.entry._rank import ChatMessage as ChatMessage
from cranberryrelay.entry._rank import CompletionBody as CompletionBody
from cranberryrelay.entry._rank import assign_rank as assign_rank
from cranberryrelay.entry._replies import PROBLEM_TYPE as PROBLEM_TYPE
from cranberryrelay.entry._replies import encode_problem as encode_problem
from cranberryrelay.entry._replies import (
    make_completion_response as make_completion_response,
)
from cranberryrelay.entry._replies import (
    make_problem_response as make_problem_response,
)
from cranberryrelay.entry._replies import (
    make_reply_headers as make_reply_headers,
)
from cranberryrelay.entry._replies import stream_events as stream_events
from cranberryrelay.entry._reservations import (
    LEDGER_TIMEOUT_SECONDS as LEDGER_TIMEOUT_SECONDS,
)
from cranberryrelay.entry._reservations import (
    PendingReservation as PendingReservation,
)
from cranberryrelay.entry._reservations import (
    ReservationManager as ReservationManager,
)
from cranberryrelay.entry._reservations import (
    handle_reservation_command as handle_reservation_command,
)
from cranberryrelay.entry._reservations import (
    refuse_reservation as refuse_reservation,
)
from cranberryrelay.entry._service_call import (
    IDEMPOTENCY_KEY_HEADER as IDEMPOTENCY_KEY_HEADER,
)
from cranberryrelay.entry._service_call import SERVICE_PREFIX as SERVICE_PREFIX
from cranberryrelay.entry._service_call import ServiceCall as ServiceCall
from cranberryrelay.entry._service_call import (
    resolve_service_call as resolve_service_call,
)
from cranberryrelay.entry._service_call import run_call as run_call
from cranberryrelay.entry._slots import (
    DEMAND_REPORT_INTERVAL_SECONDS as DEMAND_REPORT_INTERVAL_SECONDS,
)
from cranberryrelay.entry._slots import (
    FAILED_ENGINE_BACKOFF_SECONDS as FAILED_ENGINE_BACKOFF_SECONDS,
)
from cranberryrelay.entry._slots import (
    REASSIGN_TIMEOUT_SECONDS as REASSIGN_TIMEOUT_SECONDS,
)
from cranberryrelay.entry._slots import (
    SLOT_OVERCOMMIT_FACTOR as SLOT_OVERCOMMIT_FACTOR,
)
from cranberryrelay.entry._slots import OpenSlot as OpenSlot
from cranberryrelay.entry._slots import SlotManager as SlotManager
from cranberryrelay.entry._slots import (
    handle_plan_message as handle_plan_message,
)
from cranberryrelay.entry._slots import (
    handle_slot_command as handle_slot_command,
)
from cranberryrelay.entry._telemetry import Telemetry as Telemetry
