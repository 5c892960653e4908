"""The filters of calls to plain services."""

import logging
from typing import Final

from result import Err, Result

from cranberryrelay.codes import Failure, Ran, ResultCode, fail
from cranberryrelay.relay._arrival import UpstreamCall
from cranberryrelay.relay._attempts import Attempts
from cranberryrelay.relay._backlog import Sent
from cranberryrelay.relay._catalogue import RequestKind, Upstream
from cranberryrelay.relay._context import WholeReply
from cranberryrelay.relay._placement import choose_plain
from cranberryrelay.relay._upstream_call import open_answer, read_whole

# A process that does not answer for this long is avoided, in seconds.
TELLING_SECONDS: Final = 1.0
_SERVER_ERROR: Final = 500
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class PlainRun(Attempts):
    """One call's way to a plain service."""

    async def run(self) -> Result[WholeReply, Failure]:
        """Return the service's whole answer, or why there is none."""
        ended: Result[WholeReply, Failure] = Err(
            fail(ResultCode.NO_ENGINE, 'no process of the service takes calls')
        )
        arrivals = 0
        while arrivals < self.admitted.route.attempts_limit:
            now = self.tools.timers.now()
            upstream = choose_plain(
                self.tools.state.surroundings(),
                self.admitted.service,
                self.excluded,
                now,
            )
            if upstream is None or not self.may_send(arrivals):
                break
            ended = await self.send_to(upstream)
            if not self.should_repeat(ended):
                break
            self.excluded |= {upstream.name}
            failure = ended.err()
            unreachable = ResultCode.UPSTREAM_UNREACHABLE
            arrivals += failure is None or failure.code is not unreachable
        return ended

    async def send_to(self, upstream: Upstream) -> Result[WholeReply, Failure]:
        """Send the call to one process of the service."""
        state = self.tools.state
        sent = Sent(0, self.tools.timers.now())
        state.backlog.add(upstream.name, sent)
        state.fleet.note_sent(upstream.name, sent.sent_at)
        try:
            ended = await self.exchange(upstream)
        finally:
            state.backlog.remove(upstream.name, sent)
        if isinstance(ended, Err):
            self.note_failure(upstream, ended.unwrap_err())
        else:
            self.note_answer(upstream, ended.unwrap())
        return ended

    async def exchange(self, upstream: Upstream) -> Result[WholeReply, Failure]:
        """Send the call and read the whole answer."""
        call = UpstreamCall(
            arrival=self.admitted.arrival,
            upstream=upstream.name,
            address=upstream.address,
            left_seconds=self.left(),
        )
        opened = await open_answer(
            self.tools.client, self.tools.dialect, call, self.admitted.stack
        )
        if isinstance(opened, Err):
            return opened
        answer = opened.unwrap()
        body = await read_whole(answer, self.left())
        return body.map(
            lambda whole: WholeReply(answer.status, answer.marks.headers, whole)
        )

    def should_repeat(self, ended: Result[WholeReply, Failure]) -> bool:
        """Tell if the call may and should be sent again."""
        idempotent = self.admitted.route.kind is RequestKind.IDEMPOTENT
        if isinstance(ended, Err):
            return idempotent or ended.unwrap_err().ran is Ran.NOT_RUN
        return idempotent and ended.unwrap().status >= _SERVER_ERROR

    def may_send(self, arrivals: int) -> bool:
        """Tell if the budget and the time allow another send.

        What reached no process is no send.
        """
        if self.left() <= 0:
            return False
        return not arrivals or self.take_repeat()

    def note_answer(self, upstream: Upstream, reply: WholeReply) -> None:
        """Learn from an answer; an error of its own is a failure."""
        now = self.tools.timers.now()
        if reply.status >= _SERVER_ERROR:
            self.tools.state.fleet.note_failure(upstream.name, now)
        else:
            self.tools.state.note_answer(upstream.name, now)

    def note_failure(self, upstream: Upstream, failure: Failure) -> None:
        """Avoid a process that failed; a route's short limit is no failure."""
        now = self.tools.timers.now()
        waited = now - self.admitted.arrival.arrived_at
        timed_out = failure.code is ResultCode.UPSTREAM_TIMEOUT
        if not timed_out or waited > TELLING_SECONDS:
            self.tools.state.note_failure(upstream.name, failure, now)
        _LOG.info(
            'service failed',
            extra={
                'request_id': self.admitted.arrival.request_id,
                'upstream': upstream.name,
                'code': failure.code.value,
                'detail': failure.detail,
            },
        )
