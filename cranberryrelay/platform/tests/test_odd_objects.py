"""Odd answers of the platform's object API.

Guards against a steward that ends, or lists that are not followed, because of
one object, instance or header that another program wrote.
"""

from typing import Any
from unittest import TestCase

import httpx
import trio
from nose2.tools import params

from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import HttpObjectApi

DEPTH = 100_000
NESTED = b'%b%b' % (b'[' * DEPTH, b']' * DEPTH)
GOOD_OBJECT = b'["a",1,"eA=="]'
GOOD_INSTANCE = b'["i1","a","10.0.0.1:1"]'
ODD_ITEMS = (
    NESTED,
    b'["b",1e999,""]',
    b'["b","1",""]',
    b'["b",NaN,""]',
    b'["\xff",1,""]',
    b'["\x5cud800",1,""]',
    b'["b",%b,""]' % (b'9' * 30),
    b'["b",-1,""]',
    b'null',
    b'{}',
    b'[]',
)
ODD_VERSIONS = (None, b'9' * 5000, b'\xb2', b'', b'-1', b'1.5', b'9' * 30)


async def call(method: str, *arguments: Any, **answer: Any) -> Any:
    """Return what a call gives at an object API with one answer."""

    def respond(_: httpx.Request) -> httpx.Response:
        return httpx.Response(200, **answer)

    transport = httpx.MockTransport(respond)
    url = 'http://10.0.0.1'
    async with httpx.AsyncClient(transport=transport, base_url=url) as client:
        return await getattr(HttpObjectApi(client), method)(*arguments)


async def list_two(method: str, good: bytes, odd: bytes) -> Any:
    """List a good item after an odd one."""
    arguments = ('a',) if method == 'list_objects' else ()
    return await call(method, *arguments, content=b'[%b,%b]' % (odd, good))


class OddItemTest(TestCase):
    """Odd items beside good ones."""

    # Guards against a RecursionError, and against a list that is not read.
    @params(*((odd,) for odd in ODD_ITEMS))
    def test_good_object_is_listed(self, odd: bytes) -> None:
        with self.assertLogs('cranberryrelay.platform') as log:
            listed = trio.run(list_two, 'list_objects', GOOD_OBJECT, odd)
        self.assertEqual([one.key for one in listed.unwrap()], ['a'])
        self.assertEqual(len(log.records), 1)

    @params(NESTED, b'["i2","a",7]', b'["i2","a","\xff"]', b'null', b'{}')
    def test_good_instance_is_listed(self, odd: bytes) -> None:
        with self.assertLogs('cranberryrelay.platform') as log:
            listed = trio.run(list_two, 'list_instances', GOOD_INSTANCE, odd)
        self.assertEqual([one.instance for one in listed.unwrap()], ['i1'])
        self.assertEqual(len(log.records), 1)

    @params(b'{}', b'', b'7', b'[[', b'null')
    def test_answer_that_is_no_list_is_malformed(self, content: bytes) -> None:
        async def scenario() -> Any:
            listed = await call('list_objects', 'a', content=content)
            return listed.unwrap_err().code

        self.assertIs(trio.run(scenario), ResultCode.FRAME_MALFORMED)


class OddVersionTest(TestCase):
    """Versions in the header of an answer."""

    # Guards against a KeyError or ValueError in place of a failure.
    @params(*((version,) for version in ODD_VERSIONS))
    def test_odd_version_is_a_failure(self, version: bytes | None) -> None:
        async def scenario() -> list[ResultCode]:
            headers = [] if version is None else [(b'X-Version', version)]
            outcomes = [
                await call('read', 'a', headers=headers),
                await call('watch', 'a', 1, 1, headers=headers),
                await call('write', 'a', b'', 1, headers=headers),
            ]
            return [one.unwrap_err().code for one in outcomes]

        self.assertEqual(
            set(trio.run(scenario)), {ResultCode.STORE_OUTCOME_UNKNOWN}
        )
