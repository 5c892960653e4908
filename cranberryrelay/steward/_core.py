"""The steward's decisions: its parts, and which message goes to which."""

from collections.abc import Mapping
from functools import singledispatch
from typing import Any, Final, NamedTuple

from cranberryrelay.agreement import (
    PARTITION_COUNT,
    AccountPart,
    Answer,
    AskLoad,
    CellPart,
    DemandReport,
    Effect,
    Identity,
    LedgerPart,
    LoadAnswered,
    PlanAck,
    PlanAlive,
    PlanLoads,
    PlanRedirect,
    PlanRelay,
    PlanSubscribe,
    PlanView,
    RankDemand,
    RecordRanges,
    Reserve,
    SendPeer,
    Settle,
    SpreadPart,
    Subscribe,
    UpstreamLoad,
    UpstreamRecord,
    UpstreamTarget,
    entry_of,
    find_candidates,
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

LOAD_POLL_SECONDS: Final = 0.5
LOAD_FAILURES_LIMIT: Final = 3
DEMAND_AGE_SECONDS: Final = 5.0
_NEVER: Final = float('-inf')


class Received(NamedTuple):
    """A message from a peer."""

    # Name of the peer that wrote it.
    sender: str

    # The message.
    message: Any


class HeardDemand(NamedTuple):
    """What an entry said of its callers' demand."""

    # When it came; own clock.
    at: float

    # Demand by rank.
    ranks: tuple[RankDemand, ...]


class StewardCore:
    """Everything that one steward knows and decides."""

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self.settings = settings
        self.me = Identity(settings.me, incarnation)
        self.name = settings.me.instance
        self.spread = SpreadPart(self.me, settings.peers, settings.domains)
        cells = tuple(sorted({one.cell for one in settings.upstreams}))
        self.cells = {cell: self._make_cell(cell) for cell in cells}
        rates = EngineRates(slots=settings.engine_slots)
        self.planners = {cell: RolePlanner(rates) for cell in cells}
        self.demand: dict[str, dict[str, HeardDemand]] = {}
        self.relay = PlanRelay(self.name, cells)
        self.ledgers = {
            partition: LedgerPart(partition, incarnation)
            for partition in range(PARTITION_COUNT)
        }
        self.account = AccountPart(settings.me.domain, incarnation)
        self.view: NotesInForce | None = None
        self.polled_at = _NEVER
        self.load_failures: dict[str, int] = {}
        self.leaving = False

    def on_tick(self, now: float, utc: float) -> list[Effect]:
        """Do whatever is due in all parts."""
        effects = list(self.spread.on_tick(now))
        members = self.spread.everyone
        for cell, part in self.cells.items():
            candidate = self.name in find_candidates(members, cell)
            targets = self._targets_of(cell, part, now)
            effects.extend(
                part.on_tick(now, candidate=candidate, targets=targets)
            )
        quiet = frozenset(
            name for name, one in self.cells.items() if one.is_quiet()
        )
        effects.extend(self.relay.on_tick(now, members, quiet))
        for ledger in self.ledgers.values():
            effects.extend(ledger.on_tick(now))
        effects.extend(self.account.on_tick(now, utc))
        effects.extend(self._poll_loads(now))
        return effects

    def receive(self, received: Received, now: float) -> list[Effect]:
        """Take in a message from a peer or from the own entry."""
        return route_message(received.message, self, received.sender, now)

    def on_answer(self, answer: Answer, now: float) -> list[Effect]:
        """Take in an answer of the store or of an upstream."""
        if isinstance(answer, LoadAnswered):
            self._take_load(answer, now)
            return []
        effects = list(self.spread.on_answer(answer, now))
        for part in self.cells.values():
            effects.extend(part.on_answer(answer, now))
        for ledger in self.ledgers.values():
            effects.extend(ledger.on_answer(answer, now))
        effects.extend(self.account.on_answer(answer))
        return effects

    def start_leaving(self) -> None:
        """Give up leases and the voice; they are released at next ticks."""
        self.leaving = True
        self.spread.voice.leaving = True
        for part in self.cells.values():
            part.leaving = True

    def has_left(self) -> bool:
        """Tell if nothing is held any more."""
        held = any(part.holding or part.busy for part in self.cells.values())
        voice = self.spread.voice
        pending = bool(self.account.waiting or self.account.writing)
        return not (held or voice.holding or voice.busy or pending)

    def notes_in_force(self) -> NotesInForce | None:
        """Return the typed view of the records applied here."""
        folded = self.spread.follower.folded
        if folded.revision == 0:
            return None
        self.view = self.spread.follower.renew_view(self.view)
        return self.view

    def _make_cell(self, cell: str) -> CellPart:
        upstreams = [one for one in self.settings.upstreams if one.cell == cell]
        return CellPart(cell, self.me, upstreams, self.spread.absence)

    def is_own_entry(self, sender: str) -> bool:
        """Tell if a peer is the entry of this instance."""
        return sender == entry_of(self.name)

    def _targets_of(
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
            one.name for one in part.settings.values() if one.sort == 'engine'
        ]
        roles = {
            name: _role_to_be(part.record.upstreams[name])
            for name in engines
            if name in part.record.upstreams
        }
        planned = roles
        rule = notes.roles.get(cell)
        if rule is not None:
            planner = self.planners[cell]
            planner.observe(self._sum_demand(cell, len(roles), notes, now))
            planned = planner.plan(roles, rule, now)
        return {
            name: UpstreamTarget(role or MIXED, models)
            for name, role in planned.items()
        }

    def take_demand(
        self, report: DemandReport, sender: str, now: float
    ) -> None:
        """Take in what an entry's callers ask of a cell."""
        heard = HeardDemand(now, report.ranks)
        self.demand.setdefault(report.cell, {})[sender] = heard

    def _sum_demand(
        self, cell: str, engines: int, notes: NotesInForce, now: float
    ) -> Demand:
        by_rank: dict[str, Demand] = {}
        for heard in self.demand.get(cell, {}).values():
            if now - heard.at > DEMAND_AGE_SECONDS:
                continue
            for one in heard.ranks:
                known = by_rank.get(one.rank, Demand(0, 0))
                by_rank[one.rank] = Demand(
                    known.prefill_tokens_per_second
                    + one.prefill_tokens_per_second,
                    known.decode_tokens_per_second
                    + one.decode_tokens_per_second,
                )
        rates = self.planners[cell].rates
        return clip_demand(by_rank, notes.ranks.values(), engines, rates)

    def _poll_loads(self, now: float) -> list[Effect]:
        if now - self.polled_at < LOAD_POLL_SECONDS:
            return []
        self.polled_at = now
        return [
            AskLoad(name, setting.address)
            for part in self.cells.values()
            if part.holding
            for name, setting in part.settings.items()
        ]

    def _take_load(self, answer: LoadAnswered, now: float) -> None:
        if answer.load is None:
            failures = self.load_failures.get(answer.upstream, 0) + 1
            self.load_failures[answer.upstream] = failures
            if failures < LOAD_FAILURES_LIMIT:
                return
            load = UpstreamLoad(alive=False)
        else:
            self.load_failures[answer.upstream] = 0
            load = answer.load
        for part in self.cells.values():
            if answer.upstream in part.settings:
                part.record_load(answer.upstream, load, now, answer.models)


def _role_to_be(upstream: UpstreamRecord) -> str:
    return upstream.order.role if upstream.order else upstream.role


@singledispatch
def route_message(
    message: Any, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    """Give a message to the part that it is for; the spread by default."""
    return core.spread.receive(sender, message, now)


@route_message.register
def _(
    message: Subscribe, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    effects = core.spread.receive(sender, message, now)
    if core.is_own_entry(sender):
        effects.extend(core.relay.views_for_entry(sender))
    return effects


@route_message.register(Reserve)
@route_message.register(Settle)
def _(
    message: Reserve | Settle, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    partition = partition_of(message.key)
    owners = core.spread.everyone.rank_staying(f'ledger/{partition}')
    owner = owners[0] if owners else core.name
    if core.is_own_entry(sender) and owner != core.name:
        return [SendPeer(owner, message, sender)]
    return core.ledgers[partition].receive(sender, message, now)


@route_message.register
def _(
    message: RecordRanges, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    order = core.spread.everyone.order_domain(core.settings.me.domain)
    writer = order[0] if order else core.name
    if core.is_own_entry(sender) and writer != core.name:
        return [SendPeer(writer, message, sender)]
    return core.account.receive(sender, message)


@route_message.register
def _(
    message: SuspectCrash, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    own = entry_of(core.name)
    if sender != own:
        return [SendPeer(own, message, sender)]
    return [
        SendPeer(instance, message, sender)
        for instance in core.spread.everyone.staying
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
    return core.relay.receive(sender, message, now)


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
        core.take_demand(message, sender, now)
        return []
    if core.is_own_entry(sender):
        return core.relay.receive(sender, message, now)
    return []


@route_message.register
def _(
    message: PlanAck, core: StewardCore, sender: str, now: float
) -> list[Effect]:
    part = core.cells.get(message.cell)
    if part is not None and part.holds_lease(now):
        return part.receive(sender, message, now)
    if core.is_own_entry(sender):
        return core.relay.receive(sender, message, now)
    return []
