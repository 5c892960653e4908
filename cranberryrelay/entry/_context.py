"""What is known of a request as it passes through the filters."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberryrelay.agreement import RequestId, format_request_id
from cranberryrelay.notes import CallerRule, KindRule, NotesInForce, RankRule


class Incoming(NamedTuple):
    """A request as it came in."""

    # Method and path.
    method: str
    path: str

    # Headers by lower-case name.
    headers: Mapping[str, str]

    # The body.
    body: bytes


class Pinned(NamedTuple):
    """A request that was admitted under a note."""

    # The request.
    incoming: Incoming

    # What is in force for it, to its end.
    notes: NotesInForce

    # Names it in the account.
    request_id: RequestId

    @property
    def name(self) -> str:
        """Return the text of the request id."""
        return format_request_id(self.request_id)


class Identified(NamedTuple):
    """A request whose caller is known."""

    # The admitted request.
    pinned: Pinned

    # Who asks.
    caller: CallerRule


class Ranked(NamedTuple):
    """A request for model work whose kind and rank are known."""

    # The request and its caller.
    identified: Identified

    # Kind of work.
    kind: KindRule

    # Rank of the work for this caller.
    rank: RankRule

    # The prompt.
    prompt: str

    # Tokens wanted at most.
    tokens: int

    # True to send tokens as they come.
    stream: bool

    # True for chat completions.
    chat: bool
