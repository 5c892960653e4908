"""Paths and queries of callers on their way to an upstream.

Guards against another path or query than the caller's at the upstream, and
against requests that fail because their target isn't in its normal form.
"""

from unittest import TestCase

import trio
from nose2.tools import params

from cranberryrelay.relay import RequestKind, Role
from cranberryrelay.relay.tests.test_kept_connections import open_site

TARGETS = (
    '/a/1',
    '/a/1?',
    '/a/1?b=c?d',
    '/a//1',
    '/a/../b',
    '/a/./1',
    '/a/%2e%2e/b',
    '/a/%zz',
    '/a/{1}',
    '/a/"1"',
    '/a/[1]|^`',
    '/a/1#b',
    '/a/1?b={c}&d="e"',
    '/a/1?b#c',
    f'/a/{"1" * 2000}',
)


async def find_target(target: str) -> str:
    """Send a request through an instance; return the target that arrives."""
    async with open_site(RequestKind.AT_MOST_ONCE, Role.PLAIN) as site:
        assert await site.send('r0', target) == 'ok'
        received = site.upstreams[0].received[0]
    return received.head.split(' ')[1]


class TargetTest(TestCase):
    """The target of a request is passed on byte by byte."""

    # Guards against a path that is brought to its normal form on the way, by
    # which a request leaves its route's prefix, and against refused targets.
    @params(*((target,) for target in TARGETS))
    def test_target_is_unchanged(self, target: str) -> None:
        self.assertEqual(trio.run(find_target, target), target)
