"""Load management policies.

Admission by rank, choice of an engine, planning of engine roles, retry budget
and isolation of poison requests.
"""

from cranberryrelay.policy._choice import (
    INTER_TOKEN_TARGET_SECONDS as INTER_TOKEN_TARGET_SECONDS,
)
from cranberryrelay.policy._choice import (
    LEAST_URGENT_PRIORITY as LEAST_URGENT_PRIORITY,
)
from cranberryrelay.policy._choice import PREFILL as PREFILL
from cranberryrelay.policy._choice import (
    PREFIX_KEY_CHARACTERS as PREFIX_KEY_CHARACTERS,
)
from cranberryrelay.policy._choice import (
    PREFIXES_LIMIT as PREFIXES_LIMIT,
)
from cranberryrelay.policy._choice import (
    RECENT_SENDS_LIMIT as RECENT_SENDS_LIMIT,
)
from cranberryrelay.policy._choice import SAMPLE_SIZE as SAMPLE_SIZE
from cranberryrelay.policy._choice import EngineChoice as EngineChoice
from cranberryrelay.policy._choice import EngineChooser as EngineChooser
from cranberryrelay.policy._choice import EngineRates as EngineRates
from cranberryrelay.policy._choice import EngineView as EngineView
from cranberryrelay.policy._choice import LoadEstimate as LoadEstimate
from cranberryrelay.policy._choice import PrefixIndex as PrefixIndex
from cranberryrelay.policy._choice import RunningChange as RunningChange
from cranberryrelay.policy._choice import SentWork as SentWork
from cranberryrelay.policy._limiter import (
    BORROWED_PRIORITY_OFFSET as BORROWED_PRIORITY_OFFSET,
)
from cranberryrelay.policy._limiter import (
    PREFILL_BACKLOG_LIMIT_SECONDS as PREFILL_BACKLOG_LIMIT_SECONDS,
)
from cranberryrelay.policy._limiter import Decisions as Decisions
from cranberryrelay.policy._limiter import FairQueue as FairQueue
from cranberryrelay.policy._limiter import Grant as Grant
from cranberryrelay.policy._limiter import PlaceCallback as PlaceCallback
from cranberryrelay.policy._limiter import Placement as Placement
from cranberryrelay.policy._limiter import QueuedRequest as QueuedRequest
from cranberryrelay.policy._limiter import RankLimiter as RankLimiter
from cranberryrelay.policy._limiter import start_always as start_always
from cranberryrelay.policy._retries import ATTEMPTS_LIMIT as ATTEMPTS_LIMIT
from cranberryrelay.policy._retries import (
    INITIAL_RETRY_TOKENS as INITIAL_RETRY_TOKENS,
)
from cranberryrelay.policy._retries import RETRY_RATIO as RETRY_RATIO
from cranberryrelay.policy._retries import (
    RETRY_TOKENS_LIMIT as RETRY_TOKENS_LIMIT,
)
from cranberryrelay.policy._retries import RetryBudget as RetryBudget
from cranberryrelay.policy._roles import (
    CHANGE_BUDGET_WINDOW_SECONDS as CHANGE_BUDGET_WINDOW_SECONDS,
)
from cranberryrelay.policy._roles import DECODE_HEADROOM as DECODE_HEADROOM
from cranberryrelay.policy._roles import (
    DEFAULT_CHANGE_BUDGET as DEFAULT_CHANGE_BUDGET,
)
from cranberryrelay.policy._roles import (
    MIN_CHANGE_INTERVAL_SECONDS as MIN_CHANGE_INTERVAL_SECONDS,
)
from cranberryrelay.policy._roles import MIN_GAIN as MIN_GAIN
from cranberryrelay.policy._roles import MIXED as MIXED
from cranberryrelay.policy._roles import (
    PLANNING_HORIZON_SECONDS as PLANNING_HORIZON_SECONDS,
)
from cranberryrelay.policy._roles import PREFILL_HEADROOM as PREFILL_HEADROOM
from cranberryrelay.policy._roles import (
    ROLE_CHANGE_SECONDS as ROLE_CHANGE_SECONDS,
)
from cranberryrelay.policy._roles import Demand as Demand
from cranberryrelay.policy._roles import RolePlanner as RolePlanner
from cranberryrelay.policy._roles import clip_demand as clip_demand
from cranberryrelay.policy._roles import engines_needed as engines_needed
from cranberryrelay.policy._roles import guarantee_slots as guarantee_slots
from cranberryrelay.suspects import (
    CRASHES_TO_REFUSE as CRASHES_TO_REFUSE,
)
from cranberryrelay.suspects import (
    SUSPECT_TTL_SECONDS as SUSPECT_TTL_SECONDS,
)
from cranberryrelay.suspects import SUSPECTS_LIMIT as SUSPECTS_LIMIT
from cranberryrelay.suspects import SuspectCrash as SuspectCrash
from cranberryrelay.suspects import SuspectRecord as SuspectRecord
from cranberryrelay.suspects import SuspectRegistry as SuspectRegistry
