"""Admits requests under the release notes in force and dispatches commands.

The core does no I/O: it takes commands, messages and ticks with the time, and
returns the messages and replies to send.
"""

import random
from functools import singledispatch
from typing import Any, Final

from result import Err, Ok

from cranberryrelay.agreement import (
    ChangesPush,
    Effect,
    EvidencePush,
    Follower,
    MembersPush,
    RangeBuilder,
    RangesSaved,
    RequestId,
    Reserved,
    SendPeer,
    SnapshotPush,
    check_admission,
    entry_peer_name,
)
from cranberryrelay.codes import ResultCode, fail
from cranberryrelay.entry._messages import (
    Admission,
    AdmitRequest,
    CancelCommand,
    CommandEnvelope,
    CommandReply,
    ReserveCall,
    SettleReservation,
    StartDraining,
)
from cranberryrelay.entry._reservations import (
    ReservationManager,
    handle_reservation_command,
)
from cranberryrelay.entry._slots import (
    SlotManager,
    handle_plan_message,
    handle_slot_command,
)
from cranberryrelay.notes import NotesInForce
from cranberryrelay.settings import Settings

ACCOUNT_REPORT_INTERVAL_SECONDS: Final = 1.0
PLAN_ACK_INTERVAL_SECONDS: Final = 0.5
FOLLOWER_MESSAGES: Final = (
    ChangesPush,
    EvidencePush,
    MembersPush,
    SnapshotPush,
)
_NEVER: Final = float('-inf')


class EntryCore:
    """State and decisions of one entry."""

    def __init__(
        self, settings: Settings, incarnation: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.steward_name = settings.own_instance.instance
        self.name = entry_peer_name(settings.own_instance.instance)
        self.follower = Follower(settings.own_instance, settings.peers)
        self.account_ranges = RangeBuilder(f'{self.steward_name}.{incarnation}')
        self.slots = SlotManager(settings, rng)
        self.reservations = ReservationManager(self.steward_name)
        self.notes: NotesInForce | None = None
        self.account_reported_at = _NEVER
        self.plans_acked_at = _NEVER
        self.draining = False

    def on_tick(self, now: float) -> list[Effect | CommandReply]:
        """Subscribe, report, acknowledge plans and expire late work."""
        other_stewards = [
            name
            for name in self.follower.members.by_name
            if name != self.steward_name
        ]
        effects: list[Effect | CommandReply] = list(
            self.follower.on_tick(now, [self.steward_name, *other_stewards])
        )
        if now - self.account_reported_at >= ACCOUNT_REPORT_INTERVAL_SECONDS:
            self.account_reported_at = now
            report = self.account_ranges.make_report()
            if report is not None:
                effects.append(SendPeer(self.steward_name, report))
        if now - self.plans_acked_at >= PLAN_ACK_INTERVAL_SECONDS:
            self.plans_acked_at = now
            effects.extend(self.slots.acknowledge_plans())
        effects.extend(self.reservations.on_tick(now))
        effects.extend(self.slots.on_tick(now))
        return effects

    def receive(
        self, message: Any, now: float, sender: str
    ) -> list[Effect | CommandReply]:
        """Handle a message from a steward."""
        if isinstance(message, FOLLOWER_MESSAGES):
            self.follower.receive(message, now, sender)
            notes = self.notes_in_force()
            if isinstance(message, MembersPush):
                entry_count = len(self.follower.members.instances)
                self.slots.apply_notes(notes, entry_count)
            return []
        return handle_message(message, self, now)

    def ask(
        self, envelope: CommandEnvelope, now: float, utc: float
    ) -> list[Effect | CommandReply]:
        """Handle a command from a stage of a request's pipeline."""
        if isinstance(envelope.command, AdmitRequest):
            return [self._admit(envelope.command_id, now, utc)]
        return handle_command(envelope.command, self, envelope.command_id, now)

    def is_ready(self, now: float) -> bool:
        """Return whether requests are being admitted."""
        admission_check = check_admission(
            self.follower.evidence_table, self.follower.folded.revision, now
        )
        return admission_check.is_ok() and not self.draining

    def has_work(self) -> bool:
        """Return whether any request is queued or running."""
        return self.slots.has_work() or bool(self.reservations.pending)

    def notes_in_force(self) -> NotesInForce:
        """Return the typed view of the records applied here."""
        folded = self.follower.folded
        if self.notes is None or self.notes.revision != folded.revision:
            self.notes = self.follower.refresh_view(self.notes)
            entry_count = len(self.follower.members.instances)
            self.slots.apply_notes(self.notes, entry_count)
        return self.notes

    def _admit(self, command_id: int, now: float, utc: float) -> CommandReply:
        if self.draining:
            detail = 'this instance is draining; use another instance'
            return CommandReply(
                command_id, Err(fail(ResultCode.DRAINING, detail))
            )
        revision = self.follower.folded.revision
        admission_check = check_admission(
            self.follower.evidence_table, revision, now
        )
        if admission_check.is_err():
            return CommandReply(command_id, Err(admission_check.unwrap_err()))
        request_id = RequestId(
            domain=self.settings.own_instance.domain,
            entry=self.account_ranges.entry,
            admitted_at=utc,
            sequence=self.account_ranges.assign_number(revision, utc),
        )
        return CommandReply(
            command_id, Ok(Admission(self.notes_in_force(), request_id))
        )


@singledispatch
def handle_message(
    message: Any, core: EntryCore, now: float
) -> list[Effect | CommandReply]:
    """Handle a steward's message; by default the slot manager does."""
    return handle_plan_message(message, core.slots, now)


@handle_message.register
def _(
    message: RangesSaved, core: EntryCore, now: float
) -> list[Effect | CommandReply]:
    core.account_ranges.acknowledge_report(message.report)
    return []


@handle_message.register
def _(
    message: Reserved, core: EntryCore, now: float
) -> list[Effect | CommandReply]:
    return core.reservations.receive(message)


@singledispatch
def handle_command(
    command: Any, core: EntryCore, command_id: int, now: float
) -> list[Effect | CommandReply]:
    """Handle a command; by default the slot manager does."""
    return handle_slot_command(command, core.slots, command_id, now)


@handle_command.register(ReserveCall)
@handle_command.register(SettleReservation)
def _(
    command: ReserveCall | SettleReservation,
    core: EntryCore,
    command_id: int,
    now: float,
) -> list[Effect | CommandReply]:
    return handle_reservation_command(
        command, core.reservations, command_id, now
    )


@handle_command.register
def _(
    command: StartDraining, core: EntryCore, command_id: int, now: float
) -> list[Effect | CommandReply]:
    core.draining = True
    return [CommandReply(command_id, Ok(None))]


@handle_command.register
def _(
    command: CancelCommand, core: EntryCore, command_id: int, now: float
) -> list[Effect | CommandReply]:
    core.slots.cancel(command.command_id, now)
    return core.reservations.cancel(command.command_id)
