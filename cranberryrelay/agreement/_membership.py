"""Derives watchers, parents and contacts from the list of instances.

All sequences are ordered by rendezvous hashing.  Instances that have the
same list therefore agree without exchanging messages, and a change of the
list changes few positions.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

from cranberryrelay.notes import digest_text
from cranberryrelay.platform import ListedInstance

WATCHERS_PER_DOMAIN: Final = 2
TREE_ARITY: Final = 4
CONTACTS_PER_DOMAIN: Final = 3


def rendezvous_order(names: Iterable[str], key: str) -> list[str]:
    """Sort names by their hash together with ``key``."""
    return sorted(names, key=lambda name: _hash(name, key))


def tree_order(instances: Iterable[ListedInstance], domain: str) -> list[str]:
    """Return a failure domain's active instances in tree order.

    An instance that is leaving is not active.
    """
    names = [
        listed.instance
        for listed in instances
        if listed.domain == domain and not listed.leaving
    ]
    return rendezvous_order(names, domain)


class MembershipIndex:
    """A list of instances and the sequences that are derived from it.

    Each sequence is computed once for each list, since lists change rarely
    and the sequences are used at every tick.
    """

    def __init__(self, instances: tuple[ListedInstance, ...]) -> None:
        self.instances = instances
        self.by_name = {listed.instance: listed for listed in instances}
        self.domains = sorted({listed.domain for listed in instances})
        self.active = [
            listed.instance for listed in instances if not listed.leaving
        ]
        self.tree_orders: dict[str, list[str]] = {}
        self.active_orders: dict[str, list[str]] = {}
        self.scopes: dict[str, tuple[ListedInstance, ...]] = {}
        self.digests: dict[str, str] = {}

    def tree_order(self, domain: str) -> list[str]:
        """Return a failure domain's active instances in tree order."""
        if domain not in self.tree_orders:
            self.tree_orders[domain] = tree_order(self.instances, domain)
        return self.tree_orders[domain]

    def find_watchers(self, domain: str) -> list[str]:
        """Return the instances that read the store for their domain."""
        return self.tree_order(domain)[:WATCHERS_PER_DOMAIN]

    def active_order(self, key: str) -> list[str]:
        """Return all active instances in the order for a cell or partition."""
        if key not in self.active_orders:
            self.active_orders[key] = rendezvous_order(self.active, key)
        return self.active_orders[key]

    def scope(self, domain: str) -> tuple[ListedInstance, ...]:
        """Return all instances of one domain and contacts of the others."""
        if domain not in self.scopes:
            self.scopes[domain] = self._make_scope(domain)
        return self.scopes[domain]

    def scope_digest(self, domain: str) -> str:
        """Return the digest of a domain's scope."""
        if domain not in self.digests:
            self.digests[domain] = digest_members(self.scope(domain))
        return self.digests[domain]

    def list_parents(self, me: ListedInstance) -> list[str]:
        """Return the instances to subscribe to, in order of preference.

        First the parent in the domain's tree, then the parent's ancestors,
        the domain's watchers and the contacts in other domains.
        """
        order = self.tree_order(me.domain)
        parents: list[str] = []
        is_listed = me.instance in order
        position = order.index(me.instance) if is_listed else len(order)
        while position >= WATCHERS_PER_DOMAIN:
            position = (position - WATCHERS_PER_DOMAIN) // TREE_ARITY
            parents.append(order[position])
        parents.extend(order[:WATCHERS_PER_DOMAIN])
        others = [other for other in self.domains if other != me.domain]
        for domain in rendezvous_order(others, me.instance):
            parents.extend(self.tree_order(domain)[:CONTACTS_PER_DOMAIN])
        unique = dict.fromkeys(parents)
        unique.pop(me.instance, None)
        return list(unique)

    def _make_scope(self, domain: str) -> tuple[ListedInstance, ...]:
        kept = [listed for listed in self.instances if listed.domain == domain]
        for other in self.domains:
            if other == domain:
                continue
            contacts = self.tree_order(other)[:CONTACTS_PER_DOMAIN]
            kept.extend(self.by_name[name] for name in contacts)
        return tuple(kept)


def digest_members(instances: tuple[ListedInstance, ...]) -> str:
    """Return the digest of a list of instances, to compare two lists."""
    return digest_text('\n'.join(map(repr, instances)))


def _hash(name: str, key: str) -> bytes:
    return hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=8).digest()
