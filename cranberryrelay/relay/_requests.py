"""Types of requests, upstream calls and responses, free of wire formats.

``Dialect`` translates between these types and the headers on the wire.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from result import Result

from cranberryrelay.codes import Failure

RawHeaders = Sequence[tuple[bytes, bytes]]


class PromptSegment(NamedTuple):
    """A segment of a prompt; requests with a common prefix share segments."""

    # Digest that identifies the segment.
    digest: str

    # Length of the segment in tokens.
    tokens: int


class ModelRequest(NamedTuple):
    """The model, prompt and output length that a request asks for."""

    # Name of the model.
    model: str

    # Length of the prompt in tokens.
    prompt_tokens: int

    # Maximum number of tokens to generate.
    output_tokens: int

    # Prompt segments in order; the last belongs to this request alone.
    segments: tuple[PromptSegment, ...]

    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """Return the segments that other requests may have in common."""
        return self.segments[:-1]


class IncomingRequest(NamedTuple):
    """A request as received from a caller."""

    # Id of the caller's attempt; '' if the request carries none.
    request_id: str

    # HTTP method.
    method: str

    # Path and query as received.
    target: str

    # Path without the query.
    path: str

    # Host in lower case, without the port.
    host: str

    # Headers as received.
    headers: RawHeaders

    # Request body.
    body: bytes

    # Timeout of the caller, counted from the arrival; None if not specified.
    timeout_seconds: float | None

    # Time of arrival on the clock of this instance, in seconds.
    arrived_at: float

    # Number of the last event that the caller received; None for a new
    # stream.
    last_event_number: int | None

    # What is requested of a model; None for a plain call.
    model_request: ModelRequest | None

    # Request id of the caller's attempt that began the stream to resume; ''
    # for a new stream.
    resumed_request_id: str = ''

    def stream_id(self) -> str:
        """Return the request id of the attempt that began the stream."""
        return self.resumed_request_id or self.request_id


class KvSource(NamedTuple):
    """Where a decode engine fetches the KV cache of a prompt from."""

    # 'IP:port' of the engine that holds the KV cache.
    address: str

    # Handle of the KV cache at that engine.
    transfer_handle: str


class UpstreamCall(NamedTuple):
    """A call to an upstream on behalf of a request."""

    # The caller's request.
    request: IncomingRequest

    # Name of the only incarnation of the upstream that may run the request.
    upstream: str

    # 'IP:port' of the upstream.
    address: str

    # Timeout of the call.
    timeout_seconds: float

    # Scheduling priority at the engine, 0 (first) to 9; None for a plain call.
    engine_priority: int | None = None

    # True if the engine only runs the prefill and generates nothing.
    prefill_only: bool = False

    # KV cache to continue from; None to start from the prompt.
    source: KvSource | None = None

    # 'IP:port' of an engine that keeps a replica of the generation state; None
    # for no replica.
    backup_address: str | None = None

    # Number of the event to resume after; None to pass on the value that the
    # caller sent, if any.
    resume_after: int | None = None


class ResponseMetadata(NamedTuple):
    """Metadata from the headers of an upstream's response."""

    # Id of the request that the response belongs to; '' if not given.
    request_id: str

    # True if the upstream states that it did not run the request.
    not_run: bool

    # True if a different incarnation now uses the address.
    misdirected: bool

    # Headers to forward to the caller.
    headers: RawHeaders

    # Requests a second that the upstream accepts from all instances together;
    # None if it names no limit.
    requests_per_second: float | None = None

    # Whether the upstream states that it is leaving.
    leaving: bool = False

    # Seconds for which the upstream wants no requests from this instance; None
    # if it does not ask for rest.
    rest_seconds: float | None = None


# Is told of the metadata of each response, also of one that is an error.
MetadataObserver = Callable[[ResponseMetadata], None]


class PrefillResult(NamedTuple):
    """The KV cache that a prefill left at an engine."""

    # Handle of the KV cache at the engine.
    transfer_handle: str

    # Number of tokens that it holds.
    tokens: int


class Dialect(Protocol):
    """Translates between headers on the wire and the types of this module."""

    def parse_request(self, request: IncomingRequest) -> IncomingRequest:
        """Return the request with the fields that its headers define."""

    def make_call_headers(
        self, call: UpstreamCall
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send with a call to an upstream."""

    def parse_response(
        self, status: int, headers: RawHeaders
    ) -> ResponseMetadata:
        """Extract metadata from the headers of an upstream's response."""

    def decode_prefill(self, body: bytes) -> Result[PrefillResult, Failure]:
        """Decode the response body of a prefill call."""
