"""Who is in a failure domain, who watches the store, who feeds whom.

All orders are by rendezvous hashing, so instances that hold the same list
agree without a message, and a change of the list moves few places.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

from cranberryrelay.notes import digest_text
from cranberryrelay.platform import ListedInstance

WATCHERS_PER_DOMAIN: Final = 2
TREE_ARITY: Final = 4
CONTACTS_PER_DOMAIN: Final = 3


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


class MembershipIndex:
    """A list of instances and the orders that are derived from it.

    The orders are worked out once for each list, since lists change rarely
    and are asked at every step.
    """

    def __init__(self, instances: tuple[ListedInstance, ...]) -> None:
        self.instances = instances
        self.by_name = {listed.instance: listed for listed in instances}
        self.domains = sorted({listed.domain for listed in instances})
        self.staying = [
            listed.instance for listed in instances if not listed.leaving
        ]
        self.orders: dict[str, list[str]] = {}
        self.owners: dict[str, list[str]] = {}
        self.scopes: dict[str, tuple[ListedInstance, ...]] = {}
        self.digests: dict[str, str] = {}

    def order_domain(self, domain: str) -> list[str]:
        """Order the staying instances of a failure domain for its tree."""
        if domain not in self.orders:
            self.orders[domain] = order_domain(self.instances, domain)
        return self.orders[domain]

    def find_watchers(self, domain: str) -> list[str]:
        """Name the instances that read the store for their domain."""
        return self.order_domain(domain)[:WATCHERS_PER_DOMAIN]

    def rank_staying(self, seed: str) -> list[str]:
        """Order all staying instances for a cell or a partition."""
        if seed not in self.owners:
            self.owners[seed] = rank_by_hash(self.staying, seed)
        return self.owners[seed]

    def scope(self, domain: str) -> tuple[ListedInstance, ...]:
        """Keep the whole of one domain and contacts of each other one."""
        if domain not in self.scopes:
            self.scopes[domain] = self._make_scope(domain)
        return self.scopes[domain]

    def scope_digest(self, domain: str) -> str:
        """Digest the scope of a domain."""
        if domain not in self.digests:
            self.digests[domain] = digest_members(self.scope(domain))
        return self.digests[domain]

    def list_parents(self, me: ListedInstance) -> list[str]:
        """List whom to subscribe to, the best first.

        The first is the parent in the domain's tree, then its ancestors,
        the domain's watchers and the contacts in other domains.
        """
        order = self.order_domain(me.domain)
        parents: list[str] = []
        known = me.instance in order
        place = order.index(me.instance) if known else len(order)
        while place >= WATCHERS_PER_DOMAIN:
            place = (place - WATCHERS_PER_DOMAIN) // TREE_ARITY
            parents.append(order[place])
        parents.extend(order[:WATCHERS_PER_DOMAIN])
        others = [one for one in self.domains if one != me.domain]
        for domain in rank_by_hash(others, me.instance):
            parents.extend(self.order_domain(domain)[:CONTACTS_PER_DOMAIN])
        unique = dict.fromkeys(parents)
        unique.pop(me.instance, None)
        return list(unique)

    def _make_scope(self, domain: str) -> tuple[ListedInstance, ...]:
        kept = [one for one in self.instances if one.domain == domain]
        for other in self.domains:
            if other == domain:
                continue
            contacts = self.order_domain(other)[:CONTACTS_PER_DOMAIN]
            kept.extend(self.by_name[name] for name in contacts)
        return tuple(kept)


def digest_members(instances: tuple[ListedInstance, ...]) -> str:
    """Digest a list of instances, to tell whether a child has it."""
    return digest_text('\n'.join(map(repr, instances)))


def _hash(name: str, seed: str) -> bytes:
    return hashlib.blake2b(f'{seed}/{name}'.encode(), digest_size=8).digest()
