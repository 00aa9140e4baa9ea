"""Which other instances live, as heard from digests; pure."""

from typing import NamedTuple

from ..wire.digests import Digest, Peer

#: An instance that was not heard for this long is taken for gone.
LIFETIME_MS = 2_500.0
#: Addresses of instances that are gone are tried for this long, in case they return.
MEMORY_MS = 60_000.0
#: Instances named in one digest.
MAX_NAMED_PEERS = 12


class KnownPeer(NamedTuple):
    """An instance that was heard, or of which others told."""

    address: str
    heard_at_ms: float
    incarnation: int
    number: int


class PeerView:
    """Instances by id; the caller gives the time."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._peers: dict[str, KnownPeer] = {}

    def accept(self, digest: Digest, now_ms: float) -> bool:
        """Note a digest; return whether it is newer than all before it."""
        if digest.instance_id == self._instance_id:
            return False
        known = self._peers.get(digest.instance_id)
        order = (digest.incarnation, digest.number)
        if known is not None and order <= (known.incarnation, known.number):
            return False
        self._peers[digest.instance_id] = KnownPeer(digest.address, now_ms, *order)
        self._learn(digest.peers, now_ms)
        if digest.is_stopping:
            self._peers[digest.instance_id] = KnownPeer(
                digest.address, now_ms - LIFETIME_MS, *order
            )
        return True

    def live(self, now_ms: float) -> dict[str, str]:
        """Return the addresses of the instances that live."""
        return {
            instance_id: peer.address
            for instance_id, peer in self._peers.items()
            if now_ms - peer.heard_at_ms < LIFETIME_MS
        }

    def n_instances(self, now_ms: float) -> int:
        """Return the number of live instances, this one included."""
        return len(self.live(now_ms)) + 1

    def addresses(self, now_ms: float) -> set[str]:
        """Return every address that is worth a digest."""
        for instance_id, peer in list(self._peers.items()):
            if now_ms - peer.heard_at_ms > MEMORY_MS:
                del self._peers[instance_id]
        return {peer.address for peer in self._peers.values()}

    def named(self, now_ms: float) -> list[Peer]:
        """Return the instances heard last, for the next digest."""
        newest = sorted(self._peers.items(), key=lambda item: -item[1].heard_at_ms)
        return [
            Peer(instance_id, peer.address, now_ms - peer.heard_at_ms)
            for instance_id, peer in newest[:MAX_NAMED_PEERS]
        ]

    def _learn(self, peers: list[Peer], now_ms: float) -> None:
        for peer in peers:
            if peer.instance_id == self._instance_id or peer.instance_id in self._peers:
                continue
            # Told of, not heard: it counts as live only once it speaks itself.
            heard_at_ms = now_ms - max(LIFETIME_MS, peer.age_ms)
            self._peers[peer.instance_id] = KnownPeer(peer.address, heard_at_ms, 0, 0)
