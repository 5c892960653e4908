"""Decisions under load: ranks, engines, roles, retries, suspects."""

from cranberryrelay.policy._choice import (
    BETWEEN_TOKENS_SECONDS as BETWEEN_TOKENS_SECONDS,
)
from cranberryrelay.policy._choice import BLOCK_CHARACTERS as BLOCK_CHARACTERS
from cranberryrelay.policy._choice import (
    CACHE_ENTRIES_LIMIT as CACHE_ENTRIES_LIMIT,
)
from cranberryrelay.policy._choice import LEAST_URGENT as LEAST_URGENT
from cranberryrelay.policy._choice import PREFILL as PREFILL
from cranberryrelay.policy._choice import SAMPLE_SIZE as SAMPLE_SIZE
from cranberryrelay.policy._choice import SENDS_KEPT_LIMIT as SENDS_KEPT_LIMIT
from cranberryrelay.policy._choice import Choice as Choice
from cranberryrelay.policy._choice import EngineChooser as EngineChooser
from cranberryrelay.policy._choice import EngineRates as EngineRates
from cranberryrelay.policy._choice import EngineView as EngineView
from cranberryrelay.policy._choice import Estimate as Estimate
from cranberryrelay.policy._choice import Moved as Moved
from cranberryrelay.policy._choice import PrefixIndex as PrefixIndex
from cranberryrelay.policy._choice import Sent as Sent
from cranberryrelay.policy._limiter import (
    BORROWED_PRIORITY as BORROWED_PRIORITY,
)
from cranberryrelay.policy._limiter import PACE_SECONDS as PACE_SECONDS
from cranberryrelay.policy._limiter import Decisions as Decisions
from cranberryrelay.policy._limiter import FairQueue as FairQueue
from cranberryrelay.policy._limiter import Grant as Grant
from cranberryrelay.policy._limiter import Place as Place
from cranberryrelay.policy._limiter import Placement as Placement
from cranberryrelay.policy._limiter import QueuedRequest as QueuedRequest
from cranberryrelay.policy._limiter import RankLimiter as RankLimiter
from cranberryrelay.policy._limiter import place_anywhere as place_anywhere
from cranberryrelay.policy._retries import ATTEMPTS_LIMIT as ATTEMPTS_LIMIT
from cranberryrelay.policy._retries import RETRY_RATIO as RETRY_RATIO
from cranberryrelay.policy._retries import RETRY_RESERVE as RETRY_RESERVE
from cranberryrelay.policy._retries import (
    RETRY_TOKENS_LIMIT as RETRY_TOKENS_LIMIT,
)
from cranberryrelay.policy._retries import RetryBudget as RetryBudget
from cranberryrelay.policy._roles import (
    BUDGET_WINDOW_SECONDS as BUDGET_WINDOW_SECONDS,
)
from cranberryrelay.policy._roles import CHANGE_SECONDS as CHANGE_SECONDS
from cranberryrelay.policy._roles import DECODE_HEADROOM as DECODE_HEADROOM
from cranberryrelay.policy._roles import DEFAULT_BUDGET as DEFAULT_BUDGET
from cranberryrelay.policy._roles import HORIZON_SECONDS as HORIZON_SECONDS
from cranberryrelay.policy._roles import LEAST_GAIN as LEAST_GAIN
from cranberryrelay.policy._roles import (
    LEAST_PAUSE_SECONDS as LEAST_PAUSE_SECONDS,
)
from cranberryrelay.policy._roles import MIXED as MIXED
from cranberryrelay.policy._roles import PREFILL_HEADROOM as PREFILL_HEADROOM
from cranberryrelay.policy._roles import Demand as Demand
from cranberryrelay.policy._roles import RolePlanner as RolePlanner
from cranberryrelay.policy._roles import clip_demand as clip_demand
from cranberryrelay.policy._roles import engines_worth as engines_worth
from cranberryrelay.policy._roles import guarantee_slots as guarantee_slots
from cranberryrelay.policy._suspects import (
    CRASHES_TO_REFUSE as CRASHES_TO_REFUSE,
)
from cranberryrelay.policy._suspects import (
    SUSPECT_TTL_SECONDS as SUSPECT_TTL_SECONDS,
)
from cranberryrelay.policy._suspects import SUSPECTS_LIMIT as SUSPECTS_LIMIT
from cranberryrelay.policy._suspects import SuspectBook as SuspectBook
from cranberryrelay.policy._suspects import SuspectCrash as SuspectCrash
from cranberryrelay.policy._suspects import SuspectRecord as SuspectRecord
