"""The state of a request after each stage of the pipeline."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberryrelay.agreement import RequestId, format_request_id
from cranberryrelay.notes import CallerRule, KindRule, NotesInForce, RankRule


class IncomingRequest(NamedTuple):
    """A request as received from the caller."""

    # Method and path.
    method: str
    path: str

    # Values of the headers by lower-case name.
    headers: Mapping[str, str]

    # The raw body.
    body: bytes


class AdmittedRequest(NamedTuple):
    """A request that was admitted under the release notes in force."""

    # The request as received.
    incoming: IncomingRequest

    # Release notes that apply to it until it ends.
    notes: NotesInForce

    # Id of the request in the account.
    request_id: RequestId

    @property
    def request_id_text(self) -> str:
        """Return the request id as text."""
        return format_request_id(self.request_id)


class IdentifiedRequest(NamedTuple):
    """A request whose caller is known."""

    # The admitted request.
    admitted: AdmittedRequest

    # Rule of the caller in the notes.
    caller: CallerRule


class RankedRequest(NamedTuple):
    """A request for model work whose kind of work and rank are known."""

    # The request and its caller.
    identified: IdentifiedRequest

    # Kind of work.
    kind: KindRule

    # Rank of the work for this caller.
    rank: RankRule

    # The prompt, for a chat with all messages joined.
    prompt: str

    # Maximum number of output tokens.
    max_tokens: int

    # True to stream tokens as they are generated.
    stream: bool

    # True for chat completions.
    chat: bool
