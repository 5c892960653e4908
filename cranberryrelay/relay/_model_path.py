"""Runs model requests: prefill, generation, and relaying of the events."""

from collections.abc import AsyncIterator
from functools import partial
from http import HTTPStatus
from typing import Final

import httpx
import trio
from result import Err, Ok, Result

from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail
from cranberryrelay.relay._attempts import EngineAttempts
from cranberryrelay.relay._backlog import InFlightCall
from cranberryrelay.relay._catalogue import Role, Route, Upstream
from cranberryrelay.relay._clearance import ClearanceGate
from cranberryrelay.relay._context import (
    AdmittedRequest,
    BrokenStreamError,
    BufferedReply,
    RelayContext,
    StreamReply,
)
from cranberryrelay.relay._crash_suspects import PROOF_EVENTS
from cranberryrelay.relay._events import EVENT_BYTES_LIMIT, Event, EventSplitter
from cranberryrelay.relay._placement import (
    always_may_send,
    choose_decode_engine,
)
from cranberryrelay.relay._prefill import (
    ENGINE_PRIORITIES,
    PrefilledPrompt,
    PrefillRun,
)
from cranberryrelay.relay._request_log import RequestLog
from cranberryrelay.relay._requests import KvSource, UpstreamCall
from cranberryrelay.relay._stalled_read import StalledRead
from cranberryrelay.relay._upstream_call import (
    UNSENT_CODES,
    UpstreamResponse,
)
from cranberryrelay.timing import limit_time

# Longest prompt, in tokens, for which a second engine keeps a backup of the
# generation state.  Up to this length, another prefill costs more than moving
# the KV cache.
BACKUP_TOKENS_LIMIT: Final = 4000

# A stream that has a backup tries to switch to it after a pause of STALL_FACTOR
# times the route's longest acceptable gap between events, but of no less than
# STALL_SECONDS: sound engines are silent for a second or so, and callers leave
# after a gap of two seconds at the earliest.  Streams without a backup keep
# waiting, as the engine may have preempted them.
STALL_FACTOR: Final = 5.0
STALL_SECONDS: Final = 1.75

# Longest time for which the silent engine and the one with the backup may both
# have the request: a run that is still at the former 0.4 s after the latter has
# taken it counts as a second one.
SWITCH_SECONDS: Final = 0.3

# Refusals by decode engines with which the KV cache of the prompt is still
# used.  After more, the prefill is repeated, as the cache may be gone.
REFUSALS_LIMIT: Final = 1

# Bytes of something that is no event of the stream, as far as they are logged.
LOGGED_BYTES: Final = 80

# Failures after which the KV cache of the prompt is still unused: the decode
# engine has not fetched it.
_KV_CACHE_UNTOUCHED: Final = frozenset(
    (
        *UNSENT_CODES,
        ResultCode.UPSTREAM_REPLACED,
    )
)


# Reason to try a switch to the backup.
_SILENT: Final = fail(
    ResultCode.STREAM_BROKEN, 'no bytes arrived within the pause limit'
)

# Failures of an engine that sent something else than the rest of a stream.
_FAULTY_ANSWERS: Final = frozenset(
    (
        ResultCode.ANSWER_MISMATCH,
        ResultCode.UPSTREAM_FAILED,
    )
)


