"""The order of the filters, in one place.

Model work: pin -> identify -> rank -> admit -> exchange -> reply.
Service calls: pin -> identify -> find_call -> book -> dispatch -> reply.
"""

from collections.abc import AsyncIterator

import httpx
from quart import Response
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.entry._actor import EntryLink
from cranberryrelay.entry._context import Incoming, Pinned, Ranked
from cranberryrelay.entry._exchange import (
    BrokenAnswer,
    Piece,
    TokenText,
    collect_answer,
    exchange,
)
from cranberryrelay.entry._identify import identify
from cranberryrelay.entry._messages import Begin, Begun
from cranberryrelay.entry._rank import rank
from cranberryrelay.entry._replies import (
    reply_headers,
    reply_problem,
    reply_whole,
    stream_events,
)
from cranberryrelay.entry._service_call import find_call, run_call
from cranberryrelay.entry._telemetry import Telemetry
from cranberryrelay.timing import TimerService


class Pipeline:
    """Takes requests through the filters."""

    def __init__(
        self,
        link: EntryLink,
        client: httpx.AsyncClient,
        timers: TimerService,
        telemetry: Telemetry,
    ) -> None:
        self.link = link
        self.client = client
        self.timers = timers
        self.telemetry = telemetry
        self.instance = link.core.steward

    async def serve_model(self, incoming: Incoming) -> Response:
        """Answer a completion or chat completion."""
        pinned = await self._pin(incoming)
        if isinstance(pinned, Err):
            return self._refuse(pinned.unwrap_err(), None, '')
        ranked = pinned.and_then(identify).and_then(rank)
        if isinstance(ranked, Err):
            return self._refuse(ranked.unwrap_err(), pinned.unwrap(), '')
        return await self._answer(ranked.unwrap())

    async def serve_call(self, incoming: Incoming) -> Response:
        """Answer a call of a service."""
        pinned = await self._pin(incoming)
        if isinstance(pinned, Err):
            return self._refuse(pinned.unwrap_err(), None, '')
        call = pinned.and_then(identify).and_then(find_call)
        if isinstance(call, Err):
            return self._refuse(call.unwrap_err(), pinned.unwrap(), '')
        outcome = await run_call(call.unwrap(), self.link, self.client)
        if isinstance(outcome, Err):
            return self._refuse(outcome.unwrap_err(), pinned.unwrap(), '')
        ended = outcome.unwrap()
        self._count(pinned.unwrap(), '', ResultCode.ANSWERED)
        return Response(
            ended.body,
            status=ended.status,
            headers=reply_headers(self.instance, pinned.unwrap()),
            content_type=ended.media_type,
        )

    async def _pin(self, incoming: Incoming) -> Result[Pinned, Failure]:
        begun = await self.link.ask(Begin())
        if begun.is_err():
            return Err(begun.unwrap_err())
        admitted: Begun = begun.unwrap()
        return Ok(Pinned(incoming, admitted.notes, admitted.request_id))

    async def _answer(self, ranked: Ranked) -> Response:
        pinned = ranked.identified.pinned
        headers = reply_headers(self.instance, pinned)
        pieces = self._observe(
            ranked, exchange(ranked, self.link, self.client, self.timers)
        )
        if not ranked.stream:
            text, ended = await collect_answer(pieces)
            if isinstance(ended, BrokenAnswer):
                return reply_problem(ended.failure, headers)
            return reply_whole(ranked, text, ended, headers)
        first = await anext(pieces)
        if isinstance(first, BrokenAnswer):
            return reply_problem(first.failure, headers)
        response = Response(
            stream_events(ranked, first, pieces, headers),
            headers=headers,
            content_type='text/event-stream',
        )
        response.timeout = None
        return response

    async def _observe(
        self, ranked: Ranked, pieces: AsyncIterator[Piece]
    ) -> AsyncIterator[Piece]:
        """Pass pieces on; count tokens' times and the end."""
        pinned = ranked.identified.pinned
        labels = {'rank': ranked.rank.name}
        last_at = self.timers.now()
        histogram = self.telemetry.first_token
        async for piece in pieces:
            now = self.timers.now()
            if isinstance(piece, TokenText):
                histogram.observe(labels, now - last_at)
                histogram = self.telemetry.between_tokens
                last_at = now
            elif isinstance(piece, BrokenAnswer):
                self._count(pinned, ranked.rank.name, piece.failure.code)
            else:
                self._count(pinned, ranked.rank.name, ResultCode.ANSWERED)
            yield piece

    def _refuse(
        self, failure: Failure, pinned: Pinned | None, rank_name: str
    ) -> Response:
        self._count(pinned, rank_name, failure.code)
        headers = reply_headers(self.instance, pinned)
        return reply_problem(failure, headers)

    def _count(
        self, pinned: Pinned | None, rank_name: str, code: ResultCode
    ) -> None:
        name = pinned.name if pinned else ''
        revision = pinned.notes.revision if pinned else 0
        self.telemetry.count(name, revision, rank_name, code)
