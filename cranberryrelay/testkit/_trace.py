"""Replay of recorded traces against their expected outcomes.

A trace is a file of JSON lines.  The first line describes the guarantee and
the site; each other line is a step, which acts on the simulated site or
states an expectation.  The real decision modules run, so each replay checks
that the expectations of a recorded trace still hold.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec

from cranberryrelay.agreement import Outcome, UpstreamPhase, Verdict
from cranberryrelay.entry import (
    CommandEnvelope,
    CommandReply,
    ReserveCall,
    SettleReservation,
)
from cranberryrelay.notes import NoteAction
from cranberryrelay.testkit._invariants import (
    find_conflicting_orders,
    find_duplicate_lease_holders,
    find_interrupted_work,
    find_stale_admissions,
)
from cranberryrelay.testkit._local_network import Instance, SimulatedNetwork
from cranberryrelay.testkit._sites import make_command, make_instance_settings

TRACE_FOLDER: Final = Path('traces')
CELL: Final = 'newsroom'


class TraceMismatchError(AssertionError):
    """A replay violated an invariant or an expectation of its trace."""


class Trace(NamedTuple):
    """The content of a trace file."""

    # Name of the file, without its suffix.
    name: str

    # The guarantee that the trace exercises.
    promise: str

    # Numbers of instances and of failure domains of the site.
    instances: int
    domains: int

    # The steps, in order; the key 'do' names the action.
    lines: list[dict[str, Any]]


def load_traces() -> list[Trace]:
    """Load all traces, ordered by file name."""
    return [load_trace(path) for path in sorted(TRACE_FOLDER.glob('*.jsonl'))]


def load_trace(path: Path) -> Trace:
    """Load one trace."""
    texts = path.read_text().splitlines()
    head, *lines = [msgspec.json.decode(text) for text in texts if text]
    return Trace(
        path.stem, head['promise'], head['instances'], head['domains'], lines
    )


class PendingCall(NamedTuple):
    """A call whose booking an entry has requested."""

    # Name of the entry's instance.
    instance: str

    # The requested booking.
    booking: ReserveCall

    # The step of the trace that made the call.
    line: Mapping[str, Any]


class Replay:
    """Replays one trace."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        sites = make_instance_settings(trace.instances, trace.domains)
        self.network = SimulatedNetwork(sites, seed=1)
        self.version = 0
        self.aliases: dict[str, str] = {}
        self.request_count = 0
        self.calls: dict[int, PendingCall] = {}
        self.runs: Counter[str] = Counter()
        self.verdicts: list[str] = []

    def run(self) -> None:
        """Run all steps; raises ``TraceMismatchError`` with the line number."""
        for number, line in enumerate(self.trace.lines, start=2):
            step_name = line['do']
            ACTIONS[step_name](self, line)
            self.check_invariants(f'{self.trace.name}:{number} {step_name}')

    def check_invariants(self, where: str) -> None:
        """Check the invariants; raises ``TraceMismatchError`` on violations."""
        violations = [
            *find_stale_admissions(self.network),
            *find_duplicate_lease_holders(self.network),
            *find_interrupted_work(self.network),
        ]
        for engine in self.network.engines.values():
            violations.extend(find_conflicting_orders(engine))
        if violations:
            raise TraceMismatchError(f'{where}: {violations}')

    def resolve_instance(self, name: str) -> str:
        """Return the instance that a name or alias in the trace refers to."""
        if name == 'holder':
            return self.find_holder()
        return self.aliases.get(name, name)

    def find_holder(self) -> str:
        """Return the instance that holds the lease of the cell."""
        for name, instance in self.network.instances.items():
            cell = instance.steward.cells[CELL]
            if cell.holding and not instance.paused:
                return name
        raise TraceMismatchError(
            'no running instance holds the lease of the cell'
        )


def do_run(replay: Replay, line: Mapping[str, Any]) -> None:
    """Advance virtual time; checks the invariants after every time step."""
    for _ in range(round(line['seconds'] * 10)):
        replay.network.step()
        replay.check_invariants(f'{replay.trace.name} at {replay.network.now}')