class ModelRun(EngineAttempts):
    """Execution of one streaming request on prefill and decode engines."""

    def __init__(
        self, context: RelayContext, admitted: AdmittedRequest
    ) -> None:
        super().__init__(context, admitted, RequestLog(admitted))
        self.prefill = PrefillRun(context, admitted, self.log)
        self.attempts = 0
        self.gate = ClearanceGate(context, admitted, Role.DECODE)
        self.backup_engine: Upstream | None = None

        # The engine that generates, or was last asked to, the number of events
        # that it has sent, and when it was asked.
        self.engine: Upstream | None = None
        self.engine_event_count = 0
        self.generation_sent_at = float('-inf')
        self.last_event_number: int | None = admitted.request.last_event_number

        # Software version that began the stream, at whose engines alone it may
        # go on; None before it has begun.
        self.version: str | None = None

    async def run(self) -> Result[BufferedReply | StreamReply, Failure]:
        """Return a stream, a buffered error response, or the failure."""
        outcome = await self.open_caller_stream()
        if self.admitted.request.last_event_number is not None:
            self.log.write(
                'stream taken up',
                stream_id=self.admitted.request.stream_id(),
                last_event=self.admitted.request.last_event_number,
                ok=outcome.is_ok(),
            )
        if isinstance(outcome, Err):
            return outcome
        response = outcome.unwrap()
        headers = response.metadata.headers
        if response.status == HTTPStatus.OK:
            events = self.pass_events(response)
            return Ok(StreamReply(response.status, headers, events))
        body = await self.read_body(response)
        return body.map(
            lambda content: BufferedReply(response.status, headers, content)
        )

    async def open_caller_stream(self) -> Result[UpstreamResponse, Failure]:
        """Begin a stream, or go on with one at the version that began it."""
        request = self.admitted.request
        if request.last_event_number is None:
            return await self.open_stream()
        state = self.context.state
        stream_id = request.stream_id()
        complete = state.stream_versions.knows(
            stream_id
        ) or await state.stream_lookup.look_up(
            stream_id, self.admitted.service, self.remaining_seconds()
        )
        engines = state.fleet.eligible(
            self.admitted.service, Role.DECODE, self.context.timers.now()
        )
        found = state.stream_versions.find_version(
            request, self.admitted.service, engines, complete=complete
        )
        if isinstance(found, Err):
            return found
        self.version = found.unwrap()
        return await self.open_stream()

    def has_engine_of_version(self) -> bool:
        """Return whether an engine that may continue the stream is known."""
        if self.version is None:
            return True
        engines = self.context.state.fleet.eligible(
            self.admitted.service, Role.DECODE, self.context.timers.now()
        )
        return any(
            engine.software_version == self.version for engine in engines
        )

    def find_decode_obstacle(self) -> Failure | None:
        """Return why no decode engine can generate; None if one may.

        Known before the prefill, this keeps a prompt from being read in vain.
        """
        if self.has_engine_of_version():
            return self.find_rest_failure(Role.DECODE, self.version)
        detail = f'no decode engine has software version {self.version}'
        return fail(ResultCode.NO_ENGINE, detail)

    async def open_stream(self) -> Result[UpstreamResponse, Failure]:
        """Run the prefill on one engine and start generation on another.

        A failure says whether any attempt may have run, not only the last.
        """
        outcome = await self.try_engines()
        if self.attempts:
            ran = ExecutionState.MAY_HAVE_RUN
            return outcome.map_err(lambda failure: failure._replace(ran=ran))
        return outcome

    async def try_engines(self) -> Result[UpstreamResponse, Failure]:
        """Try engines until one generates or no attempt is left."""
        failure = fail(
            ResultCode.NO_ENGINE,
            'no time left to send the request to an engine',
        )
        while self.remaining_seconds() > 0:
            obstacle = self.find_decode_obstacle()
            if obstacle is not None:
                return Err(obstacle)
            cleared = await self.gate.wait()
            if isinstance(cleared, Err):
                return cleared
            prompt = await self.prefill.run()
            if isinstance(prompt, Err):
                return prompt
            cleared = await self.gate.wait()
            if isinstance(cleared, Err):
                return cleared
            outcome = await self.generate(prompt.unwrap())
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.unwrap_err()
            if not self.may_retry(failure):
                break
        return Err(failure)

    async def generate(
        self, prompt: PrefilledPrompt
    ) -> Result[UpstreamResponse, Failure]:
        """Start generation on the first decode engine that can be reached."""
        failure = fail(ResultCode.NO_ENGINE, 'no decode engine is available')
        refusals = 0
        while True:
            engine = await self.choose_within_limits(
                partial(self.choose_engine, prompt.domain), Role.DECODE
            )
            if engine is None:
                resting = self.find_rest_failure(Role.DECODE, self.version)
                return Err(resting or failure)
            outcome = await self.start_generation(engine, prompt)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.unwrap_err()
            if failure.code is ResultCode.UPSTREAM_REFUSED:
                refusals += 1
                if refusals <= REFUSALS_LIMIT and self.take_retry():
                    continue
            if failure.code not in _KV_CACHE_UNTOUCHED:
                return outcome

    def choose_engine(self, near: str) -> Upstream | None:
        """Choose a decode engine that has not failed this request.

        ``near`` is the preferred failure domain.
        """
        body_bytes = len(self.admitted.request.body)
        return choose_decode_engine(
            self.context.state.placement_context(body_bytes),
            self.admitted.service,
            near,
            self.excluded,
            self.context.timers.now(),
            self.version,
        )

    async def start_generation(
        self, engine: Upstream, prompt: PrefilledPrompt
    ) -> Result[UpstreamResponse, Failure]:
        """Start generation from the KV cache of a prefilled prompt."""
        self.backup_engine = self.choose_backup(engine)
        call = self.make_call(engine)._replace(
            source=prompt.source,
            backup_address=self.backup_engine.address
            if self.backup_engine
            else None,
        )
        outcome = await self.send(engine, call)
        may_have_run = (
            outcome.is_ok()
            or outcome.unwrap_err().ran is not ExecutionState.NOT_RUN
        )
        self.attempts += may_have_run
        return outcome

    async def send(
        self, engine: Upstream, call: UpstreamCall
    ) -> Result[UpstreamResponse, Failure]:
        """Send a generation call and record its outcome for the engine."""
        state = self.context.state
        self.engine = engine
        self.engine_event_count = 0
        self.log.record_decode_engine(engine)
        sent = InFlightCall(0, self.context.timers.now())
        self.generation_sent_at = sent.sent_at
        state.backlog.add(engine.name, sent)
        self.admitted.stack.callback(state.backlog.remove, engine.name, sent)
        outcome = await self.open_response(engine, call)
        if isinstance(outcome, Err):
            failure = outcome.unwrap_err()
            if failure.code is ResultCode.UPSTREAM_FAILED:
                self.record_interrupted(failure)
            self.record_failure(engine, failure)
        else:
            state.record_success(engine.name, self.context.timers.now())
        return outcome

    def record_interrupted(self, failure: Failure) -> None:
        """Record a run that its engine broke off."""
        if self.engine is None:
            return
        self.log.log_interrupted(self.engine.name, failure)
        if self.engine_event_count < PROOF_EVENTS:
            self.gate.record_interrupted(self.engine, self.generation_sent_at)

    def choose_backup(self, engine: Upstream) -> Upstream | None:
        """Choose an engine for the backup if the request may not run twice."""
        route = self.admitted.route
        if route.resumable:
            return None
        if self.prefill.model_request.prompt_tokens > BACKUP_TOKENS_LIMIT:
            return None
        surroundings = self.context.state.placement_context()
        return choose_decode_engine(
            surroundings._replace(may_send=always_may_send),
            self.admitted.service,
            engine.domain,
            self.excluded | {engine.name},
            self.context.timers.now(),
            engine.software_version,
        )

    def make_call(self, engine: Upstream) -> UpstreamCall:
        """Make a call whose timeout is the time left for the request."""
        resume_after = self.last_event_number
        if resume_after == self.admitted.request.last_event_number:
            resume_after = None
        return UpstreamCall(
            request=self.admitted.request,
            upstream=engine.name,
            address=engine.address,
            timeout_seconds=self.remaining_seconds(),
            engine_priority=ENGINE_PRIORITIES[self.admitted.route.rank],
            resume_after=resume_after,
        )

    def may_retry(self, failure: Failure) -> bool:
        """Return whether the request may be sent to another engine.

        Takes a retry from the budget if so.
        """
        route = self.admitted.route
        if failure.ran is not ExecutionState.NOT_RUN and not route.resumable:
            return False
        if self.attempts >= route.attempts_limit:
            return False
        return self.take_retry()

    async def pass_events(
        self, response: UpstreamResponse
    ) -> AsyncIterator[bytes]:
        """Yield whole events; resumes on another engine where allowed."""
        while True:
            ended: Failure | UpstreamResponse | None = None
            async for item in self.read_events(response):
                if not isinstance(item, Event):
                    ended = item
                    break
                yield item.content
            if ended is None:
                self.gate.record_proven()
                self.log.log_answered(self.context.timers.now())
                return
            response = await self.continue_stream(response, ended)

    async def continue_stream(
        self, response: UpstreamResponse, ended: Failure | UpstreamResponse
    ) -> UpstreamResponse:
        """Return the response with the rest of a stream.

        ``ended`` is the response of an engine that has taken a silent one's
        place, or why the stream broke.
        """
        if isinstance(ended, Failure):
            return await self.resume(response, ended)
        await response.close()
        return ended

    async def resume(
        self, response: UpstreamResponse, broken: Failure
    ) -> UpstreamResponse:
        """Continue a broken stream on another engine.

        Raises ``BrokenStreamError`` if that is not possible.
        """
        await response.close()
        if broken.code is ResultCode.STREAM_BROKEN:
            self.record_interrupted(broken)
        elif broken.code in _FAULTY_ANSWERS and self.engine:
            self.record_failure(self.engine, broken)
        outcome = await self.resume_from_backup(broken)
        if outcome.is_err() and self.may_retry(broken):
            outcome = await self.open_stream()
        resumed = outcome.ok()
        if resumed is not None:
            if resumed.status == HTTPStatus.OK:
                return resumed
            detail = f'status {resumed.status} instead of the rest of a stream'
            refused = fail(ResultCode.UPSTREAM_FAILED, detail)
            return await self.resume(resumed, refused)
        self.log.write(
            'stream broken',
            code=broken.code.value,
            detail=broken.detail,
            last_event=self.last_event_number,
        )
        raise BrokenStreamError(broken.detail)

    async def resume_from_backup(
        self, failure: Failure
    ) -> Result[UpstreamResponse, Failure]:
        """Continue from the backup of the generation state, if there is one.

        This continues the same run, so it is allowed for requests that may
        not run twice.  Before the first event the backup may not exist yet,
        and the engine would start a second run.
        """
        backup = self.backup_engine
        if backup is None or not self.log.event_count:
            return Err(failure)
        now = self.context.timers.now()
        if self.context.state.fleet.is_resting(backup, now):
            return Err(failure)
        if not self.take_retry():
            return Err(failure)
        self.backup_engine = None
        source = KvSource(backup.address, self.admitted.request.request_id)
        call = self.make_call(backup)._replace(
            source=source, resume_after=self.last_event_number
        )
        outcome = await self.send(backup, call)
        self.log.write('copy used', ok=outcome.is_ok(), detail=failure.detail)
        return outcome if outcome.is_ok() else Err(failure)

    async def switch_to_backup(self) -> UpstreamResponse | None:
        """Go on from the backup while the engine is silent; None if not.

        The silent engine stays the one that generates until the other one has
        accepted, in ``SWITCH_SECONDS``.  If its stream goes on before that, the
        backup stays as well.
        """
        backup = self.backup_engine
        silent = self.engine, self.engine_event_count, self.generation_sent_at
        response: UpstreamResponse | None = None
        decided = False
        try:
            with limit_time(SWITCH_SECONDS):
                response = (await self.resume_from_backup(_SILENT)).ok()
                decided = True
        finally:
            if not decided:
                self.backup_engine = backup
            if response is None or response.status != HTTPStatus.OK:
                self.restore_engine(*silent)
        if response is None or response.status == HTTPStatus.OK:
            return response
        await response.close()
        return None

    def restore_engine(
        self, engine: Upstream | None, event_count: int, sent_at: float
    ) -> None:
        """Record that an engine still generates after a failed switch."""
        self.engine = engine
        self.engine_event_count = event_count
        self.generation_sent_at = sent_at
        if engine is not None:
            self.log.record_decode_engine(engine)

    async def read_events(
        self, response: UpstreamResponse
    ) -> AsyncIterator[Event | Failure | UpstreamResponse]:
        """Yield events.

        The last item is a failure if the stream broke, or the response of
        another engine that has taken the place of a silent one.
        """
        splitter = EventSplitter()
        chunks = response.chunks()
        while True:
            chunk = await self.next_chunk(chunks, splitter)
            if isinstance(chunk, Failure | UpstreamResponse):
                yield chunk
                return
            if chunk is None:
                break
            for event in splitter.feed(chunk):
                if not event.follows(self.last_event_number):
                    yield fail(
                        ResultCode.ANSWER_MISMATCH,
                        f'no event after {self.last_event_number}: '
                        f'{event.content[:LOGGED_BYTES]!r}',
                    )
                    return
                self.record_event(event)
                yield event
            if splitter.too_large:
                yield fail(
                    ResultCode.ANSWER_TOO_LARGE,
                    f'an event exceeds {EVENT_BYTES_LIMIT} bytes',
                )
                return
        if splitter.incomplete:
            yield fail(
                ResultCode.STREAM_BROKEN,
                'the stream ended in the middle of an event',
            )

    def record_event(self, event: Event) -> None:
        """Record the time and number of an event that was received."""
        now = self.context.timers.now()
        self.context.state.reach.record_contact(now)
        first_seconds = self.log.record_event(now)
        if self.version is None and self.engine is not None:
            self.version = self.engine.software_version
            self.context.state.stream_versions.record_begun(
                self.admitted.request.stream_id(), self.engine, now
            )
        self.engine_event_count += 1
        if self.engine_event_count == PROOF_EVENTS:
            self.gate.record_proven()
        if first_seconds is not None:
            rank = self.admitted.route.rank
            self.context.state.telemetry.observe_first_event(
                rank, first_seconds
            )
        if event.number is not None:
            self.last_event_number = event.number

    async def next_chunk(
        self, chunks: AsyncIterator[bytes], splitter: EventSplitter
    ) -> bytes | Failure | UpstreamResponse | None:
        """Return the next chunk, None at the end of the body, or a failure.

        A response is that of another engine which has taken the place of a
        silent one.
        """
        with trio.CancelScope(deadline=self.admitted.deadline):
            if self.backup_engine is None or not self.log.event_count:
                return await read_chunk(chunks)
            stalled_read = StalledRead(
                partial(read_chunk, chunks),
                self.switch_to_backup,
                splitter.is_broken_by,
            )
            return await stalled_read.run(
                find_stall_seconds(self.admitted.route), self.context.timers
            )
        return fail(
            ResultCode.DEADLINE_PASSED,
            'the deadline passed before the stream was complete',
        )


def find_stall_seconds(route: Route) -> float:
    """Return the silence after which a switch to the backup is tried."""
    return max(route.event_gap_target_seconds * STALL_FACTOR, STALL_SECONDS)


async def read_chunk(chunks: AsyncIterator[bytes]) -> bytes | Failure | None:
    """Return the next chunk, None at the end of the body, or a failure."""
    try:
        return await anext(chunks, None)
    except httpx.HTTPError as error:
        return fail(ResultCode.STREAM_BROKEN, repr(error))
