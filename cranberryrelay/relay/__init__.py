"""The relay: the data path of one instance in front of a fleet of engines.

The package is independent of the platform's formats; adapters for them are
passed in as ``Dialect``, ``Decoders``, ``RecordStore`` and ``EngineControl``.
"""

from cranberryrelay.relay._account_reader import (
    AccountLookup as AccountLookup,
)
from cranberryrelay.relay._account_reader import (
    explain_request as explain_request,
)
from cranberryrelay.relay._account_writer import ACCOUNT_KIND as ACCOUNT_KIND
from cranberryrelay.relay._catalogue import ClientLimits as ClientLimits
from cranberryrelay.relay._catalogue import EngineTraits as EngineTraits
from cranberryrelay.relay._catalogue import Rank as Rank
from cranberryrelay.relay._catalogue import RequestKind as RequestKind
from cranberryrelay.relay._catalogue import Role as Role
from cranberryrelay.relay._catalogue import Route as Route
from cranberryrelay.relay._catalogue import RoutingTable as RoutingTable
from cranberryrelay.relay._catalogue import Service as Service
from cranberryrelay.relay._catalogue import ServiceShare as ServiceShare
from cranberryrelay.relay._catalogue import Upstream as Upstream
from cranberryrelay.relay._catalogue import (
    make_routing_table as make_routing_table,
)
from cranberryrelay.relay._note_archive import (
    read_archived_note as read_archived_note,
)
from cranberryrelay.relay._order_lease import (
    ORDER_TIMEOUT_SECONDS as ORDER_TIMEOUT_SECONDS,
)
from cranberryrelay.relay._orders import EngineControl as EngineControl
from cranberryrelay.relay._orders import EngineReport as EngineReport
from cranberryrelay.relay._orders import OrderOutcome as OrderOutcome
from cranberryrelay.relay._orders import RoleOrder as RoleOrder
from cranberryrelay.relay._records import KindListing as KindListing
from cranberryrelay.relay._records import KindRecord as KindRecord
from cranberryrelay.relay._records import RecordChange as RecordChange
from cranberryrelay.relay._records import RecordStore as RecordStore
from cranberryrelay.relay._records import StorePosition as StorePosition
from cranberryrelay.relay._records import UnreadableValue as UnreadableValue
from cranberryrelay.relay._requests import Dialect as Dialect
from cranberryrelay.relay._requests import IncomingRequest as IncomingRequest
from cranberryrelay.relay._requests import KvSource as KvSource
from cranberryrelay.relay._requests import MetadataObserver as MetadataObserver
from cranberryrelay.relay._requests import ModelRequest as ModelRequest
from cranberryrelay.relay._requests import PrefillResult as PrefillResult
from cranberryrelay.relay._requests import PromptSegment as PromptSegment
from cranberryrelay.relay._requests import RawHeaders as RawHeaders
from cranberryrelay.relay._requests import ResponseMetadata as ResponseMetadata
from cranberryrelay.relay._requests import UpstreamCall as UpstreamCall
from cranberryrelay.relay._serving import RelayDependencies as RelayDependencies
from cranberryrelay.relay._serving import serve_relay as serve_relay
from cranberryrelay.relay._settings import (
    InstanceSettings as InstanceSettings,
)
from cranberryrelay.relay._settings import PlatformBounds as PlatformBounds
from cranberryrelay.relay._store_replica import Decoders as Decoders