def do_note(replay: Replay, line: Mapping[str, Any]) -> None:
    """Publish the release note, or amend it with the next version."""
    replay.version += 1
    first = replay.version == 1
    action = NoteAction.PUBLISH if first else NoteAction.AMEND
    command = make_command(action, version=str(replay.version))
    published = replay.network.publish(command)
    if published.is_err():
        raise TraceMismatchError(published.unwrap_err().detail)


def do_name(replay: Replay, line: Mapping[str, Any]) -> None:
    """Give an instance an alias for later steps."""
    replay.aliases[line['as']] = replay.resolve_instance(line['instance'])


def do_pause(replay: Replay, line: Mapping[str, Any]) -> None:
    """Pause or resume an instance."""
    name = replay.resolve_instance(line['instance'])
    replay.network.instances[name].paused = line.get('on', True)


def do_kill(replay: Replay, line: Mapping[str, Any]) -> None:
    """Kill an instance; it may stay on the platform's list."""
    name = replay.resolve_instance(line['instance'])
    replay.network.kill(name, listed=line.get('listed', True))


def do_start(replay: Replay, line: Mapping[str, Any]) -> None:
    """Restart an instance."""
    replay.network.start(replay.resolve_instance(line['instance']))


def do_leave(replay: Replay, line: Mapping[str, Any]) -> None:
    """Start the graceful shutdown of an instance."""
    name = replay.resolve_instance(line['instance'])
    replay.network.instances[name].steward.start_leaving()


def do_cut(replay: Replay, line: Mapping[str, Any]) -> None:
    """Cut instances off from the store, or partition them from the others."""
    network = replay.network
    network.isolated_from_store = {
        replay.resolve_instance(one) for one in line.get('store', [])
    }
    network.partition = {
        replay.resolve_instance(one) for one in line.get('side', [])
    }


def do_store(replay: Replay, line: Mapping[str, Any]) -> None:
    """Inject or clear faults of the store."""
    replay.network.store.switch_faults(line['faults'])


def do_delay_orders(replay: Replay, line: Mapping[str, Any]) -> None:
    """Delay the orders of an instance, or deliver the delayed ones."""
    instance_name = line.get('instance')
    replay.network.delayed_senders = set()
    if instance_name is None:
        replay.network.release_orders()
    else:
        replay.network.delayed_senders = {
            replay.resolve_instance(instance_name)
        }


def do_work(replay: Replay, line: Mapping[str, Any]) -> None:
    """Change the number of requests that an entry runs on an engine."""
    name = replay.resolve_instance(line['instance'])
    change = line['change']
    replay.network.engines[line['engine']].running += change
    entry = replay.network.instances[name].entry
    entry.slots.change_in_flight(line['engine'], change)


def do_list(replay: Replay, line: Mapping[str, Any]) -> None:
    """Set whether the platform's list shows an upstream as leaving."""
    network = replay.network
    listed = next(iter(network.all_settings.values())).own_instance
    network.store.instances[line['upstream']] = listed._replace(
        instance=line['upstream'], sort='engine', leaving=line['leaving']
    )


def do_call(replay: Replay, line: Mapping[str, Any]) -> None:
    """Request the booking of a call, which runs after the RUN verdict."""
    name = replay.resolve_instance(line['instance'])
    instance = replay.network.instances[name]
    replay.request_count += 1
    exchange = f'exchange-{replay.request_count}'
    booking = ReserveCall(line['key'], line['body'], exchange)
    effects = instance.entry.ask(
        CommandEnvelope(replay.request_count, booking),
        replay.network.now,
        replay.network.now,
    )
    replay.calls[replay.request_count] = PendingCall(name, booking, line)
    replay.network.perform(instance, effects, by_entry=True)


def do_dispatch(replay: Replay, line: Mapping[str, Any]) -> None:
    """Let the entries act on the ledger's verdicts that have arrived."""
    for instance in tuple(replay.network.instances.values()):
        replies = instance.replies
        instance.replies = []
        for reply in replies:
            apply_verdict(replay, instance, reply)


