"""The steward: the control-side process of an instance.

It watches the store, distributes release notes, holds the leases of cells,
plans engine roles and sends orders to engines.
"""

from cranberryrelay.steward._core import (
    DEMAND_MAX_AGE_SECONDS as DEMAND_MAX_AGE_SECONDS,
)
from cranberryrelay.steward._core import (
    LOAD_FAILURE_LIMIT as LOAD_FAILURE_LIMIT,
)
from cranberryrelay.steward._core import (
    LOAD_POLL_INTERVAL_SECONDS as LOAD_POLL_INTERVAL_SECONDS,
)
from cranberryrelay.steward._core import Received as Received
from cranberryrelay.steward._core import ReceivedDemand as ReceivedDemand
from cranberryrelay.steward._core import StewardCore as StewardCore
from cranberryrelay.steward._core import route_message as route_message
from cranberryrelay.steward._metrics import StewardMetrics as StewardMetrics
from cranberryrelay.steward._metrics import serve_metrics as serve_metrics
from cranberryrelay.steward._program import (
    STORE_TIMEOUT_SECONDS as STORE_TIMEOUT_SECONDS,
)
from cranberryrelay.steward._program import main as main
from cranberryrelay.steward._program import serve_steward as serve_steward
from cranberryrelay.steward._shell import INBOX_LIMIT as INBOX_LIMIT
from cranberryrelay.steward._shell import (
    LEAVE_TIMEOUT_SECONDS as LEAVE_TIMEOUT_SECONDS,
)
from cranberryrelay.steward._shell import (
    LOAD_TIMEOUT_SECONDS as LOAD_TIMEOUT_SECONDS,
)
from cranberryrelay.steward._shell import (
    ORDER_TIMEOUT_SECONDS as ORDER_TIMEOUT_SECONDS,
)
from cranberryrelay.steward._shell import TICK_SECONDS as TICK_SECONDS
from cranberryrelay.steward._shell import Leave as Leave
from cranberryrelay.steward._shell import StewardShell as StewardShell
from cranberryrelay.steward._shell import Tick as Tick
from cranberryrelay.steward._shell import open_steward as open_steward
from cranberryrelay.steward._shell import request_load as request_load
from cranberryrelay.steward._shell import send_order as send_order
