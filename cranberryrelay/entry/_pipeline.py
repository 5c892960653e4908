"""Runs each request through the stages of the data path.

Model work: admit, identify, assign rank, acquire slot, generate, reply.
Service calls: admit, identify, resolve the call, reserve, dispatch, reply.
"""

from collections.abc import AsyncIterator

import httpx
from quart import Response
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.entry._actor import CoreActor
from cranberryrelay.entry._context import (
    AdmittedRequest,
    IncomingRequest,
    RankedRequest,
)
from cranberryrelay.entry._exchange import (
    AnswerEvent,
    FailedAnswer,
    TokenText,
    collect_answer,
    generate_answer,
)
from cranberryrelay.entry._identify import identify
from cranberryrelay.entry._messages import Admission, AdmitRequest
from cranberryrelay.entry._rank import assign_rank
from cranberryrelay.entry._replies import (
    make_completion_response,
    make_problem_response,
    make_reply_headers,
    stream_events,
)
from cranberryrelay.entry._service_call import resolve_service_call, run_call
from cranberryrelay.entry._telemetry import Telemetry
from cranberryrelay.timing import TimerService


class Pipeline:
    """Serves requests stage by stage."""

    def __init__(
        self,
        actor: CoreActor,
        client: httpx.AsyncClient,
        timers: TimerService,
        telemetry: Telemetry,
    ) -> None:
        self.actor = actor
        self.client = client
        self.timers = timers
        self.telemetry = telemetry
        self.instance = actor.core.steward_name

    async def serve_model(self, incoming: IncomingRequest) -> Response:
        """Answer a completion or chat completion."""
        admitted = await self._admit(incoming)
        if isinstance(admitted, Err):
            return self._refuse(admitted.unwrap_err(), None, '')
        ranked = admitted.and_then(identify).and_then(assign_rank)
        if isinstance(ranked, Err):
            return self._refuse(ranked.unwrap_err(), admitted.unwrap(), '')
        return await self._answer(ranked.unwrap())

    async def serve_call(self, incoming: IncomingRequest) -> Response:
        """Answer a call to a service."""
        admitted = await self._admit(incoming)
        if isinstance(admitted, Err):
            return self._refuse(admitted.unwrap_err(), None, '')
        call = admitted.and_then(identify).and_then(resolve_service_call)
        if isinstance(call, Err):
            return self._refuse(call.unwrap_err(), admitted.unwrap(), '')
        call_result = await run_call(call.unwrap(), self.actor, self.client)
        if isinstance(call_result, Err):
            return self._refuse(call_result.unwrap_err(), admitted.unwrap(), '')
        completed = call_result.unwrap()
        self._record_request(admitted.unwrap(), '', ResultCode.ANSWERED)
        return Response(
            completed.body,
            status=completed.status,
            headers=make_reply_headers(self.instance, admitted.unwrap()),
            content_type=completed.media_type,
        )

    async def _admit(
        self, incoming: IncomingRequest
    ) -> Result[AdmittedRequest, Failure]:
        admission_result = await self.actor.ask(AdmitRequest())
        if admission_result.is_err():
            return Err(admission_result.unwrap_err())
        admission: Admission = admission_result.unwrap()
        return Ok(
            AdmittedRequest(incoming, admission.notes, admission.request_id)
        )

    async def _answer(self, ranked: RankedRequest) -> Response:
        admitted = ranked.identified.admitted
        headers = make_reply_headers(self.instance, admitted)
        events = self._observe(
            ranked,
            generate_answer(ranked, self.actor, self.client, self.timers),
        )
        if not ranked.stream:
            text, completed = await collect_answer(events)
            if isinstance(completed, FailedAnswer):
                return make_problem_response(completed.failure, headers)
            return make_completion_response(ranked, text, completed, headers)
        first = await anext(events)
        if isinstance(first, FailedAnswer):
            return make_problem_response(first.failure, headers)
        response = Response(
            stream_events(ranked, first, events, headers),
            headers=headers,
            content_type='text/event-stream',
        )
        response.timeout = None
        return response

    async def _observe(
        self, ranked: RankedRequest, events: AsyncIterator[AnswerEvent]
    ) -> AsyncIterator[AnswerEvent]:
        """Yield events unchanged; record token latencies and the result."""
        admitted = ranked.identified.admitted
        labels = {'rank': ranked.rank.name}
        last_at = self.timers.now()
        histogram = self.telemetry.time_to_first_token
        async for event in events:
            now = self.timers.now()
            if isinstance(event, TokenText):
                histogram.observe(labels, now - last_at)
                histogram = self.telemetry.time_between_tokens
                last_at = now
            elif isinstance(event, FailedAnswer):
                self._record_request(
                    admitted, ranked.rank.name, event.failure.code
                )
            else:
                self._record_request(
                    admitted, ranked.rank.name, ResultCode.ANSWERED
                )
            yield event

    def _refuse(
        self, failure: Failure, admitted: AdmittedRequest | None, rank_name: str
    ) -> Response:
        self._record_request(admitted, rank_name, failure.code)
        headers = make_reply_headers(self.instance, admitted)
        return make_problem_response(failure, headers)

    def _record_request(
        self, admitted: AdmittedRequest | None, rank_name: str, code: ResultCode
    ) -> None:
        name = admitted.request_id_text if admitted else ''
        revision = admitted.notes.revision if admitted else 0
        self.telemetry.record_request(name, revision, rank_name, code)
