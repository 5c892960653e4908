"""Test helpers: simulated network, fault injection, traces and fixtures."""

from cranberryrelay.testkit._invariants import (
    find_conflicting_orders as find_conflicting_orders,
)
from cranberryrelay.testkit._invariants import (
    find_duplicate_lease_holders as find_duplicate_lease_holders,
)
from cranberryrelay.testkit._invariants import (
    find_interrupted_work as find_interrupted_work,
)
from cranberryrelay.testkit._invariants import (
    find_stale_admissions as find_stale_admissions,
)
from cranberryrelay.testkit._local_network import HEAD_KEY as HEAD_KEY
from cranberryrelay.testkit._local_network import STEP_SECONDS as STEP_SECONDS
from cranberryrelay.testkit._local_network import DelayedOrder as DelayedOrder
from cranberryrelay.testkit._local_network import (
    DeliveredOrder as DeliveredOrder,
)
from cranberryrelay.testkit._local_network import EntryMessage as EntryMessage
from cranberryrelay.testkit._local_network import Instance as Instance
from cranberryrelay.testkit._local_network import ListChange as ListChange
from cranberryrelay.testkit._local_network import Origin as Origin
from cranberryrelay.testkit._local_network import (
    ScheduledEvent as ScheduledEvent,
)
from cranberryrelay.testkit._local_network import (
    SimulatedEngine as SimulatedEngine,
)
from cranberryrelay.testkit._local_network import (
    SimulatedNetwork as SimulatedNetwork,
)
from cranberryrelay.testkit._local_network import (
    perform_effect as perform_effect,
)
from cranberryrelay.testkit._profiles import (
    DETERMINISTIC_PROFILE as DETERMINISTIC_PROFILE,
)
from cranberryrelay.testkit._profiles import MAX_EXAMPLES as MAX_EXAMPLES
from cranberryrelay.testkit._profiles import STATEFUL_STEPS as STATEFUL_STEPS
from cranberryrelay.testkit._sites import FIRST_ENGINE_PORT as FIRST_ENGINE_PORT
from cranberryrelay.testkit._sites import FIRST_PEER_PORT as FIRST_PEER_PORT
from cranberryrelay.testkit._sites import (
    NOTE_BODY_TEMPLATE as NOTE_BODY_TEMPLATE,
)
from cranberryrelay.testkit._sites import (
    NOTE_HEAD_TEMPLATE as NOTE_HEAD_TEMPLATE,
)
from cranberryrelay.testkit._sites import make_command as make_command
from cranberryrelay.testkit._sites import make_content as make_content
from cranberryrelay.testkit._sites import (
    make_instance_settings as make_instance_settings,
)
from cranberryrelay.testkit._trace import ACTIONS as ACTIONS
from cranberryrelay.testkit._trace import CELL as CELL
from cranberryrelay.testkit._trace import TRACE_FOLDER as TRACE_FOLDER
from cranberryrelay.testkit._trace import PendingCall as PendingCall
from cranberryrelay.testkit._trace import Replay as Replay
from cranberryrelay.testkit._trace import StepFunction as StepFunction
from cranberryrelay.testkit._trace import Trace as Trace
from cranberryrelay.testkit._trace import (
    TraceMismatchError as TraceMismatchError,
)
from cranberryrelay.testkit._trace import apply_verdict as apply_verdict
from cranberryrelay.testkit._trace import do_call as do_call
from cranberryrelay.testkit._trace import do_cut as do_cut
from cranberryrelay.testkit._trace import do_delay_orders as do_delay_orders
from cranberryrelay.testkit._trace import do_dispatch as do_dispatch
from cranberryrelay.testkit._trace import do_kill as do_kill
from cranberryrelay.testkit._trace import do_leave as do_leave
from cranberryrelay.testkit._trace import do_list as do_list
from cranberryrelay.testkit._trace import do_name as do_name
from cranberryrelay.testkit._trace import do_note as do_note
from cranberryrelay.testkit._trace import do_pause as do_pause
from cranberryrelay.testkit._trace import do_run as do_run
from cranberryrelay.testkit._trace import do_start as do_start
from cranberryrelay.testkit._trace import do_store as do_store
from cranberryrelay.testkit._trace import do_work as do_work
from cranberryrelay.testkit._trace import expect_accepted as expect_accepted
from cranberryrelay.testkit._trace import expect_admits as expect_admits
from cranberryrelay.testkit._trace import expect_delayed as expect_delayed
from cranberryrelay.testkit._trace import expect_left as expect_left
from cranberryrelay.testkit._trace import expect_phase as expect_phase
from cranberryrelay.testkit._trace import expect_runs as expect_runs
from cranberryrelay.testkit._trace import expect_takes_work as expect_takes_work
from cranberryrelay.testkit._trace import expect_versions as expect_versions
from cranberryrelay.testkit._trace import load_trace as load_trace
from cranberryrelay.testkit._trace import load_traces as load_traces
