"""Traces: what happened to a site, replayed against stated outcomes.

A trace is a file of JSON lines.  The first names the promise and the site;
each of the others does one thing to the site or states what must hold.
The real decision modules run, so a trace that was recorded once tells at
each replay whether its outcome still holds.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec

from cranberryrelay.agreement import Outcome, Phase, Verdict
from cranberryrelay.entry import Ask, Book, CloseBooking, Reply
from cranberryrelay.notes import NoteAction
from cranberryrelay.testkit._invariants import (
    find_conflicting_orders,
    find_cut_work,
    find_double_holders,
    find_stale_admissions,
)
from cranberryrelay.testkit._local_network import Instance, LocalNetwork
from cranberryrelay.testkit._sites import make_command, make_sites

TRACE_FOLDER: Final = Path('traces')
CELL: Final = 'newsroom'


class TraceMismatchError(AssertionError):
    """A replay did not have the stated outcome."""


class Trace(NamedTuple):
    """A trace as its file has it."""

    # Name of the file, without its ending.
    name: str

    # Promise that it shows.
    promise: str

    # Instances and failure domains of the site.
    instances: int
    domains: int

    # What is done and stated, in order.
    lines: list[dict[str, Any]]


def load_traces() -> list[Trace]:
    """Load all traces."""
    return [load_trace(path) for path in sorted(TRACE_FOLDER.glob('*.jsonl'))]


def load_trace(path: Path) -> Trace:
    """Load one trace."""
    texts = path.read_text().splitlines()
    head, *lines = [msgspec.json.decode(text) for text in texts if text]
    return Trace(
        path.stem, head['promise'], head['instances'], head['domains'], lines
    )


class PlacedCall(NamedTuple):
    """A call that an entry asked to book."""

    # Instance of the entry.
    instance: str

    # The booking asked for.
    book: Book

    # Line of the trace.
    line: Mapping[str, Any]


class Replay:
    """Replays one trace."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        sites = make_sites(trace.instances, trace.domains)
        self.network = LocalNetwork(sites, seed=1)
        self.version = 0
        self.names: dict[str, str] = {}
        self.asked = 0
        self.calls: dict[int, PlacedCall] = {}
        self.runs: Counter[str] = Counter()
        self.verdicts: list[str] = []

    def run(self) -> None:
        """Do all lines; raises ``TraceMismatchError`` with the line."""
        for number, line in enumerate(self.trace.lines, start=2):
            verb = line['do']
            ACTIONS[verb](self, line)
            self.check(f'{self.trace.name}:{number} {verb}')

    def check(self, where: str) -> None:
        """Check what must hold at any time."""
        faults = [
            *find_stale_admissions(self.network),
            *find_double_holders(self.network),
            *find_cut_work(self.network),
        ]
        for engine in self.network.engines.values():
            faults.extend(find_conflicting_orders(engine))
        if faults:
            raise TraceMismatchError(f'{where}: {faults}')

    def resolve(self, name: str) -> str:
        """Return the instance that a name in the trace stands for."""
        if name == 'holder':
            return self.find_holder()
        return self.names.get(name, name)

    def find_holder(self) -> str:
        """Return the instance that holds the cell."""
        for name, instance in self.network.instances.items():
            cell = instance.steward.cells[CELL]
            if cell.holding and not instance.paused:
                return name
        raise TraceMismatchError('nobody holds the cell')


def do_run(replay: Replay, line: Mapping[str, Any]) -> None:
    """Let time pass; checks after every step."""
    for _ in range(round(line['seconds'] * 10)):
        replay.network.step()
        replay.check(f'{replay.trace.name} at {replay.network.now}')


def do_note(replay: Replay, line: Mapping[str, Any]) -> None:
    """Publish the note, or amend it with the next version."""
    replay.version += 1
    first = replay.version == 1
    action = NoteAction.PUBLISH if first else NoteAction.AMEND
    command = make_command(action, version=str(replay.version))
    published = replay.network.publish(command)
    if published.is_err():
        raise TraceMismatchError(published.unwrap_err().detail)


def do_name(replay: Replay, line: Mapping[str, Any]) -> None:
    """Remember an instance under another name."""
    replay.names[line['as']] = replay.resolve(line['instance'])


def do_pause(replay: Replay, line: Mapping[str, Any]) -> None:
    """Pause an instance, or let it go on."""
    name = replay.resolve(line['instance'])
    replay.network.instances[name].paused = line.get('on', True)


def do_kill(replay: Replay, line: Mapping[str, Any]) -> None:
    """Kill an instance; the list may keep it."""
    name = replay.resolve(line['instance'])
    replay.network.kill(name, listed=line.get('listed', True))


def do_start(replay: Replay, line: Mapping[str, Any]) -> None:
    """Start an instance again."""
    replay.network.start(replay.resolve(line['instance']))


def do_leave(replay: Replay, line: Mapping[str, Any]) -> None:
    """Ask an instance to stop gracefully."""
    name = replay.resolve(line['instance'])
    replay.network.instances[name].steward.start_leaving()


def do_cut(replay: Replay, line: Mapping[str, Any]) -> None:
    """Cut instances off from the store, or put them on another side."""
    network = replay.network
    network.store_cut = {replay.resolve(one) for one in line.get('store', [])}
    network.side = {replay.resolve(one) for one in line.get('side', [])}


def do_store(replay: Replay, line: Mapping[str, Any]) -> None:
    """Switch faults of the store."""
    replay.network.store.switch_faults(line['faults'])


