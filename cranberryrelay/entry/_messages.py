"""What the filters of a request ask the entry's core, and its answers."""

from typing import Any, NamedTuple

from cranberryrelay.agreement import Outcome, RequestId
from cranberryrelay.notes import KindRule, NotesInForce


class Begin(NamedTuple):
    """Ask to admit a request under the note in force now."""


class Begun(NamedTuple):
    """A request was admitted under a note, which it keeps to its end."""

    # What is in force for the request.
    notes: NotesInForce

    # Names the request in the account.
    request_id: RequestId


class AskSlot(NamedTuple):
    """Ask for an engine."""

    # What is in force for the request.
    notes: NotesInForce

    # Name of the caller.
    caller: str

    # Weight of the caller.
    weight: int

    # Name of the rank.
    rank: str

    # Kind of work.
    kind: KindRule

    # Digest of the caller and the beginning of the prompt.
    prefix: str

    # Prompt tokens, estimated.
    prompt_tokens: int

    # Output tokens wanted.
    output_tokens: int

    # Digest of the caller, the kind and the prompt.
    fingerprint: str

    # Latest useful start, in seconds on the own clock.
    start_by: float


class Assigned(NamedTuple):
    """An engine to run a request on."""

    # Name of the engine.
    engine: str

    # 'IP:port'.
    address: str

    # Priority for the engine; lower is more urgent.
    priority: int

    # Version of the model that the engine has loaded.
    version: str

    # True if the engine only prefills and the answer is handed on.
    prefill_only: bool = False

    # 'IP:port' of the engine that has the KV cache; empty for none.
    kv_from: str = ''


class Reassign(NamedTuple):
    """Ask for another engine after a failed attempt."""

    # Number of the slot.
    slot: int

    # True if the engine died while it ran the request.
    crashed: bool

    # Fresh id of the attempt that failed.
    exchange: str


class HandOn(NamedTuple):
    """Ask for an engine that decodes what another one has prefilled."""

    # Number of the slot.
    slot: int


class EndSlot(NamedTuple):
    """Give an engine's slot back."""

    # Number of the slot.
    slot: int

    # True if the answer was whole.
    whole: bool


class SlotGiven(NamedTuple):
    """A slot was granted."""

    # Number of the slot, to give it back.
    slot: int

    # The engine.
    assigned: Assigned


class AskService(NamedTuple):
    """Ask for an upstream of a service."""

    # Name of the service.
    service: str


class EndService(NamedTuple):
    """A call of a service has ended."""

    # Name of the upstream.
    upstream: str


class Book(NamedTuple):
    """Ask to book a call that may not be repeated."""

    # Digest of the caller and its Idempotency-Key.
    key: str

    # Digest of the call's route and body.
    call: str

    # Fresh id of this attempt.
    exchange: str


class CloseBooking(NamedTuple):
    """Report the outcome of a booked call."""

    # Digest of the caller and its Idempotency-Key.
    key: str

    # Id of the attempt.
    exchange: str

    # How it ended.
    outcome: Outcome


class Abandon(NamedTuple):
    """Whoever asked a question does not wait for its answer any more."""

    # Number of the question.
    number: int


class StartDraining(NamedTuple):
    """Ask to admit nothing more, because the process is to stop."""


class Ask(NamedTuple):
    """A question to the core and the number that its answer carries."""

    # Number of the question.
    number: int

    # The question.
    question: Any


class Reply(NamedTuple):
    """An answer of the core to a question."""

    # Number of the question.
    number: int

    # The answer: a Result.
    outcome: Any
