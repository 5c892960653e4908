"""Tests of publishing with lost answers and concurrent operators."""

from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params
from result import Result
from trio.testing import MockClock

from cranberryrelay.agreement import (
    PublishOutcome,
    load_notes,
    record_revision,
)
from cranberryrelay.codes import Failure, ResultCode
from cranberryrelay.notes import NoteAction, NoteCommand
from cranberryrelay.standins import StoreStandIn
from cranberryrelay.testkit import make_command
from cranberryrelay.timing import open_timer_service

FIRST = make_command(NoteAction.PUBLISH, operation_id='first')


async def record(
    store: StoreStandIn, command: NoteCommand
) -> Result[PublishOutcome, Failure]:
    async with open_timer_service() as timers:
        return await record_revision(store, command, timers)


def run(work: Any, *arguments: Any) -> Any:
    """Run an async function on a clock that skips every wait."""
    return trio.run(work, *arguments, clock=MockClock(autojump_threshold=0))


class PublisherTest(TestCase):
    """Tests of the outcome of a command and of the recorded history."""

    @params(0, 1, 2, 3)
    def test_write_is_resolved_after_lost_answers(
        self, lost_answers: int
    ) -> None:
        store = StoreStandIn()
        run(record, store, FIRST)
        store.switch_faults({'lost_answers': lost_answers})
        second = make_command(
            NoteAction.AMEND, version='2', operation_id='second'
        )
        published = run(record, store, second).unwrap()
        self.assertEqual(published.record.revision, 2)
        self.assertEqual(published.record.operation_id, 'second')

    def test_operation_is_idempotent(self) -> None:
        store = StoreStandIn()
        run(record, store, FIRST)
        again = run(record, store, FIRST).unwrap()
        self.assertEqual(again.record.revision, 1)
        self.assertEqual(again.changes, ())

    def test_concurrent_operators_conflict(self) -> None:
        store = StoreStandIn()
        run(record, store, FIRST)
        outcomes = run(amend_concurrently, store)
        winners = [outcome for outcome in outcomes if outcome.is_ok()]
        losers = [
            outcome.unwrap_err() for outcome in outcomes if outcome.is_err()
        ]
        self.assertEqual(len(winners), 1)
        self.assertIs(losers[0].code, ResultCode.NOTE_CONFLICT)
        self.assertIn('tester wrote revision 2', losers[0].detail)

    def test_history_of_many_revisions_is_loaded(self) -> None:
        store = StoreStandIn()
        run(record, store, FIRST)
        for number in range(2, 70):
            command = make_command(
                NoteAction.AMEND,
                version=str(number),
                operation_id=f'operation-{number}',
            )
            run(record, store, command).unwrap()
        loaded = run(load_notes, store).unwrap()
        self.assertEqual(loaded.folded.revision, 69)
        self.assertEqual(
            loaded.folded.records['models.digest']['version'], '69'
        )


async def amend_concurrently(
    store: StoreStandIn,
) -> list[Result[PublishOutcome, Failure]]:
    """Amend a release note in two tasks at the same time."""
    outcomes: list[Result[PublishOutcome, Failure]] = []

    async def amend(name: str) -> None:
        command = make_command(
            NoteAction.AMEND, version=name, operation_id=name
        )
        outcomes.append(await record(store, command))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(amend, 'one')
        nursery.start_soon(amend, 'two')
    return outcomes
