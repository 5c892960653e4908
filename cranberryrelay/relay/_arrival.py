"""Requests, calls to upstreams and answers, in the product's own terms."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from result import Result

from cranberryrelay.codes import Failure

RawHeaders = Sequence[tuple[bytes, bytes]]


class PromptPart(NamedTuple):
    """A part of a prompt; requests share parts."""

    # Digest of the part.
    digest: str

    # Tokens of the part.
    tokens: int


class ModelWork(NamedTuple):
    """What a request asks of a model."""

    # Name of the model.
    model: str

    # Tokens of the prompt.
    prompt_tokens: int

    # Highest number of tokens to generate.
    output_tokens: int

    # Parts of the prompt in their order; the last is the request's own.
    parts: tuple[PromptPart, ...]

    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]


class Arrival(NamedTuple):
    """A request as it came from a caller."""

    # Id of the caller's attempt; '' if it has none.
    request_id: str

    # HTTP method.
    method: str

    # Path and query as they were sent.
    target: str

    # Path without the query.
    path: str

    # Host without a port, in lower case.
    host: str

    # Headers as they were sent.
    headers: RawHeaders

    # Body.
    body: bytes

    # How long the caller waits from the arrival, in seconds; None if unsaid.
    patience_seconds: float | None

    # When it arrived, on the own clock.
    arrived_at: float

    # Number of the last event that the caller has; None for a new stream.
    last_event: int | None

    # Work for a model; None for a plain call.
    work: ModelWork | None


class KvSource(NamedTuple):
    """Where a decode engine fetches the memory of a prompt from."""

    # 'IP:port' of the engine that read the prompt.
    address: str

    # Names the memory at that engine.
    ticket: str


class UpstreamCall(NamedTuple):
    """What is sent to an upstream for a request."""

    # The request.
    arrival: Arrival

    # Name of the upstream's incarnation that may run it.
    upstream: str

    # 'IP:port' of the upstream.
    address: str

    # Time that the upstream has, in seconds.
    left_seconds: float

    # 0 to 9, the lowest first; None for a plain call.
    engine_priority: int | None = None

    # True if the prompt is only to be read.
    prefill_only: bool = False

    # Memory to go on from; None to start from the prompt.
    source: KvSource | None = None

    # 'IP:port' of an engine that keeps a copy of the run; None for none.
    backup: str | None = None

    # Event to go on after; None as the caller asked.
    resume_after: int | None = None


class AnswerMarks(NamedTuple):
    """What the headers of an upstream's answer say."""

    # Id of the request that it answers; '' if it names none.
    request_id: str

    # True if the upstream says that it did not run the request.
    not_run: bool

    # True if another incarnation has the address.
    misdirected: bool

    # Headers that are passed on to the caller.
    headers: RawHeaders


class PrefillResult(NamedTuple):
    """A prompt that an engine has read and keeps."""

    # Names the memory at the engine.
    ticket: str

    # Tokens that it holds.
    tokens: int


class Dialect(Protocol):
    """Translates between requests on the wire and the product's types."""

    def describe(self, arrival: Arrival) -> Arrival:
        """Fill in what the request's headers say."""

    def call_headers(self, call: UpstreamCall) -> list[tuple[bytes, bytes]]:
        """Return the headers of a call to an upstream."""

    def read_marks(self, status: int, headers: RawHeaders) -> AnswerMarks:
        """Read the headers of an upstream's answer."""

    def decode_prefill(self, body: bytes) -> Result[PrefillResult, Failure]:
        """Decode the answer to a call that only reads the prompt."""
