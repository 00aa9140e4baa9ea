"""The membership view that an instance builds from digests. Does no I/O."""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from ..wire.digests import Digest, Peer

#: An instance is removed once no instance has heard from it for this long.
PEER_EXPIRY_MS = 120_000.0


class KnownPeer(NamedTuple):
    """An instance known from its own digests or from those of others.

    ``seen_at_ms`` is the latest known time at which any instance received a digest from
    it directly.
    """

    address: str
    failure_domain: str
    seen_at_ms: float
    incarnation: int = 0
    number: int = 0
    is_stopping: bool = False


class Member(NamedTuple):
    """An instance presumed running, and when any instance last heard from it."""

    failure_domain: str
    seen_at_ms: float


class PeerView:
    """Known instances by id; the caller passes the time."""

    def __init__(self, instance_id: str, failure_domain: str) -> None:
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self._peers: dict[str, KnownPeer] = {}
        self._n_listings = 0
        self._last_listed: dict[str, int] = {}

    def accept(self, digest: Digest, now_ms: float) -> bool:
        """Record a digest; return whether it is newer than its sender's last."""
        if digest.instance_id == self._instance_id:
            return False
        known = self._peers.get(digest.instance_id)
        order = (digest.incarnation, digest.number)
        if known is not None and order <= (known.incarnation, known.number):
            return False
        self._peers[digest.instance_id] = KnownPeer(
            digest.address, digest.failure_domain, now_ms, *order, digest.is_stopping
        )
        self._merge(digest.peers, now_ms)
        return True

    def members(self, now_ms: float) -> dict[str, Member]:
        """Return the instances presumed running, this one included."""
        self._expire(now_ms)
        members = {
            instance_id: Member(peer.failure_domain, peer.seen_at_ms)
            for instance_id, peer in self._peers.items()
            if not peer.is_stopping
        }
        members[self._instance_id] = Member(self._failure_domain, now_ms)
        return members

    def address(self, instance_id: str) -> str | None:
        """Return the address that an instance receives digests at, None if unknown."""
        peer = self._peers.get(instance_id)
        return peer.address if peer else None

    def next_peers(self, n_peers: int, now_ms: float) -> list[Peer]:
        """Return peers to list in a digest, the least recently listed ones first."""
        running = [name for name, peer in self._peers.items() if not peer.is_stopping]
        chosen = heapq.nsmallest(
            n_peers, running, key=lambda name: self._last_listed.get(name, 0)
        )
        self._n_listings += 1
        for name in chosen:
            self._last_listed[name] = self._n_listings
        return self.entries_of(chosen, now_ms)

    def entries_of(self, names: Iterable[str], now_ms: float) -> list[Peer]:
        """Return the digest entries of those of the named instances that are known."""
        return [
            Peer(
                name,
                known.address,
                known.failure_domain,
                known.incarnation,
                round(now_ms - known.seen_at_ms),
            )
            for name in names
            if (known := self._peers.get(name))
        ]

    def _merge(self, peers: list[Peer], now_ms: float) -> None:
        for peer in peers:
            if peer.instance_id == self._instance_id or peer.age_ms > PEER_EXPIRY_MS:
                continue
            reported = KnownPeer(
                peer.address,
                peer.failure_domain,
                now_ms - peer.age_ms,
                peer.incarnation,
            )
            known = self._peers.get(peer.instance_id)
            if known is None or known.incarnation < reported.incarnation:
                self._peers[peer.instance_id] = reported
            elif known.incarnation == reported.incarnation:
                seen_at_ms = max(known.seen_at_ms, reported.seen_at_ms)
                self._peers[peer.instance_id] = known._replace(seen_at_ms=seen_at_ms)

    def _expire(self, now_ms: float) -> None:
        for instance_id, peer in list(self._peers.items()):
            if now_ms - peer.seen_at_ms > PEER_EXPIRY_MS:
                del self._peers[instance_id]
                self._last_listed.pop(instance_id, None)
