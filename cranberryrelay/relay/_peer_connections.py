"""Opens the connections of an instance to its peers."""

from collections.abc import Iterator
from contextlib import contextmanager

from cranberryrelay.relay._peer_messages import PEER_MESSAGE_TYPES
from cranberryrelay.relay._peer_protocol import PeerProtocol
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._store_replica import StoreReplica
from cranberryrelay.timing import TimerService
from cranberryrelay.wire import (
    CurveKeys,
    make_codec,
    open_context,
    open_peer_network,
)


@contextmanager
def open_peers(
    state: RelayState, knowledge: StoreReplica, timers: TimerService
) -> Iterator[PeerProtocol]:
    """Open the sockets for messages between instances."""
    settings = state.settings
    with (
        open_context() as context,
        open_peer_network(
            settings.name,
            f'{settings.ip}:{settings.peer_port}',
            context,
            CurveKeys(),
            make_codec(list(PEER_MESSAGE_TYPES)),
        ) as network,
    ):
        yield PeerProtocol(state, knowledge, network, timers)
