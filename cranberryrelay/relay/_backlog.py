"""Work that engines have been sent, by this instance and by its peers.

Reports of engines lag, so the work sent is the newest evidence there is.
An engine reads prompts in the order in which they arrive, so what is ahead
of a new one is all that was sent before and has not ended.
"""

from collections.abc import Container
from typing import Final, NamedTuple

# Age at which what a peer told is no longer counted, in seconds.
PEER_TTL_SECONDS: Final = 1.5
_MILLISECONDS: Final = 1000


class EngineLoad(NamedTuple):
    """Work sent to one upstream by one instance."""

    # Predicted time for the prompts that it was sent to read, in ms.
    reading_ms: int

    # How long ago the oldest of these was sent, in ms.
    oldest_ms: int

    # Requests that run there.
    running: int

    # The most of ``reading_ms`` that one instance has sent, in ms.
    largest_ms: int


class Sent(NamedTuple):
    """A call that was sent and has not ended."""

    # Predicted time to read its prompt, in seconds; 0 if that is done.
    reading: float

    # When it was sent, on the own clock.
    sent_at: float


class _PeerLoads(NamedTuple):
    loads: dict[str, EngineLoad]
    heard_at: float


class Backlog:
    """Loads by upstream; one task owns it."""

    def __init__(self) -> None:
        self.own: dict[str, list[Sent]] = {}
        self.peers: dict[str, _PeerLoads] = {}
        self.changes = 0
        self.heard = 0

    def add(self, upstream: str, sent: Sent) -> None:
        """Count a call that was sent."""
        self.own.setdefault(upstream, []).append(sent)
        self.changes += 1

    def remove(self, upstream: str, sent: Sent) -> None:
        """Count a call that has ended."""
        calls = self.own.get(upstream, [])
        if sent in calls:
            calls.remove(sent)
            self.changes += 1
        if not calls:
            self.own.pop(upstream, None)

    def summarize(self, now: float) -> dict[str, EngineLoad]:
        """Return the own loads as peers are told of them."""
        return {
            upstream: _summarize(calls, now)
            for upstream, calls in self.own.items()
        }

    def hear(self, peer: str, loads: dict[str, EngineLoad], now: float) -> None:
        """Take over what a peer tells of its own sends."""
        self.peers[peer] = _PeerLoads(loads, now)
        self.heard += 1

    def forget_peer(self, peer: str) -> None:
        """Forget a peer that is gone."""
        self.peers.pop(peer, None)

    def running(self, upstream: str, now: float) -> int:
        """Return the requests that run at an upstream."""
        return sum(load.running for load in self._loads(upstream, now))

    def wait_seconds(self, upstream: str, now: float) -> float:
        """Return the time until all prompts sent before will be read.

        The oldest of them is being read, so its age is progress.
        """
        loads = self._loads(upstream, now)
        total = sum(load.reading_ms for load in loads)
        progress = max((load.oldest_ms for load in loads), default=0)
        longest = max((load.largest_ms for load in loads), default=0)
        return max(total - min(progress, longest), 0) / _MILLISECONDS

    def combine(
        self, now: float, peers: Container[str]
    ) -> dict[str, EngineLoad]:
        """Return own loads and those of some peers as if of one instance."""
        loads = self.summarize(now)
        for name, peer in self.peers.items():
            age = now - peer.heard_at
            if name not in peers or age >= PEER_TTL_SECONDS:
                continue
            for upstream, load in peer.loads.items():
                aged = _age(load, age)
                known = loads.get(upstream)
                loads[upstream] = _add(known, aged) if known else aged
        return loads

    def combine_without(self, peer: str, now: float) -> dict[str, EngineLoad]:
        """Return the loads of all others for what a peer has sent work to."""
        told = self.peers.get(peer)
        upstreams = told.loads if told else {}
        combined: dict[str, EngineLoad] = {}
        for upstream in upstreams:
            combined[upstream] = EngineLoad(0, 0, 0, 0)
            for load in self._loads(upstream, now, peer):
                combined[upstream] = _add(combined[upstream], load)
        return combined

    def _loads(
        self, upstream: str, now: float, left_out: str = ''
    ) -> list[EngineLoad]:
        loads: list[EngineLoad] = []
        own = self.own.get(upstream)
        if own:
            loads.append(_summarize(own, now))
        for name, peer in self.peers.items():
            age = now - peer.heard_at
            load = peer.loads.get(upstream)
            if load and age < PEER_TTL_SECONDS and name != left_out:
                loads.append(_age(load, age))
        return loads


def _to_ms(seconds: float) -> int:
    return round(seconds * _MILLISECONDS)


def _age(load: EngineLoad, age: float) -> EngineLoad:
    if not load.reading_ms:
        return load
    return load._replace(oldest_ms=load.oldest_ms + _to_ms(age))


def _add(known: EngineLoad, other: EngineLoad) -> EngineLoad:
    return EngineLoad(
        reading_ms=known.reading_ms + other.reading_ms,
        oldest_ms=max(known.oldest_ms, other.oldest_ms),
        running=known.running + other.running,
        largest_ms=max(known.largest_ms, other.largest_ms),
    )


def _summarize(calls: list[Sent], now: float) -> EngineLoad:
    reading = [call for call in calls if call.reading]
    reading_ms = _to_ms(sum(call.reading for call in reading))
    return EngineLoad(
        reading_ms=reading_ms,
        oldest_ms=_to_ms(
            max((now - call.sent_at for call in reading), default=0)
        ),
        running=len(calls),
        largest_ms=reading_ms,
    )
