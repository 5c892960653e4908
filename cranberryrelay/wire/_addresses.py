"""Checks addresses that other programs state."""

import re
from ipaddress import AddressValueError, IPv4Address, IPv6Address
from typing import Final

_PORT: Final = re.compile('[0-9]{1,5}')
_LARGEST_PORT: Final = 65_535


def is_address(text: str) -> bool:
    """Return whether a text is 'IP:port', with an IPv6 address in brackets.

    Host names are none: whoever states one would make this process resolve it.
    """
    host, _, port = text.rpartition(':')
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _LARGEST_PORT:
        return False
    try:
        _parse_ip(host)
    except AddressValueError:
        return False
    return '%' not in host


def _parse_ip(host: str) -> IPv4Address | IPv6Address:
    if host.startswith('[') and host.endswith(']'):
        return IPv6Address(host[1:-1])
    return IPv4Address(host)
