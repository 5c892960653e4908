"""Addresses that other programs state."""

from unittest import TestCase

from nose2.tools import params

from cranberryrelay.wire import is_address


class AddressTest(TestCase):
    """Which texts are addresses."""

    # Guards against a socket call or a URL that fails on an odd address.
    @params(
        ('10.0.0.9:8080', True),
        ('10.0.0.9:1', True),
        ('10.0.0.9:65535', True),
        ('[fe80::1]:80', True),
        ('10.0.0.9:65536', False),
        ('10.0.0.9:0', False),
        ('10.0.0.9:', False),
        ('10.0.0.9', False),
        ('10.0.0.9:+80', False),
        ('10.0.0.9:\xb2', False),
        ('10.0.0.9:\u0663', False),
        ('\uff11\uff10.0.0.9:80', False),
        ('10.0.0.9:80\n', False),
        ('10.0.0.256:80', False),
        ('engine:80', False),
        ('fe80::1:80', False),
        ('[fe80::1%eth0]:80', False),
        ('[10.0.0.9]:80', False),
        (':80', False),
        ('', False),
    )
    def test_address(self, text: str, expected: bool) -> None:
        self.assertEqual(is_address(text), expected)
