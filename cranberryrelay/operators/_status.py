"""Reads the state of the system from the objects of the platform."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberryrelay.agreement import (
    CellRecord,
    decode_vote,
    find_accepted_revision,
    load_notes,
)
from cranberryrelay.codes import Failure
from cranberryrelay.platform import ObjectApi


class VoiceStatus(NamedTuple):
    """The voice of a failure domain: the instance that confirms revisions."""

    # Name of the failure domain.
    domain: str

    # Instance that holds the voice; empty if it is released.
    holder: str

    # Highest revision confirmed for the failure domain.
    confirmed: int


class CellStatus(NamedTuple):
    """A cell, the holder of its lease and its upstreams."""

    # Name of the cell.
    cell: str

    # Instance that holds the lease; empty if it is released.
    holder: str

    # Fencing token of the lease.
    token: int

    # Former holders of the lease that are not known to have stopped.
    former: tuple[str, ...]

    # One text per upstream: name, role, phase and 'model=version' per model.
    upstreams: tuple[str, ...]


class Status(NamedTuple):
    """The state of the system."""

    # Last revision recorded.
    recorded: int

    # Last revision confirmed by a majority of the failure domains.
    accepted: int

    # Names of the release notes in force, the first published first.
    notes: tuple[str, ...]

    # Voices of the failure domains.
    voices: tuple[VoiceStatus, ...]

    # Cells and their upstreams.
    cells: tuple[CellStatus, ...]


async def read_status(
    api: ObjectApi, domain_count: int
) -> Result[Status, Failure]:
    """Read the state of the system.

    Errors: those of the store.
    """
    loaded = await load_notes(api)
    voices = await api.list_objects('voices/')
    cells = await api.list_objects('cells/')
    for outcome in (loaded, voices, cells):
        if outcome.is_err():
            return Err(outcome.unwrap_err())
    confirmations = [
        (stored.key, decode_vote(stored.body)) for stored in voices.unwrap()
    ]
    folded = loaded.unwrap().folded
    return Ok(
        Status(
            recorded=folded.revision,
            accepted=find_accepted_revision(
                (record.confirmed for _, record in confirmations), domain_count
            ),
            notes=tuple(
                sorted(
                    folded.notes,
                    key=lambda name: folded.notes[name].first_revision,
                )
            ),
            voices=tuple(
                VoiceStatus(
                    key.rpartition('/')[2], record.holder, record.confirmed
                )
                for key, record in confirmations
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
        f'{name} {upstream.role} {upstream.phase} '
        f'{_describe_models(upstream.models)}'
        for name, upstream in sorted(record.upstreams.items())
    )
    cell = key.rpartition('/')[2]
    return CellStatus(
        cell, record.holder, record.token, record.former_holders, upstreams
    )