def apply_verdict(
    replay: Replay, instance: Instance, reply: CommandReply
) -> None:
    """Run a booked call and close its booking, or crash after the run."""
    call = replay.calls.pop(reply.command_id, None)
    if call is None:
        return
    if reply.result.is_err():
        replay.verdicts.append('refused')
        return
    verdict = reply.result.unwrap().verdict
    replay.verdicts.append(str(verdict))
    if verdict is not Verdict.RUN:
        return
    replay.runs[call.booking.key_digest] += 1
    if call.line.get('crash'):
        replay.network.kill(call.instance)
        return
    outcome = Outcome(HTTPStatus.OK, 'text/plain', b'done')
    completion = SettleReservation(
        call.booking.key_digest, call.booking.attempt_id, outcome
    )
    effects = instance.entry.ask(
        CommandEnvelope(0, completion), replay.network.now, replay.network.now
    )
    replay.network.perform(instance, effects, by_entry=True)


def expect_runs(replay: Replay, line: Mapping[str, Any]) -> None:
    """Check how often a call ran, and the verdicts that its callers got."""
    runs = replay.runs[line['key']]
    verdicts = sorted(replay.verdicts)
    if runs != line['runs'] or verdicts != sorted(line['told']):
        raise TraceMismatchError(
            f'{line}: got {runs} runs and verdicts {verdicts}'
        )


def expect_admits(replay: Replay, line: Mapping[str, Any]) -> None:
    """Check the revision that instances admit work under; 0 for none."""
    admitted = {
        name: replay.network.get_admitted_revision(name)
        for name in map(replay.resolve_instance, line['instances'])
    }
    if set(admitted.values()) != {line['revision']}:
        raise TraceMismatchError(f'{line}: got {admitted}')


def expect_accepted(replay: Replay, line: Mapping[str, Any]) -> None:
    """Check the accepted revision."""
    accepted = replay.network.accepted_revision()
    if accepted != line['revision']:
        raise TraceMismatchError(f'{line}: got {accepted}')


def expect_versions(replay: Replay, line: Mapping[str, Any]) -> None:
    """Check the model versions that the engines have loaded."""
    versions = [
        engine.models.get('digest', '')
        for engine in replay.network.engines.values()
    ]
    if versions != line['versions']:
        raise TraceMismatchError(f'{line}: got {versions}')


def expect_takes_work(replay: Replay, line: Mapping[str, Any]) -> None:
    """Check whether entries may send new work to an upstream."""
    for name, instance in replay.network.instances.items():
        serving = {
            one.name
            for one in instance.entry.slots.find_serving_upstreams(CELL)
        }
        if (line['upstream'] in serving) != line['takes']:
            raise TraceMismatchError(f'{line}: does not hold at {name}')


def expect_phase(replay: Replay, line: Mapping[str, Any]) -> None:
    """Check the phase of an upstream in the lease holder's record."""
    holder = replay.network.instances[replay.find_holder()]
    record = holder.steward.cells[CELL].record
    phase = record.upstreams[line['upstream']].phase if record else None
    if phase is not UpstreamPhase(line['phase']):
        raise TraceMismatchError(f'{line}: got {phase}')


def expect_delayed(replay: Replay, line: Mapping[str, Any]) -> None:
    """Check to which engine orders are delayed."""
    engines = {one.order.engine for one in replay.network.delayed_orders}
    if engines != {line['engine']}:
        raise TraceMismatchError(f'{line}: got {engines}')


def expect_left(replay: Replay, line: Mapping[str, Any]) -> None:
    """Check that an instance has completed its graceful shutdown."""
    name = replay.resolve_instance(line['instance'])
    if not replay.network.instances[name].steward.has_released_all():
        raise TraceMismatchError(
            f'{name} has not completed its graceful shutdown'
        )


StepFunction = Callable[[Replay, Mapping[str, Any]], None]
ACTIONS: Final[Mapping[str, StepFunction]] = MappingProxyType(
    {
        'run': do_run,
        'note': do_note,
        'name': do_name,
        'pause': do_pause,
        'kill': do_kill,
        'start': do_start,
        'leave': do_leave,
        'cut': do_cut,
        'store': do_store,
        'delay-orders': do_delay_orders,
        'work': do_work,
        'list': do_list,
        'call': do_call,
        'dispatch': do_dispatch,
        'expect-runs': expect_runs,
        'expect-admits': expect_admits,
        'expect-accepted': expect_accepted,
        'expect-versions': expect_versions,
        'expect-takes-work': expect_takes_work,
        'expect-phase': expect_phase,
        'expect-delayed': expect_delayed,
        'expect-left': expect_left,
    }
)
