"""Messages between two builds whose records differ in their last fields.

Guards against builds that run side by side and drop each other's messages.
"""

from typing import Any, NamedTuple
from unittest import TestCase

import msgspec
from nose2.tools import params

from cranberryrelay.codes import ResultCode
from cranberryrelay.wire import Codec, make_codec


class Load(NamedTuple):
    """A record inside of messages."""

    running: int
    waiting: int = 7


class Beat(NamedTuple):
    """A message as this build knows it."""

    loads: dict[str, Load]
    lists: list[Load]
    pair: tuple[str, Load]
    best: Load | None
    note: Any
    revision: int = 3
    names: tuple[str, ...] = ('default',)


CODEC: Codec[Any] = make_codec([Beat])


class Case(NamedTuple):
    """A row: a body as another build sends it, and the message it becomes."""

    name: str
    body: Any
    expected: Beat

    # Differences that are passed over.
    differences: str = ''


LOAD = [1, 2]
KNOWN = Load(1, 2)
CASES = (
    Case(
        'newer build: fields more, also inside',
        [
            {'e': [1, 2, 'new']},
            [[1, 2, 'new']],
            ['p', [1, 2, {}]],
            [1, 2, None],
            [5, 6, 7],
            4,
            ['n'],
            'new',
            8,
        ],
        Beat({'e': KNOWN}, [KNOWN], ('p', KNOWN), KNOWN, [5, 6, 7], 4, ('n',)),
        'Beat has 2 fields more, Load has 1 fields more',
    ),
    Case(
        'older build: fields less',
        [{'e': [1]}, [[1]], ['p', [1]], None, None],
        Beat({'e': Load(1)}, [Load(1)], ('p', Load(1)), None, None),
    ),
    Case(
        'one field more inside, one less outside',
        [{}, [[1, 2, 3]], ['p', LOAD], LOAD, 'x', 9],
        Beat({}, [KNOWN], ('p', KNOWN), KNOWN, 'x', 9),
        'Load has 1 fields more',
    ),
)


class BuildTest(TestCase):
    """Fields that only one build knows are passed over or have a default."""

    # Guards against dropping a message for a field that one build lacks.
    @params(*((case,) for case in CASES))
    def test_message_of_another_build_is_read(self, case: Case) -> None:
        frames = [b'Beat', msgspec.msgpack.encode(case.body)]
        decoded = CODEC.decode(frames).unwrap()
        self.assertEqual(decoded, (case.expected, case.differences))

    # Guards against reading into a record what another build did not mean.
    @params(
        ([],),
        ([{}, [], ['p', LOAD]],),
        ([{}, [], ['p', LOAD], None, None, 'three'],),
        ([{}, [['x', 2, 3]], ['p', LOAD], None, None],),
        ([{}, [], ['p'], None, None],),
        ('text',),
    )
    def test_record_that_does_not_fit_is_rejected(self, body: Any) -> None:
        frames = [b'Beat', msgspec.msgpack.encode(body)]
        failure = CODEC.decode(frames).unwrap_err()
        self.assertIs(failure.code, ResultCode.FRAME_MALFORMED)
