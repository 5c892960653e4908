"""Has the prompt of a request read by an engine; tries others if one fails."""

from http import HTTPStatus
from types import MappingProxyType
from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, Ran, ResultCode, fail
from cranberryrelay.relay._arrival import KvSource, ModelWork, UpstreamCall
from cranberryrelay.relay._attempts import EngineAttempts
from cranberryrelay.relay._backlog import Sent
from cranberryrelay.relay._catalogue import Rank, Upstream
from cranberryrelay.relay._context import Admitted, Tools
from cranberryrelay.relay._placement import (
    LONG_PROMPT_SECONDS,
    Candidate,
    choose_prefill,
    decode_taken_share,
    shortest_wait,
)
from cranberryrelay.relay._prefix_index import CachedPart
from cranberryrelay.relay._request_log import RequestLog
from cranberryrelay.relay._upstream_call import open_answer, read_whole
from cranberryrelay.relay._waiting_room import (
    HELD_SHARE,
    LOOK_SECONDS,
    Outlook,
    has_room,
)

# Priorities that engines are given for the ranks, 0 to 9.
ENGINE_PRIORITIES: Final = MappingProxyType(
    {
        Rank.URGENT: 1,
        Rank.NORMAL: 3,
        Rank.BACKGROUND: 6,
    }
)

# An engine that takes this much longer than predicted to read a prompt is
# given up, in seconds.
GRACE_SECONDS: Final = 1.5
GRACE_FACTOR: Final = 3.0

# A prompt reaches at most so many engines for one request.
ARRIVALS_LIMIT: Final = 3
_REFUSALS: Final = frozenset(
    (
        ResultCode.NO_ENGINE,
        ResultCode.UPSTREAM_REFUSED,
    )
)


class PromptAtHand(NamedTuple):
    """A prompt that an engine has read."""

    # Where its memory is.
    source: KvSource

    # Failure domain of the engine.
    domain: str


