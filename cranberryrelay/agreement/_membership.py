"""Who is in a failure domain, who watches the store, who feeds whom.

All orders are by rendezvous hashing, so instances that hold the same list
agree without a message, and a change of the list moves few places.
"""

import hashlib
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from cranberryrelay.platform import ListedInstance

WATCHERS_PER_DOMAIN: Final = 2
TREE_ARITY: Final = 4
CONTACTS_PER_DOMAIN: Final = 3


class Members(NamedTuple):
    """The instances that one instance needs to know."""

    # Instances known, own failure domain first.
    instances: tuple[ListedInstance, ...]


def rank_by_hash(names: Iterable[str], seed: str) -> list[str]:
    """Order names by their hash together with ``seed``."""
    return sorted(names, key=lambda name: _hash(name, seed))


def order_domain(instances: Iterable[ListedInstance], domain: str) -> list[str]:
    """Order the staying instances of a failure domain for its tree."""
    names = [
        listed.instance
        for listed in instances
        if listed.domain == domain and not listed.leaving
    ]
    return rank_by_hash(names, domain)


def find_watchers(
    instances: Iterable[ListedInstance], domain: str
) -> list[str]:
    """Name the instances that read the store for their domain."""
    return order_domain(instances, domain)[:WATCHERS_PER_DOMAIN]


def list_parents(
    instances: Sequence[ListedInstance], me: ListedInstance
) -> list[str]:
    """List whom to subscribe to, the best first; watchers get contacts.

    The first is the parent in the domain's tree, then its ancestors, the
    domain's watchers and the contacts in other domains.
    """
    order = order_domain(instances, me.domain)
    parents: list[str] = []
    place = order.index(me.instance) if me.instance in order else len(order)
    while place >= WATCHERS_PER_DOMAIN:
        place = (place - WATCHERS_PER_DOMAIN) // TREE_ARITY
        parents.append(order[place])
    parents.extend(order[:WATCHERS_PER_DOMAIN])
    domains = sorted({listed.domain for listed in instances} - {me.domain})
    for domain in rank_by_hash(domains, me.instance):
        contacts = order_domain(instances, domain)[:CONTACTS_PER_DOMAIN]
        parents.extend(contacts)
    unique = dict.fromkeys(parents)
    unique.pop(me.instance, None)
    return list(unique)


def scope_members(
    instances: Iterable[ListedInstance], domain: str
) -> tuple[ListedInstance, ...]:
    """Keep the whole of one domain and a few contacts of each other one."""
    everyone = tuple(instances)
    kept = [listed for listed in everyone if listed.domain == domain]
    others = sorted({listed.domain for listed in everyone} - {domain})
    for other in others:
        contacts = set(order_domain(everyone, other)[:CONTACTS_PER_DOMAIN])
        kept.extend(
            listed for listed in everyone if listed.instance in contacts
        )
    return tuple(kept)


def _hash(name: str, seed: str) -> bytes:
    return hashlib.blake2b(f'{seed}/{name}'.encode(), digest_size=8).digest()
