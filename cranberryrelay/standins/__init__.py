"""Stand-ins for the platform, engines and services, with fault injection.

The stand-ins for the target platform have names that begin with ``Target``.
"""

from cranberryrelay.standins._engine import (
    CACHED_PREFIX_LIMIT as CACHED_PREFIX_LIMIT,
)
from cranberryrelay.standins._engine import (
    CHARACTERS_PER_TOKEN as CHARACTERS_PER_TOKEN,
)
from cranberryrelay.standins._engine import (
    PREFIX_CHARACTERS as PREFIX_CHARACTERS,
)
from cranberryrelay.standins._engine import (
    EngineCrashedError as EngineCrashedError,
)
from cranberryrelay.standins._engine import EngineFaults as EngineFaults
from cranberryrelay.standins._engine import EngineSpeed as EngineSpeed
from cranberryrelay.standins._engine import EngineStandIn as EngineStandIn
from cranberryrelay.standins._engine import GenerateRequest as GenerateRequest
from cranberryrelay.standins._engine import TokenEvent as TokenEvent
from cranberryrelay.standins._engine import count_tokens as count_tokens
from cranberryrelay.standins._engine import make_answer_text as make_answer_text
from cranberryrelay.standins._engine import make_token_text as make_token_text
from cranberryrelay.standins._http_app import (
    make_standins_app as make_standins_app,
)
from cranberryrelay.standins._loopback import FIRST_PORT as FIRST_PORT
from cranberryrelay.standins._loopback import LAST_PORT as LAST_PORT
from cranberryrelay.standins._loopback import LOOPBACK as LOOPBACK
from cranberryrelay.standins._platform_routes import (
    PlatformRoutes as PlatformRoutes,
)
from cranberryrelay.standins._program import main as main
from cranberryrelay.standins._program import read_standins as read_standins
from cranberryrelay.standins._program import run_standins as run_standins
from cranberryrelay.standins._program import serve_standins as serve_standins
from cranberryrelay.standins._replies import VERSION_HEADER as VERSION_HEADER
from cranberryrelay.standins._replies import read_body as read_body
from cranberryrelay.standins._replies import reply_failure as reply_failure
from cranberryrelay.standins._replies import (
    reply_failure_or_hang as reply_failure_or_hang,
)
from cranberryrelay.standins._replies import reply_json as reply_json
from cranberryrelay.standins._replies import reply_outcome as reply_outcome
from cranberryrelay.standins._service import CALL_SECONDS as CALL_SECONDS
from cranberryrelay.standins._service import ServiceFaults as ServiceFaults
from cranberryrelay.standins._service import ServiceStandIn as ServiceStandIn
from cranberryrelay.standins._standins import StandIns as StandIns
from cranberryrelay.standins._store import StoreFaults as StoreFaults
from cranberryrelay.standins._store import StoreStandIn as StoreStandIn
from cranberryrelay.standins._target_engine import EVENT_COUNT as EVENT_COUNT
from cranberryrelay.standins._target_engine import (
    TargetEngineFaults as TargetEngineFaults,
)
from cranberryrelay.standins._target_engine import (
    TargetEngineStandIn as TargetEngineStandIn,
)
from cranberryrelay.standins._target_engine import (
    make_target_engine_app as make_target_engine_app,
)
from cranberryrelay.standins._target_runs import RunFile as RunFile
from cranberryrelay.standins._target_runs import StartedRun as StartedRun
from cranberryrelay.standins._target_runs import read_run_file as read_run_file
from cranberryrelay.standins._target_store import (
    TargetStoreFaults as TargetStoreFaults,
)
from cranberryrelay.standins._target_store import (
    TargetStoreStandIn as TargetStoreStandIn,
)
from cranberryrelay.standins._target_store import (
    make_target_store_app as make_target_store_app,
)
from cranberryrelay.standins._upstream_routes import (
    UpstreamRoutes as UpstreamRoutes,
)
