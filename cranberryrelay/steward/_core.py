"""Decisions of a steward: its components and how messages reach them."""

from collections.abc import Mapping
from functools import singledispatch
from typing import Any, Final, NamedTuple

from cranberryrelay.agreement import (
    PARTITION_COUNT,
    AccountSegmentWriter,
    Answer,
    CellPart,
    DemandReport,
    Effect,
    Identity,
    LedgerWriter,
    LoadAnswered,
    NoteDistributor,
    PlanAck,
    PlanAlive,
    PlanLoads,
    PlanRedirect,
    PlanRelay,
    PlanSubscribe,
    PlanView,
    RankDemand,
    RecordRanges,
    RequestLoad,
    Reserve,
    SendPeer,
    Settle,
    Subscribe,
    UpstreamLoad,
    UpstreamRecord,
    UpstreamTarget,
    entry_peer_name,
    find_holder_candidates,
    partition_of,
)
from cranberryrelay.notes import NotesInForce
from cranberryrelay.policy import (
    MIXED,
    Demand,
    EngineRates,
    RolePlanner,
    SuspectCrash,
    clip_demand,
)
from cranberryrelay.settings import Settings

LOAD_POLL_INTERVAL_SECONDS: Final = 0.5
LOAD_FAILURE_LIMIT: Final = 3
DEMAND_MAX_AGE_SECONDS: Final = 5.0
_NEVER: Final = float('-inf')


class Received(NamedTuple):
    """A message from a peer."""

    # Name of the peer that wrote the message.
    sender: str

    # One of the message types sent between peers.
    message: Any


class ReceivedDemand(NamedTuple):
    """The last demand report of an entry for one cell."""

    # Time of receipt on the local clock, in seconds.
    received_at: float

    # Demand of the entry's callers, one item per rank.
    ranks: tuple[RankDemand, ...]


class StewardCore:
    """State and decisions of one steward; does no I/O."""

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self.settings = settings
        self.identity = Identity(settings.own_instance, incarnation)
        self.name = settings.own_instance.instance
        self.note_distributor = NoteDistributor(
            self.identity, settings.peers, settings.domains
        )
        cells = tuple(
            sorted({upstream.cell for upstream in settings.upstreams})
        )
        self.cells = {cell: self._make_cell(cell) for cell in cells}
        rates = EngineRates(slots=settings.engine_slots)
        self.planners = {cell: RolePlanner(rates) for cell in cells}
        self.received_demand: dict[str, dict[str, ReceivedDemand]] = {}
        self.plan_relay = PlanRelay(self.name, cells)
        self.ledgers = {
            partition: LedgerWriter(partition, incarnation)
            for partition in range(PARTITION_COUNT)
        }
        self.account_writer = AccountSegmentWriter(
            settings.own_instance.domain, incarnation
        )
        self._notes_view: NotesInForce | None = None
        self.loads_polled_at = _NEVER
        self.load_failures: dict[str, int] = {}
        self.leaving = False

    def on_tick(self, now: float, utc: float) -> list[Effect]:
        """Run the periodic work of all components."""
        effects = list(self.note_distributor.on_tick(now))
        members = self.note_distributor.all_members
        for cell, part in self.cells.items():
            candidate = self.name in find_holder_candidates(members, cell)
            targets = self._upstream_targets(cell, part, now)
            effects.extend(
                part.on_tick(now, candidate=candidate, targets=targets)
            )
        quiet = frozenset(
            name for name, part in self.cells.items() if part.is_quiescent()
        )
        effects.extend(self.plan_relay.on_tick(now, members, quiet))
        for ledger in self.ledgers.values():
            effects.extend(ledger.on_tick(now))
        effects.extend(self.account_writer.on_tick(now, utc))
        effects.extend(self._poll_loads(now))
        return effects

    def receive(self, received: Received, now: float) -> list[Effect]:
        """Handle a message from a peer or from the entry of this instance."""
        return route_message(received.message, self, received.sender, now)

    def on_answer(self, answer: Answer, now: float) -> list[Effect]:
        """Handle the result of a call of the store or of an upstream."""
        if isinstance(answer, LoadAnswered):
            self._record_load(answer, now)
            return []
        effects = list(self.note_distributor.on_answer(answer, now))
        for part in self.cells.values():
            effects.extend(part.on_answer(answer, now))
        for ledger in self.ledgers.values():
            effects.extend(ledger.on_answer(answer, now))
        effects.extend(self.account_writer.on_answer(answer))
        return effects

    def start_leaving(self) -> None:
        """Mark leases and the domain's vote for release on the next ticks."""
        self.leaving = True
        self.note_distributor.voter.leaving = True
        for part in self.cells.values():
            part.leaving = True

    def has_released_all(self) -> bool:
        """Return whether all leases and the vote are released.

        Account reports that are not yet written also delay this.
        """
        cell_held = any(
            part.holding or part.busy for part in self.cells.values()
        )
        voter = self.note_distributor.voter
        pending = bool(
            self.account_writer.waiting_reports
            or self.account_writer.reports_in_flight
        )
        return not (
            cell_held or voter.is_voter or voter.request_in_flight or pending
        )

    def notes_in_force(self) -> NotesInForce | None:
        """Return the view of the applied records; None if there are none."""
        folded = self.note_distributor.follower.folded
        if folded.revision == 0:
            return None
        self._notes_view = self.note_distributor.follower.refresh_view(
            self._notes_view
        )
        return self._notes_view

    def _make_cell(self, cell: str) -> CellPart:
        upstreams = [
            upstream
            for upstream in self.settings.upstreams
            if upstream.cell == cell
        ]
        return CellPart(
            cell, self.identity, upstreams, self.note_distributor.absence
        )

    def is_own_entry(self, sender: str) -> bool:
        """Return whether a peer is the entry of this instance."""
        return sender == entry_peer_name(self.name)

    def _upstream_targets(
        self, cell: str, part: CellPart, now: float
    ) -> Mapping[str, UpstreamTarget]:
        notes = self.notes_in_force()
        if notes is None or not part.holding or part.record is None:
            return {}
        models = {
            model.name: model.version
            for model in notes.models.values()
            if model.cell == cell
        }
        engines = [
            upstream.name
            for upstream in part.settings.values()
            if upstream.sort == 'engine'
        ]
        intended_roles = {
            name: _intended_role(part.record.upstreams[name])
            for name in engines
            if name in part.record.upstreams
        }
        planned_roles = intended_roles
        rule = notes.roles.get(cell)
        if rule is not None:
            planner = self.planners[cell]
            planner.observe(
                self._sum_demand(cell, len(intended_roles), notes, now)
            )
            planned_roles = planner.plan(intended_roles, rule, now)
        return {
            name: UpstreamTarget(role or MIXED, models)
            for name, role in planned_roles.items()
        }

    def record_demand(
        self, report: DemandReport, sender: str, now: float
    ) -> None:
        """Record the demand that an entry reports for a cell."""
        received = ReceivedDemand(now, report.ranks)
        self.received_demand.setdefault(report.cell, {})[sender] = received

    def _sum_demand(
        self, cell: str, engine_count: int, notes: NotesInForce, now: float
    ) -> Demand:
        by_rank: dict[str, Demand] = {}
        for received in self.received_demand.get(cell, {}).values():
            if now - received.received_at > DEMAND_MAX_AGE_SECONDS:
                continue
            for reported in received.ranks:
                subtotal = by_rank.get(reported.rank, Demand(0, 0))
                by_rank[reported.rank] = Demand(
                    subtotal.prefill_tokens_per_second
                    + reported.prefill_tokens_per_second,
                    subtotal.decode_tokens_per_second
                    + reported.decode_tokens_per_second,
                )
        rates = self.planners[cell].rates
        return clip_demand(by_rank, notes.ranks.values(), engine_count, rates)

    def _poll_loads(self, now: float) -> list[Effect]:
        if now - self.loads_polled_at < LOAD_POLL_INTERVAL_SECONDS:
            return []
        self.loads_polled_at = now
        return [
            RequestLoad(name, setting.address)
            for part in self.cells.values()
            if part.holding
            for name, setting in part.settings.items()
        ]

    def _record_load(self, answer: LoadAnswered, now: float) -> None:
        if answer.load is None:
            failures = self.load_failures.get(answer.upstream, 0) + 1
            self.load_failures[answer.upstream] = failures
            if failures < LOAD_FAILURE_LIMIT:
                return
            load = UpstreamLoad(alive=False)
        else:
            self.load_failures[answer.upstream] = 0
            load = answer.load
        for part in self.cells.values():
            if answer.upstream in part.settings:
                part.record_load(answer.upstream, load, now, answer.models)


