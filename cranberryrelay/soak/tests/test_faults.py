"""Schedules of faults that seeds name."""

import itertools
import random
from pathlib import Path
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.soak._faults import FaultKind, schedule_faults
from cranberryrelay.soak._layout import make_layout

SECONDS = 25
FAULTS = {
    1: (
        'instance_pause front-00',
        'upstream_pause decode-03',
        'caller_link front-00',
        'caller_link front-00',
        'instance_kill front-03',
        'store_link front-03',
        'upstream_kill plain-07',
        'upstream_kill prefill-01',
    ),
    303: (
        'instance_kill front-01',
        'upstream_reset plain-06',
        'upstream_link decode-00',
        'upstream_kill decode-00',
        'instance_reload front-01',
        'instance_stop front-00',
        'store_link front-02',
        'caller_link front-00',
        'store_outage ',
        'instance_kill front-03',
    ),
}


class ScheduleTest(TestCase):
    """A seed names the same faults in each build of the soak."""

    # Guards against seeds that are kept as regression cases and no longer show
    # the faults with which they failed, as a new kind of fault was added.
    @params(*FAULTS)
    def test_seed_keeps_its_faults(self, seed: int) -> None:
        layout = make_layout(Path(), 4, 6, itertools.count(20000))
        faults = schedule_faults(random.Random(seed), SECONDS, layout)
        silence = FaultKind.UPSTREAM_SILENCE
        others = [
            f'{one.kind.value} {one.target}'
            for one in faults
            if one.kind is not silence
        ]
        self.assertEqual(tuple(others), FAULTS[seed])
        self.assertTrue(any(one.kind is silence for one in faults))
