"""Fixtures for tests and measurements: settings of sites, and notes."""

from cranberryrelay.agreement import UpstreamSetting
from cranberryrelay.notes import (
    NoteAction,
    NoteCommand,
    NoteContent,
    parse_release_note,
)
from cranberryrelay.platform import ListedInstance
from cranberryrelay.settings import DEFAULT_ENGINE_SLOTS, Settings
from cranberryrelay.wire import CurveKeys

FIRST_PEER_PORT = 7000
FIRST_ENGINE_PORT = 9000
NOTE_HEAD_TEMPLATE = 'note = "{name}"\nsummary = "{summary}"\n'
NOTE_BODY_TEMPLATE = """
[set.models.digest]
cell = "newsroom"
version = "{version}"
[set.ranks.urgent]
level = 1
floor = 0.5
[set.ranks.planned]
level = 2
floor = 0.3
[set.ranks.overnight]
level = 3
floor = 0.1
[set.kinds.teaser]
model = "digest"
rank = "urgent"
[set.kinds.overnight-digest]
model = "digest"
rank = "overnight"
"""


def make_instance_settings(
    instances: int, domains: int = 4, engines: int = 4
) -> list[Settings]:
    """Make the settings of each instance of a site.

    Instances and engines are spread evenly over the failure domains; every
    second engine, beginning with the first, checks fencing tokens.
    """
    names = tuple(f'domain-{number + 1}' for number in range(domains))
    peers = tuple(
        ListedInstance(
            f'instance-{number + 1}',
            names[number % domains],
            f'127.0.0.1:{FIRST_PEER_PORT + number}',
        )
        for number in range(instances)
    )
    upstreams = tuple(
        UpstreamSetting(
            name=f'engine-{number + 1}',
            sort='engine',
            cell='newsroom',
            address=f'127.0.0.1:{FIRST_ENGINE_PORT + number}',
            domain=names[number % domains],
            checks_fencing=number % 2 == 0,
        )
        for number in range(engines)
    )
    return [
        Settings(
            own_instance=peer,
            platform='',
            entry_address='',
            steward_metrics_address='',
            domains=names,
            peers=peers,
            upstreams=upstreams,
            keys=CurveKeys(),
            engine_slots=DEFAULT_ENGINE_SLOTS,
        )
        for peer in peers
    ]


def make_content(
    name: str = 'newsroom', version: str = '1', summary: str = ''
) -> NoteContent:
    """Make the content of a small release note."""
    text = NOTE_HEAD_TEMPLATE.format(name=name, summary=summary)
    body = NOTE_BODY_TEMPLATE.format(version=version)
    return parse_release_note(text + body).unwrap()


def make_command(
    action: NoteAction,
    name: str = 'newsroom',
    version: str = '1',
    operation_id: str = 'operation',
) -> NoteCommand:
    """Make an operator's command for a small release note."""
    content = make_content(name, version)
    if action is NoteAction.WITHDRAW:
        return NoteCommand(action, name, None, operation_id, 'tester', 0)
    return NoteCommand(action, name, content, operation_id, 'tester', 0)
