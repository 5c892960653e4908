"""What the sends of one request have in common: time, budget, failures."""

from cranberryrelay.codes import Failure
from cranberryrelay.relay._catalogue import Upstream
from cranberryrelay.relay._context import Admitted, Tools
from cranberryrelay.relay._request_log import RequestLog


class Attempts:
    """Sends of one request, to one upstream after another."""

    def __init__(self, tools: Tools, admitted: Admitted) -> None:
        self.tools = tools
        self.admitted = admitted

        # Upstreams that are not tried again.
        self.excluded: frozenset[str] = frozenset()

    def left(self) -> float:
        """Return the seconds that are left."""
        return self.admitted.left(self.tools.timers.now())

    def take_repeat(self) -> bool:
        """Take a repeat from the budget that all instances share."""
        now = self.tools.timers.now()
        return self.tools.state.take_repeat(self.admitted.service, now)


class EngineAttempts(Attempts):
    """Sends of model work, which are logged with the request."""

    def __init__(
        self, tools: Tools, admitted: Admitted, log: RequestLog
    ) -> None:
        super().__init__(tools, admitted)
        self.log = log

    def note_failure(self, engine: Upstream, failure: Failure) -> None:
        """Avoid an engine that failed."""
        self.excluded |= {engine.name}
        self.tools.state.note_failure(
            engine.name, failure, self.tools.timers.now()
        )
        self.log.note_failure(engine, failure)
