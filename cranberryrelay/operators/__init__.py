"""The command line that operators use to publish release notes."""

from cranberryrelay.operators._explain import (
    CLOCK_SKEW_SECONDS as CLOCK_SKEW_SECONDS,
)
from cranberryrelay.operators._explain import (
    HISTORY_READS_LIMIT as HISTORY_READS_LIMIT,
)
from cranberryrelay.operators._explain import (
    SEGMENTS_SCANNED_LIMIT as SEGMENTS_SCANNED_LIMIT,
)
from cranberryrelay.operators._explain import AccountReader as AccountReader
from cranberryrelay.operators._explain import Explanation as Explanation
from cranberryrelay.operators._explain import explain_request as explain_request
from cranberryrelay.operators._explain import verify_account as verify_account
from cranberryrelay.operators._program import (
    ACCEPT_TIMEOUT_SECONDS as ACCEPT_TIMEOUT_SECONDS,
)
from cranberryrelay.operators._program import (
    DEFAULT_DOMAIN_COUNT as DEFAULT_DOMAIN_COUNT,
)
from cranberryrelay.operators._program import (
    DEFAULT_PLATFORM_URL as DEFAULT_PLATFORM_URL,
)
from cranberryrelay.operators._program import (
    DOMAINS_VARIABLE as DOMAINS_VARIABLE,
)
from cranberryrelay.operators._program import (
    PLATFORM_VARIABLE as PLATFORM_VARIABLE,
)
from cranberryrelay.operators._program import (
    SHORT_DIGEST_DIGITS as SHORT_DIGEST_DIGITS,
)
from cranberryrelay.operators._program import (
    STORE_TIMEOUT_SECONDS as STORE_TIMEOUT_SECONDS,
)
from cranberryrelay.operators._program import ChangeLine as ChangeLine
from cranberryrelay.operators._program import NotesCommands as NotesCommands
from cranberryrelay.operators._program import ResultValue as ResultValue
from cranberryrelay.operators._program import main as main
from cranberryrelay.operators._status import CellStatus as CellStatus
from cranberryrelay.operators._status import Status as Status
from cranberryrelay.operators._status import VoiceStatus as VoiceStatus
from cranberryrelay.operators._status import read_status as read_status
