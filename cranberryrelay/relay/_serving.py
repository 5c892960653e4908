"""Puts the parts of an instance together and serves until it is stopped."""

import logging
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

import trio

from cranberryrelay.relay._account_writer import AccountWriter
from cranberryrelay.relay._arrival import Dialect
from cranberryrelay.relay._context import Tools
from cranberryrelay.relay._duties import Duties
from cranberryrelay.relay._followers import KindFollower, KindSink
from cranberryrelay.relay._front_app import make_front_app, make_ready_app
from cranberryrelay.relay._knowledge import Decoders, Knowledge
from cranberryrelay.relay._note_archive import NoteArchive
from cranberryrelay.relay._order_authority import Authority
from cranberryrelay.relay._orders import EngineControl
from cranberryrelay.relay._peer_messages import PEER_MESSAGE_TYPES
from cranberryrelay.relay._peers import PeerTalk
from cranberryrelay.relay._records import RecordStore
from cranberryrelay.relay._registration import register
from cranberryrelay.relay._role_keeper import RoleKeeper
from cranberryrelay.relay._settings import InstanceSettings
from cranberryrelay.relay._state import RelayState
from cranberryrelay.relay._upstream_call import make_upstream_client
from cranberryrelay.serving import HttpPlace, serve_http
from cranberryrelay.timing import TimerService, open_timer_service
from cranberryrelay.wire import (
    CurveKeys,
    make_codec,
    open_context,
    open_peer_network,
)

# The balancer asks once a second and needs two misses.
TURN_AWAY_SECONDS: Final = 2.5

# Left of the grace after SIGTERM for the last bytes and the end, in seconds.
END_MARGIN_SECONDS: Final = 1.2
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class ServingParts(NamedTuple):
    """What an instance is put together from."""

    # Settings.
    settings: InstanceSettings

    # The platform's store.
    store: RecordStore

    # Reports of engines and orders to them.
    control: EngineControl

    # Translation of headers.
    dialect: Dialect

    # Translation of the store's values.
    decoders: Decoders

    # Kind of the records that hold release notes.
    note_kind: str

    # Kind of the records that name upstreams.
    upstream_kind: str

    # Differs at each start of a process.
    incarnation: str

    # Settings that were read again, one after another.
    new_settings: trio.MemoryReceiveChannel[InstanceSettings]


async def serve_relay(parts: ServingParts, stop: trio.Event) -> None:
    """Serve callers until ``stop`` is set, then finish what is running."""
    state = RelayState(parts.settings)
    knowledge = Knowledge(state, parts.decoders)
    async with (
        open_timer_service() as timers,
        make_upstream_client() as client,
        trio.open_nursery() as nursery,
    ):
        tools = Tools(state, client, parts.dialect, timers)
        account = AccountWriter(state, parts.store, timers, parts.incarnation)
        with _open_talk(state, knowledge, timers) as talk:
            duties = Duties(talk)
            for follower in _make_followers(parts, duties):
                nursery.start_soon(follower.follow)
            nursery.start_soon(talk.receive)
            nursery.start_soon(talk.beat)
            nursery.start_soon(talk.beat_on_request)
            nursery.start_soon(account.run)
            nursery.start_soon(_take_settings, parts, state)
            nursery.start_soon(_make_keeper(parts, duties).keep)
            nursery.start_soon(NoteArchive(parts.store, duties, timers).keep)
            nursery.start_soon(register, parts.store, talk)
            await _serve_callers(tools, talk, stop)
            await account.write()
            nursery.cancel_scope.cancel()


async def _take_settings(parts: ServingParts, state: RelayState) -> None:
    async for settings in parts.new_settings:
        state.take_settings(settings)


@contextmanager
def _open_talk(
    state: RelayState, knowledge: Knowledge, timers: TimerService
) -> Iterator[PeerTalk]:
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
        yield PeerTalk(state, knowledge, network, timers)


def _make_keeper(parts: ServingParts, duties: Duties) -> RoleKeeper:
    talk = duties.talk
    authority = Authority(
        parts.store,
        talk.timers,
        parts.settings.name,
        parts.settings.bounds.lease_seconds,
    )
    return RoleKeeper(talk.state, duties, authority, parts.control, talk.timers)


def _make_followers(parts: ServingParts, duties: Duties) -> list[KindFollower]:
    talk = duties.talk
    knowledge = talk.knowledge
    rng = random.Random(parts.incarnation)
    rows = (
        (parts.note_kind, knowledge.list_notes, knowledge.change_notes),
        (
            parts.upstream_kind,
            knowledge.list_upstreams,
            knowledge.change_upstreams,
        ),
    )
    sinks = [
        KindSink(
            *row,
            talk.state.note_contact,
            duties.needs_watch,
            duties.gather_seconds,
        )
        for row in rows
    ]
    return [KindFollower(parts.store, sink, talk.timers, rng) for sink in sinks]


async def _serve_callers(
    tools: Tools, talk: PeerTalk, stop: trio.Event
) -> None:
    settings = tools.state.settings
    grace = settings.bounds.grace_seconds
    last_seconds = grace - TURN_AWAY_SECONDS - END_MARGIN_SECONDS
    draining = DrainTrigger(tools, talk, stop)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serve_http,
            make_ready_app(tools),
            HttpPlace(
                settings.ready_address,
                last_seconds,
                tools.state.idle_seconds,
            ),
            trio.sleep_forever,
        )
        await serve_http(
            make_front_app(tools),
            HttpPlace(
                settings.front_address,
                last_seconds,
                tools.state.idle_seconds,
            ),
            draining.wait,
        )
        nursery.cancel_scope.cancel()


class DrainTrigger:
    """Has the balancer turn away first, then stops taking requests.

    The HTTP server then closes idle connections and lets running requests
    end for the rest of the grace.
    """

    def __init__(self, tools: Tools, talk: PeerTalk, stop: trio.Event) -> None:
        self.tools = tools
        self.talk = talk
        self.stop = stop

    async def wait(self) -> None:
        """Return when the server is to stop taking requests."""
        await self.stop.wait()
        state = self.tools.state
        state.draining = True
        self.talk.say_farewell()
        _LOG.info('draining', extra={'active': len(state.active)})
        await self.tools.timers.pause(TURN_AWAY_SECONDS)
        now = self.tools.timers.now()
        left = [
            (one.path, round(now - one.started_at, 3))
            for one in state.active.values()
        ]
        _LOG.info('takes no more', extra={'left': left})
