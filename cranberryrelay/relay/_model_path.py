"""The filters of model work: read the prompt, generate, pass events on."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final

import httpx
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, Ran, ResultCode, fail
from cranberryrelay.relay._arrival import KvSource, UpstreamCall
from cranberryrelay.relay._attempts import EngineAttempts
from cranberryrelay.relay._backlog import Sent
from cranberryrelay.relay._catalogue import Upstream
from cranberryrelay.relay._context import (
    Admitted,
    BrokenStreamError,
    StreamReply,
    Tools,
    WholeReply,
)
from cranberryrelay.relay._events import Event, EventSplitter
from cranberryrelay.relay._placement import choose_decode
from cranberryrelay.relay._prompt_reading import (
    ENGINE_PRIORITIES,
    PromptAtHand,
    PromptReader,
)
from cranberryrelay.relay._request_log import RequestLog
from cranberryrelay.relay._upstream_call import (
    OpenAnswer,
    open_answer,
    read_whole,
)
from cranberryrelay.timing import limit_time

# A copy of a run is kept at a second engine up to this size; reading such a
# prompt again costs more than moving its memory, in tokens.
BACKUP_TOKENS_LIMIT: Final = 4000

# A stream of which a copy is kept goes on there after a pause of so many
# times what is still on time, but not sooner than this, in seconds.  Other
# streams wait, as an engine may have preempted them.
STALL_FACTOR: Final = 5.0
STALL_SECONDS: Final = 0.75

# After so many refusals the prompt is read again, as its memory may be gone.
REFUSALS_LIMIT: Final = 1

# After these failures the engine has not touched the prompt's memory.
_UNTOUCHED: Final = frozenset(
    (
        ResultCode.UPSTREAM_UNREACHABLE,
        ResultCode.UPSTREAM_REPLACED,
    )
)


class ModelRun(EngineAttempts):
    """One request's way through the engines."""

    def __init__(self, tools: Tools, admitted: Admitted) -> None:
        super().__init__(tools, admitted, RequestLog(admitted))
        self.reader = PromptReader(tools, admitted, self.log)
        self.runs = 0
        self.backup: Upstream | None = None
        self.last_number: int | None = admitted.arrival.last_event

    async def run(self) -> Result[WholeReply | StreamReply, Failure]:
        """Return an answer whose headers have arrived, or why there is none."""
        opened = await self.open_stream()
        if isinstance(opened, Err):
            return opened
        answer = opened.unwrap()
        headers = answer.marks.headers
        if answer.status == HTTPStatus.OK:
            events = self.pass_events(answer)
            return Ok(StreamReply(answer.status, headers, events))
        body = await read_whole(answer, self.left())
        return body.map(lambda whole: WholeReply(answer.status, headers, whole))

    async def open_stream(self) -> Result[OpenAnswer, Failure]:
        """Read the prompt at one engine and begin to generate at another."""
        failure = fail(ResultCode.NO_ENGINE, 'no engine takes work')
        while self.left() > 0:
            prompt = await self.reader.read()
            if isinstance(prompt, Err):
                return prompt
            opened = await self.generate(prompt.unwrap())
            if isinstance(opened, Ok):
                return opened
            failure = opened.unwrap_err()
            if not self.may_repeat(failure):
                break
        return Err(failure)

    async def generate(
        self, prompt: PromptAtHand
    ) -> Result[OpenAnswer, Failure]:
        """Begin to generate at the first engine that can be reached."""
        failure = fail(ResultCode.NO_ENGINE, 'no engine generates')
        refusals = 0
        while True:
            engine = self.choose(prompt.domain)
            if engine is None:
                return Err(failure)
            opened = await self.begin(engine, prompt)
            if isinstance(opened, Ok):
                return opened
            failure = opened.unwrap_err()
            if failure.code is ResultCode.UPSTREAM_REFUSED:
                refusals += 1
                if refusals <= REFUSALS_LIMIT and self.take_repeat():
                    continue
            if failure.code not in _UNTOUCHED:
                return opened

    def choose(self, near: str) -> Upstream | None:
        """Choose an engine that this request has not failed at."""
        body_bytes = len(self.admitted.arrival.body)
        return choose_decode(
            self.tools.state.surroundings(body_bytes),
            self.admitted.service,
            near,
            self.excluded,
            self.tools.timers.now(),
        )

    async def begin(
        self, engine: Upstream, prompt: PromptAtHand
    ) -> Result[OpenAnswer, Failure]:
        """Begin to generate from a prompt that was read."""
        self.backup = self.choose_backup(engine)
        call = self.make_call(engine)._replace(
            source=prompt.source,
            backup=self.backup.address if self.backup else None,
        )
        opened = await self.send(engine, call)
        ran = opened.is_ok() or opened.unwrap_err().ran is not Ran.NOT_RUN
        self.runs += ran
        return opened

    async def send(
        self, engine: Upstream, call: UpstreamCall
    ) -> Result[OpenAnswer, Failure]:
        """Send a call that generates; learn from how that went."""
        state = self.tools.state
        self.log.note_generator(engine)
        sent = Sent(0, self.tools.timers.now())
        state.fleet.note_sent(engine.name, sent.sent_at)
        state.backlog.add(engine.name, sent)
        self.admitted.stack.callback(state.backlog.remove, engine.name, sent)
        opened = await open_answer(
            self.tools.client, self.tools.dialect, call, self.admitted.stack
        )
        if isinstance(opened, Err):
            self.note_failure(engine, opened.unwrap_err())
        else:
            state.note_answer(engine.name, self.tools.timers.now())
        return opened

    def choose_backup(self, engine: Upstream) -> Upstream | None:
        """Choose an engine that keeps a copy of a run that can't run again."""
        route = self.admitted.route
        if route.resumable:
            return None
        if self.reader.work.prompt_tokens > BACKUP_TOKENS_LIMIT:
            return None
        excluded = self.excluded
        self.excluded |= {engine.name}
        backup = self.choose(engine.domain)
        self.excluded = excluded
        return backup

    def make_call(self, engine: Upstream) -> UpstreamCall:
        """Make a call with the time that is left."""
        resume_after = self.last_number
        if resume_after == self.admitted.arrival.last_event:
            resume_after = None
        return UpstreamCall(
            arrival=self.admitted.arrival,
            upstream=engine.name,
            address=engine.address,
            left_seconds=self.left(),
            engine_priority=ENGINE_PRIORITIES[self.admitted.route.rank],
            resume_after=resume_after,
        )

    def may_repeat(self, failure: Failure) -> bool:
        """Tell if the request may be sent to another engine."""
        route = self.admitted.route
        if failure.ran is not Ran.NOT_RUN and not route.resumable:
            return False
        if self.runs >= route.attempts_limit:
            return False
        return self.take_repeat()

    async def pass_events(self, answer: OpenAnswer) -> AsyncIterator[bytes]:
        """Yield whole events; goes on at another engine where allowed."""
        while True:
            broken = fail(ResultCode.STREAM_BROKEN, 'it ended within an event')
            async for step in self.read_events(answer):
                if isinstance(step, Failure):
                    broken = step
                    break
                yield step.content
            else:
                self.log.note_end(self.tools.timers.now())
                return
            answer = await self.resume(answer, broken)

    async def resume(self, answer: OpenAnswer, broken: Failure) -> OpenAnswer:
        """Open the rest of a broken stream at another engine."""
        await answer.close()
        opened = await self.recover(broken)
        if opened.is_err() and self.may_repeat(broken):
            opened = await self.open_stream()
        found = opened.ok()
        if found is not None and found.status == HTTPStatus.OK:
            return found
        self.log.write(
            'stream broken',
            code=broken.code.value,
            detail=broken.detail,
            last_event=self.last_number,
        )
        raise BrokenStreamError(broken.detail)

    async def recover(self, failure: Failure) -> Result[OpenAnswer, Failure]:
        """Go on from the copy of the run, if one was kept.

        That is the same run, so that a request may go on that may not run
        again.  Before its first event there may be no copy yet, and what goes
        on would be a second run.
        """
        backup = self.backup
        if backup is None or not self.log.events:
            return Err(failure)
        self.backup = None
        if not self.take_repeat():
            return Err(failure)
        source = KvSource(backup.address, self.admitted.arrival.request_id)
        call = self.make_call(backup)._replace(
            source=source, resume_after=self.last_number
        )
        opened = await self.send(backup, call)
        self.log.write('copy used', ok=opened.is_ok(), detail=failure.detail)
        return opened if opened.is_ok() else Err(failure)

    async def read_events(
        self, answer: OpenAnswer
    ) -> AsyncIterator[Event | Failure]:
        """Yield events, and a failure last if the stream broke off."""
        splitter = EventSplitter()
        pieces = answer.pieces()
        while True:
            piece = await self.next_piece(pieces)
            if isinstance(piece, Failure):
                yield piece
                return
            if piece is None:
                break
            for event in splitter.feed(piece):
                self.note_event(event)
                yield event
        if splitter.rest:
            yield fail(ResultCode.STREAM_BROKEN, 'it ended within an event')

    def note_event(self, event: Event) -> None:
        """Remember how far the stream has come."""
        first = self.log.note_event(self.tools.timers.now())
        if first is not None:
            rank = self.admitted.route.rank
            self.tools.state.telemetry.note_first_event(rank, first)
        if event.number is not None:
            self.last_number = event.number

    async def next_piece(
        self, pieces: AsyncIterator[bytes]
    ) -> bytes | Failure | None:
        """Return the next bytes, None at the end, or a failure."""
        with limit_time(min(self.left(), self.patience())):
            try:
                return await anext(pieces, None)
            except httpx.HTTPError as error:
                return fail(ResultCode.STREAM_BROKEN, repr(error))
        if self.left() > 0:
            return fail(ResultCode.STREAM_BROKEN, 'it stalled')
        return fail(ResultCode.DEADLINE_PASSED, 'the stream was not complete')

    def patience(self) -> float:
        """Return how long a pause may last before the stream goes elsewhere."""
        if self.backup is None or not self.log.events:
            return self.left()
        pause = self.admitted.route.gap_seconds * STALL_FACTOR
        return max(pause, STALL_SECONDS)
