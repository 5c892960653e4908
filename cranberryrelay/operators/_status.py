"""What the platform's objects say of the state of the system."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.agreement import (
    CellRecord,
    decode_voice,
    find_accepted,
    load_notes,
)
from cranberryrelay.codes import Failure
from cranberryrelay.platform import ObjectApi


class VoiceStatus(NamedTuple):
    """The voice of a failure domain."""

    # The failure domain.
    domain: str

    # Instance that holds it; empty when released.
    holder: str

    # Highest revision confirmed.
    confirmed: int


class CellStatus(NamedTuple):
    """A cell, its holder and its upstreams."""

    # Name of the cell.
    cell: str

    # Instance that holds the lease; empty when released.
    holder: str

    # Fencing token.
    token: int

    # Former holders not known to have stopped.
    former: tuple[str, ...]

    # 'name role phase models' of each upstream.
    upstreams: tuple[str, ...]


class Status(NamedTuple):
    """The state of the system."""

    # Last revision recorded.
    recorded: int

    # Last revision that a majority of failure domains confirmed.
    accepted: int

    # Release notes in force, in their order.
    notes: tuple[str, ...]

    # The voices.
    voices: tuple[VoiceStatus, ...]

    # The cells.
    cells: tuple[CellStatus, ...]


async def read_status(
    api: ObjectApi, domain_count: int
) -> Result[Status, Failure]:
    """Read the state of the system; errors of the store pass through."""
    loaded = await load_notes(api)
    voices = await api.list_objects('voices/')
    cells = await api.list_objects('cells/')
    for outcome in (loaded, voices, cells):
        if outcome.is_err():
            return Err(outcome.unwrap_err())
    heard = [
        (stored.key, decode_voice(stored.body)) for stored in voices.unwrap()
    ]
    folded = loaded.unwrap().folded
    return Ok(
        Status(
            recorded=folded.revision,
            accepted=find_accepted(
                (record.confirmed for _, record in heard), domain_count
            ),
            notes=tuple(
                sorted(folded.notes, key=lambda one: folded.notes[one].place)
            ),
            voices=tuple(
                VoiceStatus(
                    key.rpartition('/')[2], record.holder, record.confirmed
                )
                for key, record in heard
            ),
            cells=tuple(
                _describe_cell(stored.key, stored.body)
                for stored in cells.unwrap()
            ),
        )
    )


def _describe_models(models: Mapping[str, str]) -> str:
    return ' '.join(f'{name}={models[name]}' for name in sorted(models))


def _describe_cell(key: str, body: bytes) -> CellStatus:
    record = msgspec.json.decode(body, type=CellRecord)
    upstreams = tuple(
        f'{name} {one.role} {one.phase} {_describe_models(one.models)}'
        for name, one in sorted(record.upstreams.items())
    )
    cell = key.rpartition('/')[2]
    return CellStatus(
        cell, record.holder, record.token, record.former, upstreams
    )
