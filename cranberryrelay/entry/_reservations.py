"""Reserves calls that must run at most once in the ledger."""

from functools import singledispatch
from typing import Any, Final, NamedTuple

from result import Err, Ok

from cranberryrelay.agreement import (
    Effect,
    Outcome,
    Reserve,
    Reserved,
    SendPeer,
    Settle,
    Verdict,
)
from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.entry._messages import (
    CommandReply,
    ReserveCall,
    SettleReservation,
)

LEDGER_TIMEOUT_SECONDS: Final = 3.0


class PendingReservation(NamedTuple):
    """A reservation that waits for the ledger's verdict."""

    # Id of the command to reply to.
    command_id: int

    # The command to reserve the call.
    command: ReserveCall

    # Time of the timeout, on the local clock, in seconds.
    deadline: float


class ReservationManager:
    """Reservations that wait for the ledger, by attempt id.

    Not safe for concurrent use: only the entry's core calls it.
    """

    def __init__(self, steward_name: str) -> None:
        self.steward_name = steward_name
        self.pending: dict[str, PendingReservation] = {}

    def on_tick(self, now: float) -> list[Effect | CommandReply]:
        """Refuse and release reservations that the ledger did not answer."""
        effects: list[Effect | CommandReply] = []
        for pending in tuple(self.pending.values()):
            if pending.deadline < now:
                self.pending.pop(pending.command.attempt_id)
                effects.append(refuse_reservation(pending.command_id))
                effects.append(self.release(pending.command))
        return effects

    def cancel(self, command_id: int) -> list[Effect | CommandReply]:
        """Release the reservation of a command whose caller stopped waiting."""
        for pending in tuple(self.pending.values()):
            if pending.command_id == command_id:
                self.pending.pop(pending.command.attempt_id)
                return [self.release(pending.command)]
        return []

    def release(self, command: ReserveCall) -> SendPeer:
        """Build the message that releases a call that was never dispatched."""
        outcome = Outcome(0, '', b'')
        settle = Settle(command.key_digest, command.attempt_id, outcome)
        return SendPeer(self.steward_name, settle)

    def receive(self, message: Reserved) -> list[Effect | CommandReply]:
        """Reply to the pending command with the ledger's verdict."""
        pending = self.pending.pop(message.attempt_id, None)
        if pending is None:
            return []
        if message.verdict is Verdict.UNAVAILABLE:
            return [refuse_reservation(pending.command_id)]
        return [CommandReply(pending.command_id, Ok(message))]


def refuse_reservation(command_id: int) -> CommandReply:
    """Refuse a call that could not be reserved; it was not run."""
    detail = 'the call was not reserved; retry with the same Idempotency-Key'
    return CommandReply(
        command_id, Err(fail(ResultCode.LEDGER_UNAVAILABLE, detail))
    )


@singledispatch
def handle_reservation_command(
    command: Any, manager: ReservationManager, command_id: int, now: float
) -> list[Effect | CommandReply]:
    """Handle a command from the stage that calls services."""
    raise TypeError(f'no handler for command {command!r}')


@handle_reservation_command.register
def _(
    command: ReserveCall,
    manager: ReservationManager,
    command_id: int,
    now: float,
) -> list[Effect | CommandReply]:
    pending = PendingReservation(
        command_id, command, now + LEDGER_TIMEOUT_SECONDS
    )
    manager.pending[command.attempt_id] = pending
    reserve = Reserve(
        command.key_digest, command.call_digest, command.attempt_id
    )
    return [SendPeer(manager.steward_name, reserve)]


@handle_reservation_command.register
def _(
    command: SettleReservation,
    manager: ReservationManager,
    command_id: int,
    now: float,
) -> list[Effect | CommandReply]:
    settle = Settle(command.key_digest, command.attempt_id, command.outcome)
    return [
        SendPeer(manager.steward_name, settle),
        CommandReply(command_id, Ok(None)),
    ]
