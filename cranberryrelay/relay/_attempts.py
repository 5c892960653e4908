"""State shared by the attempts of one request: time left, budget, failures."""

from cranberryrelay.codes import Failure
from cranberryrelay.relay._catalogue import Upstream
from cranberryrelay.relay._context import AdmittedRequest, RelayContext
from cranberryrelay.relay._request_log import RequestLog


class Attempts:
    """Attempts of one request, at one upstream after another."""

    def __init__(
        self, context: RelayContext, admitted: AdmittedRequest
    ) -> None:
        self.context = context
        self.admitted = admitted

        # Names of upstreams that this request does not try again.
        self.excluded: frozenset[str] = frozenset()

    def remaining_seconds(self) -> float:
        """Return the time left until the deadline of the request."""
        return self.admitted.remaining_seconds(self.context.timers.now())

    def take_retry(self) -> bool:
        """Take a retry from the retry budget; return False if it is spent."""
        now = self.context.timers.now()
        return self.context.state.take_retry(self.admitted.service, now)


class EngineAttempts(Attempts):
    """Attempts on engines, with a log of the decisions on the request."""

    def __init__(
        self, context: RelayContext, admitted: AdmittedRequest, log: RequestLog
    ) -> None:
        super().__init__(context, admitted)
        self.log = log

    def record_failure(self, engine: Upstream, failure: Failure) -> None:
        """Exclude an engine that failed and record the failure."""
        self.excluded |= {engine.name}
        self.context.state.record_failure(
            engine.name, failure, self.context.timers.now()
        )
        self.log.log_engine_failure(engine, failure)
