"""Commands from the stages of the request pipeline to the core, and replies."""

from typing import Any, NamedTuple

from cranberryrelay.agreement import Outcome, RequestId
from cranberryrelay.notes import KindRule, NotesInForce


class AdmitRequest(NamedTuple):
    """Admits a request under the release notes in force now."""


class Admission(NamedTuple):
    """Reply to AdmitRequest; the notes apply until the request ends."""

    # Release notes in force for the request.
    notes: NotesInForce

    # Id of the request in the account.
    request_id: RequestId


class SlotRequest(NamedTuple):
    """Requests a slot and an engine for model work."""

    # Release notes in force for the request.
    notes: NotesInForce

    # Name of the caller.
    caller: str

    # Weight of the caller in the fair queue of its rank.
    weight: int

    # Name of the rank.
    rank: str

    # Kind of work.
    kind: KindRule

    # Digest of the caller, the kind of work and the start of the prompt; key of
    # the prefix cache.
    prefix: str

    # Estimated tokens in the prompt.
    prompt_tokens: int

    # Maximum number of output tokens.
    output_tokens: int

    # Digest of the caller, the kind of work and the prompt; identifies a poison
    # request.
    fingerprint: str

    # Time at which the request expires in the queue, on the local clock, in
    # seconds.
    start_by: float


class EngineAssignment(NamedTuple):
    """The engine that runs an attempt."""

    # Name of the engine.
    engine: str

    # 'IP:port' of the engine.
    address: str

    # Priority for the engine; lower is more urgent.
    priority: int

    # Version of the model that the engine has loaded; empty if unknown.
    version: str

    # True if the engine only prefills and another one decodes the answer.
    prefill_only: bool = False

    # 'IP:port' of the engine to fetch the KV cache from; empty for none.
    kv_from: str = ''


class ReassignSlot(NamedTuple):
    """Requests another engine after a failed attempt."""

    # Id of the slot.
    slot_id: int

    # True if the engine crashed while it ran the request.
    crashed: bool

    # Id of the failed attempt.
    attempt_id: str

    # True if it is proved that the engine did not run the attempt.
    not_run: bool = False


class HandOffToDecode(NamedTuple):
    """Requests an engine that decodes what the current one has prefilled."""

    # Id of the slot.
    slot_id: int


class ReleaseSlot(NamedTuple):
    """Releases a slot."""

    # Id of the slot.
    slot_id: int

    # True if the answer was completed.
    completed: bool


class SlotGrant(NamedTuple):
    """Reply to SlotRequest, ReassignSlot and HandOffToDecode."""

    # Id of the slot, needed to release it.
    slot_id: int

    # Engine for the next attempt.
    assignment: EngineAssignment


class SelectUpstream(NamedTuple):
    """Requests an upstream of a service."""

    # Name of the service.
    service: str


class ReleaseUpstream(NamedTuple):
    """Reports that a service call to an upstream has ended."""

    # Name of the upstream.
    upstream: str


class ReserveCall(NamedTuple):
    """Reserves a call that must run at most once."""

    # Digest of the caller and its Idempotency-Key.
    key_digest: str

    # Digest of the service, route and body of the call.
    call_digest: str

    # Unique id of this attempt.
    attempt_id: str


class SettleReservation(NamedTuple):
    """Settles a reservation with the outcome of the call."""

    # Digest of the caller and its Idempotency-Key.
    key_digest: str

    # Id of the attempt that made the reservation.
    attempt_id: str

    # Response of the service; status 0 if the call did not run.
    outcome: Outcome


class CancelCommand(NamedTuple):
    """Cancels a command whose caller stopped waiting for the reply."""

    # Id of the command.
    command_id: int


class StartDraining(NamedTuple):
    """Stops admission before the process shuts down."""


class CommandEnvelope(NamedTuple):
    """A command to the core with its correlation id."""

    # Id of the command.
    command_id: int

    # The command.
    command: Any


class CommandReply(NamedTuple):
    """The core's reply to a command."""

    # Id of the command.
    command_id: int

    # A Result: what the command asked for, or the failure.
    result: Any