class PromptReader(EngineAttempts):
    """Reads the prompt of one request."""

    def __init__(
        self, tools: Tools, admitted: Admitted, log: RequestLog
    ) -> None:
        super().__init__(tools, admitted, log)
        self.arrivals = 0

    @property
    def work(self) -> ModelWork:
        """Return what is asked of the model."""
        work = self.admitted.arrival.work
        return work or ModelWork('', 1, 1, ())

    async def read(self) -> Result[PromptAtHand, Failure]:
        """Return where the prompt was read; nothing has run so far.

        Errors: ``NO_ENGINE``, ``UPSTREAM_REFUSED``, ``UPSTREAM_UNREACHABLE``.
        """
        failure = fail(ResultCode.NO_ENGINE, 'no engine reads prompts')
        while self.left() > 0:
            chosen = await self.wait_for_room()
            if chosen is None or not self.may_send():
                break
            found = await self.read_at(chosen)
            failure = found.err() or failure
            unreachable = failure.code is ResultCode.UPSTREAM_UNREACHABLE
            self.arrivals += not (found.is_err() and unreachable)
            if isinstance(found, Ok):
                return found
            self.note_failure(chosen.engine, failure)
        return Err(_as_not_run(failure))

    async def wait_for_room(self) -> Candidate | None:
        """Choose an engine, once there is room for a request of the rank."""
        chosen = self.choose()
        rank = self.admitted.route.rank
        outlook = self.look_at(chosen)
        if chosen is None or has_room(rank, outlook):
            return chosen
        room = self.tools.state.waiting_room
        request_id = self.admitted.arrival.request_id
        held_until = self.tools.timers.now() + self.left() * HELD_SHARE
        room.enter(request_id, rank)
        try:
            while self.tools.timers.now() < held_until:
                await self.tools.timers.pause(LOOK_SECONDS)
                chosen = self.choose()
                outlook = self.look_at(chosen)
                if room.may_go(request_id, rank, outlook):
                    break
            self.log.note_held(outlook, len(room.held[rank]))
        finally:
            room.leave(request_id, rank)
        return chosen

    def choose(self) -> Candidate | None:
        """Choose the engine that would read the prompt now."""
        body_bytes = len(self.admitted.arrival.body)
        return choose_prefill(
            self.tools.state.surroundings(body_bytes),
            self.admitted.service,
            self.work,
            self.excluded,
            self.tools.timers.now(),
        )

    def look_at(self, chosen: Candidate | None) -> Outlook:
        """Return what the request would find."""
        if chosen is None:
            return Outlook(float('inf'), float('inf'), 1)
        around = self.tools.state.surroundings()
        service = self.admitted.service
        now = self.tools.timers.now()
        return Outlook(
            ahead_seconds=chosen.plain_seconds - chosen.read_seconds,
            urgent_seconds=shortest_wait(
                around, service, chosen.engine.name, now
            ),
            taken_share=decode_taken_share(around, service, now),
        )

    def may_send(self) -> bool:
        """Tell if the prompt may be sent; repeats draw on the budget.

        What reached no engine is no send.
        """
        if not self.arrivals:
            return True
        return self.arrivals < ARRIVALS_LIMIT and self.take_repeat()

    async def read_at(self, chosen: Candidate) -> Result[PromptAtHand, Failure]:
        """Have the prompt read at one engine; learn from how that went."""
        engine = chosen.engine
        state = self.tools.state
        self.note_parts(engine)
        sent = Sent(chosen.read_seconds, self.tools.timers.now())
        self.log.note_reader(chosen, sent.sent_at)
        state.fleet.note_sent(engine.name, sent.sent_at)
        state.backlog.add(engine.name, sent)
        if chosen.read_seconds > LONG_PROMPT_SECONDS:
            state.ask_for_beat()
        try:
            body = await self.exchange(chosen)
        finally:
            state.backlog.remove(engine.name, sent)
        if isinstance(body, Err):
            return body
        now = self.tools.timers.now()
        self.log.note_read(now)
        state.note_answer(engine.name, now)
        state.fleet.note_speed(
            engine.name, chosen.plain_seconds, now - sent.sent_at, now
        )
        result = self.tools.dialect.decode_prefill(body.unwrap())
        return result.map(
            lambda read: PromptAtHand(
                KvSource(engine.address, read.ticket), engine.domain
            )
        )

    async def exchange(self, chosen: Candidate) -> Result[bytes, Failure]:
        """Send the call that has the prompt read; return its answer's body."""
        engine = chosen.engine
        patience = chosen.wait_seconds * GRACE_FACTOR + GRACE_SECONDS
        call = UpstreamCall(
            arrival=self.admitted.arrival,
            upstream=engine.name,
            address=engine.address,
            left_seconds=min(self.left(), patience),
            engine_priority=ENGINE_PRIORITIES[self.admitted.route.rank],
            prefill_only=True,
        )
        opened = await open_answer(
            self.tools.client, self.tools.dialect, call, self.admitted.stack
        )
        if isinstance(opened, Err):
            return opened
        answer = opened.unwrap()
        if answer.status != HTTPStatus.OK:
            detail = f'{engine.name}: status {answer.status} to a prefill'
            return Err(fail(ResultCode.UPSTREAM_FAILED, detail))
        return await read_whole(answer, self.left())

    def note_parts(self, engine: Upstream) -> None:
        """Note what an engine is going to keep; peers are told."""
        state = self.tools.state
        traits = state.engine_traits(self.admitted.service)
        parts = self.work.shared_parts()
        if traits is None:
            return
        state.index.note(engine.name, parts, traits.kv_capacity_tokens)
        state.news.parts.extend(
            CachedPart(engine.name, part.digest, part.tokens) for part in parts
        )


def _as_not_run(failure: Failure) -> Failure:
    if failure.code in _REFUSALS:
        return failure
    return fail(ResultCode.UPSTREAM_UNREACHABLE, failure.detail, Ran.NOT_RUN)
