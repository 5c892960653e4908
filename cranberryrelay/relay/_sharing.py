"""Sends peers the release note and the upstreams that they lack."""

from collections.abc import Callable
from typing import Any, Final

from cranberryrelay.relay._knowledge import Knowledge
from cranberryrelay.relay._peer_messages import GroupBeat, LoadBeat
from cranberryrelay.relay._roster import Roster

# A peer gets what it lacks at most this often, in seconds.
SHARE_SECONDS: Final = 0.5

# Time that a peer has to learn from the store by itself, in seconds.
SHARE_AFTER_SECONDS: Final = 0.25


class Sharer:
    """Compares the revisions in beats with the own ones."""

    def __init__(
        self,
        knowledge: Knowledge,
        roster: Roster,
        send: Callable[[str, Any], None],
    ) -> None:
        self.knowledge = knowledge
        self.roster = roster
        self.send = send

    def share(
        self, sender: str, beat: LoadBeat | GroupBeat, delay: float
    ) -> None:
        """Send a peer, heard just now, what it has lacked for ``delay``."""
        note_behind = self.knowledge.state.revision() > beat.revision
        behind = self.knowledge.upstream_revision > beat.upstream_revision
        peer = self.roster.peers[sender]
        if not (note_behind or behind):
            self.roster.peers[sender] = peer._replace(behind_since=None)
            return
        now = peer.heard_at
        since = now if peer.behind_since is None else peer.behind_since
        peer = peer._replace(behind_since=since)
        self.roster.peers[sender] = peer
        if now - since < delay or now - peer.shared_at < SHARE_SECONDS:
            return
        self.roster.peers[sender] = peer._replace(shared_at=now)
        note = self.knowledge.share_note() if note_behind else None
        if note is not None:
            self.send(sender, note)
        if behind:
            after = beat.upstream_revision
            self.send(sender, self.knowledge.share_upstreams(after))
