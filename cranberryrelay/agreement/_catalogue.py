"""Registers the types of the messages between the system's processes."""

from typing import Any, Final

from cranberryrelay.agreement._account import RangesSaved, RecordRanges
from cranberryrelay.agreement._cell_messages import (
    DemandReport,
    PlanAck,
    PlanAlive,
    PlanLoads,
    PlanRedirect,
    PlanSubscribe,
    PlanView,
)
from cranberryrelay.agreement._ledger import (
    Reserve,
    Reserved,
    Settle,
    Settled,
)
from cranberryrelay.agreement._spread_messages import (
    AskVoice,
    ChangesPush,
    EvidencePush,
    MembersPush,
    SnapshotPush,
    Subscribe,
    VoiceWord,
)

MESSAGE_TYPES: Final[tuple[type[Any], ...]] = (
    AskVoice,
    ChangesPush,
    EvidencePush,
    MembersPush,
    DemandReport,
    PlanAck,
    PlanAlive,
    PlanLoads,
    PlanRedirect,
    PlanSubscribe,
    PlanView,
    RangesSaved,
    RecordRanges,
    Reserve,
    Reserved,
    Settle,
    Settled,
    SnapshotPush,
    Subscribe,
    VoiceWord,
)
