"""The account: nothing is lost, gaps and changes show, ids are explained."""

from typing import Any
from unittest import TestCase

import trio
from nose2.tools import params

from cranberryrelay.agreement import (
    AccountPart,
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
from cranberryrelay.testkit import LocalNetwork, make_command, make_sites

DOMAIN = 'domain-1'


class AccountBench:
    """A writer, a store and one entry's ranges."""

    def __init__(self, store: StoreStandIn | None = None) -> None:
        self.store = store or StoreStandIn()
        self.part = AccountPart(DOMAIN, 'writer')
        self.ranges = RangeBuilder('instance-1.abc')
        self.now = 0.0
        self.calls: list[Any] = []

    def admit(self, revision: int, count: int = 1) -> list[str]:
        names = []
        for _ in range(count):
            sequence = self.ranges.admit(revision, self.now)
            request_id = RequestId(
                DOMAIN, self.ranges.entry, self.now, sequence
            )
            names.append(format_request_id(request_id))
        return names

    def run(self, steps: int = 10) -> None:
        for _ in range(steps):
            self.now += 1
            report = self.ranges.make_report()
            if report is not None:
                self.part.receive('entry', report)
            self.take(self.part.on_tick(self.now, self.now))
            while self.calls:
                answer = self.answer(self.calls.pop(0))
                self.take(self.part.on_answer(answer))

    def take(self, effects: Any) -> None:
        for effect in effects:
            if isinstance(effect, SendPeer):
                if isinstance(effect.message, RangesSaved):
                    self.ranges.take_saved(effect.message.report)
            else:
                self.calls.append(effect)

    def answer(self, call: Any) -> Any:
        if isinstance(call, StoreRead):
            return ReadDone(call, self.now, self.store.read_now(call.key))
        assert isinstance(call, StoreWrite)
        written = self.store.write_now(
            call.key, call.body, call.expected_version
        )
        return WriteDone(call, self.now, written)

    def saved_numbers(self) -> set[int]:
        numbers: set[int] = set()
        for key in self.store.stored:
            if key.startswith('account/'):
                segment = decode_segment(self.store.stored[key][-1].body)
                for one in segment.ranges:
                    numbers.update(range(one.first, one.last + 1))
        return numbers


class AccountTest(TestCase):
    """Ranges reach the chain whatever the store does."""

    @params(
        ('no fault', {}),
        ('answers lost', {'lost_answers': 2}),
        ('store out at first', {'outage': True}),
    )
    def test_every_request_is_in_the_account(
        self, name: str, faults: dict[str, Any]
    ) -> None:
        bench = AccountBench()
        bench.store.switch_faults(faults)
        for revision in (1, 1, 2, 3):
            bench.admit(revision, 5)
            bench.run(3)
        bench.store.switch_faults({'outage': False})
        bench.run(10)
        self.assertEqual(bench.saved_numbers(), set(range(1, 21)), name)
        self.assertEqual(bench.ranges.unsaved, [])
        verified = trio.run(verify_account, bench.store, DOMAIN)
        self.assertTrue(verified.is_ok(), name)

    def test_next_writer_goes_on_with_the_chain(self) -> None:
        bench = AccountBench()
        for _ in range(13):
            bench.admit(1)
            bench.run(2)
        following = AccountBench(bench.store)
        following.part.incarnation = 'next'
        following.admit(1)
        following.run(20)
        segments = trio.run(verify_account, bench.store, DOMAIN)
        self.assertEqual(segments.unwrap(), 14)

    def test_outage_costs_no_memory(self) -> None:
        bench = AccountBench()
        bench.admit(1, 100_000)
        report = bench.ranges.make_report()
        assert isinstance(report, RecordRanges)
        self.assertEqual(len(report.ranges), 1)

    @params('change', 'removal')
    def test_tampering_shows(self, what: str) -> None:
        bench = AccountBench()
        for _ in range(6):
            bench.admit(1)
            bench.run(2)
        key = segment_key(DOMAIN, 3)
        if what == 'removal':
            bench.store.stored.pop(key)
        else:
            stored = bench.store.stored[key][-1]
            body = stored.body.replace(b',1,0.0', b',2,0.0')
            body = body.replace(b'instance-1', b'instance-2')
            bench.store.stored[key] = [StoredObject(key, 1, body)]
        verified = trio.run(verify_account, bench.store, DOMAIN)
        if what == 'removal':
            self.assertNotEqual(verified.unwrap_or(0), 6)
        else:
            self.assertIs(verified.unwrap_err().code, ResultCode.ACCOUNT_GAP)

    @params('', 'a~b~c', 'a~b~zz~1', 'a~b~1~zz')
    def test_unknown_ids(self, text: str) -> None:
        refused = parse_request_id(text).unwrap_err()
        self.assertIs(refused.code, ResultCode.REQUEST_ID_UNKNOWN)


class ExplainTest(TestCase):
    """Answers come from the platform alone."""

    def explain(self, store: StoreStandIn, name: str) -> Any:
        return trio.run(explain_request, store, name)

    def make_history(self) -> StoreStandIn:
        network = LocalNetwork(make_sites(3, 3))
        network.run(1)
        for number in range(1, 4):
            action = NoteAction.PUBLISH if number == 1 else NoteAction.AMEND
            command = make_command(action, version=str(number))
            network.publish(command._replace(written_at=number * 100.0))
        return network.store

    def test_exact(self) -> None:
        bench = AccountBench(self.make_history())
        names: dict[str, int] = {}
        for revision in (1, 2, 3):
            for name in bench.admit(revision, 3):
                names[name] = revision
            bench.run(3)
        for name, revision in names.items():
            found = self.explain(bench.store, name).unwrap()
            self.assertEqual(
                (found.certainty, found.lowest),
                (
                    'exact',
                    revision,
                ),
            )
            self.assertEqual(found.record.revision, revision)

    @params((250.0, 2, 2), (201.0, 1, 2), (99.0, 1, 1), (1000.0, 3, 3))
    def test_id_in_a_loss_window(
        self, admitted_at: float, lowest: int, highest: int
    ) -> None:
        lost = RequestId(DOMAIN, 'instance-9.gone', admitted_at, 7)
        found = self.explain(self.make_history(), format_request_id(lost))
        bounds = found.unwrap()
        self.assertEqual(bounds.certainty, 'between')
        self.assertEqual((bounds.lowest, bounds.highest), (lowest, highest))

    def test_id_before_any_note(self) -> None:
        early = RequestId(DOMAIN, 'instance-9.gone', 1.0, 7)
        found = self.explain(self.make_history(), format_request_id(early))
        self.assertIs(found.unwrap_err().code, ResultCode.REQUEST_ID_UNKNOWN)
