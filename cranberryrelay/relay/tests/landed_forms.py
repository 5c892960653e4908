"""Records the forms of the messages between instances, as a build sends them.

Run with the build's package first on the path; the output is the file of the
build in ``landed``, named after its commit.
"""

import json
import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, get_args, get_type_hints

from cranberryrelay.relay import Role
from cranberryrelay.relay._backlog import EngineLoad
from cranberryrelay.relay._crash_suspects import CrashReport, SuspectNews
from cranberryrelay.relay._forward_targets import ForwardTarget
from cranberryrelay.relay._membership import InstanceLocation
from cranberryrelay.relay._peer_messages import (
    PEER_MESSAGE_TYPES,
    EngineChanging,
    Farewell,
    GroupBeat,
    Hello,
    LoadBeat,
    NoteShare,
    UpstreamShare,
)
from cranberryrelay.relay._peer_update import PeerUpdate
from cranberryrelay.relay._prefix_index import CachedSegment
from cranberryrelay.relay._rate_limits import LimitNews
from cranberryrelay.relay._records import StorePosition
from cranberryrelay.relay._stream_versions import (
    AnnouncedStreams,
    StreamSummary,
)
from cranberryrelay.wire import make_codec

POSITION = StorePosition(2, 341)
LOADS = {'i-1': EngineLoad(120, 30, 4, 90)}
UPDATE = PeerUpdate(
    [CachedSegment('i-1', '5c1e07a2', 800)],
    ['i-2'],
    ['i-3', 'i-3'],
    ['i-4'],
    [AnnouncedStreams('s', 'v2', [17, 2**63 + 5])],
)
ENTRY = {'service': 's', 'address': '10.1.64.9:8080', 'zone': 'a', 'born': 17}
LOCATION = InstanceLocation('10.1.0.38:7380', 'a')

# One message of each kind that the first recorded build knew, all fields set.
MESSAGES: tuple[Any, ...] = (
    Hello(LOCATION, {'b-1': InstanceLocation('10.2.0.40:7380', 'b')}, True),
    LoadBeat(LOADS, UPDATE, 18, POSITION, True, '10.1.0.38:7395'),
    GroupBeat(
        LOADS,
        UPDATE,
        18,
        POSITION,
        7,
        True,
        False,
        [ForwardTarget('10.1.0.38:7395', 'a')],
    ),
    NoteShare({'version': 18, 'routes': [], 'services': []}),
    UpstreamShare(
        [('i-1', POSITION, ENTRY)], ['i-2'], StorePosition(2, 300), POSITION
    ),
    EngineChanging('i-1', Role.PREFILL),
    Farewell('10.1.0.38:7380'),
    SuspectNews(
        [CrashReport('41a9', 'i-1/17', 0.5, 0.75)], ['a'], ['b'], ['i-9/3']
    ),
    LimitNews({'i-1': 17.5, 'i-2': None}),
    StreamSummary([AnnouncedStreams('s', 'v1', [3])], {'s': ['v1', 'v2']}),
)

# Fields of messages of later kinds, which earlier builds do not have.
LATER_MESSAGES: Mapping[str, tuple[Any, ...]] = MappingProxyType(
    {
        'DepartureNews': (['i-1/17'],),
        'StartNotice': (18,),
        'StreamQuestion': (81.25, '10.1.0.38:7380', 2**63 + 5),
        'StreamAnswer': (
            81.25,
            [AnnouncedStreams('s', 'v2', [2**63 + 5])],
            {'s': {'v1': 17.5, 'v2': 0}},
            True,
        ),
        'LostMembers': (2,),
        'LeavingStreams': ([AnnouncedStreams('s', 'v2', [17])],),
        'UpstreamSnapshot': (
            [('i-1', POSITION, ENTRY)],
            ['i-1'],
            StorePosition(2, 300),
            POSITION,
        ),
    }
)


def list_records(types: tuple[Any, ...]) -> dict[str, Any]:
    """Return the record types that travel in messages, by name."""
    records: dict[str, Any] = {}
    waiting = list(types)
    while waiting:
        found = waiting.pop()
        if hasattr(found, '_fields') and found.__name__ not in records:
            records[found.__name__] = found
            waiting.extend(get_type_hints(found).values())
        waiting.extend(get_args(found))
    return records


def describe_fields(record: Any) -> list[list[str]]:
    """Return the names and types of a record's fields, in order."""
    return [[name, str(hint)] for name, hint in get_type_hints(record).items()]


def describe_forms() -> dict[str, Any]:
    """Return the frames and the records of this build."""
    codec = make_codec(list(PEER_MESSAGE_TYPES))
    later = tuple(
        codec.types[kind](*fields)
        for kind, fields in LATER_MESSAGES.items()
        if kind in codec.types
    )
    records = list_records(tuple(PEER_MESSAGE_TYPES))
    return {
        'frames': {
            type(message).__name__: codec.encode(message)[1].hex()
            for message in (*MESSAGES, *later)
        },
        'records': {
            name: describe_fields(record)
            for name, record in sorted(records.items())
        },
    }


if __name__ == '__main__':
    json.dump(describe_forms(), sys.stdout, indent=1)
