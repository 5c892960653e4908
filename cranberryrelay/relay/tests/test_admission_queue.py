"""Order of dispatch under load: less urgent requests wait, oldest first."""

from typing import NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.relay import Rank
from cranberryrelay.relay._admission_queue import AdmissionQueue, LoadForecast

IDLE = LoadForecast(0, 0, 0.1)
BUSY = LoadForecast(1, 0.3, 0.1)
CHOSEN_BUSY = LoadForecast(1, 0, 0.1)
SLOTS_TAKEN = LoadForecast(0, 0, 0.9)


class Case(NamedTuple):
    """A row: queued requests, the one to check, and the forecast load."""

    name: str
    queued: tuple[tuple[str, Rank], ...]
    request: tuple[str, Rank]
    forecast: LoadForecast
    expected: bool


ONE = (('one', Rank.BACKGROUND),)
TWO = (('one', Rank.BACKGROUND), ('two', Rank.BACKGROUND))
MIXED = (('one', Rank.BACKGROUND), ('two', Rank.NORMAL))
CASES = (
    Case('capacity free', ONE, ONE[0], IDLE, True),
    Case('engines busy', ONE, ONE[0], BUSY, False),
    Case(
        'other engines are free for urgent requests',
        ONE,
        ONE[0],
        CHOSEN_BUSY,
        True,
    ),
    Case('slots taken', ONE, ONE[0], SLOTS_TAKEN, False),
    Case('not the oldest', TWO, TWO[1], IDLE, False),
    Case('a more urgent request is queued', MIXED, MIXED[0], IDLE, False),
    Case('the more urgent request', MIXED, MIXED[1], IDLE, True),
    Case(
        'a normal request may use the last slots',
        MIXED,
        MIXED[1],
        SLOTS_TAKEN,
        True,
    ),
)


class AdmissionQueueTest(TestCase):
    """Guards against dispatch out of order or without capacity."""

    @params(*((case,) for case in CASES))
    def test_can_dispatch(self, case: Case) -> None:
        queue = AdmissionQueue()
        for request_id, rank in case.queued:
            queue.add(request_id, rank)
        self.assertEqual(
            queue.can_dispatch(*case.request, case.forecast), case.expected
        )
        for request_id, rank in case.queued:
            queue.remove(request_id, rank)
        self.assertFalse(any(queue.queues.values()))