def _intended_role(upstream: UpstreamRecord) -> str:
    return upstream.order.role if upstream.order else upstream.role


@singledispatch
def route_message(
    message: Any, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    """Pass a message to the component that handles its type.

    Types without an implementation go to the distribution of release notes.
    """
    return core.note_distributor.receive(sender, message, now)


@route_message.register
def _(
    message: Subscribe, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    effects = core.note_distributor.receive(sender, message, now)
    if core.is_own_entry(sender):
        effects.extend(core.plan_relay.views_for_entry(sender))
    return effects


@route_message.register(Reserve)
@route_message.register(Settle)
def _(
    message: Reserve | Settle, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    partition = partition_of(message.key)
    owners = core.note_distributor.all_members.active_order(
        f'ledger/{partition}'
    )
    owner = owners[0] if owners else core.name
    if core.is_own_entry(sender) and owner != core.name:
        return [SendPeer(owner, message, sender)]
    return core.ledgers[partition].receive(sender, message, now)


@route_message.register
def _(
    message: RecordRanges, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    tree_order = core.note_distributor.all_members.tree_order(
        core.settings.own_instance.domain
    )
    writer = tree_order[0] if tree_order else core.name
    if core.is_own_entry(sender) and writer != core.name:
        return [SendPeer(writer, message, sender)]
    return core.account_writer.receive(sender, message)


@route_message.register
def _(
    message: SuspectCrash, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    own_entry = entry_peer_name(core.name)
    if sender != own_entry:
        return [SendPeer(own_entry, message, sender)]
    return [
        SendPeer(instance, message, sender)
        for instance in core.note_distributor.all_members.active
        if instance != core.name
    ]


@route_message.register(PlanAlive)
@route_message.register(PlanLoads)
@route_message.register(PlanRedirect)
@route_message.register(PlanView)
def _(
    message: PlanAlive | PlanLoads | PlanRedirect | PlanView,
    core: StewardCore,
    sender: str,
    now: float,
) -> list[Effect]:
    return core.plan_relay.receive(sender, message, now)


@route_message.register
def _(
    message: PlanSubscribe, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    part = core.cells.get(message.cell)
    return part.receive(sender, message, now) if part else []


@route_message.register
def _(
    message: DemandReport, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    part = core.cells.get(message.cell)
    if part is not None and part.holds_lease(now):
        core.record_demand(message, sender, now)
        return []
    if core.is_own_entry(sender):
        return core.plan_relay.receive(sender, message, now)
    return []


@route_message.register
def _(
    message: PlanAck, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    part = core.cells.get(message.cell)
    if part is not None and part.holds_lease(now):
        return part.receive(sender, message, now)
    if core.is_own_entry(sender):
        return core.plan_relay.receive(sender, message, now)
    return []
