"""Instances of two builds in one fleet.

Guards against a change of a message that the build which runs beside this one
can't read, and against losing more than what only one of them knows.
"""

import json
from pathlib import Path
from typing import Any
from unittest import TestCase

import msgspec
import trio
from nose2.tools import params
from trio.testing import MockClock

from cranberryrelay.relay._backlog import InFlightCall
from cranberryrelay.relay._crash_suspects import Clearance
from cranberryrelay.relay._peer_messages import PEER_MESSAGE_TYPES
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay.tests.landed_forms import (
    describe_fields,
    list_records,
)
from cranberryrelay.relay.tests.test_group_talk import (
    FakeNetwork,
    FakePeerNetwork,
    Fleet,
)
from cranberryrelay.timing import open_timer_service
from cranberryrelay.wire import Codec, make_codec

LANDED = Path(__file__).parent / 'landed'

# Builds that reject a record with more fields than they know.
STRICT_BUILDS = frozenset(('52c53e4',))
BUILDS = tuple(sorted(path.stem for path in LANDED.glob('*.json')))
CODEC: Codec[Any] = make_codec(list(PEER_MESSAGE_TYPES))
IMMUTABLE = (str, int, float, bool, tuple, type(None))

DOMAINS = ('a', 'b', 'c')
DISCOVERY_SECONDS = 6.0
LEARN_SECONDS = 1.0
DEADLY = 'deadly'
SENT = InFlightCall(0.3, 0)


def load_forms(build: str) -> Any:
    """Load the frames and records of a build that has landed."""
    return json.loads((LANDED / f'{build}.json').read_text())


class LandedFormTest(TestCase):
    """Messages keep the form that builds which have landed know."""

    # Guards against dropping what a build that has landed sends.
    @params(*BUILDS)
    def test_frames_of_landed_build_are_read(self, build: str) -> None:
        for kind, body in load_forms(build)['frames'].items():
            frames = [kind.encode(), bytes.fromhex(body)]
            decoded = CODEC.decode(frames).unwrap()
            self.assertEqual(decoded.differences, '', kind)

    # Guards against sending what a build that has landed drops or misreads.
    @params(*BUILDS)
    def test_records_keep_their_landed_form(self, build: str) -> None:
        records = list_records(tuple(PEER_MESSAGE_TYPES))
        for name, landed in load_forms(build)['records'].items():
            fields = describe_fields(records[name])
            self.assertEqual(fields[: len(landed)], landed, name)
            added = [field for field, _ in fields[len(landed) :]]
            if build in STRICT_BUILDS:
                self.assertEqual(added, [], name)
            for field in added:
                default = records[name]._field_defaults[field]
                self.assertIsInstance(default, IMMUTABLE, f'{name}.{field}')


class TwoBuildNetwork(FakeNetwork):
    """Carries encoded messages; those of some instances have more fields."""

    def __init__(self, newer: frozenset[str]) -> None:
        super().__init__()
        self.newer = newer
        self.read: set[str] = set()

    def connect(self, name: str) -> 'TwoBuildPeerNetwork':
        """Return the peer network of one instance."""
        plain = super().connect(name)
        return TwoBuildPeerNetwork(self, plain.inbox)


class TwoBuildPeerNetwork(FakePeerNetwork):
    """Peer network of one instance."""

    network: TwoBuildNetwork

    def send(self, peer: str, address: str, sender: str, message: Any) -> bool:
        """Deliver a message as the receiver decodes it."""
        frames = CODEC.encode(message)
        if sender in self.network.newer:
            frames[1] = add_fields(frames[1], type(message))
        decoded = CODEC.decode(frames).unwrap()
        if decoded.differences:
            self.network.read.add(type(message).__name__)
        return super().send(peer, address, sender, decoded.message)


def add_fields(body: bytes, record: Any) -> bytes:
    """Return a message as a newer build sends it, with a field more."""
    content = msgspec.msgpack.decode(body)
    if 'update' in record._fields:
        content[record._fields.index('update')].append(['new'])
    return msgspec.msgpack.encode([*content, {'new': 1}])


class TwoBuildFleetTest(TestCase):
    """The builds understand each other in a full mesh and with hubs."""

    # Guards against a fleet that falls into two while its instances are
    # replaced one after the other: loads, liveness, news on requests that
    # crash upstreams, and upstreams that leave.
    @params(7, 21)
    def test_builds_understand_each_other(self, instances: int) -> None:
        names = [
            f'front-{DOMAINS[idx % len(DOMAINS)]}-{idx:02d}'
            for idx in range(instances)
        ]
        network = TwoBuildNetwork(frozenset(names[::2]))
        clock = MockClock(autojump_threshold=0)
        known = trio.run(run_fleet, network, names, clock=clock)
        self.assertEqual(known, dict.fromkeys(names, (instances, 2, 2, 2)))
        for kind in ('LoadBeat', 'SuspectNews', 'DepartureNews'):
            self.assertIn(kind, network.read)


def count_known(protocol: PeerProtocol) -> tuple[int, int, int, int]:
    """Return how many instances, loads, suspects and departures are known."""
    state = protocol.state
    now = protocol.timers.now()
    loads = sum(
        state.backlog.running_requests(engine, now) for engine in ('e0', 'e1')
    )
    suspects = sum(
        state.crash_suspects.judge((f'{DEADLY}{idx}',), now)
        is Clearance.REFUSED
        for idx in (0, 1)
    )
    departures = sum(
        state.fleet.departures.is_leaving(f'e{idx}/1') for idx in (0, 1)
    )
    return state.live_instances, loads, suspects, departures


async def run_fleet(
    network: TwoBuildNetwork, names: list[str]
) -> dict[str, tuple[int, int, int, int]]:
    """Let an instance of each build learn something; return what all know."""
    async with open_timer_service() as timers, trio.open_nursery() as nursery:
        fleet = Fleet(network, nursery)
        for name in names:
            await fleet.start(name, timers)
        await trio.sleep(DISCOVERY_SECONDS)
        for idx, name in enumerate(names[:2]):
            learn(fleet.protocols[name], idx)
        await trio.sleep(LEARN_SECONDS)
        known = {
            name: count_known(protocol)
            for name, protocol in fleet.protocols.items()
        }
        nursery.cancel_scope.cancel()
    return known


def learn(protocol: PeerProtocol, idx: int) -> None:
    """Let an instance place a request, see crashes, and a departure."""
    state = protocol.state
    now = protocol.timers.now()
    state.backlog.add(f'e{idx}', SENT)
    for engine in ('c1', 'c2'):
        suspects = state.crash_suspects
        suspects.record_interrupted(engine, (f'{DEADLY}{idx}',), now)
        suspects.record_gone(engine)
    state.fleet.departures.record(f'e{idx}/1', now)