def do_delay_orders(replay: Replay, line: Mapping[str, Any]) -> None:
    """Delay the orders of an instance, or let them arrive."""
    named = line.get('instance')
    replay.network.delay_orders_of = set()
    if named is None:
        replay.network.release_orders()
    else:
        replay.network.delay_orders_of = {replay.resolve(named)}


def do_work(replay: Replay, line: Mapping[str, Any]) -> None:
    """Begin or end work of an entry on an engine."""
    name = replay.resolve(line['instance'])
    change = line['change']
    replay.network.engines[line['engine']].running += change
    entry = replay.network.instances[name].entry
    entry.slots.count_in_flight(line['engine'], change)


def do_list(replay: Replay, line: Mapping[str, Any]) -> None:
    """Show an upstream as leaving on the platform's list."""
    network = replay.network
    listed = next(iter(network.all_settings.values())).me
    network.store.instances[line['upstream']] = listed._replace(
        instance=line['upstream'], sort='engine', leaving=line['leaving']
    )


def do_call(replay: Replay, line: Mapping[str, Any]) -> None:
    """Ask an entry to book a call; it runs once it is told to."""
    name = replay.resolve(line['instance'])
    instance = replay.network.instances[name]
    replay.asked += 1
    exchange = f'exchange-{replay.asked}'
    book = Book(line['key'], line['body'], exchange)
    asked = instance.entry.ask(
        Ask(replay.asked, book), replay.network.now, replay.network.now
    )
    replay.calls[replay.asked] = PlacedCall(name, book, line)
    replay.network.carry(instance, asked, by_entry=True)


def do_dispatch(replay: Replay, line: Mapping[str, Any]) -> None:
    """Let entries act on the ledger's verdicts."""
    for instance in tuple(replay.network.instances.values()):
        replies = instance.replies
        instance.replies = []
        for reply in replies:
            take_verdict(replay, instance, reply)


def take_verdict(replay: Replay, instance: Instance, reply: Reply) -> None:
    """Run a booked call and settle it, unless its entry is to crash."""
    call = replay.calls.pop(reply.number, None)
    if call is None:
        return
    if reply.outcome.is_err():
        replay.verdicts.append('refused')
        return
    verdict = reply.outcome.unwrap().verdict
    replay.verdicts.append(str(verdict))
    if verdict is not Verdict.RUN:
        return
    replay.runs[call.book.key] += 1
    if call.line.get('crash'):
        replay.network.kill(call.instance)
        return
    outcome = Outcome(HTTPStatus.OK, 'text/plain', b'done')
    closing = CloseBooking(call.book.key, call.book.exchange, outcome)
    asked = instance.entry.ask(
        Ask(0, closing), replay.network.now, replay.network.now
    )
    replay.network.carry(instance, asked, by_entry=True)


def expect_runs(replay: Replay, line: Mapping[str, Any]) -> None:
    """State how often a call ran, and what its callers were told."""
    runs = replay.runs[line['key']]
    told = sorted(replay.verdicts)
    if runs != line['runs'] or told != sorted(line['told']):
        raise TraceMismatchError(f'{line} but {runs} runs, told {told}')


def expect_admits(replay: Replay, line: Mapping[str, Any]) -> None:
    """State the revision that instances admit under; 0 for none."""
    admitted = {
        name: replay.network.admits(name)
        for name in map(replay.resolve, line['instances'])
    }
    if set(admitted.values()) != {line['revision']}:
        raise TraceMismatchError(f'{line} but {admitted}')


def expect_accepted(replay: Replay, line: Mapping[str, Any]) -> None:
    """State the accepted revision."""
    accepted = replay.network.accepted()
    if accepted != line['revision']:
        raise TraceMismatchError(f'{line} but {accepted}')


def expect_versions(replay: Replay, line: Mapping[str, Any]) -> None:
    """State the versions that the engines have loaded."""
    versions = [
        engine.models.get('digest', '')
        for engine in replay.network.engines.values()
    ]
    if versions != line['versions']:
        raise TraceMismatchError(f'{line} but {versions}')


def expect_takes_work(replay: Replay, line: Mapping[str, Any]) -> None:
    """State whether entries may send new work to an upstream."""
    for name, instance in replay.network.instances.items():
        serving = {
            one.name for one in instance.entry.slots.find_upstreams(CELL)
        }
        if (line['upstream'] in serving) != line['takes']:
            raise TraceMismatchError(f'{line} but not so at {name}')


def expect_phase(replay: Replay, line: Mapping[str, Any]) -> None:
    """State the phase of an upstream in the holder's record."""
    holder = replay.network.instances[replay.find_holder()]
    record = holder.steward.cells[CELL].record
    phase = record.upstreams[line['upstream']].phase if record else None
    if phase is not Phase(line['phase']):
        raise TraceMismatchError(f'{line} but {phase}')


def expect_delayed(replay: Replay, line: Mapping[str, Any]) -> None:
    """State to which engine an order is delayed."""
    engines = {one.order.engine for one in replay.network.delayed_orders}
    if engines != {line['engine']}:
        raise TraceMismatchError(f'{line} but {engines}')


def expect_left(replay: Replay, line: Mapping[str, Any]) -> None:
    """State that an instance holds nothing any more."""
    name = replay.resolve(line['instance'])
    if not replay.network.instances[name].steward.has_left():
        raise TraceMismatchError(f'{name} still holds something')


LineAction = Callable[[Replay, Mapping[str, Any]], None]
ACTIONS: Final[Mapping[str, LineAction]] = MappingProxyType(
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
