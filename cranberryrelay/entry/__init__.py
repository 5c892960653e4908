"""The data path: callers in, upstreams out, filter by filter."""

from cranberryrelay.entry._actor import INBOX_LIMIT as INBOX_LIMIT
from cranberryrelay.entry._actor import TICK_SECONDS as TICK_SECONDS
from cranberryrelay.entry._actor import EntryLink as EntryLink
from cranberryrelay.entry._actor import FromPeer as FromPeer
from cranberryrelay.entry._actor import Tick as Tick
from cranberryrelay.entry._actor import open_entry_link as open_entry_link
from cranberryrelay.entry._context import Identified as Identified
from cranberryrelay.entry._context import Incoming as Incoming
from cranberryrelay.entry._context import Pinned as Pinned
from cranberryrelay.entry._context import Ranked as Ranked
from cranberryrelay.entry._core import ACK_SECONDS as ACK_SECONDS
from cranberryrelay.entry._core import FOLLOWED_MESSAGES as FOLLOWED_MESSAGES
from cranberryrelay.entry._core import REPORT_SECONDS as REPORT_SECONDS
from cranberryrelay.entry._core import EntryCore as EntryCore
from cranberryrelay.entry._core import answer as answer
from cranberryrelay.entry._core import take_message as take_message
from cranberryrelay.entry._demand import DEMAND_SECONDS as DEMAND_SECONDS
from cranberryrelay.entry._demand import Asked as Asked
from cranberryrelay.entry._demand import DemandBook as DemandBook
from cranberryrelay.entry._exchange import (
    CHARACTERS_PER_TOKEN as CHARACTERS_PER_TOKEN,
)
from cranberryrelay.entry._exchange import MILLISECONDS as MILLISECONDS
from cranberryrelay.entry._exchange import NOT_RUN_STATUSES as NOT_RUN_STATUSES
from cranberryrelay.entry._exchange import (
    TOKEN_TIMEOUT_SECONDS as TOKEN_TIMEOUT_SECONDS,
)
from cranberryrelay.entry._exchange import WAIT_FACTOR as WAIT_FACTOR
from cranberryrelay.entry._exchange import AttemptFailed as AttemptFailed
from cranberryrelay.entry._exchange import BrokenAnswer as BrokenAnswer
from cranberryrelay.entry._exchange import GenerateBody as GenerateBody
from cranberryrelay.entry._exchange import Piece as Piece
from cranberryrelay.entry._exchange import TokenLine as TokenLine
from cranberryrelay.entry._exchange import TokenText as TokenText
from cranberryrelay.entry._exchange import WholeAnswer as WholeAnswer
from cranberryrelay.entry._exchange import collect_answer as collect_answer
from cranberryrelay.entry._exchange import exchange as exchange
from cranberryrelay.entry._exchange import make_ask as make_ask
from cranberryrelay.entry._exchange import must_hand_on as must_hand_on
from cranberryrelay.entry._exchange import (
    ran_after_attempt as ran_after_attempt,
)
from cranberryrelay.entry._exchange import ran_after_status as ran_after_status
from cranberryrelay.entry._exchange import run_attempt as run_attempt
from cranberryrelay.entry._http_app import (
    BODY_BYTES_HARD_LIMIT as BODY_BYTES_HARD_LIMIT,
)
from cranberryrelay.entry._http_app import EntryRoutes as EntryRoutes
from cranberryrelay.entry._http_app import make_entry_app as make_entry_app
from cranberryrelay.entry._http_app import read_incoming as read_incoming
from cranberryrelay.entry._identify import (
    HEADER_BYTES_LIMIT as HEADER_BYTES_LIMIT,
)
from cranberryrelay.entry._identify import identify as identify
from cranberryrelay.entry._messages import Abandon as Abandon
from cranberryrelay.entry._messages import Ask as Ask
from cranberryrelay.entry._messages import AskService as AskService
from cranberryrelay.entry._messages import AskSlot as AskSlot
from cranberryrelay.entry._messages import Assigned as Assigned
from cranberryrelay.entry._messages import Begin as Begin
from cranberryrelay.entry._messages import Begun as Begun
from cranberryrelay.entry._messages import Book as Book
from cranberryrelay.entry._messages import CloseBooking as CloseBooking
from cranberryrelay.entry._messages import EndService as EndService
from cranberryrelay.entry._messages import EndSlot as EndSlot
from cranberryrelay.entry._messages import HandOn as HandOn
from cranberryrelay.entry._messages import Reassign as Reassign
from cranberryrelay.entry._messages import Reply as Reply
from cranberryrelay.entry._messages import SlotGiven as SlotGiven
from cranberryrelay.entry._messages import StartDraining as StartDraining
from cranberryrelay.entry._pipeline import Pipeline as Pipeline
from cranberryrelay.entry._program import CONNECTIONS_LIMIT as CONNECTIONS_LIMIT
from cranberryrelay.entry._program import (
    LAST_BYTES_SECONDS as LAST_BYTES_SECONDS,
)
from cranberryrelay.entry._program import (
    LAST_REPORT_SECONDS as LAST_REPORT_SECONDS,
)
from cranberryrelay.entry._program import NOT_READY_SECONDS as NOT_READY_SECONDS
from cranberryrelay.entry._program import DrainTrigger as DrainTrigger
from cranberryrelay.entry._program import main as main
from cranberryrelay.entry._program import serve_entry as serve_entry
from cranberryrelay.entry._program import wait_reported as wait_reported
from cranberryrelay.entry._rank import CHAT_PATH as CHAT_PATH
from cranberryrelay.entry._rank import DEFAULT_TOKENS as DEFAULT_TOKENS
from cranberryrelay.entry._rank import ChatMessage as ChatMessage
from cranberryrelay.entry._rank import CompletionBody as CompletionBody
from cranberryrelay.entry._rank import rank as rank
from cranberryrelay.entry._replies import PROBLEM_TYPE as PROBLEM_TYPE
from cranberryrelay.entry._replies import describe_problem as describe_problem
from cranberryrelay.entry._replies import reply_headers as reply_headers
from cranberryrelay.entry._replies import reply_problem as reply_problem
from cranberryrelay.entry._replies import reply_whole as reply_whole
from cranberryrelay.entry._replies import stream_events as stream_events
from cranberryrelay.entry._reservations import LEDGER_SECONDS as LEDGER_SECONDS
from cranberryrelay.entry._reservations import BookingPart as BookingPart
from cranberryrelay.entry._reservations import PendingBooking as PendingBooking
from cranberryrelay.entry._reservations import answer_booking as answer_booking
from cranberryrelay.entry._reservations import refuse_booking as refuse_booking
from cranberryrelay.entry._service_call import KEY_HEADER as KEY_HEADER
from cranberryrelay.entry._service_call import SERVICE_PREFIX as SERVICE_PREFIX
from cranberryrelay.entry._service_call import ServiceCall as ServiceCall
from cranberryrelay.entry._service_call import find_call as find_call
from cranberryrelay.entry._service_call import run_call as run_call
from cranberryrelay.entry._slots import (
    DEMAND_REPORT_SECONDS as DEMAND_REPORT_SECONDS,
)
from cranberryrelay.entry._slots import (
    ENGINE_REST_SECONDS as ENGINE_REST_SECONDS,
)
from cranberryrelay.entry._slots import OVERCOMMIT as OVERCOMMIT
from cranberryrelay.entry._slots import REASSIGN_SECONDS as REASSIGN_SECONDS
from cranberryrelay.entry._slots import OpenSlot as OpenSlot
from cranberryrelay.entry._slots import SlotPart as SlotPart
from cranberryrelay.entry._slots import answer_slot as answer_slot
from cranberryrelay.entry._slots import take_plan as take_plan
from cranberryrelay.entry._telemetry import Telemetry as Telemetry
