"""Tests of the account: completeness, tamper detection, explanations."""

from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params

from cranberryrelay.agreement import (
    AccountSegmentWriter,
    RangeBuilder,
    RangesSaved,
    ReadDone,
    RecordRanges,
    RequestId,
    SendPeer,
    StoreRead,
    StoreWrite,
    WriteDone,
    decode_segment,
    format_request_id,
    parse_request_id,
    segment_key,
)
from cranberryrelay.codes import ResultCode
from cranberryrelay.notes import NoteAction
from cranberryrelay.operators import explain_request, verify_account
from cranberryrelay.platform import StoredObject
from cranberryrelay.standins import StoreStandIn
from cranberryrelay.testkit import (
    SimulatedNetwork,
    make_command,
    make_instance_settings,
)

DOMAIN = 'domain-1'


class AccountHarness:
    """Runs an account writer with a store and the ranges of one entry."""

    def __init__(self, store: StoreStandIn | None = None) -> None:
        self.store = store or StoreStandIn()
        self.writer = AccountSegmentWriter(DOMAIN, 'writer')
        self.ranges = RangeBuilder('instance-1.abc')
        self.now = 0.0
        self.pending_calls: list[Any] = []

    def admit(self, revision: int, count: int = 1) -> list[str]:
        request_ids = []
        for _ in range(count):
            sequence = self.ranges.assign_number(revision, self.now)
            request_id = RequestId(
                DOMAIN, self.ranges.entry, self.now, sequence
            )
            request_ids.append(format_request_id(request_id))
        return request_ids

    def run(self, steps: int = 10) -> None:
        for _ in range(steps):
            self.now += 1
            report = self.ranges.make_report()
            if report is not None:
                self.writer.receive('entry', report)
            self.execute(self.writer.on_tick(self.now, self.now))
            while self.pending_calls:
                answer = self.call_store(self.pending_calls.pop(0))
                self.execute(self.writer.on_answer(answer))

    def execute(self, effects: Any) -> None:
        for effect in effects:
            if isinstance(effect, SendPeer):
                if isinstance(effect.message, RangesSaved):
                    self.ranges.acknowledge_report(effect.message.report)
            else:
                self.pending_calls.append(effect)

    def call_store(self, call: Any) -> Any:
        if isinstance(call, StoreRead):
            return ReadDone(call, self.now, self.store.read_now(call.key))
        assert isinstance(call, StoreWrite)
        written = self.store.write_now(
            call.key, call.body, call.expected_version
        )
        return WriteDone(call, self.now, written)

    def saved_numbers(self) -> set[int]:
        numbers: set[int] = set()
        for key in self.store.versions_by_key:
            if key.startswith('account/'):
                segment = decode_segment(
                    self.store.versions_by_key[key][-1].body
                )
                for saved in segment.ranges:
                    numbers.update(range(saved.first, saved.last + 1))
        return numbers


class AccountTest(TestCase):
    """Tests that all ranges are saved and that tampering is detected."""

    @params(
        ('no fault', {}),
        ('answers lost', {'lost_answers': 2}),
        ('store unavailable at first', {'outage': True}),
    )
    def test_every_request_is_in_the_account(
        self, name: str, faults: dict[str, Any]
    ) -> None:
        harness = AccountHarness()
        harness.store.switch_faults(faults)
        for revision in (1, 1, 2, 3):
            harness.admit(revision, 5)
            harness.run(3)
        harness.store.switch_faults({'outage': False})
        harness.run(10)
        self.assertEqual(harness.saved_numbers(), set(range(1, 21)), name)
        self.assertEqual(harness.ranges.unsaved, [])
        verified = trio.run(verify_account, harness.store, DOMAIN)
        self.assertTrue(verified.is_ok(), name)

    def test_next_writer_continues_chain(self) -> None:
        harness = AccountHarness()
        for _ in range(13):
            harness.admit(1)
            harness.run(2)
        successor = AccountHarness(harness.store)
        successor.writer.incarnation = 'next'
        successor.admit(1)
        successor.run(20)
        segments = trio.run(verify_account, harness.store, DOMAIN)
        self.assertEqual(segments.unwrap(), 14)

    def test_unsaved_requests_are_merged_into_one_range(self) -> None:
        harness = AccountHarness()
        harness.admit(1, 100_000)
        report = harness.ranges.make_report()
        assert isinstance(report, RecordRanges)
        self.assertEqual(len(report.ranges), 1)

    @params('change', 'removal')
    def test_tampering_is_detected(self, tampering: str) -> None:
        harness = AccountHarness()
        for _ in range(6):
            harness.admit(1)
            harness.run(2)
        key = segment_key(DOMAIN, 3)
        if tampering == 'removal':
            harness.store.versions_by_key.pop(key)
        else:
            stored = harness.store.versions_by_key[key][-1]
            body = stored.body.replace(b',1,0.0', b',2,0.0')
            body = body.replace(b'instance-1', b'instance-2')
            harness.store.versions_by_key[key] = [StoredObject(key, 1, body)]
        verified = trio.run(verify_account, harness.store, DOMAIN)
        if tampering == 'removal':
            self.assertNotEqual(verified.unwrap_or(0), 6)
        else:
            self.assertIs(verified.unwrap_err().code, ResultCode.ACCOUNT_GAP)

    @params('', 'a~b~c', 'a~b~zz~1', 'a~b~1~zz')
    def test_malformed_ids_are_rejected(self, text: str) -> None:
        failure = parse_request_id(text).unwrap_err()
        self.assertIs(failure.code, ResultCode.REQUEST_ID_UNKNOWN)


class ExplainTest(TestCase):
    """Tests of explanations, which are read from the platform only."""

    def explain(self, store: StoreStandIn, request_id: str) -> Any:
        return trio.run(explain_request, store, request_id)

    def make_history(self) -> StoreStandIn:
        network = SimulatedNetwork(make_instance_settings(3, 3))
        network.run(1)
        for number in range(1, 4):
            action = NoteAction.PUBLISH if number == 1 else NoteAction.AMEND
            command = make_command(action, version=str(number))
            network.publish(command._replace(written_at=number * 100.0))
        return network.store

    def test_saved_request_is_explained_exactly(self) -> None:
        harness = AccountHarness(self.make_history())
        revisions: dict[str, int] = {}
        for revision in (1, 2, 3):
            for request_id in harness.admit(revision, 3):
                revisions[request_id] = revision
            harness.run(3)
        for request_id, revision in revisions.items():
            found = self.explain(harness.store, request_id).unwrap()
            self.assertEqual(
                (found.certainty, found.lowest),
                (
                    'exact',
                    revision,
                ),
            )
            self.assertEqual(found.record.revision, revision)

    @params((250.0, 2, 2), (201.0, 1, 2), (99.0, 1, 1), (1000.0, 3, 3))
    def test_lost_request_is_explained_by_bounds(
        self, admitted_at: float, lowest: int, highest: int
    ) -> None:
        lost = RequestId(DOMAIN, 'instance-9.gone', admitted_at, 7)
        found = self.explain(self.make_history(), format_request_id(lost))
        bounds = found.unwrap()
        self.assertEqual(bounds.certainty, 'between')
        self.assertEqual((bounds.lowest, bounds.highest), (lowest, highest))

    def test_request_before_any_note_is_unknown(self) -> None:
        early = RequestId(DOMAIN, 'instance-9.gone', 1.0, 7)
        found = self.explain(self.make_history(), format_request_id(early))
        self.assertIs(found.unwrap_err().code, ResultCode.REQUEST_ID_UNKNOWN)
